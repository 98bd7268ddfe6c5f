"""What a replaced process has learned goes to the one named, whole and young, or not at all."""

from __future__ import annotations

import asyncio
from pathlib import Path

import orjson
import pytest
from scheduler_harness import GatedConnectLoop, SchedulerHarness

from oxbowyard import Dispatcher, Settings
from oxbowyard.daemon.loading import LoadedConfiguration
from oxbowyard.daemon.program import Program
from oxbowyard.daemon.shutdown import abort_startup
from oxbowyard.decision import ranking, slow_start, snapshot
from oxbowyard.decision.actions import StartAttempt
from oxbowyard.decision.events import (
    AttemptEnded,
    AttemptStarted,
    EndpointsChanged,
    RequestReceived,
    Result,
    Scope,
    WorkerInfo,
)
from oxbowyard.decision.settings import JobClass, RetrySafety
from oxbowyard.handover.learned import (
    CLOCK_TOLERANCE_MS,
    MAX_AGE_MS,
    EstimatesFile,
    UnusableFileError,
    decode,
    encode,
)

SHORT = JobClass("short", latency_objective_ms=1000, deadline_ms=10000, retry_safety=RetrySafety.IDEMPOTENT)
ONCE = JobClass("once", latency_objective_ms=4000, deadline_ms=25000)
NAMES = [f"w{i}" for i in range(5)]
SETTINGS = Settings(
    (SHORT, ONCE), scheduler_count=3, max_attempts=3, reports_starts=True, may_cancel=True,
    ramp_ms=22000.0, initial_capacity_share=0.15, overload_multiple=2.5, overload_window_ms=3000.0,
)  # fmt: skip
START, SERVED = 1e12, 60
PID = 4711


def dispatcher(seed: int, now: float = START) -> Dispatcher:
    made = Dispatcher(SETTINGS, seed)
    cold = WorkerInfo("w4", kind="std", started_at_ms=START - 5000.0)
    infos = (*(WorkerInfo(name, kind="std") for name in NAMES[:4]), cold)
    made.handle(now, EndpointsChanged(Scope.FULL, infos))
    return made


def served(made: Dispatcher, count: int = SERVED) -> float:
    """So many jobs, one of w1 failed and one of w2 turned away at the last."""
    now = START
    for i in range(count):
        now += 100.0
        cls = ONCE if i % 3 == 0 else SHORT
        actions = made.handle(now, RequestReceived(f"r{i}", cls.name, cls.deadline_ms, f"k{i % 7}"))
        for action in actions:
            if isinstance(action, StartAttempt):
                made.handle(now + 5, AttemptStarted(action.request_id, 0, action.worker))
                report = {"free_slots": 3.0, "waiting": 0.0}
                result = Result.ERROR if action.worker == "w1" else Result.OK
                made.handle(
                    now + 90, AttemptEnded(action.request_id, 0, action.worker, result, 90.0, True, report)
                )
        now += 90.0
    return now


def handed(old: Dispatcher, now: float, pid: int = PID) -> snapshot.Snapshot:
    return decode(encode(snapshot.take(old.state, now), PID), pid, now + 200.0)


def test_the_successor_goes_on_from_all_of_it() -> None:
    old = dispatcher(1)
    now = served(old)
    new = dispatcher(2, now)
    assert new.state.pools["std"].mean_service_time_ms == 0.0
    snapshot.restore(new.state, handed(old, now), now + 200.0)
    for name in (
        "max_concurrency",
        "slots",
        "mean_service_time_ms",
        "mean_queue_wait_ms",
        "completed_jobs",
        "mean_reported_jobs",
        "service_time_ratio",
    ):
        assert getattr(new.state.pools["std"], name) == getattr(old.state.pools["std"], name), name
    for name in NAMES:
        mine, theirs = new.state.workers[name], old.state.workers[name]
        assert mine.failure_count == theirs.failure_count
        assert mine.ejected_until_ms == theirs.ejected_until_ms
        assert mine.expected_completions == theirs.expected_completions
        assert mine.completions == theirs.completions
        assert mine.class_ejections == theirs.class_ejections
        assert list(mine.cold_sends_at_ms) == list(theirs.cold_sends_at_ms)
        assert mine.in_flight == 0 and not mine.running, "what is owed stays with the old one"
    assert old.state.workers["w1"].class_ejections, "it was seen to fail"
    assert new.state.service_times_ms.state() == old.state.service_times_ms.state()
    assert {place: key.set_size for place, key in new.state.keys.items()} == {
        place: key.set_size for place, key in old.state.keys.items()
    }
    warm = [name for name in NAMES if name != "w4"]
    later = now + 300.0
    for cls in (SHORT, ONCE):
        ranks = [
            [ranking.rank(d.state, d.state.workers[name], cls, later) for name in warm] for d in (old, new)
        ]
        assert ranks[1] == pytest.approx(ranks[0], rel=0.5), "it judges the workers alike"


def test_of_a_worker_that_started_since_nothing_is_believed() -> None:
    old = dispatcher(1)
    now = served(old)
    learned = handed(old, now)
    new = dispatcher(2, now)
    restarted = WorkerInfo("w1", kind="std", started_at_ms=now)
    new.handle(now, EndpointsChanged(Scope.CHANGES, (restarted,)))
    snapshot.restore(new.state, learned, now + 200.0)
    assert new.state.workers["w1"].started_at_ms == now and not new.state.workers["w1"].class_ejections
    unknown = Dispatcher(SETTINGS, 3)
    snapshot.restore(unknown.state, learned, now)  # its list has not come: nothing to believe it of
    assert not unknown.state.workers


def test_a_budget_of_a_cold_worker_counts_what_the_old_process_sent() -> None:
    old = dispatcher(1)
    now = served(old)
    old.state.workers["w4"].cold_sends_at_ms.append(now - 10.0)
    new = dispatcher(2, now)
    snapshot.restore(new.state, handed(old, now), now + 200.0)
    worker = new.state.workers["w4"]
    slow_start.budget_allows_send(new.state, worker, now + 200.0)
    assert now - 10.0 in worker.cold_sends_at_ms
    worker.budget_sends, worker.budget_window = (
        1,
        int((now + 200.0 + new.state.warm_up_window_offset_ms) / SETTINGS.overload_window_ms),
    )
    assert not slow_start.budget_allows_send(new.state, worker, now + 200.0), (
        "the one that it bears now was sent by the old process"
    )


def test_only_the_process_named_believes_it_and_only_while_it_is_young() -> None:
    old = dispatcher(1)
    now = served(old)
    text = encode(snapshot.take(old.state, now), PID)
    assert decode(text, PID, now).taken_at_ms == now
    for pid, at in ((PID + 1, now), (PID, now + MAX_AGE_MS + 1.0), (PID, now - CLOCK_TOLERANCE_MS - 1.0)):
        with pytest.raises(UnusableFileError):
            decode(text, pid, at)


def test_whatever_is_damaged_is_not_believed() -> None:
    old = dispatcher(1)
    now = served(old, 10)
    text = encode(snapshot.take(old.state, now), PID)
    for cut in range(0, len(text), 7):
        with pytest.raises(UnusableFileError):
            decode(text[:cut], PID, now)
        broken = bytearray(text)
        broken[cut] ^= 1
        with pytest.raises(UnusableFileError):
            decode(bytes(broken), PID, now)


@pytest.mark.parametrize("change", [
    {"version": 2}, {"at": "now"}, {"pools": []}, {"workers": {"w0": {}}}, {"keys": [7]}, {"heat": True},
    {"more": 1}, {"holds": {"short": [1]}}, {"holds": {"short": [1.5, 2.0]}},
])  # fmt: skip
def test_a_whole_file_of_another_form_is_not_believed(change: dict[str, object]) -> None:
    old = dispatcher(1)
    now = served(old, 10)
    taken = orjson.loads(encode(snapshot.take(old.state, now), PID).partition(b"\n")[2]) | change
    text = encode(taken, PID)
    if "version" in change:
        text = text.replace(b'"version":1', b'"version":2', 1)
    with pytest.raises(UnusableFileError):
        decode(text, PID, now)


def test_a_disk_that_fails_changes_nothing_else(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    old = dispatcher(1)
    now = served(old, 10)
    nowhere = EstimatesFile(tmp_path / "absent", "n1", 1, lambda: now)
    nowhere.write(snapshot.take(old.state, now), PID)
    assert nowhere.read() is None and "estimates not handed over: error=" in caplog.text
    EstimatesFile(tmp_path, "n1", 1, lambda: now).write(snapshot.take(old.state, now), PID)
    successor = EstimatesFile(tmp_path, "n1", PID, lambda: now)
    assert successor.read() is not None
    (tmp_path / "oxbowyard-n1-learned").write_bytes(b"x" * (2 << 20))
    assert successor.read() is None and successor.read() is None
    assert caplog.text.count("estimates of the old process rejected: reason=too long") == 1, "said once"


def test_a_fault_of_ours_in_either_process_does_not_hold_up_the_replacement(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """It would end the task that hands over, or takes over: the new process would never say yes."""

    def broken(*_: object) -> snapshot.Snapshot:
        raise KeyError("a fault of ours")

    async def scene() -> None:
        config = SchedulerHarness(tmp_path).config
        program = Program(lambda: LoadedConfiguration(config))
        scheduler = program.context.subsystems.scheduler
        now = program.context.subsystems.clock()
        learned = snapshot.take(dispatcher(1).state, now)
        program.hot_restart.estimates_file.read = lambda: learned  # type: ignore[method-assign]
        scheduler.restore = broken  # type: ignore[method-assign,assignment]
        assert program.hot_restart.adopt_estimates(), "it is not tried again and again"
        scheduler.snapshot = broken  # type: ignore[method-assign]
        program.hot_restart.handover.files.other_process = lambda path: PID  # type: ignore[method-assign]
        program.hot_restart.hand_over_estimates()
        await abort_startup(program.context)

    with asyncio.Runner(loop_factory=GatedConnectLoop) as runner:
        runner.run(scene())
    assert caplog.text.count("a fault of ours") >= 2


def test_a_successor_that_knows_of_a_failing_class_still_decides_about_it() -> None:
    # Guards against a successor that raises KeyError as it looks at a worker's ejection for a class.
    old = dispatcher(1)
    now = served(old, SERVED // 2)  # soon after a job that w1 failed: later its ejections are over
    ejections = old.state.workers["w1"].class_ejections.values()
    assert all(ejection.until_ms > now + 200.0 for ejection in ejections), "w1 is out for both classes"
    assert len(ejections) == 2
    new = dispatcher(2, now)
    snapshot.restore(new.state, handed(old, now), now + 200.0)
    for i in range(40):
        actions = new.handle(now + 200.0, RequestReceived(f"n{i}", "once", ONCE.deadline_ms, f"n{i}"))
        assert any(isinstance(action, StartAttempt) for action in actions)

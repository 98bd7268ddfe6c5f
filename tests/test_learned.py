"""Handover of learned estimates: the file is accepted only complete, fresh and by the process it names."""

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
START_MS, JOB_COUNT = 1e12, 60
PID = 4711


def make_dispatcher(seed: int, now: float = START_MS) -> Dispatcher:
    dispatcher = Dispatcher(SETTINGS, seed)
    cold = WorkerInfo("w4", kind="std", started_at_ms=START_MS - 5000.0)
    infos = (*(WorkerInfo(name, kind="std") for name in NAMES[:4]), cold)
    dispatcher.handle(now, EndpointsChanged(Scope.FULL, infos))
    return dispatcher


def serve_jobs(dispatcher: Dispatcher, count: int = JOB_COUNT) -> float:
    """Run `count` jobs, of which those on w1 fail, and return the time of the last completion."""
    now = START_MS
    for i in range(count):
        now += 100.0
        cls = ONCE if i % 3 == 0 else SHORT
        actions = dispatcher.handle(now, RequestReceived(f"r{i}", cls.name, cls.deadline_ms, f"k{i % 7}"))
        for action in actions:
            if isinstance(action, StartAttempt):
                dispatcher.handle(now + 5, AttemptStarted(action.request_id, 0, action.worker))
                report = {"free_slots": 3.0, "waiting": 0.0}
                result = Result.ERROR if action.worker == "w1" else Result.OK
                dispatcher.handle(
                    now + 90, AttemptEnded(action.request_id, 0, action.worker, result, 90.0, True, report)
                )
        now += 90.0
    return now


def hand_over(old: Dispatcher, now: float, pid: int = PID) -> snapshot.Snapshot:
    return decode(encode(snapshot.take(old.state, now), PID), pid, now + 200.0)


def test_successor_restores_all_learned_estimates() -> None:
    old = make_dispatcher(1)
    now = serve_jobs(old)
    new = make_dispatcher(2, now)
    assert new.state.pools["std"].mean_service_time_ms == 0.0
    snapshot.restore(new.state, hand_over(old, now), now + 200.0)
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
        restored, original = new.state.workers[name], old.state.workers[name]
        assert restored.failure_count == original.failure_count
        assert restored.ejected_until_ms == original.ejected_until_ms
        assert restored.expected_completions == original.expected_completions
        assert restored.completions == original.completions
        assert restored.class_ejections == original.class_ejections
        assert list(restored.cold_sends_at_ms) == list(original.cold_sends_at_ms)
        assert restored.in_flight == 0 and not restored.running, "running jobs stay with the old process"
    assert old.state.workers["w1"].class_ejections, "its failures were recorded"
    assert new.state.service_times_ms.state() == old.state.service_times_ms.state()
    assert {key_id: key.set_size for key_id, key in new.state.keys.items()} == {
        key_id: key.set_size for key_id, key in old.state.keys.items()
    }
    warm = [name for name in NAMES if name != "w4"]
    later = now + 300.0
    for cls in (SHORT, ONCE):
        ranks = [
            [ranking.rank(dispatcher.state, dispatcher.state.workers[name], cls, later) for name in warm]
            for dispatcher in (old, new)
        ]
        assert ranks[1] == pytest.approx(ranks[0], rel=0.5), "both processes rank the workers alike"


def test_estimates_of_a_restarted_or_unknown_worker_are_not_restored() -> None:
    old = make_dispatcher(1)
    now = serve_jobs(old)
    learned = hand_over(old, now)
    new = make_dispatcher(2, now)
    restarted = WorkerInfo("w1", kind="std", started_at_ms=now)
    new.handle(now, EndpointsChanged(Scope.CHANGES, (restarted,)))
    snapshot.restore(new.state, learned, now + 200.0)
    assert new.state.workers["w1"].started_at_ms == now and not new.state.workers["w1"].class_ejections
    unknown = Dispatcher(SETTINGS, 3)
    snapshot.restore(unknown.state, learned, now)  # no endpoint list yet: no worker to apply it to
    assert not unknown.state.workers


def test_warm_up_budget_counts_sends_of_the_old_process() -> None:
    old = make_dispatcher(1)
    now = serve_jobs(old)
    old.state.workers["w4"].cold_sends_at_ms.append(now - 10.0)
    new = make_dispatcher(2, now)
    snapshot.restore(new.state, hand_over(old, now), now + 200.0)
    worker = new.state.workers["w4"]
    slow_start.budget_allows_send(new.state, worker, now + 200.0)
    assert now - 10.0 in worker.cold_sends_at_ms
    worker.budget_sends, worker.budget_window = (
        1,
        int((now + 200.0 + new.state.warm_up_window_offset_ms) / SETTINGS.overload_window_ms),
    )
    assert not slow_start.budget_allows_send(new.state, worker, now + 200.0), (
        "the budget of this window was used by the old process"
    )


def test_estimates_of_another_process_or_of_wrong_age_are_rejected() -> None:
    old = make_dispatcher(1)
    now = serve_jobs(old)
    content = encode(snapshot.take(old.state, now), PID)
    assert decode(content, PID, now).taken_at_ms == now
    for pid, at in ((PID + 1, now), (PID, now + MAX_AGE_MS + 1.0), (PID, now - CLOCK_TOLERANCE_MS - 1.0)):
        with pytest.raises(UnusableFileError):
            decode(content, pid, at)


def test_truncated_or_corrupted_estimates_are_rejected() -> None:
    old = make_dispatcher(1)
    now = serve_jobs(old, 10)
    content = encode(snapshot.take(old.state, now), PID)
    for position in range(0, len(content), 7):
        with pytest.raises(UnusableFileError):
            decode(content[:position], PID, now)
        damaged = bytearray(content)
        damaged[position] ^= 1
        with pytest.raises(UnusableFileError):
            decode(bytes(damaged), PID, now)


@pytest.mark.parametrize("change", [
    {"version": 2}, {"at": "now"}, {"pools": []}, {"workers": {"w0": {}}}, {"keys": [7]}, {"heat": True},
    {"more": 1}, {"holds": {"short": [1]}}, {"holds": {"short": [1.5, 2.0]}},
])  # fmt: skip
def test_intact_file_with_another_schema_is_rejected(change: dict[str, object]) -> None:
    old = make_dispatcher(1)
    now = serve_jobs(old, 10)
    document = orjson.loads(encode(snapshot.take(old.state, now), PID).partition(b"\n")[2]) | change
    content = encode(document, PID)
    if "version" in change:
        content = content.replace(b'"version":1', b'"version":2', 1)
    with pytest.raises(UnusableFileError):
        decode(content, PID, now)


def test_estimates_file_failures_are_logged_and_do_not_raise(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    old = make_dispatcher(1)
    now = serve_jobs(old, 10)
    unwritable = EstimatesFile(tmp_path / "absent", "n1", 1, lambda: now)
    unwritable.write(snapshot.take(old.state, now), PID)
    assert unwritable.read() is None and "estimates not handed over: error=" in caplog.text
    EstimatesFile(tmp_path, "n1", 1, lambda: now).write(snapshot.take(old.state, now), PID)
    successor = EstimatesFile(tmp_path, "n1", PID, lambda: now)
    assert successor.read() is not None
    (tmp_path / "oxbowyard-n1-learned").write_bytes(b"x" * (2 << 20))
    assert successor.read() is None and successor.read() is None
    assert (
        caplog.text.count(
            "estimates of the old process rejected: reason=oxbowyard-n1-learned is over 1048576 bytes"
        )
        == 1
    ), "logged once"


def test_exception_in_either_process_does_not_block_the_handover(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """An exception would end the task that hands over or takes over: the new process would never accept."""

    def raise_key_error(*_: object) -> snapshot.Snapshot:
        raise KeyError("a fault of ours")

    async def scenario() -> None:
        config = SchedulerHarness(tmp_path).config
        program = Program(lambda: LoadedConfiguration(config))
        scheduler = program.context.subsystems.scheduler
        now = program.context.subsystems.clock()
        learned = snapshot.take(make_dispatcher(1).state, now)
        program.hot_restart.estimates_file.read = lambda: learned  # type: ignore[method-assign]
        scheduler.restore = raise_key_error  # type: ignore[method-assign,assignment]
        assert program.hot_restart.adopt_estimates(), "the failed attempt is not repeated"
        scheduler.snapshot = raise_key_error  # type: ignore[method-assign]
        program.hot_restart.handover.files.other_process = lambda path: PID  # type: ignore[method-assign]
        program.hot_restart.hand_over_estimates()
        await abort_startup(program.context)

    with asyncio.Runner(loop_factory=GatedConnectLoop) as runner:
        runner.run(scenario())
    assert caplog.text.count("a fault of ours") >= 2


def test_successor_dispatches_a_class_with_restored_ejections() -> None:
    # Guards against a successor that raises KeyError when it looks up a worker's ejection for a class.
    old = make_dispatcher(1)
    now = serve_jobs(old, JOB_COUNT // 2)  # soon after a failed job of w1: its ejections expire later
    ejections = old.state.workers["w1"].class_ejections.values()
    assert all(ejection.until_ms > now + 200.0 for ejection in ejections), "w1 is ejected for both classes"
    assert len(ejections) == 2
    new = make_dispatcher(2, now)
    snapshot.restore(new.state, hand_over(old, now), now + 200.0)
    for i in range(40):
        actions = new.handle(now + 200.0, RequestReceived(f"n{i}", "once", ONCE.deadline_ms, f"n{i}"))
        assert any(isinstance(action, StartAttempt) for action in actions)

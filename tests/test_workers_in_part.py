"""Partial worker failures: a worker rejects one class, loses jobs, stalls or briefly refuses connects."""

from __future__ import annotations

from oxbowyard import Dispatcher, Settings
from oxbowyard.decision import slow_start
from oxbowyard.decision.actions import CancelAttempt, StartAttempt
from oxbowyard.decision.events import (
    AttemptEnded,
    AttemptStarted,
    EndpointsChanged,
    RequestReceived,
    Result,
    Scope,
    TimerFired,
    WorkerInfo,
)
from oxbowyard.decision.platform_settings import parse_settings
from oxbowyard.decision.settings import JobClass, RetrySafety

FREE = JobClass("free", latency_objective_ms=300, deadline_ms=5000, retry_safety=RetrySafety.IDEMPOTENT)
ONCE = JobClass("once", latency_objective_ms=1000, deadline_ms=12000)


def make_dispatcher(workers: int = 3, **overrides: object) -> Dispatcher:
    values: dict[str, object] = {
        "classes": (FREE, ONCE),
        "max_attempts": 3,
        "reports_starts": True,
        "may_cancel": True,
        "fifo_workers": True,
        "connect_timeout_ms": 200.0,
        "ramp_ms": 8000.0,
        "initial_capacity_share": 0.3,
    } | overrides
    dispatcher = Dispatcher(Settings(**values), seed=1)  # type: ignore[arg-type]
    infos = tuple(WorkerInfo(f"w{i}", kind="std") for i in range(workers))
    dispatcher.handle(0.0, EndpointsChanged(Scope.FULL, infos))
    return dispatcher


def submit(dispatcher: Dispatcher, now: float, request_id: str, cls: str = "free") -> str | None:
    """Submit a job and return the worker that it is sent to, if any."""
    workers = [
        a.worker
        for a in dispatcher.handle(now, RequestReceived(request_id, cls, 5000.0, "k"))
        if isinstance(a, StartAttempt)
    ]
    return workers[0] if workers else None


def run_job(
    dispatcher: Dispatcher, now: float, request_id: str, cls: str = "free", duration_ms: float = 200.0
) -> str:
    worker = submit(dispatcher, now, request_id, cls)
    assert worker is not None
    dispatcher.handle(now + 1, AttemptStarted(request_id, 0, worker))
    dispatcher.handle(now + duration_ms, AttemptEnded(request_id, 0, worker, Result.OK, duration_ms, True))
    return worker


def test_class_rejected_despite_free_slots_goes_elsewhere_and_other_class_stays() -> None:
    """Guards against treating the rejection, which took 300 ms, as a full queue: jobs of the other class were
    rejected for it."""
    dispatcher = make_dispatcher()
    home_worker = run_job(dispatcher, 1, "warm")
    assert submit(dispatcher, 300, "once1", "once") == home_worker
    dispatcher.handle(611, AttemptEnded("once1", 0, home_worker, Result.FULL, 311))
    assert dispatcher.state.requests["once1"].attempts[-1].worker.name != home_worker
    for i in range(3):  # repeatedly: for longer than the first ejection
        now = 700 + 40 * i
        assert submit(dispatcher, now, f"once-{i}", "once") != home_worker
        assert run_job(dispatcher, now + 1, f"free-{i}", duration_ms=30) == home_worker


def test_rejection_by_a_full_queue_does_not_eject_the_class() -> None:
    dispatcher = make_dispatcher()
    worker = dispatcher.state.workers[run_job(dispatcher, 1, "warm")]
    for i in range(12):
        submit(dispatcher, 300, f"r{i}", "once")
    last_attempt = next(reversed(worker.unstarted))
    assert last_attempt.load_before >= worker.pool.slots
    dispatcher.handle(400, AttemptEnded(last_attempt.request.id, 0, worker.name, Result.FULL, 100))
    assert worker.queue_wait_ms > 0 and ONCE.name not in worker.class_ejections


def test_brief_connect_failures_do_not_make_a_worker_cold() -> None:
    """One reset while connecting made every scheduler treat the worker as cold for the complete ramp."""
    dispatcher = make_dispatcher(1)
    run_job(dispatcher, 1, "warm")
    for name, outage_ms, is_cold in (("brief", 300.0, False), ("long", 1300.0, True)):
        now = 1000.0 if name == "brief" else 9000.0
        assert submit(dispatcher, now, name) == "w0"
        dispatcher.handle(now + 1, AttemptEnded(name, 0, "w0", Result.UNREACHABLE, 1.0, True))
        assert dispatcher.state.workers["w0"].is_unreachable
        assert run_job(dispatcher, now + outage_ms, f"{name}-after") == "w0"
        assert not dispatcher.state.workers["w0"].is_unreachable
        assert (
            slow_start.warmth(dispatcher.state, dispatcher.state.workers["w0"], now + outage_ms + 300) < 1
        ) is is_cold


def test_stalled_worker_receives_one_trial_job_that_can_move() -> None:
    """All jobs of its keys were rejected for as long as a lost job waited there: 12 s."""
    dispatcher = make_dispatcher()
    home_worker = run_job(dispatcher, 1, "warm")
    assert submit(dispatcher, 1000, "lost", "once") == home_worker
    now = 1000 + 2 * 300 + 1.0  # after two mean service times, which are short
    assert submit(dispatcher, now, "trial") == home_worker
    assert submit(dispatcher, now + 1, "next") != home_worker  # only one trial
    # The trial is never a job that cannot move to another worker.
    assert submit(dispatcher, now + 2, "once", "once") != home_worker
    moved = dispatcher.handle(now + 500, TimerFired(0))
    # The trial has not started: it moves to a worker where it starts at once.
    assert CancelAttempt("trial", 0) in moved
    assert submit(dispatcher, now + 1001, "again") == home_worker


def test_job_overtaken_on_a_fifo_worker_counts_as_lost_and_ejects_its_class() -> None:
    """The worker accepted accessions and never started them, while it served label checks."""
    dispatcher = make_dispatcher()
    home_worker = run_job(dispatcher, 1, "warm")
    assert submit(dispatcher, 1000, "lost", "once") == home_worker
    assert run_job(dispatcher, 1050, "passes") == home_worker
    worker = dispatcher.state.workers[home_worker]
    assert not worker.unstarted and worker.in_flight == 1  # the lost job delays no other job
    assert submit(dispatcher, 3000, "once", "once") != home_worker
    assert run_job(dispatcher, 3100, "free") == home_worker
    dispatcher.handle(13000, AttemptEnded("lost", 0, home_worker, Result.TIMEOUT, 12000.0))
    assert worker.in_flight == 0


def test_overtaken_job_is_not_lost_on_a_worker_without_fifo_order() -> None:
    dispatcher = make_dispatcher(fifo_workers=False)
    home_worker = run_job(dispatcher, 1, "warm")
    submit(dispatcher, 1000, "waits", "once")
    run_job(dispatcher, 1050, "passes")
    assert (
        len(dispatcher.state.workers[home_worker].unstarted) == 1
        and ONCE.name not in dispatcher.state.workers[home_worker].class_ejections
    )


def test_queue_order_setting_determines_fifo_workers() -> None:
    settings = {
        "policyLimits": {"maxAttempts": 1},
        "rules": {},
        "siblings": 1,
        "lanes": [{"name": "a", "aim": 1.0, "deadline": 2.0}],
    }
    assert parse_settings(settings | {"familyInfo": {"queueOrder": "fifo"}}).fifo_workers
    for order in ("backfill", "priority", None):
        assert not parse_settings(settings | {"familyInfo": {"queueOrder": order}}).fifo_workers

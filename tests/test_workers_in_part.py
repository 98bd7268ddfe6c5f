"""Workers that fail in part: they turn a class away, lose jobs, stand still, refuse connects for a moment."""

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


def make(workers: int = 3, **more: object) -> Dispatcher:
    values: dict[str, object] = {
        "classes": (FREE, ONCE),
        "max_attempts": 3,
        "reports_starts": True,
        "may_cancel": True,
        "fifo_workers": True,
        "connect_timeout_ms": 200.0,
        "ramp_ms": 8000.0,
        "initial_capacity_share": 0.3,
    } | more
    d = Dispatcher(Settings(**values), seed=1)  # type: ignore[arg-type]
    infos = tuple(WorkerInfo(f"w{i}", kind="std") for i in range(workers))
    d.handle(0.0, EndpointsChanged(Scope.FULL, infos))
    return d


def ask(d: Dispatcher, now: float, name: str, cls: str = "free") -> str | None:
    """Where a job is sent, if it is."""
    sends = [
        a.worker
        for a in d.handle(now, RequestReceived(name, cls, 5000.0, "k"))
        if isinstance(a, StartAttempt)
    ]
    return sends[0] if sends else None


def served(d: Dispatcher, now: float, name: str, cls: str = "free", takes: float = 200.0) -> str:
    worker = ask(d, now, name, cls)
    assert worker is not None
    d.handle(now + 1, AttemptStarted(name, 0, worker))
    d.handle(now + takes, AttemptEnded(name, 0, worker, Result.OK, takes, True))
    return worker


def test_a_class_turned_away_with_slots_free_goes_elsewhere_and_the_other_stays() -> None:
    """The answer took 300 ms, and was taken for a full queue: jobs of the other class were refused for it."""
    d = make()
    home = served(d, 1, "warm")
    assert ask(d, 300, "once1", "once") == home
    d.handle(611, AttemptEnded("once1", 0, home, Result.FULL, 311))
    assert d.state.requests["once1"].attempts[-1].worker.name != home
    for i in range(3):  # again and again: longer than its first bar
        now = 700 + 40 * i
        assert ask(d, now, f"once-{i}", "once") != home
        assert served(d, now + 1, f"free-{i}", takes=30) == home


def test_a_full_queue_is_still_one() -> None:
    d = make()
    home = d.state.workers[served(d, 1, "warm")]
    for i in range(12):
        ask(d, 300, f"r{i}", "once")
    last = next(reversed(home.unstarted))
    assert last.load_before >= home.pool.slots
    d.handle(400, AttemptEnded(last.request.id, 0, home.name, Result.FULL, 100))
    assert home.queue_wait_ms > 0 and ONCE.name not in home.class_ejections


def test_connects_refused_for_a_moment_are_no_restart() -> None:
    """One reset while connecting made a worker count as cold for its whole ramp, at every scheduler."""
    d = make(1)
    served(d, 1, "warm")
    for name, down, cold in (("brief", 300.0, False), ("long", 1300.0, True)):
        now = 1000.0 if name == "brief" else 9000.0
        assert ask(d, now, name) == "w0"
        d.handle(now + 1, AttemptEnded(name, 0, "w0", Result.UNREACHABLE, 1.0, True))
        assert d.state.workers["w0"].is_unreachable
        assert served(d, now + down, f"{name}-after") == "w0"
        assert not d.state.workers["w0"].is_unreachable
        assert (slow_start.warmth(d.state, d.state.workers["w0"], now + down + 300) < 1) is cold


def test_a_worker_that_stands_still_gets_a_trial_that_may_move_on() -> None:
    """All jobs of its keys were refused for as long as a lost one waited there: 12 s."""
    d = make()
    home = served(d, 1, "warm")
    assert ask(d, 1000, "lost", "once") == home
    now = 1000 + 2 * 300 + 1.0  # two of its mean times, which are short
    assert ask(d, now, "trial") == home
    assert ask(d, now + 1, "next") != home  # one trial
    assert ask(d, now + 2, "once", "once") != home  # never with a job that can't move on
    moved = d.handle(now + 500, TimerFired(0))
    assert CancelAttempt("trial", 0) in moved  # it has not begun: it goes where it begins at once
    assert ask(d, now + 1001, "again") == home


def test_a_job_that_a_later_one_overtook_is_lost_and_its_class_keeps_off() -> None:
    """The worker took accessions and never began them, while it served label checks."""
    d = make()
    home = served(d, 1, "warm")
    assert ask(d, 1000, "lost", "once") == home
    assert served(d, 1050, "passes") == home
    worker = d.state.workers[home]
    assert not worker.unstarted and worker.in_flight == 1  # it makes nobody wait
    assert ask(d, 3000, "once", "once") != home
    assert served(d, 3100, "free") == home
    d.handle(13000, AttemptEnded("lost", 0, home, Result.TIMEOUT, 12000.0))
    assert worker.in_flight == 0


def test_where_jobs_do_not_begin_in_order_overtaking_says_nothing() -> None:
    d = make(fifo_workers=False)
    home = served(d, 1, "warm")
    ask(d, 1000, "waits", "once")
    served(d, 1050, "passes")
    assert (
        len(d.state.workers[home].unstarted) == 1 and ONCE.name not in d.state.workers[home].class_ejections
    )


def test_the_settings_say_whether_jobs_begin_in_order() -> None:
    facts = {
        "policyLimits": {"maxAttempts": 1},
        "rules": {},
        "siblings": 1,
        "lanes": [{"name": "a", "aim": 1.0, "deadline": 2.0}],
    }
    assert parse_settings(facts | {"familyInfo": {"queueOrder": "fifo"}}).fifo_workers
    for order in ("backfill", "priority", None):
        assert not parse_settings(facts | {"familyInfo": {"queueOrder": order}}).fifo_workers

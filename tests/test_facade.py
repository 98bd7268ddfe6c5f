"""The facade: small decisions, none of them lost, and when to tick next."""

from __future__ import annotations

from oxbowyard.decision.facade import (
    AttemptEnded,
    AttemptStarted,
    CancelAttempt,
    ClientDisconnected,
    Facade,
    FailRequest,
    QueueRequest,
    RejectRequest,
    RequestReceived,
    Result,
    Scope,
    StartAttempt,
    WorkerInfo,
)
from oxbowyard.decision.settings import JobClass, RetrySafety, Settings

FREE = JobClass("free", latency_objective_ms=1000, deadline_ms=5000, retry_safety=RetrySafety.IDEMPOTENT)
ONCE = JobClass("once", latency_objective_ms=1000, deadline_ms=5000)


class Clock:
    now = 1000.0

    def __call__(self) -> float:
        return self.now


def make(workers: int) -> tuple[Facade, Clock]:
    clock = Clock()
    settings = Settings(classes=(FREE, ONCE), max_attempts=3, may_cancel=True, reports_starts=True)
    facade = Facade(settings, 1, clock)
    if workers:
        facade.update_endpoints(Scope.FULL, tuple(WorkerInfo(f"w{i}") for i in range(workers)))
    return facade, clock


def test_a_held_req_is_decided_about_by_a_later_tick() -> None:
    facade, clock = make(0)
    turns = [facade.decide(RequestReceived(name, "once", 5000)) for name in ("a", "b")]
    assert [t.actions for t in turns] == [(QueueRequest("a"),), (QueueRequest("b"),)]
    due = turns[1].next_tick_ms
    assert due is not None and due > clock.now
    facade.update_endpoints(Scope.FULL, (WorkerInfo("w0"),))
    assert facade.tick(clock.now).actions == ()  # not due yet
    clock.now = due
    assert set(facade.tick(due).actions) == {StartAttempt("a", 0, "w0"), StartAttempt("b", 0, "w0")}


def test_fetches_are_numbered_and_the_last_word_is_final() -> None:
    facade, _ = make(2)
    (first,) = facade.decide(RequestReceived("r", "free", 5000)).actions
    assert isinstance(first, StartAttempt) and first.attempt == 0
    facade.report(AttemptStarted("r", 0, first.worker))
    (second,) = facade.report(AttemptEnded("r", 0, first.worker, Result.RESET)).actions
    assert isinstance(second, StartAttempt) and second.attempt == 1 and second.worker != first.worker
    assert facade.report(AttemptEnded("r", 1, second.worker, Result.OK, is_final=True)).actions == ()


def test_what_may_have_run_is_failed_and_what_did_not_is_refused() -> None:
    facade, _ = make(1)
    for name, result, wanted in (("x", Result.RESET, FailRequest), ("y", Result.TIMEOUT, FailRequest)):
        facade.decide(RequestReceived(name, "once", 5000))
        (answer,) = facade.report(AttemptEnded(name, 0, "w0", result)).actions
        assert isinstance(answer, wanted)
    (answer,) = facade.decide(RequestReceived("late", "once", 0.0)).actions
    assert isinstance(answer, RejectRequest)


def test_a_client_that_leaves_has_its_fetch_cancelled() -> None:
    facade, _ = make(1)
    facade.decide(RequestReceived("r", "once", 5000))
    assert facade.report(ClientDisconnected("r")).actions == (CancelAttempt("r", 0),)


def test_the_clock_may_stand_or_step_back() -> None:
    facade, clock = make(1)
    clock.now -= 500
    (decision,) = facade.decide(RequestReceived("r", "once", 5000)).actions
    assert isinstance(decision, StartAttempt)

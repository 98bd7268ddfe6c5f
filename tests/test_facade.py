"""Unit tests of the facade: the actions of each call, and the time of the next tick."""

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


def make_facade(workers: int) -> tuple[Facade, Clock]:
    clock = Clock()
    settings = Settings(classes=(FREE, ONCE), max_attempts=3, may_cancel=True, reports_starts=True)
    facade = Facade(settings, 1, clock)
    if workers:
        facade.update_endpoints(Scope.FULL, tuple(WorkerInfo(f"w{i}") for i in range(workers)))
    return facade, clock


def test_queued_request_is_sent_by_a_later_tick() -> None:
    facade, clock = make_facade(0)
    decisions = [facade.decide(RequestReceived(name, "once", 5000)) for name in ("a", "b")]
    assert [decision.actions for decision in decisions] == [(QueueRequest("a"),), (QueueRequest("b"),)]
    due_ms = decisions[1].next_tick_ms
    assert due_ms is not None and due_ms > clock.now
    facade.update_endpoints(Scope.FULL, (WorkerInfo("w0"),))
    assert facade.tick(clock.now).actions == ()  # not due yet
    clock.now = due_ms
    assert set(facade.tick(due_ms).actions) == {StartAttempt("a", 0, "w0"), StartAttempt("b", 0, "w0")}


def test_attempts_are_numbered_and_a_final_result_ends_the_request() -> None:
    facade, _ = make_facade(2)
    (first,) = facade.decide(RequestReceived("r", "free", 5000)).actions
    assert isinstance(first, StartAttempt) and first.attempt == 0
    facade.report(AttemptStarted("r", 0, first.worker))
    (second,) = facade.report(AttemptEnded("r", 0, first.worker, Result.RESET)).actions
    assert isinstance(second, StartAttempt) and second.attempt == 1 and second.worker != first.worker
    assert facade.report(AttemptEnded("r", 1, second.worker, Result.OK, is_final=True)).actions == ()


def test_request_that_may_have_run_fails_and_one_that_did_not_is_rejected() -> None:
    facade, _ = make_facade(1)
    for name, result, expected in (("x", Result.RESET, FailRequest), ("y", Result.TIMEOUT, FailRequest)):
        facade.decide(RequestReceived(name, "once", 5000))
        (answer,) = facade.report(AttemptEnded(name, 0, "w0", result)).actions
        assert isinstance(answer, expected)
    (answer,) = facade.decide(RequestReceived("late", "once", 0.0)).actions
    assert isinstance(answer, RejectRequest)


def test_attempt_is_cancelled_when_its_client_disconnects() -> None:
    facade, _ = make_facade(1)
    facade.decide(RequestReceived("r", "once", 5000))
    assert facade.report(ClientDisconnected("r")).actions == (CancelAttempt("r", 0),)


def test_request_is_sent_after_the_clock_steps_back() -> None:
    facade, clock = make_facade(1)
    clock.now -= 500
    (action,) = facade.decide(RequestReceived("r", "once", 5000)).actions
    assert isinstance(action, StartAttempt)

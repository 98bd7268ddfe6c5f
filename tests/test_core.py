"""Tests of the core without a network: every request gets exactly one answer, whatever fails."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from oxbowyard.core.clock import make_unix_ms_clock
from oxbowyard.core.log_limit import LogLimit
from oxbowyard.core.request import Answer, AnswerKind, AttemptContext, AttemptOutcome, Request
from oxbowyard.core.scheduler import Limits, Scheduler
from oxbowyard.core.service_measure import ServiceMeasure
from oxbowyard.decision.facade import Facade, Result, Scope, WorkerInfo
from oxbowyard.decision.settings import JobClass, RetrySafety, Settings

FREE = JobClass(
    "free",
    latency_objective_ms=1000,
    deadline_ms=5000,
    retry_safety=RetrySafety.IDEMPOTENT,
    priority_weight=1,
)
ONCE = JobClass("once", latency_objective_ms=1000, deadline_ms=5000, priority_weight=8)
SETTINGS = Settings(classes=(FREE, ONCE), max_attempts=3, may_cancel=True, reports_starts=True)

Attempt = Callable[[str, Request, AttemptContext], Awaitable[AttemptOutcome]]


class Stage:
    """A scheduler whose transport is one function."""

    def __init__(self, attempt: Attempt, workers: int = 2, limits: Limits | None = None) -> None:
        clock = make_unix_ms_clock()
        self.facade = Facade(SETTINGS, 1, clock)
        self.measure = ServiceMeasure(SETTINGS.classes)
        self.attempts: list[tuple[str, str]] = []
        self._attempt = attempt
        self.scheduler = Scheduler(SETTINGS, self.facade, self, clock, self.measure, limits or Limits())
        if workers:
            self.scheduler.update_endpoints(Scope.FULL, tuple(WorkerInfo(f"w{i}") for i in range(workers)))

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        self.attempts.append((backend, request.id))
        return await self._attempt(backend, request, context)

    async def serve(self, job_class: str, timeout_s: float = 1.0, id_: str = "r") -> Answer:
        return await self.scheduler.serve(Request(id_, job_class, timeout_s))


async def succeed(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    context.is_last_byte_written = True
    context.on_started()
    return AttemptOutcome(Result.OK, b"made")


async def hang(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    context.is_last_byte_written = True
    await asyncio.sleep(60)
    raise AssertionError("never here")


async def ignore_cancellation(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    """Ignore cancellation and end on its own."""
    context.is_last_byte_written = True
    while True:
        try:
            await asyncio.sleep(0.9)
            return AttemptOutcome(Result.OK, b"late")
        except asyncio.CancelledError:
            continue


async def raise_after_send(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    context.is_last_byte_written = True
    raise RuntimeError("our own code")


async def raise_before_send(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    raise RuntimeError("our own code")


async def reset_connection(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    context.is_last_byte_written = True
    return AttemptOutcome(Result.RESET)


async def reject_as_full(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    return AttemptOutcome(Result.FULL)


@pytest.mark.parametrize(
    ("attempt", "job_class", "kind", "max_attempts"),
    [
        (succeed, "once", AnswerKind.SERVED, 1),
        (hang, "once", AnswerKind.FAILED, 1),
        (hang, "free", AnswerKind.REJECTED, 3),
        (ignore_cancellation, "once", AnswerKind.FAILED, 1),
        (raise_after_send, "once", AnswerKind.FAILED, 1),
        (raise_before_send, "once", AnswerKind.REJECTED, 3),
        (reset_connection, "once", AnswerKind.FAILED, 1),
        (reset_connection, "free", AnswerKind.REJECTED, 3),
        (reject_as_full, "once", AnswerKind.REJECTED, 3),
    ],
)
def test_request_gets_one_answer_before_its_deadline(
    attempt: Attempt, job_class: str, kind: AnswerKind, max_attempts: int
) -> None:
    async def scenario() -> None:
        stage = Stage(attempt)
        loop = asyncio.get_running_loop()
        start = loop.time()
        answer = await stage.serve(job_class, timeout_s=0.5)
        assert answer.kind is kind
        assert loop.time() - start < 0.5 + 0.05
        assert 1 <= len(stage.attempts) <= max_attempts
        async with asyncio.timeout(5):
            await stage.scheduler.wait_until_idle()
        assert stage.measure.answers == {kind: 1}

    asyncio.run(scenario())


def test_queued_request_without_workers_is_rejected() -> None:
    async def scenario() -> None:
        stage = Stage(succeed, workers=0)
        assert (await stage.serve("once", timeout_s=0.3)).kind is AnswerKind.REJECTED
        assert stage.attempts == [] and stage.measure.answers == {AnswerKind.REJECTED: 1}

    asyncio.run(scenario())


def test_exception_in_the_dispatcher_rejects_the_request(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_fault(*_: Any) -> None:
        raise ZeroDivisionError

    async def scenario() -> None:
        stage = Stage(succeed)
        dispatcher = stage.facade._dispatcher
        monkeypatch.setattr(dispatcher, "_handlers", dict.fromkeys(dispatcher._handlers, raise_fault))
        assert (await stage.serve("once")).kind is AnswerKind.REJECTED  # it certainly never ran
        monkeypatch.undo()
        assert (await stage.serve("once", id_="r2")).kind is AnswerKind.SERVED

    asyncio.run(scenario())


def test_exception_in_the_dispatcher_after_an_attempt_fails_the_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def raise_fault(*_: Any) -> None:
        raise ZeroDivisionError

    async def scenario() -> None:
        stage = Stage(reset_connection)
        handlers = stage.facade._dispatcher._handlers
        broken = {k: raise_fault if k.__name__ == "AttemptEnded" else v for k, v in handlers.items()}
        monkeypatch.setattr(stage.facade._dispatcher, "_handlers", broken)
        assert (await stage.serve("once")).kind is AnswerKind.FAILED
        assert len(stage.attempts) == 1

    asyncio.run(scenario())


def test_client_disconnect_counts_as_one_answer() -> None:
    async def scenario() -> None:
        stage = Stage(hang)
        task = asyncio.create_task(stage.serve("once"))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await stage.scheduler.wait_until_idle()
        assert (
            stage.measure.answers == {AnswerKind.CLIENT_DISCONNECTED: 1}
            and stage.scheduler.open_request_count == 0
        )

    asyncio.run(scenario())


def test_open_request_limit_rejects_and_duplicate_open_id_fails() -> None:
    async def scenario() -> None:
        stage = Stage(hang, limits=Limits(max_open_requests=1))
        first = asyncio.create_task(stage.serve("once", id_="a"))
        await asyncio.sleep(0)
        assert (await stage.serve("once", id_="b")).kind is AnswerKind.REJECTED
        assert (await stage.serve("once", id_="a")).kind is AnswerKind.FAILED
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        await stage.scheduler.wait_until_idle()
        assert stage.measure.answers == {AnswerKind.CLIENT_DISCONNECTED: 1, AnswerKind.REJECTED: 1}

    asyncio.run(scenario())


def test_service_measure_weighs_answers_in_time() -> None:
    measure = ServiceMeasure(SETTINGS.classes)
    assert measure.share == 1.0
    for name in ("free", "once"):
        measure.record_request(name, is_retry=False)
    measure.record_request("free", is_retry=True)  # counts as part of the first submission
    measure.record_answer("free", AnswerKind.SERVED, 0.5, 0.2)
    measure.record_answer("once", AnswerKind.SERVED, 1.5, 0.2)  # too late
    assert measure.share == pytest.approx(1 / 9)


def test_lines_that_peers_cause_are_limited() -> None:
    # Guards against a line for each peer, which fills the log while hundreds misbehave (issue 56).
    now = 0.0
    limit = LogLimit(3, 10.0, lambda: now)
    assert [limit.allows_line() for _ in range(5)] == [True] * 3 + [False] * 2
    assert limit.take_left_out() == 0  # reported once an interval, not with each line
    now = 10.0
    assert limit.allows_line() and limit.take_left_out() == 2 and limit.take_left_out() == 0

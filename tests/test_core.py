"""The core without any wire: every request gets its one answer, whatever fails around it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from oxbowyard.core.clock import make_unix_ms_clock
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
    """A scheduler over a transport that is one function."""

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


async def served(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    context.is_last_byte_written = True
    context.on_started()
    return AttemptOutcome(Result.OK, b"made")


async def hangs(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    context.is_last_byte_written = True
    await asyncio.sleep(60)
    raise AssertionError("never here")


async def deaf(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    """Does not end when it is called off."""
    context.is_last_byte_written = True
    while True:
        try:
            await asyncio.sleep(0.9)
            return AttemptOutcome(Result.OK, b"late")
        except asyncio.CancelledError:
            continue


async def breaks(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    context.is_last_byte_written = True
    raise RuntimeError("our own code")


async def breaks_before(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    raise RuntimeError("our own code")


async def reset_connection(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    context.is_last_byte_written = True
    return AttemptOutcome(Result.RESET)


async def full(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    return AttemptOutcome(Result.FULL)


@pytest.mark.parametrize(
    ("attempt", "job_class", "kind", "most"),
    [
        (served, "once", AnswerKind.SERVED, 1),
        (hangs, "once", AnswerKind.FAILED, 1),
        (hangs, "free", AnswerKind.REJECTED, 3),
        (deaf, "once", AnswerKind.FAILED, 1),
        (breaks, "once", AnswerKind.FAILED, 1),
        (breaks_before, "once", AnswerKind.REJECTED, 3),
        (reset_connection, "once", AnswerKind.FAILED, 1),
        (reset_connection, "free", AnswerKind.REJECTED, 3),
        (full, "once", AnswerKind.REJECTED, 3),
    ],
)
def test_one_answer_in_time(attempt: Attempt, job_class: str, kind: AnswerKind, most: int) -> None:
    async def play() -> None:
        stage = Stage(attempt)
        loop = asyncio.get_running_loop()
        start = loop.time()
        answer = await stage.serve(job_class, timeout_s=0.5)
        assert answer.kind is kind
        assert loop.time() - start < 0.5 + 0.05
        assert 1 <= len(stage.attempts) <= most
        async with asyncio.timeout(5):
            await stage.scheduler.wait_until_idle()
        assert stage.measure.answers == {kind: 1}

    asyncio.run(play())


def test_a_request_that_the_decisions_hold_is_answered() -> None:
    async def play() -> None:
        stage = Stage(served, workers=0)
        assert (await stage.serve("once", timeout_s=0.3)).kind is AnswerKind.REJECTED
        assert stage.attempts == [] and stage.measure.answers == {AnswerKind.REJECTED: 1}

    asyncio.run(play())


def test_a_fault_in_the_decisions_answers_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    def fault(*_: Any) -> None:
        raise ZeroDivisionError

    async def play() -> None:
        stage = Stage(served)
        dispatcher = stage.facade._dispatcher
        monkeypatch.setattr(dispatcher, "_handlers", dict.fromkeys(dispatcher._handlers, fault))
        assert (await stage.serve("once")).kind is AnswerKind.REJECTED  # it surely never ran
        monkeypatch.undo()
        assert (await stage.serve("once", id_="r2")).kind is AnswerKind.SERVED

    asyncio.run(play())


def test_a_fault_after_the_attempt_answers_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    def fault(*_: Any) -> None:
        raise ZeroDivisionError

    async def play() -> None:
        stage = Stage(reset_connection)
        handlers = stage.facade._dispatcher._handlers
        broken = {k: fault if k.__name__ == "AttemptEnded" else v for k, v in handlers.items()}
        monkeypatch.setattr(stage.facade._dispatcher, "_handlers", broken)
        assert (await stage.serve("once")).kind is AnswerKind.FAILED
        assert len(stage.attempts) == 1

    asyncio.run(play())


def test_a_client_that_leaves_is_one_answer_in_the_count() -> None:
    async def play() -> None:
        stage = Stage(hangs)
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

    asyncio.run(play())


def test_too_many_open_requests_are_rejected_and_an_open_id_is_not_admitted_twice() -> None:
    async def play() -> None:
        stage = Stage(hangs, limits=Limits(max_open_requests=1))
        first = asyncio.create_task(stage.serve("once", id_="a"))
        await asyncio.sleep(0)
        assert (await stage.serve("once", id_="b")).kind is AnswerKind.REJECTED
        assert (await stage.serve("once", id_="a")).kind is AnswerKind.FAILED
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        await stage.scheduler.wait_until_idle()
        assert stage.measure.answers == {AnswerKind.CLIENT_DISCONNECTED: 1, AnswerKind.REJECTED: 1}

    asyncio.run(play())


def test_the_service_measure() -> None:
    measure = ServiceMeasure(SETTINGS.classes)
    assert measure.share == 1.0
    for name in ("free", "once"):
        measure.record_request(name, is_retry=False)
    measure.record_request("free", is_retry=True)  # belongs to its first try
    measure.record_answer("free", AnswerKind.SERVED, 0.5, 0.2)
    measure.record_answer("once", AnswerKind.SERVED, 1.5, 0.2)  # too late
    assert measure.share == pytest.approx(1 / 9)

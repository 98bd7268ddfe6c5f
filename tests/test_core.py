"""The core without any wire: every req gets its one answer, whatever fails around it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from oxbowyard.core.clock import steady_unix_ms
from oxbowyard.core.measure import ServiceMeasure
from oxbowyard.core.req import Answer, Ending, FetchNotes, Kind, Req
from oxbowyard.core.scheduler import Limits, Scheduler
from oxbowyard.decision.facade import Facade, Result, Scope, WorkerInfo
from oxbowyard.decision.settings import JobClass, Repeat, Settings

FREE = JobClass("free", aim=1000, deadline=5000, repeat=Repeat.FREE, worth=1)
ONCE = JobClass("once", aim=1000, deadline=5000, worth=8)
SETTINGS = Settings(classes=(FREE, ONCE), max_attempts=3, may_cancel=True, tells_start=True)

Fetch = Callable[[str, Req, FetchNotes], Awaitable[Ending]]


class Stage:
    """A scheduler over a transport that is one function."""

    def __init__(self, fetch: Fetch, workers: int = 2, limits: Limits | None = None) -> None:
        clock = steady_unix_ms()
        self.facade = Facade(SETTINGS, 1, clock)
        self.measure = ServiceMeasure(SETTINGS.classes)
        self.fetches: list[tuple[str, str]] = []
        self._fetch = fetch
        self.scheduler = Scheduler(SETTINGS, self.facade, self, clock, self.measure, limits or Limits())
        if workers:
            self.scheduler.learn(Scope.FULL, tuple(WorkerInfo(f"w{i}") for i in range(workers)))

    async def fetch(self, backend: str, req: Req, notes: FetchNotes) -> Ending:
        self.fetches.append((backend, req.id))
        return await self._fetch(backend, req, notes)

    async def serve(self, job_class: str, patience: float = 1.0, id_: str = "r") -> Answer:
        return await self.scheduler.serve(Req(id_, job_class, patience))


async def served(backend: str, req: Req, notes: FetchNotes) -> Ending:
    notes.written = True
    notes.on_began()
    return Ending(Result.OK, b"made")


async def hangs(backend: str, req: Req, notes: FetchNotes) -> Ending:
    notes.written = True
    await asyncio.sleep(60)
    raise AssertionError("never here")


async def deaf(backend: str, req: Req, notes: FetchNotes) -> Ending:
    """Does not end when it is called off."""
    notes.written = True
    while True:
        try:
            await asyncio.sleep(0.9)
            return Ending(Result.OK, b"late")
        except asyncio.CancelledError:
            continue


async def breaks(backend: str, req: Req, notes: FetchNotes) -> Ending:
    notes.written = True
    raise RuntimeError("our own code")


async def breaks_before(backend: str, req: Req, notes: FetchNotes) -> Ending:
    raise RuntimeError("our own code")


async def lost(backend: str, req: Req, notes: FetchNotes) -> Ending:
    notes.written = True
    return Ending(Result.RESET)


async def full(backend: str, req: Req, notes: FetchNotes) -> Ending:
    return Ending(Result.FULL)


@pytest.mark.parametrize(
    ("fetch", "job_class", "kind", "most"),
    [
        (served, "once", Kind.SERVED, 1),
        (hangs, "once", Kind.FAILED, 1),
        (hangs, "free", Kind.REFUSED, 3),
        (deaf, "once", Kind.FAILED, 1),
        (breaks, "once", Kind.FAILED, 1),
        (breaks_before, "once", Kind.REFUSED, 3),
        (lost, "once", Kind.FAILED, 1),
        (lost, "free", Kind.REFUSED, 3),
        (full, "once", Kind.REFUSED, 3),
    ],
)
def test_one_answer_in_time(fetch: Fetch, job_class: str, kind: Kind, most: int) -> None:
    async def play() -> None:
        stage = Stage(fetch)
        loop = asyncio.get_running_loop()
        start = loop.time()
        answer = await stage.serve(job_class, patience=0.5)
        assert answer.kind is kind
        assert loop.time() - start < 0.5 + 0.05
        assert 1 <= len(stage.fetches) <= most
        async with asyncio.timeout(5):
            await stage.scheduler.idle()
        assert stage.measure.answers == {kind: 1}

    asyncio.run(play())


def test_a_req_that_the_module_holds_is_answered() -> None:
    async def play() -> None:
        stage = Stage(served, workers=0)
        assert (await stage.serve("once", patience=0.3)).kind is Kind.REFUSED
        assert stage.fetches == [] and stage.measure.answers == {Kind.REFUSED: 1}

    asyncio.run(play())


def test_a_fault_in_the_decisions_answers_its_req(monkeypatch: pytest.MonkeyPatch) -> None:
    def fault(*_: Any) -> None:
        raise ZeroDivisionError

    async def play() -> None:
        stage = Stage(served)
        dispatcher = stage.facade._dispatcher
        monkeypatch.setattr(dispatcher, "_handlers", dict.fromkeys(dispatcher._handlers, fault))
        assert (await stage.serve("once")).kind is Kind.REFUSED  # it surely never ran
        monkeypatch.undo()
        assert (await stage.serve("once", id_="r2")).kind is Kind.SERVED

    asyncio.run(play())


def test_a_fault_after_the_fetch_answers_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    def fault(*_: Any) -> None:
        raise ZeroDivisionError

    async def play() -> None:
        stage = Stage(lost)
        handlers = stage.facade._dispatcher._handlers
        broken = {k: fault if k.__name__ == "AttemptEnded" else v for k, v in handlers.items()}
        monkeypatch.setattr(stage.facade._dispatcher, "_handlers", broken)
        assert (await stage.serve("once")).kind is Kind.FAILED
        assert len(stage.fetches) == 1

    asyncio.run(play())


def test_a_client_that_leaves_is_one_answer_in_the_count() -> None:
    async def play() -> None:
        stage = Stage(hangs)
        task = asyncio.create_task(stage.serve("once"))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await stage.scheduler.idle()
        assert stage.measure.answers == {Kind.LEFT: 1} and stage.scheduler.open_count == 0

    asyncio.run(play())


def test_too_many_open_reqs_are_refused_and_an_open_id_is_not_taken_twice() -> None:
    async def play() -> None:
        stage = Stage(hangs, limits=Limits(open_reqs=1))
        first = asyncio.create_task(stage.serve("once", id_="a"))
        await asyncio.sleep(0)
        assert (await stage.serve("once", id_="b")).kind is Kind.REFUSED
        assert (await stage.serve("once", id_="a")).kind is Kind.FAILED
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        await stage.scheduler.idle()
        assert stage.measure.answers == {Kind.LEFT: 1, Kind.REFUSED: 1}

    asyncio.run(play())


def test_the_service_measure() -> None:
    measure = ServiceMeasure(SETTINGS.classes)
    assert measure.share == 1.0
    for name in ("free", "once"):
        measure.asked(name, is_retry=False)
    measure.asked("free", is_retry=True)  # belongs to its first try
    measure.answered("free", Kind.SERVED, 0.5, 0.2)
    measure.answered("once", Kind.SERVED, 1.5, 0.2)  # too late
    assert measure.share == pytest.approx(1 / 9)

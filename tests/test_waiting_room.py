"""The owner of waiting jobs, over the core and the real decisions: every job gets its one end."""

from __future__ import annotations

import asyncio
import gc
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from virtual import play

from oxbowyard.core.request import Answer, AnswerKind, AttemptContext, AttemptOutcome, Request, RunState
from oxbowyard.core.scheduler import Limits, Scheduler
from oxbowyard.core.service_measure import ServiceMeasure
from oxbowyard.daemon.collector import AT_LAST, FEW_JOBS, LOOK_EVERY, collect_when_few
from oxbowyard.decision.facade import Facade, Readiness, Result, Scope, WorkerInfo
from oxbowyard.decision.settings import JobClass, Repeat, Settings
from oxbowyard.waiting.ledger import Memory
from oxbowyard.waiting.order import AGED, Changed, End, Final, Parent, Rejected, State, Wait, When
from oxbowyard.waiting.room import WaitingRoom, bounded, with_aged
from oxbowyard.waiting.settings import ClassSettings, WaitingSettings

FREE = JobClass("free", aim=1000, deadline=5000, repeat=Repeat.FREE)
ONCE = JobClass("once", aim=1000, deadline=5000, worth=8)
CLASSES = (FREE, ONCE)
Attempt = Callable[[str, Request, AttemptContext], Awaitable[AttemptOutcome]]


class Stage:
    """A waiting room over a scheduler whose transport is one function."""

    def __init__(
        self, attempt: Attempt, workers: int = 4, ledger: Any = None, wall: Any = time.time, **more: Any
    ) -> None:
        changes: dict[str, Any] = {"classes": {"free": ClassSettings(queueing=True)}, "retry_first_s": 0.01}
        waiting = WaitingSettings(**changes | more)
        settings = Settings(
            classes=with_aged(CLASSES, waiting), max_attempts=3, may_cancel=True, tells_start=True,
            max_backoff=20.0, drain_grace=1000.0, cold_from=0.15, ramp=20_000.0, tip_multiple=2.5,
            tip_after=3000.0,
        )  # fmt: skip
        clock = self.clock
        self.facade = Facade(settings, 1, clock)
        self.attempts: list[tuple[str, str, str, float]] = []
        self._attempt = attempt
        measure = ServiceMeasure(settings.classes)
        self.scheduler = Scheduler(settings, self.facade, self, clock, measure, Limits())
        self.room = WaitingRoom(waiting, CLASSES, self.scheduler, clock, "t", wall, ledger)
        self.finals: dict[str, Final] = {}
        self.ends: Counter[str] = Counter()
        if workers:
            self.list_(*(WorkerInfo(f"w{i}") for i in range(workers)))

    def clock(self) -> float:
        """Virtual time in ms."""
        return asyncio.get_running_loop().time() * 1000

    def list_(self, *infos: WorkerInfo, scope: Scope = Scope.FULL) -> None:
        self.scheduler.update_endpoints(scope, infos)

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        self.attempts.append((backend, request.id, request.job_class, self.clock()))
        return await self._attempt(backend, request, context)

    def hand_in(self, id_: str, job_class: str = "free", **wait: Any) -> str:
        request = Request(id_, job_class, 3600.0, target=f"/{job_class}", payload=b"x")

        def ended(final: Final) -> None:
            self.finals[id_] = final
            self.ends[id_] += 1

        return self.room.hand_in([(request, Wait(**wait))], ended)[0].id

    async def until(self, *ids: str) -> list[End]:
        async with asyncio.timeout(10):
            while any(id_ not in self.finals for id_ in ids):
                await asyncio.sleep(0.002)
        return [self.finals[id_].end for id_ in ids]


async def served(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    context.written = True
    context.on_started()
    await asyncio.sleep(0.001)
    return AttemptOutcome(Result.OK, b"made " + request.id.encode())


async def hangs(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    context.written = True
    context.on_started()
    await asyncio.sleep(60)
    raise AssertionError("never here")


async def error(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    context.written = True
    return AttemptOutcome(Result.ERROR)


async def full(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    return AttemptOutcome(Result.FULL)


def test_a_child_runs_after_its_parent_and_the_library_awaits_both() -> None:
    async def scene() -> None:
        stage = Stage(served)
        room = stage.room
        child = asyncio.create_task(
            room.serve(Request("c", "once", 60.0), Wait(after=(Parent("p"),)))
            if stage.hand_in("p", delay=0.05)
            else room.serve(Request("x", "once", 1.0), Wait())
        )
        answer = await child
        assert (answer.kind, answer.body, answer.run_state) == (
            AnswerKind.SERVED,
            b"made c",
            RunState.HAS_RUN,
        )
        assert [id_ for _, id_, _, _ in stage.attempts] == ["p", "c"]
        again = await room.serve(Request("c2", "once", 60.0), Wait(token="k"))
        assert again.body == b"made c2"
        assert (
            await room.serve(Request("c3", "once", 60.0), Wait(token="k"))
        ).body == b"made c2"  # the same job

    play(scene)


def test_a_refused_job_is_asked_again_until_it_is_served() -> None:
    async def scene() -> None:
        stage = Stage(full)
        stage.hand_in("a", patience=30.0)
        while len(stage.attempts) < 10:
            await asyncio.sleep(0.005)
        stage._attempt = served
        assert await stage.until("a") == [End.SERVED]
        asks = {id_ for _, id_, _, _ in stage.attempts}
        assert len(asks) > 2  # each ask is a new request, as from a client that comes back
        assert all(sum(x == id_ for _, x, _, _ in stage.attempts) <= 3 for id_ in asks)

    play(scene)


def test_refused_without_end_it_ends_with_its_patience() -> None:
    async def scene() -> None:
        stage = Stage(full)
        stage.hand_in("a", patience=0.4)
        assert (await stage.until("a"))[0] in (End.EXPIRED, End.REFUSED)
        assert (
            stage.finals["a"].ran is RunState.NEVER_RAN
            and stage.finals["a"].answer().kind is AnswerKind.REJECTED
        )
        stage.hand_in("b", "once", patience=30.0)  # its class does not queue
        assert await stage.until("b") == [End.REFUSED]

    play(scene)


@pytest.mark.parametrize(
    ("attempt", "end", "ran", "either"),
    [
        (error, End.FAILED, RunState.MAY_HAVE_RUN, End.SERVED),
        (hangs, End.CANCELLED, RunState.MAY_BE_RUNNING, End.ORPHANED),
    ],
)
def test_a_parent_that_may_still_run_frees_nobody(
    attempt: Attempt, end: End, ran: RunState, either: End
) -> None:
    async def scene() -> None:
        stage = Stage(attempt)
        stage.hand_in("p", "once")
        stage.hand_in("strict", after=(Parent("p"),))
        stage.hand_in("either", after=(Parent("p", When.ENDED),))
        while not stage.attempts:
            await asyncio.sleep(0)
        stage._attempt = served
        await asyncio.sleep(0.01)
        if attempt is hangs:
            job = stage.room.cancel("p")
            assert job is not None and stage.room.cancel("p") is job  # twice does no harm
        assert await stage.until("p", "strict", "either") == [end, End.ORPHANED, either]
        assert stage.finals["p"].ran is ran
        assert set(stage.ends.values()) == {1}

    play(scene)


def test_a_client_that_leaves_ends_its_job_and_the_family() -> None:
    async def scene() -> None:
        stage = Stage(served)
        waits = asyncio.create_task(stage.room.serve(Request("p", "once", 60.0), Wait(delay=60.0)))
        await asyncio.sleep(0)
        stage.hand_in("c", after=(Parent("p"),))
        waits.cancel()
        assert await stage.until("c") == [End.ORPHANED]
        assert stage.attempts == [] and stage.room.find("p").end is End.CANCELLED  # type: ignore[union-attr]

    play(scene)


@pytest.mark.parametrize("hours", [-1.0, 24.0])
def test_the_systems_clock_may_step(hours: float) -> None:
    async def scene() -> None:
        wall = [1e9]
        stage = Stage(served, wall=lambda: wall[0])
        stage.hand_in("a", not_before=1e9 + 0.2)
        stage.hand_in("b", delay=0.1)
        wall[0] += hours * 3600
        await asyncio.sleep(0.05)
        assert stage.attempts == []
        assert await stage.until("a", "b") == [End.SERVED, End.SERVED]
        stage.hand_in("past", not_before=1.0)
        assert await stage.until("past") == [End.SERVED]

    play(scene)


def test_a_thousand_that_wait_end_as_never_run_when_the_program_stops() -> None:
    async def scene() -> None:
        stage = Stage(hangs)
        for i in range(1_000):
            stage.hand_in(f"j{i}", delay=60.0 if i % 2 else 0.0)
        await asyncio.sleep(0.02)
        asked = {id_ for _, id_, _, _ in stage.attempts}
        poll = asyncio.create_task(stage.room.wait("j1", 60.0))
        await asyncio.sleep(0)
        stage.room.wind_down()
        final = await poll
        assert final is not None and final.end is End.STOPPED and final.retry_after > 0
        assert final.ran is RunState.NEVER_RAN
        ids = [f"j{i}" for i in range(1_000) if f"j{i}" not in asked]
        assert set(await stage.until(*ids)) == {End.STOPPED} and set(stage.ends.values()) == {1}
        with pytest.raises(Rejected):
            stage.hand_in("late")
        for id_ in asked:
            stage.room.cancel(id_)
        await stage.room.idle()
        assert len(stage.ends) == 1_000

    play(scene)


class Slow(Memory):
    """A ledger that keeps what waits, and is safe only when told."""

    keeps = True

    def __init__(self) -> None:
        self.changes: list[tuple[str, State]] = []
        self.then: list[Callable[[], None]] = []

    def record(self, change: Changed, final: Final | None) -> None:
        self.changes.append((change.job.id, change.state))

    def when_safe(self, then: Callable[[], None]) -> None:
        self.then.append(then)

    def settle(self) -> None:
        waiting, self.then = self.then, []
        for then in waiting:
            then()


def test_every_change_goes_to_the_ledger_and_a_release_waits_for_it() -> None:
    async def scene() -> None:
        ledger = Slow()
        stage = Stage(served, ledger=ledger)
        stage.hand_in("a", durable=True)
        stage.hand_in("b", delay=60.0, durable=True)
        stage.hand_in("cut", durable=True)
        stage.hand_in("plain")  # what is not to be kept does not wait for the disk
        stage.room.cancel("cut")
        assert await stage.until("plain") == [End.SERVED]
        assert "cut" not in stage.finals and ("a", State.ASKED) in ledger.changes
        assert [id_ for _, id_, _, _ in stage.attempts] == ["plain"]
        while "a" not in stage.finals:  # its release, and its answer
            ledger.settle()
            await asyncio.sleep(0.01)
        assert await stage.until("a", "cut") == [End.SERVED, End.CANCELLED]
        states = [state for id_, state in ledger.changes if id_ == "a"]
        assert states == [State.HELD, State.READY, State.ASKED, State.STARTED, State.ENDED]
        assert [id_ for _, id_, _, _ in stage.attempts] == ["plain", "a"]
        poll = asyncio.create_task(stage.room.wait("b", 60.0))
        await asyncio.sleep(0)
        stage.room.wind_down()  # what waits is kept, so it has no end here
        await stage.room.idle()
        assert await poll is None and "b" not in stage.finals

    play(scene)


def test_one_fronts_fault_does_not_cost_the_others_their_ends(caplog: pytest.LogCaptureFixture) -> None:
    async def scene() -> None:
        stage = Stage(served)

        def broken(final: Final) -> None:
            raise ZeroDivisionError

        stage.room.hand_in([(Request("bad", "free", 5.0), Wait(delay=0.02))], broken)
        stage.hand_in("good", delay=0.02)
        assert await stage.until("good") == [End.SERVED]
        assert "could not carry out" in caplog.text

    play(scene)


class Slots:
    """Workers that run four jobs at once and let others wait their turn."""

    def __init__(self, seconds: float = 0.01) -> None:
        self._seconds = seconds
        self._slots: dict[str, asyncio.Semaphore] = {}
        self.waits: list[tuple[str, float]] = []

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        context.written = True
        loop = asyncio.get_running_loop()
        came = loop.time()
        async with self._slots.setdefault(backend, asyncio.Semaphore(4)):
            self.waits.append((backend, loop.time() - came))
            context.on_started()
            await asyncio.sleep(self._seconds)
            return AttemptOutcome(Result.OK)


def test_no_new_work_after_a_drain_notice_and_little_to_a_cold_successor() -> None:
    async def scene() -> None:
        workers = Slots(0.03)
        stage = Stage(workers.attempt, workers=2)
        ids = [stage.hand_in(f"j{i}") for i in range(300)]
        while len(stage.attempts) < 60:
            await asyncio.sleep(0.002)
        stage.list_(
            WorkerInfo("w0", Readiness.DRAINING),
            WorkerInfo("cold", online_since=stage.clock()),
            scope=Scope.CHANGES,
        )
        told = len(stage.attempts)
        await stage.until(*ids)
        after = Counter(backend for backend, _, _, _ in stage.attempts[told:])
        assert not after["w0"]
        # 2.5 times what it can do: under 0.3 of 4 slots with jobs of 30 ms, for the 3 s that all take.
        assert 0 < after["cold"] < 2.5 * 0.3 * 4 / 0.03 * 3 and after["w1"] > 100
        assert {final.end for final in stage.finals.values()} == {End.SERVED}

    play(scene)


def test_a_shrinking_fleet_gets_no_more_than_it_takes() -> None:
    async def scene() -> None:
        workers = Slots()
        stage = Stage(workers.attempt, workers=6)
        ids = [stage.hand_in(f"j{i}", delay=0.05) for i in range(400)]
        while len(stage.attempts) < 100:
            await asyncio.sleep(0.002)
        stage.list_(*(WorkerInfo(f"w{i}", Readiness.GONE) for i in range(1, 6)), scope=Scope.CHANGES)
        await asyncio.sleep(0.05)  # what was out has ended
        workers.waits.clear()
        await stage.until(*ids)
        assert set(stage.ends.values()) == {1}
        # All that are due, sent at once, would have made the last wait for 0.7 s.
        assert {backend for backend, _ in workers.waits} == {"w0"}
        assert max(wait for _, wait in workers.waits) < 0.4

    play(scene)


def test_an_aged_job_is_asked_with_the_patience_to_queue() -> None:
    async def scene() -> None:
        stage = Stage(hangs, workers=1, age_limit_s=0.1, quiet_limit_s=0.1, aged_per_s=100.0)
        for i in range(12):
            stage.hand_in(f"j{i}")
        while not any(name.endswith(AGED) for _, _, name, _ in stage.attempts):
            await asyncio.sleep(0.005)

    play(scene)


def test_limits_of_watchers_and_of_the_window() -> None:
    async def scene() -> None:
        stage = Stage(served, max_watchers=1)
        stage.hand_in("a", delay=60.0)
        poll = asyncio.create_task(stage.room.wait("a", 60.0))
        await asyncio.sleep(0)
        with pytest.raises(Rejected, match="1 wait already"):
            await stage.room.wait("a", 60.0)
        poll.cancel()
        await asyncio.gather(poll, return_exceptions=True)
        assert await stage.room.wait("a", 0.01) is None
        assert bounded(stage.room.settings, requests=5).max_window == 2

    play(scene)


def test_answers_say_what_is_known_of_the_run() -> None:
    async def scene() -> None:
        stage = Stage(error)
        answer: Answer = await stage.scheduler.serve(Request("r", "once", 1.0))
        assert (answer.kind, answer.run_state) == (AnswerKind.FAILED, RunState.MAY_HAVE_RUN)
        stage._attempt = hangs
        answer = await stage.scheduler.serve(Request("r", "once", 0.1))
        assert (answer.kind, answer.run_state) == (AnswerKind.FAILED, RunState.MAY_BE_RUNNING)
        stage._attempt = full
        answer = await stage.scheduler.serve(Request("r", "once", 0.3))
        assert (answer.kind, answer.run_state) == (AnswerKind.REJECTED, RunState.NEVER_RAN)

    play(scene)


def test_served_reqs_leave_no_circles_and_full_collections_wait_for_few_jobs() -> None:
    async def scene() -> None:
        stage = Stage(served)
        await asyncio.sleep(0)
        gc.collect()
        await stage.until(*(stage.hand_in(f"j{i}") for i in range(200)))
        await asyncio.sleep(10)
        assert gc.collect() < 50  # not one a request
        many = [FEW_JOBS + 1]
        passes: list[float] = []
        gc.callbacks.append(lambda phase, info: passes.append(info["generation"] if phase == "start" else -1))
        task = asyncio.create_task(collect_when_few(lambda: many[0]))
        await asyncio.sleep(AT_LAST - 1)
        assert 2 not in passes
        await asyncio.sleep(LOOK_EVERY)
        assert passes.count(2) == 1  # at last, whatever waits
        many[0] = 0
        await asyncio.sleep(LOOK_EVERY)
        assert passes.count(2) == 2
        task.cancel()

    enabled = gc.isenabled()
    gc.disable()  # only what is asked for
    try:
        play(scene, most=2 * AT_LAST)
    finally:
        gc.callbacks.pop()
        if enabled:
            gc.enable()

"""The owner of waiting jobs, over the core and the real decisions: every job gets its one end."""

from __future__ import annotations

import asyncio
import gc
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from virtual_loop import run_in_virtual_time

from oxbowyard.core.request import Answer, AnswerKind, AttemptContext, AttemptOutcome, Request, RunState
from oxbowyard.core.scheduler import Limits, Scheduler
from oxbowyard.core.service_measure import ServiceMeasure
from oxbowyard.daemon.garbage_collection import (
    CHECK_INTERVAL_S,
    FEW_JOBS,
    MAX_PASS_INTERVAL_S,
    run_full_passes,
)
from oxbowyard.decision.facade import Facade, Readiness, Result, Scope, WorkerInfo
from oxbowyard.decision.settings import JobClass, RetrySafety, Settings
from oxbowyard.waiting.job import (
    AGED_CLASS_SUFFIX,
    Dependency,
    DependencyCondition,
    JobOutcome,
    JobRejectedError,
    JobResult,
    JobState,
    StateChanged,
    WaitOptions,
)
from oxbowyard.waiting.job_queue import JobQueue, with_aged_classes, with_bounded_window
from oxbowyard.waiting.journal import InMemoryJournal
from oxbowyard.waiting.settings import ClassSettings, WaitingSettings

FREE = JobClass("free", latency_objective_ms=1000, deadline_ms=5000, retry_safety=RetrySafety.IDEMPOTENT)
ONCE = JobClass("once", latency_objective_ms=1000, deadline_ms=5000, priority_weight=8)
CLASSES = (FREE, ONCE)
Attempt = Callable[[str, Request, AttemptContext], Awaitable[AttemptOutcome]]


class Stage:
    """A job queue over a scheduler whose transport is one function."""

    def __init__(
        self, attempt: Attempt, workers: int = 4, journal: Any = None, wall: Any = time.time, **more: Any
    ) -> None:
        changes: dict[str, Any] = {"classes": {"free": ClassSettings(queueing=True)}, "retry_first_s": 0.01}
        waiting = WaitingSettings(**changes | more)
        settings = Settings(
            classes=with_aged_classes(CLASSES, waiting),
            max_attempts=3,
            may_cancel=True,
            reports_starts=True,
            max_retry_after_ms=20.0,
            drain_grace_ms=1000.0,
            initial_capacity_share=0.15,
            ramp_ms=20_000.0,
            overload_multiple=2.5,
            overload_window_ms=3000.0,
        )
        clock = self.clock
        self.facade = Facade(settings, 1, clock)
        self.attempts: list[tuple[str, str, str, float]] = []
        self._attempt = attempt
        measure = ServiceMeasure(settings.classes)
        self.scheduler = Scheduler(settings, self.facade, self, clock, measure, Limits())
        self.room = JobQueue(waiting, CLASSES, self.scheduler, clock, "t", wall, journal)
        self.finals: dict[str, JobResult] = {}
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

    def submit(self, id_: str, job_class: str = "free", **wait: Any) -> str:
        request = Request(id_, job_class, 3600.0, target=f"/{job_class}", payload=b"x")

        def ended(final: JobResult) -> None:
            self.finals[id_] = final
            self.ends[id_] += 1

        return self.room.submit([(request, WaitOptions(**wait))], ended)[0].id

    async def until(self, *ids: str) -> list[JobOutcome]:
        async with asyncio.timeout(10):
            while any(id_ not in self.finals for id_ in ids):
                await asyncio.sleep(0.002)
        return [self.finals[id_].outcome for id_ in ids]


async def served(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    context.is_last_byte_written = True
    context.on_started()
    await asyncio.sleep(0.001)
    return AttemptOutcome(Result.OK, b"made " + request.id.encode())


async def hangs(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    context.is_last_byte_written = True
    context.on_started()
    await asyncio.sleep(60)
    raise AssertionError("never here")


async def error(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    context.is_last_byte_written = True
    return AttemptOutcome(Result.ERROR)


async def full(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    return AttemptOutcome(Result.FULL)


def test_a_child_runs_after_its_parent_and_the_library_awaits_both() -> None:
    async def scene() -> None:
        stage = Stage(served)
        room = stage.room
        child = asyncio.create_task(
            room.serve(Request("c", "once", 60.0), WaitOptions(dependencies=(Dependency("p"),)))
            if stage.submit("p", delay_s=0.05)
            else room.serve(Request("x", "once", 1.0), WaitOptions())
        )
        answer = await child
        assert (answer.kind, answer.body, answer.run_state) == (
            AnswerKind.SERVED,
            b"made c",
            RunState.HAS_RUN,
        )
        assert [id_ for _, id_, _, _ in stage.attempts] == ["p", "c"]
        again = await room.serve(Request("c2", "once", 60.0), WaitOptions(idempotency_key="k"))
        assert again.body == b"made c2"
        assert (
            await room.serve(Request("c3", "once", 60.0), WaitOptions(idempotency_key="k"))
        ).body == b"made c2"  # the same job

    run_in_virtual_time(scene)


def test_a_refused_job_is_asked_again_until_it_is_served() -> None:
    async def scene() -> None:
        stage = Stage(full)
        stage.submit("a", max_wait_s=30.0)
        while len(stage.attempts) < 10:
            await asyncio.sleep(0.005)
        stage._attempt = served
        assert await stage.until("a") == [JobOutcome.SERVED]
        asks = {id_ for _, id_, _, _ in stage.attempts}
        assert len(asks) > 2  # each ask is a new request, as from a client that comes back
        assert all(sum(x == id_ for _, x, _, _ in stage.attempts) <= 3 for id_ in asks)

    run_in_virtual_time(scene)


def test_refused_without_end_it_ends_with_its_patience() -> None:
    async def scene() -> None:
        stage = Stage(full)
        stage.submit("a", max_wait_s=0.4)
        assert (await stage.until("a"))[0] in (JobOutcome.WAIT_EXPIRED, JobOutcome.REJECTED)
        assert (
            stage.finals["a"].run_state is RunState.NEVER_RAN
            and stage.finals["a"].answer().kind is AnswerKind.REJECTED
        )
        stage.submit("b", "once", max_wait_s=30.0)  # its class does not queue
        assert await stage.until("b") == [JobOutcome.REJECTED]

    run_in_virtual_time(scene)


@pytest.mark.parametrize(
    ("attempt", "end", "ran", "either"),
    [
        (error, JobOutcome.FAILED, RunState.MAY_HAVE_RUN, JobOutcome.SERVED),
        (hangs, JobOutcome.CANCELLED, RunState.MAY_BE_RUNNING, JobOutcome.DEPENDENCY_FAILED),
    ],
)
def test_a_parent_that_may_still_run_frees_nobody(
    attempt: Attempt, end: JobOutcome, ran: RunState, either: JobOutcome
) -> None:
    async def scene() -> None:
        stage = Stage(attempt)
        stage.submit("p", "once")
        stage.submit("strict", dependencies=(Dependency("p"),))
        stage.submit("either", dependencies=(Dependency("p", DependencyCondition.ENDED),))
        while not stage.attempts:
            await asyncio.sleep(0)
        stage._attempt = served
        await asyncio.sleep(0.01)
        if attempt is hangs:
            job = stage.room.cancel("p")
            assert job is not None and stage.room.cancel("p") is job  # twice does no harm
        assert await stage.until("p", "strict", "either") == [end, JobOutcome.DEPENDENCY_FAILED, either]
        assert stage.finals["p"].run_state is ran
        assert set(stage.ends.values()) == {1}

    run_in_virtual_time(scene)


def test_a_client_that_leaves_ends_its_job_and_the_family() -> None:
    async def scene() -> None:
        stage = Stage(served)
        waits = asyncio.create_task(stage.room.serve(Request("p", "once", 60.0), WaitOptions(delay_s=60.0)))
        await asyncio.sleep(0)
        stage.submit("c", dependencies=(Dependency("p"),))
        waits.cancel()
        assert await stage.until("c") == [JobOutcome.DEPENDENCY_FAILED]
        assert stage.attempts == [] and stage.room.find("p").outcome is JobOutcome.CANCELLED  # type: ignore[union-attr]

    run_in_virtual_time(scene)


@pytest.mark.parametrize("hours", [-1.0, 24.0])
def test_the_systems_clock_may_step(hours: float) -> None:
    async def scene() -> None:
        wall = [1e9]
        stage = Stage(served, wall=lambda: wall[0])
        stage.submit("a", not_before_unix_s=1e9 + 0.2)
        stage.submit("b", delay_s=0.1)
        wall[0] += hours * 3600
        await asyncio.sleep(0.05)
        assert stage.attempts == []
        assert await stage.until("a", "b") == [JobOutcome.SERVED, JobOutcome.SERVED]
        stage.submit("past", not_before_unix_s=1.0)
        assert await stage.until("past") == [JobOutcome.SERVED]

    run_in_virtual_time(scene)


def test_a_thousand_that_wait_end_as_never_run_when_the_program_stops() -> None:
    async def scene() -> None:
        stage = Stage(hangs)
        for i in range(1_000):
            stage.submit(f"j{i}", delay_s=60.0 if i % 2 else 0.0)
        await asyncio.sleep(0.02)
        asked = {id_ for _, id_, _, _ in stage.attempts}
        poll = asyncio.create_task(stage.room.wait("j1", 60.0))
        await asyncio.sleep(0)
        stage.room.stop()
        final = await poll
        assert final is not None and final.outcome is JobOutcome.SHUT_DOWN and final.retry_after_s > 0
        assert final.run_state is RunState.NEVER_RAN
        ids = [f"j{i}" for i in range(1_000) if f"j{i}" not in asked]
        assert set(await stage.until(*ids)) == {JobOutcome.SHUT_DOWN} and set(stage.ends.values()) == {1}
        with pytest.raises(JobRejectedError):
            stage.submit("late")
        for id_ in asked:
            stage.room.cancel(id_)
        await stage.room.wait_until_idle()
        assert len(stage.ends) == 1_000

    run_in_virtual_time(scene)


class Slow(InMemoryJournal):
    """A journal that keeps what waits, and is safe only when told."""

    is_durable = True

    def __init__(self) -> None:
        self.changes: list[tuple[str, JobState]] = []
        self.then: list[Callable[[], None]] = []

    def record_change(self, change: StateChanged, result: JobResult | None) -> None:
        self.changes.append((change.job.id, change.state))

    def when_durable(self, callback: Callable[[], None]) -> None:
        self.then.append(callback)

    def settle(self) -> None:
        waiting, self.then = self.then, []
        for then in waiting:
            then()


def test_every_change_goes_to_the_journal_and_a_release_waits_for_it() -> None:
    async def scene() -> None:
        journal = Slow()
        stage = Stage(served, journal=journal)
        stage.submit("a", durable=True)
        stage.submit("b", delay_s=60.0, durable=True)
        stage.submit("cut", durable=True)
        stage.submit("plain")  # what is not to be kept does not wait for the disk
        stage.room.cancel("cut")
        assert await stage.until("plain") == [JobOutcome.SERVED]
        assert "cut" not in stage.finals and ("a", JobState.SUBMITTED) in journal.changes
        assert [id_ for _, id_, _, _ in stage.attempts] == ["plain"]
        while "a" not in stage.finals:  # its release, and its answer
            journal.settle()
            await asyncio.sleep(0.01)
        assert await stage.until("a", "cut") == [JobOutcome.SERVED, JobOutcome.CANCELLED]
        states = [state for id_, state in journal.changes if id_ == "a"]
        assert states == [
            JobState.BLOCKED,
            JobState.READY,
            JobState.SUBMITTED,
            JobState.STARTED,
            JobState.ENDED,
        ]
        assert [id_ for _, id_, _, _ in stage.attempts] == ["plain", "a"]
        poll = asyncio.create_task(stage.room.wait("b", 60.0))
        await asyncio.sleep(0)
        stage.room.stop()  # what waits is kept, so it has no end here
        await stage.room.wait_until_idle()
        assert await poll is None and "b" not in stage.finals

    run_in_virtual_time(scene)


def test_one_fronts_fault_does_not_cost_the_others_their_ends(caplog: pytest.LogCaptureFixture) -> None:
    async def scene() -> None:
        stage = Stage(served)

        def broken(final: JobResult) -> None:
            raise ZeroDivisionError

        stage.room.submit([(Request("bad", "free", 5.0), WaitOptions(delay_s=0.02))], broken)
        stage.submit("good", delay_s=0.02)
        assert await stage.until("good") == [JobOutcome.SERVED]
        assert "could not carry out" in caplog.text

    run_in_virtual_time(scene)


class Slots:
    """Workers that run four jobs at once and let others wait their turn."""

    def __init__(self, seconds: float = 0.01) -> None:
        self._seconds = seconds
        self._slots: dict[str, asyncio.Semaphore] = {}
        self.is_waiting: list[tuple[str, float]] = []

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        context.is_last_byte_written = True
        loop = asyncio.get_running_loop()
        came = loop.time()
        async with self._slots.setdefault(backend, asyncio.Semaphore(4)):
            self.is_waiting.append((backend, loop.time() - came))
            context.on_started()
            await asyncio.sleep(self._seconds)
            return AttemptOutcome(Result.OK)


def test_no_new_work_after_a_drain_notice_and_little_to_a_cold_successor() -> None:
    async def scene() -> None:
        workers = Slots(0.03)
        stage = Stage(workers.attempt, workers=2)
        ids = [stage.submit(f"j{i}") for i in range(300)]
        while len(stage.attempts) < 60:
            await asyncio.sleep(0.002)
        stage.list_(
            WorkerInfo("w0", Readiness.DRAINING),
            WorkerInfo("cold", started_at_ms=stage.clock()),
            scope=Scope.CHANGES,
        )
        told = len(stage.attempts)
        await stage.until(*ids)
        after = Counter(backend for backend, _, _, _ in stage.attempts[told:])
        assert not after["w0"]
        # 2.5 times what it can do: under 0.3 of 4 slots with jobs of 30 ms, for the 3 s that all take.
        assert 0 < after["cold"] < 2.5 * 0.3 * 4 / 0.03 * 3 and after["w1"] > 100
        assert {final.outcome for final in stage.finals.values()} == {JobOutcome.SERVED}

    run_in_virtual_time(scene)


def test_a_shrinking_fleet_gets_no_more_than_it_takes() -> None:
    async def scene() -> None:
        workers = Slots()
        stage = Stage(workers.attempt, workers=6)
        ids = [stage.submit(f"j{i}", delay_s=0.05) for i in range(400)]
        while len(stage.attempts) < 100:
            await asyncio.sleep(0.002)
        stage.list_(*(WorkerInfo(f"w{i}", Readiness.GONE) for i in range(1, 6)), scope=Scope.CHANGES)
        await asyncio.sleep(0.05)  # what was out has ended
        workers.is_waiting.clear()
        await stage.until(*ids)
        assert set(stage.ends.values()) == {1}
        # All that are due, sent at once, would have made the last wait for 0.7 s.
        assert {backend for backend, _ in workers.is_waiting} == {"w0"}
        assert max(wait for _, wait in workers.is_waiting) < 0.4

    run_in_virtual_time(scene)


def test_an_aged_job_is_asked_with_the_patience_to_queue() -> None:
    async def scene() -> None:
        stage = Stage(hangs, workers=1, age_limit_s=0.1, quiet_limit_s=0.1, aged_per_s=100.0)
        for i in range(12):
            stage.submit(f"j{i}")
        while not any(name.endswith(AGED_CLASS_SUFFIX) for _, _, name, _ in stage.attempts):
            await asyncio.sleep(0.005)

    run_in_virtual_time(scene)


def test_limits_of_watchers_and_of_the_window() -> None:
    async def scene() -> None:
        stage = Stage(served, max_watchers=1)
        stage.submit("a", delay_s=60.0)
        poll = asyncio.create_task(stage.room.wait("a", 60.0))
        await asyncio.sleep(0)
        with pytest.raises(JobRejectedError, match="1 wait already"):
            await stage.room.wait("a", 60.0)
        poll.cancel()
        await asyncio.gather(poll, return_exceptions=True)
        assert await stage.room.wait("a", 0.01) is None
        assert with_bounded_window(stage.room.settings, max_open_requests=5).max_window == 2

    run_in_virtual_time(scene)


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

    run_in_virtual_time(scene)


def test_served_reqs_leave_no_circles_and_full_collections_wait_for_few_jobs() -> None:
    async def scene() -> None:
        stage = Stage(served)
        await asyncio.sleep(0)
        gc.collect()
        await stage.until(*(stage.submit(f"j{i}") for i in range(200)))
        await asyncio.sleep(10)
        assert gc.collect() < 50  # not one a request
        many = [FEW_JOBS + 1]
        passes: list[float] = []
        gc.callbacks.append(lambda phase, info: passes.append(info["generation"] if phase == "start" else -1))
        task = asyncio.create_task(run_full_passes(lambda: many[0]))
        await asyncio.sleep(MAX_PASS_INTERVAL_S - 1)
        assert 2 not in passes
        await asyncio.sleep(CHECK_INTERVAL_S)
        assert passes.count(2) == 1  # at last, whatever waits
        many[0] = 0
        await asyncio.sleep(CHECK_INTERVAL_S)
        assert passes.count(2) == 2
        task.cancel()

    enabled = gc.isenabled()
    gc.disable()  # only what is asked for
    try:
        run_in_virtual_time(scene, timeout_s=2 * MAX_PASS_INTERVAL_S)
    finally:
        gc.callbacks.pop()
        if enabled:
            gc.enable()

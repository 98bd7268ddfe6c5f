"""`JobQueue` over the real scheduler core and dispatcher: each job ends exactly once."""

from __future__ import annotations

import asyncio
import gc
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from virtual_loop import run_in_virtual_time

from oxbowyard.core.memory_budget import Holder, MemoryBudget
from oxbowyard.core.request import Answer, AnswerKind, AttemptContext, AttemptOutcome, Request, RunState
from oxbowyard.core.scheduler import Limits, Scheduler
from oxbowyard.core.service_measure import ServiceMeasure
from oxbowyard.daemon.garbage_collection import (
    CHECK_INTERVAL_S,
    MAX_JOBS_FOR_FULL_PASS,
    MAX_PASS_INTERVAL_S,
    run_full_passes,
)
from oxbowyard.decision.facade import Facade, Readiness, Result, Scope, WorkerInfo
from oxbowyard.decision.settings import JobClass, RetrySafety, Settings
from oxbowyard.waiting.held_jobs import HeldJobs
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
from oxbowyard.waiting.job_memory import JOB_BYTES, JobMemory, with_bounded_memory
from oxbowyard.waiting.job_queue import JobQueue, with_aged_classes, with_bounded_window
from oxbowyard.waiting.journal import InMemoryJournal
from oxbowyard.waiting.settings import ClassSettings, WaitingSettings

FREE = JobClass("free", latency_objective_ms=1000, deadline_ms=5000, retry_safety=RetrySafety.IDEMPOTENT)
ONCE = JobClass("once", latency_objective_ms=1000, deadline_ms=5000, priority_weight=8)
CLASSES = (FREE, ONCE)
Attempt = Callable[[str, Request, AttemptContext], Awaitable[AttemptOutcome]]


class QueueHarness:
    """A job queue over a scheduler whose transport is a function of the test."""

    def __init__(
        self,
        attempt: Attempt,
        workers: int = 4,
        journal: Any = None,
        wall: Any = time.time,
        classes: tuple[JobClass, ...] | None = None,
        **more: Any,
    ) -> None:
        job_classes = CLASSES if classes is None else classes
        changes: dict[str, Any] = {"classes": {"free": ClassSettings(queueing=True)}, "retry_first_s": 0.01}
        waiting = WaitingSettings(**changes | more)
        settings = Settings(
            classes=with_aged_classes(job_classes, waiting),
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
        self.job_queue = JobQueue(waiting, job_classes, self.scheduler, clock, "t", wall, journal)
        self.results: dict[str, JobResult] = {}
        self.ends: Counter[str] = Counter()
        if workers:
            self.update_endpoints(*(WorkerInfo(f"w{i}") for i in range(workers)))

    def clock(self) -> float:
        """Return the virtual time in ms."""
        return asyncio.get_running_loop().time() * 1000

    def update_endpoints(self, *infos: WorkerInfo, scope: Scope = Scope.FULL) -> None:
        self.scheduler.update_endpoints(scope, infos)

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        self.attempts.append((backend, request.id, request.job_class, self.clock()))
        return await self._attempt(backend, request, context)

    def submit(self, id_: str, job_class: str = "free", payload: bytes = b"x", **wait: Any) -> str:
        request = Request(id_, job_class, 3600.0, target=f"/{job_class}", payload=payload)

        def ended(result: JobResult) -> None:
            self.results[id_] = result
            self.ends[id_] += 1

        return self.job_queue.submit([(request, WaitOptions(**wait))], ended)[0].id

    async def until(self, *ids: str) -> list[JobOutcome]:
        async with asyncio.timeout(10):
            while any(id_ not in self.results for id_ in ids):
                await asyncio.sleep(0.002)
        return [self.results[id_].outcome for id_ in ids]


async def answer_ok(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    context.is_last_byte_written = True
    context.on_started()
    await asyncio.sleep(0.001)
    return AttemptOutcome(Result.OK, b"made " + request.id.encode())


async def hang(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    context.is_last_byte_written = True
    context.on_started()
    await asyncio.sleep(60)
    raise AssertionError("the hanging attempt was not cancelled")


async def answer_error(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    context.is_last_byte_written = True
    return AttemptOutcome(Result.ERROR)


async def answer_full(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    return AttemptOutcome(Result.FULL)


def test_serve_awaits_job_that_runs_after_its_parent() -> None:
    async def scene() -> None:
        harness = QueueHarness(answer_ok)
        job_queue = harness.job_queue
        child = asyncio.create_task(
            job_queue.serve(Request("c", "once", 60.0), WaitOptions(dependencies=(Dependency("p"),)))
            if harness.submit("p", delay_s=0.05)
            else job_queue.serve(Request("x", "once", 1.0), WaitOptions())
        )
        answer = await child
        assert (answer.kind, answer.body, answer.run_state) == (
            AnswerKind.SERVED,
            b"made c",
            RunState.HAS_RUN,
        )
        assert [id_ for _, id_, _, _ in harness.attempts] == ["p", "c"]
        repeated = await job_queue.serve(Request("c2", "once", 60.0), WaitOptions(idempotency_key="k"))
        assert repeated.body == b"made c2"
        assert (
            await job_queue.serve(Request("c3", "once", 60.0), WaitOptions(idempotency_key="k"))
        ).body == b"made c2"  # the key returns the result of the existing job

    run_in_virtual_time(scene)


def test_rejected_job_is_resubmitted_until_served() -> None:
    async def scene() -> None:
        harness = QueueHarness(answer_full)
        harness.submit("a", max_wait_s=30.0)
        while len(harness.attempts) < 10:
            await asyncio.sleep(0.005)
        harness._attempt = answer_ok
        assert await harness.until("a") == [JobOutcome.SERVED]
        request_ids = {id_ for _, id_, _, _ in harness.attempts}
        assert len(request_ids) > 2  # each resubmission has a new request id
        assert all(sum(x == id_ for _, x, _, _ in harness.attempts) <= 3 for id_ in request_ids)

    run_in_virtual_time(scene)


def test_job_rejected_repeatedly_ends_when_max_wait_expires() -> None:
    async def scene() -> None:
        harness = QueueHarness(answer_full)
        harness.submit("a", max_wait_s=0.4)
        assert (await harness.until("a"))[0] in (JobOutcome.WAIT_EXPIRED, JobOutcome.REJECTED)
        assert (
            harness.results["a"].run_state is RunState.NEVER_RAN
            and harness.results["a"].answer().kind is AnswerKind.REJECTED
        )
        harness.submit("b", "once", max_wait_s=30.0)  # not a queueing class
        assert await harness.until("b") == [JobOutcome.REJECTED]

    run_in_virtual_time(scene)


@pytest.mark.parametrize(
    ("attempt", "end", "ran", "either"),
    [
        (answer_error, JobOutcome.FAILED, RunState.MAY_HAVE_RUN, JobOutcome.SERVED),
        (hang, JobOutcome.CANCELLED, RunState.MAY_BE_RUNNING, JobOutcome.DEPENDENCY_FAILED),
    ],
)
def test_parent_that_may_still_run_does_not_release_dependents(
    attempt: Attempt, end: JobOutcome, ran: RunState, either: JobOutcome
) -> None:
    async def scene() -> None:
        harness = QueueHarness(attempt)
        harness.submit("p", "once")
        harness.submit("strict", dependencies=(Dependency("p"),))
        harness.submit("either", dependencies=(Dependency("p", DependencyCondition.ENDED),))
        while not harness.attempts:
            await asyncio.sleep(0)
        harness._attempt = answer_ok
        await asyncio.sleep(0.01)
        if attempt is hang:
            job = harness.job_queue.cancel("p")
            assert job is not None and harness.job_queue.cancel("p") is job  # cancelling again has no effect
        assert await harness.until("p", "strict", "either") == [end, JobOutcome.DEPENDENCY_FAILED, either]
        assert harness.results["p"].run_state is ran
        assert set(harness.ends.values()) == {1}

    run_in_virtual_time(scene)


def test_client_disconnect_cancels_job_and_fails_dependents() -> None:
    async def scene() -> None:
        harness = QueueHarness(answer_ok)
        waits = asyncio.create_task(
            harness.job_queue.serve(Request("p", "once", 60.0), WaitOptions(delay_s=60.0))
        )
        await asyncio.sleep(0)
        harness.submit("c", dependencies=(Dependency("p"),))
        waits.cancel()
        assert await harness.until("c") == [JobOutcome.DEPENDENCY_FAILED]
        assert harness.attempts == [] and harness.job_queue.find("p").outcome is JobOutcome.CANCELLED  # type: ignore[union-attr]

    run_in_virtual_time(scene)


@pytest.mark.parametrize("hours", [-1.0, 24.0])
def test_scheduled_jobs_are_unaffected_by_wall_clock_steps(hours: float) -> None:
    async def scene() -> None:
        wall = [1e9]
        harness = QueueHarness(answer_ok, wall=lambda: wall[0])
        harness.submit("a", not_before_unix_s=1e9 + 0.2)
        harness.submit("b", delay_s=0.1)
        wall[0] += hours * 3600
        await asyncio.sleep(0.05)
        assert harness.attempts == []
        assert await harness.until("a", "b") == [JobOutcome.SERVED, JobOutcome.SERVED]
        harness.submit("past", not_before_unix_s=1.0)
        assert await harness.until("past") == [JobOutcome.SERVED]

    run_in_virtual_time(scene)


def test_stop_ends_thousand_waiting_jobs_as_never_run() -> None:
    async def scene() -> None:
        harness = QueueHarness(hang)
        for i in range(1_000):
            harness.submit(f"j{i}", delay_s=60.0 if i % 2 else 0.0)
        await asyncio.sleep(0.02)
        submitted_ids = {id_ for _, id_, _, _ in harness.attempts}
        poll = asyncio.create_task(harness.job_queue.wait("j1", 60.0))
        await asyncio.sleep(0)
        harness.job_queue.stop()
        result = await poll
        assert result is not None and result.outcome is JobOutcome.SHUT_DOWN and result.retry_after_s > 0
        assert result.run_state is RunState.NEVER_RAN
        ids = [f"j{i}" for i in range(1_000) if f"j{i}" not in submitted_ids]
        assert set(await harness.until(*ids)) == {JobOutcome.SHUT_DOWN} and set(harness.ends.values()) == {1}
        with pytest.raises(JobRejectedError):
            harness.submit("late")
        for id_ in submitted_ids:
            harness.job_queue.cancel(id_)
        await harness.job_queue.wait_until_idle()
        assert len(harness.ends) == 1_000

    run_in_virtual_time(scene)


class ManualJournal(InMemoryJournal):
    """A durable journal whose changes become durable only when the test calls `settle`."""

    is_durable = True

    def __init__(self) -> None:
        self.changes: list[tuple[str, JobState]] = []
        self.callbacks: list[Callable[[], None]] = []

    def record_change(self, change: StateChanged, result: JobResult | None) -> None:
        self.changes.append((change.job.id, change.state))

    def when_durable(self, callback: Callable[[], None]) -> None:
        self.callbacks.append(callback)

    def settle(self) -> None:
        waiting, self.callbacks = self.callbacks, []
        for callback in waiting:
            callback()


def test_changes_are_journaled_and_release_waits_for_durability() -> None:
    async def scene() -> None:
        journal = ManualJournal()
        harness = QueueHarness(answer_ok, journal=journal)
        harness.submit("a", durable=True)
        harness.submit("b", delay_s=60.0, durable=True)
        harness.submit("cut", durable=True)
        harness.submit("plain")  # a job that is not durable does not wait for the disk
        harness.job_queue.cancel("cut")
        assert await harness.until("plain") == [JobOutcome.SERVED]
        assert "cut" not in harness.results and ("a", JobState.SUBMITTED) in journal.changes
        assert [id_ for _, id_, _, _ in harness.attempts] == ["plain"]
        while "a" not in harness.results:  # both its release and its result wait for the journal
            journal.settle()
            await asyncio.sleep(0.01)
        assert await harness.until("a", "cut") == [JobOutcome.SERVED, JobOutcome.CANCELLED]
        states = [state for id_, state in journal.changes if id_ == "a"]
        assert states == [
            JobState.BLOCKED,
            JobState.READY,
            JobState.SUBMITTED,
            JobState.STARTED,
            JobState.ENDED,
        ]
        assert [id_ for _, id_, _, _ in harness.attempts] == ["plain", "a"]
        poll = asyncio.create_task(harness.job_queue.wait("b", 60.0))
        await asyncio.sleep(0)
        harness.job_queue.stop()  # waiting durable jobs stay in the store and do not end
        await harness.job_queue.wait_until_idle()
        assert await poll is None and "b" not in harness.results

    run_in_virtual_time(scene)


def test_failing_end_callback_does_not_affect_other_jobs(caplog: pytest.LogCaptureFixture) -> None:
    async def scene() -> None:
        harness = QueueHarness(answer_ok)

        def broken(result: JobResult) -> None:
            raise ZeroDivisionError

        harness.job_queue.submit([(Request("bad", "free", 5.0), WaitOptions(delay_s=0.02))], broken)
        harness.submit("good", delay_s=0.02)
        assert await harness.until("good") == [JobOutcome.SERVED]
        assert "could not carry out" in caplog.text

    run_in_virtual_time(scene)


class SlotWorkers:
    """Workers that run four jobs at once and queue the others."""

    def __init__(self, seconds: float = 0.01) -> None:
        self._seconds = seconds
        self._slots: dict[str, asyncio.Semaphore] = {}
        self.is_waiting: list[tuple[str, float]] = []

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        context.is_last_byte_written = True
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        async with self._slots.setdefault(backend, asyncio.Semaphore(4)):
            self.is_waiting.append((backend, loop.time() - arrived_at))
            context.on_started()
            await asyncio.sleep(self._seconds)
            return AttemptOutcome(Result.OK)


def test_draining_worker_gets_no_job_and_cold_successor_is_ramped_up() -> None:
    async def scene() -> None:
        workers = SlotWorkers(0.03)
        harness = QueueHarness(workers.attempt, workers=2)
        ids = [harness.submit(f"j{i}") for i in range(300)]
        while len(harness.attempts) < 60:
            await asyncio.sleep(0.002)
        harness.update_endpoints(
            WorkerInfo("w0", Readiness.DRAINING),
            WorkerInfo("cold", started_at_ms=harness.clock()),
            scope=Scope.CHANGES,
        )
        attempts_before_notice = len(harness.attempts)
        await harness.until(*ids)
        after = Counter(backend for backend, _, _, _ in harness.attempts[attempts_before_notice:])
        assert not after["w0"]
        # The limit is 2.5 times its capacity: less than 0.3 of 4 slots with jobs of 30 ms, during the 3 s of
        # the test.
        assert 0 < after["cold"] < 2.5 * 0.3 * 4 / 0.03 * 3 and after["w1"] > 100
        assert {result.outcome for result in harness.results.values()} == {JobOutcome.SERVED}

    run_in_virtual_time(scene)


def test_release_rate_follows_a_shrinking_fleet() -> None:
    async def scene() -> None:
        workers = SlotWorkers()
        harness = QueueHarness(workers.attempt, workers=6)
        ids = [harness.submit(f"j{i}", delay_s=0.05) for i in range(400)]
        while len(harness.attempts) < 100:
            await asyncio.sleep(0.002)
        harness.update_endpoints(
            *(WorkerInfo(f"w{i}", Readiness.GONE) for i in range(1, 6)), scope=Scope.CHANGES
        )
        await asyncio.sleep(0.05)  # jobs sent before the change have ended
        workers.is_waiting.clear()
        await harness.until(*ids)
        assert set(harness.ends.values()) == {1}
        # If all due jobs were sent at once, the last one would wait 0.7 s at the worker.
        assert {backend for backend, _ in workers.is_waiting} == {"w0"}
        assert max(wait for _, wait in workers.is_waiting) < 0.4

    run_in_virtual_time(scene)


def test_aged_job_is_submitted_in_the_aged_class() -> None:
    async def scene() -> None:
        harness = QueueHarness(hang, workers=1, age_limit_s=0.1, quiet_limit_s=0.1, aged_per_s=100.0)
        for i in range(12):
            harness.submit(f"j{i}")
        while not any(name.endswith(AGED_CLASS_SUFFIX) for _, _, name, _ in harness.attempts):
            await asyncio.sleep(0.005)

    run_in_virtual_time(scene)


def test_watcher_limit_and_window_bound_are_applied() -> None:
    async def scene() -> None:
        harness = QueueHarness(answer_ok, max_watchers=1)
        harness.submit("a", delay_s=60.0)
        poll = asyncio.create_task(harness.job_queue.wait("a", 60.0))
        await asyncio.sleep(0)
        with pytest.raises(JobRejectedError, match="1 wait already"):
            await harness.job_queue.wait("a", 60.0)
        poll.cancel()
        await asyncio.gather(poll, return_exceptions=True)
        assert await harness.job_queue.wait("a", 0.01) is None
        assert with_bounded_window(harness.job_queue.settings, max_open_requests=5).max_window == 2

    run_in_virtual_time(scene)


def test_answer_reports_run_state() -> None:
    async def scene() -> None:
        harness = QueueHarness(answer_error)
        answer: Answer = await harness.scheduler.serve(Request("r", "once", 1.0))
        assert (answer.kind, answer.run_state) == (AnswerKind.FAILED, RunState.MAY_HAVE_RUN)
        harness._attempt = hang
        answer = await harness.scheduler.serve(Request("r", "once", 0.1))
        assert (answer.kind, answer.run_state) == (AnswerKind.FAILED, RunState.MAY_BE_RUNNING)
        harness._attempt = answer_full
        answer = await harness.scheduler.serve(Request("r", "once", 0.3))
        assert (answer.kind, answer.run_state) == (AnswerKind.REJECTED, RunState.NEVER_RAN)

    run_in_virtual_time(scene)


def test_served_requests_leave_no_reference_cycles_and_full_gc_waits_for_few_jobs() -> None:
    async def scene() -> None:
        harness = QueueHarness(answer_ok)
        await asyncio.sleep(0)
        gc.collect()
        await harness.until(*(harness.submit(f"j{i}") for i in range(200)))
        await asyncio.sleep(10)
        assert gc.collect() < 50  # fewer than one cyclic object per request
        many = [MAX_JOBS_FOR_FULL_PASS + 1]
        passes: list[float] = []
        gc.callbacks.append(lambda phase, info: passes.append(info["generation"] if phase == "start" else -1))
        task = asyncio.create_task(run_full_passes(lambda: many[0]))
        await asyncio.sleep(MAX_PASS_INTERVAL_S - 1)
        assert 2 not in passes
        await asyncio.sleep(CHECK_INTERVAL_S)
        assert passes.count(2) == 1  # the maximum interval has passed: collects despite the number of jobs
        many[0] = 0
        await asyncio.sleep(CHECK_INTERVAL_S)
        assert passes.count(2) == 2
        task.cancel()

    enabled = gc.isenabled()
    gc.disable()  # only explicit collections run
    try:
        run_in_virtual_time(scene, timeout_s=2 * MAX_PASS_INTERVAL_S)
    finally:
        gc.callbacks.pop()
        if enabled:
            gc.enable()


def test_deferred_jobs_draw_from_the_memory_budget() -> None:
    # Guards against jobs that wait within limits of their own, beyond the process's memory (issue 56).
    settings = with_bounded_memory(WaitingSettings(), 12 << 20)
    assert settings.max_held_bytes == 4 << 20 and settings.max_ended_bytes == 3 << 20
    assert settings.max_jobs == settings.max_ended == (12 << 20) // 8 // JOB_BYTES
    assert with_bounded_memory(WaitingSettings(), 1 << 30) == WaitingSettings()
    budget, held = MemoryBudget(1 << 20), HeldJobs(jobs=2, bytes=100, ended=1, ended_bytes=50)
    memory = JobMemory(budget, held)
    memory.update()
    assert budget.used_by[Holder.JOBS] == 3 * JOB_BYTES + 150
    held.jobs = held.bytes = held.ended = held.ended_bytes = 0
    memory.update()
    assert budget.used_bytes == 0

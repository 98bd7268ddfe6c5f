"""The queue of deferred jobs: owns each from accepted to its one end, and carries out the policy's actions.

All calls come from the event loop's thread. A job's payload travels as a `Request`; when the policy releases
the job, that request goes to the core like any other.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from msgspec import structs

from ..core.request import Answer, AnswerKind, Request, RunState
from ..core.scheduler import Scheduler
from ..decision.settings import JobClass, RetrySafety
from .core_submissions import CoreSubmissions, WorkerAnswer
from .fleet_view import FleetView
from .held_jobs import HeldJobs
from .job import (
    AGED_CLASS_SUFFIX,
    WAITING_STATES,
    Job,
    JobOutcome,
    JobResult,
    JobState,
    JobSubmission,
    WaitOptions,
)
from .job_ids import JobIds
from .job_intake import JobIntake
from .journal import InMemoryJournal, JobJournal, JobRecord
from .policy import WaitingPolicy
from .policy_driver import PolicyDriver
from .result_watchers import OnEnd, ResultWatchers
from .settings import WaitingSettings

log = logging.getLogger("oxbowyard.waiting")

# An aged job's latency objective in deadlines. The decisions let a class of low priority wait for as little
# as a sixth of its objective, so that only a wait past its deadline is rejected.
AGED_OBJECTIVE_DEADLINES = 6.0

# Takes a recovered request and returns it with the front's callback, if it came by that front.
RecoveryHandler = Callable[[Request], tuple[Request, OnEnd] | None]


class JobQueue:
    """The deferred jobs of one scheduler. To be made on the event loop that uses it."""

    def __init__(
        self,
        settings: WaitingSettings,
        classes: Iterable[JobClass],
        scheduler: Scheduler,
        clock: Callable[[], float],
        name: str = "oxbowyard",
        wall_clock: Callable[[], float] = time.time,
        journal: JobJournal | None = None,
    ) -> None:
        """`clock` is steady, in milliseconds; `wall_clock` is Unix time in seconds; `name` begins the ids."""
        self.settings = settings
        self._clock = clock
        self._journal: JobJournal = journal or InMemoryJournal()
        self.ids = JobIds(name, int(wall_clock() * 1000), self._journal.run_id)
        by_name = {c.name: c for c in classes if not c.name.endswith(AGED_CLASS_SUFFIX)}
        weights = {name: job_class.priority_weight for name, job_class in by_name.items()}
        non_repeatable = frozenset(c.name for c in by_name.values() if _must_not_repeat(c))
        self._policy = WaitingPolicy(settings, weights, FleetView(scheduler, by_name, clock).capacity)
        self._watchers = ResultWatchers(settings)
        self._driver = PolicyDriver(
            settings, self._policy, self._journal, self._watchers, scheduler.measure, by_name, clock
        )
        self._submissions = self._driver.submissions = CoreSubmissions(
            settings,
            self._policy,
            scheduler,
            self._journal,
            by_name,
            non_repeatable,
            clock,
            self._driver.drive,
        )
        self.intake = JobIntake(
            settings, self._policy, self._journal, self._driver, self._watchers, self.ids, clock, wall_clock
        )
        self.recovery_handlers: list[RecoveryHandler] = []

    # ---- Submission ----

    def submit(self, jobs: Sequence[tuple[Request, WaitOptions]], on_end: OnEnd | None = None) -> list[Job]:
        """Accept all jobs or none; see `JobIntake.submit`."""
        return self.intake.submit(jobs, on_end)

    async def serve(self, request: Request, options: WaitOptions) -> Answer:
        """Submit one job and wait for its answer; cancelling this cancels the job. Raises JobRejectedError.

        A rejection tells that the job never ran, or may safely run again; see `Answer.run_state`.
        """
        (job,) = self.submit([(request, options)])
        try:
            result = self._driver.results.get(job.id) or await self._watchers.wait(job.id)
        except asyncio.CancelledError:
            if job.id == request.id:  # else it was submitted before, and is another client's
                self.cancel(job.id, "its client left")
            raise
        if result is None:
            retry_after_s = self.settings.full_retry_after_s
            return Answer(AnswerKind.REJECTED, retry_after_s=retry_after_s, reason="kept for later")
        return result.answer()

    # ---- Queries ----

    @property
    def held(self) -> HeldJobs:
        """What is held now."""
        return self._policy.held

    def find(self, id_: str) -> Job | None:
        """A job, until it is purged."""
        return self._policy.find(id_)

    def result(self, id_: str) -> JobResult | None:
        """How a job ended; None while it has not, or once that is purged."""
        return self._driver.results.get(id_)

    async def find_record(self, id_: str) -> JobRecord | None:
        """A job by its id, from memory or the journal."""
        job = self._policy.find(id_)
        if job is not None:
            return JobRecord(job, self._driver.results.get(id_))
        return await self._journal.find_record(id_)

    def position(self, job: Job) -> int:
        """How many jobs of its class are before it, as of now."""
        return self._policy.position(job)

    def page(self, after: int, limit: int, matches: Callable[[Job], bool]) -> tuple[list[Job], int | None]:
        """A page of the jobs in the order of acceptance, and where the next one begins."""
        return self._policy.page(after, min(limit, self.settings.max_page), matches)

    async def wait(self, id_: str, timeout_s: float) -> JobResult | None:
        """Wait for a job's result; None if there is none in time, or if the job is unknown.

        Raises JobRejectedError if too many wait.
        """
        result = self._driver.results.get(id_)
        if result is not None or self.find(id_) is None or timeout_s <= 0:
            return result
        return await self._watchers.poll(id_, timeout_s)

    def summary(self) -> str:
        """What waits, by state, and the outcomes so far, in one line."""
        held, outcomes = self._policy.held, self._driver.outcomes
        by_state = [(s, n) for s, n in held.by_state.items() if n and s is not JobState.ENDED]
        states = ", ".join(f"{state.value} {count}" for state, count in by_state)
        ends = ", ".join(f"{outcome.value} {count}" for outcome, count in outcomes.items() if count)
        submitted = self._submissions.counts
        return (
            f"waiting {held.jobs} ({states or 'none'}), {held.bytes} bytes, "
            f"asked {submitted.released} times, again {submitted.resubmitted}, "
            f"not taken {self.intake.rejected}, ends: {ends or 'none'}"
        )

    # ---- Cancelling and resolving ----

    def cancel(self, id_: str, reason: str = "cancelled by its client") -> Job | None:
        """End a job. One that runs is cancelled: it may have run. None if it is unknown or has ended."""
        job = self._policy.find(id_)
        if job is None or job.outcome is not None:
            return None
        if job.state in WAITING_STATES:
            now = self._clock()
            self._policy.cancel(now, id_, reason)
            self._driver.drive(now)
        else:
            self._submissions.cancel(id_)
        return job

    def resolve(
        self, id_: str, by: str, outcome: JobOutcome | None, body: bytes = b"", reason: str = ""
    ) -> bool:
        """An operator resolves an indeterminate job; outcome None: it never ran. False: it is none.

        Raises ValueError for an outcome that nobody can know, or without the operator's name.
        """
        if not by or outcome not in (None, JobOutcome.SERVED, JobOutcome.FAILED):
            raise ValueError("a word on a job in doubt has a name, and is served, failed or never began")
        return self._resolve(id_, by, outcome, body, reason)

    def deliver_late_result(
        self, id_: str, lease: str, outcome: JobOutcome | None, body: bytes = b"", reason: str = ""
    ) -> bool:
        """A worker reports late how a job ended, by its lease; outcome None: it never ran it.

        False, and nothing has changed, if the job is not indeterminate or the lease is not its last one.
        """
        if not self._submissions.is_current_lease(id_, lease):
            return False
        return self._resolve(id_, "", outcome, body, reason)

    def _resolve(self, id_: str, by: str, outcome: JobOutcome | None, body: bytes, reason: str) -> bool:
        job, now = self._policy.find(id_), self._clock()
        if job is None or job.state is not JobState.INDETERMINATE:
            return False
        resolution = outcome.value if outcome else "never began"
        log.info("job resolved: job=%s outcome=%s by=%s", id_, resolution, by or "its worker")
        if outcome is None:
            self._policy.resolve_never_ran(now, job)
        else:
            run_state = RunState.HAS_RUN if outcome is JobOutcome.SERVED else RunState.MAY_HAVE_RUN
            self._submissions.answers[id_] = WorkerAnswer(body)
            self._driver.resolved_by[id_] = by
            self._policy.resolve(now, job, outcome, run_state, reason, len(body))
        self._driver.drive(now)
        return True

    # ---- Recovery from a store ----

    def set_last_number(self, number: int) -> None:
        """Numbers up to this one belong to jobs of earlier runs."""
        self._policy.set_last_number(number)

    def restore(
        self,
        submission: JobSubmission,
        number: int,
        submission_count: int,
        lease: str,
        indeterminate: str = "",
        dependency_failure: str = "",
    ) -> None:
        """Take back a job of an earlier run that has no end.

        `indeterminate` says why it may have run, `dependency_failure` how its dependencies ended.
        """
        now = self._clock()
        if self._policy.find(submission.id) is not None:
            return
        self._driver.mark_busy()
        submission = self._attach_to_front(submission)
        if indeterminate:
            self._submissions.restore_lease(submission.id, lease)
        self._policy.restore(now, submission, number, submission_count, dependency_failure, indeterminate)
        self._driver.drive(now)

    def _attach_to_front(self, submission: JobSubmission) -> JobSubmission:
        """Give the job back to the front that it came by."""
        for adopt in self.recovery_handlers:
            assert submission.request is not None
            found = adopt(submission.request)
            if found is not None:
                request, on_end = found
                self._watchers.set_callback(submission.id, on_end)
                return replace(submission, request=request)
        return submission

    # ---- Stopping ----

    def stop(self) -> None:
        """Accept and release no more. All that wait end as never run, unless the journal keeps them."""
        now = self._clock()
        self._driver.is_stopping = True
        self._submissions.is_stopping = True
        self._policy.stop(now, keep_durable=self._journal.is_durable)
        if self._journal.is_durable:
            for id_ in self._watchers.watched_job_ids():
                self._watchers.release_waiters(id_)
        self._driver.drive(now)

    async def wait_until_idle(self) -> None:
        """Wait until every job has ended, except those that the journal keeps."""
        await self._driver.wait_until_idle()


def _must_not_repeat(job_class: JobClass) -> bool:
    if job_class.retry_safety is RetrySafety.DEDUPLICATED:
        return job_class.dedup_scope != "all"
    return job_class.retry_safety is RetrySafety.NOT_IDEMPOTENT


def with_aged_classes(
    classes: Iterable[JobClass],
    settings: WaitingSettings,
    objective_deadlines: float = AGED_OBJECTIVE_DEADLINES,
) -> tuple[JobClass, ...]:
    """The classes, and for each that queues one more in which its aged jobs are submitted.

    It differs in its latency objective, a multiple of the deadline: the decisions reject what would wait for
    too large a share of its objective, and a job that has waited so long is to queue at a worker.
    """
    named = tuple(classes)
    aged = [
        replace(
            job_class,
            name=job_class.name + AGED_CLASS_SUFFIX,
            latency_objective_ms=max(
                job_class.latency_objective_ms, objective_deadlines * job_class.deadline_ms
            ),
        )
        for job_class in named
        if settings.for_class(job_class.name).queueing
    ]
    return (*named, *aged)


def with_bounded_window(settings: WaitingSettings, max_open_requests: int) -> WaitingSettings:
    """The settings with a window that leaves half of the open requests to clients that do not wait."""
    max_window = max(min(settings.max_window, max_open_requests // 2), 1)
    first_window = min(settings.first_window, max_window)
    return structs.replace(settings, max_window=max_window, first_window=first_window)

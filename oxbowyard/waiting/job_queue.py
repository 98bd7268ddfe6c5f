"""The queue of deferred jobs: owns each job from its acceptance to its outcome.

All calls must come from the event loop's thread. A job's payload is stored as a `Request`, which is submitted
to the core like any other request when the policy releases the job.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace

from msgspec import structs

from ..core.memory_budget import MemoryBudget
from ..core.repeats import MS_PER_S
from ..core.request import Answer, Request, RunState
from ..core.scheduler import Scheduler
from ..decision.settings import JobClass
from .abandoned_waits import AbandonedWaits
from .core_submissions import CoreSubmissions, WorkerAnswer
from .fleet_view import FleetView
from .grants import RepeatLimit, RepeatRules
from .held_jobs import HeldJobs
from .job import (
    AGED_CLASS_SUFFIX,
    WAITING_STATES,
    Job,
    JobOutcome,
    JobResult,
    JobState,
    JobSubmission,
    RestoredJob,
    WaitOptions,
)
from .job_ids import JobIds
from .job_intake import JobIntake
from .job_memory import JobMemory
from .journal import InMemoryJournal, JobJournal, JobRecord
from .policy import WaitingPolicy
from .policy_driver import PolicyDriver
from .result_watchers import OnEnd, ResultWatchers
from .settings import WaitingSettings

log = logging.getLogger("oxbowyard.waiting")

# The latency objective of aged jobs, as a multiple of their deadline. The scheduler may let a class of low
# priority wait for only a sixth of its objective; with this factor it rejects only waits past the deadline.
AGED_OBJECTIVE_DEADLINES = 6.0

# A front's handler of recovered requests: returns the request and a callback for its result, or None if the
# request did not come through this front.
RecoveryHandler = Callable[[Request], tuple[Request, OnEnd] | None]


class JobQueue:
    """The deferred jobs of one scheduler. Create it on the event loop that uses it."""

    def __init__(
        self,
        settings: WaitingSettings,
        classes: Iterable[JobClass],
        scheduler: Scheduler,
        clock: Callable[[], float],
        name: str = "oxbowyard",
        wall_clock: Callable[[], float] = time.time,
        journal: JobJournal | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Create an empty queue.

        `clock` is steady, in milliseconds; `wall_clock` is Unix time in seconds; `name` begins job ids.
        `memory` is the budget that the jobs draw from; None for no common limit.
        """
        self.settings = settings
        self._clock = clock
        self._journal: JobJournal = journal or InMemoryJournal()
        self.ids = JobIds(name, int(wall_clock() * 1000), self._journal.run_id)
        by_name = {c.name: c for c in classes if not c.name.endswith(AGED_CLASS_SUFFIX)}
        weights = {name: job_class.priority_weight for name, job_class in by_name.items()}
        self.repeat_rules = RepeatRules(by_name.values())
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
            self.repeat_rules,
            clock,
            self._driver.drive,
        )
        self.abandoned_waits = self._driver.abandoned_waits = AbandonedWaits(
            self._policy, self._journal, self._submissions, self._watchers
        )
        if memory is not None:
            self._driver.on_driven = JobMemory(memory, self._policy.held).update
        self.intake = JobIntake(
            settings,
            self._policy,
            self._journal,
            self._driver,
            self._watchers,
            self.ids,
            self.repeat_rules,
            clock,
            wall_clock,
        )
        self.intake.journal_lost_callbacks.append(self.abandoned_waits.release_all)
        self.recovery_handlers: list[RecoveryHandler] = []

    # ---- Submission ----

    def submit(self, jobs: Sequence[tuple[Request, WaitOptions]], on_end: OnEnd | None = None) -> list[Job]:
        """Accept all jobs or none of them; see `JobIntake.submit`."""
        return self.intake.submit(jobs, on_end)

    async def serve(self, request: Request, options: WaitOptions) -> Answer:
        """Submit one job and wait for its answer; cancelling this call cancels the job.

        A rejected job never ran, or may safely run again; see `Answer.run_state`. Raises JobRejectedError.
        """
        (job,) = self.submit([(request, options)])
        end = self._driver.results.get(job.id) or self.abandoned_waits.find(job)
        try:
            end = end or await self._watchers.wait(job.id)
        except asyncio.CancelledError:
            if job.id == request.id:  # otherwise the job belongs to the client that submitted it first
                self.cancel(job.id, "its client left")
            raise
        return end.answer() if isinstance(end, JobResult) else end.answer(job.run_state)

    # ---- Queries ----

    @property
    def held(self) -> HeldJobs:
        """Return the counters of the jobs that are held in memory."""
        return self._policy.held

    def find(self, id_: str) -> Job | None:
        """Return a job; None if it is unknown or purged."""
        return self._policy.find(id_)

    def result(self, id_: str) -> JobResult | None:
        """Return a job's result; None if the job has not ended, is unknown or is purged."""
        return self._driver.results.get(id_)

    async def find_record(self, id_: str) -> JobRecord | None:
        """Return a job and its result, from memory or the journal; None if it is unknown."""
        job = self._policy.find(id_)
        if job is not None:
            return JobRecord(job, self._driver.results.get(id_))
        return await self._journal.find_record(id_)

    def position(self, job: Job) -> int:
        """Return how many jobs of its class are ahead of it now."""
        return self._policy.position(job)

    def page(self, after: int, limit: int, matches: Callable[[Job], bool]) -> tuple[list[Job], int | None]:
        """Return a page of the matching jobs in the order of acceptance, and where the next page begins."""
        return self._policy.page(after, min(limit, self.settings.max_page), matches)

    async def wait(self, id_: str, timeout_s: float) -> JobResult | None:
        """Wait for a job's result and return it; None if the time is over, or if the job is unknown or its
        end will not be learned. An indeterminate job is waited for, since it may be resolved.

        Raises JobRejectedError if too many callers wait.
        """
        result, job = self._driver.results.get(id_), self.find(id_)
        if result is not None or job is None or timeout_s <= 0:
            return result
        if job.state is not JobState.INDETERMINATE and self.abandoned_waits.find(job) is not None:
            return None
        return await self._watchers.poll(id_, timeout_s)

    def summary(self) -> str:
        """Summarize the waiting jobs by state and the outcomes so far in one line, for the log."""
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
        """Cancel a job and return it; None if it is unknown or has ended. A submitted job may have run."""
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
        """Resolve an indeterminate job as an operator; outcome None says that it never ran.

        Returns False if the job is not indeterminate. Raises ValueError for any other outcome than SERVED
        or FAILED, or without the operator's name.
        """
        if not by or outcome not in (None, JobOutcome.SERVED, JobOutcome.FAILED):
            raise ValueError(
                f"cannot resolve job {id_}: expected an operator's name and outcome None, SERVED or FAILED, "
                f"got by={by!r} outcome={outcome}"
            )
        return self._resolve(id_, by, outcome, body, reason)

    def deliver_late_result(
        self, id_: str, lease: str, outcome: JobOutcome | None, body: bytes = b"", reason: str = ""
    ) -> bool:
        """Resolve an indeterminate job by the late report of its worker; outcome None says that it never ran.

        Returns False, without a change, if the job is not indeterminate or the lease is not its latest one.
        """
        if not self._submissions.grants.is_current_lease(id_, lease):
            return False
        return self._resolve(id_, "", outcome, body, reason)

    def _resolve(self, id_: str, by: str, outcome: JobOutcome | None, body: bytes, reason: str) -> bool:
        job, now = self._policy.find(id_), self._clock()
        if job is None or job.state is not JobState.INDETERMINATE:
            return False
        resolution = outcome.value if outcome else "never began"
        log.info("job resolved: job=%s outcome=%s by=%s", id_, resolution, by or "its worker")
        if outcome is None:
            self._submissions.grants.clear_run(id_)
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
        """Reserve the numbers up to this one, which belong to jobs of earlier runs."""
        self._policy.set_last_number(number)

    def restore(self, restored: RestoredJob, lease: str = "", repeat: RepeatLimit | None = None) -> Job:
        """Restore a job of an earlier run that has not ended, with the lease of its latest grant.

        `repeat` is set if the job may have run, and may still be repeated.
        """
        now, id_ = self._clock(), restored.submission.id
        self._driver.mark_busy()
        restored = replace(restored, submission=self._attach_to_front(restored.submission))
        if lease or repeat is not None:
            self._submissions.grants.restore(id_, lease, repeat)
        if repeat is not None:
            left_s = repeat.deadline_s - asyncio.get_running_loop().time()
            restored = replace(restored, repeat_deadline_ms=now + left_s * MS_PER_S)
        job = self._policy.restore(now, restored)
        self._driver.drive(now)
        return job

    def _attach_to_front(self, submission: JobSubmission) -> JobSubmission:
        """Attach a restored job to the front through which it was submitted."""
        for handle_recovery in self.recovery_handlers:
            assert submission.request is not None
            found = handle_recovery(submission.request)
            if found is not None:
                request, on_end = found
                self._watchers.set_callback(submission.id, on_end)
                return replace(submission, request=request)
        return submission

    # ---- Stopping ----

    def stop(self) -> None:
        """Accept and release no more jobs. Waiting jobs end without a run, except durable ones."""
        now = self._clock()
        self._driver.is_stopping = True
        self._submissions.is_stopping = True
        self.abandoned_waits.is_stopping = True
        self.intake.stop()
        self._policy.stop(now, keep_durable=self._journal.is_durable)
        self.abandoned_waits.release_all()
        self._driver.drive(now)

    async def wait_until_idle(self) -> None:
        """Wait until all jobs have ended, except durable ones that remain in the store."""
        await self._driver.wait_until_idle()


def with_aged_classes(
    classes: Iterable[JobClass],
    settings: WaitingSettings,
    objective_deadlines: float = AGED_OBJECTIVE_DEADLINES,
) -> tuple[JobClass, ...]:
    """Return the classes, and for each class that queues another one in which its aged jobs are submitted.

    The added class has a longer latency objective, a multiple of the deadline. The scheduler rejects requests
    that would wait for too large a share of their objective; an aged job should queue at a worker instead.
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
    """Return the settings with `max_window` limited to half of the open requests.

    The other half is left to requests that are not deferred.
    """
    max_window = max(min(settings.max_window, max_open_requests // 2), 1)
    first_window = min(settings.first_window, max_window)
    return structs.replace(settings, max_window=max_window, first_window=first_window)

"""Carries out the policy's actions: submits jobs, records changes, delivers results and sets the timer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Collection

from ..core.service_measure import ServiceMeasure
from .abandoned_waits import AbandonedWaits
from .core_submissions import CoreSubmissions, WorkerAnswer
from .job import Action, DependencySatisfied, Job, JobOutcome, JobResult, JobState, StateChanged, SubmitJob
from .journal import JobJournal
from .policy import WaitingPolicy
from .result_watchers import ResultWatchers
from .settings import WaitingSettings

log = logging.getLogger("oxbowyard.waiting")

PRIORITY_UPDATE_INTERVAL_MS = 1000.0  # between updates of priorities from mean running times


class PolicyDriver:
    """Connects the policy of one queue with the core, the journal and the waiting clients."""

    def __init__(
        self,
        settings: WaitingSettings,
        policy: WaitingPolicy,
        journal: JobJournal,
        watchers: ResultWatchers,
        measure: ServiceMeasure,
        class_names: Collection[str],
        clock: Callable[[], float],
    ) -> None:
        """`clock` is steady, in milliseconds. Create it on the event loop that uses it."""
        self._settings = settings
        self._policy = policy
        self._journal = journal
        self._watchers = watchers
        self._measure = measure
        self._class_names = class_names
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self.submissions: CoreSubmissions  # set by the queue, because the two refer to each other
        self.abandoned_waits: AbandonedWaits  # set by the queue, since it refers to the submissions
        self.results: dict[str, JobResult] = {}  # by job id, until the job is purged
        self.resolved_by: dict[str, str] = {}  # operators, by the ids of jobs that are about to end
        self.outcomes = dict.fromkeys(JobOutcome, 0)  # counts since the start of the program, for operators
        self.on_driven: Callable[[], None] = lambda: None  # called after each change of the jobs
        self.is_stopping = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at_ms = 0.0
        self._is_driving = False
        self._priorities_updated_at_ms = 0.0
        self._idle = asyncio.Event()
        self._idle.set()

    def mark_busy(self) -> None:
        """Note that jobs were accepted or restored, so that the queue is not idle."""
        self._idle.clear()

    async def wait_until_idle(self) -> None:
        """Wait until all jobs have ended, except durable ones that remain in the store."""
        await self._idle.wait()

    def drive(self, now: float) -> None:
        """Carry out the policy's actions, and set the timer for its next tick."""
        if self._is_driving:  # called by a callback that submits or cancels; the outer call carries it out
            return
        self._is_driving = True
        try:
            while actions := self._policy.take_actions():
                for action in actions:
                    self._execute(action)
        finally:
            self._is_driving = False
            self.on_driven()
        if self._is_idle():
            self._idle.set()
        self._set_timer(self._policy.next_tick_ms(now), now)

    def _is_idle(self) -> bool:
        """Return whether all jobs have ended, except durable ones that remain in the store."""
        if not self._policy.held.jobs:
            return True
        if not self._journal.is_durable or not self.is_stopping:
            return False
        return not self.submissions.has_running_tasks()

    def _execute(self, action: Action) -> None:
        try:
            if isinstance(action, SubmitJob):
                self.submissions.submit(action.job, action.job_class)
            elif isinstance(action, DependencySatisfied):
                self._journal.record_dependencies(action.job)
            else:
                self._apply_change(action)
        except Exception:  # a failure with one job must not lose the results of others
            log.exception("could not carry out action=%s job=%s", type(action).__name__, action.job.id)

    def _apply_change(self, change: StateChanged) -> None:
        job = change.job
        result = self._build_result(job) if change.state is JobState.ENDED else None
        if job.durable:
            self._journal.record_change(change, result)
        if result is not None and job.durable:  # delivered once the journal has recorded it
            self._journal.when_durable(lambda: self._deliver_result(job, result))
        elif result is not None:
            self._deliver_result(job, result)
        elif change.state is JobState.INDETERMINATE:
            log.warning("job indeterminate: job=%s class=%s reason=%s", job.id, job.job_class, job.reason)
            self.abandoned_waits.release(job)
        elif change.state is JobState.PURGED:
            self.results.pop(job.id, None)
        elif self.is_stopping and job.is_waiting:
            self.abandoned_waits.release(job)

    def _build_result(self, job: Job) -> JobResult:
        assert job.outcome is not None
        answer = self.submissions.answers.pop(job.id, WorkerAnswer())
        retry_after_s = answer.retry_after_s
        if job.outcome in (JobOutcome.WAIT_EXPIRED, JobOutcome.SHUT_DOWN):
            retry_after_s = self._settings.full_retry_after_s
        resolved_by = self.resolved_by.pop(job.id, "")
        return JobResult(job.outcome, job.run_state, answer.body, job.reason, retry_after_s, resolved_by)

    def _deliver_result(self, job: Job, result: JobResult) -> None:
        """Cache the result of an ended job, and deliver it to all that wait for it."""
        if job.state is not JobState.PURGED:
            self.results[job.id] = result
        self.submissions.grants.discard(job.id)
        self.outcomes[result.outcome] += 1
        if result.outcome is not JobOutcome.SERVED:
            outcome = result.outcome.value
            log.debug("job ended: job=%s class=%s outcome=%s %s", job.id, job.job_class, outcome, job.reason)
        self._watchers.notify(job.id, result)

    def _set_timer(self, at_ms: float | None, now: float) -> None:
        if self._timer is not None:
            if at_ms is not None and self._timer_at_ms <= at_ms:
                return  # it fires earlier, and is then set anew
            self._timer.cancel()
            self._timer = None
        if at_ms is not None:
            self._timer_at_ms = at_ms
            self._timer = self._loop.call_later(max(at_ms - now, 0.0) / 1000, self._tick)

    def _tick(self) -> None:
        self._timer = None
        now = self._clock()
        if now - self._priorities_updated_at_ms >= PRIORITY_UPDATE_INTERVAL_MS:
            self._priorities_updated_at_ms = now
            for name in self._class_names:
                self._policy.priorities.set_mean_work(name, self._measure.mean_run_s(name))
        self._policy.tick(now)
        self.drive(now)

"""Accepts jobs: checks what clients submit, passes it to the policy and records it in the journal."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence

from ..core.request import Request
from .dependencies import has_dependents_on_any_end
from .grants import RepeatRules
from .job import Job, JobRejectedError, JobSubmission, RejectionCode, WaitOptions
from .job_ids import JobIds
from .journal import JobJournal, JobRecord
from .policy import WaitingPolicy
from .policy_driver import PolicyDriver
from .result_watchers import OnEnd, ResultWatchers
from .settings import WaitingSettings

STOP_RECORD_TIMEOUT_S = 2.0  # while the program stops, for the journal to record a submission
STOPPING_REASON = "this scheduler stops, and the store has not answered in time"


class JobIntake:
    """Accepts the submissions of one queue. Create it on the event loop that uses it."""

    def __init__(
        self,
        settings: WaitingSettings,
        policy: WaitingPolicy,
        journal: JobJournal,
        driver: PolicyDriver,
        watchers: ResultWatchers,
        ids: JobIds,
        rules: RepeatRules,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        """`clock` is steady, in milliseconds; `wall_clock` is Unix time in seconds."""
        self._settings = settings
        self._policy = policy
        self._journal = journal
        self._driver = driver
        self._watchers = watchers
        self._ids = ids
        self._rules = rules
        self._clock = clock
        self._wall_clock = wall_clock
        self._loop = asyncio.get_running_loop()
        self._awaiting_journal: set[asyncio.Future[None]] = set()
        self._is_stopping = False
        # Called when the journal has failed: results of durable jobs will not be delivered any more.
        self.journal_lost_callbacks: list[Callable[[], None]] = []
        self.is_recovering = False  # jobs of an earlier run are still being read from the store
        self.accepted = 0  # jobs since the start of the program, for operators
        self.rejected = 0  # submissions since the start of the program

    def submit(self, jobs: Sequence[tuple[Request, WaitOptions]], on_end: OnEnd | None = None) -> list[Job]:
        """Accept all jobs or none of them. Raises JobRejectedError.

        The caller acknowledges them to its client after `wait_until_durable`. A request's timeout is for
        running, and is limited by its class's deadline. `on_end` is called once for each job, but not for a
        job that was submitted before and has a callback already, or has ended.
        """
        submissions = [self._submission(request, options) for request, options in jobs]
        now, last_number = self._clock(), self._policy.last_number
        try:
            self._check_journal(submissions)
            accepted = self._policy.submit(now, submissions)
        except JobRejectedError:
            self.rejected += 1
            raise
        for job, submission in zip(accepted, submissions, strict=True):
            if job.durable and job.number > last_number:  # a repeated submission is recorded already
                self._journal.record_accepted(job, submission, self._rules.needs_grant(job.job_class))
                self.record_running_dependencies(job)
            if on_end is not None and job.outcome is None and not self._watchers.has_callback(job.id):
                self._watchers.set_callback(job.id, on_end)
        self.accepted += len(accepted)
        self._driver.mark_busy()
        self._driver.drive(now)
        return accepted

    def record_running_dependencies(self, job: Job) -> None:
        """Record that jobs whose end this one waits for, whatever the outcome, may run already."""
        for dependency in job.dependencies:
            known = self._policy.find(dependency.id)
            if known is None or known.is_waiting or not known.durable:
                continue
            if has_dependents_on_any_end(known) and not self._rules.needs_grant(known.job_class):
                self._journal.record_submission(known)

    def _submission(self, request: Request, options: WaitOptions) -> JobSubmission:
        max_wait_s = self._settings.default_patience_s if options.max_wait_s is None else options.max_wait_s
        delay_s = options.delay_s
        if options.not_before_unix_s is not None:
            # Converted once, so that later steps of the system's clock do not move the job.
            delay_s = max(delay_s, options.not_before_unix_s - self._wall_clock())
        return JobSubmission(
            request.id,
            request.job_class,
            max_wait_s * 1000,
            len(request.payload),
            options.dependencies,
            delay_s * 1000,
            options.wait_for_idle,
            options.priority,
            options.tenant,
            options.idempotency_key,
            options.fingerprint,
            options.durable and self._journal.is_durable,
            request,
        )

    def _check_journal(self, submissions: Sequence[JobSubmission]) -> None:
        retry_after_s = self._settings.full_retry_after_s
        durable = [submission for submission in submissions if submission.durable]
        if durable:
            reason = self._journal.rejection_reason(durable)
            if reason:
                raise JobRejectedError(RejectionCode.STORE_UNAVAILABLE, reason, retry_after_s)
        if not self.is_recovering:
            return
        ids = {submission.id for submission in submissions}
        for submission in submissions:
            for dependency in submission.dependencies:
                if dependency.id not in ids and self._policy.find(dependency.id) is None:
                    text = f"{dependency.id} is not known, or not yet"
                    raise JobRejectedError(RejectionCode.RECOVERING, text, retry_after_s)

    async def find_existing(self, jobs: Sequence[tuple[Request, WaitOptions]]) -> list[JobRecord] | None:
        """Return the jobs of a repeated submission that only the journal has; None for a new submission.

        Call it before `submit`. Raises JobRejectedError if an id exists or a key was used with other content.
        """
        if not self._journal.is_durable or not any(self._may_exist(*job) for job in jobs):
            return None
        submissions = [self._submission(request, options) for request, options in jobs]
        found = await self._journal.find_existing(submissions)
        existing = []
        for submission, known in zip(submissions, found, strict=True):
            if known is None or self._policy.find(known.job.id) is not None:  # memory is more recent
                continue
            if not known.by_idempotency_key:
                text = f"there is a job {submission.id}"
                raise JobRejectedError(RejectionCode.DUPLICATE_ID, text)
            if known.job.fingerprint != submission.fingerprint:
                text = "this idempotency key was used for another job"
                raise JobRejectedError(RejectionCode.CONFLICT, text)
            existing.append(known)
        if existing and len(existing) < len(submissions):
            text = "some of these were handed in before, and some were not"
            raise JobRejectedError(RejectionCode.CONFLICT, text)
        return existing or None

    def _may_exist(self, request: Request, options: WaitOptions) -> bool:
        """Return whether the journal may have the job; it has none with an id that this run generated."""
        return bool(options.idempotency_key) or not self._ids.is_of_this_run(request.id)

    async def wait_until_durable(self) -> None:
        """Wait until the journal has recorded everything that was submitted so far.

        Raises JobRejectedError if the journal fails meanwhile; the jobs may or may not be recorded then.
        """
        recorded: asyncio.Future[None] = self._loop.create_future()
        self._awaiting_journal.add(recorded)
        self._journal.when_durable(lambda: None if recorded.done() else recorded.set_result(None))
        reason = self._journal.failure_reason()
        if reason:
            self.journal_failed(reason)
        try:
            async with asyncio.timeout(STOP_RECORD_TIMEOUT_S if self._is_stopping else None):
                await recorded
        except TimeoutError:
            raise self._unrecorded_error(STOPPING_REASON) from None
        finally:
            self._awaiting_journal.discard(recorded)

    def stop(self) -> None:
        """Limit the time for which submitters wait for the journal, which may hang while the program ends."""
        self._is_stopping = True
        waiting = tuple(self._awaiting_journal)
        self._loop.call_later(STOP_RECORD_TIMEOUT_S, self._reject_unrecorded, waiting, STOPPING_REASON)

    def journal_failed(self, reason: str) -> None:
        """Fail all pending `wait_until_durable` calls, because the journal will record nothing more."""
        self._reject_unrecorded(self._awaiting_journal, reason)
        for callback in self.journal_lost_callbacks:
            callback()

    def _reject_unrecorded(self, waiting: Iterable[asyncio.Future[None]], reason: str) -> None:
        for recorded in waiting:
            if not recorded.done():
                recorded.set_exception(self._unrecorded_error(reason))

    def _unrecorded_error(self, reason: str) -> JobRejectedError:
        text = f"{reason}; it is not known whether this is kept: ask, or hand it in again with its key"
        return JobRejectedError(RejectionCode.STORE_UNAVAILABLE, text, self._settings.full_retry_after_s)

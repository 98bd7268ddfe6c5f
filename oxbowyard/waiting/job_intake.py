"""Accepting jobs: what a client submits is checked, handed to the policy and recorded in the journal."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from ..core.request import Request
from .job import Job, JobRejectedError, JobSubmission, RejectionCode, WaitOptions
from .job_ids import JobIds
from .journal import JobJournal, JobRecord
from .policy import WaitingPolicy
from .policy_driver import PolicyDriver
from .result_watchers import OnEnd, ResultWatchers
from .settings import WaitingSettings


class JobIntake:
    """Submissions of one queue. To be made on the event loop that uses it."""

    def __init__(
        self,
        settings: WaitingSettings,
        policy: WaitingPolicy,
        journal: JobJournal,
        driver: PolicyDriver,
        watchers: ResultWatchers,
        ids: JobIds,
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
        self._clock = clock
        self._wall_clock = wall_clock
        self._loop = asyncio.get_running_loop()
        self._awaiting_journal: set[asyncio.Future[None]] = set()
        # Called when the journal records nothing any more: no durable job will be told its end.
        self.journal_lost_callbacks: list[Callable[[], None]] = []
        self.is_recovering = False  # jobs of an earlier run are still read back
        self.accepted = 0  # since the start, for operators
        self.rejected = 0

    def submit(self, jobs: Sequence[tuple[Request, WaitOptions]], on_end: OnEnd | None = None) -> list[Job]:
        """Accept all jobs or none. Acknowledge them after `wait_until_durable`. Raises JobRejectedError.

        A request's timeout is for running, its class's deadline at most. `on_end` is called once for each
        job, but not for repeated submissions.
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
            if job.durable and job.number > last_number:  # a repeated one is in the journal
                self._journal.record_accepted(job, submission)
            if on_end is not None and job.outcome is None and not self._watchers.has_callback(job.id):
                self._watchers.set_callback(job.id, on_end)
        self.accepted += len(accepted)
        self._driver.mark_busy()
        self._driver.drive(now)
        return accepted

    def _submission(self, request: Request, options: WaitOptions) -> JobSubmission:
        max_wait_s = self._settings.default_patience_s if options.max_wait_s is None else options.max_wait_s
        delay_s = options.delay_s
        if options.not_before_unix_s is not None:
            # By the system's clock as it is now; what that clock does later moves no job.
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
        if any(submission.durable for submission in submissions):
            reason = self._journal.rejection_reason()
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
        """The jobs that the journal knows, and memory does not, for a repeated submission; None if it is new.

        Call it before `submit`. Raises JobRejectedError for an id that exists, or a key with other content.
        """
        if not self._journal.is_durable or not any(self._may_exist(*job) for job in jobs):
            return None
        submissions = [self._submission(request, options) for request, options in jobs]
        found = await self._journal.find_existing(submissions)
        recalled = []
        for submission, known in zip(submissions, found, strict=True):
            if known is None or self._policy.find(known.job.id) is not None:  # memory is newer
                continue
            if not known.by_idempotency_key:
                text = f"there is a job {submission.id}"
                raise JobRejectedError(RejectionCode.DUPLICATE_ID, text)
            if known.job.fingerprint != submission.fingerprint:
                text = "this idempotency key was used for another job"
                raise JobRejectedError(RejectionCode.CONFLICT, text)
            recalled.append(known)
        if recalled and len(recalled) < len(submissions):
            text = "some of these were handed in before, and some were not"
            raise JobRejectedError(RejectionCode.CONFLICT, text)
        return recalled or None

    def _may_exist(self, request: Request, options: WaitOptions) -> bool:
        """Whether the journal may know the job: ids that this run has given are new."""
        return bool(options.idempotency_key) or not self._ids.is_of_this_run(request.id)

    async def wait_until_durable(self) -> None:
        """Wait until what was submitted so far is as durable as this scheduler can make it.

        Raises JobRejectedError if the journal fails meanwhile: then nobody knows whether it is recorded.
        """
        recorded: asyncio.Future[None] = self._loop.create_future()
        self._awaiting_journal.add(recorded)
        self._journal.when_durable(lambda: None if recorded.done() else recorded.set_result(None))
        reason = self._journal.failure_reason()
        if reason:
            self.journal_failed(reason)
        try:
            await recorded
        finally:
            self._awaiting_journal.discard(recorded)

    def journal_failed(self, reason: str) -> None:
        """Nothing more will be recorded: whoever waits for that is told."""
        text = f"{reason}; it is not known whether this is kept: ask, or hand it in again with its key"
        for recorded in self._awaiting_journal:
            if not recorded.done():
                retry_after_s = self._settings.full_retry_after_s
                error = JobRejectedError(RejectionCode.STORE_UNAVAILABLE, text, retry_after_s)
                recorded.set_exception(error)
        for callback in self.journal_lost_callbacks:
            callback()

"""Ends the waits for jobs whose end this process will not learn.

The jobs themselves go on: an indeterminate one until it is resolved, a stored one in the next run of the
program. Whoever waits for such a job is told so instead of waiting without a limit.
"""

from __future__ import annotations

from .core_submissions import CoreSubmissions
from .job import AbandonCause, Job, JobState, WaitAbandoned
from .journal import JobJournal
from .policy import WaitingPolicy
from .result_watchers import OnAbandoned, ResultWatchers


class AbandonedWaits:
    """Knows for which jobs of one queue waiting is in vain, and tells those who wait for them."""

    def __init__(
        self,
        policy: WaitingPolicy,
        journal: JobJournal,
        submissions: CoreSubmissions,
        watchers: ResultWatchers,
    ) -> None:
        self._policy = policy
        self._journal = journal
        self._submissions = submissions
        self._watchers = watchers
        self.is_stopping = False

    def notify(self, callback: OnAbandoned) -> None:
        """Have a front called when waiting for a job is in vain. It may be called again for the same job."""
        self._watchers.abandon_callbacks.append(callback)

    def find_by_id(self, job_id: str) -> WaitAbandoned | None:
        """Return the same as `find`; None also for an unknown job."""
        job = self._policy.find(job_id)
        return None if job is None else self.find(job)

    def find(self, job: Job) -> WaitAbandoned | None:
        """Return why the end of a job without a result will not be learned; None if it is to be awaited."""
        if job.state is JobState.INDETERMINATE:
            return WaitAbandoned(AbandonCause.INDETERMINATE, job.reason)
        if not job.durable:
            return None
        if self._journal.failure_reason():
            return WaitAbandoned(AbandonCause.STORE_LOST, "the store is lost")
        if self.is_stopping and job.outcome is None and not self._submissions.is_running(job.id):
            return WaitAbandoned(
                AbandonCause.LEFT_IN_STORE, "this scheduler stops, the job stays in the store"
            )
        return None

    def release(self, job: Job) -> None:
        """Tell those who wait for a job if its end will not be learned."""
        abandoned = self.find(job)
        if abandoned is not None:
            self._watchers.abandon(job.id, abandoned)

    def release_all(self) -> None:
        """Do the same for each job that has not ended, or whose end is not recorded yet."""
        for job_id in self._watchers.watched_job_ids():
            job = self._policy.find(job_id)
            if job is not None:
                self.release(job)

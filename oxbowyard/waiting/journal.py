"""The interface of the journal of waiting jobs, and the journal that is used without a store."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from .job import Job, JobResult, JobSubmission, StateChanged


class LeaseTable(Protocol):
    """The leases of workers on jobs. Times are milliseconds."""

    def begin(self, now: float, job_id: str) -> None:
        """Start the lease of a worker that gets the job."""

    def renew(self, now: float, job_id: str) -> None:
        """Extend the lease after a sign of life from the worker."""

    def end(self, job_id: str) -> None:
        """Remove the lease; no worker has the job any more."""

    def take_expired(self, now: float) -> list[str]:
        """Remove the expired leases and return their job ids."""

    def next_expiry_ms(self) -> float | None:
        """Return when the next lease expires; None if there is no lease."""


@dataclass(slots=True, frozen=True)
class JobRecord:
    """A job and its result, in memory or in the journal."""

    job: Job
    result: JobResult | None
    by_idempotency_key: bool = False  # found by its idempotency key, not by its id


@dataclass(slots=True, frozen=True)
class GrantRecord:
    """A grant of a job to a worker, as it is recorded before the job is sent."""

    worker: str
    lease: str
    request_id: str  # the request's id at the worker
    # How long a repeat is harmless, from the first send that may have run; 0: it never is.
    repeat_window_s: float
    is_repeat: bool  # an earlier send may have run, so the window has begun already


class JobJournal(Protocol):
    """Records state changes, in order. Acknowledgements, grants and answers wait until they are durable."""

    is_durable: bool  # waiting jobs survive the program, so a shutdown does not end them
    run_id: str  # part of request ids, so that they differ from those of earlier runs
    leases: LeaseTable | None  # None: silent workers are not detected

    def rejection_reason(self, submissions: Sequence[JobSubmission] = ()) -> str:
        """Return why no durable jobs, or not these, are accepted; empty if they are."""

    def failure_reason(self) -> str:
        """Return why the journal has failed for good; empty if it has not."""

    def record_accepted(self, job: Job, submission: JobSubmission, records_grants: bool) -> None:
        """Record a job with everything that is needed to restore it.

        `records_grants` says whether `record_grant` will be called before each time that the job is sent.
        """

    def record_change(self, change: StateChanged, result: JobResult | None) -> None:
        """Record a change of an accepted job; `result` is set when it has ended."""

    def record_dependencies(self, job: Job) -> None:
        """Record the dependencies that the job still waits for."""

    def record_submission(self, job: Job) -> None:
        """Record that the job may run from now on, if none of its grants is recorded."""

    def record_grant(self, job: Job, grant: GrantRecord) -> None:
        """Record that the job is about to be sent to a worker."""

    def when_durable(self, callback: Callable[[], None]) -> None:
        """Call back once everything that was recorded so far is durable."""

    async def find_existing(self, submissions: Sequence[JobSubmission]) -> Sequence[JobRecord | None]:
        """Return, for each submission, the recorded job with its idempotency key or its id."""

    async def find_record(self, id_: str) -> JobRecord | None:
        """Return a recorded job that need not be in memory; None if it is unknown."""


class InMemoryJournal:
    """A journal that records nothing; jobs are lost when the program ends."""

    is_durable = False
    run_id = ""
    leases: LeaseTable | None = None

    def rejection_reason(self, submissions: Sequence[JobSubmission] = ()) -> str:
        """Return an empty string: jobs are always accepted."""
        return ""

    def failure_reason(self) -> str:
        """Return an empty string: this journal cannot fail."""
        return ""

    def record_accepted(self, job: Job, submission: JobSubmission, records_grants: bool) -> None:
        """Do nothing: the job exists in memory only."""

    def record_change(self, change: StateChanged, result: JobResult | None) -> None:
        """Do nothing."""

    def record_dependencies(self, job: Job) -> None:
        """Do nothing."""

    def record_submission(self, job: Job) -> None:
        """Do nothing."""

    def record_grant(self, job: Job, grant: GrantRecord) -> None:
        """Do nothing."""

    def when_durable(self, callback: Callable[[], None]) -> None:
        """Call back immediately."""
        callback()

    async def find_existing(self, submissions: Sequence[JobSubmission]) -> Sequence[JobRecord | None]:
        """Find nothing, because nothing is recorded."""
        return [None] * len(submissions)

    async def find_record(self, id_: str) -> JobRecord | None:
        """Find nothing, because nothing is recorded."""
        return None

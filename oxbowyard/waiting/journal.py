"""Where every change of a waiting job's state is recorded: the interface of a store, and the one without."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from .job import Job, JobResult, JobSubmission, StateChanged


class LeaseTable(Protocol):
    """Which workers have leases; times in milliseconds."""

    def begin(self, now: float, job_id: str) -> None:
        """A worker has the job from now on."""

    def renew(self, now: float, job_id: str) -> None:
        """The worker gave a sign of life."""

    def end(self, job_id: str) -> None:
        """No worker has the job any more."""

    def take_expired(self, now: float) -> list[str]:
        """Jobs whose leases have expired, each once."""

    def next_expiry_ms(self) -> float | None:
        """When the next lease expires; None: there is none."""


@dataclass(slots=True, frozen=True)
class JobRecord:
    """A job as the journal knows it."""

    job: Job
    result: JobResult | None
    by_idempotency_key: bool = False


class JobJournal(Protocol):
    """Records the changes of state, in order. Acknowledgements, grants and answers wait for that."""

    is_durable: bool  # waiting jobs outlive the program: at its stop they are left as they are
    run_id: str  # in the ids of this run's requests: it tells them from those of earlier runs
    leases: LeaseTable | None  # None: silent workers are not noticed

    def rejection_reason(self) -> str:
        """Why no more work is accepted; empty: it is."""

    def failure_reason(self) -> str:
        """Why nothing will be recorded any more; empty: it will."""

    def record_accepted(self, job: Job, submission: JobSubmission) -> None:
        """Record a job with all that is needed to continue with it."""

    def record_change(self, change: StateChanged, result: JobResult | None) -> None:
        """Record a change of an accepted job, with its result at its end."""

    def record_grant(self, job: Job, worker: str, lease: str) -> None:
        """Record that a worker is about to have the job, by this lease."""

    def when_durable(self, callback: Callable[[], None]) -> None:
        """Call back once all that was recorded so far is as durable as this journal makes it."""

    async def find_existing(self, submissions: Sequence[JobSubmission]) -> Sequence[JobRecord | None]:
        """For each submission the known job with its idempotency key, or its id."""

    async def find_record(self, id_: str) -> JobRecord | None:
        """A job that is not in memory any more, or not yet."""


class InMemoryJournal:
    """Records nothing: jobs live as long as the program."""

    is_durable = False
    run_id = ""
    leases: LeaseTable | None = None

    def rejection_reason(self) -> str:
        """Work is always accepted."""
        return ""

    def failure_reason(self) -> str:
        """There is nothing that could fail."""
        return ""

    def record_accepted(self, job: Job, submission: JobSubmission) -> None:
        """The policy's memory is all there is."""

    def record_change(self, change: StateChanged, result: JobResult | None) -> None:
        """Nothing is recorded."""

    def record_grant(self, job: Job, worker: str, lease: str) -> None:
        """Nothing is recorded."""

    def when_durable(self, callback: Callable[[], None]) -> None:
        """Call back at once."""
        callback()

    async def find_existing(self, submissions: Sequence[JobSubmission]) -> Sequence[JobRecord | None]:
        """No job is known."""
        return [None] * len(submissions)

    async def find_record(self, id_: str) -> JobRecord | None:
        """No job is known."""
        return None

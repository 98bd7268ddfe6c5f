"""The journal of waiting jobs in a store: each change is on disk before it is acknowledged or acted on."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from typing import TypeVar

from ..core.request import RunState
from ..store.database import Database
from ..store.record import (
    DependenciesChanged,
    FirstSend,
    JobAccepted,
    JobEnded,
    JobStateChanged,
    Lease,
    RequestChanged,
    StoredJob,
    StoredState,
    StoreError,
)
from ..store.space import StoreSpace, stored_bytes
from ..store.writer import LOST_STATES, StoreHealth, Writer
from ..waiting.job import (
    Job,
    JobRejectedError,
    JobResult,
    JobState,
    JobSubmission,
    RejectionCode,
    StateChanged,
)
from ..waiting.journal import GrantRecord, JobRecord
from ..waiting.journal import LeaseTable as LeaseTableProtocol
from .encoding import encode_dependencies, encode_request, with_records_grants
from .leases import LeaseTable
from .machine_clock import MachineClock, first_send_at
from .stored_jobs import job_record

T = TypeVar("T")
QUERY_RETRY_AFTER_S = 1.0
REJECTION_REASONS = {
    StoreHealth.STALLED: "the store takes nothing: its disk is full or failing",
    StoreHealth.BROKEN: "the store is broken",
    StoreHealth.FENCED: "another scheduler has this store",
    StoreHealth.CLOSED: "the store is closed",
}
FULL_REASON = "the store is full"
# A granted job that returns to one of these states, and of which no run is known, never ran.
NEVER_RAN_STATES = (JobState.SCHEDULED, JobState.READY, JobState.AWAITING_IDLE)


class DurableJournal:
    """Converts the policy's changes to records of the store, and stored jobs to jobs of the queue."""

    is_durable = True

    def __init__(
        self,
        writer: Writer,
        space: StoreSpace,
        run_id: str,
        lease_s: float | None = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """`lease_s` None: silent workers are not detected. `wall_clock` is Unix time in seconds."""
        self.leases: LeaseTableProtocol | None = None
        if lease_s is not None:
            self.leases = LeaseTable(lease_s * 1000)
        self._writer = writer
        self._space = space
        self._wall_clock = wall_clock
        self.run_id = run_id
        self.machine_clock = MachineClock(wall_clock)
        # By the number of each job with a recorded grant; None: it must not be sent again.
        self._granted: dict[int, FirstSend | None] = {}
        # Numbers of the jobs that are recorded as submitted without a grant.
        self._submitted: set[int] = set()

    def rejection_reason(self, submissions: Sequence[JobSubmission] = ()) -> str:
        """Return why no durable jobs, or not these, are accepted; empty if they are."""
        reason = REJECTION_REASONS.get(self._writer.health, "")
        if reason:
            return reason
        size_bytes = sum(stored_bytes(submission.payload_bytes) for submission in submissions)
        return "" if self._space.has_space(size_bytes) else FULL_REASON

    def failure_reason(self) -> str:
        """Return why the journal has failed for good; empty if it has not."""
        return REJECTION_REASONS[self._writer.health] if self._writer.health in LOST_STATES else ""

    # ---- Writing to the store ----

    def record_accepted(self, job: Job, submission: JobSubmission, records_grants: bool) -> None:
        """Record an accepted job with everything that is needed to restore it."""
        request = submission.request
        assert request is not None
        accepted = JobAccepted(
            job.number,
            job.id,
            job.job_class,
            job.tenant,
            job.idempotency_key,
            job.fingerprint,
            accepted_at=self._wall_clock(),
            max_wait_s=submission.max_wait_ms / 1000,
            delay_s=submission.delay_ms / 1000,
            wait_for_idle=job.wait_for_idle,
            priority=job.priority,
            dependencies=encode_dependencies(submission.dependencies),
            request=encode_request(request, records_grants),
            payload=request.payload,
        )
        self._writer.put(accepted)

    def record_change(self, change: StateChanged, result: JobResult | None) -> None:
        """Record a change of an accepted job, if the recovery after a crash depends on it."""
        job = change.job
        if result is not None:
            self._granted.pop(job.number, None)
            self._submitted.discard(job.number)
            self._writer.put(self._ended_record(job, result))
        elif change.state is JobState.STARTED and job.number in self._granted:
            self._put_state(job, StoredState.STARTED)
        elif change.state is JobState.INDETERMINATE:
            self._put_state(job, StoredState.INDETERMINATE)
        elif (job.number in self._granted or job.number in self._submitted) and _never_ran(change):
            self._granted.pop(job.number, None)
            self._submitted.discard(job.number)
            self._put_state(job, StoredState.WAITING)

    def _ended_record(self, job: Job, result: JobResult) -> JobEnded:
        return JobEnded(
            job.number,
            result.outcome.value,
            result.run_state.value,
            result.reason,
            result.body,
            result.retry_after_s,
            self._wall_clock(),
            result.resolved_by,
        )

    def _put_state(self, job: Job, state: StoredState) -> None:
        self._writer.put(JobStateChanged(job.number, state, job.submission_count))

    def record_dependencies(self, job: Job) -> None:
        """Record the dependencies that the job still waits for; the results of the others may be deleted."""
        self._writer.put(DependenciesChanged(job.number, encode_dependencies(job.dependencies)))

    def record_grant(self, job: Job, grant: GrantRecord) -> None:
        """Record that the job is about to be sent to a worker, and when it was first sent."""
        now = self.machine_clock.now()
        first_send = self._granted.get(job.number) if grant.is_repeat else None
        if not grant.is_repeat:
            first_send = first_send_at(now, grant.repeat_window_s, grant.request_id)
        self._granted[job.number] = first_send
        lease = Lease(grant.lease, grant.worker, now.unix_s, first_send)
        self._writer.put(JobStateChanged(job.number, StoredState.GRANTED, job.submission_count, lease))

    def record_submission(self, job: Job) -> None:
        """Record that the job may run from now on, if none of its grants is recorded."""
        if job.number not in self._submitted and job.number not in self._granted:
            self._submitted.add(job.number)
            self._put_state(job, StoredState.SUBMITTED)

    def restore_grant(self, number: int, first_send: FirstSend | None) -> None:
        """Note a job of an earlier run that may have run, so that a proof that it did not is recorded."""
        self._granted[number] = first_send

    def restore_submission(self, number: int) -> None:
        """Note a job of an earlier run that is recorded as submitted without a grant."""
        self._submitted.add(number)

    def record_unrecorded_send(self, stored: StoredJob) -> None:
        """Record that an earlier release may have sent the job, before this run sends it with a grant."""
        number, count = stored.accepted.number, stored.submission_count
        self._writer.put(JobStateChanged(number, StoredState.SUBMITTED, count))

    def record_rules(self, stored: StoredJob, records_grants: bool) -> None:
        """Record whether each send of a job that never ran is recorded from now on."""
        request = with_records_grants(stored, records_grants)
        self._writer.put(RequestChanged(stored.accepted.number, request))

    def when_durable(self, callback: Callable[[], None]) -> None:
        """Call back after everything that was recorded so far is committed; never if that fails for good."""
        self._writer.when_durable(callback)

    # ---- Reading from the store ----

    async def find_existing(self, submissions: Sequence[JobSubmission]) -> Sequence[JobRecord | None]:
        """Return, for each submission, the stored job with its idempotency key or its id.

        Raises JobRejectedError.
        """

        def find(database: Database) -> list[tuple[StoredJob, bool] | None]:
            return [_find_one(database, submission) for submission in submissions]

        found = await self._read(find)
        return [job_record(*known) if known else None for known in found]

    async def find_record(self, id_: str) -> JobRecord | None:
        """Return a stored job by its id; None if it is unknown. Raises JobRejectedError."""
        stored = await self._read(lambda database: database.find(id_), may_be_stale=True)
        return job_record(stored, False) if stored else None

    async def _read(self, query: Callable[[Database], T], may_be_stale: bool = False) -> T:
        try:
            return await self._writer.read(query, may_be_stale)
        except StoreError as error:
            code = RejectionCode.STORE_UNAVAILABLE
            raise JobRejectedError(code, str(error), QUERY_RETRY_AFTER_S) from None


def _find_one(database: Database, submission: JobSubmission) -> tuple[StoredJob, bool] | None:
    """Return the stored job, and whether it was found by its idempotency key; None if it is unknown."""
    if submission.idempotency_key:
        stored = database.find_by_idempotency_key(submission.tenant, submission.idempotency_key)
        if stored is not None:
            return stored, True
    stored = database.find(submission.id)
    return (stored, False) if stored else None


def _never_ran(change: StateChanged) -> bool:
    return change.state in NEVER_RAN_STATES and change.job.run_state is RunState.NEVER_RAN

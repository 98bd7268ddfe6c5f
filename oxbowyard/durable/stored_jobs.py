"""Converts stored jobs, which need not be in memory, to the queue's records of them."""

from __future__ import annotations

from ..core.request import RunState
from ..store.record import StoredJob
from ..waiting.job import Job, JobOutcome, JobResult, JobState
from ..waiting.journal import JobRecord
from .recovered_jobs import GRANTED_STATES, first_send_of, indeterminate_reason


def job_record(stored: StoredJob, by_idempotency_key: bool) -> JobRecord:
    """Convert a stored job to the queue's record of it."""
    job = _job(stored)
    ended = stored.ended
    if ended is None:
        if stored.state in GRANTED_STATES:
            job.run_state = RunState.MAY_BE_RUNNING
            if first_send_of(stored) is not None:
                job.state = JobState.SUBMITTED
            else:
                job.state = JobState.INDETERMINATE
                job.reason = indeterminate_reason(stored.lease)
        return JobRecord(job, None, by_idempotency_key)
    job.state = JobState.ENDED
    job.outcome = JobOutcome(ended.outcome)
    job.run_state = RunState(ended.run_state)
    job.reason = ended.reason
    result = JobResult(
        job.outcome, job.run_state, ended.result, ended.reason, ended.retry_after_s, ended.resolved_by
    )
    return JobRecord(job, result, by_idempotency_key)


def _job(stored: StoredJob) -> Job:
    accepted = stored.accepted
    return Job(
        accepted.id,
        accepted.job_class,
        accepted.tenant,
        len(accepted.payload),
        accepted.number,
        accepted_at_ms=0.0,
        wait_deadline_ms=0.0,
        not_before_ms=0.0,
        state=JobState.BLOCKED,
        wait_for_idle=accepted.wait_for_idle,
        priority=accepted.priority,
        idempotency_key=accepted.idempotency_key,
        fingerprint=accepted.fingerprint,
        request=None,
        durable=True,
        submission_count=stored.submission_count,
    )

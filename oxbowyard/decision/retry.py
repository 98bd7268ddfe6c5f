"""What may be attempted again, and where: no job that must not run twice is sent while it may have run."""

from __future__ import annotations

from .settings import JobClass, RetrySafety
from .state import DispatcherState, Job, Worker


def may_attempt(state: DispatcherState, job: Job, now: float) -> bool:
    """Whether the job may have an attempt, or one more, at some worker."""
    if len(job.attempts) >= state.settings.max_attempts:
        return False
    if job.deadline_ms - now <= state.tick_interval_ms:
        return False
    repeat = job.job_class.retry_safety
    if job.first_run_worker is None or repeat is RetrySafety.IDEMPOTENT:
        return True
    return repeat is RetrySafety.DEDUPLICATED and now - job.first_run_at_ms < job.job_class.dedup_window_ms


def may_attempt_at(job: Job, worker: Worker, now: float) -> bool:
    """Whether this worker may run the job, given where an attempt may have run.

    A keyed job is repeated only at workers that remember its first run, and while they do.
    """
    first_worker, job_class = job.first_run_worker, job.job_class
    if first_worker is None or job_class.retry_safety is RetrySafety.IDEMPOTENT:
        return True
    if (
        job_class.retry_safety is RetrySafety.NOT_IDEMPOTENT
        or now - job.first_run_at_ms >= job_class.dedup_window_ms
    ):
        return False
    if job_class.dedup_scope == "all":
        return True
    if job_class.dedup_scope == "zone":
        return worker.zone == first_worker.zone
    return worker.cell == first_worker.cell


def is_harmless_anywhere(job_class: JobClass) -> bool:
    """Whether a client's retry of a job that may have run does no harm, whichever worker gets it."""
    if job_class.retry_safety is RetrySafety.IDEMPOTENT:
        return True
    return job_class.retry_safety is RetrySafety.DEDUPLICATED and job_class.dedup_scope == "all"

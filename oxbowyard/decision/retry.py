"""Retries: whether a request may be attempted again, and at which workers.

A request that must not run twice is not sent again once an attempt of it may have run.
"""

from __future__ import annotations

from .settings import JobClass, RetrySafety
from .state import DispatcherState, RequestState, Worker


def may_attempt(state: DispatcherState, request: RequestState, now: float) -> bool:
    """Return whether the request may have a first or a further attempt at any worker."""
    if len(request.attempts) >= state.settings.max_attempts:
        return False
    if request.deadline_ms - now <= state.tick_interval_ms:
        return False
    retry_safety = request.job_class.retry_safety
    if request.first_run_worker is None or retry_safety is RetrySafety.IDEMPOTENT:
        return True
    return (
        retry_safety is RetrySafety.DEDUPLICATED
        and now - request.first_run_at_ms < request.job_class.dedup_window_ms
    )


def may_attempt_at(request: RequestState, worker: Worker, now: float) -> bool:
    """Return whether this worker may run the request, given where an earlier attempt may have run.

    A deduplicated request is retried only at workers that remember its first run, and only while they do.
    """
    first_worker, job_class = request.first_run_worker, request.job_class
    if first_worker is None or job_class.retry_safety is RetrySafety.IDEMPOTENT:
        return True
    if (
        job_class.retry_safety is RetrySafety.NOT_IDEMPOTENT
        or now - request.first_run_at_ms >= job_class.dedup_window_ms
    ):
        return False
    if job_class.dedup_scope == "all":
        return True
    if job_class.dedup_scope == "zone":
        return worker.zone == first_worker.zone
    return worker.cell == first_worker.cell


def is_safe_to_retry_anywhere(job_class: JobClass) -> bool:
    """Return whether a client may safely retry a request that may have run, whichever worker gets it."""
    return job_class.repeat_window_ms is not None

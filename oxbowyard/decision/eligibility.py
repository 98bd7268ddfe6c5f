"""Eligibility: which workers may get a request at all. The order among them is decided in `routing`."""

from __future__ import annotations

from . import outlier_detection, retry, slow_start
from .settings import RetrySafety
from .state import DispatcherState, RequestState, Worker


def is_eligible(state: DispatcherState, worker: Worker, request: RequestState, now: float) -> bool:
    """Return whether the worker may get this request now. The call may draw its slow start budget."""
    if not worker.is_ready or worker in request.tried_workers:
        return False
    if outlier_detection.is_ejected(state, worker, request, now):
        return False
    job_class = request.job_class
    if worker.classes is not None and job_class.name not in worker.classes:
        return False
    if outlier_detection.is_ejected_for_class(state, worker, job_class, now):
        return False
    if slow_start.is_warming_up(state, worker, now) and not slow_start.budget_allows_send(state, worker, now):
        return False
    if outlier_detection.is_stalled(worker, now) and not _may_probe_stalled(state, worker, request, now):
        return False
    return retry.may_attempt_at(request, worker, now)


def _may_probe_stalled(state: DispatcherState, worker: Worker, request: RequestState, now: float) -> bool:
    """Return whether this request may probe a stalled worker: it must still be movable to another one."""
    if now < worker.next_probation_at_ms:
        return False
    return (
        request.job_class.retry_safety is RetrySafety.IDEMPOTENT
        and state.settings.may_cancel
        and not request.attempts
    )

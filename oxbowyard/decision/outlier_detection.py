"""Outlier detection: workers that fail or stall get no requests for a while, of one class or of all.

A worker whose connections fail is ejected, for longer with each failure. A worker that fails requests of one
class, or loses them, is ejected for that class only. A worker where nothing starts or ends is stalled. A
worker that other dispatchers report is avoided. If most workers look faulty, the findings are ignored. This
module writes the health fields of the workers.
"""

from __future__ import annotations

from .events import PeerFaultsChanged
from .load_estimate import REQUEST_TIME_CONSTANT_MS
from .ranking import FAILURE_TIME_CONSTANT_MS
from .settings import JobClass, RetrySafety
from .state import Attempt, ClassEjection, DispatcherState, RequestState, Worker

MIN_EJECTION_MS = 250.0  # after one failed connect or reset; doubles with each failure
MAX_EJECTION_MS = 4000.0
MAX_CLASS_EJECTION_MS = 30000.0
EJECTION_JITTER_SHARE = 0.5  # part of an ejection that is random where many dispatchers eject at once
MAX_FAILURE_COUNT = 5.0
MAX_FAILING_SHARE = 0.75  # above this share of the workers, the requests of the class must be at fault
MAX_AVOIDED_SHARE = 0.25  # peers may make a dispatcher avoid at most this share of the workers

FAILURE_WEIGHT = 1.0  # amount that one failure adds to a failure count
LONE_RESET_WEIGHT = 0.5  # lower, because other connections to the worker stayed open
SUCCESS_CREDIT = 0.5  # amount that a success subtracts from the failure count
RESTART_MIN_MS = 1000.0  # a worker that was unreachable for longer is assumed to have restarted

STALL_SERVICE_TIMES = 2.0  # without a start or end for this many service times, a worker is stalled
STALL_MIN_MS = 300.0  # lower bound of the service time in this rule

REORDER_TOLERANCE_MS = 30.0  # attempts sent within this time may arrive in another order
LOST_JOB_FAILURE_SCORE = 0.5  # amount that a lost attempt adds to the failure score
LOST_NOT_IDEMPOTENT_FAILURES = 4.0  # failures that the loss of a request that must not run twice counts as


def is_ejected(state: DispatcherState, worker: Worker, request: RequestState, now: float) -> bool:
    """Return whether the worker is ejected or avoided for this request.

    After the ejection, one request at a time probes the worker, but none that must not run twice. An ejection
    is ignored while half of the pool is ejected.
    """
    may_not_probe = request.job_class.retry_safety is RetrySafety.NOT_IDEMPOTENT and not worker.is_unreachable
    ejected = worker.failure_count >= 1 and (
        now < worker.ejected_until_ms or bool(worker.in_flight) or may_not_probe
    )
    if state.sparse_traffic and worker.is_unreachable and now < worker.ejected_until_ms:
        return True  # a refused connection is certain evidence
    if now < worker.avoided_until_ms:
        return True
    return ejected and worker.pool.ejected_count * 2 < worker.pool.ready_count


def is_ejected_for_class(state: DispatcherState, worker: Worker, job_class: JobClass, now: float) -> bool:
    """Return whether the worker is ejected for this class. False if most workers fail the class."""
    if not worker.class_ejections:
        return False
    ejection = worker.class_ejections.get(job_class.name)
    if ejection is None or now >= ejection.until_ms:
        return False
    return job_class.name not in state.classes_failing_everywhere


def is_stalled(worker: Worker, now: float) -> bool:
    """Return whether nothing has started or ended at the worker for too long while an attempt waits there."""
    if not worker.unstarted:
        return False
    since_ms = max(next(iter(worker.unstarted)).sent_at_ms, worker.last_progress_at_ms)
    return now - since_ms > STALL_SERVICE_TIMES * max(worker.pool.mean_service_time_ms, STALL_MIN_MS)


def record_lost_attempts(state: DispatcherState, started: Attempt, now: float) -> None:
    """Record unstarted attempts sent before one that started now as lost: the worker starts them in order."""
    for attempt in list(started.worker.unstarted):
        if attempt.sent_at_ms >= started.sent_at_ms - REORDER_TOLERANCE_MS:
            break
        del attempt.worker.unstarted[attempt]
        if attempt.is_cancelled:
            continue
        not_idempotent = attempt.request.job_class.retry_safety is RetrySafety.NOT_IDEMPOTENT
        failures = LOST_NOT_IDEMPOTENT_FAILURES if not_idempotent else FAILURE_WEIGHT
        record_class_failure(state, attempt.worker, attempt.request.job_class, failures, now)
        attempt.worker.failure_score.add(LOST_JOB_FAILURE_SCORE, now, FAILURE_TIME_CONSTANT_MS)


def record_class_failure(
    state: DispatcherState, worker: Worker, job_class: JobClass, failures: float, now: float
) -> None:
    """Record the failure of a class at a worker and eject it for that class.

    The ejection lasts at least as long as the mean interval between own sends to a worker.
    """
    earlier = worker.class_ejections.get(job_class.name)
    failures += earlier.failure_count if earlier else 0.0
    ejection_ms = 0.0
    if failures >= 1:
        min_ejection_ms = max(MIN_EJECTION_MS, _mean_send_interval_ms(state, state.recent_requests))
        ejection_ms = min(min_ejection_ms * 2 ** (failures - 1), MAX_CLASS_EJECTION_MS)
    worker.class_ejections[job_class.name] = ClassEjection(failures, now + ejection_ms)
    refresh_failing_everywhere(state, job_class.name, now)


def refresh_failing_everywhere(state: DispatcherState, class_name: str, now: float) -> None:
    """Update whether so many workers are ejected for a class that its requests must be at fault."""
    ejected = sum(
        now < other.class_ejections[class_name].until_ms
        for other in state.ready_workers
        if class_name in other.class_ejections
    )
    if ejected > MAX_FAILING_SHARE * len(state.ready_workers):
        state.classes_failing_everywhere.add(class_name)
    else:
        state.classes_failing_everywhere.discard(class_name)


def record_connection_failure(state: DispatcherState, worker: Worker, failures: float, now: float) -> None:
    """Record a failed connection to a worker and eject it."""
    set_failure_count(worker, min(worker.failure_count + failures, MAX_FAILURE_COUNT))
    min_ejection_ms = MIN_EJECTION_MS
    if state.sparse_traffic:
        # A shorter ejection would end before the next send, and a probe costs an attempt of a request.
        min_ejection_ms = max(min_ejection_ms, _mean_send_interval_ms(state, max(state.recent_requests, 1.0)))
    ejection_ms = min(min_ejection_ms * 2 ** (worker.failure_count - 1), MAX_EJECTION_MS)
    jitter = EJECTION_JITTER_SHARE if state.sparse_traffic else 0.0
    worker.ejected_until_ms = now + ejection_ms * state.random.uniform(1 - jitter, 1.0)


def record_success(worker: Worker, now: float) -> None:
    """Record a success at a worker. One that was unreachable for long has restarted and is cold."""
    if not worker.failure_count:
        return
    remaining = 0.0 if worker.is_unreachable else max(worker.failure_count - SUCCESS_CREDIT, 0.0)
    set_failure_count(worker, remaining)
    if worker.is_unreachable and now - worker.unreachable_since_ms > RESTART_MIN_MS:
        worker.started_at_ms = max(worker.started_at_ms, now)
    worker.is_unreachable = False


def set_failure_count(worker: Worker, failure_count: float) -> None:
    """Set the failure count of a worker and update the number of ejected workers in its pool."""
    worker.pool.ejected_count += (failure_count >= 1) - (worker.failure_count >= 1)
    worker.failure_count = failure_count


def apply_peer_faults(state: DispatcherState, now: float, event: PeerFaultsChanged) -> None:
    """Avoid the workers that peers report for a while. Reports about too many workers are ignored."""
    if len(event.faults) > MAX_AVOIDED_SHARE * len(state.ready_workers):
        return
    for fault in event.faults:
        if worker := state.workers.get(fault.worker):
            avoided_until_ms = now + min(fault.avoid_for_ms, MAX_EJECTION_MS)
            worker.avoided_until_ms = max(worker.avoided_until_ms, avoided_until_ms)
            worker.started_at_ms = max(worker.started_at_ms, fault.cold_since_ms)


def _mean_send_interval_ms(state: DispatcherState, recent_requests: float) -> float:
    """Return the mean time between own sends to one worker."""
    return REQUEST_TIME_CONSTANT_MS * len(state.ready_workers) / recent_requests

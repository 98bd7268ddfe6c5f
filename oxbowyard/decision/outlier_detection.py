"""Outlier detection: workers that fail or stall get no jobs for a while, one by one or for one class.

A worker whose connections fail is ejected, for longer with each failure. A worker that fails one class, or
loses its jobs, is ejected for that class alone. A worker where nothing starts or ends is stalled. What other
dispatchers report makes a worker avoided. Where most workers look faulty, the verdict is not believed.
Writes the workers' health fields.
"""

from __future__ import annotations

from .events import PeerFaultsChanged
from .load_estimate import REQUEST_TIME_CONSTANT_MS
from .ranking import FAILURE_TIME_CONSTANT_MS
from .settings import JobClass, RetrySafety
from .state import Attempt, ClassEjection, DispatcherState, RequestState, Worker

MIN_EJECTION_MS = 250.0  # after a failed connect or a reset; doubles with each failure
MAX_EJECTION_MS = 4000.0
MAX_CLASS_EJECTION_MS = 30000.0
EJECTION_JITTER_SHARE = 0.5  # of an ejection's length, where many dispatchers eject a worker at once
MAX_FAILURE_COUNT = 5.0
MAX_FAILING_SHARE = 0.75  # with more of the workers ejected for a class, the jobs are at fault
MAX_AVOIDED_SHARE = 0.25  # peers may keep jobs away from this share of the workers

FAILURE_WEIGHT = 1.0
LONE_RESET_WEIGHT = 0.5  # other connections to the worker held
SUCCESS_CREDIT = 0.5
RESTART_MIN_MS = 1000.0  # a worker that is back after a longer silence has restarted

STALL_SERVICE_TIMES = 2.0  # nothing started or ended for this many mean service times
STALL_MIN_MS = 300.0

REORDER_TOLERANCE_MS = 30.0  # jobs sent this close together may change places
LOST_JOB_FAILURE_SCORE = 0.5
LOST_NOT_IDEMPOTENT_FAILURES = 4.0


def is_ejected(state: DispatcherState, worker: Worker, request: RequestState, now: float) -> bool:
    """Whether failed connections, or peers, keep this job from the worker.

    When the ejection has run out, one job at a time shows whether the worker is back, but none that must not
    run twice. An ejection is ignored while half of the pool is ejected.
    """
    no_probe = request.job_class.retry_safety is RetrySafety.NOT_IDEMPOTENT and not worker.is_unreachable
    ejected = worker.failure_count >= 1 and (
        now < worker.ejected_until_ms or bool(worker.in_flight) or no_probe
    )
    if state.sparse_traffic and worker.is_unreachable and now < worker.ejected_until_ms:
        return True  # a refused connection is no guess
    if now < worker.avoided_until_ms:
        return True
    return ejected and worker.pool.ejected_count * 2 < worker.pool.ready_count


def is_ejected_for_class(state: DispatcherState, worker: Worker, job_class: JobClass, now: float) -> bool:
    """Whether the worker failed this class, unless most workers do."""
    if not worker.class_ejections:
        return False
    ejection = worker.class_ejections.get(job_class.name)
    if ejection is None or now >= ejection.until_ms:
        return False
    return job_class.name not in state.classes_failing_everywhere


def is_stalled(worker: Worker, now: float) -> bool:
    """Whether nothing started or ended at the worker since a job came that should have started long ago."""
    if not worker.unstarted:
        return False
    since = max(next(iter(worker.unstarted)).sent_at_ms, worker.last_progress_at_ms)
    return now - since > STALL_SERVICE_TIMES * max(worker.pool.mean_service_time_ms, STALL_MIN_MS)


def record_lost_attempts(state: DispatcherState, started: Attempt, now: float) -> None:
    """Count as lost the jobs that were sent before one that started now, at a worker that starts in order."""
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
    """A worker failed a job of a class: eject it for that class, longer than own sends to it lie apart."""
    earlier = worker.class_ejections.get(job_class.name)
    failures += earlier.failure_count if earlier else 0.0
    ejection_ms = 0.0
    if failures >= 1:
        shortest = max(MIN_EJECTION_MS, _mean_send_interval_ms(state, state.recent_requests))
        ejection_ms = min(shortest * 2 ** (failures - 1), MAX_CLASS_EJECTION_MS)
    worker.class_ejections[job_class.name] = ClassEjection(failures, now + ejection_ms)
    refresh_failing_everywhere(state, job_class.name, now)


def refresh_failing_everywhere(state: DispatcherState, class_name: str, now: float) -> None:
    """Find out whether so many workers are ejected for a class that its jobs must be at fault."""
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
    """A connection to a worker failed: eject it."""
    set_failure_count(worker, min(worker.failure_count + failures, MAX_FAILURE_COUNT))
    shortest = MIN_EJECTION_MS
    if state.sparse_traffic:  # a shorter ejection would end unused, and a probe is a job's attempt
        shortest = max(shortest, _mean_send_interval_ms(state, max(state.recent_requests, 1.0)))
    ejection_ms = min(shortest * 2 ** (worker.failure_count - 1), MAX_EJECTION_MS)
    jitter = EJECTION_JITTER_SHARE if state.sparse_traffic else 0.0
    worker.ejected_until_ms = now + ejection_ms * state.random.uniform(1 - jitter, 1.0)


def record_success(worker: Worker, now: float) -> None:
    """A job succeeded at a worker; one that was unreachable for long has restarted, and is cold."""
    if not worker.failure_count:
        return
    recovered = 0.0 if worker.is_unreachable else max(worker.failure_count - SUCCESS_CREDIT, 0.0)
    set_failure_count(worker, recovered)
    if worker.is_unreachable and now - worker.unreachable_since_ms > RESTART_MIN_MS:
        worker.started_at_ms = max(worker.started_at_ms, now)
    worker.is_unreachable = False


def set_failure_count(worker: Worker, failure_count: float) -> None:
    """Set the failure count, and keep the pool's number of ejected workers."""
    worker.pool.ejected_count += (failure_count >= 1) - (worker.failure_count >= 1)
    worker.failure_count = failure_count


def apply_peer_faults(state: DispatcherState, now: float, event: PeerFaultsChanged) -> None:
    """Avoid the workers that peers report, for a while; too many reports are not believed."""
    if len(event.faults) > MAX_AVOIDED_SHARE * len(state.ready_workers):
        return
    for fault in event.faults:
        if worker := state.workers.get(fault.worker):
            avoided_until = now + min(fault.avoid_for_ms, MAX_EJECTION_MS)
            worker.avoided_until_ms = max(worker.avoided_until_ms, avoided_until)
            worker.started_at_ms = max(worker.started_at_ms, fault.cold_since_ms)


def _mean_send_interval_ms(state: DispatcherState, recent_requests: float) -> float:
    """The time between own sends to one worker, on average."""
    return REQUEST_TIME_CONSTANT_MS * len(state.ready_workers) / recent_requests

"""Estimates from the starts and ends of attempts: queues, slots, service times, speeds and failures."""

from __future__ import annotations

import math

from . import outlier_detection
from .affinity import reset_orders
from .events import AttemptEnded, Result
from .load_estimate import record_reported_jobs
from .ranking import FAILURE_TIME_CONSTANT_MS, QUEUED_WAIT_SHARE, record_speed
from .state import MAX_SERVICE_TIME_RATIO, SERVICE_TIME_SAMPLES, Attempt, DispatcherState, Worker

SLOTS_STEP = 0.1  # share of the difference by which one start moves the estimated slots
QUEUE_WAIT_SAMPLES = 6  # starts over which the mean wait of a pool is taken
CONNECTION_COST_SAMPLES = 8
SERVICE_TIME_RATIO_SAMPLES = 50
REHASH_TOLERANCE = 0.15  # relative change of a service time ratio from which the orders are rebuilt

UNSTARTED_FAILURE_SCORE = 0.25  # less than for a failure: an attempt that never started proves less
MAX_UNSTARTED_FAILURES = 0.5  # bounded, because the request may have waited in a queue of other traffic
SUCCESS_FAILURE_FACTOR = 0.7  # a success multiplies the failure score by this factor
RESPONSE_RESULTS = (Result.OK, Result.ERROR, Result.FULL)


def observe_start(state: DispatcherState, attempt: Attempt, now: float) -> None:
    """Update the estimates when a worker starts to run an attempt."""
    worker, pool = attempt.worker, attempt.worker.pool
    worker.last_progress_at_ms = now
    if state.settings.fifo_workers:
        outlier_detection.record_lost_attempts(state, attempt, now)
    # Assume that a worker caches the data of as many keys as it runs jobs concurrently.
    attempt.key_was_cached = worker.cached_keys.touch(attempt.request.key.key_hash, pool.max_concurrency)
    pool.max_concurrency = max(pool.max_concurrency, len(worker.running))
    pool.first_start_at_ms = min(pool.first_start_at_ms, now)
    start_delay_ms = now - attempt.sent_at_ms
    worker.min_start_delay_ms = min(worker.min_start_delay_ms, start_delay_ms)
    worker.queue_wait_ms = start_delay_ms - worker.min_start_delay_ms
    worker.queue_wait_at_ms = now
    if attempt.opens_connection:
        worker.open_connections += 1
        cost_ms = max(worker.queue_wait_ms - pool.mean_queue_wait_ms, 0.0)
        _record_connection_cost(state, cost_ms)
    pool.mean_queue_wait_ms += (worker.queue_wait_ms - pool.mean_queue_wait_ms) / QUEUE_WAIT_SAMPLES
    was_queued = worker.queue_wait_ms > QUEUED_WAIT_SHARE * pool.mean_service_time_ms
    if not was_queued and worker not in state.recent_idle_workers:
        state.recent_idle_workers.append(worker)
    _adjust_slots(state, attempt, was_queued)


def _adjust_slots(state: DispatcherState, attempt: Attempt, was_queued: bool) -> None:
    """Move the slots of the pool towards the load at which this attempt was queued, or was not."""
    pool = attempt.worker.pool
    # An estimated load may be too low by about its standard deviation.
    load = attempt.load_before + math.sqrt(attempt.load_before * state.unobserved_share)
    if pool.mean_service_time_ms and was_queued == (load < pool.slots):
        pool.slots = max(pool.slots + SLOTS_STEP * (load - pool.slots), pool.min_slots)


def observe_end(state: DispatcherState, attempt: Attempt, event: AttemptEnded, now: float) -> None:
    """Update the estimates when an attempt has ended."""
    worker, result = attempt.worker, event.result
    has_started = attempt.started_at_ms >= 0
    if not has_started and result in (Result.TIMEOUT, Result.CANCELLED):
        failures = min(2 * state.unobserved_share**2, MAX_UNSTARTED_FAILURES)
        outlier_detection.record_class_failure(state, worker, attempt.request.job_class, failures, now)
        worker.failure_score.add(UNSTARTED_FAILURE_SCORE, now, FAILURE_TIME_CONSTANT_MS)
    if result in RESPONSE_RESULTS:
        worker.last_progress_at_ms = now
    if has_started:
        record_speed(state, attempt, result is Result.OK, now)
    _observe_result(state, attempt, event, now)
    if "free_slots" in event.load:
        _observe_load_report(worker, event, now)


def _observe_result(state: DispatcherState, attempt: Attempt, event: AttemptEnded, now: float) -> None:
    worker, job_class = attempt.worker, attempt.request.job_class
    match event.result:
        case Result.OK:
            _observe_success(state, attempt, now)
        case Result.UNREACHABLE | Result.RESET:
            _observe_connection_failure(state, worker, event, now)
        case Result.ERROR:
            outlier_detection.record_class_failure(
                state, worker, job_class, outlier_detection.FAILURE_WEIGHT, now
            )
            worker.failure_score.add(1.0, now, FAILURE_TIME_CONSTANT_MS)
        case Result.FULL if attempt.load_before < worker.pool.slots and not worker.pool.is_exclusive:
            # The worker has free slots, so it rejects the class.
            outlier_detection.record_class_failure(
                state, worker, job_class, outlier_detection.FAILURE_WEIGHT, now
            )
        case Result.FULL:
            worker.queue_wait_ms = worker.pool.mean_service_time_ms
            worker.queue_wait_at_ms = now


def _observe_success(state: DispatcherState, attempt: Attempt, now: float) -> None:
    worker, pool = attempt.worker, attempt.worker.pool
    worker.class_ejections.pop(attempt.request.job_class.name, None)
    worker.failure_score.value *= SUCCESS_FAILURE_FACTOR
    outlier_detection.record_success(worker, now)
    if attempt.started_at_ms < 0:
        return
    service_time = now - attempt.started_at_ms
    pool.completed_jobs += 1
    samples = min(pool.completed_jobs, SERVICE_TIME_SAMPLES)
    pool.mean_service_time_ms += (service_time - pool.mean_service_time_ms) / samples
    _record_service_time(state, attempt, service_time)


def _record_service_time(state: DispatcherState, attempt: Attempt, service_time: float) -> None:
    """Update the mean of the class, the cost of fetching a key's data, and the ratio of the pool."""
    name, worker, pool = attempt.request.job_class.name, attempt.worker, attempt.worker.pool
    state.key_fetch_cost_ms.add(name, not attempt.key_was_cached, service_time)
    class_mean = state.service_times_ms.add(name, service_time)
    ratio = min(service_time / max(class_mean, 1.0), MAX_SERVICE_TIME_RATIO)
    pool.service_time_ratio += (ratio - pool.service_time_ratio) / SERVICE_TIME_RATIO_SAMPLES
    change = abs(pool.service_time_ratio / pool.hashed_service_time_ratio - 1)
    if worker.weight != 1 and change > REHASH_TOLERANCE:
        pool.hashed_service_time_ratio = pool.service_time_ratio
        reset_orders(state)


def _observe_connection_failure(
    state: DispatcherState, worker: Worker, event: AttemptEnded, now: float
) -> None:
    worker.open_connections = 0
    if event.result is Result.UNREACHABLE:
        # If the process is dead, the connection is refused at once. A slow worker lets it time out.
        refused = event.duration_ms < state.settings.connect_timeout_ms / 2
        if refused and not worker.is_unreachable:
            worker.is_unreachable = True
            worker.unreachable_since_ms = now
        _record_connection_cost(state, 2 * event.duration_ms)  # doubled, because another attempt is needed
    # A dead worker resets all its connections. If others stay open, only this connection may have failed.
    is_lone_reset = event.result is Result.RESET and worker.in_flight
    failures = outlier_detection.LONE_RESET_WEIGHT if is_lone_reset else outlier_detection.FAILURE_WEIGHT
    outlier_detection.record_connection_failure(state, worker, failures, now)


def _record_connection_cost(state: DispatcherState, cost_ms: float) -> None:
    state.connection_cost_ms += (cost_ms - state.connection_cost_ms) / CONNECTION_COST_SAMPLES


def _observe_load_report(worker: Worker, event: AttemptEnded, now: float) -> None:
    pool, free_slots = worker.pool, event.load["free_slots"]
    pool.max_concurrency = max(pool.max_concurrency, int(free_slots))
    pool.slots = max(pool.slots, pool.max_concurrency)
    jobs = pool.max_concurrency - free_slots + event.load.get("waiting", 0.0)
    record_reported_jobs(worker, jobs, now)

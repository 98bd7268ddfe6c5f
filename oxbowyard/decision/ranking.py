"""The rank of a worker for a request: its estimated load over its slots. Below 1, a request starts at once.

P-DACA ranks a worker by the jobs ahead of the new one in its queue. Workers here serve first come, first
served, so all jobs at the worker count (docs/design.md).
"""

from __future__ import annotations

import math

from .load_estimate import MEAN_TIME_CONSTANT_MS, estimate_load, estimate_queue_wait_ms
from .settings import JobClass, RetrySafety
from .slow_start import warmth
from .state import MAX_SERVICE_TIME_RATIO, Attempt, DispatcherState, Worker

SPILL_RANK = 1.1  # below it, a request is taken to start at once; above 1, as estimates are rough
QUEUED_WAIT_SHARE = 0.1  # a request that waited for more than this share of a service time was queued
SPEED_TIME_CONSTANT_MS = 5000.0  # the speed of a worker is averaged over this time
SPEED_PRIOR_JOBS = 2.0  # weight of the usual speed, in completed jobs
SPEED_TOLERANCE = 1.5  # a worker may be slower than usual by this factor by chance
FAILURE_RANK = 6.0  # added to the rank at a failure score of 1, for requests that must not run twice
FAILURE_TIME_CONSTANT_MS = 8000.0  # the failure score decays over this time


def rank(state: DispatcherState, worker: Worker, job_class: JobClass, now: float) -> float:
    """Return the rank of a worker for a request of this class.

    The load is at least what the wait of recent starts shows, because few own attempts do not prove a worker
    idle. The cost of a new connection and the time lost at a slow worker count like a wait. A request that
    must not run twice avoids a worker that failed or stopped responding.
    """
    pool, slots = worker.pool, worker.pool.slots
    service_time_ms = pool.mean_service_time_ms
    load = estimate_load(state, worker, now)
    wait_ms = estimate_queue_wait_ms(state, worker, now)
    if wait_ms > QUEUED_WAIT_SHARE * service_time_ms * state.unobserved_share and service_time_ms:
        load = max(load, slots + len(worker.unstarted) + wait_ms * slots / service_time_ms)
    if state.connection_cost_ms > QUEUED_WAIT_SHARE * service_time_ms > 0 and not has_idle_connection(
        state, worker, now
    ):
        load = max(load, slots) + state.connection_cost_ms * slots / service_time_ms
    result = (load + 1) / (slots * warmth(state, worker, now))
    slowdown = _estimate_slowdown(state, worker, now)
    if slowdown > 1 and service_time_ms:
        class_service_time_ms = state.service_times_ms.mean(job_class.name, service_time_ms)
        result += (slowdown - 1) * class_service_time_ms / service_time_ms
    if job_class.retry_safety is RetrySafety.NOT_IDEMPOTENT and worker.failure_score.value:
        result += FAILURE_RANK * worker.failure_score.current(now, FAILURE_TIME_CONSTANT_MS)
    return result


def has_idle_connection(state: DispatcherState, worker: Worker, now: float) -> bool:
    """Return whether an attempt would find an idle connection. An exclusive worker has connected to us."""
    if now - worker.last_sent_at_ms >= state.settings.connection_idle_timeout_ms:
        worker.open_connections = worker.in_flight
    return worker.pool.is_exclusive or worker.in_flight < worker.open_connections


def cost(state: DispatcherState, worker: Worker, key_hash: int, worker_rank: float) -> float:
    """Return the rank plus the cost of fetching the data of the key if the worker has not cached it."""
    if key_hash in worker.cached_keys:
        return worker_rank
    service_time_ms = worker.pool.mean_service_time_ms or MEAN_TIME_CONSTANT_MS
    return worker_rank + state.key_fetch_cost_ms.difference / service_time_ms


def record_speed(state: DispatcherState, attempt: Attempt, completed: bool, now: float) -> None:
    """Update the speed of a worker when an attempt that had started ends."""
    worker = attempt.worker
    decay = math.exp((worker.completions_at_ms - now) / SPEED_TIME_CONSTANT_MS)
    expected = worker.expected_completions * decay + _estimate_expected_completions(state, attempt, now)
    worker.expected_completions = expected
    worker.completions = worker.completions * decay + completed
    worker.completions_at_ms = now


def _estimate_slowdown(state: DispatcherState, worker: Worker, now: float) -> float:
    """Return how many times as long as usual for its kind jobs take at a worker, at least 1.

    Running attempts count too, because no attempt ends at a worker that stalls.
    """
    running = sum(_estimate_expected_completions(state, attempt, now) for attempt in worker.running)
    expected = worker.expected_completions + running
    ratio = (expected + SPEED_PRIOR_JOBS) / (worker.completions + SPEED_PRIOR_JOBS)
    return max(ratio / SPEED_TOLERANCE, 1.0)


def _estimate_expected_completions(state: DispatcherState, attempt: Attempt, now: float) -> float:
    """Return how many requests of its class usually complete in the time that an attempt has run."""
    worker = attempt.worker
    class_mean_ms = state.service_times_ms.mean(attempt.request.job_class.name, math.inf)
    mean_ms = class_mean_ms * worker.pool.service_time_ratio
    elapsed_ms = (now - attempt.started_at_ms) * warmth(state, worker, now)
    return min(elapsed_ms / max(mean_ms, 1.0), MAX_SERVICE_TIME_RATIO)

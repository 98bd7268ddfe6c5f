"""The rank of a worker for a job: its estimated load over its slots. Below 1 a new job starts at once.

P-DACA ranks a worker by the entries above the new job in its list; workers here serve first come, first
served, so all jobs there count (docs/design.md).
"""

from __future__ import annotations

import math

from .load_estimate import MEAN_TIME_CONSTANT_MS, estimate_load, estimate_queue_wait_ms
from .settings import JobClass, RetrySafety
from .slow_start import warmth
from .state import MAX_SERVICE_TIME_RATIO, Attempt, DispatcherState, Worker

SPILL_RANK = 1.1  # a job leaves its affinity set where it would start nearly at once: estimates are rough
QUEUED_WAIT_SHARE = 0.1  # a job that waited for more than this share of a service time was queued
SPEED_TIME_CONSTANT_MS = 5000.0  # a worker's speed is judged by the jobs of this time
SPEED_PRIOR_JOBS = 2.0
SPEED_TOLERANCE = 1.5  # a worker this much slower than usual may be so by chance
FAILURE_RANK = 6.0  # added to the rank at a failure score of 1, for jobs that must not run twice
FAILURE_TIME_CONSTANT_MS = 8000.0  # the failure score decays over this time


def rank(state: DispatcherState, worker: Worker, job_class: JobClass, now: float) -> float:
    """The rank of a worker for a job of this class.

    What recent starts showed of its queue counts until it fades: few own jobs prove no idle worker. The price
    of a new connection and the time lost at a slow worker count as if waited, and a job that must not run
    twice avoids a worker that failed or fell silent.
    """
    pool, slots = worker.pool, worker.pool.slots
    service_time = pool.mean_service_time_ms
    load = estimate_load(state, worker, now)
    wait = estimate_queue_wait_ms(state, worker, now)
    if wait > QUEUED_WAIT_SHARE * service_time * state.unobserved_share and service_time:
        load = max(load, slots + len(worker.unstarted) + wait * slots / service_time)
    if state.connection_cost_ms > QUEUED_WAIT_SHARE * service_time > 0 and not has_idle_connection(
        state, worker, now
    ):
        load = max(load, slots) + state.connection_cost_ms * slots / service_time
    result = (load + 1) / (slots * warmth(state, worker, now))
    slowdown = _slowdown(state, worker, now)
    if slowdown > 1 and service_time:
        own_service_time = state.service_times_ms.mean(job_class.name, service_time)
        result += (slowdown - 1) * own_service_time / service_time
    if job_class.retry_safety is RetrySafety.NOT_IDEMPOTENT and worker.failure_score.value:
        result += FAILURE_RANK * worker.failure_score.current(now, FAILURE_TIME_CONSTANT_MS)
    return result


def has_idle_connection(state: DispatcherState, worker: Worker, now: float) -> bool:
    """Whether a job would find an open connection; a private worker connected to us."""
    if now - worker.last_sent_at_ms >= state.settings.connection_idle_timeout_ms:
        worker.open_connections = worker.in_flight
    return worker.pool.is_exclusive or worker.in_flight < worker.open_connections


def cost(state: DispatcherState, worker: Worker, key_hash: int, worker_rank: float) -> float:
    """The rank, and what fetching the key's data would cost where the worker has not cached it."""
    if key_hash in worker.cached_keys:
        return worker_rank
    service_time = worker.pool.mean_service_time_ms or MEAN_TIME_CONSTANT_MS
    return worker_rank + state.key_fetch_cost_ms.difference / service_time


def record_speed(state: DispatcherState, attempt: Attempt, completed: bool, now: float) -> None:
    """Take in the end of an attempt that had started."""
    worker = attempt.worker
    fading = math.exp((worker.completions_at_ms - now) / SPEED_TIME_CONSTANT_MS)
    expected = worker.expected_completions * fading + _expected_completions(state, attempt, now)
    worker.expected_completions = expected
    worker.completions = worker.completions * fading + completed
    worker.completions_at_ms = now


def _slowdown(state: DispatcherState, worker: Worker, now: float) -> float:
    """How much longer than usual for its kind jobs take at a worker, at least 1.

    Running jobs count: at a worker that stalls no job ends that could show it.
    """
    running = sum(_expected_completions(state, attempt, now) for attempt in worker.running)
    expected = worker.expected_completions + running
    ratio = (expected + SPEED_PRIOR_JOBS) / (worker.completions + SPEED_PRIOR_JOBS)
    return max(ratio / SPEED_TOLERANCE, 1.0)


def _expected_completions(state: DispatcherState, attempt: Attempt, now: float) -> float:
    """How many jobs of its class would have ended in the time that an attempt has run."""
    worker = attempt.worker
    class_mean = state.service_times_ms.mean(attempt.request.job_class.name, math.inf)
    mean = class_mean * worker.pool.service_time_ratio
    elapsed = (now - attempt.started_at_ms) * warmth(state, worker, now)
    return min(elapsed / max(mean, 1.0), MAX_SERVICE_TIME_RATIO)

"""Estimates of a worker's load and of the wait in its queue.

A dispatcher sees its own jobs only. Where the deployment reports loads, the reports are used; otherwise other
dispatchers are taken to load a worker as this one does, on average, and as the fleet as a whole is loaded.
Writes the workers' load fields and the fleet's estimates.
"""

from __future__ import annotations

import math

from . import quotas
from .slow_start import warmth
from .state import DispatcherState, Worker

MEAN_TIME_CONSTANT_MS = 6000.0  # own attempts are averaged over about two jobs' time
PRIOR_JOBS = 3.0  # the fleet's mean weighs as much as this many own jobs at a worker
QUEUE_WAIT_TIME_CONSTANT_MS = 1000.0  # what one start showed of a queue fades over about a job's time
WEIGHT_REPORT_VALID_MS = 4000.0  # weights that fall with the load are renewed about every second
WEIGHT_REPORT_HIDDEN_SHARE = 0.3  # of what own traffic hides, the share that such weights hide too
REQUEST_TIME_CONSTANT_MS = 10000.0  # recent requests are counted over this time
CONNECTION_COST_TIME_CONSTANT_MS = 10000.0  # new connections are few: their cost is kept for long
REPORTED_JOBS_SAMPLES = 18


def estimate_load(state: DispatcherState, worker: Worker, now: float) -> float:
    """The jobs at a worker: own attempts, and an estimate of the other dispatchers' jobs."""
    pool = worker.pool
    if pool.is_exclusive:
        return worker.in_flight
    own_mean = worker.mean_in_flight.update(worker.in_flight, now, MEAN_TIME_CONSTANT_MS)
    peers = state.settings.scheduler_count - 1
    # Other dispatchers spare a cold worker too.
    usual = warmth(state, worker, now) * (pool.mean_reported_jobs or peers * state.mean_worker_in_flight)
    if pool.mean_reported_jobs:
        report_age_span_ms = (
            pool.mean_service_time_ms or MEAN_TIME_CONSTANT_MS
        )  # then the jobs it counted have ended
        usual += (worker.reported_jobs - usual) * math.exp((worker.reported_at_ms - now) / report_age_span_ms)
        if now - worker.weight_reported_at_ms < WEIGHT_REPORT_VALID_MS:
            return worker.in_flight + max(usual - worker.own_jobs_at_report, 0.0)
        usual = max(usual - worker.in_flight, 0.0)
    prior = state.fleet_mean_weight
    return worker.in_flight + peers * own_mean * (1 - prior) + usual * prior


def estimate_queue_wait_ms(state: DispatcherState, worker: Worker, now: float) -> float:
    """The wait in milliseconds that a new job would have at a worker.

    It follows the wait of the own job that started there last, which fades, and is no shorter than the wait
    so far of the oldest own job that has not started.
    """
    pool = worker.pool
    usual = pool.mean_queue_wait_ms * state.unobserved_share
    if pool.mean_service_time_ms and _load_tells_queue(state, worker, now):
        excess = max(estimate_load(state, worker, now) - pool.slots, 0.0)
        usual = excess * pool.mean_service_time_ms / (pool.slots * warmth(state, worker, now))
    fading = math.exp((worker.queue_wait_at_ms - now) / QUEUE_WAIT_TIME_CONSTANT_MS)
    wait = usual + (worker.queue_wait_ms - usual) * fading
    if worker.unstarted:
        oldest = next(iter(worker.unstarted))
        wait = max(wait, now - oldest.sent_at_ms - 2 * worker.min_start_delay_ms)
    return wait


def _load_tells_queue(state: DispatcherState, worker: Worker, now: float) -> bool:
    """Whether reports tell the worker's queue better than own starts do."""
    if now - worker.weight_reported_at_ms < WEIGHT_REPORT_VALID_MS:
        return True
    return bool(state.sparse_traffic and worker.pool.mean_reported_jobs and not state.weights_reported)


def record_reported_jobs(worker: Worker, jobs: float, now: float) -> None:
    """Take in a report of the number of jobs at a worker."""
    worker.reported_jobs = max(jobs, 0.0)
    worker.own_jobs_at_report = worker.in_flight
    worker.reported_at_ms = now
    pool = worker.pool
    pool.mean_reported_jobs += (worker.reported_jobs - pool.mean_reported_jobs) / REPORTED_JOBS_SAMPLES


def refresh_fleet_estimates(state: DispatcherState, now: float) -> None:
    """Bring the fleet's estimates up to the arrival of a request: how much own traffic tells of a worker."""
    elapsed = now - state.load_updated_at_ms
    state.load_updated_at_ms = now
    mean_in_flight = state.in_flight / max(len(state.ready_workers), 1)
    state.mean_worker_in_flight += (mean_in_flight - state.mean_worker_in_flight) * -math.expm1(
        -elapsed / MEAN_TIME_CONSTANT_MS
    )
    service_time = max((pool.mean_service_time_ms for pool in state.pools.values()), default=0.0)
    known_jobs = state.mean_worker_in_flight * MEAN_TIME_CONSTANT_MS / service_time if service_time else 0.0
    state.recent_requests = state.recent_requests * math.exp(-elapsed / REQUEST_TIME_CONSTANT_MS) + 1
    state.connection_cost_ms *= math.exp(-elapsed / CONNECTION_COST_TIME_CONSTANT_MS)
    state.fleet_mean_weight = PRIOR_JOBS / (known_jobs + PRIOR_JOBS)
    hidden_share = WEIGHT_REPORT_HIDDEN_SHARE if state.weights_reported else 1.0
    state.unobserved_share = state.fleet_mean_weight * (1 - 1 / state.settings.scheduler_count) * hidden_share
    if len(state.quotas) >= quotas.MIN_TENANTS and state.settings.scheduler_count > 1:
        state.traffic_ratio = min(
            quotas.estimate_traffic_ratio(state.quotas.values()), quotas.MAX_TRAFFIC_RATIO
        )

"""Estimates of the load of a worker and of the wait in its queue.

A dispatcher observes its own attempts only. Where workers report their loads, the reports are used. Otherwise
the other dispatchers are assumed to load a worker as this one does on average, mixed with the mean load of
the fleet. This module writes the load fields of the workers and the estimates of the fleet.
"""

from __future__ import annotations

import math

from . import quotas
from .slow_start import warmth
from .state import DispatcherState, Worker

MEAN_TIME_CONSTANT_MS = 6000.0  # own attempts are averaged over about the duration of two jobs
PRIOR_JOBS = 3.0  # weight of the fleet's mean load, in own attempts at a worker
QUEUE_WAIT_TIME_CONSTANT_MS = 1000.0  # the wait of one start decays over about the duration of one job
WEIGHT_REPORT_VALID_MS = 4000.0  # weights that depend on the load are updated about every second
WEIGHT_REPORT_HIDDEN_SHARE = 0.3  # part of the unobserved load that such weights do not show either
REQUEST_TIME_CONSTANT_MS = 10000.0  # the count of recent requests decays over this time
CONNECTION_COST_TIME_CONSTANT_MS = 10000.0  # long, because new connections are rare
REPORTED_JOBS_SAMPLES = 18  # reports over which the mean of a pool is taken


def estimate_load(state: DispatcherState, worker: Worker, now: float) -> float:
    """Return the estimated number of jobs at a worker: own attempts plus those of other dispatchers."""
    pool = worker.pool
    if pool.is_exclusive:
        return worker.in_flight
    own_mean = worker.mean_in_flight.update(worker.in_flight, now, MEAN_TIME_CONSTANT_MS)
    peers = state.settings.scheduler_count - 1
    # Other dispatchers also send less to a cold worker.
    expected = warmth(state, worker, now) * (pool.mean_reported_jobs or peers * state.mean_worker_in_flight)
    if pool.mean_reported_jobs:
        # A report decays over one service time, because the jobs that it counted have ended by then.
        report_decay_ms = pool.mean_service_time_ms or MEAN_TIME_CONSTANT_MS
        expected += (worker.reported_jobs - expected) * math.exp(
            (worker.reported_at_ms - now) / report_decay_ms
        )
        if now - worker.weight_reported_at_ms < WEIGHT_REPORT_VALID_MS:
            return worker.in_flight + max(expected - worker.own_jobs_at_report, 0.0)
        expected = max(expected - worker.in_flight, 0.0)
    fleet_weight = state.fleet_mean_weight
    return worker.in_flight + peers * own_mean * (1 - fleet_weight) + expected * fleet_weight


def estimate_queue_wait_ms(state: DispatcherState, worker: Worker, now: float) -> float:
    """Return the estimated wait of a new job in the queue of a worker.

    It is the wait of the own attempt that started there last, decaying to the usual wait, and at least the
    time for which the oldest unstarted own attempt has waited so far.
    """
    pool = worker.pool
    usual_ms = pool.mean_queue_wait_ms * state.unobserved_share
    if pool.mean_service_time_ms and _is_queue_reported(state, worker, now):
        excess = max(estimate_load(state, worker, now) - pool.slots, 0.0)
        usual_ms = excess * pool.mean_service_time_ms / (pool.slots * warmth(state, worker, now))
    decay = math.exp((worker.queue_wait_at_ms - now) / QUEUE_WAIT_TIME_CONSTANT_MS)
    wait_ms = usual_ms + (worker.queue_wait_ms - usual_ms) * decay
    if worker.unstarted:
        oldest = next(iter(worker.unstarted))
        wait_ms = max(wait_ms, now - oldest.sent_at_ms - 2 * worker.min_start_delay_ms)
    return wait_ms


def _is_queue_reported(state: DispatcherState, worker: Worker, now: float) -> bool:
    """Return whether load reports describe the worker's queue better than the starts of own attempts."""
    if now - worker.weight_reported_at_ms < WEIGHT_REPORT_VALID_MS:
        return True
    return bool(state.sparse_traffic and worker.pool.mean_reported_jobs and not state.weights_reported)


def record_reported_jobs(worker: Worker, jobs: float, now: float) -> None:
    """Record a report of the number of jobs at a worker."""
    worker.reported_jobs = max(jobs, 0.0)
    worker.own_jobs_at_report = worker.in_flight
    worker.reported_at_ms = now
    pool = worker.pool
    pool.mean_reported_jobs += (worker.reported_jobs - pool.mean_reported_jobs) / REPORTED_JOBS_SAMPLES


def refresh_fleet_estimates(state: DispatcherState, now: float) -> None:
    """Update the estimates of the fleet when a request arrives, such as the unobserved share of its load."""
    elapsed = now - state.load_updated_at_ms
    state.load_updated_at_ms = now
    mean_in_flight = state.in_flight / max(len(state.ready_workers), 1)
    state.mean_worker_in_flight += (mean_in_flight - state.mean_worker_in_flight) * -math.expm1(
        -elapsed / MEAN_TIME_CONSTANT_MS
    )
    service_time_ms = max((pool.mean_service_time_ms for pool in state.pools.values()), default=0.0)
    observed_jobs = (
        state.mean_worker_in_flight * MEAN_TIME_CONSTANT_MS / service_time_ms if service_time_ms else 0.0
    )
    state.recent_requests = state.recent_requests * math.exp(-elapsed / REQUEST_TIME_CONSTANT_MS) + 1
    state.connection_cost_ms *= math.exp(-elapsed / CONNECTION_COST_TIME_CONSTANT_MS)
    state.fleet_mean_weight = PRIOR_JOBS / (observed_jobs + PRIOR_JOBS)
    hidden_share = WEIGHT_REPORT_HIDDEN_SHARE if state.weights_reported else 1.0
    state.unobserved_share = state.fleet_mean_weight * (1 - 1 / state.settings.scheduler_count) * hidden_share
    if len(state.quotas) >= quotas.MIN_TENANTS and state.settings.scheduler_count > 1:
        state.traffic_ratio = min(
            quotas.estimate_traffic_ratio(state.quotas.values()), quotas.MAX_TRAFFIC_RATIO
        )

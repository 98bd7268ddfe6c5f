"""Slow start: how warm a restarted worker is, and how much may be sent to it while it is cold.

A cold worker collapses if all dispatchers together send it more than `Settings.overload_multiple` times its
present capacity over `Settings.overload_window_ms`. Each dispatcher keeps to its share of a smaller budget.
Writes the workers' budget fields.
"""

from __future__ import annotations

import math

from . import estimators
from .state import DispatcherState, Worker, WorkerPool

BUDGET_SHARE = 0.6  # of the budget: capacity is estimated, and arrivals at other dispatchers cluster
BURST_ALLOWANCE_DEVIATIONS = 4.0  # the dispatchers' total stays within the budget by this many deviations


def is_warming_up(state: DispatcherState, worker: Worker, now: float) -> bool:
    """Whether the worker started less than the ramp ago."""
    return now < worker.started_at_ms + state.settings.ramp_ms


def warmth(state: DispatcherState, worker: Worker, now: float) -> float:
    """The share of its capacity that a worker has by now: it grows to 1 over the ramp."""
    settings = state.settings
    if worker.started_at_ms <= 0 or now - worker.started_at_ms >= settings.ramp_ms:
        return 1.0
    elapsed = max(now - worker.started_at_ms, 0.0)
    return (
        settings.initial_capacity_share + (1 - settings.initial_capacity_share) * elapsed / settings.ramp_ms
    )


def budget_allows_send(state: DispatcherState, worker: Worker, now: float) -> bool:
    """Whether this dispatcher may send one more job to the worker in the present budget window."""
    settings = state.settings
    current_warmth = warmth(state, worker, now)
    if current_warmth >= 1:
        return True
    window = int((now + state.warm_up_window_offset_ms) / settings.overload_window_ms)
    if window != worker.budget_window:
        worker.budget_window = window
        worker.budget_sends = _draw_budget(state, worker, current_warmth, now)
    while worker.cold_sends_at_ms and worker.cold_sends_at_ms[0] <= now - settings.overload_window_ms:
        worker.cold_sends_at_ms.popleft()
    return len(worker.cold_sends_at_ms) < worker.budget_sends


def _draw_budget(state: DispatcherState, worker: Worker, current_warmth: float, now: float) -> int:
    """This dispatcher's sends in one window; a share below one gives one send in some windows, at random."""
    settings, pool = state.settings, worker.pool
    service_time = _service_time_ms(state, pool, now)
    budget = (
        settings.overload_multiple
        * current_warmth
        * pool.max_concurrency
        / service_time
        * settings.overload_window_ms
    )
    sends = int(BUDGET_SHARE * budget / settings.scheduler_count)
    if sends:
        return sends
    # The total at which a Poisson burst of this many deviations just reaches the budget.
    deviations = BURST_ALLOWANCE_DEVIATIONS
    mean_total = (math.sqrt(deviations**2 + 4 * budget) - deviations) ** 2 / 4
    return int(state.random.random() < mean_total / settings.scheduler_count)


def _service_time_ms(state: DispatcherState, pool: WorkerPool, now: float) -> float:
    """The pool's mean service time; at first jobs that still run count too, since short ones end first."""
    default = state.settings.overload_window_ms
    if now - pool.first_start_at_ms >= default:
        return pool.mean_service_time_ms or default
    running = [
        now - attempt.started_at_ms
        for worker in state.ready_workers
        if worker.pool is pool
        for attempt in worker.running
    ]
    mean = estimators.censored_mean(pool.mean_service_time_ms, pool.completed_jobs, running, default)
    return max(pool.mean_service_time_ms, min(mean, default))

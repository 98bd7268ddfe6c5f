"""Slow start: the present capacity of a restarted worker, and how much may be sent to it while it is cold.

A cold worker collapses if all dispatchers together send it more than `Settings.overload_multiple` times its
present capacity within `Settings.overload_window_ms`. Each dispatcher stays within its share of a smaller
budget. This module writes the budget fields of the workers.
"""

from __future__ import annotations

import math

from . import estimators
from .state import DispatcherState, Worker, WorkerPool

BUDGET_SHARE = 0.6  # part of the budget that is used: capacity is an estimate, and arrivals cluster
BURST_ALLOWANCE_DEVIATIONS = 4.0  # standard deviations between the total of all dispatchers and the budget


def is_warming_up(state: DispatcherState, worker: Worker, now: float) -> bool:
    """Return whether the worker started less than the ramp ago."""
    return now < worker.started_at_ms + state.settings.ramp_ms


def warmth(state: DispatcherState, worker: Worker, now: float) -> float:
    """Return the share of its capacity that a worker has now. It grows to 1 over the ramp."""
    settings = state.settings
    if worker.started_at_ms <= 0 or now - worker.started_at_ms >= settings.ramp_ms:
        return 1.0
    elapsed_ms = max(now - worker.started_at_ms, 0.0)
    return (
        settings.initial_capacity_share
        + (1 - settings.initial_capacity_share) * elapsed_ms / settings.ramp_ms
    )


def budget_allows_send(state: DispatcherState, worker: Worker, now: float) -> bool:
    """Return whether this dispatcher may send one more request to the worker in the current budget window."""
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
    """Draw how many requests this dispatcher may send in one window.

    If its share is below one request, it may send one in randomly chosen windows.
    """
    settings, pool = state.settings, worker.pool
    service_time_ms = _estimate_service_time_ms(state, pool, now)
    budget = (
        settings.overload_multiple
        * current_warmth
        * pool.max_concurrency
        / service_time_ms
        * settings.overload_window_ms
    )
    sends = int(BUDGET_SHARE * budget / settings.scheduler_count)
    if sends:
        return sends
    # The mean total at which a Poisson burst of this many deviations just reaches the budget.
    deviations = BURST_ALLOWANCE_DEVIATIONS
    mean_total = (math.sqrt(deviations**2 + 4 * budget) - deviations) ** 2 / 4
    return int(state.random.random() < mean_total / settings.scheduler_count)


def _estimate_service_time_ms(state: DispatcherState, pool: WorkerPool, now: float) -> float:
    """Return the mean service time of the pool.

    Soon after the first start, running attempts count too, because short ones end first.
    """
    default_ms = state.settings.overload_window_ms
    if now - pool.first_start_at_ms >= default_ms:
        return pool.mean_service_time_ms or default_ms
    running_ms = [
        now - attempt.started_at_ms
        for worker in state.ready_workers
        if worker.pool is pool
        for attempt in worker.running
    ]
    mean_ms = estimators.censored_mean(pool.mean_service_time_ms, pool.completed_jobs, running_ms, default_ms)
    return max(pool.mean_service_time_ms, min(mean_ms, default_ms))

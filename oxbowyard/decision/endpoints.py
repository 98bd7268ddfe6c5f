"""The endpoint list: which workers exist, and the subscription that delivers the list.

This module writes the workers, the pools and the lists of workers of `DispatcherState`.
"""

from __future__ import annotations

from .actions import SetTimer
from .affinity import reset_orders
from .estimators import RecentItems
from .events import EndpointsChanged, Readiness, Scope, WorkerInfo
from .hashing import hash_name
from .load_estimate import record_reported_jobs
from .state import DispatcherState, Worker, WorkerPool

DEFAULT_SLOTS = 4  # assumed until starts or load reports show more
WEIGHT_NOISE = 1.03  # factor within which weights that depend on the load vary by chance
MIN_REMOVED_WORKERS = 16  # removed workers in the orders of the keys before the orders may be rebuilt
MIN_SUBSCRIBE_BACKOFF_MS = 1000.0  # the backoff doubles with each failure
MAX_SUBSCRIBE_BACKOFF_MS = 8000.0
SUBSCRIBE_JITTER = (0.1, 1.0)  # range of the share of the backoff that the delay is drawn from
SUBSCRIBE_TIMER = 1


def apply_endpoints(state: DispatcherState, now: float, event: EndpointsChanged) -> None:
    """Apply an endpoint list or changes of it. After a failed call, schedule a new subscription."""
    if event.scope is Scope.FAILED:
        if state.settings.must_subscribe and not state.subscribe_timer_set:
            schedule_subscription(state)
        return
    if event.scope is not Scope.CHANGES:
        listed = {info.name for info in event.workers}
        for worker in state.workers.values():
            if worker.name not in listed:
                worker.is_ready = False
    for info in event.workers:
        _apply_entry(state, info, event.scope, now)
    _remove_unready_workers(state)
    state.subscribe_backoff_ms = 0.0
    state.ready_workers = [worker for worker in state.workers.values() if worker.is_ready]
    state.zone_count = len({worker.zone for worker in state.ready_workers})
    for pool in state.pools.values():
        pool.ready_count = sum(worker.pool is pool for worker in state.ready_workers)


def schedule_subscription(state: DispatcherState) -> None:
    """Set the timer of the next subscription to a backoff with jitter."""
    backoff_ms = min(max(2 * state.subscribe_backoff_ms, MIN_SUBSCRIBE_BACKOFF_MS), MAX_SUBSCRIBE_BACKOFF_MS)
    state.subscribe_backoff_ms = backoff_ms
    state.subscribe_timer_set = True
    delay_ms = state.random.uniform(*SUBSCRIBE_JITTER) * backoff_ms
    state.actions.append(SetTimer(SUBSCRIBE_TIMER, delay_ms))


def _apply_entry(state: DispatcherState, info: WorkerInfo, scope: Scope, now: float) -> None:
    worker = state.workers.get(info.name) or _add_worker(state, info)
    worker.is_ready = info.readiness is Readiness.READY
    worker.classes = info.classes
    if state.settings.live_weights:
        _apply_live_weight(state, worker, info.weight, scope, now)
    if info.started_at_ms > worker.started_at_ms:
        worker.started_at_ms = info.started_at_ms
        worker.open_connections = 0
        worker.ejected_until_ms = 0.0
        worker.cached_keys = RecentItems()


def _apply_live_weight(
    state: DispatcherState, worker: Worker, weight: float, scope: Scope, now: float
) -> None:
    """Apply a weight that falls with the load: its largest value is the size, the difference is the load."""
    pool = worker.pool
    if weight > pool.largest_weight:
        is_more_than_noise = weight > pool.largest_weight * WEIGHT_NOISE
        pool.largest_weight = weight
        if is_more_than_noise:  # the orders of the keys were made with a weight under load
            reset_orders(state)
    if state.sparse_traffic and scope is not Scope.RESTORED and weight > 0:
        worker.weight_reported_at_ms = now
        state.weights_reported = True
        jobs = (pool.largest_weight / weight - 1) * pool.max_concurrency
        record_reported_jobs(worker, jobs, now)


def _add_worker(state: DispatcherState, info: WorkerInfo) -> Worker:
    slots = info.slots or DEFAULT_SLOTS
    pool = state.pools.get(info.kind)
    if pool is None:
        pool = state.pools[info.kind] = WorkerPool(slots, slots, slots, info.is_exclusive)
    worker = Worker(info.name, info.zone, info.kind, info.cell, hash_name(info.name), info.weight, pool)
    state.workers[worker.name] = worker
    state.known_workers.append(worker)
    return worker


def _remove_unready_workers(state: DispatcherState) -> None:
    """Remove workers that are not ready and have no own attempts in flight."""
    removed = [worker for worker in state.workers.values() if not worker.is_ready and not worker.in_flight]
    for worker in removed:
        del state.workers[worker.name]
        worker.pool.ejected_count -= worker.failure_count >= 1
    if len(state.known_workers) > 2 * len(state.workers) + MIN_REMOVED_WORKERS:
        reset_orders(state)

"""Snapshots of the estimates of a dispatcher, for the process that replaces it.

A snapshot holds no requests or attempts: they stay with the process that received them. Times are
milliseconds of a clock that both processes share. `STORED_KEYS` maps the fields to their names on disk
(`handover.learned`). The fields here may be renamed, their names on disk may not.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from .estimators import DecayingScore
from .outlier_detection import refresh_failing_everywhere, set_failure_count
from .state import AffinityKey, ClassEjection, DispatcherState, Worker, WorkerPool

VERSION = 1
MAX_SNAPSHOT_KEYS = 500  # affinity sets in a snapshot, those of the busiest keys


@dataclass(slots=True)
class PoolEstimates:
    """Estimates of the workers of one kind. The fields are those of `state.WorkerPool`."""

    max_concurrency: int
    slots: float
    service_time_ratio: float
    hashed_service_time_ratio: float
    mean_service_time_ms: float
    mean_queue_wait_ms: float
    mean_reported_jobs: float
    largest_weight: float
    completed_jobs: int
    first_start_at_ms: float


@dataclass(slots=True)
class WorkerEstimates:
    """Load and health of one worker. The fields are those of `state.Worker`."""

    started_at_ms: float
    reported_jobs: float
    reported_at_ms: float
    queue_wait_ms: float
    queue_wait_at_ms: float
    min_start_delay_ms: float
    expected_completions: float
    completions: float
    completions_at_ms: float
    failure_score: float
    failure_score_at_ms: float
    failure_count: float
    ejected_until_ms: float
    is_unreachable: bool
    unreachable_since_ms: float
    # By class: the failure count and the end of the ejection.
    class_ejections: dict[str, tuple[float, float]] = field(default_factory=dict)
    cold_sends_at_ms: list[float] = field(default_factory=list)
    cached_keys: list[int] = field(default_factory=list)


@dataclass(slots=True)
class KeyEstimates:
    """The affinity set of one key."""

    name: str
    kind: str | None
    set_size: int
    recent_requests: float
    last_request_at_ms: float
    resized_at_ms: float


@dataclass(slots=True)
class Snapshot:
    """The estimates of a dispatcher at `taken_at_ms`."""

    version: int
    taken_at_ms: float
    service_times_ms: dict[str, tuple[int, float]]
    service_times_with_fetch_ms: dict[str, tuple[int, float]]
    service_times_without_fetch_ms: dict[str, tuple[int, float]]
    key_fetch_cost_ms: float
    connection_cost_ms: float
    mean_worker_in_flight: float
    recent_requests: float
    traffic_ratio: float
    pools: dict[str, PoolEstimates]
    workers: dict[str, WorkerEstimates]
    keys: list[KeyEstimates]


STORED_KEYS: Mapping[type, Mapping[str, str]] = {
    PoolEstimates: {
        "max_concurrency": "most",
        "slots": "slots",
        "service_time_ratio": "pace",
        "hashed_service_time_ratio": "weighed",
        "mean_service_time_ms": "hold",
        "mean_queue_wait_ms": "wait",
        "mean_reported_jobs": "jobs",
        "largest_weight": "size",
        "completed_jobs": "seen",
        "first_start_at_ms": "began",
    },
    WorkerEstimates: {
        "started_at_ms": "since",
        "reported_jobs": "jobs",
        "reported_at_ms": "jobs_at",
        "queue_wait_ms": "delay",
        "queue_wait_at_ms": "delay_at",
        "min_start_delay_ms": "base",
        "expected_completions": "due",
        "completions": "done",
        "completions_at_ms": "paced_at",
        "failure_score": "doubt",
        "failure_score_at_ms": "doubt_at",
        "failure_count": "strikes",
        "ejected_until_ms": "barred_until",
        "is_unreachable": "unreachable",
        "unreachable_since_ms": "down_at",
        "class_ejections": "faults",
        "cold_sends_at_ms": "sends",
        "cached_keys": "kept",
    },
    KeyEstimates: {
        "name": "name",
        "kind": "kind",
        "set_size": "size",
        "recent_requests": "heat",
        "last_request_at_ms": "heat_at",
        "resized_at_ms": "changed",
    },
    Snapshot: {
        "version": "version",
        "taken_at_ms": "at",
        "service_times_ms": "holds",
        "service_times_with_fetch_ms": "price_with",
        "service_times_without_fetch_ms": "price_without",
        "key_fetch_cost_ms": "price",
        "connection_cost_ms": "connect",
        "mean_worker_in_flight": "fleet",
        "recent_requests": "heat",
        "traffic_ratio": "part",
        "pools": "pools",
        "workers": "workers",
        "keys": "keys",
    },
}

COPIED_WORKER_FIELDS = (
    "started_at_ms",
    "reported_jobs",
    "queue_wait_ms",
    "queue_wait_at_ms",
    "min_start_delay_ms",
    "expected_completions",
    "completions",
    "completions_at_ms",
    "ejected_until_ms",
    "is_unreachable",
    "unreachable_since_ms",
)


def take(state: DispatcherState, now: float) -> Snapshot:
    """Return a snapshot of the current estimates."""
    busiest_keys = sorted(state.keys.items(), key=lambda item: item[1].recent_requests, reverse=True)
    with_fetch, without_fetch = state.key_fetch_cost_ms.state()
    return Snapshot(
        version=VERSION,
        taken_at_ms=now,
        service_times_ms=state.service_times_ms.state(),
        service_times_with_fetch_ms=with_fetch,
        service_times_without_fetch_ms=without_fetch,
        key_fetch_cost_ms=state.key_fetch_cost_ms.difference,
        connection_cost_ms=state.connection_cost_ms,
        mean_worker_in_flight=state.mean_worker_in_flight,
        recent_requests=state.recent_requests,
        traffic_ratio=state.traffic_ratio,
        pools={kind: _export_pool(pool) for kind, pool in state.pools.items()},
        workers={worker.name: _export_worker(worker) for worker in state.workers.values()},
        keys=[_export_key(key_id, key) for key_id, key in busiest_keys[:MAX_SNAPSHOT_KEYS] if key_id[0]],
    )


def restore(state: DispatcherState, snapshot: Snapshot, now: float) -> None:
    """Restore the estimates of a snapshot.

    Estimates of a worker that has restarted since are ignored, except those of its kind. Workers that are not
    in the endpoint list here are ignored too.
    """
    for kind, pool_estimates in snapshot.pools.items():
        pool = state.pools.get(kind)
        if pool is not None and pool.completed_jobs < pool_estimates.completed_jobs:
            _restore_pool(pool, pool_estimates)
    for name, worker_estimates in snapshot.workers.items():
        worker = state.workers.get(name)
        if worker is not None and worker.started_at_ms <= worker_estimates.started_at_ms:
            _restore_worker(state, worker, worker_estimates)
    for class_name in state.classes:
        refresh_failing_everywhere(state, class_name, now)
    for key in snapshot.keys:
        _restore_key(state, key)
    state.service_times_ms.restore(snapshot.service_times_ms)
    state.key_fetch_cost_ms.restore(
        snapshot.service_times_with_fetch_ms,
        snapshot.service_times_without_fetch_ms,
        snapshot.key_fetch_cost_ms,
    )
    state.connection_cost_ms = snapshot.connection_cost_ms
    state.traffic_ratio = snapshot.traffic_ratio
    state.mean_worker_in_flight = max(state.mean_worker_in_flight, snapshot.mean_worker_in_flight)
    state.recent_requests = max(state.recent_requests, snapshot.recent_requests)
    state.load_updated_at_ms = now


def _export_pool(pool: WorkerPool) -> PoolEstimates:
    return PoolEstimates(**{name: getattr(pool, name) for name in PoolEstimates.__slots__})


def _restore_pool(pool: WorkerPool, estimates: PoolEstimates) -> None:
    for name in PoolEstimates.__slots__:
        setattr(pool, name, getattr(estimates, name))


def _export_worker(worker: Worker) -> WorkerEstimates:
    ejections = worker.class_ejections.items()
    return WorkerEstimates(
        **{name: getattr(worker, name) for name in COPIED_WORKER_FIELDS},
        reported_at_ms=max(worker.reported_at_ms, 0.0),  # 0 in place of -inf: long ago
        failure_score=worker.failure_score.value,
        failure_score_at_ms=worker.failure_score.updated_at_ms,
        failure_count=worker.failure_count,
        class_ejections={name: (ejection.failure_count, ejection.until_ms) for name, ejection in ejections},
        cold_sends_at_ms=list(worker.cold_sends_at_ms),
        cached_keys=list(worker.cached_keys.items),
    )


def _restore_worker(state: DispatcherState, worker: Worker, estimates: WorkerEstimates) -> None:
    for name in COPIED_WORKER_FIELDS:
        setattr(worker, name, getattr(estimates, name))
    worker.reported_at_ms = estimates.reported_at_ms
    worker.own_jobs_at_report = 0  # the attempts of the replaced process are not own ones
    worker.failure_score = DecayingScore(estimates.failure_score, estimates.failure_score_at_ms)
    set_failure_count(worker, estimates.failure_count)
    worker.class_ejections = {
        name: ClassEjection(failures, until_ms)
        for name, (failures, until_ms) in estimates.class_ejections.items()
        if name in state.classes
    }
    worker.cold_sends_at_ms = deque(sorted([*estimates.cold_sends_at_ms, *worker.cold_sends_at_ms]))
    for key_hash in estimates.cached_keys:
        worker.cached_keys.touch(key_hash, len(estimates.cached_keys))


def _export_key(key_id: tuple[str, str | None], key: AffinityKey) -> KeyEstimates:
    name, kind = key_id
    return KeyEstimates(
        name, kind, key.set_size, key.recent_requests, key.last_request_at_ms, key.resized_at_ms
    )


def _restore_key(state: DispatcherState, estimates: KeyEstimates) -> None:
    key = state.keys.setdefault((estimates.name, estimates.kind), AffinityKey(state.hash_key(estimates.name)))
    key.set_size = max(key.set_size, estimates.set_size)
    if estimates.last_request_at_ms > key.last_request_at_ms:
        key.recent_requests = estimates.recent_requests
        key.last_request_at_ms = estimates.last_request_at_ms
        key.resized_at_ms = estimates.resized_at_ms

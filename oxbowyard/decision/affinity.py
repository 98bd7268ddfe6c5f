"""Affinity sets: which workers serve a key. A set is the first workers of the key's rendezvous order.

A set starts with one worker, grows while its key is overloaded and shrinks when the load drops. This module
writes the `AffinityKey` records.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from itertools import chain

from .events import RequestReceived
from .hashing import rendezvous_position
from .load_estimate import REQUEST_TIME_CONSTANT_MS
from .settings import JobClass
from .state import AffinityKey, DispatcherState, Worker

MAX_KEYS = 4096  # keys whose set and order are stored; the least recently used one is evicted
OVERLOAD_FACTOR = 2.0  # a key is overloaded above this multiple of the mean in flight, per worker of its set
MIN_MEAN_IN_FLIGHT = 2.0  # lower bound on the mean, so that a few requests are no overload
MAX_KEY_LOAD = 0.3  # load of one key on each worker of its set, as a multiple of the mean worker load
SHRINK_AFTER_MS = 3000.0  # a set does not shrink sooner after a change, so that its size does not oscillate
ZONE_LOCAL_LOAD = 0.6  # load per zone, in mean worker loads, from which a key has a set in each zone
ZONE_LOCAL_MIN_REQUESTS = 3.0  # recent requests of the key: fewer prove no such load


def touch_key(state: DispatcherState, event: RequestReceived, job_class: JobClass) -> AffinityKey:
    """Return the record of the request's key and mark it as the most recently used one."""
    key_id = (event.key or "", job_class.kind)
    key = state.keys.pop(key_id, None) or AffinityKey(state.hash_key(event.key))
    if len(state.keys) >= MAX_KEYS:
        state.keys.pop(next(iter(state.keys)))
    state.keys[key_id] = key
    return key


def record_request(key: AffinityKey, now: float) -> None:
    """Count a request of the key."""
    decay = math.exp((key.last_request_at_ms - now) / REQUEST_TIME_CONSTANT_MS)
    key.recent_requests = key.recent_requests * decay + 1
    key.last_request_at_ms = now


def order_workers(state: DispatcherState, key: AffinityKey, kind: str | None) -> Iterable[Worker]:
    """Return the workers of a kind (None: of all kinds) in the rendezvous order of the key.

    Removed workers stay in the order, so that a change of the endpoint list costs only as much as it changes.
    A key busy enough for a worker in each zone gets the workers of this zone first, so that fewer of its
    requests cross zones.
    """

    def position(worker: Worker) -> float | None:
        return _compute_position(key.key_hash, worker) if kind in (None, worker.kind) else None

    order = key.order.extend(state.known_workers, position)
    own_zone = state.settings.zone
    key_load = key.recent_requests * len(state.ready_workers)
    is_hot = key_load > ZONE_LOCAL_LOAD * state.zone_count * state.recent_requests
    if state.sparse_traffic or not is_hot or key.recent_requests < ZONE_LOCAL_MIN_REQUESTS:
        return order
    return chain(
        (worker for worker in order if worker.zone == own_zone),
        (worker for worker in order if worker.zone != own_zone),
    )


def _compute_position(key_hash: int, worker: Worker) -> float:
    """Return a worker's position. Its share is its weight over the service time ratio of its kind."""
    pool = worker.pool
    share = (pool.largest_weight or worker.weight) / pool.hashed_service_time_ratio
    return rendezvous_position(key_hash, worker.name_hash, share)


def reset_orders(state: DispatcherState) -> None:
    """Rebuild the orders of all keys, because weights have changed or many workers have been removed."""
    state.known_workers = list(state.workers.values())
    for key in state.keys.values():
        key.order.clear()


def resize_set(state: DispatcherState, key: AffinityKey, now: float) -> None:
    """Grow the set of an overloaded key, and shrink it when the load drops.

    Where this dispatcher sees only a small part of the traffic, the share of the key in its own requests is
    taken as the share at all dispatchers. One request is subtracted, because it may be due to chance.
    """
    ready_count = len(state.ready_workers)
    mean_in_flight = state.in_flight / max(ready_count, 1)
    overload = OVERLOAD_FACTOR * max(mean_in_flight, MIN_MEAN_IN_FLIGHT)
    request_share = (key.recent_requests - 1) / state.recent_requests
    wanted_size = request_share * ready_count / MAX_KEY_LOAD * state.unobserved_share
    needed_size = key.in_flight * OVERLOAD_FACTOR / overload
    if key.in_flight > overload * key.set_size or wanted_size > key.set_size:
        key.set_size = min(max(key.set_size + 1, int(wanted_size)), max(ready_count, 1))
        key.resized_at_ms = now
    elif now - key.resized_at_ms > SHRINK_AFTER_MS and max(wanted_size, needed_size) < key.set_size - 1:
        key.set_size -= 1
        key.resized_at_ms = now

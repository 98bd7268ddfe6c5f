"""Affinity sets: which workers serve a key. A set is the head of the key's rendezvous order of workers.

A set starts with one worker, grows while its key is overloaded and shrinks as loads even out. Writes the
keys.
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

MAX_KEYS = 4096  # keys with a known set and order; the longest unused is forgotten first
OVERLOAD_FACTOR = 2.0  # a key is overloaded at this multiple of the larger of mean in-flight jobs and two
MIN_MEAN_IN_FLIGHT = 2.0
MAX_KEY_LOAD = 0.3  # a key may bring each worker of its set this multiple of the mean load
SHRINK_AFTER_MS = 3000.0  # a set keeps its size for some jobs' time, so that it does not oscillate
ZONE_LOCAL_LOAD = 0.6  # mean worker loads that a key must bring, per zone, to have a set in each zone
ZONE_LOCAL_MIN_REQUESTS = 3.0


def touch_key(state: DispatcherState, event: RequestReceived, job_class: JobClass) -> AffinityKey:
    """The record of a request's key, made the most recent one."""
    key_id = (event.key or "", job_class.kind)
    key = state.keys.pop(key_id, None) or AffinityKey(state.hash_key(event.key))
    if len(state.keys) >= MAX_KEYS:
        state.keys.pop(next(iter(state.keys)))
    state.keys[key_id] = key
    return key


def record_request(key: AffinityKey, now: float) -> None:
    """Count a request of the key."""
    fading = math.exp((key.last_request_at_ms - now) / REQUEST_TIME_CONSTANT_MS)
    key.recent_requests = key.recent_requests * fading + 1
    key.last_request_at_ms = now


def order_workers(state: DispatcherState, key: AffinityKey, kind: str | None) -> Iterable[Worker]:
    """The key's workers in rendezvous order, gone ones included: a list change costs what it changes.

    A key that needs a worker in each zone anyhow has the workers of this zone first: fewer requests cross.
    """

    def position(worker: Worker) -> float | None:
        return _position(key.key_hash, worker) if kind in (None, worker.kind) else None

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


def _position(key_hash: int, worker: Worker) -> float:
    """A worker's share of the keys is its weight over the service time ratio of its kind."""
    pool = worker.pool
    share = (pool.largest_weight or worker.weight) / pool.hashed_service_time_ratio
    return rendezvous_position(key_hash, worker.name_hash, share)


def reset_orders(state: DispatcherState) -> None:
    """Make all keys' orders anew: weights have changed, or many workers are gone."""
    state.known_workers = list(state.workers.values())
    for key in state.keys.values():
        key.order.clear()


def resize_set(state: DispatcherState, key: AffinityKey, now: float) -> None:
    """Grow the set of an overloaded key, and shrink it as loads even out.

    Where own traffic shows little, the key's share of own requests, less one that may be chance, stands for
    its jobs at all dispatchers.
    """
    ready_count = len(state.ready_workers)
    mean_in_flight = state.in_flight / max(ready_count, 1)
    overload = OVERLOAD_FACTOR * max(mean_in_flight, MIN_MEAN_IN_FLIGHT)
    request_share = (key.recent_requests - 1) / state.recent_requests
    wanted = request_share * ready_count / MAX_KEY_LOAD * state.unobserved_share
    needed = key.in_flight * OVERLOAD_FACTOR / overload
    if key.in_flight > overload * key.set_size or wanted > key.set_size:
        key.set_size = min(max(key.set_size + 1, int(wanted)), max(ready_count, 1))
        key.resized_at_ms = now
    elif now - key.resized_at_ms > SHRINK_AFTER_MS and max(wanted, needed) < key.set_size - 1:
        key.set_size -= 1
        key.resized_at_ms = now

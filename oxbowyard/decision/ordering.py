"""Ordered requests: requests of ordered classes with the same key are sent one at a time.

The next request is sent when the previous one has ended, but not before `Settings.ordered_gap_ms` after the
end of an attempt that may still run. This module writes the key queues.
"""

from __future__ import annotations

from itertools import takewhile

from .state import DispatcherState, KeyQueue, RequestState


def enqueue(state: DispatcherState, request: RequestState, key: str) -> None:
    """Append a request to the queue of its key."""
    queue = state.key_queues.get(key)
    if queue is None:
        queue = state.key_queues[key] = KeyQueue(key)
    queue.requests[request] = None
    request.queue = queue


def may_be_sent(request: RequestState, now: float) -> bool:
    """Return whether the order allows an attempt now. A request with an earlier attempt may retry."""
    queue = request.queue
    if queue is None:
        return True
    if next(iter(queue.requests)) is not request:
        return False
    return bool(request.attempts) or now >= queue.blocked_until_ms


def would_miss_objective(state: DispatcherState, request: RequestState, now: float) -> bool:
    """Return whether the request would miss its latency objective because of the requests ahead."""
    queue, job_class = request.queue, request.job_class
    if queue is None:
        return False
    ahead = takewhile(lambda other: other is not request, queue.requests)
    blocked_ms = max(queue.blocked_until_ms - now, 0.0)
    wait_ms = blocked_ms + sum(state.service_times_ms.mean(other.job_class.name) for other in ahead)
    service_time_ms = state.service_times_ms.mean(job_class.name)
    latency_objective_ms = (
        job_class.latency_objective_ms + max(job_class.objective_stretch - 1, 0.0) * service_time_ms
    )
    return now - request.received_at_ms + wait_ms > latency_objective_ms


def block_after(state: DispatcherState, request: RequestState, now: float) -> None:
    """Block the queue of the key for a while, because an attempt of this request may still run."""
    if request.queue is not None:
        request.queue.blocked_until_ms = now + state.settings.ordered_gap_ms


def remove_empty_queues(state: DispatcherState, now: float) -> None:
    """Remove queues that are empty and no longer blocked."""
    empty = [
        queue for queue in state.key_queues.values() if not queue.requests and now >= queue.blocked_until_ms
    ]
    for queue in empty:
        del state.key_queues[queue.key]

"""Requests in order: of the requests of one key whose class is in order, one at a time is sent.

The next one is sent once the one before it has ended, and no earlier than `Settings.ordered_gap_ms` after an
attempt that may still run. Writes the key queues.
"""

from __future__ import annotations

from itertools import takewhile

from .state import DispatcherState, KeyQueue, RequestState


def enqueue(state: DispatcherState, request: RequestState, key: str) -> None:
    """Put a job at the end of its key's queue."""
    queue = state.key_queues.get(key)
    if queue is None:
        queue = state.key_queues[key] = KeyQueue(key)
    queue.requests[request] = None
    request.queue = queue


def may_be_sent(request: RequestState, now: float) -> bool:
    """Whether the order allows an attempt now; a job that had one keeps its place for retries."""
    queue = request.queue
    if queue is None:
        return True
    if next(iter(queue.requests)) is not request:
        return False
    return bool(request.attempts) or now >= queue.blocked_until_ms


def would_miss_objective(state: DispatcherState, request: RequestState, now: float) -> bool:
    """Whether the jobs ahead of it take so long that this one would miss its latency objective."""
    queue, job_class = request.queue, request.job_class
    if queue is None:
        return False
    ahead = takewhile(lambda other: other is not request, queue.requests)
    blocked_ms = max(queue.blocked_until_ms - now, 0.0)
    wait_ms = blocked_ms + sum(state.service_times_ms.mean(other.job_class.name) for other in ahead)
    service_time = state.service_times_ms.mean(job_class.name)
    latency_objective = (
        job_class.latency_objective_ms + max(job_class.objective_stretch - 1, 0.0) * service_time
    )
    return now - request.received_at_ms + wait_ms > latency_objective


def block_after(state: DispatcherState, request: RequestState, now: float) -> None:
    """An attempt of the job may still run: later jobs of the key wait."""
    if request.queue is not None:
        request.queue.blocked_until_ms = now + state.settings.ordered_gap_ms


def remove_empty_queues(state: DispatcherState, now: float) -> None:
    """Drop queues without jobs that no attempt blocks any more."""
    empty = [q for q in state.key_queues.values() if not q.requests and now >= q.blocked_until_ms]
    for queue in empty:
        del state.key_queues[queue.key]

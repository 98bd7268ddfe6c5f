"""Placement: a request is sent to a worker, queued, or answered finally."""

from __future__ import annotations

from . import ordering
from .actions import CloseIdleConnections, StartAttempt
from .admission import should_reject
from .affinity import resize_set
from .completion import reject_or_fail
from .load_estimate import MEAN_TIME_CONSTANT_MS, estimate_load
from .ranking import has_idle_connection
from .routing import choose_worker
from .settings import RetrySafety
from .slow_start import is_warming_up
from .state import Attempt, DispatcherState, KeyQueue, RequestState, Worker


def place(state: DispatcherState, request: RequestState, now: float) -> None:
    """Send the request, queue it, or answer it finally."""
    if request.deadline_ms - now <= state.tick_interval_ms:  # the next tick would be too late for an answer
        reject_or_fail(state, request)
        return
    state.queued_requests[request.id] = request
    if not ordering.may_be_sent(request, now):
        if ordering.would_miss_objective(state, request, now):
            reject_or_fail(state, request)
        return
    choice = choose_worker(state, request, now)
    if choice.worker is None:  # none is eligible, or all were tried: the next tick tries all
        request.tried_workers.clear()
    elif not choice.is_probation and should_reject(state, request, choice.worker, choice.rank, now):
        retry_after_ms = state.settings.max_retry_after_ms if request.is_over_quota else None
        reject_or_fail(state, request, retry_after_ms)
    else:
        _send(state, request, choice.worker, now)


def place_next_in_queue(state: DispatcherState, queue: KeyQueue, now: float) -> None:
    """Place the first request of a key's queue if the queue is not blocked. Remove an empty queue."""
    first = next(iter(queue.requests), None)
    if now < queue.blocked_until_ms:
        return
    if first is None:
        state.key_queues.pop(queue.key, None)
    elif not first.attempts:
        place(state, first, now)


def _send(state: DispatcherState, request: RequestState, worker: Worker, now: float) -> None:
    state.queued_requests.pop(request.id, None)
    if (
        request.job_class.retry_safety is RetrySafety.NOT_IDEMPOTENT
        and worker.open_connections > worker.in_flight
    ):
        # A request written to an idle connection of a worker that has become unreachable is lost, and it is
        # unknown whether it ran.
        worker.open_connections = worker.in_flight
        state.actions.append(CloseIdleConnections(worker.name))
    attempt = Attempt(
        worker,
        request,
        sent_at_ms=now,
        load_before=estimate_load(state, worker, now),
        opens_connection=not has_idle_connection(state, worker, now),
    )
    worker.last_sent_at_ms = now
    number = len(request.attempts)
    request.attempts.append(attempt)
    request.in_flight += 1
    worker.mean_in_flight.update(worker.in_flight, now, MEAN_TIME_CONSTANT_MS)
    worker.in_flight += 1
    worker.unstarted[attempt] = None
    state.unstarted_attempts[attempt] = None
    state.in_flight += 1
    request.key.in_flight += 1
    resize_set(state, request.key, now)
    if is_warming_up(state, worker, now):
        worker.cold_sends_at_ms.append(now)
    state.actions.append(StartAttempt(request.id, number, worker.name))

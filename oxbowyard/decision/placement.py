"""What becomes of a job now: an attempt at a worker, a place in the queue, or its final answer."""

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
    """Send the job, queue it, or give it its final answer."""
    if request.deadline_ms - now <= state.tick_interval_ms:  # the next tick would answer it too late
        reject_or_fail(state, request)
        return
    state.queued_requests[request.id] = request
    if not ordering.may_be_sent(request, now):
        if ordering.would_miss_objective(state, request, now):
            reject_or_fail(state, request)
        return
    choice = choose_worker(state, request, now)
    if choice.worker is None:  # no worker, or all of them were tried: the next tick tries all again
        request.tried_workers.clear()
    elif not choice.is_probation and should_reject(state, request, choice.worker, choice.rank, now):
        over_quota_wait = state.settings.max_retry_after_ms if request.is_over_quota else None
        reject_or_fail(state, request, over_quota_wait)
    else:
        _send(state, request, choice.worker, now)


def place_next_in_queue(state: DispatcherState, queue: KeyQueue, now: float) -> None:
    """Send the first job of a key's queue if nothing blocks it; forget a queue that is empty."""
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
        # What is written to an idle connection of a worker that was cut off is lost, and may have run.
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

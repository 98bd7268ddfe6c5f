"""What becomes of a job now: an attempt at a worker, a place in the queue, or its final answer."""

from __future__ import annotations

from . import ordering
from .actions import CloseIdleConnections, StartAttempt
from .admission import should_reject
from .affinity import resize_set
from .completion import give_up
from .load_estimate import MEAN_SPAN_MS, estimated_load
from .ranking import has_idle_connection
from .routing import choose_worker
from .settings import RetrySafety
from .slow_start import is_warming_up
from .state import Attempt, DispatcherState, Job, KeyQueue, Worker


def place(state: DispatcherState, job: Job, now: float) -> None:
    """Send the job, queue it, or give it its final answer."""
    if job.deadline_ms - now <= state.tick_interval_ms:  # the next tick would answer it too late
        give_up(state, job)
        return
    state.queued_jobs[job.id] = job
    if not ordering.may_be_sent(job, now):
        if ordering.is_too_far_back(state, job, now):
            give_up(state, job)
        return
    choice = choose_worker(state, job, now)
    if choice.worker is None:  # no worker, or all of them were tried: the next tick tries all again
        job.tried_workers.clear()
    elif not choice.is_probation and should_reject(state, job, choice.worker, choice.rank, now):
        over_quota_wait = state.settings.max_retry_after_ms if job.over_quota else None
        give_up(state, job, over_quota_wait)
    else:
        _send(state, job, choice.worker, now)


def place_next_in_queue(state: DispatcherState, queue: KeyQueue, now: float) -> None:
    """Send the first job of a key's queue if nothing blocks it; forget a queue that is empty."""
    first = next(iter(queue.jobs), None)
    if now < queue.blocked_until_ms:
        return
    if first is None:
        state.key_queues.pop(queue.key, None)
    elif not first.attempts:
        place(state, first, now)


def _send(state: DispatcherState, job: Job, worker: Worker, now: float) -> None:
    state.queued_jobs.pop(job.id, None)
    if (
        job.job_class.retry_safety is RetrySafety.NOT_IDEMPOTENT
        and worker.open_connections > worker.in_flight
    ):
        # What is written to an idle connection of a worker that was cut off is lost, and may have run.
        worker.open_connections = worker.in_flight
        state.actions.append(CloseIdleConnections(worker.name))
    attempt = Attempt(
        worker,
        job,
        sent_at_ms=now,
        load_before=estimated_load(state, worker, now),
        opens_connection=not has_idle_connection(state, worker, now),
    )
    worker.last_sent_at_ms = now
    number = len(job.attempts)
    job.attempts.append(attempt)
    job.in_flight += 1
    worker.mean_in_flight.update(worker.in_flight, now, MEAN_SPAN_MS)
    worker.in_flight += 1
    worker.unstarted[attempt] = None
    state.unstarted_attempts[attempt] = None
    state.in_flight += 1
    job.key.in_flight += 1
    resize_set(state, job.key, now)
    if is_warming_up(state, worker, now):
        worker.cold_sends_at_ms.append(now)
    state.actions.append(StartAttempt(job.id, number, worker.name))

"""The end of a job: its one final answer, the cancelling of what is in flight, and when it is forgotten."""

from __future__ import annotations

from .actions import CancelAttempt, FailRequest, RejectRequest
from .admission import max_queue_wait_ms
from .retry import is_harmless_anywhere
from .state import DispatcherState, Job


def give_up(state: DispatcherState, job: Job, retry_after_ms: float | None = None) -> None:
    """Answer a job that no worker served.

    It is rejected where it surely never ran or may safely run again, with a Retry-After of `retry_after_ms`
    (by default as long as its class accepts to wait), and failed otherwise.
    """
    if job.first_run_worker is None or is_harmless_anywhere(job.job_class):
        if retry_after_ms is None:
            retry_after_ms = max_queue_wait_ms(state, job.job_class)
        retry_after_ms = min(retry_after_ms, state.settings.max_retry_after_ms)
        state.actions.append(RejectRequest(job.id, retry_after_ms))
    else:
        state.actions.append(FailRequest(job.id))
    finish(state, job)


def finish(state: DispatcherState, job: Job) -> None:
    """The job has its answer: cancel its attempts in flight, unless one streams it."""
    state.queued_jobs.pop(job.id, None)
    if not job.answered and state.settings.may_cancel and not job.streaming:
        for number, attempt in enumerate(job.attempts):
            if not attempt.ended and not attempt.cancelled:
                attempt.cancelled = True
                state.actions.append(CancelAttempt(job.id, number))
    job.answered = True
    forget_if_over(state, job)


def forget_if_over(state: DispatcherState, job: Job) -> None:
    """Drop a job that has its answer and no attempt in flight; its key's queue moves on."""
    if not job.answered or job.in_flight:
        return
    state.jobs.pop(job.id, None)
    job.attempts.clear()  # each names its job: a reference cycle that only a full collection would end
    if job.queue is not None and job.queue.jobs.pop(job, 0) is None:
        state.unblocked_queues.append(job.queue)

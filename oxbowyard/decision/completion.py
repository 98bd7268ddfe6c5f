"""The end of a request: its final answer, the cancellation of its attempts and its removal."""

from __future__ import annotations

from .actions import CancelAttempt, FailRequest, RejectRequest
from .admission import max_queue_wait_ms
from .retry import is_safe_to_retry_anywhere
from .state import DispatcherState, RequestState


def reject_or_fail(
    state: DispatcherState, request: RequestState, retry_after_ms: float | None = None
) -> None:
    """Answer a request that no worker served.

    It is rejected if it never ran or may safely run again, with a Retry-After of `retry_after_ms` (by
    default the longest wait that its class accepts). Otherwise it fails.
    """
    if request.first_run_worker is None or is_safe_to_retry_anywhere(request.job_class):
        if retry_after_ms is None:
            retry_after_ms = max_queue_wait_ms(state, request.job_class)
        retry_after_ms = min(retry_after_ms, state.settings.max_retry_after_ms)
        state.actions.append(RejectRequest(request.id, retry_after_ms))
    else:
        state.actions.append(FailRequest(request.id))
    finish(state, request)


def finish(state: DispatcherState, request: RequestState) -> None:
    """Mark the request as answered and cancel its attempts in flight, unless one streams the answer."""
    state.queued_requests.pop(request.id, None)
    if not request.is_answered and state.settings.may_cancel and not request.is_streaming:
        for number, attempt in enumerate(request.attempts):
            if not attempt.has_ended and not attempt.is_cancelled:
                attempt.is_cancelled = True
                state.actions.append(CancelAttempt(request.id, number))
    request.is_answered = True
    remove_if_done(state, request)


def remove_if_done(state: DispatcherState, request: RequestState) -> None:
    """Remove a request that is answered and has no attempt in flight, and unblock the queue of its key."""
    if not request.is_answered or request.in_flight:
        return
    state.requests.pop(request.id, None)
    request.attempts.clear()  # else a reference cycle stays until a full garbage collection
    if request.queue is not None and request.queue.requests.pop(request, 0) is None:
        state.unblocked_queues.append(request.queue)

"""Relocation: unstarted requests are moved to workers that would start them at once.

Only requests that may run twice are moved, and only within a budget that grows with each received request, to
prevent retry storms. This module writes `Attempt.reconsider_at_ms` and the budget.
"""

from __future__ import annotations

from .actions import CancelAttempt
from .load_estimate import estimate_queue_wait_ms
from .ranking import SPILL_RANK
from .routing import choose_worker
from .settings import RetrySafety
from .state import Attempt, DispatcherState

MIN_WAIT_BEFORE_MOVE_SHARE = 0.25  # of the latency objective: a request waits this long before it may move
MOVES_PER_REQUEST = 0.2  # amount that each received request adds to the budget
MAX_MOVE_BUDGET = 10.0


def add_move_budget(state: DispatcherState) -> None:
    """Add the share of one received request to the budget."""
    state.move_budget = min(state.move_budget + MOVES_PER_REQUEST, MAX_MOVE_BUDGET)


def move_unstarted_requests(state: DispatcherState, now: float) -> None:
    """Cancel attempts that have waited for too long if another worker would start the request soon.

    The AttemptEnded event of the cancelled attempt then places the request again.
    """
    for attempt in list(state.unstarted_attempts):
        min_wait_ms = state.unknown_class.latency_objective_ms * MIN_WAIT_BEFORE_MOVE_SHARE
        if state.move_budget < 1 or now - attempt.sent_at_ms < min_wait_ms:
            break
        if _may_move(attempt, now):
            _move_if_better(state, attempt, now)


def _may_move(attempt: Attempt, now: float) -> bool:
    request = attempt.request
    if request.job_class.retry_safety is not RetrySafety.IDEMPOTENT or attempt.is_cancelled:
        return False
    # With load reports the ranks are reliable, so one move is enough.
    if _is_load_reported(attempt) and len(request.attempts) > 1:
        return False
    waits_until = attempt.sent_at_ms + request.job_class.latency_objective_ms * MIN_WAIT_BEFORE_MOVE_SHARE
    return now >= max(attempt.reconsider_at_ms, waits_until)


def _move_if_better(state: DispatcherState, attempt: Attempt, now: float) -> None:
    request = attempt.request
    waited_ms = now - attempt.sent_at_ms
    attempt.reconsider_at_ms = 2 * now - attempt.sent_at_ms  # at growing intervals, to save CPU time
    request.tried_workers.append(attempt.worker)
    choice = choose_worker(state, request, now)
    if choice.worker is None:
        is_better = False
    elif choice.rank < SPILL_RANK:
        is_better = True
    else:
        other_wait_ms = estimate_queue_wait_ms(state, choice.worker, now)
        is_better = not _is_load_reported(attempt) and 2 * other_wait_ms < waited_ms
    if not is_better:
        request.tried_workers.pop()
        return
    attempt.is_cancelled = True
    state.move_budget -= 1
    state.actions.append(CancelAttempt(request.id, len(request.attempts) - 1))


def _is_load_reported(attempt: Attempt) -> bool:
    return attempt.worker.pool.mean_reported_jobs > 0

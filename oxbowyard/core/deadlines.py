"""The timers of the core: the deadline of each open request, and the next tick of the decisions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .open_request import OpenRequest

ANSWER_AHEAD_S = 0.010  # a request is answered this long before its deadline, to leave time for delivery


class Deadlines:
    """Ends each request shortly before its deadline.

    `on_expired` is called with the request and a reason if it has to be answered without a decision.
    """

    def __init__(self, on_expired: Callable[[OpenRequest, str], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._on_expired = on_expired

    def set(self, entry: OpenRequest) -> None:
        """Start the deadline timer of a request that was just admitted."""
        due = entry.deadline - ANSWER_AHEAD_S
        entry.deadline_timer = self._loop.call_at(due, self._expire, entry)

    def cancel(self, entry: OpenRequest) -> None:
        """Stop the deadline timer."""
        if entry.deadline_timer is not None:
            entry.deadline_timer.cancel()

    def time_left_s(self, entry: OpenRequest) -> float:
        """Return the seconds that an attempt may still take; 0 or less if the deadline has passed."""
        return entry.deadline - ANSWER_AHEAD_S - self._loop.time()

    def _expire(self, entry: OpenRequest) -> None:
        """Cancel a running attempt, whose outcome then leads to a decision about the answer."""
        if entry.is_answered:
            return
        if entry.attempt is None:
            self._on_expired(entry, "held until its deadline")
            return
        entry.is_expired = True
        entry.attempt.task.cancel()
        # A transport may suppress its cancellation; the client has to be answered nevertheless.
        entry.deadline_timer = self._loop.call_later(ANSWER_AHEAD_S, self._on_expired, entry, "deadline")


class DecisionTimer:
    """Calls `on_due` at the time that the dispatcher requested last, by the dispatcher's clock."""

    def __init__(self, clock: Callable[[], float], on_due: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._clock = clock
        self._on_due = on_due
        self._timer: asyncio.TimerHandle | None = None

    def set(self, due_ms: float | None) -> None:
        """Set the due time in place of the previous one; None clears it."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due_ms is not None:
            delay_s = max(due_ms - self._clock(), 0.0) / 1000
            self._timer = self._loop.call_later(delay_s, self._run)

    def _run(self) -> None:
        self._timer = None
        self._on_due()

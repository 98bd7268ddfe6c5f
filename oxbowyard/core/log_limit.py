"""Limits how many lines of one kind are logged, so that peers cannot fill the log."""

from __future__ import annotations

from collections.abc import Callable


class LogLimit:
    """Allows a number of lines in each interval, and counts those that are left out."""

    def __init__(self, max_lines: int, interval_s: float, clock: Callable[[], float]) -> None:
        """`clock` returns seconds that never go backwards."""
        self._max_lines = max_lines
        self._interval_s = interval_s
        self._clock = clock
        self._interval_ends_at = clock() + interval_s
        self._logged = 0
        self._left_out = 0

    def allows_line(self) -> bool:
        """Return whether one more line may be logged now."""
        if self._clock() >= self._interval_ends_at:
            self._interval_ends_at = self._clock() + self._interval_s
            self._logged = 0
        if self._logged >= self._max_lines:
            self._left_out += 1
            return False
        self._logged += 1
        return True

    def take_left_out(self) -> int:
        """Return how many lines have been left out since the last call, once an interval has ended."""
        if self._logged >= self._max_lines:
            return 0
        left_out, self._left_out = self._left_out, 0
        return left_out

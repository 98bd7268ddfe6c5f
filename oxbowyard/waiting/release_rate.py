"""Limits the rate of release by a concurrency window for each class and by the fleet's capacity. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .settings import WaitingSettings

POLL_INTERVAL_MS = 25.0  # between checks for capacity while jobs are ready; short compared to a job's run
WINDOW_GROWTH = 1.0  # per round trip: each job that started promptly adds this divided by the window
WINDOW_FACTOR_ON_REJECTION = 0.5
WINDOW_FACTOR_ON_LATE_START = 0.9
MAX_BACKOFF_DOUBLINGS = 30
LONG_AGO_MS = -1e18
NEVER_MS = 1e18


@dataclass(slots=True, frozen=True)
class FleetCapacity:
    """The fleet's current capacity for a class."""

    workers: int  # ready workers that may run the class
    slots: float  # this scheduler's share of their slots; those of cold workers count by their warmth
    open_requests: int  # of all classes that use these slots
    since_rejection_ms: float = NEVER_MS  # since the scheduler last rejected any request


CapacityOf = Callable[[str], FleetCapacity]


@dataclass(slots=True, eq=False)
class ConcurrencyWindow:
    """How many jobs of a class may be submitted at once: additive increase, multiplicative decrease."""

    limit: float
    max_limit: float
    submitted: int = 0
    backoff_until_ms: float = 0.0
    consecutive_rejections: int = 0
    reduced_at_ms: float = LONG_AGO_MS

    def allows(self, now: float) -> bool:
        """Return whether one more job may be submitted."""
        return self.submitted < max(int(self.limit), 1) and now >= self.backoff_until_ms

    def record_prompt_start(self) -> None:
        """Grow the window, by one per round trip, after a prompt start or a result without a start report."""
        self.consecutive_rejections = 0
        if self.submitted + 1 >= int(self.limit):  # a window that is not full says nothing about a larger one
            self.limit = min(self.limit + WINDOW_GROWTH / self.limit, self.max_limit)

    def record_late_start(self, now: float, round_trip_ms: float) -> None:
        """Reduce the window, once per round trip, after a job that queued at a worker."""
        if now - self.reduced_at_ms >= round_trip_ms:
            self.reduced_at_ms = now
            self.limit = max(self.limit * WINDOW_FACTOR_ON_LATE_START, 1.0)

    def record_rejection(
        self, now: float, retry_after_ms: float, min_backoff_ms: float, max_backoff_ms: float
    ) -> float:
        """Reduce the window and back off after a rejection. Returns the remaining backoff in milliseconds."""
        if now >= self.backoff_until_ms:  # further rejections of the same round trip carry no new information
            self.limit = max(self.limit * WINDOW_FACTOR_ON_REJECTION, 1.0)
            self.consecutive_rejections += 1
            doublings = min(self.consecutive_rejections - 1, MAX_BACKOFF_DOUBLINGS)
            backoff_ms = max(retry_after_ms, min_backoff_ms * 2**doublings)
            self.backoff_until_ms = now + min(backoff_ms, max_backoff_ms)
        return self.backoff_until_ms - now


class ReleaseRate:
    """The windows of all classes, and the guaranteed rate of aged jobs."""

    def __init__(self, settings: WaitingSettings, capacity_of: CapacityOf) -> None:
        self._settings = settings
        self._capacity_of = capacity_of
        self._windows: dict[str, ConcurrencyWindow] = {}
        self.next_aged_at_ms = 0.0

    def window(self, job_class: str) -> ConcurrencyWindow:
        """Return a class's window, and create it if it is new."""
        window = self._windows.get(job_class)
        if window is None:
            settings = self._settings
            first = float(min(settings.first_window, settings.max_window))
            window = self._windows[job_class] = ConcurrencyWindow(first, float(settings.max_window))
        return window

    def allows(self, job_class: str, now: float) -> bool:
        """Return whether an ordinary job may be released."""
        if not self.window(job_class).allows(now):
            return False
        fleet = self._capacity_of(job_class)
        max_open = max(fleet.slots * self._settings.fill_share, 1.0)
        return fleet.workers > 0 and fleet.open_requests < max_open

    def allows_idle(self, job_class: str, now: float) -> bool:
        """Return whether a job that waits for an idle fleet may be released.

        That takes free slots, and no rejection for some time.
        """
        if not self.window(job_class).allows(now):
            return False
        fleet = self._capacity_of(job_class)
        if fleet.since_rejection_ms < self._settings.calm_s * 1000:
            return False
        max_open = max(fleet.slots * self._settings.quiet_share, 1.0)
        return fleet.workers > 0 and fleet.open_requests + 1 <= max_open

    def allows_aged(self, job_class: str, now: float) -> bool:
        """Return whether an overdue job may be released in spite of its window, at the guaranteed rate."""
        return now >= self.next_aged_at_ms and self._capacity_of(job_class).workers > 0

    def record_aged_release(self, now: float) -> None:
        """Record the release of an overdue job that only the guaranteed rate allowed."""
        interval_ms = 1000 / self._settings.aged_per_s
        # Unused rate does not accumulate, except for the delay of up to one polling interval.
        self.next_aged_at_ms = max(self.next_aged_at_ms, now - POLL_INTERVAL_MS) + interval_ms

    def record_rejection(self, job_class: str, now: float, retry_after_ms: float) -> float:
        """Record the rejection of a released job. Returns the remaining backoff of its class in ms."""
        settings = self._settings
        return self.window(job_class).record_rejection(
            now, retry_after_ms, settings.retry_first_s * 1000, settings.retry_most_s * 1000
        )

    def record_start(self, job_class: str, delay_ms: float, now: float) -> None:
        """Record the start of a released job, `delay_ms` after it was submitted."""
        window = self.window(job_class)
        max_delay_ms = self._settings.start_within_ms
        if delay_ms <= max_delay_ms:
            window.record_prompt_start()
        else:
            window.record_late_start(now, max_delay_ms)

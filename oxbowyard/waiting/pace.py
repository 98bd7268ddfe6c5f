"""How fast jobs are released: a window for each class, and the room that the fleet has. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .settings import WaitingSettings

LOOK_MS = 25.0  # while ready jobs find no room it is looked for again so often: a share of a job's time
GROWTH = 1.0  # of a window, by so many over itself with each job that started at once: one a round trip
CUT, EASE = 0.5, 0.9  # what a refusal and a late start leave of a window


@dataclass(slots=True, frozen=True)
class Room:
    """What the fleet has for a class now."""

    workers: int  # ready ones that may run it
    slots: float  # this scheduler's share of theirs, cold workers by their warmth
    open: int  # reqs of all kinds that these slots are for and that have no end
    calm: float = 1e18  # ms since the decisions last refused anything


Fleet = Callable[[str], Room]


@dataclass(slots=True, eq=False)
class Window:
    """How many jobs of a class may be asked at once: found out, since nobody tells (AIMD)."""

    limit: float
    most: float
    out: int = 0
    rest_until: float = 0.0  # refused: it is not asked before
    refusals: int = 0  # in a row
    cut_at: float = -1e18

    def may_ask(self, now: float) -> bool:
        """There is a place, and it does not rest."""
        return self.out < max(int(self.limit), 1) and now >= self.rest_until

    def went_well(self) -> None:
        """A job started at once, or ended well where starts are not told: try one more a round trip."""
        self.refusals = 0
        if self.out + 1 >= int(self.limit):  # a window that is not filled proves nothing
            self.limit = min(self.limit + GROWTH / self.limit, self.most)

    def started_late(self, now: float, within: float) -> None:
        """It queued at a worker: a few less, once a round trip."""
        if now - self.cut_at >= within:
            self.cut_at = now
            self.limit = max(self.limit * EASE, 1.0)

    def refused(self, now: float, told: float, first: float, most: float) -> float:
        """The decisions refused one: rest, as they told or longer. Returns ms until it may be asked again."""
        if now >= self.rest_until:  # others of the same round trip tell nothing new
            self.limit = max(self.limit * CUT, 1.0)
            self.refusals += 1
            self.rest_until = now + min(max(told, first * 2 ** min(self.refusals - 1, 30)), most)
        return self.rest_until - now


class Pace:
    """All windows, and the promise to aged ones."""

    def __init__(self, settings: WaitingSettings, fleet: Fleet) -> None:
        self._settings = settings
        self._fleet = fleet
        self._windows: dict[str, Window] = {}
        self.aged_at = 0.0  # when the next aged job may go

    def window(self, job_class: str) -> Window:
        """A class's window."""
        if (window := self._windows.get(job_class)) is None:
            s = self._settings
            window = Window(float(min(s.first_window, s.max_window)), float(s.max_window))
            self._windows[job_class] = window
        return window

    def may_ask(self, job_class: str, now: float) -> bool:
        """An ordinary job may go now."""
        if not self.window(job_class).may_ask(now):
            return False
        room = self._fleet(job_class)
        return room.workers > 0 and room.open < max(room.slots * self._settings.fill_share, 1.0)

    def may_ask_quiet(self, job_class: str, now: float) -> bool:
        """A quiet job may go now: slots are left, and nobody was refused of late."""
        if not self.window(job_class).may_ask(now):
            return False
        room = self._fleet(job_class)
        if room.calm < self._settings.calm_s * 1000:
            return False
        return room.workers > 0 and room.open + 1 <= max(room.slots * self._settings.quiet_share, 1.0)

    def may_ask_aged(self, job_class: str, now: float) -> bool:
        """The promise: a job that is overdue goes though the window is shut, but so many a second only."""
        return now >= self.aged_at and self._fleet(job_class).workers > 0

    def spend_aged(self, now: float) -> None:
        """An overdue job went by the promise alone."""
        gap = 1000 / self._settings.aged_per_s
        # What was not used is not saved up, but that the look which was due may have come a little late.
        self.aged_at = max(self.aged_at, now - LOOK_MS) + gap

    def refused(self, job_class: str, now: float, told: float) -> float:
        """A released job was refused; returns ms until its class is asked again."""
        s = self._settings
        return self.window(job_class).refused(now, told, s.retry_first_s * 1000, s.retry_most_s * 1000)

    def began(self, job_class: str, delay: float, now: float) -> None:
        """A released job started so many ms after it was asked."""
        window, within = self.window(job_class), self._settings.start_within_ms
        if delay <= within:
            window.went_well()
        else:
            window.started_late(now, within)

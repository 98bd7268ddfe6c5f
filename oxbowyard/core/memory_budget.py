"""The memory that peers can make the process hold: one budget, from which every holder draws.

A holder opens an `Allocation` for what it keeps for one peer, and resizes it as that grows or shrinks.
Sizes are what the objects take in memory, not what came over the network. New work may use only part of the
budget (`NEW_WORK_SHARE`); the rest is for what is owed to requests that were taken, such as their answers.

Growth beyond that part first asks the reclaimers to release memory of peers that are owed nothing. If that
does not suffice, the growth is refused, and the caller answers its peer with an error that permits a retry.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum

NEW_WORK_SHARE = 0.85  # of the budget; the rest is for answers to what was taken already
RECLAIM_SHARE = 1 / 16  # of the budget, released at once, so that a search for peers serves several refusals


class Holder(Enum):
    """What holds memory. The values appear in the log and in the metrics."""

    CONNECTIONS = "connections"  # with their unparsed input and parsed heads
    REQUESTS = "requests"  # open requests with their bodies
    ANSWERS = "answers"  # of workers, and responses that are not sent yet
    GEARMAN = "gearman"  # connections with their packets and unread responses
    JOBS = "jobs"  # jobs that wait
    IDS = "ids"  # request ids that are remembered


class MemoryFullError(Exception):
    """The budget has no space for further work. Nothing has run; the work is safe to retry."""


class Allocation:
    """The memory that is held for one peer. It is empty until it is resized."""

    __slots__ = ("_budget", "_holder", "size_bytes")

    def __init__(self, budget: MemoryBudget, holder: Holder) -> None:
        self._budget = budget
        self._holder = holder
        self.size_bytes = 0

    def try_resize(self, size_bytes: int) -> bool:
        """Set the size, unless it grows and the budget has no space for new work. Return whether it is set.

        A reclaimer may release this very allocation to make space.
        """
        if size_bytes > self.size_bytes and not self._budget.make_space(size_bytes - self.size_bytes):
            self._budget.refused[self._holder] += 1
            return False
        self.resize(size_bytes)
        return True

    def try_resize_owed(self, size_bytes: int) -> bool:
        """Set the size like `try_resize`, with the part of the budget too that is for what is owed."""
        growth = size_bytes - self.size_bytes
        if growth > 0 and not self._budget.make_space(growth, is_owed=True):
            self._budget.refused[self._holder] += 1
            return False
        self.resize(size_bytes)
        return True

    def resize(self, size_bytes: int) -> None:
        """Set the size even beyond the budget, for memory that is held already or is owed to a request."""
        self._budget.add(self._holder, size_bytes - self.size_bytes)
        self.size_bytes = size_bytes

    def release(self) -> None:
        """Return all of it to the budget. May be called twice."""
        self.resize(0)


class MemoryBudget:
    """Counts the memory of all holders against one limit."""

    def __init__(self, limit_bytes: int) -> None:
        """Create an empty budget of `limit_bytes` bytes."""
        self.limit_bytes = limit_bytes  # may change while memory is held
        self.used_bytes = 0
        self.peak_bytes = 0
        self.used_by: Counter[Holder] = Counter()  # bytes
        self.refused: Counter[Holder] = Counter()  # how often growth was refused
        # Each releases about as many bytes as requested, if it can.
        self.reclaimers: list[Callable[[int], None]] = []
        self._is_reclaiming = False

    def open(self, holder: Holder) -> Allocation:
        """Return an empty allocation."""
        return Allocation(self, holder)

    @contextmanager
    def reserve(self, holder: Holder, size_bytes: int) -> Iterator[Allocation]:
        """Hold `size_bytes` bytes for the duration of the context.

        Raises:
            MemoryFullError: The budget has no space for new work.
        """
        allocation = self.open(holder)
        if not allocation.try_resize(size_bytes):
            raise MemoryFullError
        try:
            yield allocation
        finally:
            allocation.release()

    def free_bytes(self, is_owed: bool = False) -> int:
        """Return the space for new work, or for what is owed to work that was taken; not below 0."""
        share = 1.0 if is_owed else NEW_WORK_SHARE
        return max(int(self.limit_bytes * share) - self.used_bytes, 0)

    def make_space(self, size_bytes: int, is_owed: bool = False) -> bool:
        """Return whether there is space for this many bytes, after reclaiming if necessary."""
        if size_bytes <= self.free_bytes(is_owed):
            return True
        if not self._is_reclaiming:
            self._reclaim(max(size_bytes, int(self.limit_bytes * RECLAIM_SHARE)))
        return size_bytes <= self.free_bytes(is_owed)

    def add(self, holder: Holder, size_bytes: int) -> None:
        """Count a change of what a holder holds; negative if it was released."""
        self.used_bytes += size_bytes
        self.used_by[holder] += size_bytes
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)

    def _reclaim(self, size_bytes: int) -> None:
        self._is_reclaiming = True
        try:
            for reclaim in self.reclaimers:
                if (missing := size_bytes - self.free_bytes()) > 0:
                    reclaim(missing)
        finally:
            self._is_reclaiming = False

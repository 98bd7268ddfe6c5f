"""Shares the event loop's time between connections whose input waits to be processed.

Each connection processes one slice of its input at a time. In one iteration of the event loop all of them
together take about `MAX_ITERATION_S`; then everything else that is ready runs. The connection that has used
least time lately goes first, so that a peer that sends much delays mainly itself; now and then the one that
has waited longest does, so that none waits forever.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from dataclasses import dataclass, field
from typing import Protocol

MAX_ITERATION_S = 0.004
REQUEST_COST_S = 0.001  # of a complete request after its slice: its handler runs later
HALF_LIFE_S = 1.0  # after which time that was used counts half
LONGEST_WAITING_EVERY = 8  # slices
MAX_STALE_SHARE = 2  # of the heap's entries to the sources that wait


@dataclass(slots=True)
class RecentUse:
    """The processor time that a connection has used lately, which counts less as it gets older."""

    _used_s: float = 0.0
    _updated_at: float = field(default_factory=time.perf_counter)

    def add(self, spent_s: float) -> float:
        """Add time that was spent just now; return what has been used lately. Both are in seconds."""
        now = time.perf_counter()
        self._used_s = self._used_s * 0.5 ** ((now - self._updated_at) / HALF_LIFE_S) + spent_s
        self._updated_at = now
        return self._used_s


@dataclass(slots=True, frozen=True)
class SliceResult:
    """What processing one slice has led to."""

    has_more: bool  # another slice can be processed right away
    requests: int = 0  # complete requests that the slice contained


NOTHING_MORE = SliceResult(False)


class InputSource(Protocol):
    """A connection with input to process."""

    recent_use: RecentUse

    def process_slice(self) -> SliceResult:
        """Process a bounded amount of the input. Must not raise."""
        ...


@dataclass(slots=True, order=True)
class _Entry:
    """A place in the queue, in the order of the time used and of arrival."""

    used_s: float
    number: int
    source: InputSource | None = field(compare=False)  # None once it is no longer in its place


class FairQueue:
    """The connections with input to process. It must be created in the running event loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._waiting: dict[InputSource, _Entry] = {}  # oldest first
        self._heap: list[_Entry] = []  # may contain entries without a source
        self._numbers = itertools.count()
        self._left_s = MAX_ITERATION_S  # of this iteration of the event loop
        self._is_scheduled = False
        self._slices = 0

    def submit(self, source: InputSource) -> None:
        """Process a slice of the source's input now if nobody waits, else in its order."""
        if source in self._waiting:
            return
        if self._left_s > 0 and not self._waiting:
            self._process(source)
        else:
            self._append(source)

    def discard(self, source: InputSource) -> None:
        """Remove a source that has ended."""
        entry = self._waiting.pop(source, None)
        if entry is not None:
            entry.source = None

    def _run(self) -> None:
        self._is_scheduled = False
        self._left_s = MAX_ITERATION_S
        try:
            while self._left_s > 0 and self._waiting:
                self._process(self._remove_next())
        finally:  # an internal error in one source must not stop the others
            if self._waiting:
                self._schedule()
            self._drop_stale_entries()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _remove_next(self) -> InputSource:
        """Remove and return the source whose slice is processed next. At least one must wait."""
        self._slices += 1
        source = self._least_used() if self._slices % LONGEST_WAITING_EVERY else next(iter(self._waiting))
        self.discard(source)
        return source

    def _least_used(self) -> InputSource:
        while True:
            source = heapq.heappop(self._heap).source
            if source is not None:
                return source

    def _drop_stale_entries(self) -> None:
        """Rebuild the heap once most of its entries have no source."""
        if len(self._heap) > MAX_STALE_SHARE * len(self._waiting):
            self._heap = [entry for entry in self._heap if entry.source is not None]
            heapq.heapify(self._heap)

    def _append(self, source: InputSource) -> None:
        entry = _Entry(source.recent_use.add(0.0), next(self._numbers), source)
        self._waiting[source] = entry
        heapq.heappush(self._heap, entry)
        self._schedule()

    def _process(self, source: InputSource) -> None:
        started_at = time.perf_counter()
        result = source.process_slice()
        spent_s = time.perf_counter() - started_at + result.requests * REQUEST_COST_S
        self._left_s -= spent_s
        source.recent_use.add(spent_s)
        if result.has_more:
            self._append(source)
        self._schedule()  # the next iteration has its own time

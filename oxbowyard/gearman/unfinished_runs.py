"""Runs of jobs at workers whose end is not known.

Gearman has no packet that cancels a job. A worker goes on with a job whose deadline or whose own time limit
is over, or that was cancelled, and after its connection was lost too. Until the end of such a run is known,
a job with the same function and unique id must not begin beside it, unless that is harmless.

A run is kept from its sending until its worker reports the end, however long that takes. If the worker is
lost, the run is kept for `REMEMBER_S`, as the HTTP front keeps the ids of requests (`core.repeats`), or until
the worker comes back and reports the end, or an operator says how the job ended.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from ..core.memory_budget import Holder, MemoryBudget
from ..core.repeats import REMEMBER_S
from .assignment import Assignment
from .job import UNIQUE_ENCODING, UNIQUE_EXTRA

MAX_LOST_RUNS = 8192  # past it the oldest are forgotten, and counted
RUN_BYTES = 512  # of one run, in memory
KEY_BYTES = 16
REFUSED_COUNT = "repeats of jobs that may still run"
FORGOTTEN_COUNT = "jobs forgotten that may still run"


@dataclass(slots=True)
class _Run:
    """A run whose end is not known."""

    key: bytes
    lost_at: float | None = None  # loop time at which its worker was lost; None: the worker is connected


class UnfinishedRuns:
    """The runs of one front whose end is not known, by the handle of the attempt."""

    def __init__(self, memory: MemoryBudget, clock: Callable[[], float]) -> None:
        """`memory` is the budget that they draw from; `clock` is the loop's time, in seconds."""
        self._allocation = memory.open(Holder.IDS)
        self._clock = clock
        self._runs: dict[bytes, _Run] = {}
        self._lost: dict[bytes, None] = {}  # handles of the runs whose workers were lost, oldest first
        self._handles: dict[bytes, dict[bytes, None]] = {}  # of the runs, by key
        self.counts: Counter[str] = Counter()  # for operators

    @property
    def count(self) -> int:
        """The number of runs."""
        return len(self._runs)

    def add(self, assignment: Assignment) -> None:
        """Add the run of an attempt that is being sent. The run of a job without a unique id is not kept."""
        unique = assignment.request.extras.get(UNIQUE_EXTRA, "").encode(UNIQUE_ENCODING)
        if not unique:
            return
        key = _key(assignment.request.target, unique)
        self._runs[assignment.handle] = _Run(key)
        self._handles.setdefault(key, {})[assignment.handle] = None
        self._update_cost()

    def mark_lost(self, handle: bytes) -> None:
        """Note that the worker of an attempt was lost, so that it may never report its end."""
        run = self._runs.get(handle)
        if run is None:
            return
        run.lost_at = self._clock()
        self._lost[handle] = None
        self._drop_expired()
        while len(self._lost) > MAX_LOST_RUNS:
            self.counts[FORGOTTEN_COUNT] += 1
            self.discard(next(iter(self._lost)))

    def discard(self, handle: bytes) -> None:
        """Remove the run of an attempt, because its end is known."""
        run = self._runs.pop(handle, None)
        if run is None:
            return
        self._lost.pop(handle, None)
        handles = self._handles[run.key]
        del handles[handle]
        if not handles:
            del self._handles[run.key]
        self._update_cost()

    def discard_reported(self, handle: bytes) -> None:
        """Remove the run of a lost worker that has come back and reports its end."""
        if handle in self._lost:
            self.discard(handle)

    def discard_resolved(self, function: str, unique: bytes) -> None:
        """Remove the runs of lost workers, because an operator has said how the job ended."""
        for handle in list(self._handles.get(_key(function, unique), ())):
            self.discard_reported(handle)

    def may_run(self, function: str, unique: bytes) -> bool:
        """Return whether a job with this unique id may still run at a worker."""
        if not unique:
            return False
        self._drop_expired()
        return _key(function, unique) in self._handles

    def _drop_expired(self) -> None:
        expired_before = self._clock() - REMEMBER_S
        while self._lost:
            handle = next(iter(self._lost))
            lost_at = self._runs[handle].lost_at
            if lost_at is not None and lost_at > expired_before:
                return
            self.discard(handle)

    def _update_cost(self) -> None:
        self._allocation.resize(RUN_BYTES * len(self._runs))


def _key(function: str, unique: bytes) -> bytes:
    """Return a key of constant size: clients choose unique ids freely."""
    return hashlib.blake2b(function.encode() + b"\0" + unique, digest_size=KEY_BYTES).digest()

"""Whether work that was sent before may be sent again: one rule for all ways in which it can come again.

A class says how long a repeat does no harm, counted from the first time that the work was sent and may have
run (`JobClass.repeat_window_ms`): always, never, or for as long as the workers recognize it. The rule holds
for a further attempt of one request (`OpenRequest`) and for a deferred job after a crash (`waiting.grants`).
Here it is kept for a request id that a client sends again: beside the first request, after its answer, after
its client has left, or to the other process of a hot restart.

Ids are remembered for `REMEMBER_S`, the longest deadline that a client may set, and only where a repeat could
do harm. They take `ID_BYTES` each, and together at most `MAX_MEMORY_SHARE` of the memory budget. When that is
full, the oldest goes first, since clients repeat soon or not at all. An id younger than `MIN_REMEMBER_S` is
never dropped: instead no further request is admitted for which an id would have to be remembered. It is
rejected, which promises that it did not run. A repeat after its window is answered as failed, since the first
run may have done the work.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from ..decision.settings import JobClass
from .memory_budget import Holder, MemoryBudget

REMEMBER_S = 3600.0
MIN_REMEMBER_S = 60.0
ID_BYTES = 256  # of one id with its times, in memory
MAX_MEMORY_SHARE = 1 / 16
MIN_IDS = 4096
DIGEST_BYTES = 16
CLOCK_TOLERANCE_S = 1.0  # an id of a later time was recorded before the machine restarted
MS_PER_S = 1000


def repeat_window_s(job_class: JobClass) -> float | None:
    """Return for how many seconds a repeat is harmless: None if never, infinite if always."""
    window_ms = job_class.repeat_window_ms
    return None if window_ms is None else window_ms / MS_PER_S


def repeat_deadline(first_sent_at: float, window_s: float | None) -> float:
    """Return until when work may be sent again that was first sent at this time; both in loop time."""
    return -math.inf if window_s is None else first_sent_at + window_s


@dataclass(slots=True, frozen=True)
class SentId:
    """An id whose work was sent and may have run. Times are on the system's monotonic clock, in seconds."""

    digest: bytes
    sent_at: float
    repeat_deadline: float  # until when the work may be sent again; minus infinity: never


class SharedIds(Protocol):
    """The ids that all processes of a scheduler have sent."""

    def claim(self, sent: SentId) -> bool:
        """Record an id that is about to be sent. Return False if another process has recorded it before."""

    def read_new(self) -> Iterable[SentId]:
        """Return the ids that other processes have recorded since the last call."""


class UnsharedIds:
    """The ids of a scheduler that never has a second process."""

    def claim(self, sent: SentId) -> bool:
        """Return True."""
        return True

    def read_new(self) -> Iterable[SentId]:
        """Return nothing."""
        return ()


class RememberedIds:
    """The request ids whose work may have run and may not be repeated forever."""

    def __init__(self, memory: MemoryBudget, clock: Callable[[], float], shared: SharedIds) -> None:
        """`clock` is the system's monotonic clock, in seconds, as in the event loop."""
        self._allocation = memory.open(Holder.IDS)
        self._memory = memory
        self._clock = clock
        self._shared = shared
        self._sent: dict[bytes, SentId] = {}  # oldest first

    @property
    def count(self) -> int:
        """The number of ids that are remembered."""
        return len(self._sent)

    def find(self, request_id: str) -> SentId | None:
        """Return the earlier sending of an id; None if it was not sent or is no longer remembered."""
        self._read_shared()
        self._drop_expired()
        return self._sent.get(_digest(request_id))

    def has_space(self) -> bool:
        """Return whether one more id can be remembered without dropping one that is too young."""
        if len(self._sent) < self._max_ids:
            return True
        oldest = next(iter(self._sent.values()))
        return self._clock() - oldest.sent_at >= MIN_REMEMBER_S

    def claim(self, request_id: str, window_s: float | None) -> bool:
        """Remember an id whose work is about to be sent for the first time.

        Returns:
            False if it must not be sent, because another process has sent it meanwhile.
        """
        if window_s == math.inf:
            return True
        now = self._clock()
        sent = SentId(_digest(request_id), now, repeat_deadline(now, window_s))
        self._read_shared()
        is_known = sent.digest in self._sent
        # A record that another process appends after this one's is read below, but does not count.
        is_first = self._shared.claim(sent) and not is_known
        self._add(sent)
        self._read_shared()
        return is_first

    def discard(self, request_id: str) -> None:
        """Forget an id whose work has certainly not run."""
        self._sent.pop(_digest(request_id), None)
        self._count()

    @property
    def _max_ids(self) -> int:
        return max(int(self._memory.limit_bytes * MAX_MEMORY_SHARE) // ID_BYTES, MIN_IDS)

    def _add(self, sent: SentId) -> None:
        if sent.sent_at > self._clock() + CLOCK_TOLERANCE_S:
            return
        self._sent.setdefault(sent.digest, sent)
        while len(self._sent) > self._max_ids and self.has_space():
            del self._sent[next(iter(self._sent))]
        self._count()

    def _read_shared(self) -> None:
        for sent in self._shared.read_new():
            self._add(sent)

    def _drop_expired(self) -> None:
        expired_before = self._clock() - REMEMBER_S
        while self._sent:
            digest, oldest = next(iter(self._sent.items()))
            if oldest.sent_at > expired_before:
                break
            del self._sent[digest]
        self._count()

    def _count(self) -> None:
        self._allocation.resize(len(self._sent) * ID_BYTES)


def _digest(request_id: str) -> bytes:
    return hashlib.blake2b(request_id.encode(), digest_size=DIGEST_BYTES).digest()

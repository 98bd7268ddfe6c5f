"""Propagation of workers drained by operators to all schedulers. Does no I/O and reads no clock.

Each worker has one last-write-wins register in the group. A drain is in force until it is undone. The undo is
retained for as long as dead members are, so a scheduler that was disconnected for longer may bring an old
drain back. The worker is then drained until it is returned to service once more; it is never used too early.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..membership.events import EntryWritten
from ..membership.messages import GossipEntry

DRAIN_PREFIX = "out:"  # prefix of an entry's key, followed by the worker's id
UNLIMITED_LIFETIME_S = 1e9  # longer than any process runs
MAX_LOCAL_DRAINS = 1000  # number of drains whose time is stored
YIELDING_LAMPORT_TIME = 0  # any other write replaces an entry with this time


@dataclass(slots=True)
class DrainPropagation:
    """Converts drains at this scheduler to entries, and entries of other schedulers to drains."""

    write_entry: Callable[[EntryWritten], None]
    set_drained: Callable[[str, bool], None]  # by worker id
    undrain_retention_s: float
    # When each drain was requested at this scheduler, by worker id.
    _drained_at: dict[str, float] = field(default_factory=dict)

    def on_local_change(self, worker: str, is_drained: bool, now: float) -> None:
        """Write that an operator drained a worker at this scheduler, or returned it to service."""
        self._drained_at.pop(worker, None)
        if is_drained:
            self._drained_at[worker] = now
            if len(self._drained_at) > MAX_LOCAL_DRAINS:
                del self._drained_at[next(iter(self._drained_at))]
        self._write(worker, is_drained)

    def announce_restored(self, workers: Iterable[str]) -> None:
        """Write the drains from before this process started; they yield to an undo written meanwhile."""
        for worker in sorted(workers):
            self.write_entry(_entry(worker, True, UNLIMITED_LIFETIME_S, YIELDING_LAMPORT_TIME))

    def receive(self, entry: GossipEntry, now: float) -> bool:
        """Apply an entry of another scheduler, and return whether it is about a drain.

        A drain requested here before this scheduler joined the group has a low Lamport time, so an older undo
        may replace it. If the age of the undo shows that it is older, it is ignored and the drain is written
        again.
        """
        if not entry.key.startswith(DRAIN_PREFIX) or not entry.is_shared:
            return False
        worker, is_drained = entry.key.removeprefix(DRAIN_PREFIX), entry.value > 0
        drained_at = self._drained_at.get(worker)
        if not is_drained and drained_at is not None and now - drained_at < entry.age_s:
            self._write(worker, True)
            return True
        self._drained_at.pop(worker, None)
        self.set_drained(worker, is_drained)
        return True

    def _write(self, worker: str, is_drained: bool) -> None:
        lifetime_s = UNLIMITED_LIFETIME_S if is_drained else self.undrain_retention_s
        self.write_entry(_entry(worker, is_drained, lifetime_s, None))


def _entry(worker: str, is_drained: bool, lifetime_s: float, lamport_time: int | None) -> EntryWritten:
    return EntryWritten(
        DRAIN_PREFIX + worker,
        float(is_drained),
        lifetime_s,
        is_shared=True,
        is_urgent=True,
        lamport_time=lamport_time,
    )

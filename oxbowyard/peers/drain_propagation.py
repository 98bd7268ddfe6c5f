"""Workers drained by hand, propagated to all schedulers. Without I/O or clock.

Each worker has one register in the whole group, whose later write holds. A drain holds until it is undone.
That it was undone is remembered for as long as dead members are: a scheduler that was cut off for longer may
bring an old drain again. The worker is then drained until it is put back once more; it is never used too
early.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..membership.events import EntryWritten
from ..membership.messages import GossipEntry

DRAIN_PREFIX = "out:"  # of an entry's key; the worker's id follows
UNLIMITED_LIFETIME_S = 1e9
MAX_LOCAL_DRAINS = 1000  # of which the time is remembered
YIELDING_LAMPORT_TIME = 0  # an entry that any other write replaces


@dataclass(slots=True)
class DrainPropagation:
    """Turns this scheduler's drains into entries, and other schedulers' entries into drains."""

    write_entry: Callable[[EntryWritten], None]
    set_drained: Callable[[str, bool], None]  # by worker id
    undrain_retention_s: float
    _drained_at: dict[str, float] = field(default_factory=dict)  # drains asked for here, by worker id

    def on_local_change(self, worker: str, is_drained: bool, now: float) -> None:
        """The operators drained a worker at this scheduler, or put it back."""
        self._drained_at.pop(worker, None)
        if is_drained:
            self._drained_at[worker] = now
            if len(self._drained_at) > MAX_LOCAL_DRAINS:
                del self._drained_at[next(iter(self._drained_at))]
        self._write(worker, is_drained)

    def announce_restored(self, workers: Iterable[str]) -> None:
        """Announce the drains from before this process began; one that was undone meanwhile yields."""
        for worker in sorted(workers):
            self.write_entry(_entry(worker, True, UNLIMITED_LIFETIME_S, YIELDING_LAMPORT_TIME))

    def receive(self, entry: GossipEntry, now: float) -> bool:
        """Take an entry of another scheduler; returns whether it is about a drain.

        A drain asked for here before this scheduler had met the group has a low Lamport time. An undrain that
        is older than that drain by its age does not hold, and the drain is written once more.
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

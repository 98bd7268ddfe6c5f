"""The gossip entries that a member holds: small values with an age. Without I/O or clock.

An entry belongs to its author: it holds until it expires or the author writes it again. A shared entry is one
register for the whole group: of two writes the one with the higher Lamport time holds, then the one whose
author's name is larger; no clock is compared with another member's. An age grows while an entry is held and
not while it travels, so an entry is never said to be older than it is.
"""

from __future__ import annotations

from dataclasses import dataclass

from .messages import GossipEntry, encoded_size

MAX_SELECTION_CANDIDATES = 32  # queued entries that are considered for one datagram

RegisterKey = tuple[str, str]  # an entry's key and its author; a shared entry's author is empty


@dataclass(slots=True)
class _HeldEntry:
    entry: GossipEntry
    began_at: float  # seconds on this process's clock
    transmissions: int = 0

    def is_expired(self, now: float) -> bool:
        return now - self.began_at >= self.entry.lifetime_s

    def aged(self, now: float) -> GossipEntry:
        """The entry with its age at this time."""
        e = self.entry
        age_s = max(now - self.began_at, e.age_s)
        return GossipEntry(e.key, e.author, e.lamport_time, e.value, age_s, e.lifetime_s, e.is_shared)


class EntryStore:
    """All entries that hold now, and the queue of those that are still to be sent on."""

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._held: dict[RegisterKey, _HeldEntry] = {}
        self._queue: dict[RegisterKey, None] = {}
        self._lamport_time = 0  # the highest one seen
        self.dropped_count = 0  # entries for which there was no room

    def __len__(self) -> int:
        return len(self._held)

    def write(
        self,
        now: float,
        author: str,
        key: str,
        value: float,
        lifetime_s: float,
        is_shared: bool,
        lamport_time: int | None,
    ) -> GossipEntry | None:
        """Write an entry of this member's own.

        `lamport_time` is one past the highest seen if it is None; with 0 a shared entry yields to any other
        write. Returns the entry to send, or None if a later one holds or there is no room.
        """
        if lamport_time is None:
            lamport_time = self._lamport_time + 1
        entry = GossipEntry(key, author, lamport_time, value, 0.0, lifetime_s, is_shared)
        return entry if self.merge(now, entry) else None

    def merge(self, now: float, entry: GossipEntry) -> bool:
        """Merge an entry that was received or written; returns whether it is new."""
        self._lamport_time = max(self._lamport_time, entry.lamport_time)
        if entry.age_s >= entry.lifetime_s:
            return False
        key = _register_key(entry)
        held = self._held.get(key)
        if held is not None and _order(entry) <= _order(held.entry):
            return False
        if held is None and len(self._held) >= self._max_entries:
            self.dropped_count += 1
            return False
        self._held[key] = _HeldEntry(entry, now - entry.age_s)
        self._queue[key] = None
        return True

    def expire(self, now: float) -> list[GossipEntry]:
        """Remove the expired entries and return them."""
        expired = [key for key, held in self._held.items() if held.is_expired(now)]
        for key in expired:
            self._queue.pop(key, None)
        return [self._held.pop(key).entry for key in expired]

    def all(self, now: float) -> list[GossipEntry]:
        """Every entry that has not expired, with its age now."""
        return [held.aged(now) for held in self._held.values() if not held.is_expired(now)]

    def select(self, now: float, max_bytes: int, retransmit_limit: int) -> list[GossipEntry]:
        """Take the queued entries that were sent least and fit into `max_bytes`.

        An entry leaves the queue once it was selected `retransmit_limit` times.
        """
        selected: list[GossipEntry] = []
        for key in list(self._queue)[:MAX_SELECTION_CANDIDATES]:
            held = self._held[key]
            entry = held.aged(now)
            size = encoded_size(entry)
            if size > max_bytes:
                continue
            max_bytes -= size
            selected.append(entry)
            del self._queue[key]
            held.transmissions += 1
            if held.transmissions < retransmit_limit and entry.age_s < entry.lifetime_s:
                self._queue[key] = None  # behind those that were sent less often
        return selected


def _register_key(entry: GossipEntry) -> RegisterKey:
    return entry.key, "" if entry.is_shared else entry.author


def _order(entry: GossipEntry) -> tuple[int, str]:
    return entry.lamport_time, entry.author

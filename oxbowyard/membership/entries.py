"""The gossip entries that a member stores: small values with an age. Without I/O or clock.

An entry belongs to its author: it is valid until it expires or the author writes it again. A shared entry is
one register for the whole group: of two writes the one with the higher Lamport time wins, and at equal times
the one whose author's name is larger; clocks of different members are never compared. The age of an entry
grows while a member stores it but not in transit, so an entry never appears older than it is.
"""

from __future__ import annotations

from dataclasses import dataclass

from .messages import GossipEntry, encoded_size

MAX_SELECTION_CANDIDATES = 32  # queued entries that are considered for one datagram

RegisterKey = tuple[str, str]  # an entry's key and its author; a shared entry's author is empty


@dataclass(slots=True)
class _StoredEntry:
    entry: GossipEntry
    created_at: float  # seconds on this process's clock
    transmissions: int = 0

    def is_expired(self, now: float) -> bool:
        return now - self.created_at >= self.entry.lifetime_s

    def with_current_age(self, now: float) -> GossipEntry:
        """Return the entry with its age at `now`."""
        entry = self.entry
        age_s = max(now - self.created_at, entry.age_s)
        return GossipEntry(
            entry.key, entry.author, entry.lamport_time, entry.value, age_s, entry.lifetime_s, entry.is_shared
        )


class EntryStore:
    """All valid entries, and the queue of those that are still to be sent on."""

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._entries: dict[RegisterKey, _StoredEntry] = {}
        self._queue: dict[RegisterKey, None] = {}
        self._lamport_time = 0  # the highest one in any entry so far
        self.dropped_count = 0  # new entries that were dropped because the store was full

    def __len__(self) -> int:
        return len(self._entries)

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

        A `lamport_time` of None stands for one past the highest seen; a shared entry written with 0 loses to
        any other write. Returns the entry to send, or None if the stored one wins or the store is full.
        """
        if lamport_time is None:
            lamport_time = self._lamport_time + 1
        entry = GossipEntry(key, author, lamport_time, value, 0.0, lifetime_s, is_shared)
        return entry if self.merge(now, entry) else None

    def merge(self, now: float, entry: GossipEntry) -> bool:
        """Merge an entry that was received or written; return whether it is new."""
        self._lamport_time = max(self._lamport_time, entry.lamport_time)
        if entry.age_s >= entry.lifetime_s:
            return False
        key = _register_key(entry)
        stored = self._entries.get(key)
        if stored is not None and _write_order(entry) <= _write_order(stored.entry):
            return False
        if stored is None and len(self._entries) >= self._max_entries:
            self.dropped_count += 1
            return False
        self._entries[key] = _StoredEntry(entry, now - entry.age_s)
        self._queue[key] = None
        return True

    def expire(self, now: float) -> list[GossipEntry]:
        """Remove the expired entries and return them."""
        expired = [key for key, stored in self._entries.items() if stored.is_expired(now)]
        for key in expired:
            self._queue.pop(key, None)
        return [self._entries.pop(key).entry for key in expired]

    def all(self, now: float) -> list[GossipEntry]:
        """Return every entry that has not expired, with its age at `now`."""
        return [
            stored.with_current_age(now) for stored in self._entries.values() if not stored.is_expired(now)
        ]

    def select(self, now: float, max_bytes: int, retransmit_limit: int) -> list[GossipEntry]:
        """Select the least often sent of the queued entries that fit into `max_bytes`.

        An entry is removed from the queue once it has been selected `retransmit_limit` times.
        """
        selected: list[GossipEntry] = []
        for key in list(self._queue)[:MAX_SELECTION_CANDIDATES]:
            stored = self._entries[key]
            entry = stored.with_current_age(now)
            size = encoded_size(entry)
            if size > max_bytes:
                continue
            max_bytes -= size
            selected.append(entry)
            del self._queue[key]
            stored.transmissions += 1
            if stored.transmissions < retransmit_limit and entry.age_s < entry.lifetime_s:
                self._queue[key] = None  # behind the entries that were sent less often
        return selected


def _register_key(entry: GossipEntry) -> RegisterKey:
    return entry.key, "" if entry.is_shared else entry.author


def _write_order(entry: GossipEntry) -> tuple[int, str]:
    return entry.lamport_time, entry.author

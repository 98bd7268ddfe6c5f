"""Dissemination: records and entries travel with probes and their answers, urgent entries on their own."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .entries import EntryStore
from .events import EntryWritten
from .instructions import DeliverEntry
from .messages import Gossip, GossipEntry, MemberRecord, encoded_size
from .state import ProtocolState

HEADER_BYTES = 320  # of a message without its records and entries, at most
ENTRIES_SHARE = 0.5  # of a datagram's free bytes that entries may take before records are selected
MAX_SELECTION_CANDIDATES = 24  # queued records that are considered for one datagram
URGENT_RESEND_DELAYS_S = (0.1, 0.3)  # after which the author of an urgent entry sends it again


@dataclass(slots=True)
class _QueuedRecord:
    record: MemberRecord
    transmissions: int = 0


class Dissemination:
    """What this member sends on, and how often it has done so."""

    def __init__(self, state: ProtocolState) -> None:
        self._state = state
        self.entries = EntryStore(state.settings.max_entries)
        self._queue: dict[str, _QueuedRecord] = {}  # by the member's name
        self._resends: list[tuple[float, GossipEntry]] = []  # urgent, by the time to send them

    # ---- Records ----

    def enqueue(self, record: MemberRecord) -> None:
        """Send a record on, in place of an earlier one of the same member."""
        self._queue[record.name] = _QueuedRecord(record)

    def clear_records(self) -> None:
        """Send no queued record on."""
        self._queue.clear()

    def select_records(
        self, first: Sequence[MemberRecord] = (), reserved_bytes: int = 0
    ) -> list[MemberRecord]:
        """The records for one datagram: `first`, then those that were sent least, as many as fit.

        `reserved_bytes` of the datagram are left free.
        """
        free_bytes = self._free_bytes(first) - reserved_bytes
        selected = list(first)
        limit = self._state.retransmit_limit()
        by_transmissions = sorted(self._queue.items(), key=lambda item: item[1].transmissions)
        for name, queued in by_transmissions[:MAX_SELECTION_CANDIDATES]:
            size = encoded_size(queued.record)
            if size > free_bytes or queued.record in first:
                continue
            free_bytes -= size
            selected.append(queued.record)
            queued.transmissions += 1
            if queued.transmissions >= limit:
                del self._queue[name]
        return selected

    def select(self, first: Sequence[MemberRecord] = ()) -> tuple[list[MemberRecord], list[GossipEntry]]:
        """The records and the entries for one datagram."""
        entry_bytes = int(self._free_bytes(first) * ENTRIES_SHARE)
        entries = self.entries.select(self._state.now, entry_bytes, self._state.retransmit_limit())
        return self.select_records(first, _encoded_size(entries)), entries

    def _free_bytes(self, first: Sequence[MemberRecord]) -> int:
        return self._state.settings.max_datagram_bytes - HEADER_BYTES - _encoded_size(first)

    # ---- Entries ----

    def write_entry(self, event: EntryWritten) -> None:
        """Share an entry of this member's own."""
        state, name = self._state, self._state.me.name
        entry = self.entries.write(
            state.now, name, event.key, event.value, event.lifetime_s, event.is_shared, event.lamport_time
        )
        if entry is not None and event.is_urgent:
            self._send_urgent(entry, name)
            self._resends += [(state.now + delay_s, entry) for delay_s in URGENT_RESEND_DELAYS_S]

    def receive_entry(self, entry: GossipEntry, sender: str, is_urgent: bool) -> None:
        """Take an entry that `sender` sent; a new one is delivered, and sent on at once if it is urgent."""
        if not self.entries.merge(self._state.now, entry):
            return
        self._state.instructions.append(DeliverEntry(entry))
        if is_urgent:
            self._send_urgent(entry, sender)

    def resend_due(self) -> None:
        """Send this member's urgent entries again whose time has come."""
        now = self._state.now
        for due_at, entry in self._resends:
            if due_at <= now:
                self._send_urgent(entry, self._state.me.name)
        self._resends = [(due_at, entry) for due_at, entry in self._resends if due_at > now]

    def due_times(self) -> list[float]:
        """When `resend_due` has something to do."""
        return [due_at for due_at, _ in self._resends]

    def _send_urgent(self, entry: GossipEntry, sender: str) -> None:
        """Send to some members; those that it does not reach receive it with probes."""
        state = self._state
        informed = (sender, entry.author)
        candidates = [member for member in state.members.live() if member.record.name not in informed]
        message = Gossip(state.header(), [entry])
        fanout = min(len(candidates), state.settings.urgent_fanout)
        for member in state.random.sample(candidates, fanout):
            state.send(member.record.address, message)


def _encoded_size(parts: Iterable[MemberRecord | GossipEntry]) -> int:
    return sum(encoded_size(part) for part in parts)

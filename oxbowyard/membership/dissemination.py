"""Dissemination: records and entries are sent with probes and their answers, urgent entries on their own."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .entries import EntryStore
from .events import EntryWritten
from .instructions import DeliverEntry
from .messages import Gossip, GossipEntry, MemberRecord, encoded_size
from .state import ProtocolState

HEADER_BYTES = 320  # upper bound of a message's size without its records and entries
ENTRIES_SHARE = 0.5  # share of a datagram's free bytes that entries may use before records are selected
MAX_SELECTION_CANDIDATES = 24  # queued records that are considered for one datagram
URGENT_RESEND_DELAYS_S = (0.1, 0.3)  # delays after which the author of an urgent entry sends it again


@dataclass(slots=True)
class _QueuedRecord:
    record: MemberRecord
    transmissions: int = 0


class Dissemination:
    """The records and entries that this member sends on, with the number of transmissions of each."""

    def __init__(self, state: ProtocolState) -> None:
        self._state = state
        self.entries = EntryStore(state.settings.max_entries)
        self._queue: dict[str, _QueuedRecord] = {}  # by the member's name
        self._resends: list[tuple[float, GossipEntry]] = []  # urgent entries with their time to be sent

    # ---- Records ----

    def enqueue(self, record: MemberRecord) -> None:
        """Queue a record to be sent on; it replaces a queued record of the same member."""
        self._queue[record.name] = _QueuedRecord(record)

    def clear_records(self) -> None:
        """Remove all records from the queue."""
        self._queue.clear()

    def select_records(
        self, required: Sequence[MemberRecord] = (), reserved_bytes: int = 0
    ) -> list[MemberRecord]:
        """Select the records for one datagram: `required`, then the least often sent ones that fit.

        `reserved_bytes` of the datagram are left free.
        """
        free_bytes = self._free_bytes(required) - reserved_bytes
        selected = list(required)
        limit = self._state.retransmit_limit()
        by_transmissions = sorted(self._queue.items(), key=lambda item: item[1].transmissions)
        for name, queued in by_transmissions[:MAX_SELECTION_CANDIDATES]:
            size = encoded_size(queued.record)
            if size > free_bytes or queued.record in required:
                continue
            free_bytes -= size
            selected.append(queued.record)
            queued.transmissions += 1
            if queued.transmissions >= limit:
                del self._queue[name]
        return selected

    def select(self, required: Sequence[MemberRecord] = ()) -> tuple[list[MemberRecord], list[GossipEntry]]:
        """Select the records and the entries for one datagram."""
        entry_bytes = int(self._free_bytes(required) * ENTRIES_SHARE)
        entries = self.entries.select(self._state.now, entry_bytes, self._state.retransmit_limit())
        return self.select_records(required, _encoded_size(entries)), entries

    def _free_bytes(self, required: Sequence[MemberRecord]) -> int:
        return self._state.settings.max_datagram_bytes - HEADER_BYTES - _encoded_size(required)

    # ---- Entries ----

    def write_entry(self, event: EntryWritten) -> None:
        """Write an entry of this member's own, and send it to the group."""
        state, name = self._state, self._state.me.name
        entry = self.entries.write(
            state.now, name, event.key, event.value, event.lifetime_s, event.is_shared, event.lamport_time
        )
        if entry is not None and event.is_urgent:
            self._send_urgent(entry, name)
            self._resends += [(state.now + delay_s, entry) for delay_s in URGENT_RESEND_DELAYS_S]

    def receive_entry(self, entry: GossipEntry, sender: str, is_urgent: bool) -> None:
        """Merge an entry from `sender`; deliver a new one, and send it on at once if it is urgent."""
        if not self.entries.merge(self._state.now, entry):
            return
        self._state.instructions.append(DeliverEntry(entry))
        if is_urgent:
            self._send_urgent(entry, sender)

    def resend_due(self) -> None:
        """Send those of this member's urgent entries again that are due."""
        now = self._state.now
        for due_at, entry in self._resends:
            if due_at <= now:
                self._send_urgent(entry, self._state.me.name)
        self._resends = [(due_at, entry) for due_at, entry in self._resends if due_at > now]

    def due_times(self) -> list[float]:
        """Return the times at which `resend_due` has an entry to send."""
        return [due_at for due_at, _ in self._resends]

    def _send_urgent(self, entry: GossipEntry, sender: str) -> None:
        """Send an urgent entry to a random sample of members; the others receive it with later probes."""
        state = self._state
        informed = (sender, entry.author)
        candidates = [member for member in state.members.live() if member.record.name not in informed]
        message = Gossip(state.header(), [entry])
        fanout = min(len(candidates), state.settings.urgent_fanout)
        for member in state.random.sample(candidates, fanout):
            state.send(member.record.address, message)


def _encoded_size(parts: Iterable[MemberRecord | GossipEntry]) -> int:
    return sum(encoded_size(part) for part in parts)

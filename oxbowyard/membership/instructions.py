"""The instructions that a member's protocol returns; the caller carries them out in their order."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .messages import GossipEntry, Message


class MemberEventKind(StrEnum):
    """What happened to a member. The values appear in log lines, which operators' tools match."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    CLEARED = "cleared"  # it refuted the suspicion
    DIED = "died"
    LEFT = "left"
    RETURNED = "returned"
    CONFLICT = "name_conflict"  # another process uses the same name
    REFUTED = "refuted"  # this member was suspected or declared dead, and refuted that
    STALLED = "stalled"  # this process did not run for some time
    REJECTED = "rejected"  # the member list is full


@dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a message to an address, as a datagram or by stream."""

    address: str
    message: Message
    by_stream: bool = False


@dataclass(slots=True, frozen=True)
class NotifyMemberEvent:
    """Log a member event and pass it to the listener."""

    kind: MemberEventKind
    name: str
    accuser: str = ""  # the member that suspects it or declared it dead
    address: str = ""  # of the other process in a conflict, or of the member that was rejected
    stalled_s: float = 0.0


@dataclass(slots=True, frozen=True)
class DeliverEntry:
    """Deliver an entry that is new to this member, or that replaces one of this member's own."""

    entry: GossipEntry


Instruction = SendMessage | NotifyMemberEvent | DeliverEntry

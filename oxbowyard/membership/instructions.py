"""The instructions that a member's protocol returns to its owner, who carries them out in their order."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .messages import GossipEntry, Message


class MemberEventKind(StrEnum):
    """What happened to a member. The values are the words of the log."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    CLEARED = "cleared"  # it refuted the suspicion
    DIED = "died"
    LEFT = "left"
    RETURNED = "returned"
    CONFLICT = "name_conflict"  # another process has its name
    REFUTED = "refuted"  # this member was suspected or thought dead, and is neither
    STALLED = "stalled"  # this process did not run for a while
    REJECTED = "rejected"  # the member list is full


@dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a message to an address, as a datagram or by stream."""

    address: str
    message: Message
    by_stream: bool = False


@dataclass(slots=True, frozen=True)
class NotifyMemberEvent:
    """Log an event and tell whoever listens."""

    kind: MemberEventKind
    name: str
    accuser: str = ""  # who suspects it, or found it dead
    address: str = ""  # of the other process in a conflict, or of the member that was rejected
    stalled_s: float = 0.0


@dataclass(slots=True, frozen=True)
class DeliverEntry:
    """Hand over an entry that is new here, or one of this member's own that another member has replaced."""

    entry: GossipEntry


Instruction = SendMessage | NotifyMemberEvent | DeliverEntry

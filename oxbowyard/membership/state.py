"""The state that the components of one member's protocol share: its record, the other members, its health."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from .instructions import Instruction, MemberEventKind, NotifyMemberEvent, SendMessage
from .member_list import MemberList
from .messages import PROTOCOL_VERSION, Header, MemberRecord, Message
from .settings import ProtocolSettings

MAX_SEQUENCE_NUMBER = 0x7FFFFFFF


@dataclass(slots=True)
class LocalHealth:
    """Lifeguard's local health: 0 is healthy, and each further step lengthens this member's own timeouts."""

    max_score: int
    score: int = 0

    @property
    def multiplier(self) -> int:
        """The factor for probe intervals and timeouts."""
        return 1 + self.score

    def improve(self) -> None:
        """Record that a probe was answered in time."""
        self.score = max(self.score - 1, 0)

    def degrade(self, steps: int = 1) -> None:
        """Record a sign that this member loses messages or runs late."""
        self.score = min(self.score + steps, self.max_score)


class ProtocolState:
    """The shared state of one member's protocol. Only its components and `MembershipProtocol` change it."""

    def __init__(self, me: MemberRecord, settings: ProtocolSettings, random: Random) -> None:
        self.me = me
        self.settings = settings
        self.random = random
        self.members = MemberList(settings.max_members)
        self.health = LocalHealth(settings.max_health_score)
        self.now = 0.0  # seconds on the caller's clock; never decreases
        self.has_left = False
        self.instructions: list[Instruction] = []  # of the event that is being handled
        self._sequence_number = random.getrandbits(31)

    def live_count(self) -> int:
        """Return the number of alive and suspect members, including this one."""
        return self.members.live_count + 1

    def retransmit_limit(self) -> int:
        """Return how often a record or an entry is sent on at the currently known size of the group."""
        return self.settings.retransmit_limit(self.live_count())

    def should_volunteer(self) -> bool:
        """Draw at random whether this member does a task that `volunteer_count` of all members should do."""
        return self.random.random() * self.live_count() < self.settings.volunteer_count

    def header(self) -> Header:
        """Return the header of this member's messages."""
        me = self.me
        return Header(PROTOCOL_VERSION, self.settings.group, me.name, me.run_id, me.address)

    def next_sequence_number(self) -> int:
        """Return a number that distinguishes the answers to one probe from those to another."""
        self._sequence_number = (self._sequence_number + 1) & MAX_SEQUENCE_NUMBER
        return self._sequence_number

    def send(self, address: str, message: Message, by_stream: bool = False) -> None:
        """Add the instruction to send a message."""
        self.instructions.append(SendMessage(address, message, by_stream))

    def notify(
        self,
        kind: MemberEventKind,
        name: str,
        *,
        accuser: str = "",
        address: str = "",
        stalled_s: float = 0.0,
    ) -> None:
        """Add the instruction to report a member event."""
        self.instructions.append(NotifyMemberEvent(kind, name, accuser, address, stalled_s))

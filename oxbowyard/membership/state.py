"""What the concerns of one member's protocol share: its own record, the other members, its health."""

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
    """Lifeguard's local health: a score of 0 is healthy, each step lengthens this member's own timeouts."""

    max_score: int
    score: int = 0

    @property
    def multiplier(self) -> int:
        """The factor for probe intervals and timeouts."""
        return 1 + self.score

    def improve(self) -> None:
        """A probe was answered in time."""
        self.score = max(self.score - 1, 0)

    def degrade(self, steps: int = 1) -> None:
        """Record a sign that this member loses messages, or runs late."""
        self.score = min(self.score + steps, self.max_score)


class ProtocolState:
    """The shared state of one member's protocol. Only its concerns and `MembershipProtocol` change it."""

    def __init__(self, me: MemberRecord, settings: ProtocolSettings, random: Random) -> None:
        self.me = me
        self.settings = settings
        self.random = random
        self.members = MemberList(settings.max_members)
        self.health = LocalHealth(settings.max_health_score)
        self.now = 0.0  # seconds on the owner's clock; never goes back
        self.has_left = False
        self.instructions: list[Instruction] = []  # for the event that is being handled
        self._sequence_number = random.getrandbits(31)

    def live_count(self) -> int:
        """Members that are alive or suspect, this one included."""
        return self.members.live_count + 1

    def retransmit_limit(self) -> int:
        """How often a record or an entry is sent on in a group of the size known now."""
        return self.settings.retransmit_limit(self.live_count())

    def should_volunteer(self) -> bool:
        """Draw whether this member does a task that `volunteer_count` of all members should do."""
        return self.random.random() * self.live_count() < self.settings.volunteer_count

    def header(self) -> Header:
        """The header of this member's messages."""
        me = self.me
        return Header(PROTOCOL_VERSION, self.settings.group, me.name, me.run_id, me.address)

    def next_sequence_number(self) -> int:
        """A number that tells the answers to one probe from those to another."""
        self._sequence_number = (self._sequence_number + 1) & MAX_SEQUENCE_NUMBER
        return self._sequence_number

    def send(self, address: str, message: Message, by_stream: bool = False) -> None:
        """Instruct the owner to send a message."""
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
        """Instruct the owner to tell of an event."""
        self.instructions.append(NotifyMemberEvent(kind, name, accuser, address, stalled_s))

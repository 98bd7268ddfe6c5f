"""The input events of a member's protocol: they say what happened, and the protocol decides what follows."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import Message


@dataclass(slots=True, frozen=True)
class Started:
    """The member starts. It asks its seeds for their complete state until one has answered."""

    seeds: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time `MembershipProtocol.due_at` has come."""


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A valid message was received. Answers go to `source`, by stream if the message came by stream."""

    message: Message
    source: str
    by_stream: bool = False


@dataclass(slots=True, frozen=True)
class FactsChanged:
    """The facts that this member publishes about itself changed; a new incarnation carries them."""

    facts: dict[str, float]


@dataclass(slots=True, frozen=True)
class EntryWritten:
    """This member shares a value that expires after `lifetime_s` seconds.

    A shared entry replaces the entry of the same key whichever member wrote that one, but with `lamport_time`
    0 only if there is none. An urgent entry is sent at once to some members, which do the same; other entries
    are sent with the next probes.
    """

    key: str
    value: float
    lifetime_s: float
    is_shared: bool = False
    is_urgent: bool = False
    lamport_time: int | None = None


@dataclass(slots=True, frozen=True)
class LeaveRequested:
    """The member is about to stop, and announces that to the group."""


Event = Started | TimerFired | MessageReceived | FactsChanged | EntryWritten | LeaveRequested

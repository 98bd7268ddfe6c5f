"""The events that the owner of a member's protocol hands to it: what happened, not what follows from it."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import Message


@dataclass(slots=True, frozen=True)
class Started:
    """The member begins. Its seeds are asked for their complete state until one has answered."""

    seeds: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The time that `MembershipProtocol.due_at` named has come."""


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A valid message came. Answers go to `source`, by stream if the message came by stream."""

    message: Message
    source: str
    by_stream: bool = False


@dataclass(slots=True, frozen=True)
class FactsChanged:
    """This member has other facts to tell about itself; a new incarnation carries them."""

    facts: dict[str, float]


@dataclass(slots=True, frozen=True)
class EntryWritten:
    """This member shares a value that expires after `lifetime_s` seconds.

    A shared entry replaces every member's entry of the same key; with `lamport_time` 0 only where there is
    none. An urgent one is sent at once to some members, who do the same; others wait for the next probes.
    """

    key: str
    value: float
    lifetime_s: float
    is_shared: bool = False
    is_urgent: bool = False
    lamport_time: int | None = None


@dataclass(slots=True, frozen=True)
class LeaveRequested:
    """The member is about to end and says so."""


Event = Started | TimerFired | MessageReceived | FactsChanged | EntryWritten | LeaveRequested

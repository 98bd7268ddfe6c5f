"""Counts of dropped messages, connections, requests and entries, by reason."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from .messages import MalformedReason


class DropReason(StrEnum):
    """Why something was dropped. The values are part of the admin API, and operators search for them."""

    NOT_SENT = "not sent"  # the kernel did not accept a datagram, or its address is unusable
    UNREACHABLE = "refused"  # an ICMP error reported that an earlier datagram was not delivered
    RATE_LIMITED = "rests for a flood"
    UNEXPECTED_MESSAGE = "datagram out of place"  # a datagram with a stream-only kind of message
    STREAM_LIMIT = "stream turned away"
    STREAM_BROKEN = "stream broke off"
    FRAME_TOO_LONG = "frame too long"
    REQUEST_LIMIT = "question not asked"
    REQUEST_FAILED = "question unanswered"
    ENTRY_LIMIT = "notes"


class Transport(StrEnum):
    """How a malformed message was received."""

    DATAGRAM = "datagram"
    STREAM = "stream"


class DropCounter:
    """The counts since the process started."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, reason: DropReason) -> None:
        """Count one drop."""
        self._counts[reason.value] += 1

    def add_malformed(self, transport: Transport, reason: MalformedReason) -> None:
        """Count a message that `messages.decode` rejected."""
        self._counts[f"{transport.value} {reason.value}"] += 1

    def by_reason(self) -> Counter[str]:
        """Return a copy of the counts, by the names that the admin API gives them."""
        return self._counts.copy()

    def __getitem__(self, reason: DropReason) -> int:
        return self._counts[reason.value]

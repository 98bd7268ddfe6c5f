"""Counts of what was dropped or refused, by reason."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from .messages import MalformedReason


class DropReason(StrEnum):
    """Why something was dropped. The values are the words of the admin API, which operators search for."""

    NOT_SENT = "not sent"  # a datagram that the kernel did not take, or with no usable address
    UNREACHABLE = "refused"  # an earlier datagram of ours reached nobody
    RATE_LIMITED = "rests for a flood"
    UNEXPECTED_MESSAGE = "datagram out of place"  # a kind of message that comes by stream only
    STREAM_LIMIT = "stream turned away"
    STREAM_BROKEN = "stream broke off"
    FRAME_TOO_LONG = "frame too long"
    REQUEST_LIMIT = "question not asked"
    REQUEST_FAILED = "question unanswered"
    ENTRY_LIMIT = "notes"


class Transport(StrEnum):
    """How a malformed message came."""

    DATAGRAM = "datagram"
    STREAM = "stream"


class DropCounter:
    """The counts since the process began."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, reason: DropReason) -> None:
        """Count one drop."""
        self._counts[reason.value] += 1

    def add_malformed(self, transport: Transport, reason: MalformedReason) -> None:
        """Count a message that could not be read."""
        self._counts[f"{transport.value} {reason.value}"] += 1

    def by_reason(self) -> Counter[str]:
        """A copy of the counts, by the admin API's words."""
        return self._counts.copy()

    def __getitem__(self, reason: DropReason) -> int:
        return self._counts[reason.value]

"""The errors of the Gearman front, and their codes as peers see them in ERROR packets."""

from __future__ import annotations

from enum import Enum


class ErrorCode(Enum):
    """The first argument of an ERROR packet; the values are on the wire."""

    EVICTED = "CLOSED_FOR_ROOM"  # an idle connection is closed in favour of a new one
    INTERNAL = "INTERNAL"
    INVALID_CLIENT_ID = "INVALID_CLIENT_ID"
    INVALID_EPOCH = "INVALID_EPOCH"
    INVALID_MAGIC = "INVALID_MAGIC"
    INVALID_PACKET = "INVALID_PACKET"
    INVALID_TIMEOUT = "INVALID_TIMEOUT"
    JOB_QUEUE_FULL = "JOB_QUEUE_FULL"
    LINE_TOO_LONG = "LINE_TOO_LONG"
    NAME_TOO_LONG = "NAME_TOO_LONG"
    PACKET_TOO_LARGE = "PACKET_TOO_LARGE"
    SHUTTING_DOWN = "SHUTTING_DOWN"
    TOO_LARGE = "TOO_LARGE"
    TOO_MANY_CONNECTIONS = "TOO_MANY_CONNECTIONS"
    TOO_MANY_FUNCTIONS = "TOO_MANY_FUNCTIONS"
    TOO_MUCH_UNFINISHED = "TOO_MUCH_UNFINISHED"
    TOO_SLOW = "TOO_SLOW"
    UNKNOWN_COMMAND = "UNKNOWN_COMMAND"
    UNKNOWN_FUNCTION = "UNKNOWN_FUNCTION"
    UNKNOWN_OPTION = "UNKNOWN_OPTION"


class GearmanError(Exception):
    """Something that the peer is told in an ERROR packet.

    Args:
        code: What kind of error it is.
        text: The explanation that the peer gets with it.
    """

    def __init__(self, code: ErrorCode, text: str) -> None:
        super().__init__(text)
        self.code = code
        self.text = text


class PacketRejectedError(GearmanError):
    """A packet is well-formed, and what it asks for is not done. The connection goes on."""


class StreamError(GearmanError):
    """The byte stream cannot be decoded any further. The connection has to end."""

"""The errors of the Gearman front, and the codes that peers receive in ERROR packets."""

from __future__ import annotations

from enum import Enum


class ErrorCode(Enum):
    """The first argument of an ERROR packet. The values are part of the protocol."""

    EVICTED = "CLOSED_FOR_ROOM"  # an idle connection was closed in favour of a new one
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
    """An error that is sent to the peer in an ERROR packet.

    Args:
        code: The error code.
        text: The explanation for the peer.
    """

    def __init__(self, code: ErrorCode, text: str) -> None:
        super().__init__(text)
        self.code = code
        self.text = text


class PacketRejectedError(GearmanError):
    """The request in a well-formed packet is rejected. The connection stays open."""


class StreamError(GearmanError):
    """The byte stream cannot be decoded any further, so the connection has to close."""

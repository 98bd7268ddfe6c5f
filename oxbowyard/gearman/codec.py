"""Encodes and decodes Gearman's binary packets and text commands, without doing I/O."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

from .errors import ErrorCode, StreamError
from .packet_types import ARGUMENT_COUNTS, PacketType

REQUEST_MAGIC = b"\0REQ"
RESPONSE_MAGIC = b"\0RES"
HEADER = struct.Struct(">4sII")  # magic, packet type, size of the data
MAX_LINE_BYTES = 4096


@dataclass(slots=True, frozen=True)
class Packet:
    """One binary packet, with its data not yet split into arguments."""

    type: int  # not necessarily the value of a `PacketType`
    data: bytes = b""

    def arguments(self) -> list[bytes] | None:
        """Split the data into arguments; None if the type is not supported or their number is wrong."""
        if self.type not in ARGUMENT_COUNTS:
            return None
        count = ARGUMENT_COUNTS[PacketType(self.type)]
        if count == 0:
            return None if self.data else []
        arguments = self.data.split(b"\0", count - 1)
        return arguments if len(arguments) == count else None


@dataclass(slots=True, frozen=True)
class TextCommand:
    """One line of the text protocol, without the line end."""

    text: str


def encode(packet_type: PacketType, *arguments: bytes, magic: bytes = RESPONSE_MAGIC) -> bytes:
    """Encode a packet, by default with the magic of responses, which this program sends."""
    data = b"\0".join(arguments)
    return HEADER.pack(magic, packet_type, len(data)) + data


def encode_error(code: ErrorCode, text: str) -> bytes:
    """Encode an ERROR packet."""
    return encode(PacketType.ERROR, code.value.encode(), text.encode())


class Decoder:
    """Decodes a byte stream incrementally.

    Args:
        max_packet_bytes: The maximum size of a packet's data.
        magic: The magic that each packet must begin with.
    """

    def __init__(self, max_packet_bytes: int, magic: bytes = REQUEST_MAGIC) -> None:
        self._buffer = bytearray()
        self._max_packet_bytes = max_packet_bytes
        self._magic = magic

    @property
    def buffered_bytes(self) -> int:
        """The number of buffered bytes of an incomplete packet or line."""
        return len(self._buffer)

    def clear(self) -> None:
        """Discard the buffered bytes."""
        self._buffer.clear()

    def feed(self, data: bytes) -> Iterator[Packet | TextCommand]:
        """Yield the packets and lines that the data completes.

        Raises:
            StreamError: The stream cannot be decoded any further. The items before that have been yielded.
        """
        self.append(data)
        while (item := self.next_item()) is not None:
            yield item

    def append(self, data: bytes) -> None:
        """Add received data."""
        self._buffer += data

    def next_item(self) -> Packet | TextCommand | None:
        """Return the next complete packet or line; None if more data is needed. Raises StreamError."""
        if not self._buffer:
            return None
        return self._next_packet() if self._buffer[0] == 0 else self._next_line()

    def _next_packet(self) -> Packet | None:
        if self._buffer[:4] != self._magic[: len(self._buffer)]:
            raise StreamError(ErrorCode.INVALID_MAGIC, "not the magic of a request")
        if len(self._buffer) < HEADER.size:
            return None
        _, packet_type, size = HEADER.unpack_from(self._buffer)
        if size > self._max_packet_bytes:  # rejected before the data is buffered
            text = f"a packet holds {self._max_packet_bytes} bytes at most"
            raise StreamError(ErrorCode.PACKET_TOO_LARGE, text)
        end = HEADER.size + size
        if len(self._buffer) < end:
            return None
        packet = Packet(packet_type, bytes(self._buffer[HEADER.size : end]))
        del self._buffer[:end]
        return packet

    def _next_line(self) -> TextCommand | None:
        end = self._buffer.find(b"\n")
        if end < 0:
            if len(self._buffer) > MAX_LINE_BYTES:
                raise StreamError(ErrorCode.LINE_TOO_LONG, "a line without an end")
            return None
        text = bytes(self._buffer[:end]).rstrip(b"\r").decode("utf-8", "replace")
        del self._buffer[: end + 1]
        return TextCommand(text)

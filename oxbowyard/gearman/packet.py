"""Gearman's binary packets and text lines. Pure: bytes in, packets out, and back."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

REQ, RES = b"\0REQ", b"\0RES"
HEADER = struct.Struct(">4sII")
MOST_LINE = 4096


class Type(IntEnum):
    """The packet types of the published protocol."""

    CAN_DO = 1
    CANT_DO = 2
    RESET_ABILITIES = 3
    PRE_SLEEP = 4
    NOOP = 6
    SUBMIT_JOB = 7
    JOB_CREATED = 8
    GRAB_JOB = 9
    NO_JOB = 10
    JOB_ASSIGN = 11
    WORK_STATUS = 12
    WORK_COMPLETE = 13
    WORK_FAIL = 14
    GET_STATUS = 15
    ECHO_REQ = 16
    ECHO_RES = 17
    SUBMIT_JOB_BG = 18
    ERROR = 19
    STATUS_RES = 20
    SUBMIT_JOB_HIGH = 21
    SET_CLIENT_ID = 22
    CAN_DO_TIMEOUT = 23
    ALL_YOURS = 24
    WORK_EXCEPTION = 25
    OPTION_REQ = 26
    OPTION_RES = 27
    WORK_DATA = 28
    WORK_WARNING = 29
    GRAB_JOB_UNIQ = 30
    JOB_ASSIGN_UNIQ = 31
    SUBMIT_JOB_HIGH_BG = 32
    SUBMIT_JOB_LOW = 33
    SUBMIT_JOB_LOW_BG = 34
    SUBMIT_JOB_SCHED = 35
    SUBMIT_JOB_EPOCH = 36
    SUBMIT_REDUCE_JOB = 37
    SUBMIT_REDUCE_JOB_BACKGROUND = 38
    GRAB_JOB_ALL = 39
    JOB_ASSIGN_ALL = 40
    GET_STATUS_UNIQUE = 41
    STATUS_RES_UNIQUE = 42


# How many arguments a packet from a client or worker holds; of the types not here none is taken.
# The last argument runs to the packet's end, NUL bytes and all.
ARGUMENTS = {
    Type.CAN_DO: 1,
    Type.CANT_DO: 1,
    Type.RESET_ABILITIES: 0,
    Type.PRE_SLEEP: 0,
    Type.SUBMIT_JOB: 3,
    Type.SUBMIT_JOB_BG: 3,
    Type.SUBMIT_JOB_HIGH: 3,
    Type.SUBMIT_JOB_HIGH_BG: 3,
    Type.SUBMIT_JOB_LOW: 3,
    Type.SUBMIT_JOB_LOW_BG: 3,
    Type.SUBMIT_JOB_EPOCH: 4,
    Type.GRAB_JOB: 0,
    Type.GRAB_JOB_UNIQ: 0,
    Type.GRAB_JOB_ALL: 0,
    Type.WORK_STATUS: 3,
    Type.WORK_COMPLETE: 2,
    Type.WORK_FAIL: 1,
    Type.WORK_EXCEPTION: 2,
    Type.WORK_DATA: 2,
    Type.WORK_WARNING: 2,
    Type.GET_STATUS: 1,
    Type.GET_STATUS_UNIQUE: 1,
    Type.ECHO_REQ: 1,
    Type.SET_CLIENT_ID: 1,
    Type.CAN_DO_TIMEOUT: 2,
    Type.ALL_YOURS: 0,
    Type.OPTION_REQ: 1,
}


class PacketError(Exception):
    """The stream can't be read on: its framing is lost or too large."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code
        self.text = text


class Rejected(Exception):
    """What was asked for is not done; the peer is told why."""

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code
        self.text = text


@dataclass(slots=True, frozen=True)
class Packet:
    """One binary packet, its data not yet split."""

    type: int
    data: bytes = b""

    def arguments(self) -> list[bytes] | None:
        """The arguments, or None if there are too few or too many."""
        if self.type not in ARGUMENTS:
            return None
        count = ARGUMENTS[Type(self.type)]
        if count == 0:
            return None if self.data else []
        parts = self.data.split(b"\0", count - 1)
        return parts if len(parts) == count else None


@dataclass(slots=True, frozen=True)
class Line:
    """One line of the text protocol."""

    text: str


def encode(type_: Type, *arguments: bytes, magic: bytes = RES) -> bytes:
    """A packet as bytes."""
    data = b"\0".join(arguments)
    return HEADER.pack(magic, type_, len(data)) + data


class Decoder:
    """Takes bytes as they come and gives back what is whole."""

    def __init__(self, most: int, magic: bytes = REQ) -> None:
        self._buffer = bytearray()
        self._most = most
        self._magic = magic

    @property
    def held(self) -> int:
        """Bytes of what is not whole yet."""
        return len(self._buffer)

    def drop(self) -> None:
        """Hold nothing more."""
        self._buffer.clear()

    def feed(self, data: bytes) -> list[Packet | Line]:
        """Everything that became whole. Raises once the stream can't be read on."""
        self._buffer += data
        found: list[Packet | Line] = []
        while (item := self._next()) is not None:
            found.append(item)
        return found

    def _next(self) -> Packet | Line | None:
        if not self._buffer:
            return None
        if self._buffer[0] != 0:
            return self._line()
        if self._buffer[:4] != self._magic[: len(self._buffer)]:
            raise PacketError("INVALID_MAGIC", "not the magic of a request")
        if len(self._buffer) < HEADER.size:
            return None
        _, type_, size = HEADER.unpack_from(self._buffer)
        if size > self._most:  # known from the header: nothing of it is kept
            raise PacketError("PACKET_TOO_LARGE", f"a packet holds {self._most} bytes at most")
        end = HEADER.size + size
        if len(self._buffer) < end:
            return None
        packet = Packet(type_, bytes(self._buffer[HEADER.size : end]))
        del self._buffer[:end]
        return packet

    def _line(self) -> Line | None:
        end = self._buffer.find(b"\n")
        if end < 0:
            if len(self._buffer) > MOST_LINE:
                raise PacketError("LINE_TOO_LONG", "a line without an end")
            return None
        text = bytes(self._buffer[:end]).rstrip(b"\r").decode("utf-8", "replace")
        del self._buffer[: end + 1]
        return Line(text)

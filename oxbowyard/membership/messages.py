"""The messages of the group in MessagePack. Each names its version and group; fields are only ever added.

A newer version's further fields at the end of a message are passed over; an older one lacks them and gets
the defaults.
"""

from __future__ import annotations

import math
from enum import IntEnum

import msgspec

VERSION = 1
MOST_DATAGRAM = 1400  # bytes: what passes everywhere in one piece
MOST_NAME = 128
MOST_FACTS = 16
MOST_ABOUT = 300  # a worker's uid and some letters
MOST_FIGURE = 1e12
MOST_COUNT = 1 << 52


class State(IntEnum):
    """What is claimed of a member. Of claims with one incarnation the larger holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """What one member says of another, or of itself."""

    name: str
    run: int  # a number by chance of each process: two with one name are told apart
    address: str
    zone: str
    incarnation: int  # only its owner raises it
    state: State
    facts: dict[str, float] = {}  # noqa: RUF012  # msgspec copies it
    accuser: str = ""  # of a suspicion: it counts once for each


class Note(msgspec.Struct, frozen=True, array_like=True):
    """A small value that a member tells the others: see entries.py."""

    about: str
    by: str
    count: int
    value: float
    age: float  # seconds
    lasts: float  # seconds from its beginning until it is over
    common: bool = False


class Head(msgspec.Struct, frozen=True, array_like=True):
    """Where a message comes from."""

    version: int
    group: str
    name: str
    run: int
    address: str


class _Probe(msgspec.Struct, frozen=True, array_like=True):
    head: Head
    number: int
    target: str  # who is meant: another may live at the address now
    news: list[Claim] = []  # noqa: RUF012
    notes: list[Note] = []  # noqa: RUF012


class Ping(_Probe, frozen=True, array_like=True, tag=1):
    """Are you there?"""


class Ack(_Probe, frozen=True, array_like=True, tag=2):
    """The target is there."""


class PingFor(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Ask it for me."""

    head: Head
    number: int
    target: str
    address: str
    news: list[Claim] = []  # noqa: RUF012


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """It did not answer me either, but your question came through."""

    head: Head
    number: int
    target: str


class Sync(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """All that the sender knows; over a stream. `wants` asks for the same in return."""

    head: Head
    wants: bool
    members: list[Claim]
    notes: list[Note] = []  # noqa: RUF012


class Told(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Notes that don't wait for the next question."""

    head: Head
    notes: list[Note]


class Want(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Give me this, if you have it; over a stream."""

    head: Head
    what: str


class Given(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Here it is; `body` is for whoever asked to read."""

    head: Head
    what: str
    body: bytes


Message = Ping | Ack | PingFor | Nack | Sync | Told | Want | Given


class Malformed(ValueError):
    """Not a message of this group that can be read; its text says why in a word that is counted."""


_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """A message's bytes."""
    return _encoder.encode(message)


def size(claim: Claim) -> int:
    """How many bytes a claim adds to a message."""
    return len(_encoder.encode(claim))


def note_size(note: Note) -> int:
    """How many bytes a note adds to a message."""
    return len(_encoder.encode(note))


def decode(data: bytes, group: str, most_claims: int) -> Message:
    """Read a message; raises Malformed for what is cut, foreign or absurd, whoever sent it."""
    try:
        message: Message = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise Malformed("unreadable") from None
    if message.head.group != group:
        raise Malformed("foreign")
    if message.head.version < 1:
        raise Malformed("version")
    claims = message.members if isinstance(message, Sync) else getattr(message, "news", [])
    if len(claims) > most_claims:
        raise Malformed("too many claims")
    for claim in claims:
        if not 0 < len(claim.name) <= MOST_NAME or len(claim.address) > MOST_NAME or claim.incarnation < 0:
            raise Malformed("absurd claim")
        if len(claim.facts) > MOST_FACTS or len(claim.zone) > MOST_NAME:
            raise Malformed("absurd claim")
    notes: list[Note] = getattr(message, "notes", [])
    if len(notes) > most_claims:
        raise Malformed("too many notes")
    if any(_absurd(note) for note in notes):
        raise Malformed("absurd note")
    return message


def _absurd(note: Note) -> bool:
    if not 0 < len(note.about) <= MOST_ABOUT or not 0 < len(note.by) <= MOST_NAME:
        return True
    figures = (note.value, note.age, note.lasts)
    return not all(math.isfinite(f) and 0 <= f <= MOST_FIGURE for f in figures) or not (
        0 <= note.count <= MOST_COUNT
    )

"""The messages of the group and their MessagePack encoding.

Every struct is encoded as an array, so the names of its fields never reach the wire; their order does. Fields
are only ever added, at the end: the additional fields of a newer version are ignored, and those that an older
version lacks take their defaults. Each message carries the protocol's version and the group's name.
"""

from __future__ import annotations

import math
from enum import IntEnum, StrEnum

import msgspec

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 1400  # passes every usual network without being fragmented
MAX_NAME_LENGTH = 128
MAX_FACTS = 16
MAX_ENTRY_KEY_LENGTH = 300  # a worker's id and a prefix
MAX_ENTRY_FIGURE = 1e12
MAX_LAMPORT_TIME = 1 << 52


class MemberState(IntEnum):
    """What a record says of a member. Of two records with one incarnation the larger state holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """An alive, suspect, dead or left record: what one member says of another, or of itself."""

    name: str
    run_id: int  # drawn by each process: distinguishes two processes with one name
    address: str
    zone: str
    incarnation: int  # only the member itself raises it
    state: MemberState
    facts: dict[str, float] = {}  # msgspec copies it
    accuser: str = ""  # who suspects it; each accuser counts as one confirmation


class GossipEntry(msgspec.Struct, frozen=True, array_like=True):
    """A small value with an age that a member shares with the others; entries.py has the rules."""

    key: str
    author: str
    lamport_time: int
    value: float
    age_s: float
    lifetime_s: float  # from the entry's beginning until it expires
    is_shared: bool = False  # one register for the whole group, rather than one for each author


class Header(msgspec.Struct, frozen=True, array_like=True):
    """The sender of a message."""

    version: int
    group: str
    name: str
    run_id: int
    address: str


class _ProbeMessage(msgspec.Struct, frozen=True, array_like=True):
    header: Header
    sequence_number: int
    target: str  # the member that is probed: another one may use the address now
    records: list[MemberRecord] = []
    entries: list[GossipEntry] = []


class Ping(_ProbeMessage, frozen=True, array_like=True, tag=1):
    """A probe: the target answers with an Ack."""


class Ack(_ProbeMessage, frozen=True, array_like=True, tag=2):
    """The target of a probe is there."""


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """An indirect probe: the receiver probes the target on the sender's behalf (SWIM's ping-req)."""

    header: Header
    sequence_number: int
    target: str
    address: str
    records: list[MemberRecord] = []


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The target of an indirect probe has not answered the helper in time (Lifeguard)."""

    header: Header
    sequence_number: int
    target: str


class PushPull(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The sender's complete state; by stream. With `wants_reply` the receiver sends its own back."""

    header: Header
    wants_reply: bool
    records: list[MemberRecord]
    entries: list[GossipEntry] = []


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Urgent entries, which do not wait for the next probe."""

    header: Header
    entries: list[GossipEntry]


class PullRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A request for a document that the receiver may offer; by stream."""

    header: Header
    topic: str


class PullReply(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The document asked for. Its body is opaque to the membership."""

    header: Header
    topic: str
    body: bytes


Message = Ping | Ack | PingRequest | Nack | PushPull | Gossip | PullRequest | PullReply


class MalformedReason(StrEnum):
    """Why a message was refused. The values are counted under these words in the admin API."""

    UNREADABLE = "unreadable"
    FOREIGN_GROUP = "foreign"
    UNKNOWN_VERSION = "version"
    TOO_MANY_RECORDS = "too many claims"
    INVALID_RECORD = "absurd claim"
    TOO_MANY_ENTRIES = "too many notes"
    INVALID_ENTRY = "absurd note"


class MalformedMessageError(ValueError):
    """Raised by `decode` for bytes that are no valid message of this group."""

    def __init__(self, reason: MalformedReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """The message's bytes."""
    return _encoder.encode(message)


def encoded_size(part: MemberRecord | GossipEntry) -> int:
    """The bytes that a record or an entry adds to a message."""
    return len(_encoder.encode(part))


def records_of(message: Message) -> list[MemberRecord]:
    """The member records that a message carries, of whichever kind it is."""
    records: list[MemberRecord] = getattr(message, "records", [])
    return records


def entries_of(message: Message) -> list[GossipEntry]:
    """The gossip entries that a message carries, of whichever kind it is."""
    entries: list[GossipEntry] = getattr(message, "entries", [])
    return entries


def decode(data: bytes, group: str, max_items: int) -> Message:
    """Read a message of `group` with at most `max_items` records and as many entries.

    Raises MalformedMessageError for bytes that are truncated, foreign or out of bounds.
    """
    try:
        message: Message = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise MalformedMessageError(MalformedReason.UNREADABLE) from None
    if message.header.group != group:
        raise MalformedMessageError(MalformedReason.FOREIGN_GROUP)
    if message.header.version < 1:
        raise MalformedMessageError(MalformedReason.UNKNOWN_VERSION)
    _check_records(records_of(message), max_items)
    _check_entries(entries_of(message), max_items)
    return message


def _check_records(records: list[MemberRecord], max_records: int) -> None:
    if len(records) > max_records:
        raise MalformedMessageError(MalformedReason.TOO_MANY_RECORDS)
    if not all(_is_valid_record(record) for record in records):
        raise MalformedMessageError(MalformedReason.INVALID_RECORD)


def _is_valid_record(record: MemberRecord) -> bool:
    return (
        0 < len(record.name) <= MAX_NAME_LENGTH
        and len(record.address) <= MAX_NAME_LENGTH
        and len(record.zone) <= MAX_NAME_LENGTH
        and len(record.facts) <= MAX_FACTS
        and record.incarnation >= 0
    )


def _check_entries(entries: list[GossipEntry], max_entries: int) -> None:
    if len(entries) > max_entries:
        raise MalformedMessageError(MalformedReason.TOO_MANY_ENTRIES)
    if not all(_is_valid_entry(entry) for entry in entries):
        raise MalformedMessageError(MalformedReason.INVALID_ENTRY)


def _is_valid_entry(entry: GossipEntry) -> bool:
    figures = (entry.value, entry.age_s, entry.lifetime_s)
    return (
        0 < len(entry.key) <= MAX_ENTRY_KEY_LENGTH
        and 0 < len(entry.author) <= MAX_NAME_LENGTH
        and 0 <= entry.lamport_time <= MAX_LAMPORT_TIME
        and all(math.isfinite(figure) and 0 <= figure <= MAX_ENTRY_FIGURE for figure in figures)
    )

"""The messages of the membership protocol and their MessagePack encoding.

Every struct is encoded as an array, so the order of its fields is part of the wire format and their names
are not. New fields are only added at the end: fields that only a newer version has are ignored, and fields
that an older version lacks take their defaults. Each message carries the protocol's version and the group's
name.
"""

from __future__ import annotations

import math
from enum import IntEnum, StrEnum

import msgspec

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 1400  # no usual network fragments a datagram of this size
MAX_NAME_LENGTH = 128
MAX_FACTS = 16
MAX_ENTRY_KEY_LENGTH = 300  # a key is a prefix and a worker's id
MAX_ENTRY_NUMBER = 1e12  # of an entry's value, age and lifetime
MAX_LAMPORT_TIME = 1 << 52


class MemberState(IntEnum):
    """The state that a record gives a member. At equal incarnations the record with the larger state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """An alive, suspect, dead or left record: what one member states about another, or about itself."""

    name: str
    run_id: int  # random number of each process: distinguishes two processes with one name
    address: str
    zone: str
    incarnation: int  # only the member itself increases it
    state: MemberState
    facts: dict[str, float] = {}  # msgspec copies the default for each instance
    accuser: str = ""  # the member that suspects it; each further accuser confirms the suspicion


class GossipEntry(msgspec.Struct, frozen=True, array_like=True):
    """A small value with an age that a member shares with the others; see entries.py for the rules."""

    key: str
    author: str
    lamport_time: int
    value: float
    age_s: float
    lifetime_s: float  # from the entry's creation until it expires
    is_shared: bool = False  # one register for the whole group instead of one for each author


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
    target: str  # the probed member's name: another member may use its address by now
    records: list[MemberRecord] = []
    entries: list[GossipEntry] = []


class Ping(_ProbeMessage, frozen=True, array_like=True, tag=1):
    """A probe: the target answers with an Ack."""


class Ack(_ProbeMessage, frozen=True, array_like=True, tag=2):
    """The target's answer to a probe."""


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """An indirect probe: the receiver probes the target on the sender's behalf (SWIM's ping-req)."""

    header: Header
    sequence_number: int
    target: str
    address: str
    records: list[MemberRecord] = []


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A helper's report that the target of an indirect probe did not answer it in time (Lifeguard)."""

    header: Header
    sequence_number: int
    target: str


class PushPull(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The sender's complete state, sent by stream. With `wants_reply` the receiver replies with its own."""

    header: Header
    wants_reply: bool
    records: list[MemberRecord]
    entries: list[GossipEntry] = []


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Urgent entries, which are sent without waiting for the next probe."""

    header: Header
    entries: list[GossipEntry]


class PullRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A request for a document that the receiver may offer, sent by stream."""

    header: Header
    topic: str


class PullReply(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The requested document. Its body is opaque to the membership protocol."""

    header: Header
    topic: str
    body: bytes


Message = Ping | Ack | PingRequest | Nack | PushPull | Gossip | PullRequest | PullReply


class MalformedReason(StrEnum):
    """Why a message was rejected. The admin API counts rejections by these values."""

    UNREADABLE = "unreadable"
    FOREIGN_GROUP = "foreign"
    UNKNOWN_VERSION = "version"
    TOO_MANY_RECORDS = "too many claims"
    INVALID_RECORD = "absurd claim"
    TOO_MANY_ENTRIES = "too many notes"
    INVALID_ENTRY = "absurd note"


class MalformedMessageError(ValueError):
    """Raised by `decode` for bytes that are not a valid message of this group."""

    def __init__(self, reason: MalformedReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Return the message's encoding."""
    return _encoder.encode(message)


def encoded_size(part: MemberRecord | GossipEntry) -> int:
    """Return the number of bytes that a record or an entry adds to a message."""
    return len(_encoder.encode(part))


def records_of(message: Message) -> list[MemberRecord]:
    """Return the message's member records: none for kinds of messages that carry none."""
    records: list[MemberRecord] = getattr(message, "records", [])
    return records


def entries_of(message: Message) -> list[GossipEntry]:
    """Return the message's gossip entries: none for kinds of messages that carry none."""
    entries: list[GossipEntry] = getattr(message, "entries", [])
    return entries


def decode(data: bytes, group: str, max_items: int) -> Message:
    """Decode a message of `group` with at most `max_items` records and at most `max_items` entries.

    Raises MalformedMessageError for a message that is truncated, of another group or out of bounds.
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
    numbers = (entry.value, entry.age_s, entry.lifetime_s)
    return (
        0 < len(entry.key) <= MAX_ENTRY_KEY_LENGTH
        and 0 < len(entry.author) <= MAX_NAME_LENGTH
        and 0 <= entry.lamport_time <= MAX_LAMPORT_TIME
        and all(math.isfinite(number) and 0 <= number <= MAX_ENTRY_NUMBER for number in numbers)
    )

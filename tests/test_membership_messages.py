"""The membership messages are compared with recorded bytes, which guards the wire format against changes."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from oxbowyard.membership.messages import (
    Ack,
    Gossip,
    GossipEntry,
    Header,
    MemberRecord,
    MemberState,
    Message,
    Nack,
    Ping,
    PingRequest,
    PullReply,
    PullRequest,
    PushPull,
    decode,
    encode,
)

FIXTURE = Path(__file__).parent / "fixtures/membership_messages.json"
RECORDED: dict[str, str] = json.loads(FIXTURE.read_text())

HEADER = Header(1, "oxbowyard", "m1", 0xBEEF12345678, "10.0.0.1:7946")
OTHER_HEADER = Header(7, "yard-2", "scheduler-ß", 1, "[later]")
FACTS = {"state": 1.0, "held": 12.0, "slots": 384.5, "major": 0.0, "minor": 1.0}
ALIVE = MemberRecord("m2", 77, "10.0.0.2:7946", "z1", 3, MemberState.ALIVE, FACTS)
SUSPECT = MemberRecord("m3", 78, "10.0.0.3:7946", "z2", 0, MemberState.SUSPECT, {}, "m1")
DEAD = MemberRecord("m4", 79, "10.0.0.4:7946", "", 300, MemberState.DEAD, {}, "m2")
LEFT = MemberRecord("m5", 0, "10.0.0.5:7946", "z0", 70_000, MemberState.LEFT, {"state": 3.0})
RECORDS = [ALIVE, SUSPECT, DEAD, LEFT]
EJECTED = GossipEntry("bar:w1", "m1", 9, 0.0, 0.25, 0.8)
COLD = GossipEntry("cold:w2", "m3", 1, 2.5, 0.0, 7.5)
DRAINED = GossipEntry("out:w3", "m2", 0, 1.0, 3.5, 1e9, True)
ENTRIES = [EJECTED, COLD, DRAINED]

MESSAGES: dict[str, Message] = {
    "ping": Ping(HEADER, 5, "m2"),
    "ping with records and entries": Ping(HEADER, 0x7FFFFFFF, "m2", RECORDS, ENTRIES),
    "ack": Ack(HEADER, 5, "m1"),
    "ack with records and entries": Ack(OTHER_HEADER, 6, "m1", [SUSPECT], [DRAINED]),
    "ping request": PingRequest(HEADER, 7, "m3", "10.0.0.3:7946"),
    "ping request with records": PingRequest(HEADER, 7, "m3", "10.0.0.3:7946", [ALIVE, DEAD]),
    "nack": Nack(HEADER, 8, ""),
    "push-pull that wants a reply": PushPull(HEADER, True, RECORDS, ENTRIES),
    "push-pull reply without entries": PushPull(OTHER_HEADER, False, [ALIVE]),
    "gossip": Gossip(HEADER, ENTRIES),
    "pull request": PullRequest(HEADER, "list"),
    "pull reply": PullReply(HEADER, "list", b'{"rev":7}\x00\xff'),
}


def test_each_kind_of_message_is_recorded() -> None:
    assert RECORDED.keys() == MESSAGES.keys()
    kinds = {Ack, Gossip, Nack, Ping, PingRequest, PullReply, PullRequest, PushPull}
    assert {type(message) for message in MESSAGES.values()} == kinds


@pytest.mark.parametrize("name", list(MESSAGES))
def test_message_is_encoded_and_decoded_as_recorded(name: str) -> None:
    message = MESSAGES[name]
    assert encode(message).hex() == RECORDED[name]
    assert decode(bytes.fromhex(RECORDED[name]), message.header.group, 64) == message

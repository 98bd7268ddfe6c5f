"""The membership messages' bytes: those of the program before its names changed, sent and read alike."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from oxbowyard.membership.messages import (
    Ack,
    Claim,
    Given,
    Head,
    Message,
    Nack,
    Note,
    Ping,
    PingFor,
    State,
    Sync,
    Told,
    Want,
    decode,
    encode,
)

FIXTURE = Path(__file__).parent / "fixtures/membership_messages.json"
RECORDED: dict[str, str] = json.loads(FIXTURE.read_text())

HEAD = Head(1, "oxbowyard", "m1", 0xBEEF12345678, "10.0.0.1:7946")
OTHER_HEAD = Head(7, "yard-2", "scheduler-ß", 1, "[later]")
FACTS = {"state": 1.0, "held": 12.0, "slots": 384.5, "major": 0.0, "minor": 1.0}
ALIVE = Claim("m2", 77, "10.0.0.2:7946", "z1", 3, State.ALIVE, FACTS)
SUSPECT = Claim("m3", 78, "10.0.0.3:7946", "z2", 0, State.SUSPECT, {}, "m1")
DEAD = Claim("m4", 79, "10.0.0.4:7946", "", 300, State.DEAD, {}, "m2")
LEFT = Claim("m5", 0, "10.0.0.5:7946", "z0", 70_000, State.LEFT, {"state": 3.0})
RECORDS = [ALIVE, SUSPECT, DEAD, LEFT]
EJECTED = Note("bar:w1", "m1", 9, 0.0, 0.25, 0.8)
COLD = Note("cold:w2", "m3", 1, 2.5, 0.0, 7.5)
DRAINED = Note("out:w3", "m2", 0, 1.0, 3.5, 1e9, True)
ENTRIES = [EJECTED, COLD, DRAINED]

MESSAGES: dict[str, Message] = {
    "ping": Ping(HEAD, 5, "m2"),
    "ping with records and entries": Ping(HEAD, 0x7FFFFFFF, "m2", RECORDS, ENTRIES),
    "ack": Ack(HEAD, 5, "m1"),
    "ack with records and entries": Ack(OTHER_HEAD, 6, "m1", [SUSPECT], [DRAINED]),
    "ping request": PingFor(HEAD, 7, "m3", "10.0.0.3:7946"),
    "ping request with records": PingFor(HEAD, 7, "m3", "10.0.0.3:7946", [ALIVE, DEAD]),
    "nack": Nack(HEAD, 8, ""),
    "push-pull that wants a reply": Sync(HEAD, True, RECORDS, ENTRIES),
    "push-pull reply without entries": Sync(OTHER_HEAD, False, [ALIVE]),
    "gossip": Told(HEAD, ENTRIES),
    "pull request": Want(HEAD, "list"),
    "pull reply": Given(HEAD, "list", b'{"rev":7}\x00\xff'),
}


def test_each_kind_of_message_is_recorded() -> None:
    assert RECORDED.keys() == MESSAGES.keys()
    assert {type(message) for message in MESSAGES.values()} == {
        Ack, Given, Nack, Ping, PingFor, Sync, Told, Want,
    }  # fmt: skip


@pytest.mark.parametrize("name", list(MESSAGES))
def test_a_message_is_sent_and_read_as_before_the_renaming(name: str) -> None:
    message = MESSAGES[name]
    assert encode(message).hex() == RECORDED[name]
    assert decode(bytes.fromhex(RECORDED[name]), message.head.group, 64) == message

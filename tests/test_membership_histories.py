"""Recorded histories of the membership protocol in virtual time: every step and every byte stays the same.

A history is one seed's: kills, restarts, pauses, cuts, loss, entries and leaves among a group of members.
What each member does in it (bytes sent, where to and how, events, entries delivered, its next timer) goes
into one digest. tests/fixtures/membership_histories.json holds those of commit 52dd340, written at it by

    python -m tests.test_membership_histories > tests/fixtures/membership_histories.json
"""

from __future__ import annotations

import hashlib
import json
from pathlib import Path
from random import Random

import pytest

from benchmarks.faults.virtual_group import Node, VirtualGroup
from oxbowyard.membership.events import EntryWritten, FactsChanged
from oxbowyard.membership.instructions import DeliverEntry, Instruction, MemberEventKind, NotifyMemberEvent
from oxbowyard.membership.messages import encode
from oxbowyard.membership.settings import ProtocolSettings

FIXTURE = Path(__file__).parent / "fixtures/membership_histories.json"

EVENT_CODES = {
    MemberEventKind.JOINED: "joined",
    MemberEventKind.SUSPECTED: "suspected",
    MemberEventKind.CLEARED: "cleared",
    MemberEventKind.DIED: "died",
    MemberEventKind.LEFT: "left",
    MemberEventKind.RETURNED: "returned",
    MemberEventKind.CONFLICT: "conflict",
    MemberEventKind.REFUTED: "refuted",
    MemberEventKind.STALLED: "stood still",
    MemberEventKind.REJECTED: "full",
}

HISTORIES: dict[str, tuple[int, int, ProtocolSettings]] = {
    "8 members, seed 1": (8, 1, ProtocolSettings()),
    "8 members, seed 2": (8, 2, ProtocolSettings()),
    "8 members, seed 3": (8, 3, ProtocolSettings()),
    "5 members, seed 4, at most 3 known": (5, 4, ProtocolSettings(max_members=3)),
    "8 members, seed 5, no stream probe": (
        8,
        5,
        ProtocolSettings(stream_probe_enabled=False, confirmation_count=0),
    ),
    "8 members, seed 6, dead soon forgotten": (8, 6, ProtocolSettings(dead_retention_s=20.0)),
    "24 members, seed 7": (24, 7, ProtocolSettings()),
}


class RecordedGroup(VirtualGroup):
    """A virtual group that digests all that its members do."""

    def __init__(self, size: int, seed: int, settings: ProtocolSettings) -> None:
        self.digest = hashlib.sha256()
        self.steps = 0
        super().__init__(size, seed, settings)

    def _execute(self, node: Node, instructions: list[Instruction]) -> None:
        for instruction in instructions:
            self._record(f"{self.now!r} {node.name} {_line(instruction)}")
        super()._execute(node, instructions)
        protocol = node.protocol
        self._record(f"{node.name} due {protocol.due_at!r} health {protocol.health_score}")

    def _record(self, line: str) -> None:
        self.steps += 1
        self.digest.update(line.encode() + b"\n")


def _line(instruction: Instruction) -> str:
    if isinstance(instruction, NotifyMemberEvent):
        return f"event {EVENT_CODES[instruction.kind]} {instruction.name} {_detail(instruction)}"
    if isinstance(instruction, DeliverEntry):
        e = instruction.entry
        figures = f"{e.lamport_time} {e.value!r} {e.age_s!r} {e.lifetime_s!r}"
        return f"entry {e.key} {e.author} {figures} {e.is_shared}"
    return f"send {instruction.address} {instruction.by_stream} {encode(instruction.message).hex()}"


def _detail(event: NotifyMemberEvent) -> str:
    if event.kind is MemberEventKind.STALLED:
        return f"{event.stalled_s:.1f} s"
    if event.kind in (MemberEventKind.CONFLICT, MemberEventKind.REJECTED):
        return event.address
    return event.accuser


def play(size: int, seed: int, settings: ProtocolSettings) -> dict[str, object]:
    """One history: its digest, its number of steps, and how often each kind of event came."""
    group, random = RecordedGroup(size, seed, settings), Random(seed)
    group.run(15.0)
    for turn in range(8):
        group.reads_sockets_first = random.random() < 0.5
        group.link.loss, group.link.duplication = random.choice((0.0, 0.1, 0.3)), random.choice((0.0, 0.3))
        name, other = random.sample(sorted(group.nodes), 2)
        group.dispatch(group.nodes[name], FactsChanged({"state": 1.0, "held": float(turn)}))
        group.write(name, EntryWritten(f"bar:w{turn}", 0.0, 6.0, is_urgent=True))
        group.write(other, EntryWritten("out:w1", float(turn % 2), 1e6, True, is_urgent=turn % 3 > 0))
        match turn % 6:
            case 0:
                group.pause(name, random.choice((0.5, 5.0, 12.0)))
            case 1:
                group.cut(name, other, both=False)
            case 2:
                gone = group.kill(name).protocol.me
                group.run(group.now + random.uniform(0.1, 4.0))
                group.add(name, gone.address, gone.zone, ("10.0.0.0:1", "10.0.0.1:1"))
            case 3:
                for third in group.nodes:
                    group.cut(name, third)
            case 4:
                group.add(f"late{turn}", f"10.9.0.{turn}:1", "z1", ("10.0.0.1:1",))
                twin = group.nodes[name]
                group.add(name, "10.9.9.9:1", "z2", ("10.0.0.0:1",))
                group.nodes["twin"] = twin
            case 5:
                group.cuts.clear()
                group.leave(name)
        group.run(group.now + random.uniform(3.0, 12.0))
    group.link.loss = group.link.duplication = 0.0
    group.cuts.clear()
    group.run(group.now + 30.0)
    events = {code: len(list(group.events(kind))) for kind, code in EVENT_CODES.items()}
    return {"digest": group.digest.hexdigest(), "steps": group.steps, "events": events}


@pytest.mark.parametrize("name", list(HISTORIES))
def test_a_history_is_the_same_as_before_the_renaming(name: str) -> None:
    assert play(*HISTORIES[name]) == json.loads(FIXTURE.read_text())[name]


def test_the_recorded_histories_hold_each_kind_of_event() -> None:
    recorded = json.loads(FIXTURE.read_text())
    assert recorded.keys() == HISTORIES.keys()
    assert all(any(history["events"][code] for history in recorded.values()) for code in EVENT_CODES.values())


if __name__ == "__main__":
    print(json.dumps({name: play(*history) for name, history in HISTORIES.items()}, indent=1))

"""Recorded histories of the membership protocol in virtual time, which guard against any change of behaviour.

The seed of a history determines its kills, restarts, pauses, partitions, loss, entries and leaves. One digest
covers all that each member does: the bytes that it sends with address and transport, its events, the entries
that it delivers, and its next timer. tests/fixtures/membership_histories.json holds the digests of commit
52dd340, where they were written by

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
    """A virtual group that computes a digest of all that its members do."""

    def __init__(self, size: int, seed: int, settings: ProtocolSettings) -> None:
        self.digest = hashlib.sha256()
        self.steps = 0
        super().__init__(size, seed, settings)

    def _execute(self, node: Node, instructions: list[Instruction]) -> None:
        for instruction in instructions:
            self._record(f"{self.now!r} {node.name} {_format_instruction(instruction)}")
        super()._execute(node, instructions)
        protocol = node.protocol
        self._record(f"{node.name} due {protocol.due_at!r} health {protocol.health_score}")

    def _record(self, line: str) -> None:
        self.steps += 1
        self.digest.update(line.encode() + b"\n")


def _format_instruction(instruction: Instruction) -> str:
    if isinstance(instruction, NotifyMemberEvent):
        return f"event {EVENT_CODES[instruction.kind]} {instruction.name} {_event_detail(instruction)}"
    if isinstance(instruction, DeliverEntry):
        entry = instruction.entry
        numbers = f"{entry.lamport_time} {entry.value!r} {entry.age_s!r} {entry.lifetime_s!r}"
        return f"entry {entry.key} {entry.author} {numbers} {entry.is_shared}"
    return f"send {instruction.address} {instruction.by_stream} {encode(instruction.message).hex()}"


def _event_detail(event: NotifyMemberEvent) -> str:
    if event.kind is MemberEventKind.STALLED:
        return f"{event.stalled_s:.1f} s"
    if event.kind in (MemberEventKind.CONFLICT, MemberEventKind.REJECTED):
        return event.address
    return event.accuser


def run_history(size: int, seed: int, settings: ProtocolSettings) -> dict[str, object]:
    """Run one history; return its digest, its number of steps, and the count of each kind of event."""
    group, random = RecordedGroup(size, seed, settings), Random(seed)
    group.run(15.0)
    for step in range(8):
        group.reads_sockets_first = random.random() < 0.5
        group.link.loss, group.link.duplication = random.choice((0.0, 0.1, 0.3)), random.choice((0.0, 0.3))
        name, other = random.sample(sorted(group.nodes), 2)
        group.dispatch(group.nodes[name], FactsChanged({"state": 1.0, "held": float(step)}))
        group.write(name, EntryWritten(f"bar:w{step}", 0.0, 6.0, is_urgent=True))
        group.write(other, EntryWritten("out:w1", float(step % 2), 1e6, True, is_urgent=step % 3 > 0))
        match step % 6:
            case 0:
                group.pause(name, random.choice((0.5, 5.0, 12.0)))
            case 1:
                group.cut(name, other, both=False)
            case 2:
                killed = group.kill(name).protocol.me
                group.run(group.now + random.uniform(0.1, 4.0))
                group.add(name, killed.address, killed.zone, ("10.0.0.0:1", "10.0.0.1:1"))
            case 3:
                for third in group.nodes:
                    group.cut(name, third)
            case 4:
                group.add(f"late{step}", f"10.9.0.{step}:1", "z1", ("10.0.0.1:1",))
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
def test_history_matches_its_recorded_digest(name: str) -> None:
    assert run_history(*HISTORIES[name]) == json.loads(FIXTURE.read_text())[name]


def test_recorded_histories_cover_each_kind_of_event() -> None:
    recorded = json.loads(FIXTURE.read_text())
    assert recorded.keys() == HISTORIES.keys()
    assert all(any(history["events"][code] for history in recorded.values()) for code in EVENT_CODES.values())


if __name__ == "__main__":
    print(json.dumps({name: run_history(*history) for name, history in HISTORIES.items()}, indent=1))

"""Recorded histories of the membership protocol in virtual time: every step and every byte stays the same.

A history is one seed's: kills, restarts, pauses, cuts, loss, entries and leaves among a group of members.
What each member does in it (bytes sent, where to and how, events, entries delivered, its next timer) goes
into one digest. tests/fixtures/membership_histories.json has those of commit 52dd340, written at it by

    python -m tests.test_membership_histories > tests/fixtures/membership_histories.json
"""

from __future__ import annotations

import hashlib
import json
from pathlib import Path
from random import Random

import pytest

from benchmarks.faults.virtual_group import Node, VirtualGroup
from oxbowyard.membership.messages import encode
from oxbowyard.membership.protocol import Action, Happened, Heard, Notice
from oxbowyard.membership.settings import GroupSettings

FIXTURE = Path(__file__).parent / "fixtures/membership_histories.json"

EVENT_CODES = {
    Happened.JOINED: "joined",
    Happened.SUSPECTED: "suspected",
    Happened.CLEARED: "cleared",
    Happened.DIED: "died",
    Happened.LEFT: "left",
    Happened.RETURNED: "returned",
    Happened.CONFLICT: "conflict",
    Happened.REFUTED: "refuted",
    Happened.STOOD_STILL: "stood still",
    Happened.FULL: "full",
}

HISTORIES: dict[str, tuple[int, int, GroupSettings]] = {
    "8 members, seed 1": (8, 1, GroupSettings()),
    "8 members, seed 2": (8, 2, GroupSettings()),
    "8 members, seed 3": (8, 3, GroupSettings()),
    "5 members, seed 4, at most 3 known": (5, 4, GroupSettings(most_members=3)),
    "8 members, seed 5, no stream probe": (8, 5, GroupSettings(by_stream=False, confirmations=0)),
    "8 members, seed 6, dead soon forgotten": (8, 6, GroupSettings(forget=20.0)),
    "24 members, seed 7": (24, 7, GroupSettings()),
}


class RecordedGroup(VirtualGroup):
    """A virtual group that digests all that its members do."""

    def __init__(self, size: int, seed: int, settings: GroupSettings) -> None:
        self.digest = hashlib.sha256()
        self.steps = 0
        super().__init__(size, seed, settings)

    def _carry_out(self, node: Node, actions: list[Action]) -> None:
        for action in actions:
            self._record(f"{self.now!r} {node.name} {_line(action)}")
        super()._carry_out(node, actions)
        self._record(f"{node.name} due {node.group.due!r} health {node.group.health}")

    def _record(self, line: str) -> None:
        self.steps += 1
        self.digest.update(line.encode() + b"\n")


def _line(action: Action) -> str:
    if isinstance(action, Notice):
        return f"event {EVENT_CODES[action.what]} {action.name} {action.detail}"
    if isinstance(action, Heard):
        n = action.note
        return f"entry {n.about} {n.by} {n.count} {n.value!r} {n.age!r} {n.lasts!r} {n.common}"
    return f"send {action.address} {action.stream} {encode(action.message).hex()}"


def _publish(group: RecordedGroup, name: str, held: float) -> None:
    node = group.nodes[name]
    group._carry_out(node, node.group.publish({"state": 1.0, "held": held}))


def play(size: int, seed: int, settings: GroupSettings) -> dict[str, object]:
    """One history: its digest, its number of steps, and how often each kind of event came."""
    group, random = RecordedGroup(size, seed, settings), Random(seed)
    group.run(15.0)
    for turn in range(8):
        group.reads_first = random.random() < 0.5
        group.link.loss, group.link.doubled = random.choice((0.0, 0.1, 0.3)), random.choice((0.0, 0.3))
        name, other = random.sample(sorted(group.nodes), 2)
        _publish(group, name, float(turn))
        group.say(name, f"bar:w{turn}", 0.0, 6.0, at_once=True)
        group.say(other, "out:w1", float(turn % 2), 1e6, common=True, at_once=turn % 3 > 0)
        match turn % 6:
            case 0:
                group.stop(name, random.choice((0.5, 5.0, 12.0)))
            case 1:
                group.cut(name, other, both=False)
            case 2:
                gone = group.kill(name).group.me
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
    group.link.loss = group.link.doubled = 0.0
    group.cuts.clear()
    group.run(group.now + 30.0)
    events = {
        code: len(list(group.notices(what)))
        for what, code in EVENT_CODES.items()
    }  # fmt: skip
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

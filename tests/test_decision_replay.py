"""The histories of the decision replay are deterministic and cover every event and action."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import orjson
import pytest

from benchmarks import decision_replay

RECORDED = Path(__file__).parent / "fixtures" / "decision_replay.json"


@pytest.mark.parametrize("name", ["ordered", "replaced", "private"])
def test_same_seed_gives_the_same_history(name: str) -> None:
    draw = replace(next(d for d in decision_replay.SCENARIOS if d.name == name), seconds=10.0)
    first, second = decision_replay.World(draw, 3), decision_replay.World(draw, 3)
    first.run()
    second.run()
    assert first.digest.digest() == second.digest.digest() and first.count["outcome"] > 100


def test_different_seeds_give_different_histories() -> None:
    draw = replace(decision_replay.SCENARIOS[0], seconds=5.0)
    digests = set()
    for seed in (1, 2):
        world = decision_replay.World(draw, seed)
        world.run()
        digests.add(world.digest.digest())
    assert len(digests) == 2


def test_recorded_histories_cover_all_events_and_actions() -> None:
    recorded = orjson.loads(RECORDED.read_bytes())
    assert set(recorded) == {draw.name for draw in decision_replay.SCENARIOS}
    assert sum(history["events"] for history in recorded.values()) >= 100_000
    seen = {name for history in recorded.values() for name in history["counts"]}
    expected = {"passOn", "decline", "giveUp", "abandon", "defer", "follow", "close"}
    assert {f"-> {name}" for name in expected} <= seen
    assert {"powerOff", "aborted", "ackFirst", "notice", "membership", "reminder"} <= seen

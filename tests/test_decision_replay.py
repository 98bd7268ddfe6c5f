from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import orjson
import pytest

from benchmarks import decision_replay

RECORDED = Path(__file__).parent / "fixtures" / "decision_replay.json"


@pytest.mark.parametrize("name", ["ordered", "replaced", "private"])
def test_a_history_is_the_same_each_time(name: str) -> None:
    draw = replace(next(d for d in decision_replay.SCENARIOS if d.name == name), seconds=10.0)
    first, second = decision_replay.World(draw, 3), decision_replay.World(draw, 3)
    first.run()
    second.run()
    assert first.digest.digest() == second.digest.digest() and first.count["outcome"] > 100


def test_another_seed_is_another_history() -> None:
    draw = replace(decision_replay.SCENARIOS[0], seconds=5.0)
    digests = set()
    for seed in (1, 2):
        world = decision_replay.World(draw, seed)
        world.run()
        digests.add(world.digest.digest())
    assert len(digests) == 2


def test_the_recorded_histories_cover_what_the_decisions_know() -> None:
    recorded = orjson.loads(RECORDED.read_bytes())
    assert set(recorded) == {draw.name for draw in decision_replay.SCENARIOS}
    assert sum(history["events"] for history in recorded.values()) >= 100_000
    seen = {name for history in recorded.values() for name in history["counts"]}
    wanted = {"passOn", "decline", "giveUp", "abandon", "defer", "follow", "close"}
    assert {f"-> {name}" for name in wanted} <= seen
    assert {"powerOff", "aborted", "ackFirst", "notice", "membership", "reminder"} <= seen

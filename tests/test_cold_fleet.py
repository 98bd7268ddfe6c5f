"""Cold workers under the sum of schedulers that share nothing: none falls, whatever these have learned.

A bounded part of `python -m benchmarks.cold_fleet`.
"""

from __future__ import annotations

from collections.abc import Collection

import pytest

from benchmarks.cold_fleet import SCENES, play
from oxbowyard.decision import estimators

SEEDS = range(6)


@pytest.mark.parametrize("name", [name for name, scene in SCENES.items() if scene.schedulers in (3, 20, 30)])
def test_no_cold_worker_falls_under_the_sum(name: str) -> None:
    results = [play(SCENES[name], seed) for seed in SEEDS]
    assert max(result.most_of_bound for result in results) <= 1.0
    assert not any(result.fallen for result in results)
    assert sum(result.in_time for result in results) > 0.75 * sum(result.asked for result in results)


def test_they_fall_where_only_jobs_that_ended_count(monkeypatch: pytest.MonkeyPatch) -> None:
    """The jobs that end first are the short ones: by them alone a worker seems to bear far more."""

    def of_the_ended(mean: float, ended: int, running: Collection[float], prior: float) -> float:
        return mean or prior

    monkeypatch.setattr(estimators, "censored_mean", of_the_ended)
    scene = SCENES["30 schedulers, 12 cold, fresh"]
    assert any(play(scene, seed).fallen for seed in range(20))


def test_what_still_runs_counts_in_a_mean() -> None:
    assert estimators.censored_mean(0.0, 0, [], 3000.0) == 3000.0, "nothing is known: the prior"
    assert estimators.censored_mean(100.0, 2, [], 3000.0) == pytest.approx(3200.0 / 3)
    assert estimators.censored_mean(100.0, 2, [400.0] * 6, 3000.0) == pytest.approx(5600.0 / 3)
    assert estimators.censored_mean(1000.0, 199, [500.0], 3000.0) == pytest.approx(1000.0, rel=0.02)

"""Cold workers are not overloaded by the combined sends of schedulers that share no state.

This is a bounded part of `python -m benchmarks.cold_fleet`.
"""

from __future__ import annotations

from collections.abc import Collection

import pytest

from benchmarks.cold_fleet import SCENES, play
from oxbowyard.decision import estimators

SEEDS = range(6)


@pytest.mark.parametrize("name", [name for name, scene in SCENES.items() if scene.schedulers in (3, 20, 30)])
def test_combined_sends_overload_no_cold_worker(name: str) -> None:
    results = [play(SCENES[name], seed) for seed in SEEDS]
    assert max(result.most_of_bound for result in results) <= 1.0
    assert not any(result.fallen for result in results)
    assert sum(result.in_time for result in results) > 0.75 * sum(result.asked for result in results)


def test_cold_workers_are_overloaded_if_only_ended_jobs_count(monkeypatch: pytest.MonkeyPatch) -> None:
    """Short jobs end first: from them alone the capacity of a worker is greatly overestimated."""

    def mean_of_ended(mean: float, ended: int, running: Collection[float], prior: float) -> float:
        return mean or prior

    monkeypatch.setattr(estimators, "censored_mean", mean_of_ended)
    scene = SCENES["30 schedulers, 12 cold, fresh"]
    assert any(play(scene, seed).fallen for seed in range(20))


def test_censored_mean_includes_running_jobs() -> None:
    assert estimators.censored_mean(0.0, 0, [], 3000.0) == 3000.0, "without samples the prior applies"
    assert estimators.censored_mean(100.0, 2, [], 3000.0) == pytest.approx(3200.0 / 3)
    assert estimators.censored_mean(100.0, 2, [400.0] * 6, 3000.0) == pytest.approx(5600.0 / 3)
    assert estimators.censored_mean(1000.0, 199, [500.0], 3000.0) == pytest.approx(1000.0, rel=0.02)

"""Estimators without decisions: running means, decaying scores and sets of recently used items."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field


def censored_mean(mean: float, ended_count: int, running: Collection[float], prior: float) -> float:
    """Return the mean duration of jobs: `ended_count` have ended, with this `mean`, and others still run.

    It is the total observed time over the number of ended jobs: a mean of the ended jobs alone would favour
    short ones, which end first. `prior` counts as one more ended job. All durations have the same unit.
    """
    return (mean * ended_count + sum(running) + prior) / (ended_count + 1)


class RunningMeans:
    """Running means by name. After `max_samples` values, earlier ones decay exponentially."""

    __slots__ = ("_max_samples", "_means")

    def __init__(self, max_samples: int) -> None:
        self._max_samples = max_samples
        self._means: dict[str, tuple[int, float]] = {}

    def add(self, name: str, value: float) -> float:
        """Add a value and return the previous mean, or the value itself if it is the first."""
        count, mean = self._means.get(name, (0, value))
        self._means[name] = count + 1, mean + (value - mean) / min(count + 1, self._max_samples)
        return mean

    def mean(self, name: str, default: float = 0.0) -> float:
        """Return the mean, or the default if there is no value yet."""
        return self._means.get(name, (0, default))[1]

    def count(self, name: str) -> int:
        """Return the number of values added."""
        return self._means.get(name, (0, 0.0))[0]

    def state(self) -> dict[str, tuple[int, float]]:
        """Return the number of values and their mean, by name."""
        return dict(self._means)

    def restore(self, state: Mapping[str, tuple[int, float]]) -> None:
        """Restore a state, except for names that already have more values here."""
        for name, (count, mean) in state.items():
            if count > self.count(name):
                self._means[name] = count, mean

    def __contains__(self, name: str) -> bool:
        return name in self._means

    def __iter__(self) -> Iterator[str]:
        return iter(self._means)


class MeanDifference:
    """The mean difference that a property makes to a value, over groups with different means."""

    __slots__ = ("_max_ratio", "_with", "_without", "difference")

    def __init__(self, max_samples: int, max_ratio: float) -> None:
        self._with = RunningMeans(max_samples)
        self._without = RunningMeans(max_samples)
        self._max_ratio = max_ratio  # larger values are clipped to this multiple of their mean
        self.difference = 0.0  # never below 0

    def add(self, group: str, has_property: bool, value: float) -> None:
        """Add a value of a group.

        The spread of a group is about proportional to its mean, so groups with small values weigh most. The
        weight of a group is also proportional to the number of values on its side with fewer of them.
        """
        side = self._with if has_property else self._without
        side.add(group, min(value, self._max_ratio * max(side.mean(group, value), 1.0)))
        weighted_sum = weights = 0.0
        for name in self._with:
            samples = min(self._with.count(name), self._without.count(name))
            weight = samples / max(self._with.mean(name) + self._without.mean(name), 1.0) ** 2
            weighted_sum += weight * (self._with.mean(name) - self._without.mean(name))
            weights += weight
        self.difference = max(weighted_sum, 0.0) / weights if weights else 0.0

    def state(self) -> tuple[dict[str, tuple[int, float]], dict[str, tuple[int, float]]]:
        """Return the means with and without the property."""
        return self._with.state(), self._without.state()

    def restore(
        self,
        with_property: Mapping[str, tuple[int, float]],
        without_property: Mapping[str, tuple[int, float]],
        difference: float,
    ) -> None:
        """Restore a state. The larger difference is retained."""
        self._with.restore(with_property)
        self._without.restore(without_property)
        self.difference = max(self.difference, difference)


@dataclass(slots=True)
class TimeWeightedMean:
    """The mean of a value over time, in which older values decay exponentially."""

    mean: float = 0.0
    updated_at_ms: float = 0.0

    def update(self, value: float, now: float, time_constant_ms: float) -> float:
        """Account for the value that held since the last update, and return the current mean."""
        if now > self.updated_at_ms:
            self.mean += (value - self.mean) * -math.expm1((self.updated_at_ms - now) / time_constant_ms)
            self.updated_at_ms = now
        return self.mean


@dataclass(slots=True)
class DecayingScore:
    """A score between 0 and 1 that decays exponentially."""

    value: float = 0.0
    updated_at_ms: float = 0.0

    def current(self, now: float, time_constant_ms: float) -> float:
        """Return the score after its decay."""
        return self.value * math.exp((self.updated_at_ms - now) / time_constant_ms)

    def add(self, amount: float, now: float, time_constant_ms: float) -> None:
        """Increase the score up to at most 1."""
        self.value = min(self.current(now, time_constant_ms) + amount, 1.0)
        self.updated_at_ms = now


@dataclass(slots=True)
class RecentItems:
    """A bounded set of the most recently used items."""

    items: dict[int, None] = field(default_factory=dict)

    def touch(self, item: int, max_items: int) -> bool:
        """Mark the item as most recently used, and return whether it was in the set before."""
        was_known = item in self.items
        self.items.pop(item, None)
        self.items[item] = None
        while len(self.items) > max(max_items, 1):
            del self.items[next(iter(self.items))]
        return was_known

    def __contains__(self, item: int) -> bool:
        return item in self.items

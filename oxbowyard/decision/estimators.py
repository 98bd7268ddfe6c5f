"""Estimators: running means, decaying scores, sets of recent items. They decide nothing."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field


def censored_mean(mean: float, ended: int, running: Collection[float], prior: float) -> float:
    """The mean duration of jobs of which `ended` have ended, with this `mean`, and others still run.

    The total time observed over the number of ends: counting ended jobs alone would favour short ones, which
    end first. `prior` counts as one more end. All durations are in one unit.
    """
    return (mean * ended + sum(running) + prior) / (ended + 1)


class RunningMeans:
    """Running means by name. Beyond `max_samples` values, earlier ones count less and less."""

    __slots__ = ("_max_samples", "_means")

    def __init__(self, max_samples: int) -> None:
        self._max_samples = max_samples
        self._means: dict[str, tuple[int, float]] = {}

    def add(self, name: str, value: float) -> float:
        """Add a value and return the mean before it, or the value itself if it is the first."""
        count, mean = self._means.get(name, (0, value))
        self._means[name] = count + 1, mean + (value - mean) / min(count + 1, self._max_samples)
        return mean

    def mean(self, name: str, default: float = 0.0) -> float:
        """The mean, or the default if there is no value yet."""
        return self._means.get(name, (0, default))[1]

    def count(self, name: str) -> int:
        """The number of values added."""
        return self._means.get(name, (0, 0.0))[0]

    def state(self) -> dict[str, tuple[int, float]]:
        """The number of values and their mean, by name."""
        return dict(self._means)

    def restore(self, state: Mapping[str, tuple[int, float]]) -> None:
        """Take over a state, except for names with more values here."""
        for name, (count, mean) in state.items():
            if count > self.count(name):
                self._means[name] = count, mean

    def __contains__(self, name: str) -> bool:
        return name in self._means

    def __iter__(self) -> Iterator[str]:
        return iter(self._means)


class MeanDifference:
    """How much larger a value is with a property than without it, over groups that vary differently."""

    __slots__ = ("_max_ratio", "_with", "_without", "difference")

    def __init__(self, max_samples: int, max_ratio: float) -> None:
        self._with = RunningMeans(max_samples)
        self._without = RunningMeans(max_samples)
        self._max_ratio = max_ratio  # a value counts for no more than this multiple of its mean
        self.difference = 0.0  # never below 0

    def add(self, group: str, has_property: bool, value: float) -> None:
        """Add a value of a group.

        Values of a group vary about as widely as they are large, so groups with small values weigh most; a
        group weighs as much as the side with fewer values.
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
        """The means with and without the property."""
        return self._with.state(), self._without.state()

    def restore(
        self,
        with_property: Mapping[str, tuple[int, float]],
        without_property: Mapping[str, tuple[int, float]],
        difference: float,
    ) -> None:
        """Take over a state."""
        self._with.restore(with_property)
        self._without.restore(without_property)
        self.difference = max(self.difference, difference)


@dataclass(slots=True)
class TimeWeightedMean:
    """The mean of a value over time; older values fade exponentially."""

    mean: float = 0.0
    updated_at_ms: float = 0.0

    def update(self, value: float, now: float, time_constant_ms: float) -> float:
        """The value was this since the last update; return the mean now."""
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
        """What is left of the score."""
        return self.value * math.exp((self.updated_at_ms - now) / time_constant_ms)

    def add(self, amount: float, now: float, time_constant_ms: float) -> None:
        """Increase the score, to 1 at most."""
        self.value = min(self.current(now, time_constant_ms) + amount, 1.0)
        self.updated_at_ms = now


@dataclass(slots=True)
class RecentItems:
    """The items used most recently, up to a number."""

    items: dict[int, None] = field(default_factory=dict)

    def touch(self, item: int, max_items: int) -> bool:
        """Make it the most recent item, and return whether it was among them before."""
        known = item in self.items
        self.items.pop(item, None)
        self.items[item] = None
        while len(self.items) > max(max_items, 1):
            del self.items[next(iter(self.items))]
        return known

    def __contains__(self, item: int) -> bool:
        return item in self.items

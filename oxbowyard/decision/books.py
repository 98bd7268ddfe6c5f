"""What the decisions are counted by: running means, what came last, a sorted order. Nothing here decides."""

from __future__ import annotations

import hashlib
import math
from bisect import bisect
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


def digest(name: str) -> int:
    """64 bits of a name, alike in every process, unlike hash()."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def rendezvous(key: int, salt: int, share: float) -> float:
    """The place of one of many in a key's order, the smallest first, alike in every process.

    Weighted rendezvous hashing (Schindelhauer and Schomaker, 2005): it comes first in so many keys' orders as
    its `share`, above 0, says. `key` and `salt` hold 64 bits.
    """
    mixed = ((key ^ salt) * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    mixed = ((mixed ^ (mixed >> 31)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    return -math.log((mixed + 1) / 2**64) / share


def censored_mean(mean: float, ended: int, running: Collection[float], prior: float) -> float:
    """The mean length of things of which `ended` have ended, with this mean, and others still run.

    All time that passed over the ends seen: without what still runs, the short ones, which end first, would
    stand for all. The prior counts as one more end. Lengths in one unit.
    """
    return (mean * ended + sum(running) + prior) / (ended + 1)


class Means:
    """The mean of a figure by name; past `most` samples the earlier ones fade."""

    __slots__ = ("_means", "_most")

    def __init__(self, most: int) -> None:
        self._most = most
        self._means: dict[str, tuple[int, float]] = {}

    def add(self, name: str, value: float) -> float:
        """Take a value in, and return the mean before it; of the first one, itself."""
        n, mean = self._means.get(name, (0, value))
        self._means[name] = n + 1, mean + (value - mean) / min(n + 1, self._most)
        return mean

    def of(self, name: str, otherwise: float = 0.0) -> float:
        """The mean, or this where there is none yet."""
        return self._means.get(name, (0, otherwise))[1]

    def count(self, name: str) -> int:
        """How many values were taken in."""
        return self._means.get(name, (0, 0.0))[0]

    def state(self) -> dict[str, tuple[int, float]]:
        """By name: how many values, and their mean."""
        return dict(self._means)

    def restore(self, state: Mapping[str, tuple[int, float]]) -> None:
        """Go on from this, but for names of which more values were taken in here."""
        for name, (count, mean) in state.items():
            if count > self.count(name):
                self._means[name] = count, mean

    def __contains__(self, name: str) -> bool:
        return name in self._means

    def __iter__(self) -> Iterator[str]:
        return iter(self._means)


class Contrast:
    """How much more a figure is with something than without it, over groups that scatter unlike."""

    __slots__ = ("_outlier", "_with", "_without", "more")

    def __init__(self, most: int, outlier: float) -> None:
        self._with, self._without = Means(most), Means(most)
        self._outlier = outlier  # a value counts for no more than this multiple of its mean
        self.more = 0.0  # 0 as well where it is less

    def add(self, group: str, has: bool, value: float) -> None:
        """Take a value in. The figures of a group scatter about as wide as they are large: the small ones
        tell most, and a group tells as much as the side of which it has seen less."""
        side = self._with if has else self._without
        side.add(group, min(value, self._outlier * max(side.of(group, value), 1.0)))
        more = weights = 0.0
        for name in self._with:
            seen = min(self._with.count(name), self._without.count(name))
            weight = seen / max(self._with.of(name) + self._without.of(name), 1.0) ** 2
            more += weight * (self._with.of(name) - self._without.of(name))
            weights += weight
        self.more = max(more, 0.0) / weights if weights else 0.0

    def state(self) -> tuple[dict[str, tuple[int, float]], dict[str, tuple[int, float]]]:
        """The means with and without it."""
        return self._with.state(), self._without.state()

    def restore(
        self, with_it: Mapping[str, tuple[int, float]], without: Mapping[str, tuple[int, float]], more: float
    ) -> None:
        """Go on from this."""
        self._with.restore(with_it)
        self._without.restore(without)
        self.more = max(self.more, more)


@dataclass(slots=True)
class Lately:
    """A count's mean over its time: what it was a span ago counts for a third."""

    mean: float = 0.0
    at: float = 0.0

    def take(self, value: float, now: float, span: float) -> float:
        """It was `value` since it was taken last; the mean now."""
        if now > self.at:
            self.mean += (value - self.mean) * -math.expm1((self.at - now) / span)
            self.at = now
        return self.mean


@dataclass(slots=True)
class Fading:
    """A figure between 0 and 1 that fades: a third is left after a span."""

    value: float = 0.0
    at: float = 0.0

    def left(self, now: float, span: float) -> float:
        """What is left of it."""
        return self.value * math.exp((self.at - now) / span)

    def add(self, more: float, now: float, span: float) -> None:
        """More of it, from now on."""
        self.value, self.at = min(self.left(now, span) + more, 1.0), now


@dataclass(slots=True)
class Latest:
    """The items met last, so many at most."""

    items: dict[int, None] = field(default_factory=dict)

    def meet(self, item: int, most: int) -> bool:
        """It is the last one now; say whether it was among them."""
        known = item in self.items
        self.items.pop(item, None)
        self.items[item] = None
        while len(self.items) > max(most, 1):
            del self.items[next(iter(self.items))]
        return known

    def __contains__(self, item: int) -> bool:
        return item in self.items


@dataclass(slots=True)
class Order(Generic[T]):
    """Things sorted by their places. One that is named later is put in where it belongs."""

    items: list[T] = field(default_factory=list)
    places: list[float] = field(default_factory=list)
    taken: int = 0  # so many of all ever named

    def upto(self, named: list[T], place: Callable[[T], float | None]) -> list[T]:
        """All that were named, but those without a place, in order: a change costs what it changes."""
        if self.taken < len(named):
            new = {at: thing for thing in named[self.taken :] if (at := place(thing)) is not None}
            if self.items:
                for at, thing in new.items():
                    index = bisect(self.places, at)
                    self.places.insert(index, at)
                    self.items.insert(index, thing)
            else:
                self.places = sorted(new)
                self.items = [new[at] for at in self.places]
            self.taken = len(named)
        return self.items

    def clear(self) -> None:
        """Begin anew."""
        self.items, self.places, self.taken = [], [], 0


@dataclass(slots=True)
class Quota:
    """What a tenant may send a second, what it saved up, and its rate of late."""

    quota: float
    fill: float  # its quota, and more where few requests come: by chance they exceed it often
    most: float  # it may save up so many
    rate_ms: float  # its rate is averaged over this time
    tokens: float
    rate: float = 0.0
    filled: float = 0.0

    def over(self, now: float, part: float) -> bool:
        """Take one request in; whether it is over the quota, filled up `part` times as fast as usual."""
        past = now - self.filled
        self.filled = now
        self.rate += (1000 / self.rate_ms) - self.rate * -math.expm1(-past / self.rate_ms)
        self.tokens = min(self.tokens + past * self.fill * part / 1000, self.most)
        over = self.tokens < 1
        self.tokens -= 0 if over else 1
        return over


def traffic_share(accounts: Iterable[Quota]) -> float:
    """This dispatcher's traffic over the mean dispatcher's, at least 1: dispatchers do not get equal traffic,
    and the median tenant is taken to send what it may, here too."""
    ratios = sorted(account.rate / account.quota for account in accounts)
    return max(ratios[len(ratios) // 2], 1.0)

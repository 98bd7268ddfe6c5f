"""Whose turn it is to ask the list service for a whole list, when many begin at once. Without I/O or clock.

No election: each reckons its own place from the names that it knows, by a digest that is alike everywhere.
The first few ask at once, the next few a turn later, and so on, each turn twice as long as the one before up
to a limit: a slow service is not asked by ever more. Whoever has got a list from a peer need not ask at all.
Views that differ cost some more calls, never progress: if the few are dead or asleep the next turn comes.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

JITTER = 0.5  # of a turn: those of one turn do not come together
DOUBLINGS = 4  # of a turn's length


def place(own: str, names: Iterable[str]) -> int:
    """This one's place among all, from 0."""
    mine = _digest(own)
    return sum(_digest(name) < mine for name in names if name != own)


def begins(number: int, turn: float) -> float:
    """Seconds until a turn, the first one being 0 and `turn` long."""
    doubled = min(number, DOUBLINGS)
    return turn * ((1 << doubled) - 1 + (number - doubled) * (1 << DOUBLINGS))


def _digest(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8).digest()


@dataclass(slots=True)
class Turn:
    """One scheduler's wait for its turn."""

    own: str
    few: int
    turn: float  # seconds
    random: Random
    began: float
    _jitter: float = -1.0

    def due(self, names: Iterable[str], configured: int) -> float:
        """The time of its turn, by the names known now. Where nobody else is known its place is by chance
        among the configured number: it can't tell whether it is alone."""
        if self._jitter < 0:
            self._jitter = self.random.random()
        known = set(names) | {self.own}
        if len(known) == 1:
            return self.began + self._jitter * self.turn * max(configured - 1, 0) / self.few
        return self.at(place(self.own, known))

    def at(self, place: int) -> float:
        """The time of the turn of whoever has this place."""
        if self._jitter < 0:
            self._jitter = self.random.random()
        number = place // self.few
        return self.began + begins(number, self.turn) + JITTER * self.turn * self._jitter * (number > 0)

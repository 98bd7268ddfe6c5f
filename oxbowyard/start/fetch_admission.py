"""When a scheduler may fetch the whole list from the list service, while many start at once. Without I/O or
clock.

There is no election: each scheduler computes its own rank from the names that it knows, by a digest that is
the same everywhere. The first few may fetch at once, the next few a round later, and so on; each round is
twice as long as the one before, up to a limit, so that a slow service is not asked by ever more. A scheduler
that has the list from a peer need not fetch at all. Views that differ cost a few more calls and never
progress: while the first few are dead or slow, the next round begins.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

JITTER_SHARE = 0.5  # of a round: its schedulers do not come all at once
MAX_DOUBLINGS = 4  # of a round's length
DIGEST_BYTES = 8


def rank(own: str, names: Iterable[str]) -> int:
    """This scheduler's place among all names, from 0."""
    own_digest = _digest(own)
    return sum(_digest(name) < own_digest for name in names if name != own)


def round_start_s(number: int, length_s: float) -> float:
    """Seconds until a round begins, where the first one has the number 0 and this length."""
    doubled = min(number, MAX_DOUBLINGS)
    return length_s * ((1 << doubled) - 1 + (number - doubled) * (1 << MAX_DOUBLINGS))


def _digest(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=DIGEST_BYTES).digest()


@dataclass(slots=True)
class FetchAdmission:
    """One scheduler's wait until it may fetch."""

    own_name: str
    batch_size: int  # schedulers that may fetch in one round
    round_s: float  # length of the first round
    random: Random
    started_at: float  # in seconds of any clock; the results are in the same
    _jitter: float = -1.0  # drawn once, when it is needed first

    def due_at(self, names: Iterable[str], configured_count: int) -> float:
        """The time from which it may fetch, by the names that are known now.

        Where no other is known, its place is drawn among the `configured_count` schedulers: it can't tell
        whether it is alone.
        """
        jitter = self._drawn_jitter()
        known = set(names) | {self.own_name}
        if len(known) == 1:
            others = max(configured_count - 1, 0)
            return self.started_at + jitter * self.round_s * others / self.batch_size
        return self.due_at_rank(rank(self.own_name, known))

    def due_at_rank(self, rank: int) -> float:
        """The time from which the scheduler of this rank may fetch."""
        jitter = self._drawn_jitter()
        number = rank // self.batch_size
        start_s = round_start_s(number, self.round_s)
        return self.started_at + start_s + JITTER_SHARE * self.round_s * jitter * (number > 0)

    def _drawn_jitter(self) -> float:
        if self._jitter < 0:
            self._jitter = self.random.random()
        return self._jitter

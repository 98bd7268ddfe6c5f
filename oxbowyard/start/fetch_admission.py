"""Admission to fetch the full list from the list service, while many schedulers start at once. Has no I/O and
no clock.

There is no election: each scheduler computes its own rank from the names that it knows, by a digest that is
the same on all of them. The first `batch_size` schedulers may fetch at once, the next ones a round later, and
so on. Each round is twice as long as the one before, up to a limit, so that a slow service is not overloaded
by more and more requests. A scheduler that has received the list from a peer does not need to fetch it.
Schedulers that know different names cost the service a few more requests, but never stall the start: if the
first schedulers are dead or slow, the next round begins.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

JITTER_SHARE = 0.5  # of a round, so that its schedulers do not fetch all at once
MAX_DOUBLINGS = 4  # of the length of a round
DIGEST_BYTES = 8


def rank(own: str, names: Iterable[str]) -> int:
    """Return the position of this scheduler among all names, from 0."""
    own_digest = _digest(own)
    return sum(_digest(name) < own_digest for name in names if name != own)


def round_start_s(number: int, length_s: float) -> float:
    """Return the seconds until a round begins. The first round has the number 0 and the length `length_s`."""
    doubled = min(number, MAX_DOUBLINGS)
    return length_s * ((1 << doubled) - 1 + (number - doubled) * (1 << MAX_DOUBLINGS))


def _digest(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=DIGEST_BYTES).digest()


@dataclass(slots=True)
class FetchAdmission:
    """Computes when one scheduler may fetch the list."""

    own_name: str
    batch_size: int  # number of schedulers that may fetch in one round
    round_s: float  # length of the first round
    random: Random
    started_at: float  # seconds on any clock; the results are on the same clock
    _jitter: float = -1.0  # drawn once, at first use

    def due_at(self, names: Iterable[str], configured_count: int) -> float:
        """Return the time from which this scheduler may fetch, given the names that are known now.

        If no other name is known, the position among `configured_count` schedulers is drawn at random,
        because this scheduler cannot know whether it is alone.
        """
        jitter = self._drawn_jitter()
        known = set(names) | {self.own_name}
        if len(known) == 1:
            others = max(configured_count - 1, 0)
            return self.started_at + jitter * self.round_s * others / self.batch_size
        return self.due_at_rank(rank(self.own_name, known))

    def due_at_rank(self, rank: int) -> float:
        """Return the time from which the scheduler with this rank may fetch."""
        jitter = self._drawn_jitter()
        number = rank // self.batch_size
        start_s = round_start_s(number, self.round_s)
        return self.started_at + start_s + JITTER_SHARE * self.round_s * jitter * (number > 0)

    def _drawn_jitter(self) -> float:
        if self._jitter < 0:
            self._jitter = self.random.random()
        return self._jitter

"""Rendezvous hashing: which workers serve a key, the same in every process and without coordination."""

from __future__ import annotations

import hashlib
import math
from bisect import bisect
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


def hash_name(name: str) -> int:
    """64 bits of a name, the same in every process, unlike hash()."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def rendezvous_position(key: int, salt: int, share: float) -> float:
    """The position of one member in a key's order, the smallest first.

    Weighted rendezvous hashing (Schindelhauer and Schomaker, 2005): a member comes first in as many keys'
    orders as its `share`, above 0, says. `key` and `salt` (the member's hash) hold 64 bits.
    """
    mixed = ((key ^ salt) * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    mixed = ((mixed ^ (mixed >> 31)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    return -math.log((mixed + 1) / 2**64) / share


@dataclass(slots=True)
class RendezvousOrder(Generic[T]):
    """The members of one key's order, sorted by position, with new members inserted as they become known."""

    members: list[T] = field(default_factory=list)
    positions: list[float] = field(default_factory=list)
    known_count: int = 0  # how many of all members ever known were looked at

    def extend(self, known: list[T], position: Callable[[T], float | None]) -> list[T]:
        """Insert what was appended to `known` since the last call, and return all members in order.

        A member whose position is None is left out. The cost grows with what was appended alone.
        """
        if self.known_count < len(known):
            added = {
                at: member for member in known[self.known_count :] if (at := position(member)) is not None
            }
            if self.members:
                for at, member in added.items():
                    index = bisect(self.positions, at)
                    self.positions.insert(index, at)
                    self.members.insert(index, member)
            else:
                self.positions = sorted(added)
                self.members = [added[at] for at in self.positions]
            self.known_count = len(known)
        return self.members

    def clear(self) -> None:
        """Forget all members: positions have changed."""
        self.members = []
        self.positions = []
        self.known_count = 0

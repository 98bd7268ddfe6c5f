"""Rendezvous hashing: all processes choose the same workers for a key without coordination."""

from __future__ import annotations

import hashlib
import math
from bisect import bisect
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


def hash_name(name: str) -> int:
    """Return a 64-bit hash of a name. Unlike hash(), it is the same in every process."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def rendezvous_position(key: int, salt: int, share: float) -> float:
    """Return the position of one member in the order of a key. The smallest position comes first.

    This is weighted rendezvous hashing (Schindelhauer and Schomaker, 2005): a member comes first for a part
    of the keys that is proportional to its `share`, which must be above 0. `key` and `salt` (the hash of the
    member) are 64-bit integers.
    """
    mixed = ((key ^ salt) * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    mixed = ((mixed ^ (mixed >> 31)) * 0xBF58476D1CE4E5B9) & 0xFFFFFFFFFFFFFFFF
    return -math.log((mixed + 1) / 2**64) / share


@dataclass(slots=True)
class RendezvousOrder(Generic[T]):
    """The order of one key: its members sorted by position. New members are inserted as they become known."""

    members: list[T] = field(default_factory=list)
    positions: list[float] = field(default_factory=list)
    known_count: int = 0  # how much of the list passed to `extend` has been processed

    def extend(self, known: list[T], position: Callable[[T], float | None]) -> list[T]:
        """Insert the members appended to `known` since the last call, and return all members in order.

        A member whose position is None is left out. The cost depends only on the number of appended members.
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
        """Remove all members, because positions have changed."""
        self.members = []
        self.positions = []
        self.known_count = 0

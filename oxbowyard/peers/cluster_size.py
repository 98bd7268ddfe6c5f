"""The number of schedulers to plan with, from a member list that may be wrong. Without I/O or clock.

It takes the place of the configured number of schedulers: in the budget of workers that are warming up, in
the pauses between calls to discovery, in the load that peers are assumed to cause. A number that is too small
overloads a worker that is warming up; one that is too large costs a little time. So in doubt it is the larger
number:

- a suspect member counts, and a dead one goes on counting for `dead_retention_s` seconds;
- where more than a quarter of the members died within that time it may be a network split, behind which they
  go on working: they count for `split_retention_s` seconds. The deaths of one split are found apart by up to the
  longest suspicion of the group, so `dead_retention_s` is never taken to be shorter than that;
- a member that left does not count;
- until this scheduler has met another one, and `SETTLE_S` after the last one joined, the configured number is
  the least.

So the size is never under the number of schedulers that this one has known to live within the last
`dead_retention_s`. It may lack members that this scheduler has not heard of yet.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

SETTLE_S = 10.0  # after the last member joined until the member list is trusted
SPLIT_SHARE = 0.25  # of the members that counted before: more deaths at once may be a split


@dataclass(slots=True, frozen=True)
class ObservedMember:
    """What the member list says of one other scheduler."""

    name: str
    is_live: bool  # alive or suspect
    has_left: bool = False


class ClusterSize:
    """Follows the member list, all of which is passed to `update` again and again."""

    def __init__(self, configured: int, dead_retention_s: float, split_retention_s: float) -> None:
        self._configured = max(configured, 1)
        self._dead_retention_s = dead_retention_s
        self._split_retention_s = split_retention_s
        self._live_names: set[str] = set()
        self._died_at: dict[str, float] = {}  # dead members that may still count, by name
        self._possibly_split: set[str] = set()  # those of them that may be behind a split
        self._last_joined_at: float | None = None
        self.live = 1
        self.size = self._configured

    @property
    def counted_dead(self) -> int:
        """The dead members that still count."""
        return len(self._died_at)

    def update(self, now: float, members: Iterable[ObservedMember], longest_suspicion_s: float = 0.0) -> int:
        """Take the member list as it is at `now` (seconds); returns the size, this scheduler included.

        `longest_suspicion_s` bounds the time between the deaths of one split, as the group's health is now.
        """
        dead_retention_s = max(self._dead_retention_s, longest_suspicion_s)
        live, left = _live_and_left(members)
        if live - self._live_names:
            self._last_joined_at = now
        self._record_deaths(now, live, left)
        self._live_names = live
        self._find_splits(now, dead_retention_s)
        self._drop_expired(now, dead_retention_s)
        self.live = len(live) + 1
        self.size = self.live + len(self._died_at)
        if not self._is_settled(now):
            self.size = max(self.size, self._configured)
        return self.size

    def _record_deaths(self, now: float, live: set[str], left: set[str]) -> None:
        for name in self._live_names - live - left:  # dead, or forgotten before it was seen dead
            self._died_at[name] = now
        for name in (live | left) & self._died_at.keys():
            self._drop(name)

    def _find_splits(self, now: float, dead_retention_s: float) -> None:
        """If so many died at once, all of them may be behind a split until they are dropped."""
        recent = [name for name, died_at in self._died_at.items() if now - died_at < dead_retention_s]
        if len(recent) > SPLIT_SHARE * (len(self._live_names) + 1 + len(self._died_at)):
            self._possibly_split.update(recent)

    def _drop_expired(self, now: float, dead_retention_s: float) -> None:
        for name, died_at in list(self._died_at.items()):
            retention_s = self._split_retention_s if name in self._possibly_split else dead_retention_s
            if now - died_at >= retention_s:
                self._drop(name)

    def _drop(self, name: str) -> None:
        self._died_at.pop(name, None)
        self._possibly_split.discard(name)

    def _is_settled(self, now: float) -> bool:
        return self._last_joined_at is not None and now - self._last_joined_at >= SETTLE_S


def _live_and_left(members: Iterable[ObservedMember]) -> tuple[set[str], set[str]]:
    live, left = set[str](), set[str]()
    for member in members:
        if member.is_live:
            live.add(member.name)
        elif member.has_left:
            left.add(member.name)
    return live, left

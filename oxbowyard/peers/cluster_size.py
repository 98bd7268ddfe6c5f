"""The number of schedulers to assume, from a member list that may be wrong. Does no I/O and reads no clock.

It replaces the configured number of schedulers: in the budget of workers that are warming up, in the delays
between polls of discovery, and in the load that peers are assumed to cause. A number that is too small
overloads a worker that is warming up; one that is too large costs a little time. So the larger number is used
if in doubt:

- a suspect member is counted, and a dead one is counted for another `dead_retention_s` seconds;
- if more than a quarter of the members died within that time, the cause may be a network split, with the
  members working on its other side: they are counted for `split_retention_s` seconds. The deaths of one split
  are detected at times that differ by up to the longest suspicion of the group, so `dead_retention_s` is
  never assumed to be shorter than that;
- a member that left is not counted;
- the configured number is the minimum until this scheduler has met another one, and until `SETTLE_S` after
  the last one joined.

So the size is never less than the number of schedulers known to have been alive within the last
`dead_retention_s`. Members that this scheduler does not know yet may be missing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

SETTLE_S = 10.0  # how long after the last join the member list counts as incomplete
SPLIT_SHARE = 0.25  # of the members counted before; more deaths at once may be a network split


@dataclass(slots=True, frozen=True)
class ObservedMember:
    """The state of another scheduler in the member list."""

    name: str
    is_live: bool  # alive or suspect
    has_left: bool = False


class ClusterSize:
    """Tracks the size of the cluster. The complete member list is passed to each call of `update`."""

    def __init__(self, configured: int, dead_retention_s: float, split_retention_s: float) -> None:
        self._configured = max(configured, 1)
        self._dead_retention_s = dead_retention_s
        self._split_retention_s = split_retention_s
        self._live_names: set[str] = set()
        self._died_at: dict[str, float] = {}  # dead members that are still counted, by name
        self._possibly_split: set[str] = set()  # dead members that may be on the other side of a split
        self._last_joined_at: float | None = None
        self.live = 1
        self.size = self._configured

    @property
    def counted_dead(self) -> int:
        """Return the number of dead members that are still counted."""
        return len(self._died_at)

    def update(self, now: float, members: Iterable[ObservedMember], longest_suspicion_s: float = 0.0) -> int:
        """Apply the member list as of `now` (seconds) and return the size, including this scheduler.

        `longest_suspicion_s` limits the time between the deaths of one split, given the current health of the
        group.
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
        for name in self._live_names - live - left:  # dead, or removed before it was observed to be dead
            self._died_at[name] = now
        for name in (live | left) & self._died_at.keys():
            self._drop(name)

    def _find_splits(self, now: float, dead_retention_s: float) -> None:
        """If many members died recently, mark them as possibly split until they are dropped."""
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

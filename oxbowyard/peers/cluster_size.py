"""How many schedulers to reckon with, from a view that may be wrong. Without I/O or clock.

The count stands where the configured number of schedulers stood: in the budget of cold workers, in the pauses
between calls to discovery, in what peers are taken to load. Too small, and all together push a cold worker
over; too large costs a little time. So in doubt it is the larger number:

- whoever is suspected counts, and whoever was found dead goes on counting for `doubt` seconds;
- where more than a quarter died within `doubt` seconds it may be a cut, behind which they go on working: they
  count for `split` seconds. The deaths of one cut are found apart, by up to the longest suspicion of the
  group: `doubt` is never taken to be shorter than that;
- whoever said goodbye does not count any more;
- until this scheduler has met another one, and a while after, the configured number is the least.

So it is never under the number of schedulers that this one has known to live within the last `doubt` seconds;
those it has not heard of yet are what it may lack, and a new one is heard of within the time that news takes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

SETTLE = 10.0  # seconds after the last new member was met until the view holds
CUT_SHARE = 0.25  # of those that counted before: more deaths than that at once may be a cut


@dataclass(slots=True, frozen=True)
class Seen:
    """What the view says of one other member."""

    name: str
    here: bool  # alive or suspected
    left: bool = False


class LiveCount:
    """Follows the view; `take` is called with all of it again and again."""

    def __init__(self, configured: int, doubt: float, split: float) -> None:
        self._configured = max(configured, 1)
        self._doubt = doubt
        self._split = split
        self._here: set[str] = set()
        self._died: dict[str, float] = {}  # of those that still may count, since when
        self._in_cut: set[str] = set()  # of these, the ones that may be behind a cut
        self._joined: deque[float] = deque(maxlen=1)
        self.live = 1
        self.count = self._configured

    @property
    def doubted(self) -> int:
        """Members found dead that still count."""
        return len(self._died)

    def take(self, now: float, seen: Iterable[Seen], longest_suspicion: float = 0.0) -> int:
        """The view as it is now; returns how many to reckon with, this one included.

        `longest_suspicion`: seconds by which the deaths of one cut may be found apart at this moment.
        """
        doubt = max(self._doubt, longest_suspicion)
        here, left = set[str](), set[str]()
        for member in seen:
            if member.here:
                here.add(member.name)
            elif member.left:
                left.add(member.name)
        if here - self._here:
            self._joined.append(now)
        for name in self._here - here - left:  # dead, or forgotten before it was seen dead
            self._died[name] = now
        for name in (here | left) & self._died.keys():
            self._drop(name)
        self._here = here
        self._find_cuts(now, doubt)
        for name, since in list(self._died.items()):
            if now - since >= (self._split if name in self._in_cut else doubt):
                self._drop(name)
        self.live = len(here) + 1
        counted = self.live + len(self._died)
        if not self._joined or now - self._joined[0] < SETTLE:
            counted = max(counted, self._configured)
        self.count = counted
        return counted

    def _find_cuts(self, now: float, doubt: float) -> None:
        """Once so many died at once all of them are in doubt, and stay so."""
        lately = [name for name, since in self._died.items() if now - since < doubt]
        if len(lately) > CUT_SHARE * (len(self._here) + 1 + len(self._died)):
            self._in_cut.update(lately)

    def _drop(self, name: str) -> None:
        self._died.pop(name, None)
        self._in_cut.discard(name)

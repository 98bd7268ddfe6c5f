"""Backends out of rotation by hand, told to all schedulers. Without I/O or clock.

One register for each backend in the whole group: the later word holds. A word "out" holds until a word
"back". The word "back" is remembered for as long as the dead are: a scheduler that was cut off for longer may
bring an old "out" again, and then the backend is spared until it is put back once more, never used sooner.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..membership.messages import GossipEntry

OUT = "out:"
UNTIL_BACK = 1e9  # seconds
MOST_CALLS = 1000  # calls here that are remembered
Say = Callable[[str, float, float, int | None], None]  # about, value, lasts, count


@dataclass(slots=True)
class Drains:
    """Turns calls at the door into notes, and notes into calls."""

    say: Say
    take: Callable[[str, bool], None]
    remember: float  # seconds that a word "back" is kept
    _out_at: dict[str, float] = field(default_factory=dict)  # calls here, and when

    def changed(self, uid: str, out: bool, now: float) -> None:
        """This scheduler was told."""
        self._out_at.pop(uid, None)
        if out:
            self._out_at[uid] = now
            if len(self._out_at) > MOST_CALLS:
                del self._out_at[next(iter(self._out_at))]
        self._say(uid, out)

    def began_with(self, uids: Iterable[str]) -> None:
        """Those out since before this process began: it may have missed a word "back", and says so."""
        for uid in sorted(uids):
            self.say(OUT + uid, 1.0, UNTIL_BACK, 0)

    def hear(self, note: GossipEntry, now: float) -> bool:
        """Take another scheduler's word; whether it is one of these. Told "out" here before this one had met
        the group, its word counts as an early one; a "back" that is older all the same does not hold."""
        if not note.key.startswith(OUT) or not note.is_shared:
            return False
        uid, out = note.key.removeprefix(OUT), note.value > 0
        told_at = self._out_at.get(uid)
        if not out and told_at is not None and now - told_at < note.age_s:
            self._say(uid, True)
            return True
        self._out_at.pop(uid, None)
        self.take(uid, out)
        return True

    def _say(self, uid: str, out: bool) -> None:
        self.say(OUT + uid, float(out), UNTIL_BACK if out else self.remember, None)

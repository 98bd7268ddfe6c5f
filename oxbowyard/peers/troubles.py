"""Workers' troubles as notes among schedulers: what to say of one's own, and what to make of the others'.

A trouble that is heard of may spare a worker for a while, never bring it work sooner: it says at most how
long to keep off and how cold to take it. Without I/O or clock; times here are in seconds, the decisions' in
milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from ..decision.facade import WorkerFault
from ..membership.messages import GossipEntry

BAR, COLD = "bar:", "cold:"
MOST_SAID = 64  # of one's own at once: with more, the trouble is rather one's own
LEAST_LEFT = 0.1  # seconds: what is over sooner is not worth a note
CHANGED = 0.3  # seconds by which a trouble has to end later to be told again
APART = 1.0  # seconds by which a start that is heard of has to be later than what is known of the worker
MOST_LASTS = 30.0  # seconds that a note of trouble holds at most, whatever it says


@dataclass(slots=True, frozen=True)
class Say:
    """A note to say."""

    about: str
    value: float
    lasts: float


class Sharing:
    """One scheduler's part in it."""

    def __init__(self, ramp: float) -> None:
        self._ramp = ramp  # seconds that a worker is cold
        self._said: dict[str, float] = {}  # about, and when that is over
        self._heard: dict[
            tuple[str, str], tuple[GossipEntry, float]
        ] = {}  # by whom and about, with its beginning

    def to_say(self, now: float, own: list[WorkerFault], workers: int, clock_now: float) -> list[Say]:
        """What is new among own troubles; `clock_now` is the decisions' time, in milliseconds."""
        self._said = {about: until for about, until in self._said.items() if until > now}
        if len(own) > max(min(MOST_SAID, workers / 4), 1):
            return []
        says = []
        heard = {t.worker: t.since for t in self.heard(now, clock_now)}  # not told to and fro
        for trouble in own:
            left = trouble.lasts / 1000
            if left >= LEAST_LEFT:
                says += self._new(BAR + trouble.worker, 0.0, left, now)
            if trouble.since and abs(trouble.since - heard.get(trouble.worker, -math.inf)) > APART * 1000:
                age = max(clock_now - trouble.since, 0.0) / 1000
                says += self._new(COLD + trouble.worker, age, self._ramp - age, now)
        return says

    def _new(self, about: str, value: float, lasts: float, now: float) -> list[Say]:
        if lasts < LEAST_LEFT or self._said.get(about, 0.0) + CHANGED > now + lasts:
            return []
        self._said[about] = now + lasts
        return [Say(about, value, lasts)]

    def hear(self, note: GossipEntry, now: float) -> bool:
        """Take a peer's note in; whether it is one of these."""
        if not note.key.startswith((BAR, COLD)) or note.is_shared:
            return False
        self._heard[note.author, note.key] = note, now - note.age_s
        return True

    def heard(self, now: float, clock_now: float, own: Iterable[WorkerFault] = ()) -> tuple[WorkerFault, ...]:
        """All that holds now of what peers told, one for each worker. A start that hardly differs from one's
        own knowledge is left out: told to and fro, it would come later each time."""
        known = {t.worker: t.since for t in own if t.since}
        lasts: dict[str, float] = {}
        since: dict[str, float] = {}
        for place, (note, began) in list(self._heard.items()):
            left = min(note.lifetime_s, MOST_LASTS) - (now - began)
            kind, _, worker = note.key.partition(":")
            if left <= 0:
                del self._heard[place]
            elif kind == "bar":
                lasts[worker] = max(lasts.get(worker, 0.0), left * 1000)
            else:
                at = clock_now - (now - began + note.value) * 1000
                if at - known.get(worker, -1e18) > APART * 1000:
                    since[worker] = max(since.get(worker, 0.0), at)
        return tuple(
            WorkerFault(worker, lasts.get(worker, 0.0), since.get(worker, 0.0))
            for worker in sorted(lasts.keys() | since.keys())
        )

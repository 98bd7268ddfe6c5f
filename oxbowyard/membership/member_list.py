"""The members that are known, and which claim about one holds. Without I/O or clock."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from .messages import Claim, State


class Word(Enum):
    """What became of a claim."""

    OLD = "old"  # nothing new
    NEW = "new"  # it holds now
    CONFIRMED = "confirmed"  # one more member suspects it
    CONFLICT = "conflict"  # two processes with one name
    FULL = "full"  # no room for one more member


@dataclass(slots=True)
class Member:
    """One member, as far as is known here. A hint: see the package."""

    claim: Claim
    since: float  # when this claim came to hold, on the clock of this process
    why: str = ""
    accusers: frozenset[str] = frozenset()

    @property
    def state(self) -> State:
        """What is claimed of it."""
        return self.claim.state

    @property
    def here(self) -> bool:
        """Neither dead nor left, as far as is known."""
        return self.claim.state in (State.ALIVE, State.SUSPECT)


class View:
    """All members but the one whose view it is."""

    def __init__(self, most: int) -> None:
        self._most = most
        self.members: dict[str, Member] = {}
        self._live = 0

    def __iter__(self) -> Iterator[Member]:
        return iter(self.members.values())

    def live(self) -> int:
        """Members that are not known to be dead or gone; the suspected count."""
        return self._live

    def take(self, claim: Claim, now: float, why: str) -> Word:
        """Take a claim in. The higher incarnation holds, then the worse state. Another process under the name
        of one that is alive holds only if it speaks from the same address: the one before ended."""
        known = self.members.get(claim.name)
        if known is None:
            if claim.state in (State.DEAD, State.LEFT):  # whoever never knew it has nothing to bury
                return Word.OLD
            if len(self.members) >= self._most:
                return Word.FULL
            self.members[claim.name] = Member(claim, now, why, _accusers(claim))
            self._live += 1
            return Word.NEW
        held = known.claim
        if claim.run != held.run:
            if claim.state is not State.ALIVE or claim.incarnation <= held.incarnation and known.here:
                return Word.CONFLICT if _two_speak(claim, known) else Word.OLD
            if known.here and claim.address != held.address:
                return Word.CONFLICT
            if claim.incarnation <= held.incarnation:
                return Word.OLD
        elif (claim.incarnation, claim.state) <= (held.incarnation, held.state):
            return self._again(claim, known)
        self._live -= known.here
        known.claim, known.since, known.why = claim, now, why
        self._live += known.here
        known.accusers = _accusers(claim)
        return Word.NEW

    def _again(self, claim: Claim, known: Member) -> Word:
        held = known.claim
        suspected = claim.state is State.SUSPECT and held.state is State.SUSPECT
        if suspected and claim.incarnation == held.incarnation and claim.accuser not in known.accusers | {""}:
            known.accusers |= {claim.accuser}
            return Word.CONFIRMED
        return Word.OLD

    def forget(self, before: float) -> None:
        """Drop the dead and gone that have been so since before then."""
        for name in [m.claim.name for m in self if not m.here and m.since < before]:
            del self.members[name]


def _accusers(claim: Claim) -> frozenset[str]:
    return frozenset((claim.accuser,)) if claim.accuser else frozenset()


def _two_speak(claim: Claim, known: Member) -> bool:
    return claim.state is State.ALIVE and known.here and claim.address != known.claim.address

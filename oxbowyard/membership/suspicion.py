"""Suspicion: a member that failed a probe has some time to refute it before it is declared dead."""

from __future__ import annotations

from .member_list import Member
from .state import ProtocolState

HEALTH_WEIGHT = 0.5  # share of its timeout by which each step of the health score lengthens a suspicion


class Suspicions:
    """This member's current suspicions, by the suspect's name."""

    def __init__(self, state: ProtocolState) -> None:
        self._state = state
        self._began_at: dict[str, float] = {}  # seconds

    def begin(self, name: str) -> None:
        """Start the timeout of a suspicion, unless it is already running."""
        self._began_at.setdefault(name, self._state.now)

    def end(self, name: str) -> None:
        """Remove the suspicion: the member refuted it or left, or was declared dead."""
        self._began_at.pop(name, None)

    def members(self) -> list[Member]:
        """Return the suspects that are still in the member list."""
        found = (self._state.members.get(name) for name in self._began_at)
        return [member for member in found if member is not None]

    def extend(self, stalled_s: float) -> None:
        """Extend every timeout by the time in which this process could not receive a refutation."""
        self._began_at = {name: began_at + stalled_s for name, began_at in self._began_at.items()}

    def longest_timeout_s(self) -> float:
        """Return how long a suspicion without confirmations lasts at this member's current health."""
        return self._timeout_s(confirmations=0)

    def pop_expired(self) -> list[str]:
        """Remove the expired suspicions; return the suspects' names."""
        expired = [name for name in self._began_at if self._state.now >= self._ends_at(name)]
        for name in expired:
            del self._began_at[name]
        return expired

    def due_times(self) -> list[float]:
        """Return the times at which the suspicions expire."""
        return [self._ends_at(name) for name in self._began_at]

    def _timeout_s(self, confirmations: int) -> float:
        state = self._state
        timeout_s = state.settings.suspicion_timeout_s(state.live_count(), confirmations)
        return timeout_s * (1 + state.health.score * HEALTH_WEIGHT)

    def _ends_at(self, name: str) -> float:
        member = self._state.members.get(name)
        confirmations = len(member.accusers) - 1 if member else 0
        return self._began_at[name] + self._timeout_s(max(confirmations, 0))

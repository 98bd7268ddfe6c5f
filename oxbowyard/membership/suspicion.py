"""Suspicion: members that failed a probe have some time to refute it before they are declared dead."""

from __future__ import annotations

from .member_list import Member
from .state import ProtocolState

HEALTH_WEIGHT = 0.5  # of a step of this member's health score, in suspicion timeouts


class Suspicions:
    """The suspicions that this member holds, by the suspect's name."""

    def __init__(self, state: ProtocolState) -> None:
        self._state = state
        self._began_at: dict[str, float] = {}  # seconds

    def begin(self, name: str) -> None:
        """Start the timeout, unless it runs already."""
        self._began_at.setdefault(name, self._state.now)

    def end(self, name: str) -> None:
        """Drop the suspicion: the member refuted it, or another one declared it dead."""
        self._began_at.pop(name, None)

    def members(self) -> list[Member]:
        """The suspects that are known members."""
        found = (self._state.members.get(name) for name in self._began_at)
        return [member for member in found if member is not None]

    def extend(self, stalled_s: float) -> None:
        """Lengthen every timeout by the time in which this process could receive no refutation."""
        self._began_at = {name: began_at + stalled_s for name, began_at in self._began_at.items()}

    def longest_timeout_s(self) -> float:
        """How long a suspicion lasts that nobody confirms, by this member's health as it is now."""
        return self._timeout_s(confirmations=0)

    def pop_expired(self) -> list[str]:
        """Remove the suspicions whose time is over; returns the suspects' names."""
        expired = [name for name in self._began_at if self._state.now >= self._ends_at(name)]
        for name in expired:
            del self._began_at[name]
        return expired

    def due_times(self) -> list[float]:
        """When the suspicions expire."""
        return [self._ends_at(name) for name in self._began_at]

    def _timeout_s(self, confirmations: int) -> float:
        state = self._state
        timeout_s = state.settings.suspicion_timeout_s(state.live_count(), confirmations)
        return timeout_s * (1 + state.health.score * HEALTH_WEIGHT)

    def _ends_at(self, name: str) -> float:
        member = self._state.members.get(name)
        confirmations = len(member.accusers) - 1 if member else 0
        return self._began_at[name] + self._timeout_s(max(confirmations, 0))

"""The figures of the group; times in seconds."""

from __future__ import annotations

import math
from dataclasses import dataclass

SMALL = 32  # members that exchange all they know as often as `exchange` says


@dataclass(slots=True, frozen=True)
class GroupSettings:
    """One group's. All members should have the same."""

    group: str = "oxbowyard"
    period: float = 0.5  # each member asks one other in this time
    answer_within: float = 0.2  # then others are asked to ask
    helpers: int = 3
    suspicion: float = 2.5  # periods that a suspicion lasts at least, times the logarithm of the group's size
    patience: float = 6.0  # and so many times longer while nobody else confirms it
    confirmations: int = 3
    by_stream: bool = True  # a member that did not answer is asked by a stream as well
    askers: float = 6.0  # and by so many of all that hear of its suspicion, on average
    most_health: int = 8  # how far a member's own trouble stretches its times
    spread: float = 4.0  # news goes out so many times, times the logarithm of the group's size
    exchange: float = 30.0  # seconds between exchanges of all that is known
    reunion: float = 5.0  # seconds between questions to one of those gone, by `askers` of all
    forget: float = 600.0  # seconds that the dead are kept
    most_members: int = 10_000
    most_notes: int = 20_000
    at_once: int = 8  # members told at once what does not wait; each of them tells as many
    most_datagram: int = 1200  # bytes

    def __post_init__(self) -> None:
        """Refuse what no group could work with; raises ValueError."""
        if not 0 < self.answer_within < self.period or self.helpers < 0 or self.most_members < 1:
            raise ValueError("answer_within has to be under period, helpers and most_members sensible")
        if self.suspicion <= 0 or self.patience < 1 or self.spread <= 0 or self.forget <= 0:
            raise ValueError("suspicion, spread and forget have to be above 0, patience at least 1")

    def shortest_suspicion(self, members: int) -> float:
        """Seconds, once confirmed."""
        return self.suspicion * max(1.0, math.log10(max(members, 1))) * self.period

    def suspicion_lasts(self, members: int, confirmed: int) -> float:
        """Seconds; shorter with each member that suspects it too (Lifeguard)."""
        least = self.shortest_suspicion(members)
        if self.confirmations < 1:
            return least
        share = math.log(confirmed + 1) / math.log(self.confirmations + 1)
        return max(least, self.patience * least * (1 - share) + least * share)

    def exchange_every(self, members: int) -> float:
        """Seconds; longer as there is more to exchange: twice the members, one time more."""
        return self.exchange * (1 + max(0, math.ceil(math.log2(max(members, 1) / SMALL))))

    def times_told(self, members: int) -> int:
        """How often a piece of news goes out."""
        return math.ceil(self.spread * math.log10(members + 1) + 1)

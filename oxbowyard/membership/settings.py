"""The protocol's parameters."""

from __future__ import annotations

import math
from dataclasses import dataclass

PUSH_PULL_SCALE_THRESHOLD = 32  # members; larger groups exchange their complete state less often


@dataclass(slots=True, frozen=True)
class ProtocolSettings:
    """The parameters of one group; all its members should have the same.

    Raises ValueError for values with which no group could work.
    """

    group: str = "oxbowyard"
    probe_interval_s: float = 0.5  # each member probes one other in this time
    probe_timeout_s: float = 0.2  # of the direct probe; then the indirect probes begin
    indirect_probe_count: int = 3
    suspicion_multiplier: float = 2.5  # probe intervals, times the logarithm of the group's size
    max_suspicion_factor: float = 6.0  # by which a suspicion that nobody confirms lasts longer
    confirmation_count: int = 3  # further accusers after which a suspicion is at its shortest
    stream_probe_enabled: bool = True  # a failed direct probe is repeated by stream
    volunteer_count: float = 6.0  # members, on average, that do a task that not all need to do
    max_health_score: int = 8  # by how much a member's own faults can lengthen its timeouts
    retransmit_multiplier: float = 4.0  # transmissions of a record, times the logarithm of the group's size
    push_pull_interval_s: float = 30.0
    reconnect_interval_s: float = 5.0  # between attempts to reach a dead member, by `volunteer_count` of all
    dead_retention_s: float = 600.0
    max_members: int = 10_000
    max_entries: int = 20_000
    urgent_fanout: int = 8  # members to which an urgent entry is sent at once, and by each of them again
    max_datagram_bytes: int = 1200

    def __post_init__(self) -> None:
        """Check the values; raises ValueError."""
        if not 0 < self.probe_timeout_s < self.probe_interval_s:
            raise ValueError("probe_timeout_s must be above 0 and under probe_interval_s")
        if self.indirect_probe_count < 0 or self.max_members < 1:
            raise ValueError("indirect_probe_count must be at least 0, max_members at least 1")
        if self.suspicion_multiplier <= 0 or self.retransmit_multiplier <= 0 or self.dead_retention_s <= 0:
            raise ValueError(
                "suspicion_multiplier, retransmit_multiplier and dead_retention_s must be above 0"
            )
        if self.max_suspicion_factor < 1:
            raise ValueError("max_suspicion_factor must be at least 1")

    def min_suspicion_timeout_s(self, members: int) -> float:
        """The shortest suspicion, once it is confirmed, in a group of so many members."""
        return self.suspicion_multiplier * max(1.0, math.log10(max(members, 1))) * self.probe_interval_s

    def suspicion_timeout_s(self, members: int, confirmations: int) -> float:
        """How long a suspicion with so many confirmations lasts (Lifeguard, section IV-B).

        It falls with the logarithm of the confirmations from `max_suspicion_factor` times the shortest one.
        """
        shortest = self.min_suspicion_timeout_s(members)
        if self.confirmation_count < 1:
            return shortest
        share = math.log(confirmations + 1) / math.log(self.confirmation_count + 1)
        return max(shortest, self.max_suspicion_factor * shortest * (1 - share) + shortest * share)

    def scaled_push_pull_interval_s(self, members: int) -> float:
        """The mean time between push-pull exchanges: one interval more for each doubling of the group."""
        doublings = math.ceil(math.log2(max(members, 1) / PUSH_PULL_SCALE_THRESHOLD))
        return self.push_pull_interval_s * (1 + max(0, doublings))

    def retransmit_limit(self, members: int) -> int:
        """How often a member sends a record or an entry on."""
        return math.ceil(self.retransmit_multiplier * math.log10(members + 1) + 1)

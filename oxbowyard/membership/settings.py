"""The protocol's parameters."""

from __future__ import annotations

import math
from dataclasses import dataclass

PUSH_PULL_SCALE_THRESHOLD = 32  # members; in larger groups each exchanges its complete state less often


@dataclass(slots=True, frozen=True)
class ProtocolSettings:
    """The parameters of one group; all its members should have the same values.

    Raises ValueError for values with which no group could work.
    """

    group: str = "oxbowyard"
    probe_interval_s: float = 0.5  # each member probes one other member per interval
    probe_timeout_s: float = 0.2  # of the direct probe; after it the indirect probes begin
    indirect_probe_count: int = 3
    suspicion_multiplier: float = 2.5  # probe intervals, multiplied by the logarithm of the group's size
    max_suspicion_factor: float = 6.0  # factor by which an unconfirmed suspicion lasts longer
    confirmation_count: int = 3  # further accusers that shorten a suspicion to its minimum
    stream_probe_enabled: bool = True  # repeat a failed direct probe by stream
    volunteer_count: float = 6.0  # average number of members that do a task which not all need to do
    max_health_score: int = 8  # bounds by how much a member's own faults lengthen its timeouts
    retransmit_multiplier: float = 4.0  # transmissions of a record, times the logarithm of the group's size
    push_pull_interval_s: float = 30.0
    reconnect_interval_s: float = 5.0  # between attempts to reach dead members, by `volunteer_count` members
    dead_retention_s: float = 600.0
    max_members: int = 10_000
    max_entries: int = 20_000
    urgent_fanout: int = 8  # members to which the author and each receiver send an urgent entry at once
    max_datagram_bytes: int = 1200

    def __post_init__(self) -> None:
        """Check the values; raise ValueError for a wrong one."""
        if not 0 < self.probe_timeout_s < self.probe_interval_s:
            raise ValueError(
                f"probe_timeout_s must be above 0 and below probe_interval_s ({self.probe_interval_s}), "
                f"got {self.probe_timeout_s}"
            )
        if self.indirect_probe_count < 0 or self.max_members < 1:
            raise ValueError(
                "indirect_probe_count must be at least 0 and max_members at least 1, "
                f"got {self.indirect_probe_count} and {self.max_members}"
            )
        if self.suspicion_multiplier <= 0 or self.retransmit_multiplier <= 0 or self.dead_retention_s <= 0:
            raise ValueError(
                "suspicion_multiplier, retransmit_multiplier and dead_retention_s must be above 0, got "
                f"{self.suspicion_multiplier}, {self.retransmit_multiplier} and {self.dead_retention_s}"
            )
        if self.max_suspicion_factor < 1:
            raise ValueError(f"max_suspicion_factor must be at least 1, got {self.max_suspicion_factor}")

    def min_suspicion_timeout_s(self, members: int) -> float:
        """Return how long a fully confirmed suspicion lasts in a group of this size."""
        return self.suspicion_multiplier * max(1.0, math.log10(max(members, 1))) * self.probe_interval_s

    def suspicion_timeout_s(self, members: int, confirmations: int) -> float:
        """Return how long a suspicion with this number of confirmations lasts (Lifeguard, section IV-B).

        It begins at `max_suspicion_factor` times the shortest one and decreases with the logarithm of the
        number of confirmations.
        """
        shortest = self.min_suspicion_timeout_s(members)
        if self.confirmation_count < 1:
            return shortest
        share = math.log(confirmations + 1) / math.log(self.confirmation_count + 1)
        return max(shortest, self.max_suspicion_factor * shortest * (1 - share) + shortest * share)

    def scaled_push_pull_interval_s(self, members: int) -> float:
        """Return the mean time between a member's push-pull exchanges.

        It grows by one interval for each doubling of the group above PUSH_PULL_SCALE_THRESHOLD members.
        """
        doublings = math.ceil(math.log2(max(members, 1) / PUSH_PULL_SCALE_THRESHOLD))
        return self.push_pull_interval_s * (1 + max(0, doublings))

    def retransmit_limit(self, members: int) -> int:
        """Return how often a member sends a record or an entry on in a group of this size."""
        return math.ceil(self.retransmit_multiplier * math.log10(members + 1) + 1)

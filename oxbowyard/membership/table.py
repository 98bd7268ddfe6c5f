"""The table `[membership]` of the operator's file. The fields' names are the keys of that table."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from .settings import ProtocolSettings
from .udp_transport import MAX_PORT, is_ipv4_endpoint

Address = Annotated[str, Meta(pattern=r"^[^\s:]+:\d{1,5}$", max_length=128)]
Seconds = Annotated[float, Meta(gt=0, le=86400)]


class MembershipSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """`[membership]`. All schedulers of a group should have the same but for their addresses."""

    listen: Address  # UDP and TCP; an IPv4 address of this machine
    advertise: Address | None = None  # where the other members reach it; None means `listen`
    seeds: tuple[Address, ...] = ()  # any members of the group; this member's own address is ignored
    group: Annotated[str, Meta(min_length=1, max_length=64)] = "oxbowyard"
    period_s: Annotated[float, Meta(ge=0.1, le=60)] = 0.5  # each member probes one other member per period
    answer_within_s: Annotated[float, Meta(ge=0.01, le=30)] = 0.2  # must exceed the longest round trip
    forget_s: Seconds = 600.0  # how long dead members stay listed; a partition may last longer
    max_members: Annotated[int, Meta(ge=2, le=10_000)] = 1000  # about 1 kB each
    max_notes: Annotated[int, Meta(ge=1, le=100_000)] = 10_000  # fault reports and drains, about 0.4 kB each
    # Above this rate the socket is not read for a moment, and the kernel drops what its buffer can't hold.
    max_datagrams_s: Annotated[int, Meta(ge=20, le=1_000_000)] = 2000
    max_streams: Annotated[int, Meta(ge=1, le=1000)] = 32  # simultaneous connections of other members
    max_stream_bytes: Annotated[int, Meta(ge=1 << 14, le=1 << 26)] = 1 << 22  # of one push-pull message
    stream_within_s: Annotated[float, Meta(gt=0, le=60)] = 3.0  # for a request and its reply
    # For the estimated cluster size, which replaces the configured number of schedulers:
    doubt_s: Seconds = 60.0  # how long a dead member still counts
    split_s: Seconds = 600.0  # how long, if over a quarter died within doubt_s: it may be a partition
    share_troubles: bool = True  # workers that one scheduler finds faulty or warming up are avoided by all

    def __post_init__(self) -> None:
        """Raise ValueError, whose text is shown to the operators, for values that contradict each other."""
        if self.answer_within_s >= self.period_s:
            raise ValueError(
                f"answer_within_s must be below period_s ({self.period_s}), got {self.answer_within_s}"
            )
        if self.split_s < self.doubt_s:
            raise ValueError(f"split_s must not be below doubt_s ({self.doubt_s}), got {self.split_s}")
        self._check_address("listen", self.listen, needs_port=self.advertise is None)
        self._check_address("advertise", self.advertised_address, needs_port=True)
        if self.advertised_address.startswith("0.0.0.0:"):
            raise ValueError(
                "advertise must say where the other members reach this one: "
                f"{self.advertised_address} is not the address of one host"
            )

    @staticmethod
    def _check_address(key: str, address: str, needs_port: bool) -> None:
        if not is_ipv4_endpoint(address):  # resolving a name for each datagram would block the event loop
            raise ValueError(f"{key} must be an IPv4 address and a port, got {address}")
        if needs_port and not 0 < int(address.rpartition(":")[2]) <= MAX_PORT:
            raise ValueError(f"{key} needs a port from 1 to {MAX_PORT}, got {address}")

    @property
    def advertised_address(self) -> str:
        """The address at which the other members reach this one."""
        return self.advertise or self.listen

    def protocol_settings(self) -> ProtocolSettings:
        """Return the protocol's parameters."""
        return ProtocolSettings(
            group=self.group,
            probe_interval_s=self.period_s,
            probe_timeout_s=self.answer_within_s,
            dead_retention_s=self.forget_s,
            max_members=self.max_members,
            max_entries=self.max_notes,
        )

"""The table `[membership]` of the operator's file: every limit with its reason."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from .settings import GroupSettings
from .udp_transport import is_literal

Address = Annotated[str, Meta(pattern=r"^[^\s:]+:\d{1,5}$", max_length=128)]
Seconds = Annotated[float, Meta(gt=0, le=86400)]


class MembershipSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """`[membership]`. All schedulers of a group should have the same but for their addresses."""

    listen: Address  # UDP and TCP; an IPv4 address of this machine
    advertise: Address | None = None  # where the others reach it; None: at `listen`
    seeds: tuple[Address, ...] = ()  # any of the group; its own address among them does no harm
    group: Annotated[str, Meta(min_length=1, max_length=64)] = "oxbowyard"
    period_s: Annotated[float, Meta(ge=0.1, le=60)] = 0.5  # each asks one other in this time
    answer_within_s: Annotated[float, Meta(ge=0.01, le=30)] = 0.2  # over the slowest way there and back
    forget_s: Seconds = 600.0  # the dead are kept so long; a cut may last longer
    max_members: Annotated[int, Meta(ge=2, le=10_000)] = 1000  # some 1 kB each
    max_notes: Annotated[int, Meta(ge=1, le=100_000)] = 10_000  # troubles and drains, some 0.4 kB each
    # A flood of datagrams: past it the socket rests, and the kernel drops what its buffer has no room for.
    max_datagrams_s: Annotated[int, Meta(ge=20, le=1_000_000)] = 2000
    max_streams: Annotated[int, Meta(ge=1, le=1000)] = 32  # connections of others at once
    max_stream_bytes: Annotated[int, Meta(ge=1 << 14, le=1 << 26)] = 1 << 22  # of one exchange of all
    stream_within_s: Annotated[float, Meta(gt=0, le=60)] = 3.0
    # The live count in place of the configured number of schedulers.
    doubt_s: Seconds = 60.0  # one that died goes on counting for so long
    split_s: Seconds = 600.0  # and for so long if over a quarter died within doubt_s: it may be a cut
    share_troubles: bool = True  # workers that one finds barred, still or cold are spared by the others too

    def __post_init__(self) -> None:
        """What the values say together."""
        if self.answer_within_s >= self.period_s:
            raise ValueError("answer_within_s must be under period_s")
        if self.split_s < self.doubt_s:
            raise ValueError("split_s must not be under doubt_s")
        for name, address in (("listen", self.listen), ("advertise", self.reached_at)):
            if not is_literal(address):  # a name would be looked up for each datagram, and hold the loop up
                raise ValueError(f"{name} must be an IPv4 address with its port")
            if not 0 < int(address.rpartition(":")[2]) < 65536 and not (name == "listen" and self.advertise):
                raise ValueError(f"{name} needs a port")
        if self.reached_at.startswith("0.0.0.0:"):
            raise ValueError("advertise must say where the others reach it: listen names no one host")

    @property
    def reached_at(self) -> str:
        """Where the others reach it."""
        return self.advertise or self.listen

    def group_settings(self) -> GroupSettings:
        """The protocol's figures."""
        return GroupSettings(
            group=self.group,
            period=self.period_s,
            answer_within=self.answer_within_s,
            forget=self.forget_s,
            most_members=self.max_members,
            most_notes=self.max_notes,
        )

"""The table `[start]` of the operator's file."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Seconds = Annotated[float, Meta(gt=0, le=30 * 86400)]


class StartSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """`[start]`."""

    path: Annotated[str, Meta(min_length=1)] | None = None  # file of the cached list; None: no list is stored
    site: Annotated[str, Meta(min_length=1, max_length=128)] = "default"  # a list of another site is not used
    max_age_s: Seconds = 86400.0  # an older list is not used
    fresh_s: Seconds = 60.0  # all workers of an older list are treated as cold
    same_service_s: Seconds = (
        600.0  # with an older list the full list is requested, not only the changes since it
    )
    keep_every_s: Seconds = 5.0  # the list is written at most once in this time
    max_entries: Annotated[int, Meta(ge=1, le=1_000_000)] = 20_000  # a longer list is not used
    max_file_bytes: Annotated[int, Meta(ge=1 << 10, le=1 << 28)] = 1 << 24
    few: Annotated[int, Meta(ge=1, le=100)] = 3  # schedulers that may request a full list in one round
    turn_s: Seconds = 2.0  # until the next round of as many schedulers, while no peer has the list
    peers: bool = True  # ask peers for the list; needs [membership]
    ask_peer_every_s: Annotated[float, Meta(ge=0.1, le=60)] = 0.5

    def __post_init__(self) -> None:
        """Check the values against each other."""
        if self.fresh_s > self.max_age_s:
            raise ValueError("fresh_s must not be over max_age_s")

"""The table `[start]` of the operator's file: every limit with its reason."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Seconds = Annotated[float, Meta(gt=0, le=30 * 86400)]


class StartSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """`[start]`."""

    path: Annotated[str, Meta(min_length=1)] | None = None  # of the list kept on disk; None: none is kept
    site: Annotated[str, Meta(min_length=1, max_length=128)] = "default"  # a list of another is not used
    max_age_s: Seconds = 86400.0  # an older list is not served from
    fresh_s: Seconds = 60.0  # the workers of an older one are taken to be cold, all of them
    same_service_s: Seconds = 600.0  # what is newer than a list of this age may be asked for; else the whole
    keep_every_s: Seconds = 5.0  # the list is written so often at most
    max_entries: Annotated[int, Meta(ge=1, le=1_000_000)] = 20_000  # a longer list is not used
    max_file_bytes: Annotated[int, Meta(ge=1 << 10, le=1 << 28)] = 1 << 24
    few: Annotated[int, Meta(ge=1, le=100)] = 3  # schedulers that ask for a whole list at once
    turn_s: Seconds = 2.0  # then as many more, for as long as no peer has one
    peers: bool = True  # with [membership]: the rest ask these
    ask_peer_every_s: Annotated[float, Meta(ge=0.1, le=60)] = 0.5

    def __post_init__(self) -> None:
        """What the values say together."""
        if self.fresh_s > self.max_age_s:
            raise ValueError("fresh_s must not be over max_age_s")

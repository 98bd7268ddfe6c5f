"""Lists of workers by where they come from and how old they are; which to serve from. Without I/O or clock.

Trust falls with age. A list that the service told within `fresh` seconds is used as it stands. An older one
may name workers that were replaced or restarted since: each is taken to have started this moment, so that the
budget of cold workers, shared by all schedulers, bounds what any of them is sent. One past `most_age`, or of
unknown age where any other is there, is not used. A list never says of itself that it is fresh: its age is
reckoned by who holds it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any


class Source(Enum):
    """Where a list comes from; of two that are equally old the first is used."""

    SERVICE = "service"
    PEER = "peer"
    DISK = "disk"
    CONFIG = "configuration"


class Unusable(ValueError):
    """Not a list to serve from; its text says why in a few words."""


@dataclass(slots=True, frozen=True)
class Listed:
    """A list and what is known of it."""

    source: Source
    age: float  # seconds since the service told it, or confirmed it; inf: not known
    rev: int
    targets: tuple[Mapping[str, Any], ...]
    by: str = ""  # the peer, or the file

    @property
    def document(self) -> dict[str, Any]:
        """As the service tells a whole list."""
        return {"rev": self.rev, "all": True, "targets": list(self.targets)}


def listed(source: Source, age: float, document: object, most: int, by: str = "") -> Listed:
    """Look a document through; raises Unusable. Single entries that are broken are left to the registry."""
    if not isinstance(document, Mapping):
        raise Unusable("no list")
    rev, targets = document.get("rev"), document.get("targets")
    if not isinstance(rev, int) or isinstance(rev, bool) or not 0 <= rev < 1 << 62:
        raise Unusable("an absurd version")
    if not isinstance(targets, list) or not all(isinstance(t, Mapping) for t in targets):
        raise Unusable("no list of targets")
    if not targets:
        raise Unusable("empty")
    if len(targets) > most:
        raise Unusable(f"{len(targets)} entries, over {most}")
    names = {t.get("uid") for t in targets if isinstance(t.get("uid"), str)}
    if len(names) < len(targets):
        raise Unusable("workers named twice, or not at all")
    if math.isnan(age) or age < 0:
        raise Unusable("an absurd age")
    return Listed(source, age, rev, tuple(targets), by)


def best(lists: Iterable[Listed], most_age: float) -> Listed | None:
    """The youngest that may be served from. One of unknown age will do where there is no other."""
    order = list(Source)
    usable = [one for one in lists if one.age <= most_age or math.isinf(one.age)]
    return min(usable, key=lambda one: (one.age, order.index(one.source)), default=None)


def better(new: Listed, held: Listed | None) -> bool:
    """Is it worth changing over? A list a little younger is not: it moves the work for nothing."""
    return held is None or new.age < held.age / 2 and held.age - new.age > 1.0

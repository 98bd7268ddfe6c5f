"""Cached lists of workers by their source and age, and which one to serve from. Without I/O or clock.

Trust falls with age. A list that the list service sent within `fresh_s` seconds is used as it is. An older
one may name workers that were replaced or restarted since: each is taken to have started this moment, so that
the slow start, whose budget all schedulers share, bounds what any of them is sent. A list past `max_age_s`,
or of unknown age where there is any other, is not used. A list never says itself that it is fresh: its age
is computed by whoever holds it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

MAX_REVISION = 1 << 62
REPLACE_AGE_SHARE = 0.5  # of the age of the snapshot that is served from
REPLACE_MIN_S = 1.0


class Source(Enum):
    """Where a list comes from; of two that are equally old the first is used."""

    SERVICE = "service"
    PEER = "peer"
    DISK = "disk"
    CONFIG = "configuration"


class UnusableSnapshotError(ValueError):
    """Not a list to serve from; its text says why in a few words."""


@dataclass(slots=True, frozen=True)
class Snapshot:
    """A list of workers and what is known of it."""

    source: Source
    age_s: float  # since the service sent or confirmed it; inf: not known
    revision: int
    targets: tuple[Mapping[str, Any], ...]
    origin: str = ""  # the peer, or the file

    @property
    def document(self) -> dict[str, Any]:
        """In the form in which the service sends a whole list."""
        return {"rev": self.revision, "all": True, "targets": list(self.targets)}

    def aged(self, seconds: float) -> Snapshot:
        """The same list so much later."""
        return replace(self, age_s=self.age_s + seconds)


def parse_snapshot(
    source: Source, age_s: float, document: object, max_entries: int, origin: str = ""
) -> Snapshot:
    """Check a document; malformed single entries are left to the registry. Raises UnusableSnapshotError."""
    if not isinstance(document, Mapping):
        raise UnusableSnapshotError("no list")
    revision = _revision(document.get("rev"))
    targets = _targets(document.get("targets"), max_entries)
    if math.isnan(age_s) or age_s < 0:
        raise UnusableSnapshotError("an absurd age")
    return Snapshot(source, age_s, revision, targets, origin)


def _revision(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < MAX_REVISION:
        raise UnusableSnapshotError("an absurd version")
    return value


def _targets(value: object, max_entries: int) -> tuple[Mapping[str, Any], ...]:
    if not isinstance(value, list) or not all(isinstance(target, Mapping) for target in value):
        raise UnusableSnapshotError("no list of targets")
    if not value:
        raise UnusableSnapshotError("empty")
    if len(value) > max_entries:
        raise UnusableSnapshotError(f"{len(value)} entries, over {max_entries}")
    names = {target.get("uid") for target in value if isinstance(target.get("uid"), str)}
    if len(names) < len(value):
        raise UnusableSnapshotError("workers named twice, or not at all")
    return tuple(value)


def choose_best(snapshots: Iterable[Snapshot], max_age_s: float) -> Snapshot | None:
    """The youngest that may be served from. One of unknown age is used where there is no other."""
    order = list(Source)
    usable = [one for one in snapshots if one.age_s <= max_age_s or math.isinf(one.age_s)]
    return min(usable, key=lambda one: (one.age_s, order.index(one.source)), default=None)


def is_worth_replacing(new: Snapshot, current: Snapshot | None) -> bool:
    """Whether to change over to a new snapshot. One that is a little younger moves the work for nothing."""
    if current is None:
        return True
    return new.age_s < current.age_s * REPLACE_AGE_SHARE and current.age_s - new.age_s > REPLACE_MIN_S

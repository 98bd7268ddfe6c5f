"""Cached lists of workers with their source and age, and the choice between them. Has no I/O and no clock.

The older a list is, the less it is trusted. A list that the list service sent within the last `fresh_s`
seconds is used as it is. An older one may have workers that were replaced or restarted in the meantime: each
is treated as started just now, so that the slow start, whose budget all schedulers share, limits the requests
that any of them is sent. A list older than `max_age_s` is not used, and a list of unknown age only if there
is no other. A list has no flag that says it is fresh: its age is computed by the process that holds it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

MAX_REVISION = 1 << 62
REPLACE_AGE_SHARE = 0.5  # a new snapshot must be younger than this share of the current one's age
REPLACE_MIN_S = 1.0  # and younger by more than this


class Source(Enum):
    """The source of a list. Of two lists of the same age, the one whose source comes first is used."""

    SERVICE = "service"
    PEER = "peer"
    DISK = "disk"
    CONFIG = "configuration"


class UnusableSnapshotError(ValueError):
    """A list that cannot be used. The text gives the reason."""


@dataclass(slots=True, frozen=True)
class Snapshot:
    """A list of workers with its source, age and revision."""

    source: Source
    age_s: float  # since the service sent or confirmed it; inf: unknown
    revision: int
    targets: tuple[Mapping[str, Any], ...]
    origin: str = ""  # name of the peer or of the file

    @property
    def document(self) -> dict[str, Any]:
        """The list in the form in which the service sends a full list."""
        return {"rev": self.revision, "all": True, "targets": list(self.targets)}

    def aged(self, seconds: float) -> Snapshot:
        """Return the same list with its age increased."""
        return replace(self, age_s=self.age_s + seconds)


def parse_snapshot(
    source: Source, age_s: float, document: object, max_entries: int, origin: str = ""
) -> Snapshot:
    """Validate a document; its single entries are left to the registry. Raises UnusableSnapshotError."""
    if not isinstance(document, Mapping):
        raise UnusableSnapshotError(f"expected an object, found {type(document).__name__}")
    revision = _revision(document.get("rev"))
    targets = _targets(document.get("targets"), max_entries)
    if math.isnan(age_s) or age_s < 0:
        raise UnusableSnapshotError(f"expected an age of 0 s or more, found {age_s:.1f} s")
    return Snapshot(source, age_s, revision, targets, origin)


def _revision(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < MAX_REVISION:
        raise UnusableSnapshotError(
            f"field rev: expected an integer from 0 to {MAX_REVISION - 1}, found {value!r:.40}"
        )
    return value


def _targets(value: object, max_entries: int) -> tuple[Mapping[str, Any], ...]:
    if not isinstance(value, list) or not all(isinstance(target, Mapping) for target in value):
        raise UnusableSnapshotError("field targets: expected a list of objects")
    if not value:
        raise UnusableSnapshotError("field targets: empty, expected at least one entry")
    if len(value) > max_entries:
        raise UnusableSnapshotError(f"field targets: {len(value)} entries, the limit is {max_entries}")
    names = {target.get("uid") for target in value if isinstance(target.get("uid"), str)}
    if len(names) < len(value):
        raise UnusableSnapshotError(
            f"field targets: {len(value)} entries have {len(names)} different uid values"
        )
    return tuple(value)


def choose_best(snapshots: Iterable[Snapshot], max_age_s: float) -> Snapshot | None:
    """Return the youngest usable snapshot. One of unknown age is used only if there is no other."""
    order = list(Source)
    usable = [snapshot for snapshot in snapshots if snapshot.age_s <= max_age_s or math.isinf(snapshot.age_s)]
    return min(usable, key=lambda snapshot: (snapshot.age_s, order.index(snapshot.source)), default=None)


def is_worth_replacing(new: Snapshot, current: Snapshot | None) -> bool:
    """Whether a new snapshot is much younger: a slightly younger one would move requests for no gain."""
    if current is None:
        return True
    return new.age_s < current.age_s * REPLACE_AGE_SHARE and current.age_s - new.age_s > REPLACE_MIN_S

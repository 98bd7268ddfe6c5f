"""The cached list that is used until the list service answers. It is chosen at the start, and replaced by a
peer's list if that is much younger."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterator
from pathlib import Path

from .dependencies import StartDependencies
from .snapshot_file import read_snapshot
from .snapshots import (
    Snapshot,
    Source,
    UnusableSnapshotError,
    choose_best,
    is_worth_replacing,
    parse_snapshot,
)
from .table import StartSettings

log = logging.getLogger("oxbowyard.start")

NO_FILE = "file not found"  # normal at the first start of a scheduler, so it is not a warning


class ServedSnapshot:
    """Holds the cached list in use, and passes each better one to the program."""

    def __init__(
        self, settings: StartSettings, dependencies: StartDependencies, clock: Callable[[], float]
    ) -> None:
        """`clock` is the event loop's clock, in seconds."""
        self._settings = settings
        self._dependencies = dependencies
        self._clock = clock
        self._current: Snapshot | None = None
        self._adopted_at = 0.0

    def adopt_best(self) -> None:
        """Adopt the better of the lists on disk and in the configuration, if either is usable."""
        chosen = choose_best(self._local_snapshots(), self._settings.max_age_s)
        if chosen is not None:
            self._adopt(chosen)

    def offer(self, snapshot: Snapshot) -> bool:
        """Adopt this list if it is much younger than the current one. Return whether it was adopted."""
        return is_worth_replacing(snapshot, self._aged_current()) and self._adopt(snapshot)

    def drop(self) -> None:
        """Forget the cached list, which the service's list has replaced."""
        self._current = None

    def _local_snapshots(self) -> Iterator[Snapshot]:
        for source, find in ((Source.DISK, self._from_disk), (Source.CONFIG, self._from_configuration)):
            try:
                snapshot = find()
            except UnusableSnapshotError as error:
                level = logging.INFO if str(error) == NO_FILE else logging.WARNING
                log.log(level, "cached list not used: source=%s reason=%s", source.value, error)
                continue
            if snapshot is not None:
                yield snapshot

    def _from_disk(self) -> Snapshot | None:
        settings = self._settings
        if settings.path is None:
            return None
        return read_snapshot(
            Path(settings.path),
            settings.site,
            self._dependencies.wall_clock(),
            settings.max_age_s,
            settings.max_entries,
            settings.max_file_bytes,
        )

    def _from_configuration(self) -> Snapshot | None:
        known_endpoints = self._dependencies.known_endpoints
        if known_endpoints is None:
            return None
        return parse_snapshot(Source.CONFIG, math.inf, known_endpoints, self._settings.max_entries)

    def _aged_current(self) -> Snapshot | None:
        return None if self._current is None else self._current.aged(self._clock() - self._adopted_at)

    def _adopt(self, snapshot: Snapshot) -> bool:
        all_cold = snapshot.age_s > self._settings.fresh_s
        may_resume = snapshot.age_s <= self._settings.same_service_s
        if not self._dependencies.adopt(snapshot.document, all_cold, may_resume):
            return False
        self._current = snapshot
        self._adopted_at = self._clock()
        log.info(
            "serving a cached list: source=%s origin=%s age_s=%s workers=%d all_cold=%s",
            snapshot.source.value,
            snapshot.origin or "-",
            "unknown" if math.isinf(snapshot.age_s) else f"{snapshot.age_s:.0f}",
            len(snapshot.targets),
            "yes" if all_cold else "no",
        )
        return True

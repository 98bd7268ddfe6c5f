"""Writes the list service's list to disk, at most once in `keep_every_s` and only after a change."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path

from .dependencies import ServiceList
from .snapshot_file import write_snapshot

log = logging.getLogger("oxbowyard.start")


class SnapshotWriter:
    """Writes one file, and logs the first failure and the recovery from it."""

    def __init__(self, path: Path, site: str) -> None:
        self._path = path
        self._site = site
        self._is_failing = False

    async def write(self, confirmed_at: float, listed: ServiceList) -> None:
        """Replace the file. `confirmed_at` is the Unix time in seconds of the service's last answer."""
        try:  # in a thread, so that a slow disk does not block the event loop
            await asyncio.to_thread(
                write_snapshot, self._path, self._site, confirmed_at, listed.revision, listed.targets
            )
        except OSError as error:
            if not self._is_failing:
                log.error("cached list cannot be written: error=%s", error.strerror)
            self._is_failing = True
            return
        if self._is_failing:
            log.info("cached list is written again")
        self._is_failing = False

"""Updates from workers that name no attempt of theirs: late ones, and those for jobs of earlier processes."""

from __future__ import annotations

import logging
import time
from collections import Counter

from ..core.log_limit import LogLimit
from .packet_types import PacketType

log = logging.getLogger("oxbowyard.gearman")

COUNT_NAME = "stale updates"
MAX_LOGGED_HANDLES = 1000  # handles whose line is not repeated
MAX_SHOWN_BYTES = 128  # of a handle, which a peer may choose freely
MAX_LINES = 50  # in one interval
LOG_INTERVAL_S = 10.0


class StaleUpdates:
    """Counts the updates that change nothing, and logs the first one for each handle."""

    def __init__(self, counts: Counter[str]) -> None:
        """`counts` are shown to operators."""
        self._counts = counts
        self._logged: dict[bytes, None] = {}  # oldest first
        self._limit = LogLimit(MAX_LINES, LOG_INTERVAL_S, time.monotonic)

    def record(self, packet_type: PacketType, handle: bytes, peer: str) -> None:
        """Record an update. `peer` is the address that it came from."""
        self._counts[COUNT_NAME] += 1
        shown = handle[:MAX_SHOWN_BYTES]
        if shown in self._logged or not self._limit.allows_line():
            return
        self._logged[shown] = None
        if len(self._logged) > MAX_LOGGED_HANDLES:
            del self._logged[next(iter(self._logged))]
        log.info(
            "update of a job that the worker does not have: handle=%s type=%s peer=%s",
            shown.decode("ascii", "backslashreplace"),
            packet_type.name,
            peer,
        )

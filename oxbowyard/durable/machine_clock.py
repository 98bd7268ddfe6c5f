"""Compares points in time across restarts of the program on one machine, whatever the system's clock does."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from ..store.record import FirstSend

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
UPTIME_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)  # goes on while the machine is suspended


@dataclass(slots=True, frozen=True)
class Moment:
    """A point in time on both clocks of a machine."""

    unix_s: float
    uptime_s: float = 0.0
    boot_id: str = ""  # empty: unknown, so that `uptime_s` can't be compared


class MachineClock:
    """Reads both clocks."""

    def __init__(self, wall_clock: Callable[[], float] = time.time) -> None:
        """`wall_clock` is Unix time in seconds."""
        self._wall_clock = wall_clock
        self._boot_id = _read_boot_id()

    def now(self) -> Moment:
        """Return the current time."""
        return Moment(self._wall_clock(), time.clock_gettime(UPTIME_CLOCK), self._boot_id)


def _read_boot_id() -> str:
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


def repeat_time_left_s(first: FirstSend, now: Moment) -> float:
    """Return for how long a repeat of a sent job is still harmless; 0 if it is not, or if that is unknown.

    The longer of the times that both clocks measured counts. After a restart of the machine, or on another
    one, no clock says how long ago the job was sent.
    """
    uptime_s = now.uptime_s - first.uptime_s
    if not now.boot_id or first.boot_id != now.boot_id or uptime_s < 0:
        return 0.0
    elapsed_s = max(now.unix_s - first.unix_s, uptime_s)
    return max(first.repeat_window_s - elapsed_s, 0.0)


def first_send_at(now: Moment, repeat_window_s: float, request_id: str) -> FirstSend | None:
    """Return the record of a job that is sent now; None if a repeat is never harmless."""
    if repeat_window_s <= 0 or math.isinf(repeat_window_s):
        return None
    return FirstSend(now.unix_s, now.uptime_s, now.boot_id, repeat_window_s, request_id)

"""The files in `$TMPDIR` by which an old and a new process of one scheduler find each other.

Each file names a process by its pid, and that process touches it as a heartbeat. A file that nobody has
touched for `STALE_AFTER_S` belongs to a process that is gone, as after a kill, and is ignored.
"""

from __future__ import annotations

import contextlib
import logging
import os
import time
from collections.abc import Callable
from pathlib import Path

log = logging.getLogger("oxbowyard.handover")

HEARTBEAT_INTERVAL_S = 0.2  # between touches of a process's own file, and looks at the other's
STALE_AFTER_S = 1.0
MAX_PID_FILE_BYTES = 64  # a longer file is not one of these


class PidFiles:
    """The three files of one scheduler.

    `serving` names the process that has the scheduler's clients, `successor` one that waits to take over,
    `handed_over` the successor to which the old process has handed over.
    """

    def __init__(self, folder: Path, name: str, pid: int, clock: Callable[[], float] = time.time) -> None:
        """`name` is the scheduler's, `pid` this process's; `clock` gives Unix time in seconds."""
        self.pid = pid
        self._clock = clock
        self.serving = folder / f"oxbowyard-{name}-serving"
        self.successor = folder / f"oxbowyard-{name}-successor"
        self.handed_over = folder / f"oxbowyard-{name}-handed"

    def read_pid(self, path: Path, ignore_stale: bool = True) -> int | None:
        """The pid that a file names; None where it is absent, malformed or, by default, stale."""
        try:
            with path.open("rb") as file:
                text = file.read(MAX_PID_FILE_BYTES)
            if ignore_stale and self._clock() - path.stat().st_mtime > STALE_AFTER_S:
                return None
            return int(text)
        except (OSError, ValueError):
            return None

    def other_process(self, path: Path) -> int | None:
        """The pid of a living process that a file names, where that is not this process."""
        pid = self.read_pid(path)
        return pid if pid is not None and pid != self.pid else None

    def write(self, path: Path, pid: int | None = None) -> None:
        """Name a process, by default this one. A reader sees the file whole or not at all."""
        temporary = path.with_name(f"{path.name}.{self.pid}")
        try:
            temporary.write_text(str(self.pid if pid is None else pid))
            os.replace(temporary, path)
        except OSError as error:  # the other process then waits for as long as it may
            log.error("handover file not written: file=%s error=%s", path.name, error)

    def touch(self, path: Path) -> None:
        """Renew the heartbeat of a file that names this process."""
        if self._is_own(path):
            with contextlib.suppress(OSError):
                os.utime(path)

    def remove(self, path: Path) -> None:
        """Remove a file that names this process."""
        if self._is_own(path):
            with contextlib.suppress(OSError):
                path.unlink()

    def _is_own(self, path: Path) -> bool:
        return self.read_pid(path, ignore_stale=False) == self.pid

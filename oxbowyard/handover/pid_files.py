"""The pid files in `$TMPDIR` by which an old and a new process of one scheduler find each other.

Each file contains the pid of a process, which touches the file as a heartbeat. A file that has not been
touched for `STALE_AFTER_S` belongs to a process that has died, for example by SIGKILL, and is ignored.
"""

from __future__ import annotations

import contextlib
import logging
import os
import time
from collections.abc import Callable
from pathlib import Path

log = logging.getLogger("oxbowyard.handover")

HEARTBEAT_INTERVAL_S = (
    0.2  # between two touches of a process's own file, and between two polls of the other files
)
STALE_AFTER_S = 1.0
MAX_PID_FILE_BYTES = 64  # more than any pid needs


class PidFiles:
    """The three pid files of one scheduler.

    `serving` contains the pid of the process that serves the clients, `successor` that of the process that
    waits to take over, `handed_over` that of the successor to which the old process has handed over.
    """

    def __init__(self, folder: Path, name: str, pid: int, clock: Callable[[], float] = time.time) -> None:
        """`name` is the scheduler's name, `pid` this process's pid; `clock` returns Unix time in seconds."""
        self.pid = pid
        self._clock = clock
        self.serving = folder / f"oxbowyard-{name}-serving"
        self.successor = folder / f"oxbowyard-{name}-successor"
        self.handed_over = folder / f"oxbowyard-{name}-handed"

    def read_pid(self, path: Path, ignore_stale: bool = True) -> int | None:
        """Read the pid in a file; None if the file is absent, malformed or, by default, stale."""
        try:
            with path.open("rb") as file:
                text = file.read(MAX_PID_FILE_BYTES)
            if ignore_stale and self._clock() - path.stat().st_mtime > STALE_AFTER_S:
                return None
            return int(text)
        except (OSError, ValueError):
            return None

    def other_process(self, path: Path) -> int | None:
        """Return the pid in a file that is not stale, or None if it is the pid of this process."""
        pid = self.read_pid(path)
        return pid if pid is not None and pid != self.pid else None

    def write(self, path: Path, pid: int | None = None) -> None:
        """Write the pid of a process, by default of this one. The file is replaced atomically."""
        temporary = path.with_name(f"{path.name}.{self.pid}")
        try:
            temporary.write_text(str(self.pid if pid is None else pid))
            os.replace(temporary, path)
        except OSError as error:  # the other process then waits until its time-out
            log.error("handover file not written: file=%s error=%s", path.name, error)

    def touch(self, path: Path) -> None:
        """Renew the heartbeat of a file if it contains the pid of this process."""
        if self._is_own(path):
            with contextlib.suppress(OSError):
                os.utime(path)

    def remove(self, path: Path) -> None:
        """Remove a file if it contains the pid of this process."""
        if self._is_own(path):
            with contextlib.suppress(OSError):
                path.unlink()

    def _is_own(self, path: Path) -> bool:
        return self.read_pid(path, ignore_stale=False) == self.pid

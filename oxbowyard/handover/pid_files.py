"""The files in `$TMPDIR` by which an old and a new process of one scheduler find each other.

Each names a process by its pid and is touched while that process lives; a file that nobody has touched for
`STALE` seconds belongs to a process that is gone, as after a kill, and counts for nothing.
"""

from __future__ import annotations

import contextlib
import logging
import os
import time
from collections.abc import Callable
from pathlib import Path

log = logging.getLogger("oxbowyard.succession")  # as operators know it

BEAT_EVERY = 0.2  # seconds between touches of a process's own file, and looks at the other's
STALE = 1.0  # seconds untouched after which a file's process is taken for gone
MOST_BYTES = 64  # a pid in text; more is no file of ours


class Marks:
    """`serving`: the process that has the scheduler's clients. `successor`: one that waits to take over.
    `handed`: the successor that the old process has handed over to."""

    def __init__(self, folder: Path, name: str, pid: int, clock: Callable[[], float] = time.time) -> None:
        self.pid = pid
        self._clock = clock
        self.serving = folder / f"oxbowyard-{name}-serving"
        self.successor = folder / f"oxbowyard-{name}-successor"
        self.handed = folder / f"oxbowyard-{name}-handed"

    def named(self, path: Path, fresh: bool = True) -> int | None:
        """The pid that a file names, if it is there (and touched of late, where `fresh`)."""
        try:
            with path.open("rb") as file:
                text = file.read(MOST_BYTES)
            if fresh and self._clock() - path.stat().st_mtime > STALE:
                return None
            return int(text)
        except (OSError, ValueError):  # absent, half written, or not ours
            return None

    def other(self, path: Path) -> int | None:
        """The pid of another living process that a file names."""
        pid = self.named(path)
        return pid if pid is not None and pid != self.pid else None

    def write(self, path: Path, pid: int | None = None) -> None:
        """Name a process, own by default; whole or not at all for a reader at the same moment."""
        part = path.with_name(f"{path.name}.{self.pid}")
        try:
            part.write_text(str(self.pid if pid is None else pid))
            os.replace(part, path)
        except OSError as fault:  # then the other process waits until its time is up
            log.error("cannot write %s: %s", path.name, fault)

    def touch(self, path: Path) -> None:
        """Say that the process the file names, this one, still lives."""
        if self.named(path, fresh=False) == self.pid:
            with contextlib.suppress(OSError):
                os.utime(path)

    def remove(self, path: Path) -> None:
        """Take the file away if it names this process."""
        if self.named(path, fresh=False) == self.pid:
            with contextlib.suppress(OSError):
                path.unlink()

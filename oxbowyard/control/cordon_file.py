"""The file of the cordoned endpoints, which a process that replaces this one reads too."""

from __future__ import annotations

import logging
import os
from pathlib import Path

import orjson

log = logging.getLogger("oxbowyard.control")

MAX_CORDONED = 10_000  # uids that are read; a file of more is not one of these
MAX_UID_BYTES = 2048  # of one uid as JSON: 256 characters that are all escaped
MAX_FILE_BYTES = MAX_CORDONED * MAX_UID_BYTES

Version = tuple[int, int]  # a file's modification time in nanoseconds, and its size in bytes
ABSENT: Version = (0, 0)


class CordonFile:
    """The cordoned uids, as one JSON list.

    Each change reads the file anew and replaces it as a whole, so that two processes of one scheduler that
    take requests at the same time each keep the other's.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self._read_version: Version | None = None

    def read(self) -> frozenset[str] | None:
        """The uids that the file names, none where it is absent.

        None where nothing has changed since the last call, or the file can't be read: what was read before
        then stays in force.
        """
        version = self._current_version()
        if version is None or version == self._read_version:
            return None
        self._read_version = version
        return frozenset() if version == ABSENT else self._parse()

    def update(self, uid: str, cordoned: bool, fallback: frozenset[str] = frozenset()) -> None:
        """Add or remove one uid and leave the rest as it is in the file now.

        `fallback`: the rest where the file can't be read. An error of the disk is logged.
        """
        self._read_version = None
        in_file = self.read()
        known = fallback if in_file is None else in_file
        wanted = known | {uid} if cordoned else known - {uid}
        if wanted != in_file or not self.path.exists():
            self._write(wanted)

    def _current_version(self) -> Version | None:
        try:
            status = self.path.stat()
            return status.st_mtime_ns, status.st_size
        except FileNotFoundError:
            # Without its folder the disk may be gone; else nothing is cordoned yet, or all was uncordoned.
            return ABSENT if self.path.parent.is_dir() else None
        except OSError as error:
            if self._read_version is not None:  # once, not at every look
                _log_unreadable(error)
            self._read_version = None
            return None

    def _parse(self) -> frozenset[str] | None:
        try:
            with self.path.open("rb") as file:
                found = orjson.loads(file.read(MAX_FILE_BYTES))
            if not isinstance(found, list):
                raise ValueError("no list")
        except (OSError, ValueError) as error:  # cut short, or not one of these files
            _log_unreadable(error)
            return None
        return frozenset(uid for uid in found[:MAX_CORDONED] if isinstance(uid, str))

    def _write(self, uids: frozenset[str]) -> None:
        temporary = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        try:
            temporary.write_bytes(orjson.dumps(sorted(uids)))
            os.replace(temporary, self.path)
        except OSError as error:  # in this process the cordon is in force all the same
            log.error("cordon file not written: error=%s", error)


def _log_unreadable(error: Exception) -> None:
    log.warning("cordon file not readable: error=%s", error)

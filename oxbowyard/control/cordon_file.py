"""Stores the cordoned endpoints in a file, which a process that replaces this one also reads."""

from __future__ import annotations

import logging
import os
from pathlib import Path

import orjson

log = logging.getLogger("oxbowyard.control")

MAX_CORDONED = 10_000  # limit on the uids read, since a valid file never has more
MAX_UID_BYTES = 2048  # one uid in JSON: 256 characters, all of them escaped
MAX_FILE_BYTES = MAX_CORDONED * MAX_UID_BYTES

Version = tuple[int, int]  # modification time in nanoseconds and size in bytes of a file
ABSENT: Version = (0, 0)


class CordonFile:
    """The uids of the cordoned endpoints, stored as a JSON list.

    Each change reads the file again and replaces it atomically, so that two processes of one scheduler that
    serve admin requests at the same time preserve each other's changes.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self._read_version: Version | None = None

    def read(self) -> frozenset[str] | None:
        """Read the file if it has changed since the last call.

        Returns:
            The uids in the file, an empty set if it does not exist. None if it is unchanged or cannot be
            read; the uids that were read before then remain in force.
        """
        version = self._current_version()
        if version is None or version == self._read_version:
            return None
        self._read_version = version
        return frozenset() if version == ABSENT else self._parse()

    def update(self, uid: str, cordoned: bool, fallback: frozenset[str] = frozenset()) -> None:
        """Add or remove one uid, and preserve the other uids in the file.

        `fallback` replaces the other uids if the file cannot be read. A failure to write is logged.
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
            # If the directory is missing too, the disk may not be mounted. Otherwise nothing is cordoned.
            return ABSENT if self.path.parent.is_dir() else None
        except OSError as error:
            if self._read_version is not None:  # log it once, not on every call
                _log_unreadable(error)
            self._read_version = None
            return None

    def _parse(self) -> frozenset[str] | None:
        try:
            with self.path.open("rb") as file:
                found = orjson.loads(file.read(MAX_FILE_BYTES))
            if not isinstance(found, list):
                raise ValueError(f"expected a JSON list, found {type(found).__name__}")
        except (OSError, ValueError) as error:  # truncated, or not a cordon file
            _log_unreadable(error)
            return None
        return frozenset(uid for uid in found[:MAX_CORDONED] if isinstance(uid, str))

    def _write(self, uids: frozenset[str]) -> None:
        temporary = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        try:
            temporary.write_bytes(orjson.dumps(sorted(uids)))
            os.replace(temporary, self.path)
        except OSError as error:  # the cordon still takes effect in this process
            log.error("cordon file not written: error=%s", error)


def _log_unreadable(error: Exception) -> None:
    log.warning("cordon file not readable: error=%s", error)

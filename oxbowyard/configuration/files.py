"""Reads a configuration file as text, within a bound."""

from __future__ import annotations

from pathlib import Path

MAX_FILE_BYTES = 1 << 20  # a configuration has some thousand; a device or a log is none


class UnreadableFileError(ValueError):
    """The file can't be read or parsed at all; its text says why."""


def read_text(path: Path) -> str:
    """The text in a file. Raises UnreadableFileError, or UnicodeDecodeError where it is no text."""
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise UnreadableFileError(f"over {MAX_FILE_BYTES} bytes")
        return path.read_text()
    except OSError as error:
        raise UnreadableFileError(f"cannot be read: {error.strerror}") from None

"""Reads a configuration file as text, up to a maximum size."""

from __future__ import annotations

from pathlib import Path

MAX_FILE_BYTES = 1 << 20  # a configuration has a few thousand bytes; this excludes logs and devices


class UnreadableFileError(ValueError):
    """The file cannot be read or parsed. The text gives the reason."""


def read_text(path: Path) -> str:
    """Read a file as text. Raises UnreadableFileError, or UnicodeDecodeError if it is not text."""
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise UnreadableFileError(f"is over {MAX_FILE_BYTES} bytes")
        return path.read_text()
    except OSError as error:
        raise UnreadableFileError(f"cannot be read: {error.strerror}") from None

"""The list of workers in a file: written whole or not at all, checked when it is read, never taken for fresh.

The file is one JSON object, a newline, and 64 hex digits: the checksum of what stands before the newline. The
program that replaces this one reads it, so its bytes must not change.
"""

from __future__ import annotations

import contextlib
import math
import os
from collections.abc import Mapping, Sequence
from hashlib import blake2b
from pathlib import Path
from typing import Any

import orjson

from .snapshots import Snapshot, Source, UnusableSnapshotError, parse_snapshot

FORMAT = 1
CLOCK_TOLERANCE_S = 60.0  # that a file may be ahead of this machine's clock
CHECKSUM_BYTES = 32  # twice as many hex digits
TRAILER_BYTES = 2 * CHECKSUM_BYTES + 1  # with the newline before them


def read_snapshot(
    path: Path, site: str, now: float, max_age_s: float, max_entries: int, max_bytes: int
) -> Snapshot:
    """The list in the file; `now` is Unix time in seconds. Raises UnusableSnapshotError with the reason."""
    document = _parse(_read(path, max_bytes))
    if document.get("site") != site:
        raise UnusableSnapshotError("of another site")
    age_s = _age_s(document.get("told_at"), now)
    if age_s > max_age_s:
        raise UnusableSnapshotError(f"{age_s:.0f} s old")
    return parse_snapshot(Source.DISK, age_s, document, max_entries, path.name)


def write_snapshot(
    path: Path, site: str, confirmed_at: float, revision: int, targets: Sequence[Mapping[str, Any]]
) -> None:
    """Replace the file. Raises OSError, and then the one before is still there, whole.

    `confirmed_at` is the Unix time in seconds at which the service sent or confirmed the list.
    """
    body = orjson.dumps(
        {"format": FORMAT, "site": site, "told_at": confirmed_at, "rev": revision, "targets": list(targets)}
    )
    temporary = path.with_name(f"{path.name}.{os.getpid()}.part")
    try:
        with temporary.open("wb") as file:
            file.write(body + b"\n" + _checksum(body))
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
    except OSError:
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise


def _read(path: Path, max_bytes: int) -> bytes:
    try:
        if path.stat().st_size > max_bytes:
            raise UnusableSnapshotError(f"over {max_bytes} bytes")
        return path.read_bytes()
    except FileNotFoundError:
        raise UnusableSnapshotError("not there") from None
    except OSError as error:
        raise UnusableSnapshotError(f"can't be read: {error.strerror}") from None


def _parse(data: bytes) -> dict[str, Any]:
    body, trailer = data[:-TRAILER_BYTES], data[-TRAILER_BYTES:]
    if not body or trailer != b"\n" + _checksum(body):
        raise UnusableSnapshotError("damaged")
    try:
        document = orjson.loads(body)
    except ValueError:
        raise UnusableSnapshotError("damaged") from None
    if not isinstance(document, dict) or document.get("format") != FORMAT:
        raise UnusableSnapshotError("of another format")
    return document


def _age_s(told_at: object, now: float) -> float:
    if not isinstance(told_at, (int, float)) or not math.isfinite(told_at):
        raise UnusableSnapshotError("damaged")
    if told_at > now + CLOCK_TOLERANCE_S:
        raise UnusableSnapshotError("from the future")
    return max(now - told_at, 0.0)


def _checksum(body: bytes) -> bytes:
    return blake2b(body, digest_size=CHECKSUM_BYTES).hexdigest().encode()

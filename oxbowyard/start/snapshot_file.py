"""The cached list of workers in a file, which is replaced atomically and validated when it is read.

The file has one JSON object, a newline, and 64 hex digits: the checksum of the JSON text. Other releases of
the program read the file, so its format must not change. Its age is computed from the time in it, and it is
never treated as a fresh list.
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
CLOCK_TOLERANCE_S = 60.0  # by which the time in a file may be ahead of this machine's clock
CHECKSUM_BYTES = 32  # written as 64 hex digits
TRAILER_BYTES = 2 * CHECKSUM_BYTES + 1  # hex digits and the newline before them


def read_snapshot(
    path: Path, site: str, now: float, max_age_s: float, max_entries: int, max_bytes: int
) -> Snapshot:
    """Read the list in a file. `now` is Unix time in seconds. Raises UnusableSnapshotError."""
    document = _parse(_read(path, max_bytes))
    if document.get("site") != site:
        raise UnusableSnapshotError(f"list of site {document.get('site')!r}, expected site {site!r}")
    age_s = _age_s(document.get("told_at"), now)
    if age_s > max_age_s:
        raise UnusableSnapshotError(f"{age_s:.0f} s old, the limit is {max_age_s:.0f} s")
    return parse_snapshot(Source.DISK, age_s, document, max_entries, path.name)


def write_snapshot(
    path: Path, site: str, confirmed_at: float, revision: int, targets: Sequence[Mapping[str, Any]]
) -> None:
    """Replace the file. If this raises OSError, the previous file is unchanged.

    `confirmed_at` is the Unix time in seconds at which the service last sent or confirmed the list.
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
            raise UnusableSnapshotError(f"{path.name} is over {max_bytes} bytes")
        return path.read_bytes()
    except FileNotFoundError:
        raise UnusableSnapshotError("file not found") from None
    except OSError as error:
        raise UnusableSnapshotError(f"{path.name} cannot be read: {error.strerror}") from None


def _parse(data: bytes) -> dict[str, Any]:
    body, trailer = data[:-TRAILER_BYTES], data[-TRAILER_BYTES:]
    if not body or trailer != b"\n" + _checksum(body):
        raise UnusableSnapshotError(f"checksum mismatch in a file of {len(data)} bytes")
    try:
        document = orjson.loads(body)
    except ValueError:
        raise UnusableSnapshotError("content is not JSON") from None
    if not isinstance(document, dict) or document.get("format") != FORMAT:
        raise UnusableSnapshotError(f"expected an object with format {FORMAT}")
    return document


def _age_s(told_at: object, now: float) -> float:
    if not isinstance(told_at, (int, float)) or not math.isfinite(told_at):
        raise UnusableSnapshotError(f"field told_at: expected a Unix time in seconds, found {told_at!r:.40}")
    if told_at > now + CLOCK_TOLERANCE_S:
        raise UnusableSnapshotError(
            f"field told_at: {told_at - now:.0f} s ahead of the clock, the limit is {CLOCK_TOLERANCE_S:.0f} s"
        )
    return max(now - told_at, 0.0)


def _checksum(body: bytes) -> bytes:
    return blake2b(body, digest_size=CHECKSUM_BYTES).hexdigest().encode()

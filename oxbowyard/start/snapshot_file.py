"""The list kept on disk: written whole or not at all, checked when it is read, and never taken for fresh."""

from __future__ import annotations

import contextlib
import math
import os
from collections.abc import Mapping, Sequence
from hashlib import blake2b
from pathlib import Path
from typing import Any

import orjson

from .snapshots import Listed, Source, Unusable, listed

FORMAT = 1
AHEAD = 60.0  # seconds that a file may be ahead of this machine's clock


def read(path: Path, site: str, now: float, most_age: float, most: int, most_bytes: int) -> Listed:
    """The list in the file; `now` is wall-clock time. Raises Unusable with the reason."""
    try:
        if path.stat().st_size > most_bytes:
            raise Unusable(f"over {most_bytes} bytes")
        data = path.read_bytes()
    except FileNotFoundError:
        raise Unusable("not there") from None
    except OSError as fault:
        raise Unusable(f"can't be read: {fault.strerror}") from None
    body = data[:-65]
    if len(data) < 66 or data[-65:] != b"\n" + _sum(body):
        raise Unusable("damaged")
    try:
        found = orjson.loads(body)
    except ValueError:
        raise Unusable("damaged") from None
    if not isinstance(found, dict) or found.get("format") != FORMAT:
        raise Unusable("of another format")
    if found.get("site") != site:
        raise Unusable("of another site")
    told_at = found.get("told_at")
    if not isinstance(told_at, (int, float)) or not math.isfinite(told_at):
        raise Unusable("damaged")
    if told_at > now + AHEAD:
        raise Unusable("from the future")
    age = max(now - told_at, 0.0)
    if age > most_age:
        raise Unusable(f"{age:.0f} s old")
    return listed(Source.DISK, age, found, most, path.name)


def write(path: Path, site: str, told_at: float, rev: int, targets: Sequence[Mapping[str, Any]]) -> None:
    """Replace the file; raises OSError, and then the one before is still there, whole."""
    body = orjson.dumps(
        {"format": FORMAT, "site": site, "told_at": told_at, "rev": rev, "targets": list(targets)}
    )
    part = path.with_name(f"{path.name}.{os.getpid()}.part")
    try:
        with part.open("wb") as file:
            file.write(body + b"\n" + _sum(body))
            file.flush()
            os.fsync(file.fileno())
        os.replace(part, path)
    except OSError:
        with contextlib.suppress(OSError):
            part.unlink()
        raise


def _sum(body: bytes) -> bytes:
    return blake2b(body, digest_size=32).hexdigest().encode()

"""The file in `$TMPDIR` by which an old process hands its estimates over to the process that succeeds it.

It is two lines of JSON: a header with the version, the successor's pid and a checksum, then the estimates
with their time. It is written whole or not at all. A file that is damaged, of another version, for another
process or too old is rejected: the successor then begins without estimates, as at any start.
"""

from __future__ import annotations

import hashlib
import logging
import math
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints

import orjson

from ..decision.snapshot import STORED_KEYS, VERSION, Snapshot

log = logging.getLogger("oxbowyard.handover")

MAX_FILE_BYTES = 1 << 20
CHECKSUM_BYTES = 16
MAX_AGE_MS = 10_000.0  # older estimates of a worker's load and health mean nothing
CLOCK_TOLERANCE_MS = 500.0  # each process reads the system's time at its own start


class UnusableFileError(ValueError):
    """The file is rejected; the text says why."""


def encode(snapshot: Snapshot, successor: int) -> bytes:
    """The file's content, for the successor with this pid."""
    body = orjson.dumps(_stored_form(snapshot))
    header = {"version": VERSION, "successor": successor, "checksum": _checksum(body)}
    return orjson.dumps(header) + b"\n" + body


def decode(text: bytes, pid: int, now: float) -> Snapshot:
    """The estimates out of a file's content.

    `pid` is this process's, `now` is in Unix milliseconds. Raises UnusableFileError, and ValueError where the
    second line is no JSON.
    """
    first_line, _, body = text.partition(b"\n")
    try:
        header = orjson.loads(first_line)
    except ValueError:
        raise UnusableFileError("no header") from None
    if not isinstance(header, dict) or header.get("version") != VERSION:
        raise UnusableFileError("another version")
    if header.get("successor") != pid:
        raise UnusableFileError(f"for process {header.get('successor')!r}")
    if header.get("checksum") != _checksum(body):
        raise UnusableFileError("damaged")
    snapshot: Snapshot = _decode_value(Snapshot, orjson.loads(body))
    age_ms = now - snapshot.taken_at_ms
    if not -CLOCK_TOLERANCE_MS <= age_ms <= MAX_AGE_MS:
        raise UnusableFileError(f"{age_ms:.0f} ms old")
    return snapshot


def _checksum(body: bytes) -> str:
    return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES).hexdigest()


def _stored_form(value: Any) -> Any:
    """The value as JSON stores it: each dataclass is an object with its stored keys."""
    if (keys := STORED_KEYS.get(type(value))) is not None:
        return {key: _stored_form(getattr(value, name)) for name, key in keys.items()}
    if isinstance(value, dict):
        return {name: _stored_form(item) for name, item in value.items()}
    if isinstance(value, list):
        return [_stored_form(item) for item in value]
    return value


def _decode_value(expected: Any, value: Any) -> Any:
    """A value of the expected type, out of decoded JSON; raises UnusableFileError."""
    origin, arguments = get_origin(expected), get_args(expected)
    if hasattr(expected, "__dataclass_fields__"):
        hints = get_type_hints(expected)
        keys = STORED_KEYS[expected]
        if not isinstance(value, dict) or value.keys() != set(keys.values()):
            raise UnusableFileError(f"no {expected.__name__}")
        return expected(**{name: _decode_value(hints[name], value[key]) for name, key in keys.items()})
    if origin is dict and isinstance(value, dict):
        return {str(name): _decode_value(arguments[1], item) for name, item in value.items()}
    if origin is list and isinstance(value, list):
        return [_decode_value(arguments[0], item) for item in value]
    if origin is tuple and isinstance(value, list) and len(value) == len(arguments):
        return tuple(_decode_value(kind, item) for kind, item in zip(arguments, value, strict=True))
    if expected is float:
        return _decode_number(value)
    if origin is None and isinstance(expected, type) and type(value) is expected:
        return value
    if type(None) in arguments and (value is None or isinstance(value, str)):
        return value
    raise UnusableFileError(f"{value!r:.40} is no {expected}")


def _decode_number(value: Any) -> float:
    if value is None:  # JSON has no infinity, which stands for "never" or "none yet" in these estimates
        return math.inf
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise UnusableFileError(f"{value!r:.40} is no number")
    return float(value)


class EstimatesFile:
    """Writes and reads the file. An error of the disk is logged, and nothing else depends on it."""

    def __init__(self, folder: Path, name: str, pid: int, clock: Callable[[], float]) -> None:
        """`name` is the scheduler's, `pid` this process's; `clock` gives Unix time in milliseconds."""
        self._path = folder / f"oxbowyard-{name}-learned"
        self._pid = pid
        self._clock = clock
        self._last_reason = ""  # of a rejection: each is logged once

    def write(self, snapshot: Snapshot, successor: int) -> None:
        """Write the estimates for the successor with this pid, in place of what was there."""
        temporary = self._path.with_name(f"{self._path.name}.{self._pid}")
        try:
            temporary.write_bytes(encode(snapshot, successor))
            os.replace(temporary, self._path)
        except (OSError, TypeError) as error:
            log.error("estimates not handed over: error=%s", error)

    def read(self) -> Snapshot | None:
        """The estimates that the old process has written for this one; None where there are none to use."""
        try:
            with self._path.open("rb") as file:
                text = file.read(MAX_FILE_BYTES + 1)
            if len(text) > MAX_FILE_BYTES:
                raise UnusableFileError("too long")
            return decode(text, self._pid, self._clock())
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            if self._last_reason != str(error):
                self._last_reason = str(error)
                log.warning("estimates of the old process rejected: reason=%s", error)
            return None

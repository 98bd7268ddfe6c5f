"""The file in `$TMPDIR` through which an old process hands its estimates over to its successor.

The file has two lines of JSON: a header with the version, the successor's pid and a checksum, then the
estimates and the time at which they were taken. It is replaced atomically. A file that is damaged, has
another version, is meant for another process or is too old is rejected: the successor then starts without
estimates, as at an ordinary start.
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
MAX_AGE_MS = 10_000.0  # older estimates no longer describe a worker's load and health
CLOCK_TOLERANCE_MS = 500.0  # the clocks differ: each process reads the system time once, at its start


class UnusableFileError(ValueError):
    """The file is rejected. The text gives the reason."""


def encode(snapshot: Snapshot, successor: int) -> bytes:
    """Encode the content of the file for the successor with this pid."""
    body = orjson.dumps(_stored_form(snapshot))
    header = {"version": VERSION, "successor": successor, "checksum": _checksum(body)}
    return orjson.dumps(header) + b"\n" + body


def decode(text: bytes, pid: int, now: float) -> Snapshot:
    """Decode the estimates in the content of the file.

    `pid` is the pid of this process, `now` is in Unix milliseconds. Raises UnusableFileError, or ValueError
    if the second line is not JSON.
    """
    first_line, _, body = text.partition(b"\n")
    try:
        header = orjson.loads(first_line)
    except ValueError:
        raise UnusableFileError(f"the header is not JSON: {first_line!r:.40}") from None
    if not isinstance(header, dict) or header.get("version") != VERSION:
        raise UnusableFileError(f"expected a header with version {VERSION}, found {header!r:.80}")
    if header.get("successor") != pid:
        raise UnusableFileError(f"written for process {header.get('successor')!r}, this is process {pid}")
    if header.get("checksum") != _checksum(body):
        raise UnusableFileError(f"{len(body)} bytes do not match checksum {header.get('checksum')!r:.40}")
    snapshot: Snapshot = _decode_value(Snapshot, orjson.loads(body))
    age_ms = now - snapshot.taken_at_ms
    if not -CLOCK_TOLERANCE_MS <= age_ms <= MAX_AGE_MS:
        raise UnusableFileError(f"{age_ms:.0f} ms old, the limit is {MAX_AGE_MS:.0f} ms")
    return snapshot


def _checksum(body: bytes) -> str:
    return hashlib.blake2b(body, digest_size=CHECKSUM_BYTES).hexdigest()


def _stored_form(value: Any) -> Any:
    """Return the value in its JSON form: each dataclass becomes an object with its stored keys."""
    if (keys := STORED_KEYS.get(type(value))) is not None:
        return {key: _stored_form(getattr(value, name)) for name, key in keys.items()}
    if isinstance(value, dict):
        return {name: _stored_form(item) for name, item in value.items()}
    if isinstance(value, list):
        return [_stored_form(item) for item in value]
    return value


def _decode_value(expected: Any, value: Any) -> Any:
    """Convert decoded JSON to a value of the expected type. Raises UnusableFileError."""
    origin, arguments = get_origin(expected), get_args(expected)
    if hasattr(expected, "__dataclass_fields__"):
        hints = get_type_hints(expected)
        keys = STORED_KEYS[expected]
        if not isinstance(value, dict) or value.keys() != set(keys.values()):
            raise UnusableFileError(f"expected an object with the keys of {expected.__name__}")
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
    raise UnusableFileError(f"expected {expected}, found {value!r:.40}")


def _decode_number(value: Any) -> float:
    if value is None:  # JSON has no infinity, which means "never" or "none yet" in these estimates
        return math.inf
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise UnusableFileError(f"expected a finite number or null, found {value!r:.40}")
    return float(value)


class EstimatesFile:
    """Writes and reads the file. A disk error is logged and has no other effect."""

    def __init__(self, folder: Path, name: str, pid: int, clock: Callable[[], float]) -> None:
        """`name` is the scheduler's name, `pid` this process's pid; `clock` returns Unix time in ms."""
        self._path = folder / f"oxbowyard-{name}-learned"
        self._pid = pid
        self._clock = clock
        self._last_reason = ""  # of the last rejection: the same reason is logged only once

    def write(self, snapshot: Snapshot, successor: int) -> None:
        """Write the estimates for the successor with this pid, replacing an existing file."""
        temporary = self._path.with_name(f"{self._path.name}.{self._pid}")
        try:
            temporary.write_bytes(encode(snapshot, successor))
            os.replace(temporary, self._path)
        except (OSError, TypeError) as error:
            log.error("estimates not handed over: error=%s", error)

    def read(self) -> Snapshot | None:
        """Read the estimates that the old process wrote for this one; None if there are no usable ones."""
        try:
            with self._path.open("rb") as file:
                text = file.read(MAX_FILE_BYTES + 1)
            if len(text) > MAX_FILE_BYTES:
                raise UnusableFileError(f"{self._path.name} is over {MAX_FILE_BYTES} bytes")
            return decode(text, self._pid, self._clock())
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            if self._last_reason != str(error):
                self._last_reason = str(error)
                log.warning("estimates of the old process rejected: reason=%s", error)
            return None

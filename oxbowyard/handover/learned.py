"""The file in `$TMPDIR` by which an old process hands what it has learned to the one that replaces it.

Two lines of JSON: a header with the version, the successor's pid and a checksum, then the estimates with
their time. It is written whole or not at all. Whatever is damaged, of another version, for another process or
too old is not believed: the successor then begins without estimates, as at any start.
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

log = logging.getLogger("oxbowyard.succession")  # as operators know it

MAX_BYTES = 1 << 20
MAX_AGE_MS = 10_000.0  # a worker's load and health say nothing after that
CLOCK_TOLERANCE_MS = 500.0  # each process reads the system's time at its own start


class Unusable(ValueError):
    """The file can't be believed; the text says why."""


def encode(snapshot: Snapshot, successor: int) -> bytes:
    """The file's text."""
    body = orjson.dumps(_stored_form(snapshot))
    header = {"version": VERSION, "successor": successor, "checksum": _checksum(body)}
    return orjson.dumps(header) + b"\n" + body


def decode(text: bytes, pid: int, now: float) -> Snapshot:
    """The estimates for this process; `now` in Unix milliseconds. Raises Unusable."""
    head, _, body = text.partition(b"\n")
    try:
        header = orjson.loads(head)
    except ValueError:
        raise Unusable("no header") from None
    if not isinstance(header, dict) or header.get("version") != VERSION:
        raise Unusable("another version")
    if header.get("successor") != pid:
        raise Unusable(f"for process {header.get('successor')!r}")
    if header.get("checksum") != _checksum(body):
        raise Unusable("damaged")
    snapshot: Snapshot = _read(Snapshot, orjson.loads(body))
    age_ms = now - snapshot.taken_at_ms
    if not -CLOCK_TOLERANCE_MS <= age_ms <= MAX_AGE_MS:
        raise Unusable(f"{age_ms:.0f} ms old")
    return snapshot


def _checksum(body: bytes) -> str:
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def _stored_form(value: Any) -> Any:
    """What JSON holds of a value: its dataclasses as objects with the keys that are stored."""
    if (keys := STORED_KEYS.get(type(value))) is not None:
        return {key: _stored_form(getattr(value, name)) for name, key in keys.items()}
    if isinstance(value, dict):
        return {name: _stored_form(part) for name, part in value.items()}
    if isinstance(value, list):
        return [_stored_form(part) for part in value]
    return value


def _read(form: Any, value: Any) -> Any:
    """A value of this type, out of what JSON holds; raises Unusable."""
    origin, inside = get_origin(form), get_args(form)
    if hasattr(form, "__dataclass_fields__"):
        hints = get_type_hints(form)
        keys = STORED_KEYS[form]
        if not isinstance(value, dict) or value.keys() != set(keys.values()):
            raise Unusable(f"no {form.__name__}")
        return form(**{name: _read(hints[name], value[key]) for name, key in keys.items()})
    if origin is dict and isinstance(value, dict):
        return {str(name): _read(inside[1], part) for name, part in value.items()}
    if origin is list and isinstance(value, list):
        return [_read(inside[0], part) for part in value]
    if origin is tuple and isinstance(value, list) and len(value) == len(inside):
        return tuple(_read(kind, part) for kind, part in zip(inside, value, strict=True))
    if form is float:
        return _number(value)
    if origin is None and isinstance(form, type) and type(value) is form:
        return value
    if type(None) in inside and (value is None or isinstance(value, str)):
        return value
    raise Unusable(f"{value!r:.40} is no {form}")


def _number(value: Any) -> float:
    if (
        value is None
    ):  # JSON has no infinity: where these estimates have one it stands for "never" or "none yet"
        return math.inf
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise Unusable(f"{value!r:.40} is no number")
    return float(value)


class LearnedFile:
    """Writes and reads it. A fault of the disk is logged, and nothing else depends on it."""

    def __init__(self, folder: Path, name: str, pid: int, clock: Callable[[], float]) -> None:
        self._path = folder / f"oxbowyard-{name}-learned"
        self._pid = pid
        self._clock = clock
        self._told = ""  # why it was not believed, once each

    def write(self, snapshot: Snapshot, successor: int) -> None:
        """For the successor, in place of what was there."""
        part = self._path.with_name(f"{self._path.name}.{self._pid}")
        try:
            part.write_bytes(encode(snapshot, successor))
            os.replace(part, self._path)
        except (OSError, TypeError) as fault:
            log.error("what was learned is not handed over: %s", fault)

    def read(self) -> Snapshot | None:
        """What the old process has written for this one; None if there is nothing to believe."""
        try:
            with self._path.open("rb") as file:
                text = file.read(MAX_BYTES + 1)
            if len(text) > MAX_BYTES:
                raise Unusable("too long")
            return decode(text, self._pid, self._clock())
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as fault:
            if self._told != str(fault):
                self._told = str(fault)
                log.warning("what the old process has learned is not believed: %s", fault)
            return None

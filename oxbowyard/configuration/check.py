"""`oxbowyard check`: a file read and held against its model, all faults at once."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from .validation_errors import Fault, faults
from .platform import ENVIRONMENT, PLAIN, PlatformFile

MOST_FILE = 1 << 20  # bytes: a configuration has some thousand; a device or a log is none


class Unreadable(ValueError):
    """The file can't be read or parsed at all; its text says why."""


def read(path: Path) -> dict[str, Any]:
    """The document in a file: TOML by its suffix, JSON otherwise."""
    try:
        if path.stat().st_size > MOST_FILE:
            raise Unreadable(f"over {MOST_FILE} bytes")
        text = path.read_text()
    except OSError as fault:
        raise Unreadable(f"cannot be read: {fault.strerror}") from None
    except UnicodeDecodeError:
        raise Unreadable("is no text") from None
    if not text.strip():
        raise Unreadable("is empty")
    try:
        document = tomllib.loads(text) if path.suffix == ".toml" else json.loads(text)
    except ValueError as fault:
        raise Unreadable(str(fault)) from None
    if not isinstance(document, dict):
        raise Unreadable("is not a table of keys")
    return document


def check_platform(document: Mapping[str, Any], environ: Mapping[str, str]) -> list[Fault]:
    """The platform's file with the environment that stands in for what it leaves out."""
    found = faults(document, PlatformFile, plain=PLAIN)
    for key in ("listen", "discovery"):
        if not document.get(key) and not environ.get(ENVIRONMENT[key]):
            found.append(Fault(key, f"missing, and ${ENVIRONMENT[key]} is not set"))
    for key in ("listen", "discovery", "admin"):
        text = document.get(key)
        port = text.rpartition(":")[2] if isinstance(text, str) else ""
        if port.isdecimal() and int(port) > 65535:
            found.append(Fault(key, "the port is over 65535"))
    lanes = (document.get("settings") or {}).get("lanes")
    if isinstance(lanes, list):
        names = [str(lane.get("name")) for lane in lanes if isinstance(lane, dict)]
        twice = sorted({n for n in names if names.count(n) > 1})
        found += [Fault("settings.lanes", f"the class {n} twice") for n in twice]
    return found


def check_operator(document: Mapping[str, Any]) -> list[Fault]:
    """The operator's TOML, without the classes of a platform file to hold it against."""
    from ..operator.file import Tables  # needs the extra waiting's libraries as well

    return faults(document, Tables)


def check_file(path: Path, environ: Mapping[str, str]) -> list[Fault]:
    """All faults and notes of a file of either kind."""
    try:
        document = read(path)
    except Unreadable as fault:
        return [Fault("", str(fault))]
    return check_operator(document) if path.suffix == ".toml" else check_platform(document, environ)

"""The platform's configuration of a scheduler: a JSON file, with environment variables for absent keys."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from ..decision.platform_settings import get_load_report_names, parse_settings
from ..decision.settings import Settings

DEFAULT_NAME = "oxbowyard"
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
DEFAULT_MAX_HELD = 20_000  # requests held at once
MAX_PORT = 65_535


class ConfigurationError(Exception):
    """The configuration cannot be used. The text is one line."""


@dataclass(slots=True, frozen=True)
class Config:
    """The platform's configuration of one scheduler."""

    name: str
    host: str
    port: int
    discovery: str  # HOST:PORT
    seed: int
    sockets: int  # file descriptors that the process may use
    memory_mb: float
    max_held_requests: int  # at once
    settings: Settings
    weight_is_per_work: bool  # a class's weight applies per unit of work, not per request
    known_endpoints: object = None  # the endpoint list in the file, if any
    admin: tuple[str, int] | None = None  # the admin API's address; None: the admin API is off
    load_names: Mapping[str, str] = field(default_factory=dict)
    key_paths: frozenset[str] = frozenset()  # the keys in the file, as dotted paths


# Keys that may be absent from the file at a reload, because they are used only at the start.
START_ONLY_KEYS = ("known", "seed")

# Fields that cannot change without a restart. `discovery` can, and so can the settings that
# `core.settings_update` handles. The seed and the known endpoints are used only at the start.
RESTART_FIELDS = (
    "name",
    "host",
    "port",
    "admin",
    "sockets",
    "memory_mb",
    "max_held_requests",
    "weight_is_per_work",
    "load_names",
)


def needs_restart(old: Config, new: Config) -> tuple[str, ...]:
    """Return the names of the fields that differ and cannot change without a restart."""
    return tuple(name for name in RESTART_FIELDS if getattr(old, name) != getattr(new, name))


def missing_key(old: Config, new: Config) -> str | None:
    """Return a key that the current file has and the new one lacks: such a file is truncated or a mistake."""
    return min(old.key_paths - new.key_paths, default=None)


def key_paths_of(document: dict[str, Any]) -> frozenset[str]:
    """Return the keys at the top level, in `settings` and its tables, and those that all lanes share."""
    paths = {key for key in document if key not in START_ONLY_KEYS}
    settings = document.get("settings")
    if not isinstance(settings, dict):
        return frozenset(paths)
    for key, value in settings.items():
        paths.add(f"settings.{key}")
        if isinstance(value, dict):
            paths |= {f"settings.{key}.{inner}" for inner in value}
    paths |= {f"settings.lanes.{key}" for key in _keys_of_all_lanes(settings)}
    return frozenset(paths)


def _keys_of_all_lanes(settings: dict[str, Any]) -> set[str]:
    lanes = [lane for lane in settings.get("lanes") or () if isinstance(lane, dict)]
    return set(lanes[0]).intersection(*lanes[1:]) if lanes else set()


def load(environ: Mapping[str, str]) -> Config:
    """Read the file named by LB_CONFIG; the other environment variables supply absent keys. Raises
    ConfigurationError."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigurationError("LB_CONFIG is not set")
    document = _read(Path(path))
    try:
        return _config(document, environ)
    except (ValueError, TypeError, LookupError, AttributeError) as error:
        raise ConfigurationError(f"bad configuration: {' '.join(str(error).split())}") from None


def _read(path: Path) -> dict[str, Any]:
    try:
        text = path.read_bytes()
        if not text.strip():  # the file is being written, or was emptied by mistake
            raise ConfigurationError(f"{path}: the configuration is empty")
        document = orjson.loads(text)
    except OSError as error:
        raise ConfigurationError(f"cannot read the configuration: {error}") from None
    except ValueError as error:
        raise ConfigurationError(f"{path}: the configuration is not JSON: {error}") from None
    if not isinstance(document, dict):
        raise ConfigurationError(f"{path}: the configuration is not a JSON object")
    return document


def _config(document: dict[str, Any], environ: Mapping[str, str]) -> Config:
    settings = document.get("settings")
    if not isinstance(settings, dict):
        raise ValueError("settings is missing or not an object")
    host, port = address(document.get("listen") or environ.get("LB_LISTEN"), "listen")
    discovery = document.get("discovery") or environ.get("LB_DISCOVERY")
    address(discovery, "discovery")
    limits = document.get("limits") or {}
    admin = document.get("admin") or environ.get("LB_ADMIN")
    return Config(
        name=str(document.get("name") or environ.get("LB_NAME") or DEFAULT_NAME),
        host=host,
        port=port,
        discovery=str(discovery),
        seed=int(str(document.get("seed") or "0"), 16),
        sockets=int(limits.get("sockets") or DEFAULT_SOCKETS),
        memory_mb=_finite(limits.get("memory_mb") or DEFAULT_MEMORY_MB, "limits.memory_mb"),
        max_held_requests=int(settings["policyLimits"].get("mostHeld") or DEFAULT_MAX_HELD),
        settings=parse_settings(settings),
        weight_is_per_work=settings.get("worthBy") == "work",
        known_endpoints=document.get("known"),
        admin=address(admin, "admin") if admin else None,
        load_names=get_load_report_names(settings),
        key_paths=key_paths_of(document),
    )


def _finite(value: object, name: str) -> float:
    number = float(str(value))
    if not math.isfinite(number):
        raise ValueError(f"{name} is not a finite number: {value!r}")
    return number


def address(text: object, name: str) -> tuple[str, int]:
    """Split HOST:PORT. Raises ValueError with the key `name` in its text."""
    host, _, port = str(text or "").rpartition(":")
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise ValueError(f"{name} is not an address, expected HOST:PORT: {text!r}")
    return host, int(port)

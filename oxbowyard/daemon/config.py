"""The platform's configuration of a scheduler: its file, and the environment for what that leaves out."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from ..decision.platform_settings import load_names, settings_of
from ..decision.settings import Settings

DEFAULT_NAME = "oxbowyard"
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
DEFAULT_MAX_HELD = 20_000  # requests
MAX_PORT = 65_535


class ConfigurationError(Exception):
    """The configuration can't be used; its text is one line."""


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
    max_held_requests: int  # requests at once
    settings: Settings
    weight_is_per_work: bool  # a class's weight counts per unit of work, not per request
    known_endpoints: object = None  # the endpoint list that the file brings, if any
    admin: tuple[str, int] | None = None  # the admin API's address, if it is asked for
    load_names: Mapping[str, str] = field(default_factory=dict)
    key_paths: frozenset[str] = frozenset()  # the keys that the file has, as paths


# Keys that a file read again need not have: they matter at a start only.
START_ONLY_KEYS = ("known", "seed")

# Fields that a running program can't change. `discovery` moves without a restart, and the settings change
# live as far as `core.settings_update` says; the seed and the known list are for a start.
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
    """The names of the fields that differ and can't be changed live."""
    return tuple(name for name in RESTART_FIELDS if getattr(old, name) != getattr(new, name))


def missing_key(old: Config, new: Config) -> str | None:
    """A key that the file in force has and a new one lacks: such a file is cut short or not meant."""
    return min(old.key_paths - new.key_paths, default=None)


def key_paths_of(document: dict[str, Any]) -> frozenset[str]:
    """The keys of a file: of the top, of the settings and their tables, and those that all classes have."""
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
    """Read the file that LB_CONFIG names; the other variables replace what it leaves out. Raises
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
        if not text.strip():  # a file being written, or emptied by mistake
            raise ConfigurationError("the configuration is empty")
        document = orjson.loads(text)
    except OSError as error:
        raise ConfigurationError(f"cannot read the configuration: {error}") from None
    except ValueError as error:
        raise ConfigurationError(f"the configuration is not JSON: {error}") from None
    if not isinstance(document, dict):
        raise ConfigurationError("the configuration is not a JSON object")
    return document


def _config(document: dict[str, Any], environ: Mapping[str, str]) -> Config:
    settings = document.get("settings")
    if not isinstance(settings, dict):
        raise ValueError("settings are missing")
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
        settings=settings_of(settings),
        weight_is_per_work=settings.get("worthBy") == "work",
        known_endpoints=document.get("known"),
        admin=address(admin, "admin") if admin else None,
        load_names=load_names(settings),
        key_paths=key_paths_of(document),
    )


def _finite(value: object, name: str) -> float:
    number = float(str(value))
    if not math.isfinite(number):
        raise ValueError(f"{name} is not a finite number: {value!r}")
    return number


def address(text: object, name: str) -> tuple[str, int]:
    """Split HOST:PORT; raises ValueError, which names the key `name`."""
    host, _, port = str(text or "").rpartition(":")
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise ValueError(f"{name} is not an address: {text!r}")
    return host, int(port)

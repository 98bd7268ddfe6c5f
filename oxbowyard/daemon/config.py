"""The configuration that the platform hands to a scheduler."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from ..decision.platform_settings import load_names, settings_of
from ..decision.settings import Settings


class BadConfig(Exception):
    """The configuration can't be used; its text is one line."""


@dataclass(slots=True, frozen=True)
class Config:
    """All that a scheduler is told."""

    name: str
    host: str
    port: int
    discovery: str
    seed: int
    sockets: int
    memory_mb: float
    most_held: int
    settings: Settings
    by_work: bool
    known: object = None
    admin: tuple[str, int] | None = None  # the operators' door, if it is asked for
    load_names: Mapping[str, str] = field(default_factory=dict)
    shape: frozenset[str] = frozenset()  # the keys that the file has, as paths


# Keys of a file's shape that one read again need not have: they are for a start.
FOR_A_START = ("known", "seed")


# What a running program can't change about itself; `discovery` moves without a restart, and the settings
# change live as far as `core.settings_update` says. The seed is new with
# each start, and `known` is for one that begins with no list.
NEED_RESTART = (
    "name", "host", "port", "admin", "sockets", "memory_mb", "most_held", "by_work", "load_names",
)  # fmt: skip


def needs_restart(old: Config, new: Config) -> tuple[str, ...]:
    """The names of the fields that differ and can't be changed live."""
    return tuple(name for name in NEED_RESTART if getattr(old, name) != getattr(new, name))


def lacks(old: Config, new: Config) -> str | None:
    """A key that the file in force has and a new one lacks: such a file is cut short or not meant."""
    return min(old.shape - new.shape, default=None)


def shape_of(document: dict[str, Any]) -> frozenset[str]:
    """The keys of a file: of the top, of the settings and their tables, and those all classes have."""
    paths = {key for key in document if key not in FOR_A_START}
    facts = document.get("settings")
    if not isinstance(facts, dict):
        return frozenset(paths)
    for key, value in facts.items():
        paths.add(f"settings.{key}")
        if isinstance(value, dict):
            paths |= {f"settings.{key}.{inner}" for inner in value}
    lanes = [lane for lane in facts.get("lanes") or () if isinstance(lane, dict)]
    if lanes:
        common = set(lanes[0]).intersection(*lanes[1:])
        paths |= {f"settings.lanes.{key}" for key in common}
    return frozenset(paths)


def load(environ: Mapping[str, str]) -> Config:
    """Read the file that LB_CONFIG names; the other variables stand in for what it leaves out."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise BadConfig("LB_CONFIG is not set")
    try:
        text = Path(path).read_bytes()
        if not text.strip():  # a file being written, or emptied by mistake
            raise BadConfig("the configuration is empty")
        document = orjson.loads(text)
    except OSError as fault:
        raise BadConfig(f"cannot read the configuration: {fault}") from None
    except ValueError as fault:
        raise BadConfig(f"the configuration is not JSON: {fault}") from None
    if not isinstance(document, dict):
        raise BadConfig("the configuration is not a JSON object")
    try:
        return _config(document, environ)
    except (ValueError, TypeError, LookupError, AttributeError) as fault:
        raise BadConfig(f"bad configuration: {' '.join(str(fault).split())}") from None


def _config(document: dict[str, Any], environ: Mapping[str, str]) -> Config:
    facts = document.get("settings")
    if not isinstance(facts, dict):
        raise ValueError("settings are missing")
    host, port = address(document.get("listen") or environ.get("LB_LISTEN"), "listen")
    discovery = document.get("discovery") or environ.get("LB_DISCOVERY")
    address(discovery, "discovery")
    limits = document.get("limits") or {}
    admin = document.get("admin") or environ.get("LB_ADMIN")
    return Config(
        name=str(document.get("name") or environ.get("LB_NAME") or "oxbowyard"),
        host=host,
        port=port,
        discovery=str(discovery),
        seed=int(str(document.get("seed") or "0"), 16),
        sockets=int(limits.get("sockets") or 1024),
        memory_mb=float(limits.get("memory_mb") or 192),
        most_held=int(facts["policyLimits"].get("mostHeld") or 20_000),
        settings=settings_of(facts),
        by_work=facts.get("worthBy") == "work",
        known=document.get("known"),
        admin=address(admin, "admin") if admin else None,
        load_names=load_names(facts),
        shape=shape_of(document),
    )


def address(text: object, name: str) -> tuple[str, int]:
    """Split host:port."""
    host, _, port = str(text or "").rpartition(":")
    if not host or not port.isdecimal() or not int(port) < 65536:
        raise ValueError(f"{name} is not an address: {text!r}")
    return host, int(port)

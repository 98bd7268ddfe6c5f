"""The file that says where the Gearman front listens and what its functions are."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from ..decision.settings import JobClass

KIND = "gearman"  # the kind of all Gearman workers, and the prefix of their names


@dataclass(slots=True, frozen=True)
class Function:
    """One Gearman function and the class of its own that its jobs have."""

    name: str
    job_class: JobClass
    queueing: bool = False  # refused, its jobs wait and are asked again: with the table [waiting]
    patience: float | None = None  # seconds that its jobs may wait; None: as [waiting] says


@dataclass(slots=True, frozen=True)
class GearmanConfig:
    """What the file says."""

    host: str
    port: int
    max_packet: int
    max_connections: int
    max_buffered: int
    packet_within: float
    max_queue: int
    max_held: int
    functions: dict[str, Function]


def load(path: Path, classes: Iterable[JobClass]) -> GearmanConfig:
    """Read the file. Each function takes after a class of the settings; raises ValueError on a fault."""
    try:
        document = tomllib.loads(path.read_text())
    except OSError as fault:
        raise ValueError(f"cannot read {path.name}: {fault.strerror}") from None
    except ValueError as fault:
        raise ValueError(f"{path.name}: {fault}") from None
    return parse(document, classes)


def parse(document: dict[str, Any], classes: Iterable[JobClass]) -> GearmanConfig:
    """Check what a file says, or a table of the operator's file; raises ValueError on a fault."""
    host, _, port = str(document.get("listen", "")).rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise ValueError("listen is not an address")
    bases = {c.name: c for c in classes}
    table = document.get("functions") or {}
    return GearmanConfig(
        host=host,
        port=int(port),
        max_packet=_positive(document, "max_packet_bytes", 256 << 10),
        max_connections=_positive(document, "max_connections", 256),
        max_buffered=_positive(document, "max_buffered_bytes", 4 << 20),
        packet_within=_seconds(document, "packet_within_s", 2.4),
        max_queue=_positive(document, "max_queue", 200),
        max_held=_positive(document, "max_held_bytes", 32 << 20),
        functions={name: _function(name, row, bases) for name, row in table.items()},
    )


def _seconds(row: dict[str, Any], name: str, default: float, most: float = 3600.0) -> float:
    value = row.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < most:
        raise ValueError(f"{name} must be above 0 and under {most:g}")
    return float(value)


def _positive(row: dict[str, Any], name: str, default: float) -> int:
    value = row.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value <= 0:
        raise ValueError(f"{name} must be above 0")
    return int(value)


def _function(name: str, row: dict[str, Any], bases: dict[str, JobClass]) -> Function:
    base = bases.get(row.get("class", ""))
    if base is None:
        raise ValueError(f"function {name}: class {row.get('class')!r} is not in the settings")
    deadline = float(_positive(row, "deadline_ms", base.deadline_ms))
    worth = row.get("worth", base.priority_weight)
    if isinstance(worth, bool) or not isinstance(worth, (int, float)) or worth < 0:
        raise ValueError(f"function {name}: worth must not be negative")
    own = replace(
        base,
        name=f"{KIND}:{name}",
        kind=KIND,
        deadline_ms=deadline,
        latency_objective_ms=min(base.latency_objective_ms, deadline),
        priority_weight=float(worth),
    )
    patience = _seconds(row, "patience_s", 0.0, 10 * 365 * 86400.0) if "patience_s" in row else None
    queueing = row.get("queueing", False)
    if not isinstance(queueing, bool):
        raise ValueError(f"function {name}: queueing must be true or false")
    return Function(name, own, queueing, patience)

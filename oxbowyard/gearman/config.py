"""The configuration of the Gearman front: where it listens, its limits and its functions.

It is either a separate TOML file (`deploy/gearman.toml`) or the table `[gearman]` of the operator's file.
Operators write the keys and read the texts of the errors.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from ..decision.settings import JobClass

KIND = "gearman"  # the kind of all Gearman workers and the prefix of their names

DEFAULT_MAX_PACKET_BYTES = 256 << 10
DEFAULT_MAX_CONNECTIONS = 256
DEFAULT_MAX_BUFFERED_BYTES = 4 << 20
DEFAULT_PACKET_TIMEOUT_S = 2.4
DEFAULT_MAX_QUEUE_JOBS = 200
DEFAULT_MAX_HELD_BYTES = 32 << 20

MAX_PORT = 65535
MAX_TIMEOUT_S = 3600.0
MAX_WAIT_S = 10 * 365 * 86400.0
MS_PER_S = 1000
MAX_NUMBER = 1e15  # limit on every number in the file


@dataclass(slots=True, frozen=True)
class FunctionDefinition:
    """What the file says of one function."""

    name: str
    base_class: str  # name of the class of the settings that its class is based on
    deadline_ms: float | None = None  # None: that of the base class
    priority_weight: float | None = None  # None: that of the base class
    queueing: bool = False  # rejected jobs wait and are submitted again; requires the table [waiting]
    max_wait_s: float | None = None  # how long its jobs may wait; None for the default of [waiting]

    def job_class(self, base: JobClass) -> JobClass:
        """Return the class of the function's jobs: `base` with the function's own deadline and weight."""
        deadline_ms = base.deadline_ms if self.deadline_ms is None else self.deadline_ms
        weight = base.priority_weight if self.priority_weight is None else self.priority_weight
        return replace(
            base,
            name=f"{KIND}:{self.name}",
            kind=KIND,
            deadline_ms=deadline_ms,
            latency_objective_ms=min(base.latency_objective_ms, deadline_ms),
            priority_weight=weight,
        )


@dataclass(slots=True)
class Function:
    """One Gearman function, and the one place that holds the class in force of its jobs.

    Two functions are equal if the file says the same of them.
    """

    definition: FunctionDefinition
    job_class: JobClass = field(compare=False)  # follows the settings in force; its name never changes

    def apply_classes(self, classes: Mapping[str, JobClass]) -> None:
        """Base the class on these classes of the settings, by name. Without its base it stays as it is."""
        base = classes.get(self.definition.base_class)
        if base is not None:
            self.job_class = self.definition.job_class(base)

    @property
    def name(self) -> str:
        """The name by which clients and workers call it."""
        return self.definition.name

    @property
    def queueing(self) -> bool:
        """Whether rejected jobs wait and are submitted again."""
        return self.definition.queueing

    @property
    def max_wait_s(self) -> float | None:
        """How long its jobs may wait; None for the default of [waiting]."""
        return self.definition.max_wait_s

    @property
    def deadline_s(self) -> float:
        """The time limit of a job, in seconds."""
        return self.job_class.deadline_ms / MS_PER_S


@dataclass(slots=True, frozen=True)
class GearmanConfig:
    """The validated configuration of the Gearman front."""

    host: str
    port: int
    max_packet_bytes: int
    max_connections: int
    max_buffered_bytes: int  # of incomplete packets, on all connections together
    packet_timeout_s: float  # for a connection's first packet, and for the rest of each incomplete one
    max_queue: int  # waiting jobs per function
    max_held_bytes: int  # total size of the workloads of all jobs
    functions: dict[str, Function]

    def apply_classes(self, classes: Iterable[JobClass]) -> tuple[JobClass, ...]:
        """Base the functions' classes on these classes of the settings, and return the functions' classes."""
        by_name = {job_class.name: job_class for job_class in classes}
        for function in self.functions.values():
            function.apply_classes(by_name)
        return tuple(function.job_class for function in self.functions.values())


def load(path: Path, classes: Iterable[JobClass]) -> GearmanConfig:
    """Read the configuration from a separate file.

    Args:
        path: The TOML file.
        classes: The job classes of the settings. Each function is based on one of them.

    Raises:
        ValueError: The file cannot be read or its content is not valid.
    """
    try:
        document = tomllib.loads(path.read_text())
    except OSError as error:
        raise ValueError(f"cannot read {path.name}: {error.strerror}") from None
    except ValueError as error:
        raise ValueError(f"{path.name}: {error}") from None
    return parse(document, classes)


def parse(document: dict[str, Any], classes: Iterable[JobClass]) -> GearmanConfig:
    """Validate the content of the file or of the table [gearman]. Raises ValueError if it is not valid."""
    host, _, port = str(document.get("listen", "")).rpartition(":")
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise ValueError(f"listen is not an address of the form HOST:PORT: {document.get('listen')!r}")
    base_classes = {c.name: c for c in classes}
    table = document.get("functions") or {}
    return GearmanConfig(
        host=host,
        port=int(port),
        max_packet_bytes=_positive_integer(document, "max_packet_bytes", DEFAULT_MAX_PACKET_BYTES),
        max_connections=_positive_integer(document, "max_connections", DEFAULT_MAX_CONNECTIONS),
        max_buffered_bytes=_positive_integer(document, "max_buffered_bytes", DEFAULT_MAX_BUFFERED_BYTES),
        packet_timeout_s=_positive_seconds(
            document, "packet_within_s", DEFAULT_PACKET_TIMEOUT_S, MAX_TIMEOUT_S
        ),
        max_queue=_positive_integer(document, "max_queue", DEFAULT_MAX_QUEUE_JOBS),
        max_held_bytes=_positive_integer(document, "max_held_bytes", DEFAULT_MAX_HELD_BYTES),
        functions={name: _function(name, row, base_classes) for name, row in table.items()},
    )


def _positive_seconds(row: dict[str, Any], key: str, default: float, maximum: float) -> float:
    value = row.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < maximum:
        raise ValueError(f"{key} must be a number above 0 and below {maximum:g}, not {value!r}")
    return float(value)


def _positive_integer(row: dict[str, Any], key: str, default: float) -> int:
    """Return the value of `key` rounded down to an integer, which must be at least 1."""
    value = row.get(key, default)
    if not _is_number(value) or value < 1:
        raise ValueError(f"{key} must be a number of at least 1, not {value!r}")
    return int(value)


def _is_number(value: object) -> bool:
    """Return whether the value is a number, neither NaN nor larger than MAX_NUMBER."""
    return isinstance(value, (int, float)) and not isinstance(value, bool) and abs(value) <= MAX_NUMBER


def _function(name: str, row: dict[str, Any], base_classes: dict[str, JobClass]) -> Function:
    base = base_classes.get(row.get("class", ""))
    if base is None:
        raise ValueError(f"function {name}: class {row.get('class')!r} is not in the settings")
    deadline_ms = float(_positive_integer(row, "deadline_ms", 0)) if "deadline_ms" in row else None
    priority_weight = row.get("worth")
    if priority_weight is not None and (not _is_number(priority_weight) or priority_weight < 0):
        raise ValueError(f"function {name}: worth must be a number of at least 0, not {priority_weight!r}")
    max_wait_s = _positive_seconds(row, "patience_s", 0.0, MAX_WAIT_S) if "patience_s" in row else None
    queueing = row.get("queueing", False)
    if not isinstance(queueing, bool):
        raise ValueError(f"function {name}: queueing must be true or false, not {queueing!r}")
    weight = None if priority_weight is None else float(priority_weight)
    definition = FunctionDefinition(name, base.name, deadline_ms, weight, queueing, max_wait_s)
    return Function(definition, definition.job_class(base))

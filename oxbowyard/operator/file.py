"""Reads `deploy/operator.toml`. Every fault in it is found in one go, each named by its key.

msgspec stops at the first fault of what it converts, so each value is converted by itself.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from types import UnionType
from typing import Any, Union, get_args, get_origin

import msgspec

from ..decision.settings import JobClass
from ..durable.settings import DurableSettings
from ..gearman.config import Function, GearmanConfig
from ..gearman.config import parse as parse_gearman
from ..membership.table import MembershipSettings
from ..start.table import StartSettings
from ..waiting.settings import ClassSettings, WaitingSettings

MOST_FILE = 1 << 20  # bytes: a file of settings has some thousand; a device or a log is none


class FunctionTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[gearman.functions.NAME]`."""

    class_: str = msgspec.field(name="class")
    deadline_ms: float | None = None
    worth: float | None = None
    queueing: bool = False
    patience_s: float | None = None


class GearmanTable(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`[gearman]`: the keys of deploy/gearman.toml, whose page says what they mean."""

    listen: str
    max_packet_bytes: int | None = None
    max_connections: int | None = None
    max_buffered_bytes: int | None = None
    packet_within_s: float | None = None
    max_queue: int | None = None
    max_held_bytes: int | None = None
    functions: dict[str, FunctionTable] = msgspec.field(default_factory=dict)


class Tables(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The file. A table that is absent leaves its subsystem off."""

    waiting: WaitingSettings | None = None
    durable: DurableSettings | None = None
    gearman: GearmanTable | None = None
    membership: MembershipSettings | None = None
    start: StartSettings | None = None


@dataclass(slots=True, frozen=True)
class OperatorConfig:
    """What the file switches on."""

    waiting: WaitingSettings | None = None
    gearman: GearmanConfig | None = None
    durable: DurableSettings | None = None
    membership: MembershipSettings | None = None
    start: StartSettings | None = None


class Faulty(ValueError):
    """The file can't be used; its text names every fault, each by its key."""

    def __init__(self, name: str, faults: Iterable[str]) -> None:
        self.faults = tuple(faults)
        super().__init__(f"{name}: " + "; ".join(self.faults))


def load(path: Path, classes: Iterable[JobClass]) -> OperatorConfig:
    """Read and check the file against the classes of the settings; raises Faulty."""
    document = _read(path)
    faults = list(_faults(document, Tables, ""))
    if faults:
        raise Faulty(path.name, faults)
    tables = msgspec.convert(document, Tables)
    named = tuple(classes)
    gearman = None
    if "gearman" in document:
        try:
            gearman = parse_gearman(document["gearman"], named)
        except ValueError as fault:
            raise Faulty(path.name, [f"gearman.{fault}"]) from None
    waiting = tables.waiting
    functions = gearman.functions if gearman else {}
    if waiting is None:
        queueing = (f.name for f in functions.values() if f.queueing)
        faults = [f"gearman.functions.{name}.queueing: needs the table [waiting]" for name in queueing]
    else:
        waiting = _with_functions(waiting, functions)
        known = {c.name for c in named} | {f.job_class.name for f in functions.values()}
        faults = [f"waiting.classes.{n}: no such class here" for n in waiting.classes if n not in known]
        most = waiting.max_patience_s
        faults += [
            f"gearman.functions.{f.name}.patience_s: over waiting.max_patience_s"
            for f in functions.values()
            if f.patience is not None and f.patience > most
        ]
        if "jobs" in known:
            faults.append("waiting: a class is named jobs, and its path is that of waiting jobs")
    if tables.durable is not None and waiting is None:
        faults.append("durable: needs the table [waiting]")
    if faults:
        raise Faulty(path.name, faults)
    return OperatorConfig(waiting, gearman, tables.durable, tables.membership, tables.start)


def _with_functions(waiting: WaitingSettings, functions: Mapping[str, Function]) -> WaitingSettings:
    """A function's class has a table like any other; what the function says goes into it."""
    classes = dict(waiting.classes)
    for function in functions.values():
        own = classes.get(function.job_class.name, ClassSettings())
        if function.queueing:
            own = msgspec.structs.replace(own, queueing=True)
        classes[function.job_class.name] = own
    return msgspec.structs.replace(waiting, classes=classes)


def _read(path: Path) -> dict[str, Any]:
    try:
        if path.stat().st_size > MOST_FILE:
            raise Faulty(path.name, [f"over {MOST_FILE} bytes"])
        return tomllib.loads(path.read_text())
    except OSError as fault:
        raise Faulty(path.name, [f"cannot be read: {fault.strerror}"]) from None
    except ValueError as fault:  # TOML's faults, and bytes that are no text
        if isinstance(fault, Faulty):
            raise
        raise Faulty(path.name, [str(fault)]) from None


def _faults(value: object, type_: Any, key: str) -> Iterator[str]:
    """What is wrong with a value and all below it."""
    struct = _struct_in(type_)
    if get_origin(type_) is dict and isinstance(value, Mapping):
        for name, item in value.items():
            yield from _faults(item, get_args(type_)[1], _under(key, str(name)))
    elif struct is not None and isinstance(value, Mapping):
        yield from _struct_faults(value, struct, key)
    else:
        try:
            msgspec.convert(value, type_)
        except msgspec.ValidationError as fault:
            yield f"{key}: {str(fault).partition(' - at ')[0]}"


def _struct_faults(value: Mapping[str, object], struct: type[msgspec.Struct], key: str) -> Iterator[str]:
    fields = {f.encode_name: f for f in msgspec.structs.fields(struct)}
    found = False
    for name, item in value.items():
        below = _under(key, name)
        if name not in fields:
            found = True
            yield f"{below}: no such key"
            continue
        for fault in _faults(item, fields[name].type, below):
            found = True
            yield fault
    for name, each in fields.items():
        if each.required and name not in value:
            found = True
            yield f"{_under(key, name)}: missing"
    if found:
        return
    try:  # what its values say together
        msgspec.convert(value, struct)
    except msgspec.ValidationError as fault:
        yield f"{key}: {str(fault).partition(' - at ')[0]}"


def _struct_in(type_: Any) -> type[msgspec.Struct] | None:
    options = get_args(type_) if get_origin(type_) in (Union, UnionType) else (type_,)
    for option in options:
        if isinstance(option, type) and issubclass(option, msgspec.Struct):
            return option
    return None


def _under(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name

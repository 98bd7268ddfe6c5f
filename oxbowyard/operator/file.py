"""Reads the operator's file and validates it against its model and the classes of the platform's settings.

All errors of single keys and values are reported together. Only a file without them is checked for
contradictions between its tables. `deploy/operator.toml` is an example of the file.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from ..configuration.files import UnreadableFileError, read_text
from ..configuration.validation_errors import ValidationIssue, validation_issues
from ..decision.settings import JobClass
from ..durable.settings import DurableSettings
from ..gearman.config import Function, GearmanConfig
from ..gearman.config import parse as parse_gearman
from ..membership.table import MembershipSettings
from ..start.table import StartSettings
from ..waiting.settings import ClassSettings, WaitingSettings
from .tables import Tables

RESERVED_CLASS = "jobs"  # /jobs is the path of deferred jobs


@dataclass(slots=True, frozen=True)
class OperatorConfig:
    """The tables of the file; None for a table that is absent."""

    waiting: WaitingSettings | None = None
    gearman: GearmanConfig | None = None
    durable: DurableSettings | None = None
    membership: MembershipSettings | None = None
    start: StartSettings | None = None


class OperatorFileError(ValueError):
    """The file cannot be used. The text has all errors, each with its key."""

    def __init__(self, name: str, errors: Iterable[str]) -> None:
        self.errors = tuple(errors)
        super().__init__(f"{name}: " + "; ".join(self.errors))


def load(path: Path, classes: Iterable[JobClass]) -> OperatorConfig:
    """Read the file and validate it against the classes of the settings. Raises OperatorFileError."""
    document = _read(path)
    _raise_if_any(path, map(str, validation_issues(document, Tables, detailed=False)))
    tables = msgspec.convert(document, Tables)
    job_classes = tuple(classes)
    gearman = _gearman(path, document, job_classes)
    functions = gearman.functions if gearman else {}
    waiting = _with_functions(tables.waiting, functions) if tables.waiting is not None else None
    class_names = {c.name for c in job_classes}
    _raise_if_any(path, map(str, _combined_issues(tables, waiting, functions, class_names)))
    return OperatorConfig(waiting, gearman, tables.durable, tables.membership, tables.start)


def _read(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(read_text(path))
    except (UnreadableFileError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise OperatorFileError(path.name, [str(error)]) from None


def _raise_if_any(path: Path, errors: Iterable[str]) -> None:
    if found := list(errors):
        raise OperatorFileError(path.name, found)


def _gearman(path: Path, document: dict[str, Any], classes: tuple[JobClass, ...]) -> GearmanConfig | None:
    if "gearman" not in document:
        return None
    try:
        return parse_gearman(document["gearman"], classes)
    except ValueError as error:
        raise OperatorFileError(path.name, [f"gearman.{error}"]) from None


def _with_functions(waiting: WaitingSettings, functions: Mapping[str, Function]) -> WaitingSettings:
    """Return the settings with the class of each function added, with `queueing` if the function has it."""
    classes = dict(waiting.classes)
    for function in functions.values():
        own = classes.get(function.job_class.name, ClassSettings())
        if function.queueing:
            own = msgspec.structs.replace(own, queueing=True)
        classes[function.job_class.name] = own
    return msgspec.structs.replace(waiting, classes=classes)


def _combined_issues(
    tables: Tables, waiting: WaitingSettings | None, functions: Mapping[str, Function], class_names: set[str]
) -> Iterator[ValidationIssue]:
    """Find contradictions between the tables."""
    if waiting is None:
        for function in functions.values():
            if function.queueing:
                yield ValidationIssue(
                    f"gearman.functions.{function.name}.queueing", "needs the table [waiting]"
                )
    else:
        known = class_names | {f.job_class.name for f in functions.values()}
        yield from _waiting_issues(waiting, functions, known)
    if tables.durable is not None and waiting is None:
        yield ValidationIssue("durable", "needs the table [waiting]")


def _waiting_issues(
    waiting: WaitingSettings, functions: Mapping[str, Function], known: set[str]
) -> Iterator[ValidationIssue]:
    for name in waiting.classes:
        if name not in known:
            yield ValidationIssue(f"waiting.classes.{name}", "no such class here")
    for function in functions.values():
        if function.max_wait_s is not None and function.max_wait_s > waiting.max_patience_s:
            yield ValidationIssue(
                f"gearman.functions.{function.name}.patience_s", "over waiting.max_patience_s"
            )
    if RESERVED_CLASS in known:
        yield ValidationIssue(
            "waiting", f"the class name {RESERVED_CLASS} is reserved: its path is that of deferred jobs"
        )

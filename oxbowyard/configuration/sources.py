"""Where each value in force came from: the file, the environment, or the default."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from .platform import ENVIRONMENT, PlatformFile

WHOLE_VALUES = ("costs",)  # maps whose keys are not ours: shown as one value


@dataclass(slots=True, frozen=True)
class EffectiveValue:
    """One value in force."""

    key: str
    value: object
    source: str  # "file", "environment LB_X" or "default"


def effective_values(document: Mapping[str, Any], environ: Mapping[str, str]) -> list[EffectiveValue]:
    """The values that the program runs with, each with its source; `document` is known to be valid."""
    merged = dict(document)
    for key, variable in ENVIRONMENT.items():
        if not document.get(key) and environ.get(variable):
            merged[key] = environ[variable]
    model = msgspec.convert(merged, PlatformFile, strict=True)
    values = list(_values(_with_defaults(model), document, environ, ""))
    return sorted(values, key=lambda v: v.key.startswith("settings."))  # the top first, in order


def _with_defaults(struct: msgspec.Struct) -> dict[str, Any]:
    """A Struct as a mapping, defaults included (`to_builtins` leaves them out of this model)."""
    found: dict[str, Any] = {}
    for each in msgspec.structs.fields(struct):
        value = getattr(struct, each.name)
        found[each.encode_name] = _with_defaults(value) if isinstance(value, msgspec.Struct) else value
    return found


def _values(
    full: Mapping[str, Any], given: Mapping[str, Any], environ: Mapping[str, str], key: str
) -> Iterator[EffectiveValue]:
    for name, value in full.items():
        below = f"{key}.{name}" if key else name
        here = given.get(name)
        if isinstance(value, dict) and name not in WHOLE_VALUES:
            yield from _values(value, here if isinstance(here, Mapping) else {}, environ, below)
            continue
        variable = "" if key else ENVIRONMENT.get(name, "")
        yield EffectiveValue(below, _plain(value), _source(here, variable, environ))


def _source(given: object, variable: str, environ: Mapping[str, str]) -> str:
    """`variable` is the environment's for this key, "" for none."""
    if given not in (None, ""):
        return "file"
    return f"environment {variable}" if variable and environ.get(variable) else "default"


def _plain(value: object) -> object:
    """Classes and lists of tables said briefly: names, not whole tables."""
    if isinstance(value, list) and value and isinstance(value[0], msgspec.Struct):
        return [getattr(item, "name", getattr(item, "uid", "?")) for item in value]
    if isinstance(value, msgspec.Struct):
        return msgspec.to_builtins(value)
    return value

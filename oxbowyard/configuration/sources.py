"""The effective configuration, and the source of each value: the file, the environment or a default."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from .platform import ENVIRONMENT, PlatformFile

OPAQUE_MAPS = ("costs",)  # maps with arbitrary keys, shown as one value


@dataclass(slots=True, frozen=True)
class EffectiveValue:
    """One value of the effective configuration."""

    key: str
    value: object
    source: str  # "file", "environment LB_X" or "default"


def effective_values(document: Mapping[str, Any], environ: Mapping[str, str]) -> list[EffectiveValue]:
    """Return the values that the program uses, with their sources. `document` must be valid."""
    merged = dict(document)
    for key, variable in ENVIRONMENT.items():
        if not document.get(key) and environ.get(variable):
            merged[key] = environ[variable]
    model = msgspec.convert(merged, PlatformFile, strict=True)
    values = list(_values(_with_defaults(model), document, environ, ""))
    return sorted(values, key=lambda v: v.key.startswith("settings."))  # top-level keys first


def _with_defaults(struct: msgspec.Struct) -> dict[str, Any]:
    """Convert a Struct to a dict with its defaults, which `to_builtins` omits for this model."""
    result: dict[str, Any] = {}
    for field in msgspec.structs.fields(struct):
        value = getattr(struct, field.name)
        result[field.encode_name] = _with_defaults(value) if isinstance(value, msgspec.Struct) else value
    return result


def _values(
    full: Mapping[str, Any], given: Mapping[str, Any], environ: Mapping[str, str], key: str
) -> Iterator[EffectiveValue]:
    for name, value in full.items():
        path = f"{key}.{name}" if key else name
        given_value = given.get(name)
        if isinstance(value, dict) and name not in OPAQUE_MAPS:
            yield from _values(value, given_value if isinstance(given_value, Mapping) else {}, environ, path)
            continue
        variable = "" if key else ENVIRONMENT.get(name, "")
        yield EffectiveValue(path, _display_form(value), _source(given_value, variable, environ))


def _source(given: object, variable: str, environ: Mapping[str, str]) -> str:
    """Name the source of a value. `variable` is the environment variable of the key, or ""."""
    if given not in (None, ""):
        return "file"
    return f"environment {variable}" if variable and environ.get(variable) else "default"


def _display_form(value: object) -> object:
    """Shorten a list of tables to their names, and convert a Struct to built-in types."""
    if isinstance(value, list) and value and isinstance(value[0], msgspec.Struct):
        return [getattr(item, "name", getattr(item, "uid", "?")) for item in value]
    if isinstance(value, msgspec.Struct):
        return msgspec.to_builtins(value)
    return value

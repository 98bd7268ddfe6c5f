"""Every fault of a document against a model, each named by its key. msgspec stops at the first fault of
what it converts, so each value is converted by itself; a key that is not known names the nearest one."""

from __future__ import annotations

import difflib
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from types import UnionType
from typing import Annotated, Any, Literal, Union, get_args, get_origin

import msgspec


@dataclass(slots=True, frozen=True)
class Fault:
    """One thing wrong at a key. A note is not wrong: a key that this program does not read."""

    key: str
    text: str
    note: bool = False

    def __str__(self) -> str:
        return f"{self.key or '(the file)'}: {self.text}"


def faults(value: object, type_: Any, key: str = "", plain: Mapping[str, str] | None = None) -> list[Fault]:
    """All faults and notes of a value and everything below it. `plain` says a pattern in words."""
    return list(_Walk(dict(plain or {})).walk(value, type_, key))


@dataclass(slots=True)
class _Walk:
    plain: dict[str, str] = field(default_factory=dict)

    def walk(self, value: object, type_: Any, key: str) -> Iterator[Fault]:
        if get_origin(type_) is Annotated:  # the type first, below; then its bounds, on the whole
            below = list(self.walk(value, get_args(type_)[0], key))
            yield from below
            if all(fault.note for fault in below):
                yield from self.converted(value, type_, key, shallow=True)
            return
        struct, origin = _struct_in(type_), get_origin(type_)
        if origin is dict and isinstance(value, Mapping):
            for name, item in value.items():
                yield from self.walk(item, get_args(type_)[1], _under(key, str(name)))
        elif origin in (list, tuple) and isinstance(value, Sequence) and not isinstance(value, str):
            for i, item in enumerate(value):
                yield from self.walk(item, get_args(type_)[0], f"{key}[{i}]")
        elif struct is not None and isinstance(value, Mapping):
            yield from self.struct(value, struct, key)
        else:
            yield from self.converted(value, type_, key)

    def struct(self, value: Mapping[str, object], struct: type[msgspec.Struct], key: str) -> Iterator[Fault]:
        fields = {f.encode_name: f for f in msgspec.structs.fields(struct)}
        open_ = not struct.__struct_config__.forbid_unknown_fields
        found = False
        for name, item in value.items():
            below = _under(key, str(name))
            if name in fields:
                for fault in self.walk(item, fields[name].type, below):
                    found |= not fault.note
                    yield fault
                continue
            near = difflib.get_close_matches(str(name), fields, n=1)
            hint = f"; did you mean {near[0]}?" if near else ""
            found |= not open_
            yield (
                Fault(below, f"not read by this program{hint}", note=True)
                if open_
                else Fault(below, f"no such key{hint}")
            )
        for name, each in fields.items():
            if each.required and name not in value:
                found = True
                yield Fault(_under(key, name), "missing")
        if not found:  # what its values say together
            yield from self.converted({k: v for k, v in value.items() if k in fields}, struct, key)

    def converted(self, value: object, type_: Any, key: str, shallow: bool = False) -> Iterator[Fault]:
        if shallow and isinstance(value, list):  # its items were looked at: only its length is left
            value, type_ = [None] * len(value), Annotated[list[Any], *get_args(type_)[1:]]
        try:
            msgspec.convert(value, type_, strict=True)
        except msgspec.ValidationError as fault:
            text, _, at = str(fault).partition(" - at ")
            for pattern, words in self.plain.items():
                text = text.replace(f"`str` matching regex '{pattern}'", words)
            if text.startswith("Invalid enum value") and get_origin(type_) is Literal:
                text += f", not one of {', '.join(map(str, get_args(type_)))}"
            where = at.strip("`").removeprefix("$")  # as `$.name[2]`, below the key
            yield Fault((key + where).removeprefix("."), text)


def _struct_in(type_: Any) -> type[msgspec.Struct] | None:
    options = get_args(type_) if get_origin(type_) in (Union, UnionType) else (type_,)
    for option in options:
        if isinstance(option, type) and issubclass(option, msgspec.Struct):
            return option
    return None


def _under(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name

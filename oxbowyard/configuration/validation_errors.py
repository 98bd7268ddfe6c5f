"""Validates a document against a model and finds all errors, each with its key.

msgspec stops at the first error of a conversion, so each value is converted separately.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from types import UnionType
from typing import Annotated, Any, Literal, TypeGuard, Union, get_args, get_origin

import msgspec


@dataclass(slots=True, frozen=True)
class ValidationIssue:
    """An error or a note about a key of a document."""

    key: str
    text: str
    is_note: bool = False  # a key that this program does not read, which is not an error

    def __str__(self) -> str:
        return f"{self.key or '(the file)'}: {self.text}"


def validation_issues(
    document: object, model: Any, patterns: Mapping[str, str] | None = None, detailed: bool = True
) -> list[ValidationIssue]:
    """Find all errors and notes of a document.

    `patterns` maps regular expressions of the model to descriptions that replace them in error texts. A
    detailed issue has the index in a list, the allowed values and the nearest known key; otherwise a list is
    validated as one value, and the text is msgspec's.
    """
    return list(_Walker(patterns or {}, detailed).walk(document, model, ""))


@dataclass(slots=True, frozen=True)
class _Walker:
    patterns: Mapping[str, str]
    detailed: bool

    def walk(self, value: object, type_: Any, key: str) -> Iterator[ValidationIssue]:
        """Find the issues of a value and of all values in it."""
        if isinstance(value, float) and not math.isfinite(value):  # NaN passes the limits of msgspec
            yield ValidationIssue(key, "is not a finite number")
            return
        struct, origin = _struct_in(type_), get_origin(type_)
        if origin is Annotated and self.detailed:
            yield from self._walk_annotated(value, type_, key)
        elif origin is dict and isinstance(value, Mapping):
            for name, item in value.items():
                yield from self.walk(item, get_args(type_)[1], _join(key, str(name)))
        elif origin in (list, tuple) and self.detailed and _is_list(value):
            for number, item in enumerate(value):
                yield from self.walk(item, get_args(type_)[0], f"{key}[{number}]")
        elif struct is not None and isinstance(value, Mapping):
            yield from self._walk_struct(value, struct, key)
        else:
            yield from self._convert(value, type_, key)

    def _walk_annotated(self, value: object, type_: Any, key: str) -> Iterator[ValidationIssue]:
        """Validate the type and all nested values first, then the constraints of the value itself."""
        nested = list(self.walk(value, get_args(type_)[0], key))
        yield from nested
        if not all(issue.is_note for issue in nested):
            return
        if isinstance(value, list):  # its items are validated already: only its length remains
            value = [None] * len(value)
            type_ = Annotated[list[Any], *get_args(type_)[1:]]
        yield from self._convert(value, type_, key)

    def _walk_struct(
        self, value: Mapping[str, object], struct: type[msgspec.Struct], key: str
    ) -> Iterator[ValidationIssue]:
        fields = {field.encode_name: field for field in msgspec.structs.fields(struct)}
        failed = False
        for name, item in value.items():
            path = _join(key, str(name))
            known = fields.get(name)
            issues = (
                self.walk(item, known.type, path)
                if known
                else [self._unknown_key(name, path, struct, fields)]
            )
            for issue in issues:
                failed |= not issue.is_note
                yield issue
        for name, field in fields.items():
            if field.required and name not in value:
                failed = True
                yield ValidationIssue(_join(key, name), "missing")
        if not failed:  # now the checks across several fields
            yield from self._convert({k: v for k, v in value.items() if k in fields}, struct, key)

    def _unknown_key(
        self, name: str, key: str, struct: type[msgspec.Struct], known: Iterable[str]
    ) -> ValidationIssue:
        hint = _nearest(str(name), known) if self.detailed else ""
        if struct.__struct_config__.forbid_unknown_fields:
            return ValidationIssue(key, f"no such key{hint}")
        return ValidationIssue(key, f"not read by this program{hint}", is_note=True)

    def _convert(self, value: object, type_: Any, key: str) -> Iterator[ValidationIssue]:
        try:
            msgspec.convert(value, type_, strict=True)
        except msgspec.ValidationError as error:
            text, _, at = str(error).partition(" - at ")
            if not self.detailed:
                yield ValidationIssue(key, text)
                return
            place = at.strip("`").removeprefix("$")  # a path such as `$.name[2]`, relative to the key
            yield ValidationIssue((key + place).removeprefix("."), self._with_descriptions(text, type_))

    def _with_descriptions(self, text: str, type_: Any) -> str:
        for pattern, description in self.patterns.items():
            text = text.replace(f"`str` matching regex '{pattern}'", description)
        if text.startswith("Invalid enum value") and get_origin(type_) is Literal:
            text += f", not one of {', '.join(map(str, get_args(type_)))}"
        return text


def _struct_in(type_: Any) -> type[msgspec.Struct] | None:
    """Return the Struct that a type is, or that is one of the options of a union."""
    options = get_args(type_) if get_origin(type_) in (Union, UnionType) else (type_,)
    for option in options:
        if isinstance(option, type) and issubclass(option, msgspec.Struct):
            return option
    return None


def _is_list(value: object) -> TypeGuard[Sequence[object]]:
    return isinstance(value, Sequence) and not isinstance(value, str)


def _nearest(name: str, known: Iterable[str]) -> str:
    import difflib  # imported here because only the `oxbowyard` command needs it

    near = difflib.get_close_matches(name, known, n=1)
    return f"; did you mean {near[0]}?" if near else ""


def _join(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name

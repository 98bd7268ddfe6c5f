"""Reads a configuration file as a document, and validates the platform's file against its model."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from .files import UnreadableFileError, read_text
from .platform import ENVIRONMENT, PATTERNS, PlatformFile
from .validation_errors import ValidationIssue, validation_issues

MAX_PORT = 65_535


def read_document(path: Path) -> dict[str, Any]:
    """Parse a file as TOML if its suffix is .toml, otherwise as JSON. Raises UnreadableFileError."""
    try:
        text = read_text(path)
    except UnicodeDecodeError:
        raise UnreadableFileError("is not a text file") from None
    if not text.strip():
        raise UnreadableFileError("is empty")
    try:
        document = tomllib.loads(text) if path.suffix == ".toml" else json.loads(text)
    except ValueError as error:
        raise UnreadableFileError(str(error)) from None
    if not isinstance(document, dict):
        raise UnreadableFileError(f"is not a JSON object: found {type(document).__name__}")
    return document


def check_platform(document: Mapping[str, Any], environ: Mapping[str, str]) -> list[ValidationIssue]:
    """Find the issues of the platform's file; environment variables supply absent keys."""
    return [
        *validation_issues(document, PlatformFile, PATTERNS),
        *_missing_addresses(document, environ),
        *_invalid_ports(document),
        *_repeated_classes(document),
    ]


def _missing_addresses(document: Mapping[str, Any], environ: Mapping[str, str]) -> list[ValidationIssue]:
    return [
        ValidationIssue(key, f"missing, and ${ENVIRONMENT[key]} is not set")
        for key in ("listen", "discovery")
        if not document.get(key) and not environ.get(ENVIRONMENT[key])
    ]


def _invalid_ports(document: Mapping[str, Any]) -> list[ValidationIssue]:
    issues = []
    for key in ("listen", "discovery", "admin"):
        text = document.get(key)
        port = text.rpartition(":")[2] if isinstance(text, str) else ""
        if port.isdecimal() and int(port) > MAX_PORT:
            issues.append(ValidationIssue(key, f"port {port} is over {MAX_PORT}"))
    return issues


def _repeated_classes(document: Mapping[str, Any]) -> list[ValidationIssue]:
    settings = document.get("settings")
    lanes = settings.get("lanes") if isinstance(settings, dict) else None
    if not isinstance(lanes, list):
        return []
    names = [str(lane.get("name")) for lane in lanes if isinstance(lane, dict)]
    repeated = sorted({name for name in names if names.count(name) > 1})
    return [ValidationIssue("settings.lanes", f"class {name} is defined more than once") for name in repeated]

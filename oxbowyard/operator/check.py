"""Validates the operator's file alone, without the classes of a platform's file."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..configuration.validation_errors import ValidationIssue, validation_issues
from .tables import Tables


def check_operator(document: Mapping[str, Any]) -> list[ValidationIssue]:
    """Find the issues of the operator's file, each with the index in a list and the nearest known key."""
    return validation_issues(document, Tables)

"""`oxbowyard check`: validates a platform's or an operator's file and finds all its issues."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from ..configuration.check import check_platform, read_document
from ..configuration.files import UnreadableFileError
from ..configuration.validation_errors import ValidationIssue


def check_file(path: Path, environ: Mapping[str, str]) -> list[ValidationIssue]:
    """Find all errors and notes of a file: an operator's file if its suffix is .toml, else a platform's."""
    try:
        document = read_document(path)
    except UnreadableFileError as error:
        return [ValidationIssue("", str(error))]
    if path.suffix != ".toml":
        return check_platform(document, environ)
    from ..operator.check import check_operator  # also needs the dependencies of the extra `waiting`

    return check_operator(document)

"""`oxbowyard check`: reads a file of either kind and finds all its issues."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from ..configuration.check import check_platform, read_document
from ..configuration.files import UnreadableFileError
from ..configuration.validation_errors import ValidationIssue


def check_file(path: Path, environ: Mapping[str, str]) -> list[ValidationIssue]:
    """All errors and notes of a file: the operator's by the suffix .toml, the platform's otherwise."""
    try:
        document = read_document(path)
    except UnreadableFileError as error:
        return [ValidationIssue("", str(error))]
    if path.suffix != ".toml":
        return check_platform(document, environ)
    from ..operator.check import check_operator  # needs the libraries of the extra waiting as well

    return check_operator(document)

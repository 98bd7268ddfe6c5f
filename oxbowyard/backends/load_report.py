"""Load reports of a scan worker, from a header or a line of its answer.

`names` maps the platform's names of the figures to those of the decisions; other figures are ignored.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping

log = logging.getLogger("oxbowyard.backends")

MAX_LOAD_VALUE = 1e9  # a larger one is no load


def parse_load_values(report: Mapping[str, object], names: Mapping[str, str]) -> dict[str, float]:
    """The figures of a report by the decisions' names. A value that is no number is logged and left out."""
    figures = {}
    for name, value in report.items():
        if name not in names:
            continue
        if isinstance(value, (int, float)) and not isinstance(value, bool) and abs(value) < MAX_LOAD_VALUE:
            figures[names[name]] = float(value)
        else:
            log.warning("broken load report: figure=%s value=%r", name, value)
    return figures


def parse_load_header(text: str | None, names: Mapping[str, str]) -> dict[str, float]:
    """The figures of a header of the form `name=figure,name=figure`."""
    report: dict[str, object] = {}
    for item in (text or "").split(","):
        name, separator, value = item.strip().partition("=")
        if not separator:
            continue
        try:
            report[name] = float(value)
        except ValueError:
            report[name] = value
    return parse_load_values(report, names)

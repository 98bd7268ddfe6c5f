"""Parsing of a scan worker's load report, from a header or a line of its answer.

`names` maps the platform's names of load values to the dispatcher's; values with other names are ignored.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping

log = logging.getLogger("oxbowyard.backends")

MAX_LOAD_VALUE = 1e9  # a larger value is invalid


def parse_load_values(report: Mapping[str, object], names: Mapping[str, str]) -> dict[str, float]:
    """Return the load values by the dispatcher's names. An invalid value is logged and left out."""
    load = {}
    for name, value in report.items():
        if name not in names:
            continue
        if isinstance(value, (int, float)) and not isinstance(value, bool) and abs(value) < MAX_LOAD_VALUE:
            load[names[name]] = float(value)
        else:
            log.warning("broken load report: figure=%s value=%r", name, value)
    return load


def parse_load_header(text: str | None, names: Mapping[str, str]) -> dict[str, float]:
    """Return the load values of a header of the form `name=value,name=value`."""
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

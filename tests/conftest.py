"""Tests named in KNOWN-RED.txt show a fault that is not mended yet: they have to fail, and are printed.

An entry is a line with the test's id, and indented lines below it; `raises: NAME` among these is the built-in
exception that the fault shows itself by. A test that fails in another way is not the known failure.
"""

from __future__ import annotations

import builtins
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red(text: str) -> dict[str, type[BaseException]]:
    """The ids of the tests, each with the exception that it has to raise."""
    entries: dict[str, type[BaseException]] = {}
    test = ""
    for line in text.splitlines():
        key, _, value = line.strip().partition(": ")
        if line.startswith("tests/"):
            test = line.strip()
            entries[test] = AssertionError
        elif test and key == "raises":
            entries[test] = getattr(builtins, value)
    return entries


def listed() -> dict[str, type[BaseException]]:
    """The entries of the file, if there is one."""
    return known_red(KNOWN_RED.read_text()) if KNOWN_RED.exists() else {}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """A test of the list that passes fails the run: its entry has to go."""
    entries = listed()
    for item in items:
        if item.nodeid in entries:
            raises = entries[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason="in KNOWN-RED.txt", raises=raises, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that are known to fail."""
    for name in listed():
        terminalreporter.write_line(f"known to fail (KNOWN-RED.txt): {name}")

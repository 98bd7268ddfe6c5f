"""Mark the tests named in KNOWN-RED.txt as strict expected failures and print them in the summary.

Such a test shows a fault that is not fixed yet. An entry is a line with the test's id, followed by indented
lines; `raises: NAME` among these names the built-in exception by which the test fails (default:
AssertionError). A test that fails with another exception is reported as a failure.
"""

from __future__ import annotations

import builtins
import tempfile
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def parse_known_red(text: str) -> dict[str, type[BaseException]]:
    """Return the test ids, each with the exception that its test is expected to raise."""
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


def read_known_red() -> dict[str, type[BaseException]]:
    """Return the entries of KNOWN-RED.txt, or none if the file does not exist."""
    return parse_known_red(KNOWN_RED.read_text()) if KNOWN_RED.exists() else {}


@pytest.fixture(autouse=True)
def own_temporary_folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Give each test a `$TMPDIR` of its own, as each process has on the platform: a scheduler remembers there
    which request ids it has sent, and the tests use the same ids again."""
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Add a strict xfail marker to each listed test: one that passes fails the run while it is listed."""
    entries = read_known_red()
    for item in items:
        if item.nodeid in entries:
            raises = entries[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason="in KNOWN-RED.txt", raises=raises, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests."""
    for name in read_known_red():
        terminalreporter.write_line(f"known to fail (KNOWN-RED.txt): {name}")

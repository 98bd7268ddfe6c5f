"""The list of known failures accepts only the exception that an entry names."""

from __future__ import annotations

from conftest import KNOWN_RED, parse_known_red


def test_entry_names_its_test_and_its_exception() -> None:
    # Guards against accepting a test that fails for another reason than its entry says.
    text = (
        "tests/test_a.py::test_one\n    raises: KeyError\n    command: python -m pytest\n"
        "tests/test_b.py::test_two[x]\n    seen: a wrong figure\n"
    )
    assert parse_known_red(text) == {
        "tests/test_a.py::test_one": KeyError,
        "tests/test_b.py::test_two[x]": AssertionError,
    }
    assert parse_known_red("") == {}


def test_every_entry_has_a_command_an_observation_and_an_issue() -> None:
    text = KNOWN_RED.read_text() if KNOWN_RED.exists() else ""
    count = len(parse_known_red(text))
    for key in ("command: ", "seen: ", "issue: "):
        assert text.count(f"    {key}") == count, key

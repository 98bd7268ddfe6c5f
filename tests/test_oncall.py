"""`docs/oncall.md` lists exactly the lines that the program logs at INFO or above.

In the page a word in capitals stands for a value, and `...` for any text. A row may also list a line with
concrete values (`state starting -> serving` for `state %s -> %s`). The pages in `docs/operate/` may repeat
lines; the program must log those too.
"""

from __future__ import annotations

import re

import pytest
from source_inspection import (
    DOCS,
    PACKAGE,
    PLACEHOLDER,
    LogLine,
    backticked,
    log_lines,
    logger_names,
    parse,
    python_files,
    table_rows,
)

PAGE = DOCS / "oncall.md"
OTHER_PAGES = sorted((DOCS / "operate").glob("*.md"))
FIRST_COLUMN = "line"
_VALUE = re.compile(r"\b[A-Z][A-Z_]*\b(?:[:/]\b[A-Z][A-Z_]*\b)*")


def logged_lines() -> list[LogLine]:
    """Return the logged lines except those of placeholders only, whose text is made by a `summary`."""
    lines = [line for path in python_files() for line in log_lines(path)]
    return [line for line in lines if re.search(r"[a-z]", line.text)]


def matches(listed: str, line: str) -> bool:
    """Return whether a listed text describes this line, either in general or with concrete values."""
    pattern, position = "", 0
    for match in re.finditer(r"\.\.\.|" + _VALUE.pattern, listed):
        pattern += re.escape(listed[position : match.start()])
        pattern += ".*" if match[0] == "..." else rf"{PLACEHOLDER}[{PLACEHOLDER}\W]*"
        position = match.end()
    pattern += re.escape(listed[position:])
    if len(re.findall(r"[a-z]", _VALUE.sub("", listed))) >= 3 and re.fullmatch(pattern, line):
        return True
    instance = ".*".join(re.escape(piece) for piece in line.split(PLACEHOLDER))
    return re.fullmatch(instance, listed) is not None


def listed_lines(page: object = PAGE) -> list[tuple[str, str]]:
    """Return the section and the text of each line that a page lists."""
    rows = table_rows(PAGE if page is PAGE else page, FIRST_COLUMN)  # type: ignore[arg-type]
    return [(row.section, text) for row in rows for text in backticked(row.cells[0])]


def loggers_of(section: str) -> set[str]:
    return {f"oxbowyard.{name}" for name in backticked(section)}


def all_loggers() -> set[str]:
    names = {name for path in python_files() for name in logger_names(parse(path)).values()}
    return {name for name in names if name.startswith("oxbowyard")}


def test_every_logged_line_is_listed_under_its_logger() -> None:
    missing = []
    for line in logged_lines():
        sections = {section for section, text in listed_lines() if matches(text, line.text)}
        names = {name for section in sections for name in loggers_of(section)}
        if not sections or (line.logger and line.logger not in names):
            missing.append(f"{line.file}:{line.line}: {line.logger}: {line.text.replace(PLACEHOLDER, '%')}")
    assert not missing, "logged, but not listed in docs/oncall.md under its logger:\n" + "\n".join(missing)


@pytest.mark.parametrize("page", [PAGE, *OTHER_PAGES], ids=lambda page: page.name)
def test_every_listed_line_is_logged(page: object) -> None:
    lines = logged_lines()
    stale = [text for _, text in listed_lines(page) if not any(matches(text, line.text) for line in lines)]
    assert not stale, f"listed, but not logged by the program: {stale}"


def test_listed_loggers_match_those_of_the_program() -> None:
    named = {name for section, _ in listed_lines() for name in loggers_of(section)}
    assert named == all_loggers()


@pytest.mark.parametrize(
    ("text", "line", "expected"),
    [
        ("loop lag N ms", "loop lag \0 ms", True),
        ("loop lag N s", "loop lag \0 ms", False),
        ("loop lag", "loop lag \0 ms", False),
        ("http listens on HOST:PORT", "\0 listens on \0:\0", True),
        ("state starting -> serving", "state \0 -> \0", True),
        ("store broken: ...", "store \0: \0", True),
        ("a chore ended: ...", "a connection did not come up: \0", False),
        ("jobs of an earlier run: N go on, ...", "jobs of an earlier run: \0 go on, \0 are in doubt", True),
        ("...", "anything at all", False),
        ("retry job=ID class=CLASS", "retry job=\0 class=\0", True),
        ("retry job=ID", "retry job=\0 class=\0", False),
    ],
)
def test_listed_text_matches_the_lines_it_describes(text: str, line: str, expected: bool) -> None:
    assert matches(text, line) is expected


def test_unlisted_line_is_detected(tmp_path: object) -> None:
    line = LogLine("a planted line with \0", "oxbowyard.core", "x.py", 1)
    assert not any(matches(text, line.text) for _, text in listed_lines())
    assert PACKAGE.is_dir() and len(logged_lines()) > 50

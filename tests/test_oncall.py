"""`docs/oncall.md` lists every line that the program logs at INFO or above, and no other.

In the page a capital word stands for a value, `...` for any text. A row may also name the values of a line
(`state starting -> serving` for `state %s -> %s`). The pages in `docs/operate/` may repeat lines, and those
have to be written too.
"""

from __future__ import annotations

import re

import pytest
from source_inspection import (
    DOCS,
    PLACEHOLDER,
    PROGRAM,
    LogLine,
    log_lines,
    logger_names,
    parse,
    quoted,
    sources,
    table_rows,
)

PAGE = DOCS / "oncall.md"
OTHER_PAGES = sorted((DOCS / "operate").glob("*.md"))
FIRST_COLUMN = "line"
_VALUE = re.compile(r"\b[A-Z][A-Z_]*\b(?:[:/]\b[A-Z][A-Z_]*\b)*")


def written() -> list[LogLine]:
    """What the program logs; a line that is nothing but values is told by whoever makes them (`summary`)."""
    lines = [line for path in sources() for line in log_lines(path)]
    return [line for line in lines if re.search(r"[a-z]", line.text)]


def describes(listed: str, line: str) -> bool:
    """Whether a listed text is this line in general, or one of it with values named."""
    general, at = "", 0
    for match in re.finditer(r"\.\.\.|" + _VALUE.pattern, listed):
        general += re.escape(listed[at : match.start()])
        general += ".*" if match[0] == "..." else rf"{PLACEHOLDER}[{PLACEHOLDER}\W]*"
        at = match.end()
    general += re.escape(listed[at:])
    if len(re.findall(r"[a-z]", _VALUE.sub("", listed))) >= 3 and re.fullmatch(general, line):
        return True
    instance = ".*".join(re.escape(piece) for piece in line.split(PLACEHOLDER))
    return re.fullmatch(instance, listed) is not None


def listed(page: object = PAGE) -> list[tuple[str, str]]:
    """Section and text of each line that a page lists."""
    rows = table_rows(PAGE if page is PAGE else page, FIRST_COLUMN)  # type: ignore[arg-type]
    return [(row.section, text) for row in rows for text in quoted(row.cells[0])]


def loggers_of(section: str) -> set[str]:
    return {f"oxbowyard.{name}" for name in quoted(section)}


def all_loggers() -> set[str]:
    names = {name for path in sources() for name in logger_names(parse(path)).values()}
    return {name for name in names if name.startswith("oxbowyard")}


def test_every_logged_line_is_listed_under_its_logger() -> None:
    missing = []
    for line in written():
        sections = {section for section, text in listed() if describes(text, line.text)}
        names = {name for section in sections for name in loggers_of(section)}
        if not sections or (line.logger and line.logger not in names):
            missing.append(f"{line.file}:{line.line}: {line.logger}: {line.text.replace(PLACEHOLDER, '%')}")
    assert not missing, "not in docs/oncall.md, or not under its logger:\n" + "\n".join(missing)


@pytest.mark.parametrize("page", [PAGE, *OTHER_PAGES], ids=lambda page: page.name)
def test_every_listed_line_is_logged(page: object) -> None:
    lines = written()
    stale = [text for _, text in listed(page) if not any(describes(text, line.text) for line in lines)]
    assert not stale, f"no such line is written: {stale}"


def test_listed_loggers_match_those_of_the_program() -> None:
    named = {name for section, _ in listed() for name in loggers_of(section)}
    assert named == all_loggers()


@pytest.mark.parametrize(
    ("text", "line", "says"),
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
def test_listed_text_matches_the_lines_it_describes(text: str, line: str, says: bool) -> None:
    assert describes(text, line) is says


def test_unlisted_line_is_detected(tmp_path: object) -> None:
    line = LogLine("a planted line with \0", "oxbowyard.core", "x.py", 1)
    assert not any(describes(text, line.text) for _, text in listed())
    assert PROGRAM.is_dir() and len(written()) > 50

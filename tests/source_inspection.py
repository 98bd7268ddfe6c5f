"""Extract identifiers, log lines and class sizes from source files, and tables from Markdown pages."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

REPOSITORY = Path(__file__).parent.parent
PACKAGE = REPOSITORY / "oxbowyard"
DOCS = REPOSITORY / "docs"

LEVELS = ("info", "warning", "error", "exception", "critical", "log")  # debug lines need no documentation
PLACEHOLDER = "\0"  # stands for an argument of a log line
_FORMAT = re.compile(r"%[-+ #0]*\d*(?:\.\d+)?[a-zA-Z]")
_WORD = re.compile(r"[A-Z]+(?=[A-Z][a-z])|[A-Z]?[a-z]+|[A-Z]+")


@dataclass(slots=True, frozen=True)
class Identifier:
    """A name in the source and its line number."""

    text: str
    line: int


@dataclass(slots=True, frozen=True)
class LogLine:
    """The text of a log call, with `PLACEHOLDER` in place of its arguments."""

    text: str
    logger: str  # empty if the line is printed to standard error without a logger
    file: str
    line: int


@dataclass(slots=True, frozen=True)
class ClassSize:
    """The number of methods and lines of a class."""

    name: str
    methods: int
    lines: int


def split_words(identifier: str) -> list[str]:
    """Split a name at underscores and case changes, and return the words in lower case."""
    return [word.lower() for word in _WORD.findall(identifier)]


def parse(path: Path) -> ast.Module:
    """Return the syntax tree of a file."""
    return ast.parse(path.read_text(), str(path))


def identifiers(tree: ast.AST) -> Iterator[Identifier]:
    """Yield every name of a file: variables, attributes, arguments, keywords, functions, classes, imports."""
    for node in ast.walk(tree):
        match node:
            case ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name) | ast.ClassDef(name=name):
                yield Identifier(name, node.lineno)
            case ast.Name(id=name) | ast.Attribute(attr=name) | ast.arg(arg=name):
                yield Identifier(name, node.lineno)
            case ast.keyword(arg=str(name)):
                yield Identifier(name, node.value.lineno)
            case ast.alias():
                yield Identifier(node.name.replace(".", "_"), node.lineno)
                yield Identifier(node.asname or "", node.lineno)
            case ast.ImportFrom(module=str(name)):
                yield Identifier(name.replace(".", "_"), node.lineno)
            case ast.MatchAs(name=str(name)) | ast.MatchStar(name=str(name)):
                yield Identifier(name, node.lineno)
            case ast.MatchClass(kwd_attrs=names):
                yield from (Identifier(name, node.lineno) for name in names)
            case ast.Global(names=names) | ast.Nonlocal(names=names):
                yield from (Identifier(name, node.lineno) for name in names)


def class_sizes(tree: ast.AST) -> Iterator[ClassSize]:
    """Yield the size of each class of a file; nested functions do not count as methods."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef):
            methods = sum(isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef) for child in node.body)
            yield ClassSize(node.name, methods, (node.end_lineno or node.lineno) - node.lineno + 1)


def logger_names(tree: ast.AST) -> dict[str, str]:
    """Return the logger names of a module by the variables that hold the loggers."""
    loggers = {}
    for node in ast.walk(tree):
        match node:
            case ast.Assign(
                targets=[ast.Name(id=variable)],
                value=ast.Call(func=ast.Attribute(attr="getLogger"), args=[ast.Constant(value=str(name))]),
            ):
                loggers[variable] = name
    return loggers


def log_lines(path: Path) -> Iterator[LogLine]:
    """Yield the log calls of a file at INFO or above, the texts that `summary` functions return, and, for a
    `__main__.py`, the texts printed to a file object such as standard error.

    Raise ValueError if the message of a log call is neither a string literal nor an f-string.
    """
    tree, file = parse(path), path.relative_to(REPOSITORY).as_posix()
    loggers = logger_names(tree)
    for node in ast.walk(tree):
        match node:
            case ast.Call(func=ast.Attribute(value=ast.Name(id=variable), attr=level)) if (
                variable in loggers and level in LEVELS
            ):
                text = _literal_text(node.args[1 if level == "log" else 0])
                if text is None:
                    raise ValueError(
                        f"{file}:{node.lineno}: the message of a log call must be a string literal"
                    )
                yield LogLine(text, loggers[variable], file, node.lineno)
            case ast.Call(func=ast.Name(id="print"), keywords=[ast.keyword(arg="file")], args=[first]):
                if (text := _literal_text(first)) is not None and path.name == "__main__.py":
                    yield LogLine(text, "", file, node.lineno)
            case ast.FunctionDef(name="summary"):
                for returned in (
                    child for child in ast.walk(node) if isinstance(child, ast.Return) and child.value
                ):
                    if returned.value and (text := _literal_text(returned.value)) is not None:
                        yield LogLine(text, "", file, returned.lineno)


def _literal_text(node: ast.expr) -> str | None:
    """Return a literal's text with `PLACEHOLDER` in place of its values, or None if it is not a literal."""
    match node:
        case ast.Constant(value=str(text)):
            return _FORMAT.sub(PLACEHOLDER, text)
        case ast.JoinedStr(values=values):
            return "".join(str(v.value) if isinstance(v, ast.Constant) else PLACEHOLDER for v in values)
    return None


def python_files(folder: Path = PACKAGE) -> list[Path]:
    """Return the Python files below a folder, by default the whole program."""
    return sorted(folder.rglob("*.py"))


@dataclass(slots=True, frozen=True)
class Row:
    """A row of a Markdown table."""

    section: str  # the heading above the table
    cells: tuple[str, ...]


def table_rows(page: Path, first_column: str) -> list[Row]:
    """Return the rows of all tables of a page whose first column has this heading."""
    rows: list[Row] = []
    section, inside = "", False
    for line in page.read_text().splitlines():
        if line.startswith("#"):
            section = line.lstrip("# ")
        if not line.startswith("|"):
            inside = False
            continue
        cells = tuple(cell.strip() for cell in line.strip().strip("|").split("|"))
        if cells[0] == first_column:
            inside = True
        elif inside and not set(line) <= set("|-: "):
            rows.append(Row(section, cells))
    return rows


def backticked(cell: str) -> list[str]:
    """Return the texts in backticks of a table cell."""
    return re.findall(r"`([^`]+)`", cell)

"""What tests read from the source, with `ast`, and from the pages: names, log lines, classes, tables."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

REPOSITORY = Path(__file__).parent.parent
PROGRAM = REPOSITORY / "oxbowyard"
DOCS = REPOSITORY / "docs"

LEVELS = ("info", "warning", "error", "exception", "critical", "log")  # `debug` lines are nobody's duty
PLACEHOLDER = "\0"  # stands for what a log line is told at run time
_FORMAT = re.compile(r"%[-+ #0]*\d*(?:\.\d+)?[a-zA-Z]")
_WORD = re.compile(r"[A-Z]+(?=[A-Z][a-z])|[A-Z]?[a-z]+|[A-Z]+")


@dataclass(slots=True, frozen=True)
class Identifier:
    """A name in the source and where it stands."""

    text: str
    line: int


@dataclass(slots=True, frozen=True)
class LogLine:
    """A line that the program writes; `PLACEHOLDER` stands where values go."""

    text: str
    logger: str  # empty: written to standard error without one
    file: str
    line: int


@dataclass(slots=True, frozen=True)
class ClassSize:
    """A class, its methods and its lines."""

    name: str
    methods: int
    lines: int


def words_of(identifier: str) -> list[str]:
    """The words of a name, split at underscores and humps, in small letters."""
    return [word.lower() for word in _WORD.findall(identifier)]


def parse(path: Path) -> ast.Module:
    """A file's syntax tree."""
    return ast.parse(path.read_text(), str(path))


def identifiers(tree: ast.AST) -> Iterator[Identifier]:
    """Every name of a file: variables, attributes, arguments, keywords, functions, classes, imports."""
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
    """The classes of a file; a nested function is no method."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef):
            methods = sum(isinstance(x, ast.FunctionDef | ast.AsyncFunctionDef) for x in node.body)
            yield ClassSize(node.name, methods, (node.end_lineno or node.lineno) - node.lineno + 1)


def logger_names(tree: ast.AST) -> dict[str, str]:
    """The module's loggers by the names of the variables that hold them."""
    found = {}
    for node in ast.walk(tree):
        match node:
            case ast.Assign(
                targets=[ast.Name(id=variable)],
                value=ast.Call(func=ast.Attribute(attr="getLogger"), args=[ast.Constant(value=str(name))]),
            ):
                found[variable] = name
    return found


def log_lines(path: Path) -> Iterator[LogLine]:
    """All that a file logs at INFO or above, the lines that `summary` functions make, and standard error.

    Raises ValueError where the first argument of a call is neither a text nor a formatted one.
    """
    tree, file = parse(path), path.relative_to(REPOSITORY).as_posix()
    loggers = logger_names(tree)
    for node in ast.walk(tree):
        match node:
            case ast.Call(func=ast.Attribute(value=ast.Name(id=variable), attr=level)) if (
                variable in loggers and level in LEVELS
            ):
                text = _text(node.args[1 if level == "log" else 0])
                if text is None:
                    raise ValueError(f"{file}:{node.lineno}: a log line has to be a literal")
                yield LogLine(text, loggers[variable], file, node.lineno)
            case ast.Call(func=ast.Name(id="print"), keywords=[ast.keyword(arg="file")], args=[first]):
                if (text := _text(first)) is not None and path.name == "__main__.py":
                    yield LogLine(text, "", file, node.lineno)
            case ast.FunctionDef(name="summary"):
                for returned in (x for x in ast.walk(node) if isinstance(x, ast.Return) and x.value):
                    if returned.value and (text := _text(returned.value)) is not None:
                        yield LogLine(text, "", file, returned.lineno)


def _text(node: ast.expr) -> str | None:
    """A literal's text with `PLACEHOLDER` for what is put in; None if it is no literal."""
    match node:
        case ast.Constant(value=str(text)):
            return _FORMAT.sub(PLACEHOLDER, text)
        case ast.JoinedStr(values=values):
            return "".join(str(v.value) if isinstance(v, ast.Constant) else PLACEHOLDER for v in values)
    return None


def sources(folder: Path = PROGRAM) -> list[Path]:
    """The files of the program, or of one package."""
    return sorted(folder.rglob("*.py"))


@dataclass(slots=True, frozen=True)
class Row:
    """A row of a page's table."""

    section: str  # the heading above it
    cells: tuple[str, ...]


def table_rows(page: Path, first_column: str) -> list[Row]:
    """The rows of those tables of a page whose first column has this name."""
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


def quoted(cell: str) -> list[str]:
    """The texts in backticks of a cell."""
    return re.findall(r"`([^`]+)`", cell)

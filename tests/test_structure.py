"""The packages import each other in one direction only, and the core knows no wire."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

import pytest
from source_inspection import quoted, table_rows

from oxbowyard.gearman.text_commands import VERSION

ROOT = Path(__file__).parent.parent / "oxbowyard"
ARCHITECTURE = ROOT.parent / "docs" / "architecture.md"
PICTURE_BEGINS, PICTURE_ENDS = "<!-- packages -->\n", "<!-- end of packages -->"
INSIDE = {f"oxbowyard.{p.name}" for p in ROOT.iterdir() if p.is_dir()}
WIRES = {"aiohttp", "yarl", "orjson", "socket", "http"}


def imports_of(path: Path) -> set[str]:
    """Absolute names of all that a file imports, modules of the package among them."""
    inside = ["oxbowyard", *path.relative_to(ROOT).with_suffix("").parts]
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            base = ".".join(inside[: -node.level]) if node.level else ""
            module = ".".join(part for part in (base, node.module) if part)
            found |= {module} | {f"{module}.{alias.name}" for alias in node.names}
    return found


def graph() -> dict[str, set[str]]:
    files = {
        ".".join(("oxbowyard", *p.relative_to(ROOT).with_suffix("").parts)).removesuffix(".__init__"): p
        for p in ROOT.rglob("*.py")
    }
    return {name: imports_of(path) & set(files) - {name} for name, path in files.items()}


def cycle(edges: dict[str, set[str]]) -> list[str]:
    """Some circle, or nothing."""
    done: set[str] = set()

    def walk(name: str, path: list[str]) -> list[str]:
        if name in path:
            return [*path[path.index(name) :], name]
        if name in done:
            return []
        for other in sorted(edges.get(name, ())):
            if found := walk(other, [*path, name]):
                return found
        done.add(name)
        return []

    return next((found for name in sorted(edges) if (found := walk(name, []))), [])


def test_imports_have_no_cycle() -> None:
    modules = graph()
    assert cycle(modules) == []
    packages: dict[str, set[str]] = {}
    for name, others in modules.items():
        package = ".".join(name.split(".")[:2])
        inside = packages.setdefault(package, set())
        inside |= {".".join(other.split(".")[:2]) for other in others} - {package}
    assert cycle({k: v - {"oxbowyard"} for k, v in packages.items() if k != "oxbowyard"}) == []


def test_import_cycle_is_detected() -> None:
    assert cycle({"a": {"b"}, "b": {"c"}, "c": {"a"}}) == ["a", "b", "c", "a"]


def test_core_and_decision_import_no_network_module() -> None:
    for folder in ("core", "decision"):
        for path in (ROOT / folder).glob("*.py"):
            names = {name.split(".")[0] for name in imports_of(path)}
            assert not names & WIRES, path
            packages = {".".join(name.split(".")[:2]) for name in imports_of(path)}
            assert packages & INSIDE <= {"oxbowyard.core", "oxbowyard.decision"}, path


def test_project_version_matches_the_gearman_version() -> None:
    project = tomllib.loads((ROOT.parent / "pyproject.toml").read_text())["project"]
    assert f"{project['name']} {project['version']}" == VERSION


def test_other_packages_import_only_the_public_decision_modules() -> None:
    """Other packages see the facade, the settings and the snapshot's form alone."""
    public = {"facade", "settings", "platform_settings", "snapshot"}
    for path in ROOT.rglob("*.py"):
        if path.parent.name == "decision" or path.name in ("simhost.py", "__init__.py"):
            continue
        names = {n for n in imports_of(path) if n.startswith("oxbowyard.decision.")}
        assert {n.split(".")[2] for n in names} <= public, path
        taken = {n.rpartition(".")[2] for n in names if n.startswith("oxbowyard.decision.settings.")}
        assert taken <= {"JobClass", "RetrySafety", "Settings"}, path


def test_pyproject_lists_every_package() -> None:
    """`pip install .` takes the packages that pyproject names: one left out is missing from the wheel."""
    named = set(tomllib.loads((ROOT.parent / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"])
    found = {"oxbowyard"} | {f"oxbowyard.{p.name}" for p in ROOT.iterdir() if (p / "__init__.py").exists()}
    assert named == found


def package_graph() -> dict[str, set[str]]:
    """What each package, or module beside them, imports of the others; `oxbowyard` itself is left out."""
    edges: dict[str, set[str]] = {}
    for name, others in graph().items():
        if name == "oxbowyard":
            continue
        package = name.split(".")[1]
        inside = edges.setdefault(package, set())
        inside |= {other.split(".")[1] for other in others if other != "oxbowyard"} - {package}
    return edges


def reachable(edges: dict[str, set[str]], start: str) -> set[str]:
    """All that a package imports, by others too."""
    found: set[str] = set()
    left = [start]
    while left:
        for other in edges[left.pop()] - found:
            found.add(other)
            left.append(other)
    return found


def direct_edges(edges: dict[str, set[str]]) -> list[tuple[str, str]]:
    """The imports that do not follow from others, in the order of their names."""
    return [
        (package, other)
        for package in sorted(edges)
        for other in sorted(edges[package])
        if not any(other in reachable(edges, between) for between in edges[package] - {other})
    ]


def picture() -> str:
    """The packages and their imports as a Mermaid graph."""
    edges = package_graph()
    direct = direct_edges(edges)
    alone = sorted(set(edges) - {package for edge in direct for package in edge})
    lines = ["flowchart TD", *(f"    {package}" for package in alone)]
    lines += [f"    {package} --> {other}" for package, other in direct]
    return "```mermaid\n" + "\n".join(lines) + "\n```\n"


PAGES = ["README.md", "docs/architecture.md", "docs/design.md", "docs/glossary.md", "docs/oncall.md"]


@pytest.mark.parametrize("page", PAGES)
def test_files_named_by_a_page_exist(page: str) -> None:
    """By their last parts: `core/scheduler.py`, or `choice.py` where the package is clear from the text."""
    folders = ("oxbowyard", "tests", "benchmarks", "examples")
    there = {path.as_posix() for folder in folders for path in (ROOT.parent / folder).rglob("*.py")}
    named = set(re.findall(r"`([\w/]+\.py)`", (ROOT.parent / page).read_text()))
    assert {name for name in named if not any(f"/{path}".endswith(f"/{name}") for path in there)} == set()


def test_readme_package_table_is_complete() -> None:
    rows = table_rows(ROOT.parent / "README.md", "package")
    named = {name.rstrip("/") for row in rows for name in quoted(row.cells[0])}
    assert named == {p.name for p in ROOT.iterdir() if (p / "__init__.py").exists()} | {"simhost.py"}


def write_picture() -> None:
    """Put the picture of today's imports into the page."""
    before, _, rest = ARCHITECTURE.read_text().partition(PICTURE_BEGINS)
    _, end, after = rest.partition(PICTURE_ENDS)
    ARCHITECTURE.write_text(before + PICTURE_BEGINS + picture() + end + after)


def test_package_diagram_matches_the_imports() -> None:
    shown = ARCHITECTURE.read_text().partition(PICTURE_BEGINS)[2].partition(PICTURE_ENDS)[0]
    assert shown == picture(), "write it anew: PYTHONPATH=.:tests python tests/test_structure.py"


def test_direct_edges_omit_transitive_imports() -> None:
    edges = {"a": {"b", "c"}, "b": {"c"}, "c": set[str]()}
    assert direct_edges(edges) == [("a", "b"), ("b", "c")]


if __name__ == "__main__":
    write_picture()

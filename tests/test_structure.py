"""The imports between packages have no cycle, and the core and the decisions import no network module."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

import pytest
from source_inspection import backticked, table_rows

from oxbowyard.gearman.text_commands import VERSION

PACKAGE = Path(__file__).parent.parent / "oxbowyard"
ARCHITECTURE = PACKAGE.parent / "docs" / "architecture.md"
DIAGRAM_BEGINS, DIAGRAM_ENDS = "<!-- packages -->\n", "<!-- end of packages -->"
PACKAGES = {f"oxbowyard.{p.name}" for p in PACKAGE.iterdir() if p.is_dir()}
NETWORK_MODULES = {"aiohttp", "yarl", "orjson", "socket", "http"}


def imports_of(path: Path) -> set[str]:
    """Return the absolute names of everything that a file imports, relative imports resolved."""
    module_parts = ["oxbowyard", *path.relative_to(PACKAGE).with_suffix("").parts]
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            base = ".".join(module_parts[: -node.level]) if node.level else ""
            module = ".".join(part for part in (base, node.module) if part)
            found |= {module} | {f"{module}.{alias.name}" for alias in node.names}
    return found


def import_graph() -> dict[str, set[str]]:
    files = {
        ".".join(("oxbowyard", *p.relative_to(PACKAGE).with_suffix("").parts)).removesuffix(".__init__"): p
        for p in PACKAGE.rglob("*.py")
    }
    return {name: imports_of(path) & set(files) - {name} for name, path in files.items()}


def find_cycle(edges: dict[str, set[str]]) -> list[str]:
    """Return the first import cycle found, or an empty list."""
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
    modules = import_graph()
    assert find_cycle(modules) == []
    packages: dict[str, set[str]] = {}
    for name, others in modules.items():
        package = ".".join(name.split(".")[:2])
        package_imports = packages.setdefault(package, set())
        package_imports |= {".".join(other.split(".")[:2]) for other in others} - {package}
    assert find_cycle({k: v - {"oxbowyard"} for k, v in packages.items() if k != "oxbowyard"}) == []


def test_import_cycle_is_detected() -> None:
    assert find_cycle({"a": {"b"}, "b": {"c"}, "c": {"a"}}) == ["a", "b", "c", "a"]


def test_core_and_decision_import_no_network_module() -> None:
    for folder in ("core", "decision"):
        for path in (PACKAGE / folder).glob("*.py"):
            names = {name.split(".")[0] for name in imports_of(path)}
            assert not names & NETWORK_MODULES, path
            packages = {".".join(name.split(".")[:2]) for name in imports_of(path)}
            assert packages & PACKAGES <= {"oxbowyard.core", "oxbowyard.decision"}, path


def test_project_version_matches_the_gearman_version() -> None:
    project = tomllib.loads((PACKAGE.parent / "pyproject.toml").read_text())["project"]
    assert f"{project['name']} {project['version']}" == VERSION


def test_other_packages_import_only_the_public_decision_modules() -> None:
    """Other packages may import only the facade, the settings and the snapshot's format."""
    public = {"facade", "settings", "platform_settings", "snapshot"}
    for path in PACKAGE.rglob("*.py"):
        if path.parent.name == "decision" or path.name in ("simhost.py", "__init__.py"):
            continue
        names = {n for n in imports_of(path) if n.startswith("oxbowyard.decision.")}
        assert {n.split(".")[2] for n in names} <= public, path
        imported = {n.rpartition(".")[2] for n in names if n.startswith("oxbowyard.decision.settings.")}
        assert imported <= {"JobClass", "RetrySafety", "Settings"}, path


def test_pyproject_lists_every_package() -> None:
    """`pip install .` installs the packages listed in pyproject.toml: the wheel lacks an unlisted one."""
    named = set(
        tomllib.loads((PACKAGE.parent / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"]
    )
    found = {"oxbowyard"} | {f"oxbowyard.{p.name}" for p in PACKAGE.iterdir() if (p / "__init__.py").exists()}
    assert named == found


def package_graph() -> dict[str, set[str]]:
    """Return the imports between packages and top-level modules, without those of `oxbowyard` itself."""
    edges: dict[str, set[str]] = {}
    for name, others in import_graph().items():
        if name == "oxbowyard":
            continue
        package = name.split(".")[1]
        package_imports = edges.setdefault(package, set())
        package_imports |= {other.split(".")[1] for other in others if other != "oxbowyard"} - {package}
    return edges


def reachable(edges: dict[str, set[str]], start: str) -> set[str]:
    """Return everything that a package imports, directly or transitively."""
    found: set[str] = set()
    pending = [start]
    while pending:
        for other in edges[pending.pop()] - found:
            found.add(other)
            pending.append(other)
    return found


def direct_edges(edges: dict[str, set[str]]) -> list[tuple[str, str]]:
    """Return the imports that are not implied by transitive ones, in alphabetical order."""
    return [
        (package, other)
        for package in sorted(edges)
        for other in sorted(edges[package])
        if not any(other in reachable(edges, between) for between in edges[package] - {other})
    ]


def diagram() -> str:
    """Return the packages and their direct imports as a Mermaid graph."""
    edges = package_graph()
    direct = direct_edges(edges)
    isolated = sorted(set(edges) - {package for edge in direct for package in edge})
    lines = ["flowchart TD", *(f"    {package}" for package in isolated)]
    lines += [f"    {package} --> {other}" for package, other in direct]
    return "```mermaid\n" + "\n".join(lines) + "\n```\n"


PAGES = ["README.md", "docs/architecture.md", "docs/design.md", "docs/glossary.md", "docs/oncall.md"]


@pytest.mark.parametrize("page", PAGES)
def test_files_named_by_a_page_exist(page: str) -> None:
    """A page may name a file by the end of its path, such as `core/scheduler.py` or `choice.py`."""
    folders = ("oxbowyard", "tests", "benchmarks", "examples")
    existing = {path.as_posix() for folder in folders for path in (PACKAGE.parent / folder).rglob("*.py")}
    named = set(re.findall(r"`([\w/]+\.py)`", (PACKAGE.parent / page).read_text()))
    assert {name for name in named if not any(f"/{path}".endswith(f"/{name}") for path in existing)} == set()


def test_readme_package_table_is_complete() -> None:
    rows = table_rows(PACKAGE.parent / "README.md", "package")
    named = {name.rstrip("/") for row in rows for name in backticked(row.cells[0])}
    assert named == {p.name for p in PACKAGE.iterdir() if (p / "__init__.py").exists()} | {"simhost.py"}


def write_diagram() -> None:
    """Replace the diagram in the page by that of the current imports."""
    before, _, rest = ARCHITECTURE.read_text().partition(DIAGRAM_BEGINS)
    _, end, after = rest.partition(DIAGRAM_ENDS)
    ARCHITECTURE.write_text(before + DIAGRAM_BEGINS + diagram() + end + after)


def test_package_diagram_matches_the_imports() -> None:
    shown = ARCHITECTURE.read_text().partition(DIAGRAM_BEGINS)[2].partition(DIAGRAM_ENDS)[0]
    assert shown == diagram(), "regenerate the diagram: PYTHONPATH=.:tests python tests/test_structure.py"


def test_direct_edges_omit_transitive_imports() -> None:
    edges = {"a": {"b", "c"}, "b": {"c"}, "c": set[str]()}
    assert direct_edges(edges) == [("a", "b"), ("b", "c")]


if __name__ == "__main__":
    write_diagram()

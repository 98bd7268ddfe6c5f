"""The sub-commands. An error is one line on standard error. Exit codes: 0 success, 1 failure, 2 errors in a
file or wrong usage.

The docstrings of the commands are what `--help` prints.
"""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import Annotated, NoReturn

import msgspec
import typer

from ..configuration.check import read_document
from ..configuration.files import UnreadableFileError
from ..configuration.platform import PlatformFile
from ..configuration.sources import effective_values
from ..configuration.validation_errors import ValidationIssue
from ..gearman.text_commands import VERSION
from .check import check_file

EXIT_FAILED = 1
EXIT_INVALID = 2  # errors in a file, or wrong usage of a command

app = typer.Typer(
    name="oxbowyard",
    no_args_is_help=True,
    add_completion=True,
    pretty_exceptions_enable=False,
    help="A scheduler that pushes jobs to a fleet of workers.",
)
config_app = typer.Typer(no_args_is_help=True, help="Show the effective configuration or its schema.")
app.add_typer(config_app, name="config")

VALUE_WIDTH = 24  # characters; width of the value column in `config show`

JsonFlag = Annotated[bool, typer.Option("--json", help="Print JSON, for scripts.")]


@app.command()
def run(
    gearman: Annotated[Path | None, typer.Option(help="Also serve Gearman, as configured in FILE.")] = None,
    operator: Annotated[
        Path | None, typer.Option(help="Enable the subsystems that FILE has tables for.")
    ] = None,
    take_over: Annotated[
        bool, typer.Option(help="Open the durable store even if another process has it.")
    ] = False,
) -> None:
    """Run one scheduler, as `python -m oxbowyard` does. LB_CONFIG names the platform's file."""
    from ..__main__ import main

    argv = []
    if gearman:
        argv += ["--gearman", str(gearman)]
    if operator:
        argv += ["--operator", str(operator)]
    if take_over:
        argv.append("--take-over")
    raise typer.Exit(main(argv))


@app.command()
def version() -> None:
    """Print the program's name and version."""
    print(VERSION)


@app.command()
def check(file: Path, json_: JsonFlag = False) -> None:
    """Validate a file, the platform's JSON or the operator's TOML, and print every fault with its key."""
    issues = check_file(file, os.environ)
    errors = _errors(issues)
    if json_:
        rows = [{"key": issue.key, "text": issue.text, "note": issue.is_note} for issue in issues]
        print(json.dumps({"file": str(file), "faults": len(errors), "found": rows}, indent=1))
    else:
        for issue in issues:
            print(f"{'note' if issue.is_note else 'fault'}: {issue}")
        print(f"{file}: {len(errors) or 'no'} fault{'' if len(errors) == 1 else 's'}")
    raise typer.Exit(EXIT_INVALID if errors else 0)


@app.command()
def members(
    admin_address: Annotated[
        str | None, typer.Option("--door", help="HOST:PORT of a scheduler's admin API.")
    ] = None,
    config: Annotated[
        Path | None, typer.Option(envvar="LB_CONFIG", help="A configuration file that has the address.")
    ] = None,
    json_: JsonFlag = False,
) -> None:
    """Print the group as seen by one scheduler: each member, its state, since when and why."""
    from .members import AdminApiError, fetch_members, format_members

    if admin_address is None and config is not None:
        admin_address = _admin_address(config)
    if not admin_address or admin_address == "None":  # a script without an address may pass None on
        _fail(
            "no address of an admin API: pass --door, or a configuration that has the key admin", EXIT_INVALID
        )
    try:
        view = fetch_members(admin_address)
    except AdminApiError as error:
        _fail(str(error), EXIT_FAILED)
    print(json.dumps(view, indent=1) if json_ else "\n".join(format_members(view)))


@config_app.command("show")
def show(
    config: Annotated[
        Path | None, typer.Option(envvar="LB_CONFIG", help="The platform's configuration file.")
    ] = None,
    json_: JsonFlag = False,
) -> None:
    """Print the effective values and the source of each: the file, the environment or the default."""
    if config is None:
        _fail("no configuration file: pass --config or set LB_CONFIG", EXIT_INVALID)
    errors = _errors(check_file(config, os.environ))
    if errors:
        _fail(f"{config} has {len(errors)} faults; see: oxbowyard check {config}", EXIT_INVALID)
    try:
        values = effective_values(read_document(config), os.environ)
    except UnreadableFileError as error:
        _fail(f"{config}: {error}", EXIT_INVALID)
    if json_:
        rows = [{"key": value.key, "value": value.value, "source": value.source} for value in values]
        print(json.dumps(rows, indent=1))
        return
    width = max(len(value.key) for value in values)
    for value in values:
        print(f"{value.key:<{width}}  {json.dumps(value.value):<{VALUE_WIDTH}}  {value.source}")


@config_app.command("schema")
def schema(
    operator: Annotated[
        bool, typer.Option(help="The schema of the operator's TOML, not of the platform's JSON.")
    ] = False,
) -> None:
    """Print a JSON Schema of the file, for editors."""
    if operator:
        from ..operator.tables import Tables

        print(json.dumps(msgspec.json.schema(Tables), indent=1))
        return
    print(json.dumps(msgspec.json.schema(PlatformFile), indent=1))


def _errors(issues: list[ValidationIssue]) -> list[ValidationIssue]:
    return [issue for issue in issues if not issue.is_note]


def _admin_address(config: Path) -> str | None:
    """Return the address of the admin API from a platform's file and the environment."""
    try:
        values = effective_values(read_document(config), os.environ)
    except (UnreadableFileError, msgspec.ValidationError) as error:
        _fail(f"{config}: {error}", EXIT_INVALID)
    address = next((value.value for value in values if value.key == "admin"), None)
    return None if address is None else str(address)


def _fail(text: str, code: int) -> NoReturn:
    print(f"oxbowyard: {text}", file=sys.stderr)
    raise typer.Exit(code)

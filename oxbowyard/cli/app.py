"""The sub-commands. Errors are one line on standard error; exit codes: 0 done, 1 could not run, 2 errors in a
file or a command used wrongly.

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
EXIT_INVALID = 2  # errors in a file, or a command used wrongly

app = typer.Typer(
    name="oxbowyard",
    no_args_is_help=True,
    add_completion=True,
    pretty_exceptions_enable=False,
    help="A scheduler that pushes jobs to a fleet of workers.",
)
config_app = typer.Typer(no_args_is_help=True, help="The configuration: what is in force, and its schema.")
app.add_typer(config_app, name="config")

VALUE_WIDTH = 24  # characters, of the column of values in `config show`

JsonFlag = Annotated[bool, typer.Option("--json", help="Print JSON, for scripts.")]


@app.command()
def run(
    gearman: Annotated[Path | None, typer.Option(help="Serve Gearman too, as FILE says.")] = None,
    operator: Annotated[Path | None, typer.Option(help="Switch on what FILE has a table for.")] = None,
    take_over: Annotated[bool, typer.Option(help="Open the durable store though another has it.")] = False,
) -> None:
    """Run one scheduler, as `python -m oxbowyard` does; LB_CONFIG names its file."""
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
    """The program's name and version."""
    print(VERSION)


@app.command()
def check(file: Path, json_: JsonFlag = False) -> None:
    """Hold a file against its model: the platform's JSON, or the operator's TOML. Every fault, by key."""
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
        str | None, typer.Option("--door", help="HOST:PORT of a scheduler's door.")
    ] = None,
    config: Annotated[Path | None, typer.Option(envvar="LB_CONFIG", help="Or a file that names it.")] = None,
    json_: JsonFlag = False,
) -> None:
    """The group of schedulers as one of them sees it: who, in which state, since when and why."""
    from .members import AdminApiError, fetch_members, format_members

    if admin_address is None and config is not None:
        admin_address = _admin_address(config)
    if not admin_address or admin_address == "None":  # what a script passes on that has no address
        _fail("no door: give --door, or a configuration that names one as admin", EXIT_INVALID)
    try:
        view = fetch_members(admin_address)
    except AdminApiError as error:
        _fail(str(error), EXIT_FAILED)
    print(json.dumps(view, indent=1) if json_ else "\n".join(format_members(view)))


@config_app.command("show")
def show(
    config: Annotated[Path | None, typer.Option(envvar="LB_CONFIG", help="The platform's file.")] = None,
    json_: JsonFlag = False,
) -> None:
    """What is in force, and where each value came from: the file, the environment, or the default."""
    if config is None:
        _fail("no file: give --config or set LB_CONFIG", EXIT_INVALID)
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
        bool, typer.Option(help="The operator's TOML in place of the platform's JSON.")
    ] = False,
) -> None:
    """A JSON Schema of the file, for editors."""
    if operator:
        from ..operator.tables import Tables

        print(json.dumps(msgspec.json.schema(Tables), indent=1))
        return
    print(json.dumps(msgspec.json.schema(PlatformFile), indent=1))


def _errors(issues: list[ValidationIssue]) -> list[ValidationIssue]:
    return [issue for issue in issues if not issue.is_note]


def _admin_address(config: Path) -> str | None:
    """The admin API's address in a platform's file and the environment."""
    try:
        values = effective_values(read_document(config), os.environ)
    except (UnreadableFileError, msgspec.ValidationError) as error:
        _fail(f"{config}: {error}", EXIT_INVALID)
    address = next((value.value for value in values if value.key == "admin"), None)
    return None if address is None else str(address)


def _fail(text: str, code: int) -> NoReturn:
    print(f"oxbowyard: {text}", file=sys.stderr)
    raise typer.Exit(code)

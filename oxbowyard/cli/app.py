"""The sub-commands. Errors are one line on standard error; exit codes: 0 done, 1 could not run, 2 faults in a
file or a command used wrongly."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import Annotated, NoReturn

import msgspec
import typer

from ..configuration.check import Unreadable, check_file, read
from ..configuration.platform import PlatformFile
from ..configuration.sources import in_force
from ..gearman.admin import VERSION

FAULTS = 2

app = typer.Typer(
    name="oxbowyard", no_args_is_help=True, add_completion=True, pretty_exceptions_enable=False,
    help="A scheduler that pushes jobs to a fleet of workers.",
)  # fmt: skip
config_app = typer.Typer(no_args_is_help=True, help="The configuration: what is in force, and its schema.")
app.add_typer(config_app, name="config")

JsonFlag = Annotated[bool, typer.Option("--json", help="Print JSON, for scripts.")]


@app.command()
def run(
    gearman: Annotated[Path | None, typer.Option(help="Serve Gearman too, as FILE says.")] = None,
    operator: Annotated[Path | None, typer.Option(help="Switch on what FILE has a table for.")] = None,
    take_over: Annotated[bool, typer.Option(help="Open the durable store though another has it.")] = False,
) -> None:
    """Run one scheduler, as `python -m oxbowyard` does; LB_CONFIG names its file."""
    from ..__main__ import main

    argv = [
        *(["--gearman", str(gearman)] if gearman else []),
        *(["--operator", str(operator)] if operator else []),
    ]
    raise typer.Exit(main([*argv, *(["--take-over"] if take_over else [])]))


@app.command()
def version() -> None:
    """The program's name and version."""
    print(VERSION)


@app.command()
def check(file: Path, json_: JsonFlag = False) -> None:
    """Hold a file against its model: the platform's JSON, or the operator's TOML. Every fault, by key."""
    found = check_file(file, os.environ)
    faults = [f for f in found if not f.note]
    if json_:
        rows = [{"key": f.key, "text": f.text, "note": f.note} for f in found]
        print(json.dumps({"file": str(file), "faults": len(faults), "found": rows}, indent=1))
    else:
        for fault in found:
            print(f"{'note' if fault.note else 'fault'}: {fault}")
        print(f"{file}: {len(faults) or 'no'} fault{'' if len(faults) == 1 else 's'}")
    raise typer.Exit(FAULTS if faults else 0)


@app.command()
def members(
    door: Annotated[str | None, typer.Option(help="HOST:PORT of a scheduler's door.")] = None,
    config: Annotated[Path | None, typer.Option(envvar="LB_CONFIG", help="Or a file that names it.")] = None,
    json_: JsonFlag = False,
) -> None:
    """The group of schedulers as one of them sees it: who, in which state, since when and why."""
    from .members import NoAnswer, fetch, lines

    if door is None and config is not None:
        try:
            door = next((str(v.value) for v in in_force(read(config), os.environ) if v.key == "admin"), None)
        except (Unreadable, msgspec.ValidationError) as fault:
            _fail(f"{config}: {fault}", FAULTS)
    if not door or door == "None":
        _fail("no door: give --door, or a configuration that names one as admin", FAULTS)
    try:
        view = fetch(door)
    except NoAnswer as fault:
        _fail(str(fault), 1)
    print(json.dumps(view, indent=1) if json_ else "\n".join(lines(view)))


@config_app.command("show")
def show(
    config: Annotated[Path | None, typer.Option(envvar="LB_CONFIG", help="The platform's file.")] = None,
    json_: JsonFlag = False,
) -> None:
    """What is in force, and where each value came from: the file, the environment, or the default."""
    if config is None:
        _fail("no file: give --config or set LB_CONFIG", FAULTS)
    found = [f for f in check_file(config, os.environ) if not f.note]
    if found:
        _fail(f"{config} has {len(found)} faults; see: oxbowyard check {config}", FAULTS)
    try:
        values = in_force(read(config), os.environ)
    except Unreadable as fault:
        _fail(f"{config}: {fault}", FAULTS)
    if json_:
        print(json.dumps([{"key": v.key, "value": v.value, "source": v.source} for v in values], indent=1))
        return
    width = max(len(v.key) for v in values)
    for v in values:
        print(f"{v.key:<{width}}  {json.dumps(v.value):<24}  {v.source}")


@config_app.command("schema")
def schema(
    operator: Annotated[
        bool, typer.Option(help="The operator's TOML in place of the platform's JSON.")
    ] = False,
) -> None:
    """A JSON Schema of the file, for editors."""
    if operator:
        from ..operator.file import Tables

        print(json.dumps(msgspec.json.schema(Tables), indent=1))
        return
    print(json.dumps(msgspec.json.schema(PlatformFile), indent=1))


def _fail(text: str, code: int) -> NoReturn:
    print(f"oxbowyard: {text}", file=sys.stderr)
    raise typer.Exit(code)

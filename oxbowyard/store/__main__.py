"""Manage stores: `python -m oxbowyard.store check FILE | snapshot FILE TARGET | restore SNAPSHOT FILE`."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from .backup import check, restore, snapshot
from .record import StoreError


def main() -> int:
    """Run one command; print one line to standard error and return 1 if it fails on the store."""
    parser = argparse.ArgumentParser(prog="python -m oxbowyard.store", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("check", help="check every page of a store").add_argument("file", type=Path)
    for name, first, second, text in (
        ("snapshot", "file", "target", "copy a store, which may be in use"),
        ("restore", "snapshot", "file", "replace a store that is not in use by a snapshot"),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument(first, type=Path)
        command.add_argument(second, type=Path)
    options = parser.parse_args()
    try:
        match options.command:
            case "check":
                jobs = check(options.file)
            case "snapshot":
                jobs = snapshot(options.file, options.target)
            case _:
                jobs = restore(options.snapshot, options.file)
    except StoreError as error:
        print(f"store: {error}", file=sys.stderr)
        return 1
    print(f"{options.command}: ok, {jobs} jobs")
    return 0


if __name__ == "__main__":
    sys.exit(main())

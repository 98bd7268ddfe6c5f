"""The `oxbowyard` command, with sub-commands for operators. The platform runs `python -m oxbowyard`."""

from __future__ import annotations

import sys


def main() -> None:
    """Run the console script. Without the extra `cli`, print the missing module and exit with code 1."""
    try:
        from .app import app
    except ImportError as error:
        print(f"oxbowyard: the command needs the extra cli: module {error.name} not found", file=sys.stderr)
        sys.exit(1)
    app()

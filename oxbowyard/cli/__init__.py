"""The `oxbowyard` command: sub-commands for people, beside `python -m oxbowyard`, which the platform runs."""

from __future__ import annotations

import sys


def main() -> None:
    """The console script. Without the extra `cli` it says what is missing, in one line."""
    try:
        from .app import app
    except ImportError as error:
        print(f"oxbowyard: the command needs the extra cli: no {error.name}", file=sys.stderr)
        sys.exit(1)
    app()

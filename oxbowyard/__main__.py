"""Runs one real scheduler."""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import sys
from functools import partial
from pathlib import Path

from .daemon.config import BadConfig, Config, load
from .daemon.program import Program, Read, ReadConfig
from .gearman.config import GearmanConfig
from .gearman.config import load as load_gearman


async def _run(read: ReadConfig, take_over: bool) -> int:
    return await Program(read, take_over).run()


def _load_gearman(path: Path | None, config: Config) -> GearmanConfig | None:
    if path is None:
        return None
    try:
        found = load_gearman(path, config.settings.classes)
    except ValueError as fault:
        raise BadConfig(" ".join(str(fault).split())) from None
    if any(function.queueing for function in found.functions.values()):
        raise BadConfig(f"{path.name}: queueing needs --operator, a file with the table [waiting]")
    return found


def _read(gearman: Path | None, operator: Path | None) -> Read:
    config = load(os.environ)
    if operator is None:
        return Read(config, _load_gearman(gearman, config))
    try:  # only now: its libraries are not needed, and perhaps not there, without it
        from .operator.file import load as load_operator
    except ImportError as fault:
        raise BadConfig(f"--operator needs the extra waiting: no {fault.name}") from None
    try:
        tables = load_operator(operator, config.settings.classes)
    except ValueError as fault:
        raise BadConfig(" ".join(str(fault).split())) from None
    if gearman is not None and tables.gearman is not None:
        raise BadConfig(f"{operator.name} has a table [gearman], and --gearman names another file")
    served = tables.gearman or _load_gearman(gearman, config)
    return Read(config, served, tables.waiting, tables.durable, tables.membership, tables.start)


def main(argv: list[str] | None = None) -> int:
    """Read the configuration and run until told to stop."""
    parser = argparse.ArgumentParser(prog="oxbowyard", description="One scheduler; LB_CONFIG names its file.")
    parser.add_argument("--gearman", type=Path, metavar="FILE", help="serve Gearman too, as FILE says")
    parser.add_argument("--operator", type=Path, metavar="FILE", help="switch on what FILE has a table for")
    parser.add_argument(
        "--take-over", action="store_true",
        help="open the store of [durable] though another program has it: that one is stopped for good",
    )  # fmt: skip
    options = parser.parse_args(argv)
    logging.basicConfig(
        level=os.environ.get("OXBOWYARD_LOG", "INFO").upper(),
        format="%(asctime)s %(process)d %(levelname)s %(name)s: %(message)s",  # two at a replacement
        stream=sys.stderr,
    )
    # The library logs each malformed request with its traceback; it answers 400, and that is enough.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    try:
        return asyncio.run(_run(partial(_read, options.gearman, options.operator), options.take_over))
    except BadConfig as fault:
        print(f"oxbowyard: {fault}", file=sys.stderr)
    except OSError as fault:
        print(f"oxbowyard: cannot listen: {fault}", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main())

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
from .daemon.program import Program, ReadConfig
from .gearman.config import GearmanConfig
from .gearman.config import load as load_gearman


async def _run(read: ReadConfig) -> int:
    return await Program(read).run()


def _load_gearman(path: Path | None, config: Config) -> GearmanConfig | None:
    if path is None:
        return None
    try:
        return load_gearman(path, config.settings.classes)
    except ValueError as fault:
        raise BadConfig(" ".join(str(fault).split())) from None


def _read(gearman: Path | None) -> tuple[Config, GearmanConfig | None]:
    config = load(os.environ)
    return config, _load_gearman(gearman, config)


def main() -> int:
    """Read the configuration and run until told to stop."""
    parser = argparse.ArgumentParser(prog="oxbowyard", description="One scheduler; LB_CONFIG names its file.")
    parser.add_argument("--gearman", type=Path, metavar="FILE", help="serve Gearman too, as FILE says")
    options = parser.parse_args()
    logging.basicConfig(
        level=os.environ.get("OXBOWYARD_LOG", "INFO").upper(),
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
        stream=sys.stderr,
    )
    # The library logs each malformed request with its traceback; it answers 400, and that is enough.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    try:
        return asyncio.run(_run(partial(_read, options.gearman)))
    except BadConfig as fault:
        print(f"oxbowyard: {fault}", file=sys.stderr)
    except OSError as fault:
        print(f"oxbowyard: cannot listen: {fault}", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main())

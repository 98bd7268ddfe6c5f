"""`python -m oxbowyard`: runs one scheduler. Exit code 0 after a graceful shutdown, 1 if the start failed."""

from __future__ import annotations

import argparse
import asyncio
import faulthandler
import logging
import os
import signal
import sys
from functools import partial
from pathlib import Path

from .daemon.config import ConfigurationError
from .daemon.loading import ConfigurationLoader, load_all
from .daemon.program import Program

# The process id distinguishes the two processes of a hot restart.
LOG_FORMAT = "%(asctime)s %(process)d %(levelname)s %(name)s: %(message)s"
EXIT_FAILED = 1
log = logging.getLogger("oxbowyard.daemon")

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM)


async def _run(load: ConfigurationLoader, take_over: bool) -> int:
    program = Program(load, take_over)
    exit_code = await program.run()
    # The event loop removes its signal handlers when it closes. A signal after that would kill the process,
    # with another exit code.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    return exit_code


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="oxbowyard", description="Run one scheduler. LB_CONFIG names the configuration file."
    )
    parser.add_argument(
        "--gearman", type=Path, metavar="FILE", help="also serve Gearman, as configured in FILE"
    )
    parser.add_argument(
        "--operator", type=Path, metavar="FILE", help="enable the subsystems that FILE has tables for"
    )
    parser.add_argument(
        "--take-over",
        action="store_true",
        help="open the store of [durable] even if another process has it: that process can no longer use it",
    )
    return parser


def _set_up_logging() -> None:
    level = os.environ.get("OXBOWYARD_LOG", "INFO").upper()
    logging.basicConfig(level=level, format=LOG_FORMAT, stream=sys.stderr)
    # aiohttp logs each malformed request with a traceback; the answer 400 is enough.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)


def main(argv: list[str] | None = None) -> int:
    """Read the configuration and run until SIGTERM or SIGINT. Return the exit code."""
    options = _parser().parse_args(argv)
    _set_up_logging()
    faulthandler.enable()  # a fault in native code leaves the stack on standard error
    load = partial(load_all, options.gearman, options.operator)
    try:
        return asyncio.run(_run(load, options.take_over))
    except ConfigurationError as error:
        print(f"oxbowyard: {error}", file=sys.stderr)
    except OSError as error:
        print(f"oxbowyard: cannot listen: {error}", file=sys.stderr)
    except Exception as error:  # also MemoryError
        log.critical("process ends, unexpected error: error=%r", error, exc_info=error)
    return EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())

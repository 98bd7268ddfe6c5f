"""Periodic log lines: summaries of the subsystems, and lag of the event loop."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator, Mapping

from .context import ProgramContext
from .units import MS_PER_S

log = logging.getLogger("oxbowyard.daemon")

REPORT_INTERVAL_S = 10.0
LAG_CHECK_INTERVAL_S = 0.5
LAG_WARNING_S = 0.05


def log_summaries(context: ProgramContext, is_last: bool = False) -> None:
    """Log the summaries of the requests, the deferred jobs and the store."""
    for summary in _summaries(context):
        if is_last:
            log.info("last: %s", summary)
        else:
            log.info("%s", summary)


async def report_periodically(context: ProgramContext) -> None:
    """Log all summaries and client errors every `REPORT_INTERVAL_S`. Never returns."""
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        log_summaries(context)
        _log_client_errors("http", context.client_connections.counts)
        if context.subsystems.gearman:
            _log_client_errors("gearman", context.subsystems.gearman.counts)


async def watch_event_loop_lag() -> None:
    """Log a warning whenever the event loop is late by more than `LAG_WARNING_S`. Never returns."""
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + LAG_CHECK_INTERVAL_S
        await asyncio.sleep(LAG_CHECK_INTERVAL_S)
        if (lag_s := loop.time() - due) > LAG_WARNING_S:
            log.warning("event loop lag: lag_ms=%.0f", lag_s * MS_PER_S)


def _summaries(context: ProgramContext) -> Iterator[str]:
    yield context.subsystems.summary()
    if context.subsystems.job_queue:
        yield context.subsystems.job_queue.summary()
    if context.memory_watch:
        yield context.memory_watch.summary()
    if context.store:
        yield context.store.summary()


def _log_client_errors(front: str, counts: Mapping[str, int]) -> None:
    if counts:
        errors = ", ".join(f"{kind} {count}" for kind, count in counts.items() if count)
        log.info("client errors since the start: front=%s, %s", front, errors)

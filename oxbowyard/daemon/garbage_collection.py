"""Keeps Python's garbage collector from blocking the event loop while many jobs are deferred.

A full pass walks every living object, deferred jobs too, which blocks for over a second at a million jobs.
Nearly all objects here end by their reference counts, so full passes wait until few jobs are held.
"""

from __future__ import annotations

import asyncio
import gc
import logging
from collections.abc import Callable

from .units import MS_PER_S

log = logging.getLogger("oxbowyard.daemon")

CHECK_INTERVAL_S = 60.0
MAX_JOBS_FOR_FULL_PASS = 2_000  # with so many a full pass is short
MAX_PASS_INTERVAL_S = 3600.0  # then a full pass is made whatever is held: reference cycles must not pile up
NEVER_THRESHOLD = 1 << 30  # young collections until a full pass
SLOW_PASS_S = 0.05  # a pass beyond this is logged


def disable_full_passes() -> None:
    """From now on only the two young generations are collected automatically."""
    gc.collect()
    gc.freeze()  # what the start has made stays for good: no pass need walk it
    young, middle, _ = gc.get_threshold()
    gc.set_threshold(young, middle, NEVER_THRESHOLD)


async def run_full_passes(job_count: Callable[[], int]) -> None:
    """Make a full pass at each check that finds few jobs, and once an hour whatever is held; never returns.

    `job_count` tells how many jobs are deferred.
    """
    clock = asyncio.get_running_loop().time
    last_pass_at = clock()
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        started_at = clock()
        if job_count() > MAX_JOBS_FOR_FULL_PASS and started_at - last_pass_at < MAX_PASS_INTERVAL_S:
            continue
        gc.collect()
        last_pass_at = clock()
        duration_s = last_pass_at - started_at
        if duration_s > SLOW_PASS_S:
            log.warning(
                "full garbage collection: duration_ms=%.0f jobs=%d", duration_s * MS_PER_S, job_count()
            )

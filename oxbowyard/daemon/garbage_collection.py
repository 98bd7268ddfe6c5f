"""Keeps Python's garbage collector from blocking the event loop while many jobs are deferred.

A full collection traverses every live object, deferred jobs included, which blocks for over a second with a
million jobs. Nearly all objects of this program are freed by their reference counts, so a full collection can
be postponed until few jobs are held.
"""

from __future__ import annotations

import asyncio
import gc
import logging
from collections.abc import Callable

from .units import MS_PER_S

log = logging.getLogger("oxbowyard.daemon")

CHECK_INTERVAL_S = 60.0
MAX_JOBS_FOR_FULL_PASS = 2_000  # a full collection is short with up to this many jobs
MAX_PASS_INTERVAL_S = 3600.0  # with any number of jobs, so that reference cycles do not accumulate
NEVER_THRESHOLD = 1 << 30  # collections of the middle generation before a full one: never reached
SLOW_PASS_S = 0.05  # a longer full collection is logged


def disable_full_passes() -> None:
    """Limit automatic collection to the two young generations."""
    gc.collect()
    gc.freeze()  # objects made during startup live until exit: exclude them from collections
    young, middle, _ = gc.get_threshold()
    gc.set_threshold(young, middle, NEVER_THRESHOLD)


async def run_full_passes(job_count: Callable[[], int]) -> None:
    """Run a full collection at each check that finds few jobs, and at least once an hour. Never returns.

    `job_count` returns the number of deferred jobs.
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

"""Keeps Python's garbage collector from stopping the loop while many jobs wait.

A full pass walks every object that lives, waiting jobs too: 17 to 27 ms at 10,000 jobs, and at a million more
than a second. Nearly all our objects end by their reference counts, so full passes wait until few jobs do.
"""

from __future__ import annotations

import asyncio
import gc
import logging
from collections.abc import Callable

log = logging.getLogger("oxbowyard.daemon")

LOOK_EVERY = 60.0  # seconds between looks whether few jobs wait
FEW_JOBS = 2_000  # with so many a full pass takes some 5 ms
AT_LAST = 3600.0  # seconds after which a full pass is made all the same: circles must not pile up for ever
NEVER = 1 << 30  # young collections to a full pass
TELL = 0.05  # seconds of a pass that are worth a line


def spare_full_passes() -> None:
    """From now on only the two young generations are collected by themselves."""
    gc.collect()
    gc.freeze()  # what the start has made stays for good: no pass need walk it
    young, middle, _ = gc.get_threshold()
    gc.set_threshold(young, middle, NEVER)


async def collect_when_few(waiting: Callable[[], int]) -> None:
    """A full pass each time that few jobs wait, and after an hour whatever waits."""
    clock = asyncio.get_running_loop().time
    last = clock()
    while True:
        await asyncio.sleep(LOOK_EVERY)
        begun = clock()
        if waiting() > FEW_JOBS and begun - last < AT_LAST:
            continue
        gc.collect()
        last = clock()
        if last - begun > TELL:
            log.warning("full garbage collection took %.0f ms with %d jobs", (last - begun) * 1000, waiting())

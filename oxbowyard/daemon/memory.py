"""The process's memory: the limit of the budget for what peers make it hold, and warnings before it runs out.

The budget gets what `limits.memory_mb` leaves after the program at rest, the files in `$TMPDIR` (which the
platform counts as memory) and a reserve for what cannot be counted exactly. While two processes of one
scheduler run side by side during a hot restart, each may use half.
"""

from __future__ import annotations

import asyncio
import logging
import os
import resource
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from ..core.memory_budget import Holder, MemoryBudget
from .units import BYTES_PER_MB

log = logging.getLogger("oxbowyard.daemon")

USABLE_SHARE = 0.72  # of the limit; the rest covers fragmentation and what the kernel holds for the process
DEFAULT_REST_BYTES = 40 * BYTES_PER_MB  # of the program at rest, until it is measured
MIN_BUDGET_BYTES = 4 * BYTES_PER_MB  # some requests must be served even if the limit is too small
WARNING_SHARE = 0.75  # of the limit that the process takes
CRITICAL_SHARE = 0.9
WATCH_INTERVAL_S = 0.5
WARNING_INTERVAL_S = 10.0
MAX_FILES = 1000  # that are counted; the program itself writes a handful
KIB = 1024

STATM = Path("/proc/self/statm")


@dataclass(slots=True, frozen=True)
class MemoryUse:
    """What the process takes, in bytes."""

    resident: int
    files: int  # in `$TMPDIR`

    @property
    def total(self) -> int:
        """What the platform counts against the limit."""
        return self.resident + self.files


def resident_bytes() -> int:
    """Return the process's resident memory; its peak if the present value cannot be read."""
    try:
        return int(STATM.read_text().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB


def files_bytes(folder: Path) -> int:
    """Return the size of the files in a folder; 0 if it cannot be read."""
    total = 0
    try:
        with os.scandir(folder) as entries:
            for _, entry in zip(range(MAX_FILES), entries, strict=False):
                if entry.is_file(follow_symlinks=False):
                    total += entry.stat(follow_symlinks=False).st_size
    except OSError:  # also if a file is removed meanwhile
        pass
    return total


def budget_bytes(memory_mb: float, rest_bytes: int, files: int = 0, processes: int = 1) -> int:
    """Return the limit of the budget, in bytes.

    Args:
        memory_mb: The limit of all processes of the scheduler together, in MiB.
        rest_bytes: What this process takes at rest.
        files: The size of the files that count as memory.
        processes: How many processes share the limit.
    """
    usable = int(memory_mb * BYTES_PER_MB * USABLE_SHARE) - files
    return max(usable // processes - rest_bytes, MIN_BUDGET_BYTES)


class MemoryWatch:
    """Keeps the budget's limit up to date, and warns when the process approaches its own limit."""

    def __init__(
        self, memory_mb: float, budget: MemoryBudget, folder: Path, has_other_process: Callable[[], bool]
    ) -> None:
        """Create a watch.

        Args:
            memory_mb: The process's limit, in MiB.
            budget: The budget whose limit is set.
            folder: The folder whose files count as memory.
            has_other_process: Returns whether another process of this scheduler runs beside this one.
        """
        self._memory_mb = memory_mb
        self._budget = budget
        self._folder = folder
        self._has_other_process = has_other_process
        self._rest_bytes = 0
        self._warned_at = -WARNING_INTERVAL_S
        self.use = MemoryUse(resident_bytes(), 0)

    async def run(self) -> None:
        """Measure the program at rest, then watch. Never returns."""
        loop = asyncio.get_running_loop()
        while True:
            self.check(loop.time())
            await asyncio.sleep(WATCH_INTERVAL_S)

    def check(self, now: float) -> None:
        """Measure the process, set the budget's limit, and log a warning if memory is short."""
        self.use = MemoryUse(resident_bytes(), files_bytes(self._folder))
        if not self._rest_bytes:
            self._rest_bytes = max(self.use.resident - self._budget.used_bytes, 0)
        processes = 2 if self._has_other_process() else 1
        self._budget.limit_bytes = budget_bytes(self._memory_mb, self._rest_bytes, self.use.files, processes)
        share = self.use.total / (self._memory_mb * BYTES_PER_MB)
        if share >= WARNING_SHARE and now - self._warned_at >= WARNING_INTERVAL_S:
            self._warned_at = now
            level = logging.CRITICAL if share >= CRITICAL_SHARE else logging.WARNING
            log.log(level, "close to the limit: %s", self.summary())

    def figures(self) -> dict[str, object]:
        """Return the figures for the admin API: sizes in bytes, and how often space was refused."""
        budget = self._budget
        return {
            "resident_bytes": self.use.resident,
            "files_bytes": self.use.files,
            "limit_bytes": int(self._memory_mb * BYTES_PER_MB),
            "budget_bytes": budget.limit_bytes,
            "held_bytes": budget.used_bytes,
            "held_peak_bytes": budget.peak_bytes,
            "held_by": {holder.value: budget.used_by[holder] for holder in Holder},
            "refused_by": {holder.value: budget.refused[holder] for holder in Holder},
        }

    def summary(self) -> str:
        """Return the memory in use, its limits, and its largest holders as one line of text."""
        budget = self._budget
        holders = ", ".join(
            f"{holder.value} {_megabytes(size)}" for holder, size in budget.used_by.most_common() if size > 0
        )
        refused = sum(budget.refused.values())
        return (
            f"memory: resident {_megabytes(self.use.resident)} MB, files {_megabytes(self.use.files)} MB, "
            f"limit {self._memory_mb:g} MB, held {_megabytes(budget.used_bytes)} of "
            f"{_megabytes(budget.limit_bytes)} MB ({holders or 'nothing'}), refused {refused}"
        )


def _megabytes(size_bytes: int) -> str:
    return f"{size_bytes / BYTES_PER_MB:.1f}"

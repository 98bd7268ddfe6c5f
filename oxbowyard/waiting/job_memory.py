"""The memory of deferred jobs and their results, which is limited by the budget of the process."""

from __future__ import annotations

from msgspec.structs import replace

from ..core.memory_budget import Holder, MemoryBudget
from .held_jobs import HeldJobs
from .settings import WaitingSettings

JOB_BYTES = 1024  # of a job in addition to its payload, and of a result in addition to its body

# Shares of the memory budget, which lower the limits of the operator's file if these are higher.
MAX_JOBS_SHARE = 1 / 8  # for the records of jobs, and as much for those of results
MAX_PAYLOADS_SHARE = 1 / 3
MAX_RESULTS_SHARE = 1 / 4


def with_bounded_memory(settings: WaitingSettings, limit_bytes: int) -> WaitingSettings:
    """Return the settings with the limits of jobs and results lowered to their shares of the budget."""
    max_records = max(int(limit_bytes * MAX_JOBS_SHARE) // JOB_BYTES, 1)
    return replace(
        settings,
        max_jobs=min(settings.max_jobs, max_records),
        max_ended=min(settings.max_ended, max_records),
        max_held_bytes=min(settings.max_held_bytes, int(limit_bytes * MAX_PAYLOADS_SHARE)),
        max_ended_bytes=min(settings.max_ended_bytes, int(limit_bytes * MAX_RESULTS_SHARE)),
    )


class JobMemory:
    """Counts the jobs of one queue against the budget."""

    def __init__(self, budget: MemoryBudget, held: HeldJobs) -> None:
        self._allocation = budget.open(Holder.JOBS)
        self._held = held

    def update(self) -> None:
        """Count what is held now."""
        held = self._held
        records = held.jobs + held.ended
        self._allocation.resize(JOB_BYTES * records + held.bytes + held.ended_bytes)

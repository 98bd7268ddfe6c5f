"""Commits changes to a store with a size limit, and deletes results that are old or in the way."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass

from .database import Database
from .record import Change, JobAccepted, JobEnded, StoreError, StoreFailure
from .space import StoreSpace, accepted_bytes, stored_bytes

RESULTS_PER_DELETION = 20  # between two looks at how much space is in use
MEASUREMENT_INTERVAL_S = 0.05  # between two looks at how much is in use, unless much was committed
MAX_UNMEASURED_SHARE = 1 / 64  # of the size limit
EVICTION_PAUSE_S = 5.0  # once there was nothing to evict, since each search reads all kept results


@dataclass(slots=True, frozen=True)
class PruneLimits:
    """Limits of one deletion of old results."""

    ended_before: float  # Unix seconds; results of jobs that ended earlier are deleted
    max_results: int  # the oldest results beyond this number are deleted
    max_deletions: int  # per transaction
    evictable_before: float = 0.0  # Unix seconds; results of later ends are not deleted for new jobs


class Committer:
    """Writes to the database of one store. Used by the store's thread."""

    def __init__(
        self, database: Database, space: StoreSpace, prune_limits: Callable[[], PruneLimits] | None
    ) -> None:
        """`space` is told what the store uses. `prune_limits` None: no results are deleted."""
        self._database = database
        self._space = space
        self._prune_limits = prune_limits
        self._next_eviction_at = 0.0  # on the steady clock
        self._next_measurement_at = 0.0
        self._unmeasured_job_bytes = 0  # of jobs that were committed since the last measurement
        self._unmeasured_result_bytes = 0
        self._measure_space()

    def apply(self, changes: Sequence[Change]) -> int:
        """Commit the first changes that fit; return how many. Raises StoreError if there are none."""
        count = len(changes)
        while True:
            try:
                self._database.apply(changes[:count])
                break
            except StoreError as error:
                if error.failure is not StoreFailure.FULL:
                    raise
                if count == 1 and not self._free_space():
                    raise
                count = max(count // 2, 1)
        if self._space.max_bytes:
            self._count_unmeasured(changes[:count])
        return count

    def prune(self) -> None:
        """Delete results that are too old, too many, or take the space of new jobs. Raises StoreError."""
        if self._prune_limits is None:
            return
        limits = self._prune_limits()
        self._database.prune(limits.ended_before, limits.max_results, limits.max_deletions)
        self._measure_space()
        if self._space.is_crowded and time.monotonic() >= self._next_eviction_at:
            self._evict_results(limits)

    def _evict_results(self, limits: PruneLimits) -> None:
        """Delete results before their time, until there is space for new jobs. Raises StoreError."""
        for _ in range(0, limits.max_deletions, RESULTS_PER_DELETION):
            count = self._database.delete_oldest_results(limits.evictable_before, RESULTS_PER_DELETION, False)
            self._measure_space()
            if count < RESULTS_PER_DELETION:
                self._next_eviction_at = time.monotonic() + EVICTION_PAUSE_S
            if count < RESULTS_PER_DELETION or not self._space.is_crowded:
                return

    def _free_space(self) -> bool:
        """Delete some of the oldest results for a change that does not fit; return whether there were any.

        While the store is far from its size limit the disk is full, and results are not deleted for that.
        """
        self._measure_space()
        if self._prune_limits is None or not self._space.is_crowded:
            return False
        return any(
            self._database.delete_oldest_results(math.inf, RESULTS_PER_DELETION, with_keyed)
            for with_keyed in (False, True)
        )

    def _count_unmeasured(self, changes: Sequence[Change]) -> None:
        """Count what was committed since the last measurement, and measure again if that is due."""
        for change in changes:
            if isinstance(change, JobAccepted):
                self._unmeasured_job_bytes += accepted_bytes(change)
            elif isinstance(change, JobEnded):
                self._unmeasured_result_bytes += stored_bytes(len(change.result))
        unmeasured_bytes = self._unmeasured_job_bytes + self._unmeasured_result_bytes
        is_much = unmeasured_bytes > MAX_UNMEASURED_SHARE * self._space.max_bytes
        if is_much or time.monotonic() >= self._next_measurement_at:
            self._measure_space()

    def _measure_space(self) -> None:
        """Report what is in use. Until then the jobs that were committed count as queued ones."""
        if not self._space.max_bytes:
            return
        self._next_measurement_at = time.monotonic() + MEASUREMENT_INTERVAL_S
        with suppress(StoreError):  # the changes are committed, so a failure must not cause a retry
            self._space.record_commit(self._database.used_bytes(), self._unmeasured_job_bytes)
            self._unmeasured_job_bytes = self._unmeasured_result_bytes = 0

"""Restores the jobs of earlier runs from the store into the queue, page by page, while the queue serves."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeVar

from ..store.database import Database
from ..store.record import FINAL_FAILURES, JobEnded, StoredJob, StoreError
from ..store.writer import LOST_STATES, Writer
from ..waiting.grants import RepeatLimit
from ..waiting.job import Dependency, JobOutcome, JobState, JobSubmission, RestoredJob
from ..waiting.job_queue import JobQueue
from .encoding import decode_dependencies, decode_records_grants, decode_request
from .journal import DurableJournal
from .recovered_jobs import RecoveredState, RecoveryContext, UnresolvedDependency, recovered_state

log = logging.getLogger("oxbowyard.durable")

QUEUE_FULL_RETRY_S = 0.1  # between checks whether the queue has room for more jobs
READ_RETRY_INTERVAL_S = 0.5  # after a read that failed on the disk

T = TypeVar("T")


@dataclass(slots=True)
class FoundJob:
    """A job that has not ended, with the outcomes of its dependencies when it was read."""

    stored: StoredJob
    dependencies: list[Dependency]
    outcomes: dict[str, JobEnded | UnresolvedDependency]  # by job id

    def find_outcome(self, id_: str) -> JobEnded | UnresolvedDependency:
        """Return the outcome of a dependency."""
        return self.outcomes[id_]


@dataclass(slots=True)
class RecoveryCounts:
    """Counters of the jobs of earlier runs, by how they were restored."""

    resumed: int = 0
    indeterminate: int = 0
    dependency_failed: int = 0
    unknown_class: int = 0


class Recovery:
    """The recovery at one start of the program. The queue counts as recovering until all jobs are restored.

    If the store is lost meanwhile, the queue stays in recovery, because the other jobs are not known.
    """

    def __init__(
        self,
        queue: JobQueue,
        writer: Writer,
        deadlines_s: Mapping[str, float],
        page_size: int,
        journal: DurableJournal,
        grants_are_complete: bool,
    ) -> None:
        """`deadlines_s` are the deadlines by class; see `Database.grants_are_complete`."""
        self._queue = queue
        self._writer = writer
        self._journal = journal
        self._grants_are_complete = grants_are_complete
        self._deadlines_s = deadlines_s
        self._page_size = page_size
        self.counts = RecoveryCounts()
        self._left_in_store: set[str] = set()  # ids of the jobs that can't be restored
        queue.intake.is_recovering = True

    async def run(self) -> None:
        """Restore all jobs. While the queue is full, the remaining ones stay on disk."""
        started_at = time.monotonic()
        try:
            await self._read_all()
        except StoreError as error:
            log.error("recovery of earlier jobs stopped: %s", error)
            return
        self._queue.intake.is_recovering = False
        self._log_counts(time.monotonic() - started_at)

    async def _read_all(self) -> None:
        after = 0
        last = await self._read(lambda database: database.last_number())
        while page := await self._read_page(after, last):
            after = page[-1].stored.accepted.number
            for found in page:
                if found.dependencies:
                    await self._read_stale_outcomes(found)
                self._restore(found)
            await asyncio.sleep(0)
            while self._queue.held.jobs >= self._queue.settings.max_jobs:
                await asyncio.sleep(QUEUE_FULL_RETRY_S)

    def _log_counts(self, duration_s: float) -> None:
        counts = self.counts
        if counts.resumed or counts.indeterminate:
            log.info(
                "jobs of earlier runs recovered: resumed=%d indeterminate=%d dependency_failed=%d "
                "unknown_class=%d duration_s=%.1f",
                counts.resumed,
                counts.indeterminate,
                counts.dependency_failed,
                counts.unknown_class,
                duration_s,
            )

    async def _read_page(self, after: int, last: int) -> list[FoundJob]:
        def read(database: Database) -> list[FoundJob]:
            jobs = database.unfinished_jobs(after, self._page_size)
            earlier = [stored for stored in jobs if stored.accepted.number <= last]
            return [_find_dependencies(database, stored) for stored in earlier]

        return await self._read(read)

    async def _read_stale_outcomes(self, found: FoundJob) -> None:
        """Read the outcomes of dependencies again that ended, and left memory, after the job was read."""
        stale = [
            id_
            for id_, outcome in found.outcomes.items()
            if outcome is UnresolvedDependency.OPEN
            and id_ not in self._left_in_store
            and self._queue.find(id_) is None
        ]
        if stale:
            found.outcomes.update(await self._read(lambda database: _find_outcomes(database, stale)))

    async def _read(self, query: Callable[[Database], T]) -> T:
        """Read from the store, with retries; raises StoreError once it has failed for good."""
        while True:
            try:
                return await self._writer.read(query)
            except StoreError as error:
                if error.failure in FINAL_FAILURES or self._writer.health in LOST_STATES:
                    raise
                log.warning("recovery of earlier jobs delayed: %s", error)
            await asyncio.sleep(READ_RETRY_INTERVAL_S)

    def _restore(self, found: FoundJob) -> None:
        stored = found.stored
        accepted = stored.accepted
        deadline_s = self._deadlines_s.get(accepted.job_class)
        if deadline_s is None:  # the class was removed from the settings, and may be added again
            self.counts.unknown_class += 1
            self._left_in_store.add(accepted.id)
            log.warning(
                "job left in the store, unknown class: job=%s class=%s", accepted.id, accepted.job_class
            )
            return
        if self._queue.find(accepted.id) is not None:
            return
        records_grants = decode_records_grants(stored)
        if records_grants and not self._grants_are_complete:
            records_grants = None
        state = self._recovered_state(found, records_grants)
        self._restore_grant_records(stored, state, records_grants)
        failed = state.failed_dependency
        failure = f"{failed} has ended, or is no longer known" if failed else ""
        restored = RestoredJob(
            _submission(stored, state, deadline_s),
            accepted.number,
            stored.submission_count,
            state.indeterminate_reason,
            failure,
            math.inf if state.may_have_run else None,
        )
        lease = stored.lease.token if stored.lease else ""
        job = self._queue.restore(restored, lease, _repeat_limit(state))
        if job.is_waiting and len(job.dependencies) < len(found.dependencies):
            self._journal.record_dependencies(job)
        self._queue.intake.record_running_dependencies(job)
        if job.outcome is JobOutcome.DEPENDENCY_FAILED:
            self.counts.dependency_failed += 1
        elif job.state is JobState.INDETERMINATE:
            self.counts.indeterminate += 1
        else:
            self.counts.resumed += 1

    def _recovered_state(self, found: FoundJob, records_grants: bool | None) -> RecoveredState:
        stored = found.stored
        context = RecoveryContext(
            self._journal.machine_clock.now(),
            self._queue.repeat_rules.window_s(stored.accepted.job_class),
            records_grants,
        )
        return recovered_state(stored, found.dependencies, found.find_outcome, context)

    def _restore_grant_records(
        self, stored: StoredJob, state: RecoveredState, records_grants: bool | None
    ) -> None:
        """Bring the journal's record of the job's grants in line with the settings of this run."""
        number = stored.accepted.number
        needs_grant = self._queue.repeat_rules.needs_grant(stored.accepted.job_class)
        if state.first_send is not None or state.indeterminate_reason:
            if state.first_send is not None and stored.lease is None:
                self._journal.record_unrecorded_send(stored)
            self._journal.restore_grant(number, state.first_send)
        elif state.may_have_run:
            self._journal.restore_submission(number)
        elif records_grants is not needs_grant:
            self._journal.record_rules(stored, needs_grant)


def _repeat_limit(state: RecoveredState) -> RepeatLimit | None:
    if state.first_send is None:
        return None
    deadline_s = asyncio.get_running_loop().time() + state.repeat_s
    return RepeatLimit(deadline_s, state.first_send.request_id)


def _submission(stored: StoredJob, state: RecoveredState, deadline_s: float) -> JobSubmission:
    accepted = stored.accepted
    return JobSubmission(
        accepted.id,
        accepted.job_class,
        state.max_wait_s * 1000,
        len(accepted.payload),
        state.dependencies,
        state.delay_s * 1000,
        accepted.wait_for_idle,
        accepted.priority,
        accepted.tenant,
        accepted.idempotency_key,
        accepted.fingerprint,
        durable=True,
        request=decode_request(stored, deadline_s),
    )


def _find_dependencies(database: Database, stored: StoredJob) -> FoundJob:
    dependencies = decode_dependencies(stored)
    return FoundJob(stored, dependencies, _find_outcomes(database, [d.id for d in dependencies]))


def _find_outcomes(database: Database, ids: list[str]) -> dict[str, JobEnded | UnresolvedDependency]:
    return {id_: _find_outcome(database, id_) for id_ in ids}


def _find_outcome(database: Database, id_: str) -> JobEnded | UnresolvedDependency:
    found = database.find(id_)
    if found is None:
        return UnresolvedDependency.UNKNOWN
    return found.ended or UnresolvedDependency.OPEN

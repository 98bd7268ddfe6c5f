"""Opens the store with its writer thread and journal when the program starts, and closes it at the end."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from pathlib import Path

from ..store.committer import PruneLimits
from ..store.database import Database
from ..store.record import StoreError
from ..store.space import StoreSpace
from ..store.writer import LOST_STATES, StoreHealth, Writer
from ..waiting.job_queue import JobQueue
from .journal import DurableJournal
from .recovery import Recovery
from .settings import DurableSettings

MIN_KEPT_S = 60.0  # for a client to retrieve a result, before space for new jobs is made of it


class StoreOpenError(Exception):
    """The store could not be opened. The message is one line."""


class DurableStore:
    """The store with its writer and journal. Create it on the event loop that uses it."""

    def __init__(
        self, settings: DurableSettings, take_over: bool = False, wall_clock: Callable[[], float] = time.time
    ) -> None:
        """Open the store; `wall_clock` is Unix time in seconds. Raises StoreOpenError."""
        self._settings = settings
        self._wall_clock = wall_clock
        try:
            database = Database(Path(settings.path), settings.max_store_bytes, take_over)
            self.last_number = database.last_number()
            self._grants_are_complete = database.grants_are_complete
        except StoreError as error:
            raise StoreOpenError(f"store: {error}") from None
        self._queue: JobQueue | None = None
        self.space = StoreSpace(settings.max_store_bytes)
        self._writer = Writer(database, self._on_health, self._prune_limits, self.space)
        run_id = f"{database.epoch}."
        self.journal = DurableJournal(self._writer, self.space, run_id, settings.lease_s, wall_clock)

    def _prune_limits(self) -> PruneLimits:
        settings = self._settings
        return PruneLimits(
            ended_before=self._wall_clock() - settings.keep_answers_s,
            max_results=settings.max_answers,
            max_deletions=settings.forget_at_once,
            evictable_before=self._wall_clock() - MIN_KEPT_S,
        )

    def _on_health(self, health: StoreHealth) -> None:
        if health in LOST_STATES and self._queue is not None:
            self._queue.intake.journal_failed(self.journal.failure_reason())

    def recovery(self, queue: JobQueue, deadlines_s: Mapping[str, float]) -> Recovery:
        """Return the recovery of the jobs of earlier runs; `deadlines_s` are the deadlines by class."""
        self._queue = queue
        page_size = self._settings.read_at_once
        return Recovery(queue, self._writer, deadlines_s, page_size, self.journal, self._grants_are_complete)

    def summary(self) -> str:
        """Summarize the store's health and its commits so far in one line, for the log."""
        writer = self._writer
        changes, commits = writer.committed_changes, writer.commits
        used = f"{self.space.used_bytes} of {self.space.max_bytes} bytes in use"
        return f"store {writer.health.value}, {changes} changes in {commits} commits, {used}"

    async def close(self) -> None:
        """Commit the queued changes, then close and unlock the store."""
        await self._writer.close()

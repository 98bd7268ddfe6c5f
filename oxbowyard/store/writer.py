"""The store's thread: it commits changes in groups, and notifies nobody before theirs are on disk."""

from __future__ import annotations

import asyncio
import logging
import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from .database import Database
from .record import Change, StoreError, StoreFailure

log = logging.getLogger("oxbowyard.store")

MAX_BATCH_CHANGES = 1_000  # in one transaction: an early change must not wait for thousands
RETRY_INTERVAL_S = 0.5  # after a commit that a full or failing disk did not take
MAX_CONSECUTIVE_FAILURES = 5  # of a disk, before the store is given up
PRUNE_INTERVAL_S = 1.0

T = TypeVar("T")


class Health(Enum):
    """The state of a store in service."""

    SERVING = "serving"
    STALLED = "stalled"  # full or failing: it takes no more work, and retries what it has
    BROKEN = "broken"  # given up: what is not on disk by now will not be
    FENCED = "fenced"  # a successor has the store
    CLOSED = "closed"


LOST = (Health.BROKEN, Health.FENCED, Health.CLOSED)


@dataclass(slots=True, frozen=True)
class PruneLimits:
    """Which results may be deleted now."""

    ended_before: float  # Unix seconds
    max_results: int
    max_deletions: int  # in one transaction


class Writer:
    """Takes changes on the event loop and commits them in groups on its own thread."""

    def __init__(
        self,
        database: Database,
        on_health: Callable[[Health], None] = lambda health: None,
        prune_limits: Callable[[], PruneLimits] | None = None,
    ) -> None:
        self._database = database
        self._on_health = on_health
        self._prune_limits = prune_limits
        self._loop = asyncio.get_running_loop()
        self._wakeup = threading.Condition()
        self._queue: deque[Change | Callable[[], None] | _Read] = deque()
        self._closing = False
        self._failures = 0
        self.health = Health.SERVING
        self.commits = 0
        self.committed_changes = 0
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    # ---- From the loop ----

    def put(self, change: Change) -> None:
        """Queue a change to be committed, in order."""
        if self.health not in LOST:
            self._push(change)

    def when_durable(self, callback: Callable[[], None]) -> None:
        """Call back on the loop once all that was put so far is on disk; never, if it will not be."""
        if self.health not in LOST:
            self._push(callback)

    async def read(self, query: Callable[[Database], T]) -> T:
        """Query the database, after all that was put so far. Raises StoreError."""
        if self.health in LOST:
            raise StoreError(StoreFailure.FAILED, f"the store is {self.health.value}")
        answer: Future[T] = Future()
        self._push(_Read(query, answer))  # type: ignore[arg-type]
        return await asyncio.wrap_future(answer)

    def _push(self, item: Change | Callable[[], None] | _Read) -> None:
        with self._wakeup:
            self._queue.append(item)
            self._wakeup.notify()

    async def close(self) -> None:
        """Commit what is queued, then close the store."""
        with self._wakeup:
            self._closing = True
            self._wakeup.notify()
        await asyncio.to_thread(self._thread.join)

    # ---- On the thread ----

    def _run(self) -> None:
        while True:
            with self._wakeup:
                while not self._queue and not self._closing:
                    if not self._wakeup.wait(PRUNE_INTERVAL_S):
                        break
                batch = [self._queue.popleft() for _ in range(min(len(self._queue), MAX_BATCH_CHANGES))]
                done = self._closing and not batch
            if done or not self._carry_out(batch):
                break
        self._end()

    def _carry_out(self, batch: list[Change | Callable[[], None] | _Read]) -> bool:
        """Commit the changes of a batch in one transaction, then notify whoever waits for them.

        Returns whether the store can go on.
        """
        changes: list[Change] = [item for item in batch if not callable(item) and not isinstance(item, _Read)]
        while changes:
            try:
                self._database.apply(changes)
                break
            except StoreError as error:
                if not self._may_retry(error):
                    return False
        if changes:
            self.commits += 1
            self.committed_changes += len(changes)
            self._record_recovery()
        for item in batch:
            if isinstance(item, _Read):
                item.carry_out(self._database)
        callbacks = [item for item in batch if callable(item)]
        if callbacks:
            self._loop.call_soon_threadsafe(_call_all, callbacks)
        if not batch:
            self._prune()
        return True

    def _prune(self) -> None:
        if self._prune_limits is None:
            return
        limits = self._prune_limits()
        try:
            self._database.prune(limits.ended_before, limits.max_results, limits.max_deletions)
        except StoreError as error:
            log.warning("old results were not deleted: %s", error)

    def _may_retry(self, error: StoreError) -> bool:
        """Whether to retry the changes of a failed commit; waits for the retry interval if so."""
        if error.failure in (
            StoreFailure.FENCED,
            StoreFailure.DAMAGED,
            StoreFailure.NEWER,
            StoreFailure.FOREIGN,
        ):
            health = Health.FENCED if error.failure is StoreFailure.FENCED else Health.BROKEN
            self._set_health(health, error)
            return False
        self._failures += error.failure is not StoreFailure.FULL
        if self._failures > MAX_CONSECUTIVE_FAILURES or self._closing:
            self._set_health(Health.BROKEN, error)
            return False
        self._set_health(Health.STALLED, error)
        with self._wakeup:
            self._wakeup.wait(RETRY_INTERVAL_S)
        if error.failure is not StoreFailure.FULL:
            try:
                self._database.reopen()
            except StoreError as reopen_error:
                return self._may_retry(reopen_error)
        return True

    def _record_recovery(self) -> None:
        self._failures = 0
        if self.health is Health.STALLED:
            self._set_health(Health.SERVING, None)

    def _set_health(self, health: Health, error: StoreError | None) -> None:
        if health is self.health:
            return
        self.health = health
        if error is None:
            log.info("store health=%s", health.value)
        else:
            log.error("store health=%s: %s", health.value, error)
        self._loop.call_soon_threadsafe(self._on_health, health)

    def _end(self) -> None:
        if self.health not in LOST:
            self.health = Health.CLOSED
        with self._wakeup:
            remaining = list(self._queue)
            self._queue.clear()
        for item in remaining:
            if isinstance(item, _Read):
                item.answer.set_exception(
                    StoreError(StoreFailure.FAILED, f"the store is {self.health.value}")
                )
        try:
            self._database.close()
        except Exception:
            log.exception("store could not be closed")


class _Read:
    """A query and the future of its answer."""

    def __init__(self, query: Callable[[Database], object], answer: Future[object]) -> None:
        self._query = query
        self.answer = answer

    def carry_out(self, database: Database) -> None:
        try:
            self.answer.set_result(self._query(database))
        except BaseException as error:  # whatever it is belongs to the caller
            self.answer.set_exception(error)


def _call_all(callbacks: list[Callable[[], None]]) -> None:
    for callback in callbacks:
        try:
            callback()
        except Exception:
            log.exception("callback after a commit failed")

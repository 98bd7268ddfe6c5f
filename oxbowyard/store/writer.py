"""The store's thread, which commits changes in groups and calls back once they are on disk."""

from __future__ import annotations

import asyncio
import logging
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, TypeVar

from .database import Database
from .pending_read import PendingRead
from .record import FINAL_FAILURES, Change, StoreError, StoreFailure

log = logging.getLogger("oxbowyard.store")

MAX_BATCH_CHANGES = 1_000  # per transaction, which bounds the time that a change waits for later ones
RETRY_INTERVAL_S = 0.5  # after a commit that failed on a full or faulty disk
MAX_CONSECUTIVE_FAILURES = 5  # disk errors before the store counts as broken
PRUNE_INTERVAL_S = 1.0

T = TypeVar("T")
QueueItem = Change | Callable[[], None] | PendingRead[Any]


class StoreHealth(Enum):
    """The health of an open store."""

    SERVING = "serving"
    STALLED = "stalled"  # the disk is full or failing; no jobs are accepted, and queued changes are retried
    BROKEN = "broken"  # given up; changes that are not on disk are lost
    FENCED = "fenced"  # a successor has opened the store
    CLOSED = "closed"


LOST_STATES = (StoreHealth.BROKEN, StoreHealth.FENCED, StoreHealth.CLOSED)


@dataclass(slots=True, frozen=True)
class PruneLimits:
    """Limits of one deletion of old results."""

    ended_before: float  # Unix seconds; results of jobs that ended earlier are deleted
    max_results: int  # the oldest results beyond this number are deleted
    max_deletions: int  # per transaction


class Writer:
    """Accepts changes on the event loop and commits them in groups on a thread of its own."""

    def __init__(
        self,
        database: Database,
        on_health: Callable[[StoreHealth], None] = lambda health: None,
        prune_limits: Callable[[], PruneLimits] | None = None,
    ) -> None:
        """Start the thread. `on_health` is called on the event loop when the health changes."""
        self._database = database
        self._on_health = on_health
        self._prune_limits = prune_limits
        self._loop = asyncio.get_running_loop()
        self._wakeup = threading.Condition()
        self._queue: deque[QueueItem] = deque()
        self._batch: list[QueueItem] = []  # taken from the queue and not completed
        self._is_closing = False
        self._has_ended = False  # the thread takes no more items from the queue
        self._failures = 0
        self._next_prune_at = time.monotonic() + PRUNE_INTERVAL_S
        self.health = StoreHealth.SERVING
        self.commits = 0
        self.committed_changes = 0
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    # ---- Called on the event loop ----

    def put(self, change: Change) -> None:
        """Queue a change. Changes are committed in the order of these calls."""
        if self.health not in LOST_STATES:
            self._push(change)

    def when_durable(self, callback: Callable[[], None]) -> None:
        """Call back on the event loop once all changes queued so far are on disk; never if they are lost."""
        if self.health not in LOST_STATES:
            self._push(callback)

    async def read(self, query: Callable[[Database], T]) -> T:
        """Run a query after the changes queued so far. Raises StoreError."""
        pending = PendingRead(query)
        if not self._push(pending):
            pending.fail(self._lost_error())
        return await pending.result()

    def _push(self, item: QueueItem) -> bool:
        """Queue an item; return False if the thread has ended."""
        with self._wakeup:
            if self._has_ended:
                return False
            self._queue.append(item)
            self._wakeup.notify()
            return True

    async def close(self) -> None:
        """Commit the queued changes, then close the store."""
        with self._wakeup:
            self._is_closing = True
            self._wakeup.notify()
        await asyncio.to_thread(self._thread.join)

    # ---- Run on the thread ----

    def _run(self) -> None:
        try:
            while self._take_batch() and self._execute_batch():
                pass
        except BaseException as error:  # else callers would hang on a store that seems to serve
            log.exception("internal error in the store's thread")
            self._set_health(StoreHealth.BROKEN, StoreError(StoreFailure.FAILED, repr(error)))
        finally:
            self._shut_down()

    def _take_batch(self) -> bool:
        """Wait for items, or until the next deletion of old results; return False if the thread must end."""
        with self._wakeup:
            self._wakeup.wait_for(
                lambda: self._queue or self._is_closing, max(self._next_prune_at - time.monotonic(), 0.0)
            )
            self._batch = [self._queue.popleft() for _ in range(min(len(self._queue), MAX_BATCH_CHANGES))]
            return bool(self._batch) or not self._is_closing

    def _execute_batch(self) -> bool:
        """Commit the changes of the batch in one transaction, then run its queries and callbacks.

        Returns whether the store can continue.
        """
        changes: list[Change] = [
            item for item in self._batch if not callable(item) and not isinstance(item, PendingRead)
        ]
        if changes and not self._commit(changes):
            return False
        for item in self._batch:
            if isinstance(item, PendingRead):
                item.execute(self._database)
        callbacks = [item for item in self._batch if callable(item)]
        self._batch = []
        if callbacks:
            self._call_on_loop(_run_callbacks, callbacks)
        return time.monotonic() < self._next_prune_at or self._prune()

    def _commit(self, changes: list[Change]) -> bool:
        """Commit changes, with retries; return False if the store has failed for good."""
        while True:
            try:
                self._database.apply(changes)
                break
            except StoreError as error:
                if not self._may_retry(error):
                    return False
        self.commits += 1
        self.committed_changes += len(changes)
        self._record_recovery()
        return True

    def _prune(self) -> bool:
        """Delete old results; a failure is retried later. Return whether the store can continue."""
        self._next_prune_at = time.monotonic() + PRUNE_INTERVAL_S
        if self._prune_limits is None:
            return True
        limits = self._prune_limits()
        try:
            self._database.prune(limits.ended_before, limits.max_results, limits.max_deletions)
        except StoreError as error:
            log.warning("old results were not deleted: %s", error)
            return not self._is_final(error)
        return True

    def _is_final(self, error: StoreError) -> bool:
        """Return whether the store has failed for good with this error, and set its health if so."""
        if error.failure not in FINAL_FAILURES:
            return False
        self._set_health(
            StoreHealth.FENCED if error.failure is StoreFailure.FENCED else StoreHealth.BROKEN, error
        )
        return True

    def _may_retry(self, error: StoreError) -> bool:
        """Wait for the retry interval, and return whether to retry a failed commit."""
        if self._is_final(error):
            return False
        self._failures += error.failure is not StoreFailure.FULL
        if self._failures > MAX_CONSECUTIVE_FAILURES or self._is_closing:
            self._set_health(StoreHealth.BROKEN, error)
            return False
        self._set_health(StoreHealth.STALLED, error)
        with self._wakeup:  # items that are queued meanwhile must not shorten the interval
            self._wakeup.wait_for(lambda: self._is_closing, RETRY_INTERVAL_S)
        if error.failure is StoreFailure.FULL:
            return self._prune()  # deleting old results may free enough space
        try:
            self._database.reopen()
        except StoreError as reopen_error:
            return self._may_retry(reopen_error)
        return True

    def _record_recovery(self) -> None:
        self._failures = 0
        if self.health is StoreHealth.STALLED:
            self._set_health(StoreHealth.SERVING, None)

    def _set_health(self, health: StoreHealth, error: StoreError | None) -> None:
        if health is self.health:
            return
        self.health = health
        if error is None:
            log.info("store health=%s", health.value)
        else:
            log.error("store health=%s: %s", health.value, error)
        self._call_on_loop(self._on_health, health)

    def _call_on_loop(self, callback: Callable[..., None], *arguments: object) -> None:
        try:
            self._loop.call_soon_threadsafe(callback, *arguments)
        except RuntimeError:
            if not self._loop.is_closed():
                raise
            # The event loop is closed, so there are no callers left to notify.

    def _lost_error(self) -> StoreError:
        return StoreError(StoreFailure.FAILED, f"the store is {self.health.value}")

    def _shut_down(self) -> None:
        with self._wakeup:
            self._has_ended = True
            remaining = [*self._batch, *self._queue]
            self._queue.clear()
        if self.health not in LOST_STATES:
            self.health = StoreHealth.CLOSED
            self._call_on_loop(self._on_health, StoreHealth.CLOSED)
        for item in remaining:
            if isinstance(item, PendingRead):
                item.fail(self._lost_error())
        try:
            self._database.close()
        except Exception:
            log.exception("store could not be closed")


def _run_callbacks(callbacks: list[Callable[[], None]]) -> None:
    for callback in callbacks:
        try:
            callback()
        except Exception:
            log.exception("callback after a commit failed")

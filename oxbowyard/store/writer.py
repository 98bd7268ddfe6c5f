"""The store's thread: it commits changes in groups, and notifies nobody before theirs are on disk."""

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

MAX_BATCH_CHANGES = 1_000  # in one transaction: an early change must not wait for thousands
RETRY_INTERVAL_S = 0.5  # after a commit that a full or failing disk did not take
MAX_CONSECUTIVE_FAILURES = 5  # of a disk, before the store is given up
PRUNE_INTERVAL_S = 1.0

T = TypeVar("T")
Item = Change | Callable[[], None] | PendingRead[Any]


class StoreHealth(Enum):
    """The state of a store in service."""

    SERVING = "serving"
    STALLED = "stalled"  # full or failing: it takes no more work, and retries what it has
    BROKEN = "broken"  # given up: what is not on disk by now will not be
    FENCED = "fenced"  # a successor has the store
    CLOSED = "closed"


LOST_STATES = (StoreHealth.BROKEN, StoreHealth.FENCED, StoreHealth.CLOSED)


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
        on_health: Callable[[StoreHealth], None] = lambda health: None,
        prune_limits: Callable[[], PruneLimits] | None = None,
    ) -> None:
        self._database = database
        self._on_health = on_health
        self._prune_limits = prune_limits
        self._loop = asyncio.get_running_loop()
        self._wakeup = threading.Condition()
        self._queue: deque[Item] = deque()
        self._batch: list[Item] = []  # taken from the queue, and not carried out
        self._closing = False
        self._ended = False  # the thread takes nothing more from the queue
        self._failures = 0
        self._next_prune_at = time.monotonic() + PRUNE_INTERVAL_S
        self.health = StoreHealth.SERVING
        self.commits = 0
        self.committed_changes = 0
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    # ---- From the loop ----

    def put(self, change: Change) -> None:
        """Queue a change to be committed, in order."""
        if self.health not in LOST_STATES:
            self._push(change)

    def when_durable(self, callback: Callable[[], None]) -> None:
        """Call back on the loop once all that was put so far is on disk; never, if it will not be."""
        if self.health not in LOST_STATES:
            self._push(callback)

    async def read(self, query: Callable[[Database], T]) -> T:
        """Query the database, after all that was put so far. Raises StoreError."""
        pending = PendingRead(query)
        if not self._push(pending):
            pending.fail(self._lost_error())
        return await pending.result()

    def _push(self, item: Item) -> bool:
        """Queue an item; False if the thread has ended."""
        with self._wakeup:
            if self._ended:
                return False
            self._queue.append(item)
            self._wakeup.notify()
            return True

    async def close(self) -> None:
        """Commit what is queued, then close the store."""
        with self._wakeup:
            self._closing = True
            self._wakeup.notify()
        await asyncio.to_thread(self._thread.join)

    # ---- On the thread ----

    def _run(self) -> None:
        try:
            while self._take_batch() and self._carry_out_batch():
                pass
        except (
            BaseException
        ) as error:  # without its thread a store that says "serving" would hang its callers
            log.exception("internal error in the store's thread")
            self._set_health(StoreHealth.BROKEN, StoreError(StoreFailure.FAILED, repr(error)))
        finally:
            self._end()

    def _take_batch(self) -> bool:
        """Wait for items, until old results are due at most; False if there will be none."""
        with self._wakeup:
            self._wakeup.wait_for(
                lambda: self._queue or self._closing, max(self._next_prune_at - time.monotonic(), 0.0)
            )
            self._batch = [self._queue.popleft() for _ in range(min(len(self._queue), MAX_BATCH_CHANGES))]
            return bool(self._batch) or not self._closing

    def _carry_out_batch(self) -> bool:
        """Commit the changes of the batch in one transaction, then notify whoever waits for them.

        Returns whether the store can go on.
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
            self._call_on_loop(_call_all, callbacks)
        return time.monotonic() < self._next_prune_at or self._prune()

    def _commit(self, changes: list[Change]) -> bool:
        """Commit changes, however often a disk fails that may heal; False if it will not."""
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
        """Delete old results; a failure is tried again. Returns whether the store can go on."""
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
        """Whether the store is lost with this error; its health says so then."""
        if error.failure not in FINAL_FAILURES:
            return False
        self._set_health(
            StoreHealth.FENCED if error.failure is StoreFailure.FENCED else StoreHealth.BROKEN, error
        )
        return True

    def _may_retry(self, error: StoreError) -> bool:
        """Whether to retry the changes of a failed commit; waits for the retry interval if so."""
        if self._is_final(error):
            return False
        self._failures += error.failure is not StoreFailure.FULL
        if self._failures > MAX_CONSECUTIVE_FAILURES or self._closing:
            self._set_health(StoreHealth.BROKEN, error)
            return False
        self._set_health(StoreHealth.STALLED, error)
        with self._wakeup:  # what is queued meanwhile cuts nothing short
            self._wakeup.wait_for(lambda: self._closing, RETRY_INTERVAL_S)
        if error.failure is StoreFailure.FULL:
            return self._prune()  # results whose time is over may be all that fills it
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
            # Nobody is left to be told.

    def _lost_error(self) -> StoreError:
        return StoreError(StoreFailure.FAILED, f"the store is {self.health.value}")

    def _end(self) -> None:
        with self._wakeup:
            self._ended = True
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


def _call_all(callbacks: list[Callable[[], None]]) -> None:
    for callback in callbacks:
        try:
            callback()
        except Exception:
            log.exception("callback after a commit failed")

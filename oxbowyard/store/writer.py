"""The store's thread, which commits changes in groups and calls back once they are on disk."""

from __future__ import annotations

import asyncio
import logging
import threading
import time
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Any, TypeVar

from .committer import Committer, PruneLimits
from .database import Database
from .pending_read import PendingRead
from .record import FINAL_FAILURES, Change, JobAccepted, StoreError, StoreFailure
from .space import StoreSpace, accepted_bytes

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


class Writer:
    """Accepts changes on the event loop and commits them in groups on a thread of its own."""

    def __init__(
        self,
        database: Database,
        on_health: Callable[[StoreHealth], None] = lambda health: None,
        prune_limits: Callable[[], PruneLimits] | None = None,
        space: StoreSpace | None = None,
    ) -> None:
        """Start the thread. `on_health` is called on the event loop when the health changes.

        `space` is told what the store uses; None if the store has no size limit.
        """
        self._space = space or StoreSpace(0)
        self._database = database
        self._on_health = on_health
        self._committer = Committer(database, self._space, prune_limits)
        self._loop = asyncio.get_running_loop()
        self._wakeup = threading.Condition()
        self._queue: deque[QueueItem] = deque()
        self._batch: list[QueueItem] = []  # taken from the queue and not completed
        # Those of the queued queries that need not wait for changes that cannot be committed.
        self._stale_reads: deque[PendingRead[Any]] = deque()
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
            if self._space.max_bytes and isinstance(change, JobAccepted):
                self._space.add_queued(accepted_bytes(change))
            self._push(change)

    def when_durable(self, callback: Callable[[], None]) -> None:
        """Call back on the event loop once all changes queued so far are on disk; never if they are lost."""
        if self.health not in LOST_STATES:
            self._push(callback)

    async def read(self, query: Callable[[Database], T], may_be_stale: bool = False) -> T:
        """Run a query after the changes queued so far. Raises StoreError.

        A query that may be stale does not wait for changes while they cannot be committed.
        """
        pending = PendingRead(query, may_be_stale)
        if not self._push(pending):
            pending.fail(_lost_error(self.health))
        return await pending.result()

    def _push(self, item: QueueItem) -> bool:
        """Queue an item; return False if the thread has ended."""
        with self._wakeup:
            if self._has_ended:
                return False
            self._queue.append(item)
            if isinstance(item, PendingRead) and item.may_be_stale:
                self._stale_reads.append(item)
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

        Of a batch that does not fit into the store, the first changes that do are committed, and the rest
        goes back to the queue. Returns whether the store can continue.
        """
        changes: list[Change] = [
            item for item in self._batch if not callable(item) and not isinstance(item, PendingRead)
        ]
        if changes:
            committed = self._commit(changes)
            if not committed:
                return False
            if committed < len(changes):
                self._return_to_queue(changes[committed])
        for item in self._batch:
            if isinstance(item, PendingRead):
                item.execute(self._database)
        callbacks = [item for item in self._batch if callable(item)]
        self._batch = []
        self._drop_finished_reads()
        if callbacks:
            self._call_on_loop(_run_callbacks, callbacks)
        return time.monotonic() < self._next_prune_at or self._prune()

    def _return_to_queue(self, first: QueueItem) -> None:
        """Take this item and those behind it out of the batch, for the next one."""
        position = next(number for number, item in enumerate(self._batch) if item is first)
        with self._wakeup:
            self._queue.extendleft(reversed(self._batch[position:]))
        del self._batch[position:]

    def _commit(self, changes: list[Change]) -> int:
        """Commit as many of the first changes as fit, with retries.

        Return how many were committed; 0 if the store has failed for good.
        """
        while True:
            try:
                committed = self._committer.apply(changes)
                break
            except StoreError as error:
                if not self._may_retry(error):
                    return 0
        self.commits += 1
        self.committed_changes += committed
        self._failures = 0
        if self.health is StoreHealth.STALLED:
            self._set_health(StoreHealth.SERVING, None)
        return committed

    def _prune(self) -> bool:
        """Delete old results; a failure is retried later. Return whether the store can continue."""
        self._next_prune_at = time.monotonic() + PRUNE_INTERVAL_S
        try:
            self._committer.prune()
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
        self._wait_and_read(RETRY_INTERVAL_S)
        if error.failure is StoreFailure.FULL:
            return self._prune()  # deleting old results may free enough space
        try:
            self._database.reopen()
        except StoreError as reopen_error:
            return self._may_retry(reopen_error)
        return True

    def _wait_and_read(self, interval_s: float) -> None:
        """Run the queries that may be stale for an interval, or until the store closes."""
        end = time.monotonic() + interval_s
        while not self._is_closing and (remaining_s := end - time.monotonic()) > 0:
            while self._stale_reads:
                self._stale_reads.popleft().execute(self._database)
            with self._wakeup:
                self._wakeup.wait_for(lambda: self._is_closing or self._stale_reads, remaining_s)

    def _drop_finished_reads(self) -> None:
        while self._stale_reads and self._stale_reads[0].is_done:
            self._stale_reads.popleft()

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
                item.fail(_lost_error(self.health))
        try:
            self._database.close()
        except Exception:
            log.exception("store could not be closed")


def _lost_error(health: StoreHealth) -> StoreError:
    return StoreError(StoreFailure.FAILED, f"the store is {health.value}")


def _run_callbacks(callbacks: list[Callable[[], None]]) -> None:
    for callback in callbacks:
        try:
            callback()
        except Exception:
            log.exception("callback after a commit failed")

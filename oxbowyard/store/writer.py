"""The store's own thread: many changes a transaction, and nobody is told before theirs is on disk."""

from __future__ import annotations

import asyncio
import logging
import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future
from enum import Enum
from typing import TypeVar

from .record import Change, StoreFault, Trouble
from .sqlite import Database

log = logging.getLogger("oxbowyard.store")

MOST_AT_ONCE = 1_000  # changes in one transaction: an early one must not wait for thousands
AGAIN_AFTER = 0.5  # seconds before what a full or failing disk did not take is tried again
MOST_FAILURES = 5  # of a disk in a row, before the store is given up
PRUNE_EVERY = 1.0  # seconds between slices of forgetting

T = TypeVar("T")


class Health(Enum):
    """What a store in service is good for."""

    SERVING = "serving"
    STALLED = "stalled"  # full or failing: it takes no more work, and tries on with what it has
    BROKEN = "broken"  # given up: what is not on disk by now will not be
    FENCED = "fenced"  # a successor has the store
    CLOSED = "closed"


LOST = (Health.BROKEN, Health.FENCED, Health.CLOSED)


class Writer:
    """Takes changes from the loop's thread and commits them in groups on its own."""

    def __init__(
        self, database: Database, on_health: Callable[[Health], None] = lambda health: None,
        prune: Callable[[], tuple[float, int, int]] | None = None,
    ) -> None:  # fmt: skip
        self._database = database
        self._on_health = on_health
        self._prune = prune  # what may be forgotten now: ended before, how many stay, how many at once
        self._loop = asyncio.get_running_loop()
        self._news = threading.Condition()
        self._queue: deque[Change | Callable[[], None] | _Read] = deque()
        self._closing = False
        self._failures = 0
        self.health = Health.SERVING
        self.commits = 0
        self.committed = 0  # changes
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    # ---- From the loop ----

    def put(self, change: Change) -> None:
        """A change to be committed, in order."""
        if self.health not in LOST:
            self._push(change)

    def when_safe(self, then: Callable[[], None]) -> None:
        """Call on the loop once all that was put so far is on disk; never, if it will not be."""
        if self.health not in LOST:
            self._push(then)

    async def read(self, query: Callable[[Database], T]) -> T:
        """Ask the database, after all that was put so far; raises StoreFault."""
        if self.health in LOST:
            raise StoreFault(Trouble.FAILED, f"the store is {self.health.value}")
        answer: Future[T] = Future()
        self._push(_Read(query, answer))  # type: ignore[arg-type]
        return await asyncio.wrap_future(answer)

    def _push(self, item: Change | Callable[[], None] | _Read) -> None:
        with self._news:
            self._queue.append(item)
            self._news.notify()

    async def close(self) -> None:
        """Commit what is queued, then close the store."""
        with self._news:
            self._closing = True
            self._news.notify()
        await asyncio.to_thread(self._thread.join)

    # ---- On the thread ----

    def _run(self) -> None:
        while True:
            with self._news:
                while not self._queue and not self._closing:
                    if not self._news.wait(PRUNE_EVERY):
                        break
                batch = [self._queue.popleft() for _ in range(min(len(self._queue), MOST_AT_ONCE))]
                done = self._closing and not batch
            if done or not self._carry_out(batch):
                break
        self._end()

    def _carry_out(self, batch: list[Change | Callable[[], None] | _Read]) -> bool:
        """A batch in order: the changes in one transaction, then whoever waits for them."""
        changes: list[Change] = [item for item in batch if not callable(item) and not isinstance(item, _Read)]
        while changes:
            try:
                self._database.apply(changes)
                break
            except StoreFault as fault:
                if not self._go_on(fault):
                    return False
        if changes:
            self.commits += 1
            self.committed += len(changes)
            self._recovered()
        for item in batch:
            if isinstance(item, _Read):
                item.carry_out(self._database)
        told = [item for item in batch if callable(item)]
        if told:
            self._loop.call_soon_threadsafe(_call_all, told)
        if not batch:
            self._forget()
        return True

    def _forget(self) -> None:
        if self._prune is None:
            return
        try:
            self._database.prune(*self._prune())
        except StoreFault as fault:
            log.warning("old answers were not forgotten: %s", fault)

    def _go_on(self, fault: StoreFault) -> bool:
        """What a failed commit means: whether to try the same changes again."""
        if fault.trouble in (Trouble.FENCED, Trouble.DAMAGED, Trouble.NEWER, Trouble.FOREIGN):
            self._turn(Health.FENCED if fault.trouble is Trouble.FENCED else Health.BROKEN, fault)
            return False
        self._failures += fault.trouble is not Trouble.FULL
        if self._failures > MOST_FAILURES or self._closing:
            self._turn(Health.BROKEN, fault)
            return False
        self._turn(Health.STALLED, fault)
        with self._news:
            self._news.wait(AGAIN_AFTER)
        if fault.trouble is not Trouble.FULL:
            try:
                self._database.reopen()
            except StoreFault as again:
                return self._go_on(again)
        return True

    def _recovered(self) -> None:
        self._failures = 0
        if self.health is Health.STALLED:
            self._turn(Health.SERVING, None)

    def _turn(self, health: Health, fault: StoreFault | None) -> None:
        if health is self.health:
            return
        self.health = health
        if fault is None:
            log.info("store serving again")
        else:
            log.error("store %s: %s", health.value, fault)
        self._loop.call_soon_threadsafe(self._on_health, health)

    def _end(self) -> None:
        if self.health not in LOST:
            self.health = Health.CLOSED
        with self._news:
            left, self._queue = list(self._queue), deque()
        for item in left:
            if isinstance(item, _Read):
                item.answer.set_exception(StoreFault(Trouble.FAILED, f"the store is {self.health.value}"))
        try:
            self._database.close()
        except Exception:
            log.exception("the store did not close well")


class _Read:
    """A query and whoever waits for its answer."""

    def __init__(self, query: Callable[[Database], object], answer: Future[object]) -> None:
        self._query = query
        self.answer = answer

    def carry_out(self, database: Database) -> None:
        try:
            self.answer.set_result(self._query(database))
        except BaseException as fault:  # whatever it is belongs to the asker
            self.answer.set_exception(fault)


def _call_all(told: list[Callable[[], None]]) -> None:
    for then in told:
        try:
            then()
        except Exception:
            log.exception("fault after a commit")

"""A query that waits for the store's thread, and whoever waits for its answer on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import Future
from typing import Generic, TypeVar

from .database import Database
from .record import StoreError

T = TypeVar("T")


class PendingRead(Generic[T]):
    """Made on the event loop; answered once, on the store's thread or where it can't be queued."""

    def __init__(self, query: Callable[[Database], T]) -> None:
        self._query = query
        self._answer: Future[T] = Future()

    async def result(self) -> T:
        """Wait for the answer; raises what the query raised, or the error of `fail`."""
        return await asyncio.wrap_future(self._answer)

    def execute(self, database: Database) -> None:
        """Run the query, unless nobody waits for it any more."""
        if not self._answer.set_running_or_notify_cancel():
            return
        try:
            result = self._query(database)
        except BaseException as error:  # whatever it is belongs to the caller
            self._answer.set_exception(error)
        else:
            self._answer.set_result(result)

    def fail(self, error: StoreError) -> None:
        """Answer with an error, unless it is answered or nobody waits for it any more."""
        if not self._answer.done() and self._answer.set_running_or_notify_cancel():
            self._answer.set_exception(error)

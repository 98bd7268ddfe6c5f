"""A query that the event loop awaits and the store's thread runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import Future
from typing import Generic, TypeVar

from .database import Database
from .record import StoreError

T = TypeVar("T")


class PendingRead(Generic[T]):
    """A query with its future result, which is set by the store's thread, or at once if that has ended."""

    def __init__(self, query: Callable[[Database], T], may_be_stale: bool = False) -> None:
        """`may_be_stale`: while changes cannot be committed, the query runs before them."""
        self._query = query
        self.may_be_stale = may_be_stale
        self._future: Future[T] = Future()

    async def result(self) -> T:
        """Wait for the result. Raises the exception of the query, or the error of `fail`."""
        return await asyncio.wrap_future(self._future)

    @property
    def is_done(self) -> bool:
        """Whether there is a result or an error, or the caller was cancelled."""
        return self._future.done()

    def execute(self, database: Database) -> None:
        """Run the query, unless that was done before or its caller was cancelled."""
        if self._future.done() or not self._future.set_running_or_notify_cancel():
            return
        try:
            result = self._query(database)
        except BaseException as error:  # any exception is raised in the caller
            self._future.set_exception(error)
        else:
            self._future.set_result(result)

    def fail(self, error: StoreError) -> None:
        """Fail with an error, unless there is a result or the caller was cancelled."""
        if not self._future.done() and self._future.set_running_or_notify_cancel():
            self._future.set_exception(error)

"""Runs an event loop on a background thread, for tests and benchmarks that are synchronous."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")
CALL_TIMEOUT_S = 10.0  # for one call into the loop


class LoopThread:
    """An event loop on a daemon thread. `close` cancels the tasks that still run and stops the loop."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine on the loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(CALL_TIMEOUT_S)

    def call(self, function: Callable[[], T]) -> T:
        """Call a plain function on the loop and return its result."""

        async def coroutine() -> T:
            return function()

        return self.run(coroutine())

    def close(self) -> None:
        """Cancel all tasks, then stop and close the loop."""

        async def end() -> None:
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.run(end())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(CALL_TIMEOUT_S)
        self._loop.close()

"""An event loop on a thread of its own, beside tests and benchmarks that wait."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")
CALL_TIMEOUT_S = 10.0  # seconds for what is done there at once


class LoopThread:
    """Runs until it is closed; nothing that it began is left then."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Let it do something, and wait for the end."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(CALL_TIMEOUT_S)

    def call(self, function: Callable[[], T]) -> T:
        """The same of a plain function."""

        async def coroutine() -> T:
            return function()

        return self.run(coroutine())

    def close(self) -> None:
        """End all that runs there, and the loop."""

        async def end() -> None:
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.run(end())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(CALL_TIMEOUT_S)
        self._loop.close()

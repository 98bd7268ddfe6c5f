"""Background tasks that run until the program ends."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

log = logging.getLogger("oxbowyard.daemon")


class BackgroundTasks:
    """The background tasks of one program. A task that fails is logged; `stop` cancels all of them."""

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine until `stop`. A coroutine that fails is not restarted."""
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(_log_failure)
        self._tasks.append(task)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and (error := task.exception()):
        log.critical("background task ended: error=%r", error, exc_info=error)

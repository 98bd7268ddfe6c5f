"""An event loop whose time jumps to the next timer: hours pass in no time, and alike in every run."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any


class VirtualLoop(asyncio.SelectorEventLoop):
    """When no descriptor is ready, the clock jumps to the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0
        self._look = self._selector.select  # type: ignore[attr-defined]
        self._selector.select = self._select  # type: ignore[attr-defined]

    def time(self) -> float:
        return self._now

    def _select(self, timeout: float | None = None) -> Any:
        found = self._look(0)
        if not found:
            assert timeout is not None, "everybody waits for nothing"
            self._now += max(timeout, 0.0)
        return found


def run_in_virtual_time(scene: Callable[[], Awaitable[None]], timeout_s: float = 3600.0) -> None:
    """Run a scene for so many virtual seconds at most."""

    async def bounded() -> None:
        async with asyncio.timeout(timeout_s):
            await scene()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(bounded())

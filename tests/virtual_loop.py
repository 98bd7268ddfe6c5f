"""An event loop with a virtual clock, which makes tests of long periods fast and deterministic."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any


class VirtualLoop(asyncio.SelectorEventLoop):
    """Advance the clock to the next timer whenever no descriptor is ready."""

    def __init__(self) -> None:
        super().__init__()
        self._now = 0.0
        self._select_ready = self._selector.select  # type: ignore[attr-defined]
        self._selector.select = self._select  # type: ignore[attr-defined]

    def time(self) -> float:
        return self._now

    def _select(self, timeout: float | None = None) -> Any:
        found = self._select_ready(0)
        if not found:
            assert timeout is not None, "deadlock: no descriptor is ready and no timer is set"
            self._now += max(timeout, 0.0)
        return found


def run_in_virtual_time(scenario: Callable[[], Awaitable[None]], timeout_s: float = 3600.0) -> None:
    """Run a scenario; raise TimeoutError if it takes longer than `timeout_s` of virtual time."""

    async def bounded() -> None:
        async with asyncio.timeout(timeout_s):
            await scenario()

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(bounded())

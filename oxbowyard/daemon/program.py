"""One program from start to exit. The work of each state is in its own module.

| state | module |
| --- | --- |
| starting | `startup` |
| serving | `reporting`, in addition to the subsystems |
| reloading | `reload` |
| handing over | `hot_restart` |
| leaving, finishing, stopped | `shutdown` |
"""

from __future__ import annotations

import asyncio
import signal

from .context import build_context
from .hot_restart import HotRestart
from .loading import ConfigurationLoader
from .memory import MemoryWatch
from .reload import Reloader
from .shutdown import abort_startup, shut_down
from .startup import open_and_start, wait_for_first_list
from .states import State


class Program:
    """One process of a scheduler."""

    def __init__(self, load: ConfigurationLoader, take_over: bool = False) -> None:
        """Build all subsystems and components of the configuration. Requires a running event loop.

        `load` is called now and at each SIGHUP; `take_over` opens the durable store even if another process
        has it open. Raises ConfigurationError.
        """
        loaded = load()
        started_at = asyncio.get_running_loop().time()
        self.context = build_context(loaded, take_over)
        self.reloader = Reloader(self.context, load)
        self.hot_restart = HotRestart(self.context, started_at)
        self.context.memory_watch = MemoryWatch(
            self.context.config.memory_mb,
            self.context.subsystems.memory,
            self.context.folder,
            lambda: self.hot_restart.has_other_process,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the admin API reports ready: serving, not stopping, and not waiting for a predecessor."""
        context = self.context
        return (
            context.states.is_serving
            and not context.stop_requested.is_set()
            and self.hot_restart.may_report_ready
        )

    async def run(self) -> int:
        """Run until SIGTERM or SIGINT, and return the exit code. Raises OSError if an address cannot be bound
        or a file cannot be opened."""
        self._handle_signals()
        await self.start()
        self.hot_restart.begin()
        await wait_for_first_list(self.context)
        if not self.context.stop_requested.is_set():
            self.context.states.enter(State.SERVING)
            self._watch_memory()
        await self.context.stop_requested.wait()
        await self.shut_down()
        return 0

    def _watch_memory(self) -> None:
        """Start to watch the memory, now that the program holds what it needs at rest."""
        assert self.context.memory_watch is not None
        self.context.subsystems.background.start(self.context.memory_watch.run())

    async def start(self) -> None:
        """Open and start everything. On OSError everything is closed again before the error is raised."""
        try:
            self.context.acceptor = await open_and_start(self.context, lambda: self.is_ready)
        except OSError:
            await abort_startup(self.context)
            raise

    async def shut_down(self) -> None:
        """Shut down gracefully: all accepted requests are answered."""
        await shut_down(self.context, self.hot_restart)

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.context.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.reloader.reload)

"""Hot restart: a new process of a scheduler replaces the old one, which is in the state "handing over".

The processes find each other by files (`oxbowyard.handover`). The old process stops accepting clients, hands
over its estimates and answers its open requests. The new process reports readiness once the old one has no
open request. If the new process exits before that, the old one accepts clients again.
"""

from __future__ import annotations

import asyncio
import logging
import os

from ..handover.learned import EstimatesFile
from ..handover.pid_files import HEARTBEAT_INTERVAL_S, PidFiles
from ..handover.protocol import Action, Handover
from .context import ProgramContext
from .states import State

log = logging.getLogger("oxbowyard.daemon")


class HotRestart:
    """The part of one process in a hot restart, as predecessor or as successor."""

    def __init__(self, context: ProgramContext, started_at: float) -> None:
        """`started_at` is the event loop's time in seconds at the start of the program."""
        self._context = context
        name = context.config.name
        self.handover = Handover(PidFiles(context.folder, name, os.getpid()), started_at)
        self.estimates_file = EstimatesFile(context.folder, name, os.getpid(), context.subsystems.clock)
        self._has_adopted_estimates = False

    @property
    def may_report_ready(self) -> bool:
        """Whether the admin API may report this process as ready."""
        return self.handover.may_report_ready

    @property
    def has_other_process(self) -> bool:
        """Whether another process of this scheduler runs beside this one."""
        return self.handover.has_other_process

    def begin(self) -> None:
        """Check whether another process is serving, and poll the handover files in the background."""
        self.handover.start()
        self._context.subsystems.background.start(self._follow())

    def end(self) -> None:
        """Remove the files that name this process."""
        self.handover.end()

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            if self.handover.is_waiting and not self._has_adopted_estimates:
                self._has_adopted_estimates = self.adopt_estimates()
            open_requests = self._context.subsystems.scheduler.open_request_count
            action = self.handover.poll(loop.time(), open_requests)
            if action is Action.HAND_OVER:
                await self._hand_over()
            elif action is Action.RESUME and self._context.states.current is State.HANDING_OVER:
                log.warning("the new process exited before it took over: accepting clients again")
                await self.resume()

    async def _hand_over(self) -> None:
        """Hand the clients over to the waiting successor, unless this process is starting or leaving."""
        context = self._context
        if not context.states.is_serving or context.acceptor is None:
            self.handover.decline()
            return
        context.states.enter(State.HANDING_OVER)
        self.hand_over_estimates()
        await context.acceptor.close_and_wait()
        context.client_connections.start_draining()
        context.client_connections.close_idle()
        await context.components.hand_over()

    async def resume(self) -> None:
        """Accept clients again, or stop the program if their address can no longer be bound."""
        context = self._context
        try:
            acceptor = context.bind_clients()
        except OSError as error:  # it cannot serve anybody: the platform may restart it
            log.error("cannot accept clients again, stopping: error=%s", error)
            context.stop_requested.set()
            return
        context.client_connections.stop_draining()
        context.acceptor = acceptor
        acceptor.open()
        context.states.enter(State.SERVING)
        try:
            await context.components.open()
            context.components.start()
        except OSError as error:
            log.error("continuing without the operator's components: error=%s", error)

    def adopt_estimates(self) -> bool:
        """Adopt the estimates of the old process. Return False if it has not written them yet."""
        estimates = self.estimates_file.read()
        if estimates is None:
            return False
        try:
            self._context.subsystems.scheduler.restore(estimates)
            log.info("adopted the previous process's estimates: workers=%d", len(estimates.workers))
        except Exception:  # the restart continues without the estimates
            log.exception("failed to adopt the previous process's estimates")
        return True

    def hand_over_estimates(self) -> None:
        """Write the estimates to the file for the waiting successor."""
        successor = self.handover.successor
        if successor is None:
            return
        try:
            self.estimates_file.write(self._context.subsystems.scheduler.snapshot(), successor)
        except Exception:  # the restart continues without the estimates
            log.exception("failed to hand over the estimates")

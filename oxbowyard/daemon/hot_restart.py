"""The state "handing over", and the other side of it: one process of a scheduler replaces another.

The processes find each other by files (`oxbowyard.handover`). The old one stops accepting clients, hands over
its estimates and answers what it has; the new one says that it is ready once the old one holds nothing. When
the new process exits before that, the old one accepts clients again.
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
    """One process's side of a replacement."""

    def __init__(self, context: ProgramContext, started_at: float) -> None:
        """`started_at` is the event loop's time at the program's start, in seconds."""
        self._context = context
        name = context.config.name
        self.handover = Handover(PidFiles(context.folder, name, os.getpid()), started_at)
        self.estimates_file = EstimatesFile(context.folder, name, os.getpid(), context.subsystems.clock)
        self._adopted = False

    @property
    def may_report_ready(self) -> bool:
        """Whether the operators may be told that this process is ready."""
        return self.handover.may_report_ready

    def begin(self) -> None:
        """Find out whether another process serves, and follow it in the background."""
        self.handover.start()
        self._context.subsystems.background.start(self._follow())

    def end(self) -> None:
        """Remove the files that name this process."""
        self.handover.end()

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            if self.handover.is_waiting and not self._adopted:
                self._adopted = self.adopt_estimates()
            open_requests = self._context.subsystems.scheduler.open_request_count
            action = self.handover.poll(loop.time(), open_requests)
            if action is Action.HAND_OVER:
                await self._hand_over()
            elif action is Action.RESUME and self._context.states.current is State.HANDING_OVER:
                log.warning("the new process exited before it took over: accepting clients again")
                await self.resume()

    async def _hand_over(self) -> None:
        """Leave the clients to the process that waits to take over; not while this one starts or leaves."""
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
        """Accept clients again, or stop the program where their address can't be bound any more."""
        context = self._context
        try:
            acceptor = context.bind_clients()
        except OSError as error:  # without clients there is nothing to do: it may be started again
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
        """Take over the old process's estimates. False if it has not written them yet."""
        estimates = self.estimates_file.read()
        if estimates is None:
            return False
        try:
            self._context.subsystems.scheduler.restore(estimates)
            log.info("adopted the previous process's estimates: workers=%d", len(estimates.workers))
        except Exception:  # the replacement goes on without the estimates
            log.exception("failed to adopt the previous process's estimates")
        return True

    def hand_over_estimates(self) -> None:
        """Write the estimates for the process that waits to take over."""
        successor = self.handover.successor
        if successor is None:
            return
        try:
            self.estimates_file.write(self._context.subsystems.scheduler.snapshot(), successor)
        except Exception:  # the replacement goes on without the estimates
            log.exception("failed to hand over the estimates")

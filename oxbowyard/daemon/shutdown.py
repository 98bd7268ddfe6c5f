"""Graceful shutdown, the states "leaving", "finishing" and "stopped": accepted requests are answered first.

1. Leaving: connections are still accepted for `ACCEPT_AFTER_STOP_S`, and each answer closes its connection.
   Deferred jobs that have not been submitted end at once as never run, unless a store keeps them, and their
   clients are answered, so that they can go to another scheduler.
2. Finishing: no connection is accepted. Client connections, then the components of the operator's file, then
   the subsystems are closed, and the final summaries are logged. Last, the store and the admin API are closed
   and the pid files are removed.
"""

from __future__ import annotations

import asyncio

from .context import ProgramContext
from .hot_restart import HotRestart
from .reporting import log_summaries
from .states import State

ACCEPT_AFTER_STOP_S = 0.5  # time for load balancers to notice that /up no longer reports ready
MAX_OVERRUN_S = 1.0  # a client connection may outlive the longest deadline by this much


async def shut_down(context: ProgramContext, hot_restart: HotRestart) -> None:
    """Shut the program down gracefully, from any state in which it runs."""
    context.states.enter(State.LEAVING)
    context.client_connections.start_draining()
    if context.subsystems.job_queue:
        context.subsystems.job_queue.stop()
    await asyncio.sleep(ACCEPT_AFTER_STOP_S)
    context.states.enter(State.FINISHING)
    await _finish_clients(context)
    await context.components.close()
    await context.subsystems.close()
    log_summaries(context, is_last=True)
    if context.store:
        await context.store.close()
    _close_admin(context)
    hot_restart.end()
    context.shared_ids.close()
    context.states.enter(State.STOPPED)


async def abort_startup(context: ProgramContext) -> None:
    """Close everything that a failed start has opened."""
    _close_admin(context)
    await context.components.close()
    await context.subsystems.close()
    if context.store is not None:
        await context.store.close()


async def _finish_clients(context: ProgramContext) -> None:
    if context.acceptor is not None:
        await context.acceptor.close_and_wait()
    if context.subsystems.gearman:
        context.subsystems.gearman.start_draining()
    longest_s = max(context.longest_deadline_s, context.subsystems.scheduler.max_time_left_s())
    await context.client_connections.close(longest_s + MAX_OVERRUN_S)


def _close_admin(context: ProgramContext) -> None:
    if context.admin_acceptor is not None:
        context.admin_acceptor.close()

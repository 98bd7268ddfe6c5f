"""The state "starting": listeners, components and background tasks start, then the first list is awaited.

1. The clients' address is bound; connections are not accepted yet.
2. The admin API and Gearman start to listen.
3. The file of workers in maintenance is read before any list of workers, so that a worker that was drained by
   hand before a hot restart remains drained.
4. The components of the operator's file open.
5. The discovery client and the background tasks start, among them the recovery of durable jobs.
6. The components start.
7. Client connections are accepted.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..control.admin_server import AdminConnections
from ..control.counters import CounterSources, read_counters
from ..control.handlers import AdminHandlers, AdminSources
from ..control.maintenance import SYNC_INTERVAL_S, Maintenance
from ..listeners.acceptor import Acceptor
from .context import ProgramContext
from .garbage_collection import disable_full_passes, run_full_passes
from .reporting import report_periodically, watch_event_loop_lag

FIRST_LIST_TIMEOUT_S = 2.0  # for discovery's first answer; after that a cached list is used


async def open_and_start(context: ProgramContext, is_ready: Callable[[], bool]) -> Acceptor:
    """Perform the steps above and return the clients' listener. Raises OSError if an address cannot be bound
    or a file cannot be opened. `is_ready` provides the readiness that the admin API reports."""
    acceptor = context.bind_clients()
    _listen(context, is_ready)
    context.maintenance.sync_from_file()
    if context.membership is not None:
        context.maintenance.on_change = context.membership.on_drain_changed
    await context.components.open()
    context.subsystems.start()
    _start_background_tasks(context)
    context.components.start()
    acceptor.open()
    return acceptor


async def wait_for_first_list(context: ProgramContext) -> None:
    """Wait until there is a list of workers, or until the program is requested to stop.

    For the first `FIRST_LIST_TIMEOUT_S` only a list from discovery counts; then a cached list is enough.
    """
    listed = asyncio.ensure_future(context.subsystems.discovery.ready.wait())
    stop = asyncio.ensure_future(context.stop_requested.wait())
    try:
        await asyncio.wait({listed, stop}, timeout=FIRST_LIST_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        if not context.subsystems.registry.endpoints:
            await asyncio.wait({listed, stop}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        listed.cancel()
        stop.cancel()


def _listen(context: ProgramContext, is_ready: Callable[[], bool]) -> None:
    subsystems = context.subsystems
    if context.config.admin is not None:
        handlers = AdminHandlers(_admin_sources(context, is_ready))
        connections = AdminConnections(
            handlers, subsystems.memory, subsystems.input_queue, subsystems.descriptors.admin
        )
        context.admin_acceptor = Acceptor("control", *context.config.admin, connections)
        context.admin_acceptor.open()
    if subsystems.gearman:
        subsystems.gearman.listen()


def _admin_sources(context: ProgramContext, is_ready: Callable[[], bool]) -> AdminSources:
    subsystems = context.subsystems
    counters = CounterSources(
        subsystems.measure, subsystems.backends.sent_attempts, subsystems.registry, context.reload_counts
    )
    return AdminSources(
        is_ready,
        lambda: read_counters(counters, subsystems.scheduler.open_request_count),
        context.maintenance,
        context.membership.view if context.membership else None,
        context.memory_watch.figures if context.memory_watch else None,
    )


def _start_background_tasks(context: ProgramContext) -> None:
    background = context.subsystems.background
    background.start(_follow_maintenance(context.maintenance))
    background.start(watch_event_loop_lag())
    background.start(report_periodically(context))
    jobs = context.subsystems.job_queue
    if jobs is None:
        return
    disable_full_passes()
    background.start(run_full_passes(lambda: jobs.held.jobs))
    if context.store is not None:
        background.start(context.store.recovery(jobs, context.subsystems.deadlines_s).run())


async def _follow_maintenance(maintenance: Maintenance) -> None:
    """Apply cordons and uncordons that another process of this scheduler writes to the shared file."""
    while True:
        await asyncio.sleep(SYNC_INTERVAL_S)
        maintenance.sync_from_file()

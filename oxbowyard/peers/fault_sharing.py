"""Sharing of worker faults: reports own faults to the peers, and passes theirs on to the dispatcher."""

from __future__ import annotations

import asyncio

from ..decision.facade import WorkerFault
from ..membership.events import EntryWritten
from ..membership.messages import GossipEntry
from ..membership.node import Node
from .fault_reports import FaultReports
from .services import ProgramServices


class FaultSharing:
    """Exchanges fault reports between this scheduler's dispatcher and the group."""

    def __init__(self, services: ProgramServices, node: Node) -> None:
        self._services = services
        self._node = node
        self._loop = asyncio.get_running_loop()
        self._reports = FaultReports(services.ramp_s)
        self._applied: tuple[WorkerFault, ...] = ()
        self._is_apply_scheduled = False

    @property
    def avoided_workers(self) -> list[str]:
        """Return the workers for which a peer's report is applied."""
        return [fault.worker for fault in self._applied]

    def share(self, now: float) -> None:
        """Report new faults of this scheduler, and apply those of the peers as of `now` (seconds)."""
        services, clock_ms = self._services, self._services.clock_ms()
        own_faults = services.own_faults()
        worker_count = services.worker_count()
        for report in self._reports.new_reports(now, own_faults, worker_count, clock_ms):
            entry = EntryWritten(report.key, report.value, report.lifetime_s, is_urgent=True)
            self._node.handle(entry)
        self._apply(own_faults, now, clock_ms)

    def receive(self, entry: GossipEntry) -> None:
        """Store a peer's entry. Entries that arrive in one message are applied together."""
        is_report = self._reports.receive(entry, self._loop.time())
        if is_report and not self._is_apply_scheduled:
            self._is_apply_scheduled = True
            self._loop.call_soon(self._apply_received)

    def _apply_received(self) -> None:
        services = self._services
        self._apply(services.own_faults(), self._loop.time(), services.clock_ms())

    def _apply(self, own_faults: list[WorkerFault], now: float, clock_ms: float) -> None:
        self._is_apply_scheduled = False
        faults = self._reports.peer_faults(now, clock_ms, own_faults)
        if faults or self._applied:
            self._applied = faults
            self._services.apply_peer_faults(faults)

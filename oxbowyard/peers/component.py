"""Membership as a component of the program: the exchange of state between this scheduler and its group."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Coroutine, Mapping
from typing import Any

from ..membership.events import FactsChanged
from ..membership.instructions import MemberEventKind, NotifyMemberEvent
from ..membership.messages import GossipEntry, MemberState
from ..membership.node import Node
from ..membership.table import MembershipSettings
from .cluster_size import ClusterSize, ObservedMember
from .documents import PeerDocuments
from .drain_propagation import DrainPropagation
from .facts import FactsPublisher
from .fault_sharing import FaultSharing
from .services import ProgramServices
from .status import GroupStatus, status_document

log = logging.getLogger("oxbowyard.peers")

UPDATE_INTERVAL_S = 0.25
BIND_RETRY_INTERVAL_S = 0.2  # while the process being replaced still uses the address
MAX_SHOWN_CONFLICTS = 16


class MembershipComponent:
    """Makes this scheduler a member of the group."""

    name = "membership"

    def __init__(self, settings: MembershipSettings, services: ProgramServices) -> None:
        self._settings = settings
        self._services = services
        self._loop = asyncio.get_running_loop()
        self._node = Node(
            services.name, services.zone, settings, services.random, self._on_event, self._on_entry
        )
        self.documents = PeerDocuments(self._node)
        self._cluster_size = ClusterSize(services.configured_size, settings.doubt_s, settings.split_s)
        self._facts = FactsPublisher(services)
        self._fault_sharing = FaultSharing(services, self._node)
        self._drains = DrainPropagation(self._node.handle, services.set_drained, settings.forget_s)
        self._conflicts: dict[str, str] = {}  # address of the other process with the same name, by name
        self._tasks: list[asyncio.Task[None]] = []

    # ---- Lifecycle ----

    async def open(self) -> None:
        """Bind the sockets, or keep trying in the background while the address is in use.

        Raises OSError if the address cannot be bound for another reason.
        """
        try:
            await self._join()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            log.warning("membership address in use, retrying: address=%s", self._settings.listen)
            self._spawn(self._join_later())

    def start(self) -> None:
        """Start sharing the state of this scheduler with the group."""
        self._spawn(self._run())

    async def hand_over(self) -> None:
        """Leave the group, so that another process can join under the same name."""
        await self._cancel_tasks()
        await self._node.close()

    async def close(self) -> None:
        """Leave the group."""
        await self.hand_over()

    async def _join(self) -> None:
        settings = self._settings
        await self._node.open()
        log.info(
            "membership listening: name=%s group=%s listen=%s advertise=%s",
            self._services.name,
            settings.group,
            settings.listen,
            settings.advertised_address,
        )
        self._facts.forget_published()
        self._drains.announce_restored(self._services.drained_workers())

    async def _join_later(self) -> None:
        while not self._node.is_open:
            await asyncio.sleep(BIND_RETRY_INTERVAL_S)
            try:
                await self._join()
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    log.error(
                        "membership address unusable: address=%s error=%s", self._settings.listen, error
                    )
                    return

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(self._loop.create_task(work))

    async def _cancel_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        for error in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(error, Exception):
                log.error("membership task failed: error=%r", error)
        self._tasks.clear()

    # ---- Outgoing state ----

    async def _run(self) -> None:
        while True:
            try:
                self._update()
            except Exception:  # a failed update must not end the updates to the group
                log.exception("membership update failed")
            await asyncio.sleep(UPDATE_INTERVAL_S)

    def _update(self) -> None:
        now = self._loop.time()
        self._update_cluster_size(now)
        if not self._node.is_open:
            return
        facts = self._facts.changed_facts(now)
        if facts is not None:
            self._node.handle(FactsChanged(facts))
        if self._settings.share_troubles:
            self._fault_sharing.share(now)

    def _update_cluster_size(self, now: float) -> None:
        protocol, cluster = self._node.protocol, self._cluster_size
        previous = cluster.size
        observed = [
            ObservedMember(member.record.name, member.is_live, member.state is MemberState.LEFT)
            for member in protocol.members
        ]
        size = cluster.update(now, observed, protocol.longest_suspicion_s())
        if size != previous:
            log.info(
                "cluster size changed: size=%d live=%d counted_dead=%d",
                size,
                cluster.live,
                cluster.counted_dead,
            )
            self._services.set_scheduler_count(size)

    def on_drain_changed(self, worker: str, is_drained: bool) -> None:
        """Propagate that an operator drained a worker at this scheduler, or returned it to service."""
        self._drains.on_local_change(worker, is_drained, self._loop.time())

    # ---- Incoming state ----

    def _on_entry(self, entry: GossipEntry) -> None:
        is_drain = self._drains.receive(entry, self._loop.time())
        if not is_drain and self._settings.share_troubles:
            self._fault_sharing.receive(entry)

    def _on_event(self, event: NotifyMemberEvent) -> None:
        if event.kind is MemberEventKind.CONFLICT:
            if len(self._conflicts) < MAX_SHOWN_CONFLICTS:
                self._conflicts[event.name] = event.address
        elif event.kind in (MemberEventKind.DIED, MemberEventKind.LEFT):
            self._conflicts.pop(event.name, None)

    # ---- Admin API ----

    def view(self) -> Mapping[str, object]:
        """Return the status of the group for the admin API."""
        now = self._loop.time()
        self._update_cluster_size(now)  # so that all values are of the same moment
        status = GroupStatus(
            self._settings.group,
            self._services.configured_size,
            self._cluster_size,
            self._conflicts,
            self._fault_sharing.avoided_workers,
        )
        return status_document(self._node, status, now)

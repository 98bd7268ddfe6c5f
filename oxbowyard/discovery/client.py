"""The discovery client: keeps the registry up to date from the address that the configuration names.

A `Watch` polls one address. The client decides which watch is in use, applies its events to the registry,
passes them on to the dispatcher, and suspends sending while the list is too old.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable
from dataclasses import replace
from random import Random

from ..decision.facade import Scope, WorkerInfo
from .endpoint_list import MalformedListError, WatchEvent, parse_endpoint_list
from .poll_schedule import PollSchedule
from .registry import Registry
from .watch import Watch

log = logging.getLogger("oxbowyard.discovery")

UpdateEndpoints = Callable[[Scope, tuple[WorkerInfo, ...]], None]


async def _no_delay() -> None:
    return


class DiscoveryClient:
    """Follows the endpoint list of one address. All changes are passed to `update_endpoints`, in order."""

    def __init__(
        self,
        address: str,
        registry: Registry,
        update_endpoints: UpdateEndpoints,
        on_address_settled: Callable[[], None] = lambda: None,
        schedule: PollSchedule | None = None,
    ) -> None:
        """`on_address_settled` is called when the address that was set last has answered."""
        self._registry = registry
        self._update_endpoints = update_endpoints
        self._on_address_settled = on_address_settled
        self._schedule = schedule or PollSchedule(False, 1, Random(0))
        self._addresses: asyncio.Queue[str] = asyncio.Queue()
        self._addresses.put_nowait(address)
        self._active: Watch | None = None  # the one whose events are applied
        self._pending: Watch | None = None  # replaces the active one when it gets its first answer
        self._tasks: dict[Watch, asyncio.Task[None]] = {}
        self._resume_after: int | None = None  # the revision that the first watch may continue from
        self._expiry_timer: asyncio.TimerHandle | None = None  # fires when the list is too old for sending
        self.latest_revision: int | None = None  # the revision that the service sent last
        self.on_answer: Callable[[], None] = lambda: None  # called after each answer, even if nothing changed
        self.wait_before_first_poll: Callable[[], Awaitable[None]] = (
            _no_delay  # awaited before the first poll
        )
        self.ready = asyncio.Event()  # set once there is a list, from the service or an earlier one

    def set_scheduler_count(self, schedulers: int) -> None:
        """Set the number of schedulers that poll the same service."""
        self._schedule.set_scheduler_count(schedulers)

    # ---- Earlier lists ----

    def restore(self, document: object) -> None:
        """Use the endpoint list of the configuration, which may be old. None if there is none in it."""
        if document is None:
            return
        try:
            event = parse_endpoint_list(document)
        except MalformedListError as error:
            log.warning("endpoint list in the configuration is unusable: %s", error)
            return
        self._update_endpoints(*self._registry.apply(event, is_restored=True))
        if self._schedule.is_shared and event.endpoints:  # a full list costs twice as much as its changes
            self._resume_after = event.revision
            self.ready.set()

    def adopt(self, document: object, online_since: float | None, may_resume: bool) -> bool:
        """Use this full list until the service has sent one.

        `online_since`: clock time that is the earliest assumed start of any worker in the list. `may_resume`:
        the first poll may request only the changes since the list's revision. Return False, and change
        nothing, if the service has answered already or the list has no endpoints.
        """
        if self.latest_revision is not None:
            return False
        try:
            event = parse_endpoint_list(document)
        except MalformedListError as error:
            log.warning("earlier endpoint list is unusable: %s", error)
            return False
        if not event.endpoints:
            return False
        scope, infos = self._registry.apply(replace(event, is_full=True), is_restored=True)
        if online_since is not None:
            infos = tuple(replace(i, started_at_ms=max(i.started_at_ms, online_since)) for i in infos)
        self._update_endpoints(scope, infos)
        self._resume_after = event.revision if may_resume and self._schedule.is_shared else None
        self.ready.set()
        return True

    # ---- The watches ----

    def change_address(self, address: str) -> None:
        """Watch another address from now on. The previous one stays in use until the new one has answered."""
        self._addresses.put_nowait(address)

    async def run(self) -> None:
        """Watch until cancelled."""
        async with asyncio.TaskGroup() as group:
            await self.wait_before_first_poll()
            while True:
                address = await self._addresses.get()
                self._cancel(self._pending)  # replaced before it answered
                self._pending = None
                if self._active is not None and self._active.address == address:
                    self._on_address_settled()
                else:
                    self._open_watch(address, group)

    def _open_watch(self, address: str, group: asyncio.TaskGroup) -> None:
        watch = Watch(address, self._schedule, self._apply, self._arm_expiry, self._resume_after)
        delay_s = self._first_poll_delay_s()
        self._pending = watch
        self._resume_after = None  # another address may number its revisions differently
        self._tasks[watch] = group.create_task(watch.run(delay_s))

    def _first_poll_delay_s(self) -> float:
        now = asyncio.get_running_loop().time()
        if self._active is not None:
            return self._schedule.move_delay_s(now)
        return self._schedule.first_delay_s(now) if self._resume_after is not None else 0.0

    def _cancel(self, watch: Watch | None) -> None:
        if watch is not None:
            self._tasks.pop(watch).cancel()

    def _apply(self, watch: Watch, event: WatchEvent, may_be_overdue: bool) -> None:
        activated = watch is self._pending
        if activated:
            self._cancel(self._active)
            self._active, self._pending = watch, None
        elif watch is not self._active:  # it answered while it was being cancelled
            return
        if event.endpoints or event.is_full:
            self._publish(event, may_be_overdue)
        self._resume_sending()
        self.latest_revision = event.revision
        self.on_answer()
        self.ready.set()
        if activated:
            log.info("discovery watch active: address=%s", watch.address)
            self._on_address_settled()

    def _publish(self, event: WatchEvent, may_be_overdue: bool) -> None:
        scope, infos = self._registry.apply(event, may_be_overdue=may_be_overdue)
        # Weights change every second, so only a full list is logged at INFO. State changes are logged apart.
        level = logging.INFO if event.is_full else logging.DEBUG
        log.log(
            level,
            "endpoint list applied: revision=%d scope=%s entries=%d",
            event.revision,
            scope.value,
            len(infos),
        )
        self._update_endpoints(scope, infos)

    # ---- The list's expiry ----

    def _arm_expiry(self) -> None:
        """Start the expiry timer after a failed poll, if the list has an expiry time."""
        expires_at = self._schedule.list_expires_at
        if self._expiry_timer is None and expires_at < math.inf:
            self._expiry_timer = asyncio.get_running_loop().call_at(expires_at, self._suspend_sending)

    def _suspend_sending(self) -> None:
        """Stop sending until the service has answered.

        The service was reachable but has not sent its list in time, so a drain that is unknown here may
        already be binding.
        """
        log.error("endpoint list expired, nothing is sent until discovery answers")
        self._registry.suspend()
        self._update_endpoints(Scope.FULL, self._registry.effective_endpoints())

    def _resume_sending(self) -> None:
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None
        if self._registry.is_suspended:
            log.info("endpoint list renewed, sending resumes")
            self._registry.resume()
            self._update_endpoints(Scope.FULL, self._registry.effective_endpoints())

"""Puts the parts of a scheduler together, for the daemon and for applications with the middleware."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable, Mapping
from dataclasses import replace
from random import Random, SystemRandom
from typing import TYPE_CHECKING, Any

from ..backends.http import HttpBackends
from ..control.maintenance import Maintenance
from ..core.clock import steady_unix_ms
from ..core.request import BackendTransport, RoutedTransport
from ..core.scheduler import Limits, Scheduler
from ..core.service_measure import ServiceMeasure
from ..decision.facade import Facade
from ..decision.settings import JobClass, Repeat, Settings
from ..discovery.call_schedule import CallSchedule
from ..discovery.registry import Registry
from ..discovery.watch import DiscoveryClient
from ..gearman.config import KIND, GearmanConfig
from ..gearman.front import GearmanFront
from ..gearman.jobs import Jobs
from ..gearman.workers import Workers
from .config import Config
from .descriptors import Descriptors

if TYPE_CHECKING:  # its libraries are there, and taken in, only where the operator's file has its table
    from ..durable.durable_store import DurableStore
    from ..membership.table import MembershipSettings
    from ..peers.part import MembershipPart
    from ..start.part import StartPart
    from ..start.table import StartSettings
    from ..waiting.job_queue import JobQueue
    from ..waiting.settings import WaitingSettings

log = logging.getLogger("oxbowyard.daemon")


class Assembly:
    """A scheduler with its discovery client, its backends and, where asked for, its Gearman front."""

    def __init__(
        self,
        config: Config,
        gearman: GearmanConfig | None = None,
        on_settled: Callable[[], None] = lambda: None,
        waiting: WaitingSettings | None = None,
        kept: DurableStore | None = None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        """`clock` gives Unix time in milliseconds that only advances; None: the system's."""
        if gearman:
            most = min(gearman.max_connections, config.sockets // 4)
            gearman = replace(gearman, max_connections=most)
        clock = clock or steady_unix_ms()
        self.config, self.clock = config, clock
        self.classes = frozenset(c.name for c in config.settings.classes)
        settings = _with_functions(config.settings, gearman)
        plain = measured = settings.classes
        if waiting is not None:
            from ..waiting.job_queue import with_aged_classes

            # In time is what is so for a job's own class.
            measured = with_aged_classes(plain, waiting, objective_deadlines=0.0)
            settings = replace(settings, classes=with_aged_classes(plain, waiting))
        self.measure = ServiceMeasure(measured, config.by_work)
        self.registry = Registry(clock, settings.drain_grace)
        self.descriptors = Descriptors.share_out(
            config.sockets, config.most_held, gearman.max_connections if gearman else 0,
            admin=config.admin is not None,
        )  # fmt: skip
        self.backends = HttpBackends(
            self.registry,
            config.load_names,
            settings.connect_timeout,
            frozenset(c.name for c in settings.classes if c.repeat is not Repeat.FREE),
            self.descriptors.tails,
        )
        workers = Workers(gearman) if gearman else None
        transport: BackendTransport = self.backends
        if workers:
            transport = RoutedTransport(self.backends, {KIND: workers})
        # The discovery client asks for the list, whichever way it comes: the decisions need not.
        facade = Facade(replace(settings, must_subscribe=False), config.seed, clock)
        limits = Limits(max_open_requests=self.descriptors.requests)
        self.scheduler = Scheduler(settings, facade, transport, clock, self.measure, limits)
        self.discovery = DiscoveryClient(
            config.discovery, self.registry, self.scheduler.update_endpoints, on_settled,
            CallSchedule(settings.must_subscribe, settings.siblings, Random(config.seed), settings.ask_every),
        )  # fmt: skip
        self.waiting: JobQueue | None = None
        if waiting is not None:
            self.waiting = _room(
                waiting, plain, self.scheduler, clock, config.name, self.descriptors.requests, kept
            )
        self.deadlines = {c.name: c.deadline / 1000 for c in plain}
        self.gearman: GearmanFront | None = None
        if gearman and workers:
            workers.tell_to(self.scheduler.update_endpoints)
            jobs = Jobs(gearman, self.scheduler, config.name, self.waiting)
            self.gearman = GearmanFront(gearman, jobs, workers)
        self._gearman_config = gearman
        self._chores: list[asyncio.Task[None]] = []

    def retune(self, settings: Settings) -> None:
        """The classes and fetches of these settings for reqs from now on; Gearman's functions stay."""
        settings = _with_functions(settings, self._gearman_config)
        self.scheduler.apply_settings(settings)
        self.backends.once = frozenset(c.name for c in settings.classes if c.repeat is not Repeat.FREE)
        self.deadlines |= {c.name: c.deadline / 1000 for c in settings.classes}

    def start(self) -> None:
        """Begin to watch the list of backends."""
        self.discovery.restore(self.config.known)
        self.add_chore(self.discovery.run())

    def add_chore(self, chore: Coroutine[Any, Any, None]) -> None:
        """Run something until the end."""
        task = asyncio.get_running_loop().create_task(chore)
        task.add_done_callback(_chore_ended)
        self._chores.append(task)

    def slots(self) -> float:
        """Jobs that the listed backends are reckoned to run at once, of the class that most of them run."""
        return max((self.scheduler.capacity(name).slots for name in self.classes), default=0.0)

    async def close(self) -> None:
        """Finish every req and job that was taken, then end all."""
        if self.waiting is not None:
            self.waiting.stop()
            await self.waiting.wait_until_idle()
        await self.scheduler.wait_until_idle()
        if self.gearman:
            await self.gearman.close()
        for chore in self._chores:
            chore.cancel()
        await asyncio.gather(*self._chores, return_exceptions=True)
        await self.backends.close()

    def summary(self) -> str:
        """The service measure and the answers so far, in a line."""
        answers = ", ".join(f"{kind.value} {n}" for kind, n in self.measure.answers.items())
        open_count = self.scheduler.open_request_count
        return f"service {self.measure.share:.3f}, open {open_count}, answers: {answers or 'none'}"


def membership(
    settings: MembershipSettings, parts: Assembly, maintenance: Maintenance, state: Callable[[], str]
) -> MembershipPart:
    """The group of schedulers as a part of the program."""
    from ..gearman.admin import VERSION
    from ..peers.part import MembershipPart, Offers

    config, scheduler = parts.config, parts.scheduler
    own = config.settings

    def reckon(schedulers: int) -> None:
        scheduler.set_scheduler_count(schedulers)
        parts.discovery.reckon(schedulers)

    return MembershipPart(
        settings,
        Offers(
            name=config.name, zone=own.zone, configured=own.siblings, ramp=own.ramp / 1000,
            version=VERSION.rpartition(" ")[2], random=SystemRandom(), clock=parts.clock, state=state,
            held=lambda: scheduler.open_request_count, slots=parts.slots,
            workers=lambda: parts.registry.listed,
            troubles=scheduler.worker_faults, hear=scheduler.apply_peer_faults, reckon=reckon,
            drained=lambda: maintenance.by_hand, drain=maintenance.take,
        ),
    )  # fmt: skip


def first_list(settings: StartSettings, parts: Assembly, group: MembershipPart | None) -> StartPart:
    """Where the first list comes from, as a part of the program."""
    from ..start.part import Offers, StartPart

    discovery, registry, config = parts.discovery, parts.registry, parts.config

    def adopt(document: Mapping[str, Any], cold: bool, newer: bool) -> bool:
        return discovery.adopt(document, parts.clock() if cold else None, newer)

    def told() -> tuple[int, list[dict[str, Any]]] | None:
        return None if discovery.told is None else (discovery.told, registry.document())

    offers = Offers(
        name=config.name, configured=config.settings.siblings, common=config.settings.must_subscribe,
        random=SystemRandom(), known=config.known, adopt=adopt, told=told, peers=group,
    )  # fmt: skip
    part = StartPart(settings, offers)
    discovery.turn, discovery.on_told = part.turn, part.service_spoke
    return part


def _room(
    waiting: WaitingSettings,
    classes: Iterable[JobClass],
    scheduler: Scheduler,
    clock: Callable[[], float],
    name: str,
    reqs: int,
    kept: DurableStore | None,
) -> JobQueue:
    from ..waiting.job_queue import JobQueue, with_bounded_window

    journal = kept.journal if kept else None
    room = JobQueue(with_bounded_window(waiting, reqs), classes, scheduler, clock, name, journal=journal)
    if kept is not None:
        room.set_last_number(kept.last_number)
        room.intake.is_recovering = True
    return room


def _with_functions(settings: Settings, gearman: GearmanConfig | None) -> Settings:
    """The settings with a class more for each Gearman function."""
    if gearman is None:
        return settings
    functions = tuple(f.job_class for f in gearman.functions.values())
    return replace(settings, classes=settings.classes + functions)


def _chore_ended(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and (fault := task.exception()):
        log.critical("a chore ended: %r", fault, exc_info=fault)

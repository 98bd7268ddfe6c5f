"""The composition root: builds a scheduler's subsystems, for the daemon and for applications with middleware.

`compose` builds the subsystems in this order, because each depends on those before it: service measure,
registry of workers, budgets of file descriptors and of memory, HTTP transport, Gearman workers, scheduler,
discovery client, deferred jobs, Gearman front. `Subsystems.start` starts the discovery client.
`Subsystems.close` stops the subsystems in this order: deferred jobs, scheduler (both finish the requests and
jobs that were accepted), Gearman front, background tasks, HTTP transport.

The components of the operator's file that only the daemon has are built in `operator_components`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from random import Random
from typing import TYPE_CHECKING

from ..backends.http import HttpBackends
from ..core.clock import make_unix_ms_clock
from ..core.memory_budget import MemoryBudget
from ..core.repeats import RememberedIds, SharedIds, UnsharedIds
from ..core.request import BackendTransport, RoutedTransport
from ..core.scheduler import Limits, Scheduler
from ..core.service_measure import ServiceMeasure
from ..decision.facade import Facade
from ..decision.settings import JobClass, RetrySafety, Settings
from ..discovery.client import DiscoveryClient
from ..discovery.poll_schedule import PollSchedule
from ..discovery.registry import Registry
from ..gearman.config import KIND, GearmanConfig
from ..gearman.front import GearmanFront
from ..gearman.jobs import Jobs
from ..gearman.worker_transport import WorkerTransport
from ..gearman.workers import Workers
from ..listeners.fair_queue import FairQueue
from .background_tasks import BackgroundTasks
from .config import Config
from .descriptors import DescriptorBudget
from .memory import DEFAULT_REST_BYTES, budget_bytes
from .units import MS_PER_S

if TYPE_CHECKING:  # optional dependencies: imported only if the operator's file has the table
    from ..durable.durable_store import DurableStore
    from ..waiting.job_queue import JobQueue
    from ..waiting.settings import WaitingSettings

MAX_GEARMAN_DESCRIPTORS_SHARE = 1 / 4  # of all file descriptors; the HTTP front needs the others


@dataclass(slots=True)
class Subsystems:
    """A scheduler with its discovery client, its workers and, where configured, deferred jobs and Gearman."""

    config: Config
    clock: Callable[[], float]  # Unix time in ms, never steps backwards
    classes: frozenset[str]  # names of the classes that HTTP clients may request
    measure: ServiceMeasure
    registry: Registry
    descriptors: DescriptorBudget
    memory: MemoryBudget
    input_queue: FairQueue
    backends: HttpBackends
    scheduler: Scheduler
    discovery: DiscoveryClient
    deadlines_s: dict[str, float]  # by class name
    job_queue: JobQueue | None = None
    gearman: GearmanFront | None = None
    background: BackgroundTasks = field(default_factory=BackgroundTasks)

    def start(self) -> None:
        """Start to watch the list of workers."""
        self.discovery.restore(self.config.known_endpoints)
        self.background.start(self.discovery.run())

    def apply_settings(self, settings: Settings) -> None:
        """Apply the classes and the number of attempts of these settings to new requests of all fronts."""
        self.classes = frozenset(c.name for c in settings.classes)
        settings = _with_functions(settings, self.gearman.config if self.gearman else None)
        self.scheduler.apply_settings(settings)
        self.backends.non_repeatable = _not_idempotent(settings.classes)
        self.deadlines_s |= _deadlines_s(settings.classes)

    def estimate_slots(self) -> float:
        """Return the estimated number of jobs that the listed workers run at once, for the class with the
        largest estimate."""
        return max((self.scheduler.capacity(name).slots for name in self.classes), default=0.0)

    async def close(self) -> None:
        """Finish all requests and jobs that were accepted, then stop all subsystems."""
        if self.job_queue is not None:
            self.job_queue.stop()
            await self.job_queue.wait_until_idle()
        await self.scheduler.wait_until_idle()
        if self.gearman:
            await self.gearman.close()
        await self.background.stop()
        await self.backends.close()

    def summary(self) -> str:
        """Return the service measure and the number of answers of each kind as one line of text."""
        answers = ", ".join(f"{kind.value} {count}" for kind, count in self.measure.answers.items())
        open_count = self.scheduler.open_request_count
        return f"service {self.measure.share:.3f}, open {open_count}, answers: {answers or 'none'}"


@dataclass(slots=True, frozen=True)
class _Classes:
    """The job classes that each subsystem works with, the classes of Gearman functions included."""

    requested: tuple[JobClass, ...]  # those that clients may request
    measured: tuple[JobClass, ...]  # with the latency objectives by which an answer counts as in time
    scheduled: tuple[JobClass, ...]  # with the additional classes for aged jobs


def compose(
    config: Config,
    gearman: GearmanConfig | None = None,
    on_settled: Callable[[], None] = lambda: None,
    waiting: WaitingSettings | None = None,
    durable: DurableStore | None = None,
    clock: Callable[[], float] | None = None,
    shared_ids: SharedIds | None = None,
) -> Subsystems:
    """Build all subsystems without starting any of them.

    `on_settled` is called when discovery has answered at the address that was set last. `waiting` enables
    deferred jobs, and `durable` is the open store that persists them. `clock` returns Unix time in
    milliseconds and never steps backwards; by default it is derived from the system clock. `shared_ids` are
    the request ids that other processes of this scheduler have sent; None if there never is another one.
    """
    clock = clock or make_unix_ms_clock()
    gearman = _within_descriptors(gearman, config.sockets)
    settings = _with_functions(config.settings, gearman)
    classes = _classes(settings.classes, waiting)
    settings = replace(settings, classes=classes.scheduled)

    measure = ServiceMeasure(classes.measured, config.weight_is_per_work)
    registry = Registry(clock, settings.drain_grace_ms)
    descriptors = _descriptors(config, gearman)
    memory = MemoryBudget(budget_bytes(config.memory_mb, DEFAULT_REST_BYTES))
    input_queue = FairQueue()
    backends = _http_backends(config, settings, registry, descriptors, memory)
    workers = WorkerTransport(Workers(gearman, memory)) if gearman else None
    ids = RememberedIds(memory, asyncio.get_running_loop().time, shared_ids or UnsharedIds())
    scheduler = _scheduler(config, settings, _transport(backends, workers), clock, measure, descriptors, ids)
    discovery = _discovery(config, settings, registry, scheduler, on_settled)
    jobs = None
    if waiting is not None:
        jobs = _deferred_jobs(
            waiting, classes.requested, scheduler, config.name, descriptors, durable, clock, memory
        )
    front = None
    if gearman and workers:
        gearman_jobs = Jobs(gearman, scheduler, config.name, memory, jobs, workers.unfinished_runs)
        workers.workers.on_change = scheduler.update_endpoints
        front = GearmanFront(gearman, gearman_jobs, workers, memory, input_queue)
    return Subsystems(
        config=config,
        clock=clock,
        classes=frozenset(c.name for c in config.settings.classes),
        measure=measure,
        registry=registry,
        descriptors=descriptors,
        memory=memory,
        input_queue=input_queue,
        backends=backends,
        scheduler=scheduler,
        discovery=discovery,
        deadlines_s=_deadlines_s(classes.requested),
        job_queue=jobs,
        gearman=front,
    )


def _within_descriptors(gearman: GearmanConfig | None, sockets: int) -> GearmanConfig | None:
    """Return Gearman's settings with the connections limited to its share of the file descriptors."""
    if gearman is None:
        return None
    share = int(sockets * MAX_GEARMAN_DESCRIPTORS_SHARE)
    return replace(gearman, max_connections=min(gearman.max_connections, share))


def _with_functions(settings: Settings, gearman: GearmanConfig | None) -> Settings:
    """Return the settings with one more class for each Gearman function, which follows these settings."""
    if gearman is None:
        return settings
    return replace(settings, classes=settings.classes + gearman.apply_classes(settings.classes))


def _classes(requested: tuple[JobClass, ...], waiting: WaitingSettings | None) -> _Classes:
    if waiting is None:
        return _Classes(requested, requested, requested)
    from ..waiting.job_queue import with_aged_classes

    return _Classes(
        requested,
        # The latency objective of the job's original class applies to an aged job.
        measured=with_aged_classes(requested, waiting, objective_deadlines=0.0),
        scheduled=with_aged_classes(requested, waiting),
    )


def _descriptors(config: Config, gearman: GearmanConfig | None) -> DescriptorBudget:
    connections = gearman.max_connections if gearman else 0
    return DescriptorBudget.allocate(
        config.sockets, config.max_held_requests, connections, admin=config.admin is not None
    )


def _http_backends(
    config: Config,
    settings: Settings,
    registry: Registry,
    descriptors: DescriptorBudget,
    memory: MemoryBudget,
) -> HttpBackends:
    return HttpBackends(
        registry,
        config.load_names,
        settings.connect_timeout_ms,
        _not_idempotent(settings.classes),
        descriptors.tails,
        memory,
    )


def _transport(backends: HttpBackends, workers: WorkerTransport | None) -> BackendTransport:
    """Return the transport for attempts: HTTP, or with Gearman one that routes by the worker's kind."""
    return backends if workers is None else RoutedTransport(backends, {KIND: workers})


def _scheduler(
    config: Config,
    settings: Settings,
    transport: BackendTransport,
    clock: Callable[[], float],
    measure: ServiceMeasure,
    descriptors: DescriptorBudget,
    ids: RememberedIds,
) -> Scheduler:
    # The discovery client polls for the list if the settings require it, so the decisions never have to.
    facade = Facade(replace(settings, must_subscribe=False), config.seed, clock)
    limits = Limits(max_open_requests=descriptors.requests)
    return Scheduler(settings, facade, transport, clock, measure, limits, ids)


def _discovery(
    config: Config,
    settings: Settings,
    registry: Registry,
    scheduler: Scheduler,
    on_settled: Callable[[], None],
) -> DiscoveryClient:
    schedule = PollSchedule(
        settings.must_subscribe, settings.scheduler_count, Random(config.seed), settings.max_poll_interval_ms
    )
    return DiscoveryClient(config.discovery, registry, scheduler.update_endpoints, on_settled, schedule)


def _deferred_jobs(
    settings: WaitingSettings,
    classes: Iterable[JobClass],
    scheduler: Scheduler,
    name: str,
    descriptors: DescriptorBudget,
    durable: DurableStore | None,
    clock: Callable[[], float],
    memory: MemoryBudget,
) -> JobQueue:
    from ..waiting.job_memory import with_bounded_memory
    from ..waiting.job_queue import JobQueue, with_bounded_window

    journal = durable.journal if durable else None
    settings = with_bounded_window(settings, descriptors.requests)
    settings = with_bounded_memory(settings, memory.limit_bytes)
    jobs = JobQueue(settings, classes, scheduler, clock, name, journal=journal, memory=memory)
    if durable is not None:
        jobs.set_last_number(durable.last_number)
        jobs.intake.is_recovering = True
    return jobs


def _not_idempotent(classes: Iterable[JobClass]) -> frozenset[str]:
    """Return the names of the classes whose requests are not idempotent and must not simply be retried."""
    return frozenset(c.name for c in classes if c.retry_safety is not RetrySafety.IDEMPOTENT)


def _deadlines_s(classes: Iterable[JobClass]) -> dict[str, float]:
    return {c.name: c.deadline_ms / MS_PER_S for c in classes}

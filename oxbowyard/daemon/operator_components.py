"""Builds the components that the operator's file enables, with one function for each table.

The modules of a component are imported only here and only if its table is in the file, because their
dependencies are optional. The store of `[durable]` is opened before the subsystems are composed. The
components of `[membership]` and `[start]` are built after the subsystems, start in this order and stop in
reverse order.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import SystemRandom
from typing import TYPE_CHECKING, Any

from ..clients.client_connections import JobsHandler
from ..control.maintenance import Maintenance
from .composition import Subsystems
from .config import ConfigurationError
from .units import MS_PER_S

if TYPE_CHECKING:
    from ..durable.durable_store import DurableStore
    from ..durable.settings import DurableSettings
    from ..membership.table import MembershipSettings
    from ..peers.component import MembershipComponent
    from ..start.component import StartComponent
    from ..start.table import StartSettings


def open_store(settings: DurableSettings, take_over: bool) -> DurableStore:
    """Open the store of `[durable]`, with `take_over` even if another process has it open. Raises
    ConfigurationError."""
    from ..durable.durable_store import DurableStore, StoreOpenError

    try:
        return DurableStore(settings, take_over)
    except StoreOpenError as error:
        raise ConfigurationError(str(error)) from None


def build_deferred_jobs_front(subsystems: Subsystems, durable: DurableSettings | None) -> JobsHandler | None:
    """Build the HTTP front of deferred jobs; None without the table `[waiting]`."""
    if subsystems.job_queue is None:
        return None
    from ..clients.job_routes import JobRoutes

    resolve_over_http = durable is not None and durable.resolve_over_http
    return JobRoutes(subsystems.job_queue, subsystems.classes, resolve_over_http)


def build_membership(
    settings: MembershipSettings, subsystems: Subsystems, maintenance: Maintenance, state: Callable[[], str]
) -> MembershipComponent:
    """Build the component of `[membership]`. `state` returns the membership state of this scheduler."""
    from ..gearman.text_commands import VERSION
    from ..peers.component import MembershipComponent
    from ..peers.services import ProgramServices

    config, scheduler = subsystems.config, subsystems.scheduler
    own = config.settings

    def set_scheduler_count(schedulers: int) -> None:
        scheduler.set_scheduler_count(schedulers)
        subsystems.discovery.set_scheduler_count(schedulers)

    return MembershipComponent(
        settings,
        ProgramServices(
            name=config.name,
            zone=own.zone,
            configured_size=own.scheduler_count,
            ramp_s=own.ramp_ms / MS_PER_S,
            version=VERSION.rpartition(" ")[2],
            random=SystemRandom(),
            clock_ms=subsystems.clock,
            state=state,
            open_request_count=lambda: scheduler.open_request_count,
            slots=subsystems.estimate_slots,
            worker_count=lambda: subsystems.registry.listed_count,
            own_faults=scheduler.worker_faults,
            apply_peer_faults=scheduler.apply_peer_faults,
            set_scheduler_count=set_scheduler_count,
            drained_workers=lambda: maintenance.cordoned,
            set_drained=maintenance.apply_from_peer,
        ),
    )


def build_start(
    settings: StartSettings, subsystems: Subsystems, membership: MembershipComponent | None
) -> StartComponent:
    """Build the component of `[start]`, which provides the first list of workers."""
    from ..start.component import StartComponent
    from ..start.dependencies import ServiceList, StartDependencies

    discovery, registry, config = subsystems.discovery, subsystems.registry, subsystems.config

    def adopt(document: Mapping[str, Any], all_cold: bool, may_resume: bool) -> bool:
        cold_since = subsystems.clock() if all_cold else None
        return discovery.adopt(document, cold_since, may_resume)

    def service_list() -> ServiceList | None:
        revision = discovery.latest_revision
        return None if revision is None else ServiceList(revision, registry.targets())

    dependencies = StartDependencies(
        name=config.name,
        configured_count=config.settings.scheduler_count,
        is_shared_service=config.settings.must_subscribe,
        random=SystemRandom(),
        known_endpoints=config.known_endpoints,
        adopt=adopt,
        service_list=service_list,
        peers=membership.documents if membership else None,
    )
    component = StartComponent(settings, dependencies)
    discovery.wait_before_first_poll = component.wait_for_admission
    discovery.on_answer = component.service_answered
    return component

"""The context that the states of one program share, and its construction from the configuration."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from ..clients.client_connections import ClientConnections
from ..control.cordon_file import CordonFile
from ..control.counters import ConfigurationReloads
from ..control.maintenance import Maintenance
from ..handover.shared_ids import SharedIdFiles
from ..listeners.acceptor import Acceptor
from .composition import Subsystems, compose
from .config import Config
from .lifecycle import Component, Lifecycle
from .loading import LoadedConfiguration
from .memory import MemoryWatch
from .operator_components import build_deferred_jobs_front, build_membership, build_start, open_store
from .states import StateMachine
from .units import MS_PER_S

if TYPE_CHECKING:  # optional dependencies: imported only if the operator's file has the table
    from ..durable.durable_store import DurableStore
    from ..peers.component import MembershipComponent


@dataclass
class ProgramContext:
    """The program's subsystems and the data that its states share."""

    loaded: LoadedConfiguration  # the configuration at the start, which a reload is compared with
    states: StateMachine
    subsystems: Subsystems
    client_connections: ClientConnections
    maintenance: Maintenance
    components: Lifecycle  # those that the operator's file enables
    folder: Path  # for files that are shared with other processes of this scheduler
    shared_ids: SharedIdFiles  # the request ids that the processes of this scheduler have sent
    store: DurableStore | None  # persists deferred jobs
    membership: MembershipComponent | None
    longest_deadline_s: float  # longest deadline of any class since the start, reloads included
    stop_requested: asyncio.Event = field(default_factory=asyncio.Event)
    reload_counts: ConfigurationReloads = field(default_factory=ConfigurationReloads)
    acceptor: Acceptor | None = None
    admin_acceptor: Acceptor | None = None
    memory_watch: MemoryWatch | None = None

    @property
    def config(self) -> Config:
        """The platform's configuration at the start."""
        return self.loaded.config

    def bind_clients(self) -> Acceptor:
        """Bind the clients' address without accepting connections yet. Raises OSError."""
        return Acceptor("http", self.config.host, self.config.port, self.client_connections, reuse_port=True)


def build_context(loaded: LoadedConfiguration, take_over: bool) -> ProgramContext:
    """Build everything that the configuration enables, without starting or listening.

    `take_over` opens the durable store even if another process has it open. Raises ConfigurationError.
    """
    config = loaded.config
    folder = Path(tempfile.gettempdir())
    states = StateMachine()
    store = open_store(loaded.durable, take_over) if loaded.durable else None
    shared_ids = SharedIdFiles(folder, config.name)
    shared_ids.open()
    subsystems = compose(
        config, loaded.gearman, states.discovery_settled, loaded.waiting, store, shared_ids=shared_ids
    )
    maintenance = _build_maintenance(subsystems, folder)
    membership = None
    if loaded.membership is not None:
        membership = build_membership(
            loaded.membership, subsystems, maintenance, lambda: states.membership_state
        )
    return ProgramContext(
        loaded=loaded,
        states=states,
        subsystems=subsystems,
        client_connections=_build_client_connections(loaded, subsystems, states),
        maintenance=maintenance,
        components=Lifecycle(_components(loaded, subsystems, membership)),
        folder=folder,
        shared_ids=shared_ids,
        store=store,
        membership=membership,
        longest_deadline_s=max(c.deadline_ms for c in config.settings.classes) / MS_PER_S,
    )


def _build_maintenance(subsystems: Subsystems, folder: Path) -> Maintenance:
    file = CordonFile(folder / f"oxbowyard-{subsystems.config.name}-out-by-hand.json")
    return Maintenance(subsystems.registry, subsystems.scheduler.update_endpoints, file)


def _components(
    loaded: LoadedConfiguration, subsystems: Subsystems, membership: MembershipComponent | None
) -> Iterator[Component]:
    """Build the components that the operator's file enables, in the order in which they start."""
    if membership is not None:
        yield membership
    if loaded.start is not None:
        yield build_start(loaded.start, subsystems, membership)


def _build_client_connections(
    loaded: LoadedConfiguration, subsystems: Subsystems, states: StateMachine
) -> ClientConnections:
    return ClientConnections(
        subsystems.scheduler,
        subsystems.classes,
        lambda: states.is_serving,
        subsystems.descriptors.clients,
        subsystems.memory,
        subsystems.input_queue,
        build_deferred_jobs_front(subsystems, loaded.durable),
    )

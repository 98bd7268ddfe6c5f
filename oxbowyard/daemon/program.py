"""One scheduler's life: named states from start to exit."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import TYPE_CHECKING

from ..clients.limits import MAX_BODIES_MEMORY_SHARE
from ..clients.session import ClientSessions, Waiting
from ..control.admin_server import AdminSessions
from ..control.figures import Counted, Files, figures
from ..control.handlers import AdminHandlers, Sources
from ..control.maintenance import FOLLOW_EVERY, Maintenance, MaintenanceFile
from ..core.settings_update import plan_settings_update, restart_only_changes
from ..decision.settings import Settings
from ..gearman.config import GearmanConfig
from ..handover.files import BEAT_EVERY, Marks
from ..handover.learned import LearnedFile
from ..handover.steps import Handover, Step
from ..listeners.acceptor import Acceptor
from .assembly import Assembly, first_list, membership
from .collector import collect_when_few, spare_full_passes
from .config import BadConfig, Config, lacks, needs_restart
from .parts import Part, Parts

if TYPE_CHECKING:  # only where the operator's file has its table
    from ..durable.durable_store import DurableStore
    from ..durable.settings import DurableSettings
    from ..membership.table import MembershipSettings
    from ..peers.part import MembershipPart
    from ..start.table import StartSettings
    from ..waiting.settings import WaitingSettings

log = logging.getLogger("oxbowyard.daemon")

LIST_WITHIN = 2.0  # seconds for discovery's first answer; then a list kept from before has to do
ACCEPT_ON = 0.5  # seconds that new connections are still taken after SIGTERM
LAG_EVERY, LAG_MOST = 0.5, 0.05  # the loop is looked at so often; a lag beyond this is logged
REPORT_EVERY = 10.0
SETTLE = 2.0  # seconds after SIGHUP until clients name the new classes alone; they begin after 1.2 s


class State(Enum):
    """The states of a program, in order; from reloading it goes back to serving."""

    STARTING = "starting"  # waits for the list; /up says no
    SERVING = "serving"
    RELOADING = "reloading"  # serves by the list in hand until discovery has answered at its new address
    HANDING = "handing over"  # a new process waits to take over: accepts nothing, finishes what it has
    LEAVING = "leaving"  # told to stop: still accepts, each answer closes its connection
    FINISHING = "finishing"  # accepts nothing, answers what it has taken
    STOPPED = "stopped"


# What the other schedulers are told.
DOES = {
    State.STARTING: "joining", State.SERVING: "serving", State.RELOADING: "serving", State.HANDING: "left",
    State.LEAVING: "draining", State.FINISHING: "draining", State.STOPPED: "left",
}  # fmt: skip


@dataclass(slots=True, frozen=True)
class Read:
    """All that was read: the platform's configuration and what the operator's files switch on."""

    config: Config
    gearman: GearmanConfig | None = None
    waiting: WaitingSettings | None = None
    durable: DurableSettings | None = None
    membership: MembershipSettings | None = None
    start: StartSettings | None = None


ReadConfig = Callable[[], Read]  # raises BadConfig


class Program:
    """Moves the assembled parts from state to state."""

    def __init__(self, read: ReadConfig, take_over: bool = False) -> None:
        self.state = State.STARTING
        self._read = read
        self._started = read()  # `_discovery` is what has changed since
        config = self._config = self._started.config
        self._discovery = config.discovery
        self._told_to_stop = asyncio.Event()
        self._admin_acceptor: Acceptor | None = None
        self._acceptor: Acceptor | None = None
        folder = Path(tempfile.gettempdir())
        started = asyncio.get_running_loop().time()
        self._handover = Handover(Marks(folder, config.name, os.getpid()), started)
        self._files = Files()
        self._in_force = config.settings  # its classes and fetches change with SIGHUP
        self._settling: asyncio.TimerHandle | None = None
        self._longest = max(c.deadline for c in config.settings.classes) / 1000  # of all classes so far
        durable = self._started.durable
        self._kept = _keep(durable, take_over) if durable else None
        self._parts = Assembly(
            config, self._started.gearman, self._settled, self._started.waiting, self._kept
        )
        self._learned = LearnedFile(folder, config.name, os.getpid(), self._parts.clock)
        hand = MaintenanceFile(Path(tempfile.gettempdir()) / f"oxbowyard-{config.name}-out-by-hand.json")
        self._maintenance = Maintenance(self._parts.registry, self._parts.scheduler.update_endpoints, hand)
        self._membership: MembershipPart | None = None
        if self._started.membership is not None:
            self._membership = membership(
                self._started.membership, self._parts, self._maintenance, lambda: DOES[self.state]
            )
        further: list[Part] = [self._membership] if self._membership else []
        if self._started.start is not None:
            further.append(first_list(self._started.start, self._parts, self._membership))
        self._further = Parts(further)
        self._sessions = ClientSessions(
            self._parts.scheduler,
            self._parts.classes,
            self._is_up,
            self._parts.descriptors.clients,
            int(config.memory_mb * MAX_BODIES_MEMORY_SHARE * (1 << 20)),
            self._waiting_front(),
        )

    def _waiting_front(self) -> Waiting | None:
        if self._parts.waiting is None:
            return None
        from ..clients.waiting import WaitingFront

        durable = self._started.durable
        return WaitingFront(
            self._parts.waiting, self._parts.classes, durable is not None and durable.resolve_over_http
        )

    def _is_up(self) -> bool:
        return self.state in (State.SERVING, State.RELOADING)

    def _control(self) -> Sources:
        parts = self._parts
        counted = Counted(parts.measure, parts.backends.relayed, parts.registry, self._files)
        return Sources(
            self._is_ready,
            lambda: figures(counted, parts.scheduler.open_request_count),
            self._maintenance,
            self._membership.view if self._membership else None,
        )

    async def _follow_hand(self) -> None:
        while True:
            await asyncio.sleep(FOLLOW_EVERY)
            self._maintenance.follow()

    def _is_ready(self) -> bool:
        """For the operators: this process serves, is not told to stop, and has no other one to wait for."""
        return self._is_up() and not self._told_to_stop.is_set() and self._handover.may_say_yes

    def _enter(self, state: State) -> None:
        log.info("state %s -> %s", self.state.value, state.value)
        self.state = state

    async def run(self) -> int:
        """From start to exit."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._told_to_stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        try:
            self._acceptor = await self._start()
        except OSError:
            await self._close()
            raise
        self._handover.start()
        self._parts.add_chore(self._succeed())
        await self._wait_for_list()
        if not self._told_to_stop.is_set():
            self._enter(State.SERVING)
        await self._told_to_stop.wait()
        await self._leave()
        return 0

    async def _succeed(self) -> None:
        """Looks at the files of a replacement: hands over to a new process, or takes over from an old one."""
        loop = asyncio.get_running_loop()
        adopted = False
        while True:
            await asyncio.sleep(BEAT_EVERY)
            if self._handover.waiting and not adopted:
                adopted = self._adopt()
            step = self._handover.look(loop.time(), self._parts.scheduler.open_request_count)
            if step is Step.HAND_OVER and self.state in (State.SERVING, State.RELOADING) and self._acceptor:
                self._enter(State.HANDING)
                self._hand_learned()
                await self._acceptor.shut()
                self._sessions.wind_down()
                self._sessions.close_idle()
                await self._further.hand_over()
            elif step is Step.RESUME and self.state is State.HANDING:
                log.warning("the new process went before it took over: this one takes clients again")
                await self._resume()

    def _adopt(self) -> bool:
        """Go on from what the old process has learned, once it has written that."""
        learned = self._learned.read()
        if learned is None:
            return False
        try:
            self._parts.scheduler.restore(learned)
            log.info("goes on from what the old process has learned of %d workers", len(learned.workers))
        except Exception:  # guards the take-over: estimates are not worth it
            log.exception("fault while taking what the old process has learned")
        return True

    def _hand_learned(self) -> None:
        """Write what was learned for the process that waits to take over."""
        successor = self._handover.successor
        if successor is None:
            return
        try:
            self._learned.write(self._parts.scheduler.snapshot(), successor)
        except Exception:  # guards the hand-over
            log.exception("fault while handing over what was learned")

    async def _resume(self) -> None:
        try:
            acceptor = self._client_acceptor()
        except OSError as fault:  # without clients it would stay for nothing: whoever starts it may again
            log.error("can't take clients again, ending: %s", fault)
            self._told_to_stop.set()
            return
        self._sessions.wind_up()
        self._acceptor = acceptor
        self._acceptor.open()
        self._enter(State.SERVING)
        try:
            await self._further.open()
            self._further.start()
        except OSError as fault:
            log.error("goes on without the operators' parts: %s", fault)

    def _client_acceptor(self) -> Acceptor:
        return Acceptor("http", self._config.host, self._config.port, self._sessions, shared=True)

    async def _start(self) -> Acceptor:
        acceptor = self._client_acceptor()
        if self._config.admin is not None:
            self._admin_acceptor = Acceptor(
                "control",
                *self._config.admin,
                AdminSessions(AdminHandlers(self._control()), self._parts.descriptors.admin),
            )
            self._admin_acceptor.open()
        if self._parts.gearman:
            self._parts.gearman.listen()
        self._maintenance.follow()  # before the first list: one put out before a replacement stays out
        if self._membership is not None:
            self._maintenance.on_change = self._membership.drained
        await self._further.open()
        self._parts.start()
        self._parts.add_chore(self._follow_hand())
        self._parts.add_chore(self._watch_lag())
        self._parts.add_chore(self._tell())
        if (room := self._parts.waiting) is not None:
            spare_full_passes()
            self._parts.add_chore(collect_when_few(lambda: room.held.jobs))
            if self._kept is not None:
                self._parts.add_chore(self._kept.recovery(room, self._parts.deadlines).run())
        self._further.start()
        acceptor.open()
        return acceptor

    async def _wait_for_list(self) -> None:
        """Up once discovery has answered; when it is silent, the list kept from before has to do. A discovery
        that many schedulers wait for may be long about it: there the list from before does from the start."""
        heard = asyncio.ensure_future(self._parts.discovery.ready.wait())
        stop = asyncio.ensure_future(self._told_to_stop.wait())
        try:
            await asyncio.wait({heard, stop}, timeout=LIST_WITHIN, return_when=asyncio.FIRST_COMPLETED)
            if not self._parts.registry.backends:
                await asyncio.wait({heard, stop}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            heard.cancel()
            stop.cancel()

    def _reload(self) -> None:
        """SIGHUP, in whichever state: what can change live does, and no req notices."""
        try:
            read = self._read()
            if (missing := lacks(self._config, read.config)) is not None:
                raise BadConfig(f"the file lacks {missing}")
        except BadConfig as fault:
            self._files.invalid += 1
            log.error("configuration not usable, going on with the one in force: %s", fault)
            return
        self._files.accepted += 1
        config = read.config
        fixed = needs_restart(self._config, config) + self._retune(config.settings)
        for name in ("gearman", "waiting", "durable", "membership", "start"):
            if getattr(read, name) != getattr(self._started, name):
                fixed = (*fixed, name)
        if fixed:
            log.warning("configuration: changed, but in force only after a restart: %s", ", ".join(fixed))
        if config.discovery == self._discovery:
            log.info("configuration read again: discovery stays at %s", self._discovery)
            return
        log.info("configuration read again: discovery moves to %s", config.discovery)
        self._discovery = config.discovery
        if self.state is State.SERVING:
            self._enter(State.RELOADING)
        self._parts.discovery.move(config.discovery)

    def _retune(self, settings: Settings) -> tuple[str, ...]:
        """New classes and fetches: the stricter of old and new until clients use the new alone. Returns the
        names of the settings that only a restart changes."""
        fixed = restart_only_changes(self._in_force, settings)
        if self._parts.waiting is not None:  # the waiting room holds its classes from the start
            return (*fixed, "settings.lanes") if settings.classes != self._in_force.classes else fixed
        step = plan_settings_update(self._in_force, settings)
        if self._settling is not None:  # also where this file undoes the one before: its step must not come
            self._settling.cancel()
            self._settling = None
        if step.final == self._in_force:
            return fixed
        self._take_settings(step.transition)
        self._settling = asyncio.get_running_loop().call_later(SETTLE, self._take_settings, step.final)
        names = ", ".join(c.name for c in step.final.classes)
        log.info("settings read again: classes %s, %d fetches at most", names, step.final.max_attempts)
        return fixed

    def _take_settings(self, settings: Settings) -> None:
        self._in_force = settings
        self._parts.retune(settings)
        self._sessions.classes = frozenset(c.name for c in settings.classes)
        self._longest = max(self._longest, *(c.deadline / 1000 for c in settings.classes))

    def _settled(self) -> None:
        """Discovery has answered at the address wanted last."""
        if self.state is State.RELOADING:
            self._enter(State.SERVING)

    async def _leave(self) -> None:
        self._enter(State.LEAVING)
        self._sessions.wind_down()
        if self._parts.waiting:  # at once: who waits for one of these may still ask another scheduler
            self._parts.waiting.stop()
        await asyncio.sleep(ACCEPT_ON)
        self._enter(State.FINISHING)
        if self._acceptor is not None:
            await self._acceptor.shut()
        if self._parts.gearman:
            self._parts.gearman.wind_down()
        await self._sessions.close(max(self._longest, self._parts.scheduler.max_time_left_s()) + 1.0)
        await self._further.close()
        await self._parts.close()
        log.info("last: %s", self._parts.summary())
        if self._parts.waiting:
            log.info("last: %s", self._parts.waiting.summary())
        if self._kept:
            log.info("last: %s", self._kept.summary())
            await self._kept.close()
        if self._admin_acceptor is not None:
            self._admin_acceptor.close()
        self._handover.end()
        self._enter(State.STOPPED)

    async def _close(self) -> None:
        if self._admin_acceptor is not None:
            self._admin_acceptor.close()
        await self._further.close()
        await self._parts.close()
        if self._kept is not None:
            await self._kept.close()

    async def _watch_lag(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_EVERY
            await asyncio.sleep(LAG_EVERY)
            if (lag := loop.time() - due) > LAG_MOST:
                log.warning("loop lag %.0f ms", lag * 1000)

    async def _tell(self) -> None:
        while True:
            await asyncio.sleep(REPORT_EVERY)
            log.info("%s", self._parts.summary())
            if self._parts.waiting:
                log.info("%s", self._parts.waiting.summary())
            if self._kept:
                log.info("%s", self._kept.summary())
            gearman = self._parts.gearman
            for front, counts in (("http", self._sessions.counts), ("gearman", gearman and gearman.counts)):
                if counts:
                    told = ", ".join(f"{what} {n}" for what, n in counts.items() if n)
                    log.info("bad clients of %s so far: %s", front, told)


def _keep(durable: DurableSettings, take_over: bool) -> DurableStore:
    from ..durable.durable_store import DurableStore, StoreNotOpenedError

    try:
        return DurableStore(durable, take_over)
    except StoreNotOpenedError as fault:
        raise BadConfig(str(fault)) from None

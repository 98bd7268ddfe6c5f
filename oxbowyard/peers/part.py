"""Membership as a part of the program: the group hears of this scheduler, and this scheduler of the group."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

from ..decision.facade import WorkerFault
from ..membership.drops import DropReason
from ..membership.events import EntryWritten, FactsChanged
from ..membership.instructions import MemberEventKind, NotifyMemberEvent
from ..membership.messages import GossipEntry, MemberState
from ..membership.node import Node
from ..membership.table import MembershipSettings
from .count import LiveCount, Seen
from .drains import Drains
from .troubles import Sharing

log = logging.getLogger("oxbowyard.membership")

LOOK_EVERY = 0.25  # seconds between looks at what there is to tell
PUBLISH_EVERY = 5.0  # seconds between two tellings of figures that merely moved
BIND_EVERY = 0.2  # seconds between tries, while the process that this one replaces has the address
MOST_CONFLICTS = 16  # names told at the door

STATES = ("joining", "serving", "draining", "left")


@dataclass(slots=True, frozen=True)
class Offers:
    """What the program offers to this part."""

    name: str
    zone: str
    configured: int  # schedulers, as the settings say
    ramp: float  # seconds that a worker is cold
    version: str
    random: Random
    clock: Callable[[], float]  # the decisions', in milliseconds
    state: Callable[[], str]  # one of STATES
    held: Callable[[], int]  # reqs that are open
    slots: Callable[[], float]  # jobs that the listed backends can run at once
    workers: Callable[[], int]
    troubles: Callable[[], list[WorkerFault]]
    hear: Callable[[tuple[WorkerFault, ...]], None]
    reckon: Callable[[int], None]  # with so many schedulers
    drained: Callable[[], frozenset[str]]
    drain: Callable[[str, bool], None]


class MembershipPart:
    """One scheduler's place in the group."""

    name = "membership"

    def __init__(self, settings: MembershipSettings, offers: Offers) -> None:
        self._settings, self._offers = settings, offers
        self._loop = asyncio.get_running_loop()
        self.node = Node(offers.name, offers.zone, settings, offers.random, self._noticed, self._hear)
        self.count = LiveCount(offers.configured, settings.doubt_s, settings.split_s)
        self._sharing = Sharing(offers.ramp)
        self._drains = Drains(self._say_common, offers.drain, settings.forget_s)
        self._told: tuple[WorkerFault, ...] = ()
        self._news = False  # heard of, and not told to the decisions yet
        self._facts: dict[str, float] = {}
        self._published_at = -PUBLISH_EVERY
        self._conflicts: dict[str, str] = {}  # name and where the other process is
        self._tasks: list[asyncio.Task[None]] = []

    # ---- The part's life ----

    async def open(self) -> None:
        """Bind, or go on trying if the address is still taken; raises OSError if it can't be ours at all."""
        try:
            await self._join()
        except OSError as fault:
            if fault.errno != errno.EADDRINUSE:
                raise
            log.warning("membership: %s is taken, perhaps by the process that this one replaces; trying on",
                        self._settings.listen)  # fmt: skip
            self._spawn(self._join_later())

    def start(self) -> None:
        """Begin to tell and to listen."""
        self._spawn(self._run())

    async def hand_over(self) -> None:
        """Another process with this name takes the place."""
        await self._stop()
        await self.node.close()

    async def close(self) -> None:
        """Say goodbye."""
        await self.hand_over()

    async def _join(self) -> None:
        await self.node.open()
        log.info("membership: %s of group %s listens on %s, reached at %s", self._offers.name,
                 self._settings.group, self._settings.listen, self._settings.advertised_address)  # fmt: skip
        self._facts = {}
        self._drains.began_with(self._offers.drained())

    async def _join_later(self) -> None:
        while not self.node.is_open:
            await asyncio.sleep(BIND_EVERY)
            try:
                await self._join()
            except OSError as fault:
                if fault.errno != errno.EADDRINUSE:
                    log.error("membership: %s can't be used: %s", self._settings.listen, fault)
                    return

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(self._loop.create_task(work))

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        for fault in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(fault, Exception):
                log.error("membership: a task ended: %r", fault)
        self._tasks.clear()

    # ---- What it tells ----

    async def _run(self) -> None:
        while True:
            try:
                self._look()
            except Exception:  # guards the group: a fault in one look is no reason to fall silent
                log.exception("membership: fault in a look")
            await asyncio.sleep(LOOK_EVERY)

    def _look(self) -> None:
        now = self._loop.time()
        self._reckon(now)
        if not self.node.is_open:
            return
        self._publish(now)
        if self._settings.share_troubles:
            self._share(now)

    def _reckon(self, now: float) -> None:
        before = self.count.count
        seen = (
            Seen(m.record.name, m.is_live, m.state is MemberState.LEFT) for m in self.node.protocol.members
        )
        count = self.count.take(now, seen, self.node.protocol.longest_suspicion_s())
        if count != before:
            log.info("membership: reckons with %d schedulers (%d live, %d in doubt)", count, self.count.live,
                     self.count.doubted)  # fmt: skip
            self._offers.reckon(count)

    def _publish(self, now: float) -> None:
        """Another state at once, figures that moved much now and then: each telling goes to everybody."""
        o = self._offers
        state = float(STATES.index(o.state()))
        same = state == self._facts.get("state")
        if same and now - self._published_at < PUBLISH_EVERY:
            return
        self._published_at = now
        major, minor, *_ = (*o.version.split("."), "", "")
        facts = {
            "state": state, "held": float(o.held()), "slots": round(o.slots(), 1),
            "major": _number(major), "minor": _number(minor),
        }  # fmt: skip
        if same and not any(_far(facts[name], self._facts.get(name, 0.0)) for name in ("held", "slots")):
            return
        self._facts = facts
        self.node.handle(FactsChanged(facts))

    def _share(self, now: float) -> None:
        o, clock_now = self._offers, self._offers.clock()
        own = o.troubles()
        for say in self._sharing.to_say(now, own, o.workers(), clock_now):
            self.node.handle(EntryWritten(say.about, say.value, say.lasts, is_urgent=True))
        self._use(own, now, clock_now)

    def _say_common(self, about: str, value: float, lasts: float, count: int | None) -> None:
        self.node.handle(EntryWritten(about, value, lasts, True, True, count))

    def drained(self, uid: str, out: bool) -> None:
        """The operators put a backend out of rotation or back, here."""
        self._drains.changed(uid, out, self._loop.time())

    # ---- What other parts ask of the group ----

    def names(self) -> list[str]:
        """Members that are there, this one left out."""
        return [m.record.name for m in self.node.protocol.members.live()]

    def address(self, name: str) -> str:
        """Where a member can be asked."""
        member = self.node.protocol.members.get(name)
        return member.record.address if member is not None else ""

    def ask(self, address: str, what: str, take: Callable[[bytes], None]) -> None:
        """Ask a member for something; an answer may come."""
        self.node.pull(address, what, take)

    def offer(self, what: str, give: Callable[[], bytes | None]) -> None:
        """Answer such questions of others."""
        self.node.offer(what, give)

    # ---- What it hears ----

    def _hear(self, note: GossipEntry) -> None:
        if self._drains.hear(note, self._loop.time()):
            return
        if self._settings.share_troubles and self._sharing.hear(note, self._loop.time()) and not self._news:
            self._news = True  # more of them may come in the same message
            self._loop.call_soon(self._take_troubles)

    def _take_troubles(self) -> None:
        """All that holds now goes to the decisions, once for all that came together."""
        o = self._offers
        self._use(o.troubles(), self._loop.time(), o.clock())

    def _use(self, own: list[WorkerFault], now: float, clock_now: float) -> None:
        self._news = False
        heard = self._sharing.heard(now, clock_now, own)
        if heard or self._told:
            self._told = heard
            self._offers.hear(heard)

    def _noticed(self, notice: NotifyMemberEvent) -> None:
        if notice.kind is MemberEventKind.CONFLICT:
            if len(self._conflicts) < MOST_CONFLICTS:
                self._conflicts[notice.name] = notice.address
        elif notice.kind in (MemberEventKind.DIED, MemberEventKind.LEFT):
            self._conflicts.pop(notice.name, None)

    # ---- What the door shows ----

    def view(self) -> Mapping[str, object]:
        """All that is known, for the operators. Times in seconds ago."""
        group, now = self.node.protocol, self._loop.time()
        self._reckon(now)  # what is told here is told of one moment
        members = [
            {
                "name": m.record.name, "zone": m.record.zone, "address": m.record.address,
                "state": m.state.name.lower(), "since_s": round(now - m.changed_at, 1), "why": m.reason,
                "incarnation": m.record.incarnation, **_shown(m.record.facts),
            }
            for m in sorted(group.members, key=lambda m: m.record.name)
        ]  # fmt: skip
        me = {
            "name": group.me.name, "zone": group.me.zone, "address": group.me.address,
            "incarnation": group.me.incarnation, "health": group.health_score, "bound": self.node.is_open,
            **_shown(group.me.facts),
        }  # fmt: skip
        dropped_entries = Counter({DropReason.ENTRY_LIMIT.value: group.entries.dropped_count})
        return {
            "group": self._settings.group, "me": me, "members": members,
            "count": {
                "reckoned": self.count.count, "live": self.count.live, "in_doubt": self.count.doubted,
                "configured": self._offers.configured,
            },
            "conflicts": self._conflicts, "notes": len(group.entries),
            "spared": [t.worker for t in self._told],
            "dropped": self.node.drops.by_reason() | dropped_entries,
        }  # fmt: skip


def _shown(facts: Mapping[str, float]) -> dict[str, object]:
    """A member's facts by name; what another version tells beside them is left out."""
    if not facts:
        return {}
    state = int(facts.get("state", 0))
    shown: dict[str, object] = {"does": STATES[state] if 0 <= state < len(STATES) else "unknown"}
    shown |= {name: facts[name] for name in ("held", "slots") if name in facts}
    shown["version"] = f"{facts.get('major', 0):g}.{facts.get('minor', 0):g}"
    return shown


def _far(one: float, other: float) -> bool:
    return abs(one - other) > max(0.25 * max(one, other), 1.0)


def _number(text: str) -> float:
    return float(text) if text.isdigit() else 0.0

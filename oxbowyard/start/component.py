"""The start as a part of the program: a list to serve from at once, a turn at the service, a list kept."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, Protocol

import orjson

from . import snapshot_file as disk
from .fetch_admission import Turn
from .snapshots import Listed, Source, Unusable, best, better, listed
from .table import StartSettings

log = logging.getLogger("oxbowyard.start")

LIST = "list"  # what peers are asked for
# Seconds: this one reckons its place once so long nobody new was met, and after so many in any case.
MEET, MEET_MOST = 1.0, 4.0
LOOK_EVERY = 0.1
PEERS_TRIED = 2  # at once


class Peers(Protocol):
    """The other schedulers, where they are known."""

    def names(self) -> list[str]:
        """Of those that are there."""

    def address(self, name: str) -> str:
        """Where it can be asked."""

    def ask(self, address: str, what: str, take: Callable[[bytes], None]) -> None:
        """Ask it for something; an answer may come."""

    def offer(self, what: str, give: Callable[[], bytes | None]) -> None:
        """Answer such questions from now on."""


@dataclass(slots=True, frozen=True)
class Offers:
    """What the program offers to this part."""

    name: str
    configured: int  # schedulers, as the settings say
    common: bool  # the list service is one for all schedulers
    random: Random
    known: object  # the list in the configuration
    adopt: Callable[[Mapping[str, Any], bool, bool], bool]  # a list, all cold, newer may be asked for
    told: Callable[[], tuple[int, list[dict[str, Any]]] | None]  # what the service's list says now
    peers: Peers | None = None
    wall: Callable[[], float] = time.time


class StartPart:
    """One scheduler's start."""

    name = "start"

    def __init__(self, settings: StartSettings, offers: Offers) -> None:
        self._settings, self._offers = settings, offers
        self._loop = asyncio.get_running_loop()
        self._began = self._loop.time()
        self._held: Listed | None = None  # what is served from until the service speaks
        self._held_at = 0.0
        self._confirmed_at: float | None = None  # the service spoke last
        self._changed = False
        self._turn_came = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._writes_fail = False

    async def open(self) -> None:
        """Nothing is bound; a folder that is not there is found out with the first write."""

    def start(self) -> None:
        """Serve from the best list at hand, and take the turn at the service."""
        self._began = self._loop.time()
        self._adopt_best()
        if self._offers.peers is not None and self._settings.peers:
            self._offers.peers.offer(LIST, self._give)
        self._tasks = [self._loop.create_task(self._take_turn())]
        if self._settings.path is not None:
            self._tasks.append(self._loop.create_task(self._keep()))

    async def hand_over(self) -> None:
        """The process that replaces this one reads the same file: this one writes no more."""
        await self._stop()

    async def close(self) -> None:
        """End."""
        await self._stop()

    async def _stop(self) -> None:
        self._turn_came.set()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    # ---- What the discovery client asks and tells ----

    async def turn(self) -> None:
        """Wait until this scheduler may ask the service for the first time."""
        await self._turn_came.wait()

    def service_spoke(self) -> None:
        """It told a list, or that nothing has changed: that ends the start."""
        if self._confirmed_at is None:
            log.info("start: the service's list is here after %.1f s", self._loop.time() - self._began)
        self._confirmed_at = self._loop.time()
        self._changed = True
        self._held = None
        self._turn_came.set()

    # ---- Lists at hand ----

    def _adopt_best(self) -> None:
        lists = []
        for source, found in ((Source.DISK, self._from_disk), (Source.CONFIG, self._from_configuration)):
            try:
                one = found()
            except Unusable as fault:
                log.log(logging.INFO if str(fault) == "not there" else logging.WARNING,
                        "start: the list of the %s is not used: %s", source.value, fault)  # fmt: skip
                continue
            if one is not None:
                lists.append(one)
        chosen = best(lists, self._settings.max_age_s)
        if chosen is not None:
            self._adopt(chosen)

    def _from_disk(self) -> Listed | None:
        s = self._settings
        if s.path is None:
            return None
        return disk.read(
            Path(s.path), s.site, self._offers.wall(), s.max_age_s, s.max_entries, s.max_file_bytes
        )

    def _from_configuration(self) -> Listed | None:
        if self._offers.known is None:
            return None
        return listed(Source.CONFIG, math.inf, self._offers.known, self._settings.max_entries)

    def _adopt(self, one: Listed) -> bool:
        s = self._settings
        cold, newer = one.age > s.fresh_s, one.age <= s.same_service_s
        if not self._offers.adopt(one.document, cold, newer):
            return False
        self._held, self._held_at = one, self._loop.time()
        where = f"{one.source.value} {one.by}".rstrip()
        age = "of unknown age" if math.isinf(one.age) else f"{one.age:.0f} s old"
        log.info("start: serves from a list of the %s, %s, %d workers%s", where, age, len(one.targets),
                 ", all taken to be cold" if cold else "")  # fmt: skip
        return True

    # ---- The turn ----

    async def _take_turn(self) -> None:
        s, o = self._settings, self._offers
        if not o.common:  # an agent on this machine: nobody else waits for it
            self._turn_came.set()
            return
        turn = Turn(o.name, s.few, s.turn_s, o.random, self._began)
        peers = o.peers if s.peers else None
        if peers is not None:
            await self._meet(peers)
            turn.began = self._loop.time()
        next_ask = self._loop.time()
        while not self._turn_came.is_set():
            now = self._loop.time()
            names = peers.names() if peers is not None else []
            if now >= turn.due(names, o.configured):
                log.info("start: asks the service, one of %d", len(names) + 1)
                self._turn_came.set()
                return
            if peers is not None and names and now >= next_ask:
                next_ask = now + s.ask_peer_every_s * o.random.uniform(0.5, 1.5)
                for name in o.random.sample(names, min(len(names), PEERS_TRIED)):
                    peers.ask(peers.address(name), LIST, partial(self._offered, name))
            await asyncio.sleep(LOOK_EVERY)

    async def _meet(self, peers: Peers) -> None:
        """Let those that begin with this one be met: too early it would take itself for one of the few."""
        known, since = 0, self._loop.time()
        while (now := self._loop.time()) - since < MEET and now - self._began < MEET_MOST:
            if len(peers.names()) > known:
                known, since = len(peers.names()), now
            await asyncio.sleep(LOOK_EVERY)

    def _give(self) -> bytes | None:
        """For a peer: only what the service told, with its age; nothing that was itself aged."""
        if self._confirmed_at is None:
            return None
        told = self._offers.told()
        if told is None:
            return None
        rev, targets = told
        if len(targets) > self._settings.max_entries:
            return None
        age = self._loop.time() - self._confirmed_at
        return orjson.dumps({"rev": rev, "targets": targets, "age": age, "site": self._settings.site})

    def _offered(self, name: str, body: bytes) -> None:
        """A peer's list. It is never more than an aged one, and the service's replaces it."""
        if self._confirmed_at is not None:
            return
        try:
            document = orjson.loads(body)
            if not isinstance(document, dict) or document.get("site") != self._settings.site:
                raise Unusable("of another site")
            age = document.get("age")
            if not isinstance(age, (int, float)) or isinstance(age, bool):
                raise Unusable("of no age")
            one = listed(Source.PEER, float(age), document, self._settings.max_entries, name)
            if one.age > self._settings.max_age_s:
                raise Unusable(f"{one.age:.0f} s old")
        except ValueError as fault:
            log.warning("start: the list of peer %s is not used: %s", name, fault)
            return
        held = self._held
        if held is not None:
            held = Listed(held.source, held.age + self._loop.time() - self._held_at, held.rev, held.targets)
        if better(one, held) and self._adopt(one) and one.age <= self._settings.same_service_s:
            self._turn_came.set()  # what is newer may be asked for, which costs the service less

    # ---- The list kept ----

    async def _keep(self) -> None:
        while True:
            await asyncio.sleep(self._settings.keep_every_s)
            told = self._offers.told() if self._changed else None
            if told is None or self._confirmed_at is None:
                continue
            self._changed = False
            told_at = self._offers.wall() - (self._loop.time() - self._confirmed_at)
            await self._write(told_at, *told)

    async def _write(self, told_at: float, rev: int, targets: list[dict[str, Any]]) -> None:
        assert self._settings.path is not None
        try:  # on a thread: a slow disk holds no req up
            await asyncio.to_thread(
                disk.write, Path(self._settings.path), self._settings.site, told_at, rev, targets
            )
        except OSError as fault:
            if not self._writes_fail:  # once for each time that it begins to fail
                log.error("start: the list is not kept on disk: %s", fault.strerror)
            self._writes_fail = True
            return
        if self._writes_fail:
            log.info("start: the list is kept on disk again")
        self._writes_fail = False

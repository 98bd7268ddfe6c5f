"""Keeps the registry up to date by one long poll of the discovery service after the other."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import replace
from random import Random

import aiohttp
import orjson
from yarl import URL

from ..decision.facade import Scope, WorkerInfo
from .call_schedule import CallSchedule
from .registry import BrokenList, Change, Registry, parse_list

log = logging.getLogger("oxbowyard.director")  # as operators know it


class _TurnedDown(BrokenList):
    """The service lives, and does not answer this call."""


class _Watch:
    """The calls to one address, beginning with the whole list, or with what is newer than the one in hand."""

    def __init__(
        self,
        address: str,
        take: Callable[[_Watch, Change, bool], None],
        pace: CallSchedule,
        rev: int | None = None,
    ) -> None:
        self.address = address
        self._pace = pace
        self._base = URL(f"http://{address}/discovery/hosts")
        self._take = take
        self._rev = rev
        self._silent = False
        self._turned_down = False  # the last call
        self._going = False  # the last call was answered, and the next one goes on from there

    async def run(self) -> None:
        """Watch until cancelled."""
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=2),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None),
        ) as session:
            if self._rev is not None:
                await asyncio.sleep(self._pace.first())
            while True:
                if await self._once(session):
                    self._pace.answered()
                else:
                    going, self._going = self._going, False
                    await asyncio.sleep(self._pace.failed(going, self._turned_down))

    async def _once(self, session: aiohttp.ClientSession) -> bool:
        try:
            change = await self._call(session)
            self._note_answer()
            self._take(self, change, not self._going)
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as fault:
            self._note_silence(fault)
            self._turned_down = isinstance(fault, _TurnedDown)
            return False
        except Exception:  # guards the watch: without it no drain would ever be told again
            log.exception("fault while taking the list, asking for the whole one: %s", self.address)
            self._rev, self._turned_down = None, False
            return False
        self._rev, self._going = change.rev, True
        return True

    async def _call(self, session: aiohttp.ClientSession) -> Change:
        url, wait = self._base, 0.0
        if self._rev is not None:
            # What was missed is asked for without a wait: a watch begins once that is known.
            wait_ms = self._pace.wait_ms if self._going else 1
            url, wait = url.with_query(after=self._rev, wait_ms=wait_ms), wait_ms / 1000
        async with (
            asyncio.timeout(wait + self._pace.within(self._going)),
            session.get(url, allow_redirects=False) as response,
        ):
            body = await response.read()
        if response.status != 200:
            raise _TurnedDown(f"status {response.status}")
        change = parse_list(orjson.loads(body))
        if self._rev is not None and change.rev < self._rev:
            self._rev = None  # a late answer, or it counts anew: the whole list tells, whatever its version
            raise BrokenList("an older version than the one in hand")
        if self._rev is None and not change.full:
            raise BrokenList("not the whole list")
        return change

    def _note_silence(self, fault: Exception) -> None:
        if not self._silent:  # once an outage, not once a call
            log.warning(
                "discovery does not answer, going on with the list in hand: %s, %r", self.address, fault
            )
        self._silent = True

    def _note_answer(self) -> None:
        if self._silent:
            log.info("discovery answers again: %s", self.address)
        self._silent = False


async def _at_once() -> None:
    return


class DiscoveryClient:
    """The list of backends from the address in force. `learn` is told every change, in order."""

    def __init__(
        self,
        address: str,
        registry: Registry,
        learn: Callable[[Scope, tuple[WorkerInfo, ...]], None],
        on_settled: Callable[[], None] = lambda: None,
        pace: CallSchedule | None = None,
    ) -> None:
        self._pace = pace or CallSchedule(False, 1, Random(0))
        self._known: int | None = None  # the version of the list in hand, where a watch may go on from it
        self._registry = registry
        self._learn = learn
        self._on_settled = on_settled  # told when the address wanted last has answered
        self._moves: asyncio.Queue[str] = asyncio.Queue()
        self._moves.put_nowait(address)
        self._watch: _Watch | None = None  # the one whose list counts
        self._coming: _Watch | None = None  # the one that takes over with its first answer
        self._tasks: dict[_Watch, asyncio.Task[None]] = {}
        self.told: int | None = None  # the version that the service told last
        self.on_told: Callable[[], None] = lambda: None  # after each answer of it, also that nothing changed
        self.turn: Callable[[], Awaitable[None]] = _at_once  # awaited before the first call
        self.ready = asyncio.Event()  # there is a list to serve by: discovery's answer, or one from before

    def reckon(self, siblings: int) -> None:
        """So many schedulers call the same discovery from now on."""
        self._pace.siblings = max(siblings, 1)

    def restore(self, known: object) -> None:
        """Start from the list kept in the configuration, which may be old."""
        if known is None:
            return
        try:
            change = parse_list(known)
        except BrokenList as fault:
            log.warning("known list not usable: %s", fault)
            return
        self._learn(*self._registry.apply(change, restored=True))
        if self._pace.common and change.entries:  # the whole list costs it twice as much as what is newer
            self._known = change.rev
            self.ready.set()

    def adopt(self, document: object, since: float | None, newer: bool) -> bool:
        """Serve from this whole list until the service has told one. Its workers are taken to have started
        at `since` at the earliest, in clock time; `newer` says that what has changed since may be asked for.
        False if the service has spoken, or there is nothing to serve from in it."""
        if self.told is not None:
            return False
        try:
            change = parse_list(document)
        except BrokenList as fault:
            log.warning("list not usable: %s", fault)
            return False
        if not change.entries:
            return False
        scope, infos = self._registry.apply(replace(change, full=True), restored=True)
        if since is not None:
            infos = tuple(replace(i, online_since=max(i.online_since, since)) for i in infos)
        self._learn(scope, infos)
        self._known = change.rev if newer and self._pace.common else None
        self.ready.set()
        return True

    def move(self, address: str) -> None:
        """Watch another address from now on; until it has answered, the one before goes on."""
        self._moves.put_nowait(address)

    async def run(self) -> None:
        """Watch until cancelled."""
        async with asyncio.TaskGroup() as group:
            await self.turn()
            while True:
                address = await self._moves.get()
                self._end(self._coming)  # overtaken before it answered
                self._coming = None
                if self._watch is not None and self._watch.address == address:
                    self._on_settled()
                    continue
                self._coming = _Watch(address, self._take, self._pace, self._known)
                self._known = None  # another address may count its versions anew
                self._tasks[self._coming] = group.create_task(self._coming.run())

    def _end(self, watch: _Watch | None) -> None:
        if watch is not None:
            self._tasks.pop(watch).cancel()

    def _take(self, watch: _Watch, change: Change, late: bool) -> None:
        moved = watch is self._coming
        if moved:
            self._end(self._watch)
            self._watch, self._coming = watch, None
        elif watch is not self._watch:  # it answered in the moment that it was ended
            return
        if change.entries or change.full:
            scope, infos = self._registry.apply(change, late=late)
            # Weights change every second: only a whole list is news by itself, and what moved is told apart.
            level = logging.INFO if change.full else logging.DEBUG
            log.log(level, "list rev %d, %s, %d entries", change.rev, scope.value, len(infos))
            self._learn(scope, infos)
        self.told = change.rev
        self.on_told()
        self.ready.set()
        if moved:
            log.info("discovery is watched at %s", watch.address)
            self._on_settled()

"""Keeps the registry up to date by one long poll of the discovery service after the other."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable
from dataclasses import replace
from random import Random

import aiohttp
import orjson
from yarl import URL

from ..decision.facade import Scope, WorkerInfo
from .poll_schedule import CONNECT_TIMEOUT_S, CallFailure, CallSchedule
from .registry import BrokenList, Change, Registry, parse_list

log = logging.getLogger("oxbowyard.director")  # as operators know it


class _CallFailed(Exception):
    """A call brought no list; the schedule of the next one depends on why."""

    def __init__(self, failure: CallFailure, cause: Exception | str) -> None:
        super().__init__(f"{failure.value}: {cause if isinstance(cause, str) else repr(cause)}")
        self.failure = failure


class _Watch:
    """The calls to one address, beginning with the whole list, or with what is newer than the one in hand."""

    def __init__(
        self,
        address: str,
        take: Callable[[_Watch, Change, bool], None],
        on_failure: Callable[[], None],
        schedule: CallSchedule,
        rev: int | None = None,
    ) -> None:
        self.address = address
        self._on_failure = on_failure
        self._loop = asyncio.get_running_loop()
        self._schedule = schedule
        self._base = URL(f"http://{address}/discovery/hosts")
        self._take = take
        self._rev = rev
        self._failing = False
        self._continues = False  # the last call was answered, and the next one goes on from there

    async def run(self, after: float) -> None:
        """Watch until cancelled, from so many seconds on."""
        await asyncio.sleep(after)
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=2),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        ) as session:
            while True:
                if (pause := await self._step(session)) is not None:
                    await asyncio.sleep(pause)

    async def _step(self, session: aiohttp.ClientSession) -> float | None:
        """One call. None if it was answered, else seconds until the next one."""
        began, continued = self._loop.time(), self._continues
        try:
            self._take_answer(await self._call(session))
            return None
        except _CallFailed as fault:
            failure = fault.failure
            self._note_failure(fault)
        except Exception:  # guards the watch: without it no drain would ever be told again
            log.exception("fault while taking the list, asking for the whole one: %s", self.address)
            self._rev, failure = None, CallFailure.UNREACHABLE
        self._continues = False
        now = self._loop.time()
        pause = self._schedule.failed(now, failure, now - began, continued)
        self._on_failure()
        return pause

    def _take_answer(self, change: Change) -> None:
        self._note_answer()
        self._take(self, change, not self._continues)
        self._rev, self._continues = change.rev, True
        self._schedule.answered(self._loop.time())

    async def _call(self, session: aiohttp.ClientSession) -> Change:
        url, wait = self._base, 0.0
        if self._rev is not None:
            # What was missed is asked for without a wait: a watch begins once that is known.
            wait_ms = self._schedule.wait_ms if self._continues else 1
            url, wait = url.with_query(after=self._rev, wait_ms=wait_ms), wait_ms / 1000
        within = wait + self._schedule.timeout(self._loop.time(), self._continues)
        status, body = await self._get(session, url, within)
        if status != 200:
            raise _CallFailed(CallFailure.TURNED_DOWN, f"status {status}")
        return self._read(body)

    async def _get(self, session: aiohttp.ClientSession, url: URL, within: float) -> tuple[int, bytes]:
        try:
            async with asyncio.timeout(within), session.get(url, allow_redirects=False) as response:
                return response.status, await response.read()
        except aiohttp.ConnectionTimeoutError as fault:  # a TimeoutError too
            raise _CallFailed(CallFailure.UNREACHABLE, fault) from fault
        except TimeoutError as fault:
            raise _CallFailed(CallFailure.SILENT, fault) from fault
        except (aiohttp.ClientError, OSError) as fault:
            raise _CallFailed(CallFailure.UNREACHABLE, fault) from fault

    def _read(self, body: bytes) -> Change:
        try:
            change = parse_list(orjson.loads(body))
        except ValueError as fault:  # BrokenList, or no JSON
            raise _CallFailed(CallFailure.UNREACHABLE, fault) from fault
        if self._rev is not None and change.rev < self._rev:
            self._rev = None  # a late answer, or it counts anew: the whole list tells, whatever its version
            older = BrokenList("an older version than the one in hand")
            raise _CallFailed(CallFailure.UNREACHABLE, older)
        if self._rev is None and not change.full:
            raise _CallFailed(CallFailure.UNREACHABLE, BrokenList("not the whole list"))
        return change

    def _note_failure(self, fault: _CallFailed) -> None:
        if not self._failing:  # once an outage, not once a call
            log.warning(
                "discovery does not answer, going on with the list in hand: %s, %s", self.address, fault
            )
        self._failing = True

    def _note_answer(self) -> None:
        if self._failing:
            log.info("discovery answers again: %s", self.address)
        self._failing = False


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
        schedule: CallSchedule | None = None,
    ) -> None:
        self._schedule = schedule or CallSchedule(False, 1, Random(0))
        self._known: int | None = None  # the version of the list in hand, where a watch may go on from it
        self._registry = registry
        self._learn = learn
        self._expiry: asyncio.TimerHandle | None = None  # when the list in hand is too old to send by
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

    def reckon(self, schedulers: int) -> None:
        """So many schedulers call the same discovery from now on."""
        self._schedule.schedulers = max(schedulers, 1)

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
        if self._schedule.shared and change.entries:  # the whole list costs it twice as much as what is newer
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
        self._known = change.rev if newer and self._schedule.shared else None
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
                self._coming = _Watch(address, self._take, self._watch_expiry, self._schedule, self._known)
                pause = self._pause_before_first_call()
                self._known = None  # another address may count its versions anew
                self._tasks[self._coming] = group.create_task(self._coming.run(pause))

    def _pause_before_first_call(self) -> float:
        now = asyncio.get_running_loop().time()
        if self._watch is not None:
            return self._schedule.moved(now)
        return self._schedule.first(now) if self._known is not None else 0.0

    def _watch_expiry(self) -> None:
        """A call has failed: set a timer where that makes the list in hand expire."""
        expires_at = self._schedule.list_expires_at
        if self._expiry is None and expires_at < math.inf:
            self._expiry = asyncio.get_running_loop().call_at(expires_at, self._suspend)

    def _suspend(self) -> None:
        """The service can be reached and has not told us its list in time: a drain that it has may bind by
        now. Nothing is sent on the word of the list in hand until it has answered."""
        log.error("the list in hand is too old to send by, waiting for discovery")
        self._registry.suspended = True
        self._learn(Scope.FULL, self._registry.told_to_decisions())

    def _resume(self) -> None:
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        if self._registry.suspended:
            log.info("discovery has told its list: it is sent by again")
            self._registry.suspended = False
            self._learn(Scope.FULL, self._registry.told_to_decisions())

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
        self._resume()
        self.told = change.rev
        self.on_told()
        self.ready.set()
        if moved:
            log.info("discovery is watched at %s", watch.address)
            self._on_settled()

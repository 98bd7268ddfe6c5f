"""Owns every req from taken to its one final answer, its fetches and its deadline."""

from __future__ import annotations

import asyncio
import logging
import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from itertools import chain

from ..decision.facade import (
    AttemptEnded,
    AttemptStarted,
    CancelAttempt,
    Capacity,
    ClientDisconnected,
    Decisions,
    Facade,
    FailRequest,
    QueueRequest,
    Readiness,
    RejectRequest,
    RequestAction,
    RequestReceived,
    Result,
    Scope,
    Snapshot,
    StartAttempt,
    WorkerFault,
    WorkerInfo,
)
from ..decision.settings import JobClass, Repeat, Settings
from .measure import ServiceMeasure
from .req import Answer, BackendTransport, Ending, FetchNotes, Kind, Note, Ran, Req

log = logging.getLogger("oxbowyard.core")

ANSWER_AHEAD = 0.010  # seconds before its deadline that a req is answered: the answer has to travel
MAX_FETCHES = 16  # a limit of our own, past all settings met: a fault in the decisions must have an end
NO_END_SEEN = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
NEVER_RAN = (Result.FULL, Result.UNREACHABLE, Result.NOT_SENT)
BUSY_RETRY_AFTER = 1.0  # seconds, with the refusal of a req that found no room


@dataclass(slots=True, eq=False)
class _Open:
    """A req that has no final answer yet, or whose last fetch has not ended."""

    req: Req
    taken_at: float
    deadline: float
    answer: asyncio.Future[Answer]
    # Seconds from a first attempt that may have run in which a repeat does no harm; None: it must not be
    # repeated. As its class was when it was taken: it keeps that class.
    window: float | None
    most_fetches: int
    alarm: asyncio.TimerHandle | None = None
    fetches: int = 0
    task: asyncio.Task[Ending] | None = None
    notes: FetchNotes | None = None
    calling_off: bool = False
    expired: bool = False
    may_have_run: bool = False
    repeat_by: float = math.inf  # loop time
    may_run_on: bool = False  # no end was seen of a fetch that may have run
    began_at: float | None = None
    ran: float | None = None


@dataclass(slots=True)
class Limits:
    """What one process may hold."""

    open_reqs: int = 20_000
    fetches: int = MAX_FETCHES


class Scheduler:
    """The core: fronts await `serve`, the facade decides, a backend transport fetches."""

    def __init__(
        self,
        settings: Settings,
        facade: Facade,
        transport: BackendTransport,
        clock: Callable[[], float],
        measure: ServiceMeasure,
        limits: Limits,
    ) -> None:
        self._facade = facade
        self._transport = transport
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._limits = limits
        self._busy_wait = min(BUSY_RETRY_AFTER, settings.max_backoff / 1000)  # none where clients heed none
        self._max_fetches = min(settings.max_attempts, limits.fetches)
        self._windows = {c.name: _window(c) for c in settings.classes}
        self._open: dict[str, _Open] = {}
        self._open_by_class: Counter[str] = Counter()
        self._listed: dict[str, dict[str, WorkerInfo]] = {}
        self._refused_at = -math.inf
        self._ticker: asyncio.TimerHandle | None = None
        self._idle = asyncio.Event()
        self._idle.set()
        self.measure = measure

    # ---- For the fronts ----

    async def serve(self, req: Req) -> Answer:
        """Take a req and wait for its final answer. CancelAttempt this when its client has gone."""
        if req.id in self._open:  # a second copy could run beside the first
            return Answer(Kind.FAILED, reason="a req with this id is open")
        self.measure.asked(req.job_class, req.is_retry)
        if len(self._open) >= self._limits.open_reqs:
            self.measure.answered(req.job_class, Kind.REFUSED, 0.0, None)
            return Answer(Kind.REFUSED, retry_after=self._busy_wait, reason="too many open reqs")
        entry = self._take(req)
        try:
            return await entry.answer
        except asyncio.CancelledError:
            self._left(entry)
            raise

    def retune(self, settings: Settings) -> None:
        """Other classes and fetches for the reqs taken from now on; those open keep theirs."""
        self._max_fetches = min(settings.max_attempts, self._limits.fetches)
        self._windows = {c.name: _window(c) for c in settings.classes}
        self._facade.replace_classes(settings)
        self.measure.retune(settings.classes)

    def learn(self, scope: Scope, backends: tuple[WorkerInfo, ...], source: str = "discovery") -> None:
        """Take a list, or a change of it. A whole list is whole for its source: others' backends stay."""
        listed = self._listed.setdefault(source, {})
        if scope is not Scope.CHANGES:
            listed.clear()
        for info in backends:
            listed[info.name] = info
            if info.readiness is Readiness.GONE:
                del listed[info.name]
        if scope is not Scope.CHANGES:
            others = (rows.values() for name, rows in self._listed.items() if name != source)
            backends = (*backends, *chain.from_iterable(others))
        self._follow(self._facade.update_endpoints(scope, backends))

    def reckon(self, siblings: int) -> None:
        """So many schedulers send to the same backends from now on."""
        self._facade.set_scheduler_count(siblings)

    def snapshot(self) -> Snapshot:
        """What the decisions have learned, for a process that replaces this one."""
        return self._facade.snapshot()

    def adopt(self, learned: Snapshot) -> None:
        """Go on from what the process that this one replaces has learned."""
        self._facade.adopt(learned)

    def troubles(self) -> list[WorkerFault]:
        """Backends that own fetches show to be in trouble; it walks all of them. A cold start that the list
        tells is left out: all are told it."""
        told: dict[str, float] = {}
        for rows in self._listed.values():
            told |= {name: info.online_since for name, info in rows.items() if info.online_since}
        found = (
            replace(t, since=0.0) if t.since <= told.get(t.worker, 0.0) else t
            for t in self._facade.worker_faults()
        )
        return [t for t in found if t.lasts or t.since]

    def hear(self, troubles: tuple[WorkerFault, ...]) -> None:
        """Take what other schedulers tell of backends' troubles, all that holds now."""
        self._follow(self._facade.apply_peer_faults(troubles))

    @property
    def open_count(self) -> int:
        """Reqs taken and not yet done with."""
        return len(self._open)

    def longest_left(self) -> float:
        """Seconds until the last deadline of the reqs that are open; their clients may wait longer than their
        classes say."""
        last = max((entry.deadline for entry in self._open.values()), default=0.0)
        return max(last - self._loop.time(), 0.0)

    def open_of(self, classes: Iterable[str]) -> int:
        """The same for some classes."""
        return sum(self._open_by_class[name] for name in classes)

    def capacity(self, job_class: str) -> Capacity:
        """What the listed backends can do for a class."""
        return self._facade.capacity(job_class)

    def since_refusal(self) -> float:
        """Seconds since a req was last refused."""
        return self._loop.time() - self._refused_at

    def ran(self, req: str) -> Ran:
        """Whether an open req may have run by now; one that is not open never did."""
        entry = self._open.get(req)
        return _ran(entry) if entry else Ran.NEVER

    async def idle(self) -> None:
        """Wait until nothing taken is open."""
        await self._idle.wait()

    # ---- A req's life ----

    def _take(self, req: Req) -> _Open:
        now = self._loop.time()
        deadline = now + req.patience
        window = self._windows.get(req.job_class)
        entry = _Open(req, now, deadline, self._loop.create_future(), window, self._max_fetches)
        self._open[req.id] = entry
        self._open_by_class[req.job_class] += 1
        self._idle.clear()
        entry.alarm = self._loop.call_at(deadline - ANSWER_AHEAD, self._expire, entry)
        ask = RequestReceived(
            req.id, req.job_class, req.patience * 1000, req.key, req.tenant, req.slots, req.is_retry
        )
        self._follow(self._facade.decide(ask), entry)
        return entry

    def _finish(self, entry: _Open, answer: Answer) -> None:
        """Give the final answer; the first one stands."""
        if entry.answer.done():
            return
        entry.answer.set_result(answer)
        if entry.alarm:
            entry.alarm.cancel()
        elapsed = self._loop.time() - entry.taken_at
        self.measure.answered(entry.req.job_class, answer.kind, elapsed, entry.ran)
        if answer.kind is Kind.REFUSED:
            self._refused_at = self._loop.time()
        if answer.kind is not Kind.SERVED:
            log.debug("req %s %s: %s", entry.req.id, answer.kind.value, answer.reason)
        self._call_off(entry)
        self._let_go(entry)

    def _let_go(self, entry: _Open) -> None:
        if entry.answer.done() and entry.task is None:
            if self._open.pop(entry.req.id, None) is not None:
                self._open_by_class[entry.req.job_class] -= 1
            if not self._open:
                self._idle.set()

    def _left(self, entry: _Open) -> None:
        """The client has gone: its req still gets its one answer in the count."""
        if not entry.answer.cancelled():  # it went while its answer was on the way: that one counts
            return
        if entry.alarm:
            entry.alarm.cancel()
        self.measure.answered(entry.req.job_class, Kind.LEFT, self._loop.time() - entry.taken_at, None)
        self._follow(self._facade.report(ClientDisconnected(entry.req.id)))
        self._call_off(entry)
        self._let_go(entry)

    def _expire(self, entry: _Open) -> None:
        """The deadline is here. A fetch still out ends as timed out, and that asks for the answer."""
        if entry.answer.done():
            return
        if entry.task is not None:
            entry.expired = True
            entry.task.cancel()
            # The fetch may take its cancellation badly; the client is answered all the same.
            entry.alarm = self._loop.call_later(ANSWER_AHEAD, self._answer_ourselves, entry, "deadline")
            return
        self._answer_ourselves(entry, "held until its deadline")

    def _answer_ourselves(self, entry: _Open, reason: str) -> None:
        """Answer without the decisions: a refusal only where a new try surely does no harm."""
        if entry.answer.done():
            return
        kind = Kind.REFUSED if self._harmless_to_retry(entry) else Kind.FAILED
        wait = self._busy_wait if kind is Kind.REFUSED else 0.0
        self._finish(entry, _answer(entry, kind, reason, wait))
        self._follow(self._facade.report(ClientDisconnected(entry.req.id)))

    def _harmless_to_retry(self, entry: _Open) -> bool:
        out = entry.notes is not None and entry.notes.written
        return entry.window is not None or not (entry.may_have_run or out)

    # ---- Decisions ----

    def _follow(self, turn: Decisions, about: _Open | None = None) -> None:
        """Carry out every decision of a turn, whichever reqs they are for, and set the next tick."""
        if turn.fault is not None:
            log.error("decision fault: %r", turn.fault, exc_info=turn.fault)
        for decision in turn.actions:
            try:
                self._carry_out(decision)
            except Exception:
                log.exception("could not carry out %s", decision)
                if entry := self._open.get(decision.request_id):
                    self._answer_ourselves(entry, "internal fault")
        if turn.fault is not None and about is not None and about.task is None:
            self._answer_ourselves(about, "internal fault")
        self._set_ticker(turn.next_tick_ms)

    def _set_ticker(self, due: float | None) -> None:
        if self._ticker is not None:
            self._ticker.cancel()
            self._ticker = None
        if due is not None:
            self._ticker = self._loop.call_later(max(due - self._clock(), 0.0) / 1000, self._tick)

    def _tick(self) -> None:
        self._ticker = None
        self._follow(self._facade.tick(self._clock()))

    def _carry_out(self, decision: RequestAction) -> None:
        entry = self._open.get(decision.request_id)
        if entry is None:  # answered without the decisions; a fetch that never was must not count as out
            if isinstance(decision, StartAttempt):
                self._loop.call_soon(self._report_unsent, decision, True)
            return
        match decision:
            case StartAttempt():
                self._fetch(entry, decision)
            case RejectRequest(retry_after_ms=wait):
                self._refuse(entry, wait / 1000)
            case FailRequest():
                self._finish(entry, _answer(entry, Kind.FAILED, "given up"))
            case CancelAttempt(attempt=number):
                if number == entry.fetches - 1:
                    self._call_off(entry)
            case QueueRequest():
                pass

    def _refuse(self, entry: _Open, retry_after: float) -> None:
        if self._harmless_to_retry(entry):
            self._finish(entry, _answer(entry, Kind.REFUSED, "refused", retry_after))
        else:  # a refusal promises that a new try does no harm, and this one may have run
            log.error("req %s: refused by the decisions though it may have run", entry.req.id)
            self._finish(entry, _answer(entry, Kind.FAILED, "may have run"))

    # ---- Fetches ----

    def _fetch(self, entry: _Open, decision: StartAttempt) -> None:
        left = entry.deadline - ANSWER_AHEAD - self._loop.time()
        barred = entry.may_have_run and entry.window is None
        if entry.answer.done() or entry.task or entry.fetches >= entry.most_fetches or left <= 0 or barred:
            log.warning("req %s: fetch %d to %s not sent", entry.req.id, decision.attempt, decision.worker)
            entry.fetches += 1
            self._loop.call_soon(self._report_unsent, decision, entry.answer.done())
            return
        entry.fetches += 1
        entry.calling_off = False
        entry.began_at = None
        wait = min(left, decision.timeout_ms / 1000) if decision.timeout_ms > 0 else left
        entry.notes = FetchNotes(
            wait, lambda: self._began(entry, decision), lambda note: self._note(entry, decision, note),
            entry.repeat_by,
        )  # fmt: skip
        entry.task = self._loop.create_task(self._run(entry.req, decision, entry.notes, wait))
        sent_at = self._loop.time()
        log.debug("fetch %d of req %s (%s) to %s", decision.attempt, entry.req.id, entry.req.job_class,
                  decision.worker)  # fmt: skip
        # A task cancelled before its first step never enters its body: only its end is sure to be told.
        entry.task.add_done_callback(lambda task: self._ended(entry, decision, task, sent_at))

    def _report_unsent(self, decision: StartAttempt, final: bool) -> None:
        outcome = AttemptEnded(
            decision.request_id, decision.attempt, decision.worker, Result.NOT_SENT, final=final
        )
        self._follow(self._facade.report(outcome), self._open.get(decision.request_id))

    def _began(self, entry: _Open, decision: StartAttempt) -> None:
        entry.began_at = self._loop.time()
        log.debug("fetch %d of req %s began at %s", decision.attempt, entry.req.id, decision.worker)
        if entry.req.on_running:
            entry.req.on_running(True)
        self._follow(self._facade.report(AttemptStarted(entry.req.id, decision.attempt, decision.worker)))

    def _note(self, entry: _Open, decision: StartAttempt, note: Note) -> None:
        current = decision.attempt == entry.fetches - 1
        if current and entry.req.on_note and not entry.answer.done():
            entry.req.on_note(note)

    async def _run(self, req: Req, decision: StartAttempt, notes: FetchNotes, wait: float) -> Ending:
        try:
            async with asyncio.timeout(wait):
                return await self._transport.fetch(decision.worker, req, notes)
        except TimeoutError:
            return Ending(Result.TIMEOUT if notes.written else Result.NOT_SENT, reason="timed out")
        except Exception as failure:
            log.exception("fetch of req %s at %s failed in our own code", req.id, decision.worker)
            return Ending(Result.ERROR if notes.written else Result.NOT_SENT, reason=repr(failure))

    def _cut(self, entry: _Open) -> Ending:
        if entry.notes is None or not entry.notes.written:
            return Ending(Result.NOT_SENT, reason="called off unsent")
        return Ending(Result.TIMEOUT if entry.expired else Result.CANCELLED, reason="called off")

    def _ended(
        self, entry: _Open, decision: StartAttempt, task: asyncio.Task[Ending], sent_at: float
    ) -> None:
        ending = self._cut(entry) if task.cancelled() else task.result()
        duration = (self._loop.time() - sent_at) * 1000
        entry.task, entry.notes = None, None
        if entry.req.on_running and entry.began_at is not None:
            entry.req.on_running(False)
        if ending.result not in NEVER_RAN and not entry.may_have_run:
            entry.may_have_run = True
            entry.repeat_by = sent_at + (math.inf if entry.window is None else entry.window)
        entry.may_run_on |= ending.result in NO_END_SEEN
        if ending.result is not Result.OK:
            log.info(
                "fetch %d of req %s (%s) at %s: %s after %.0f ms, %s", decision.attempt, entry.req.id,
                entry.req.job_class, decision.worker, ending.result.value, duration, ending.reason,
            )  # fmt: skip
        else:
            log.debug("fetch %d of req %s served by %s after %.0f ms, %s", decision.attempt, entry.req.id,
                      decision.worker, duration, ending.load)  # fmt: skip
            if entry.began_at is not None:
                entry.ran = self._loop.time() - entry.began_at
        if ending.result is Result.OK:
            self._finish(entry, Answer(Kind.SERVED, ending.body, ran=Ran.YES))
        final = entry.answer.done()
        outcome = AttemptEnded(
            entry.req.id, decision.attempt, decision.worker, ending.result, duration, final, ending.load
        )
        self._let_go(entry)
        self._follow(self._facade.report(outcome), entry)

    def _call_off(self, entry: _Open) -> None:
        if entry.task is not None and not entry.calling_off:
            entry.calling_off = True
            entry.task.cancel()


def _ran(entry: _Open) -> Ran:
    if entry.may_run_on or entry.notes is not None and entry.notes.written:
        return Ran.OPEN
    return Ran.MAYBE if entry.may_have_run else Ran.NEVER


def _answer(entry: _Open, kind: Kind, reason: str, retry_after: float = 0.0) -> Answer:
    return Answer(kind, b"", retry_after, reason, _ran(entry))


def _window(cls: JobClass) -> float | None:
    if cls.repeat is Repeat.GUARDED and cls.group == "all":
        return cls.memory / 1000
    return math.inf if cls.repeat is Repeat.FREE else None

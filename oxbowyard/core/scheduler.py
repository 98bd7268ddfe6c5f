"""Owns every request from taken to its one final answer, its attempts and its deadline."""

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
from .request import (
    Answer,
    AnswerKind,
    AttemptContext,
    AttemptOutcome,
    AttemptUpdate,
    BackendTransport,
    Request,
    RunState,
)
from .service_measure import ServiceMeasure

log = logging.getLogger("oxbowyard.core")

ANSWER_AHEAD = 0.010  # seconds before its deadline that a request is answered: the answer has to travel
MAX_ATTEMPTS = 16  # a limit of our own, past all settings met: a fault in the decisions must have an end
NO_END_SEEN = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
NEVER_RAN = (Result.FULL, Result.UNREACHABLE, Result.NOT_SENT)
BUSY_RETRY_AFTER = 1.0  # seconds, with the refusal of a request that found no room


@dataclass(slots=True, eq=False)
class _Open:
    """A request that has no final answer yet, or whose last attempt has not ended."""

    request: Request
    taken_at: float
    deadline: float
    answer: asyncio.Future[Answer]
    # Seconds from a first attempt that may have run in which a repeat does no harm; None: it must not be
    # repeated. As its class was when it was taken: it keeps that class.
    window: float | None
    max_attempts: int
    alarm: asyncio.TimerHandle | None = None
    attempts: int = 0
    task: asyncio.Task[AttemptOutcome] | None = None
    notes: AttemptContext | None = None
    calling_off: bool = False
    expired: bool = False
    may_have_run: bool = False
    repeat_by: float = math.inf  # loop time
    may_run_on: bool = False  # no end was seen of an attempt that may have run
    began_at: float | None = None
    ran: float | None = None


@dataclass(slots=True)
class Limits:
    """What one process may hold."""

    max_open_requests: int = 20_000
    max_attempts: int = MAX_ATTEMPTS


class Scheduler:
    """The core: fronts await `serve`, the facade decides, a backend transport attempts."""

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
        self._max_attempts = min(settings.max_attempts, limits.max_attempts)
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

    async def serve(self, request: Request) -> Answer:
        """Take a request and wait for its final answer. Cancel this when its client has gone."""
        if request.id in self._open:  # a second copy could run beside the first
            return Answer(AnswerKind.FAILED, reason="a req with this id is open")
        self.measure.record_request(request.job_class, request.is_retry)
        if len(self._open) >= self._limits.max_open_requests:
            self.measure.record_answer(request.job_class, AnswerKind.REJECTED, 0.0, None)
            return Answer(AnswerKind.REJECTED, retry_after_s=self._busy_wait, reason="too many open reqs")
        entry = self._take(request)
        try:
            return await entry.answer
        except asyncio.CancelledError:
            self._left(entry)
            raise

    def apply_settings(self, settings: Settings) -> None:
        """Other classes and attempts for the requests taken from now on; those open keep theirs."""
        self._max_attempts = min(settings.max_attempts, self._limits.max_attempts)
        self._windows = {c.name: _window(c) for c in settings.classes}
        self._facade.replace_classes(settings)
        self.measure.set_classes(settings.classes)

    def update_endpoints(
        self, scope: Scope, backends: tuple[WorkerInfo, ...], source: str = "discovery"
    ) -> None:
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

    def set_scheduler_count(self, siblings: int) -> None:
        """So many schedulers send to the same backends from now on."""
        self._facade.set_scheduler_count(siblings)

    def snapshot(self) -> Snapshot:
        """What the decisions have learned, for a process that replaces this one."""
        return self._facade.snapshot()

    def restore(self, learned: Snapshot) -> None:
        """Go on from what the process that this one replaces has learned."""
        self._facade.adopt(learned)

    def worker_faults(self) -> list[WorkerFault]:
        """Backends that own attempts show to be in trouble; it walks all of them. A cold start that the list
        tells is left out: all are told it."""
        told: dict[str, float] = {}
        for rows in self._listed.values():
            told |= {name: info.online_since for name, info in rows.items() if info.online_since}
        found = (
            replace(t, since=0.0) if t.since <= told.get(t.worker, 0.0) else t
            for t in self._facade.worker_faults()
        )
        return [t for t in found if t.lasts or t.since]

    def apply_peer_faults(self, troubles: tuple[WorkerFault, ...]) -> None:
        """Take what other schedulers tell of backends' troubles, all that holds now."""
        self._follow(self._facade.apply_peer_faults(troubles))

    @property
    def open_request_count(self) -> int:
        """Reqs taken and not yet done with."""
        return len(self._open)

    def max_time_left_s(self) -> float:
        """Seconds until the last deadline of the open requests; their clients may wait longer than
        their classes say."""
        last = max((entry.deadline for entry in self._open.values()), default=0.0)
        return max(last - self._loop.time(), 0.0)

    def open_request_count_of(self, classes: Iterable[str]) -> int:
        """The same for some classes."""
        return sum(self._open_by_class[name] for name in classes)

    def capacity(self, job_class: str) -> Capacity:
        """What the listed backends can do for a class."""
        return self._facade.capacity(job_class)

    def seconds_since_rejection(self) -> float:
        """Seconds since a request was last refused."""
        return self._loop.time() - self._refused_at

    def run_state(self, request: str) -> RunState:
        """Whether an open request may have run by now; one that is not open never did."""
        entry = self._open.get(request)
        return _ran(entry) if entry else RunState.NEVER_RAN

    async def wait_until_idle(self) -> None:
        """Wait until nothing taken is open."""
        await self._idle.wait()

    # ---- A request's life ----

    def _take(self, request: Request) -> _Open:
        now = self._loop.time()
        deadline = now + request.timeout_s
        window = self._windows.get(request.job_class)
        entry = _Open(request, now, deadline, self._loop.create_future(), window, self._max_attempts)
        self._open[request.id] = entry
        self._open_by_class[request.job_class] += 1
        self._idle.clear()
        entry.alarm = self._loop.call_at(deadline - ANSWER_AHEAD, self._expire, entry)
        ask = RequestReceived(
            request.id,
            request.job_class,
            request.timeout_s * 1000,
            request.key,
            request.tenant,
            request.slots,
            request.is_retry,
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
        self.measure.record_answer(entry.request.job_class, answer.kind, elapsed, entry.ran)
        if answer.kind is AnswerKind.REJECTED:
            self._refused_at = self._loop.time()
        if answer.kind is not AnswerKind.SERVED:
            log.debug("request %s %s: %s", entry.request.id, answer.kind.value, answer.reason)
        self._call_off(entry)
        self._let_go(entry)

    def _let_go(self, entry: _Open) -> None:
        if entry.answer.done() and entry.task is None:
            if self._open.pop(entry.request.id, None) is not None:
                self._open_by_class[entry.request.job_class] -= 1
            if not self._open:
                self._idle.set()

    def _left(self, entry: _Open) -> None:
        """The client has gone: its request still gets its one answer in the count."""
        if not entry.answer.cancelled():  # it went while its answer was on the way: that one counts
            return
        if entry.alarm:
            entry.alarm.cancel()
        self.measure.record_answer(
            entry.request.job_class, AnswerKind.CLIENT_DISCONNECTED, self._loop.time() - entry.taken_at, None
        )
        self._follow(self._facade.report(ClientDisconnected(entry.request.id)))
        self._call_off(entry)
        self._let_go(entry)

    def _expire(self, entry: _Open) -> None:
        """The deadline is here. An attempt still out ends as timed out, and that asks for the answer."""
        if entry.answer.done():
            return
        if entry.task is not None:
            entry.expired = True
            entry.task.cancel()
            # The attempt may take its cancellation badly; the client is answered all the same.
            entry.alarm = self._loop.call_later(ANSWER_AHEAD, self._answer_ourselves, entry, "deadline")
            return
        self._answer_ourselves(entry, "held until its deadline")

    def _answer_ourselves(self, entry: _Open, reason: str) -> None:
        """Answer without the decisions: a refusal only where a new try surely does no harm."""
        if entry.answer.done():
            return
        kind = AnswerKind.REJECTED if self._harmless_to_retry(entry) else AnswerKind.FAILED
        wait = self._busy_wait if kind is AnswerKind.REJECTED else 0.0
        self._finish(entry, _answer(entry, kind, reason, wait))
        self._follow(self._facade.report(ClientDisconnected(entry.request.id)))

    def _harmless_to_retry(self, entry: _Open) -> bool:
        out = entry.notes is not None and entry.notes.written
        return entry.window is not None or not (entry.may_have_run or out)

    # ---- Decisions ----

    def _follow(self, turn: Decisions, about: _Open | None = None) -> None:
        """Carry out every decision of a turn, whichever requests they are for, and set the next tick."""
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
        if entry is None:  # answered without the decisions; an attempt that never was must not count as out
            if isinstance(decision, StartAttempt):
                self._loop.call_soon(self._report_unsent, decision, True)
            return
        match decision:
            case StartAttempt():
                self._start_attempt(entry, decision)
            case RejectRequest(retry_after_ms=wait):
                self._refuse(entry, wait / 1000)
            case FailRequest():
                self._finish(entry, _answer(entry, AnswerKind.FAILED, "given up"))
            case CancelAttempt(attempt=number):
                if number == entry.attempts - 1:
                    self._call_off(entry)
            case QueueRequest():
                pass

    def _refuse(self, entry: _Open, retry_after: float) -> None:
        if self._harmless_to_retry(entry):
            self._finish(entry, _answer(entry, AnswerKind.REJECTED, "refused", retry_after))
        else:  # a refusal promises that a new try does no harm, and this one may have run
            log.error("request %s: refused by the decisions though it may have run", entry.request.id)
            self._finish(entry, _answer(entry, AnswerKind.FAILED, "may have run"))

    # ---- Fetches ----

    def _start_attempt(self, entry: _Open, decision: StartAttempt) -> None:
        left = entry.deadline - ANSWER_AHEAD - self._loop.time()
        barred = entry.may_have_run and entry.window is None
        if entry.answer.done() or entry.task or entry.attempts >= entry.max_attempts or left <= 0 or barred:
            log.warning(
                "request %s: attempt %d to %s not sent", entry.request.id, decision.attempt, decision.worker
            )
            entry.attempts += 1
            self._loop.call_soon(self._report_unsent, decision, entry.answer.done())
            return
        entry.attempts += 1
        entry.calling_off = False
        entry.began_at = None
        wait = min(left, decision.timeout_ms / 1000) if decision.timeout_ms > 0 else left
        entry.notes = AttemptContext(
            wait, lambda: self._began(entry, decision), lambda note: self._note(entry, decision, note),
            entry.repeat_by,
        )  # fmt: skip
        entry.task = self._loop.create_task(self._run(entry.request, decision, entry.notes, wait))
        sent_at = self._loop.time()
        log.debug(
            "attempt %d of request %s (%s) to %s",
            decision.attempt,
            entry.request.id,
            entry.request.job_class,
            decision.worker,
        )
        # A task cancelled before its first step never enters its body: only its end is sure to be told.
        entry.task.add_done_callback(lambda task: self._ended(entry, decision, task, sent_at))

    def _report_unsent(self, decision: StartAttempt, final: bool) -> None:
        outcome = AttemptEnded(
            decision.request_id, decision.attempt, decision.worker, Result.NOT_SENT, final=final
        )
        self._follow(self._facade.report(outcome), self._open.get(decision.request_id))

    def _began(self, entry: _Open, decision: StartAttempt) -> None:
        entry.began_at = self._loop.time()
        log.debug("attempt %d of request %s began at %s", decision.attempt, entry.request.id, decision.worker)
        if entry.request.on_running:
            entry.request.on_running(True)
        self._follow(self._facade.report(AttemptStarted(entry.request.id, decision.attempt, decision.worker)))

    def _note(self, entry: _Open, decision: StartAttempt, note: AttemptUpdate) -> None:
        current = decision.attempt == entry.attempts - 1
        if current and entry.request.on_update and not entry.answer.done():
            entry.request.on_update(note)

    async def _run(
        self, request: Request, decision: StartAttempt, notes: AttemptContext, wait: float
    ) -> AttemptOutcome:
        try:
            async with asyncio.timeout(wait):
                return await self._transport.attempt(decision.worker, request, notes)
        except TimeoutError:
            return AttemptOutcome(Result.TIMEOUT if notes.written else Result.NOT_SENT, reason="timed out")
        except Exception as failure:
            log.exception("attempt of request %s at %s failed in our own code", request.id, decision.worker)
            return AttemptOutcome(Result.ERROR if notes.written else Result.NOT_SENT, reason=repr(failure))

    def _cut(self, entry: _Open) -> AttemptOutcome:
        if entry.notes is None or not entry.notes.written:
            return AttemptOutcome(Result.NOT_SENT, reason="called off unsent")
        return AttemptOutcome(Result.TIMEOUT if entry.expired else Result.CANCELLED, reason="called off")

    def _ended(
        self, entry: _Open, decision: StartAttempt, task: asyncio.Task[AttemptOutcome], sent_at: float
    ) -> None:
        ending = self._cut(entry) if task.cancelled() else task.result()
        duration = (self._loop.time() - sent_at) * 1000
        entry.task, entry.notes = None, None
        if entry.request.on_running and entry.began_at is not None:
            entry.request.on_running(False)
        if ending.result not in NEVER_RAN and not entry.may_have_run:
            entry.may_have_run = True
            entry.repeat_by = sent_at + (math.inf if entry.window is None else entry.window)
        entry.may_run_on |= ending.result in NO_END_SEEN
        if ending.result is not Result.OK:
            log.info(
                "attempt %d of request %s (%s) at %s: %s after %.0f ms, %s",
                decision.attempt,
                entry.request.id,
                entry.request.job_class,
                decision.worker,
                ending.result.value,
                duration,
                ending.reason,
            )
        else:
            log.debug(
                "attempt %d of request %s served by %s after %.0f ms, %s",
                decision.attempt,
                entry.request.id,
                decision.worker,
                duration,
                ending.load,
            )
            if entry.began_at is not None:
                entry.ran = self._loop.time() - entry.began_at
        if ending.result is Result.OK:
            self._finish(entry, Answer(AnswerKind.SERVED, ending.body, run_state=RunState.HAS_RUN))
        final = entry.answer.done()
        outcome = AttemptEnded(
            entry.request.id, decision.attempt, decision.worker, ending.result, duration, final, ending.load
        )
        self._let_go(entry)
        self._follow(self._facade.report(outcome), entry)

    def _call_off(self, entry: _Open) -> None:
        if entry.task is not None and not entry.calling_off:
            entry.calling_off = True
            entry.task.cancel()


def _ran(entry: _Open) -> RunState:
    if entry.may_run_on or entry.notes is not None and entry.notes.written:
        return RunState.MAY_BE_RUNNING
    return RunState.MAY_HAVE_RUN if entry.may_have_run else RunState.NEVER_RAN


def _answer(entry: _Open, kind: AnswerKind, reason: str, retry_after: float = 0.0) -> Answer:
    return Answer(kind, b"", retry_after, reason, _ran(entry))


def _window(cls: JobClass) -> float | None:
    if cls.repeat is Repeat.GUARDED and cls.group == "all":
        return cls.memory / 1000
    return math.inf if cls.repeat is Repeat.FREE else None

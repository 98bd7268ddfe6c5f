"""The worker side: connected workers are backends, and hand-outs are attempts."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from ..core.request import (
    AttemptContext,
    AttemptOutcome,
    AttemptUpdate,
    Request,
    UpdateKind,
    reason_not_to_send,
)
from ..decision.facade import Readiness, Result, Scope, WorkerInfo
from ..waiting.job import AGED_CLASS_SUFFIX
from .config import KIND, GearmanConfig
from .packet import Rejected, Type, encode

log = logging.getLogger("oxbowyard.gearman")

Learn = Callable[[Scope, tuple[WorkerInfo, ...], str], None]
MOST_ABILITIES = 256  # of one worker; each is remembered, with its name
UPDATES = {
    Type.WORK_DATA: UpdateKind.DATA,
    Type.WORK_WARNING: UpdateKind.WARNING,
    Type.WORK_EXCEPTION: UpdateKind.EXCEPTION,
}
ENDS = {Type.WORK_COMPLETE: Result.OK, Type.WORK_FAIL: Result.ERROR, Type.WORK_EXCEPTION: Result.ERROR}


class WorkerLine(Protocol):
    """A worker's connection."""

    def send(self, data: bytes) -> None:
        """Write to the worker."""


@dataclass(slots=True, eq=False)
class _HandOut:
    """One attempt at a worker: picked for it, and later perhaps handed out."""

    handle: bytes
    request: Request
    context: AttemptContext
    ending: asyncio.Future[AttemptOutcome]
    handed_out: bool = False
    alarm: asyncio.TimerHandle | None = None

    @property
    def order(self) -> int:
        """High priority first; the picked ones of one priority stay in their order."""
        return int(self.request.extras.get("priority", "1"))

    def end(self, ending: AttemptOutcome) -> None:
        """Say how it ended; the first word stands."""
        if self.alarm is not None:
            self.alarm.cancel()
        if not self.ending.done():
            self.ending.set_result(ending)


@dataclass(slots=True, eq=False)
class Worker:
    """One connected worker."""

    name: str
    line: WorkerLine
    abilities: dict[str, float] = field(default_factory=dict)  # function: seconds a job may take, 0: no limit
    picked: list[_HandOut] = field(default_factory=list)  # not handed out yet
    out: dict[bytes, _HandOut] = field(default_factory=dict)  # handed out, no end told yet
    asleep: bool = False
    listed: bool = False
    client_id: str = "-"

    @property
    def stuck(self) -> bool:
        """It still works on a job that ended without its word: it will not take another before that."""
        return any(job.ending.done() for job in self.out.values())

    def load(self) -> dict[str, float]:
        """A report like that of other backends."""
        return {"free_slots": 0.0 if self.out else 1.0, "waiting": float(len(self.picked))}


class Workers:
    """All connected workers: a backend transport whose backends come to it."""

    def __init__(self, config: GearmanConfig) -> None:
        self._config = config
        self._learn: Learn = lambda scope, infos, source: None
        self._numbers = itertools.count(1)
        self._handles = itertools.count(1)
        self.connected: dict[str, Worker] = {}

    def tell_to(self, learn: Learn) -> None:
        """Where changes of the list of workers go."""
        self._learn = learn

    # ---- The list ----

    def join(self, line: WorkerLine) -> Worker:
        """A connection did something that only workers do."""
        worker = Worker(f"{KIND}:{next(self._numbers)}", line)
        self.connected[worker.name] = worker
        return worker

    def leave(self, worker: Worker) -> None:
        """A worker's connection ended. Told first: nothing of it may be picked for it again."""
        del self.connected[worker.name]
        worker.abilities.clear()
        self._announce(worker)
        for job in worker.picked:
            job.end(AttemptOutcome(Result.UNREACHABLE, reason="worker left before it took the job"))
        for job in worker.out.values():
            if job.handed_out:
                job.end(AttemptOutcome(Result.RESET, reason="worker lost with the job"))
            else:
                job.end(AttemptOutcome(Result.UNREACHABLE, reason="worker left before the job was sent"))

    def can_do(self, worker: Worker, function: bytes, limit: float = 0.0) -> None:
        """The worker announces a function; one that the file does not name is never picked for it."""
        name = function.decode("utf-8", "replace")
        if name not in worker.abilities and len(worker.abilities) >= MOST_ABILITIES:
            raise Rejected("TOO_MANY_FUNCTIONS", "a worker announces this many functions at most")
        worker.abilities[name] = limit
        self._announce(worker)

    def cant_do(self, worker: Worker, function: bytes | None = None) -> None:
        """It takes a function back, or all; what was picked and not handed out goes elsewhere."""
        if function is None:
            worker.abilities.clear()
        else:
            worker.abilities.pop(function.decode("utf-8", "replace"), None)
        self._announce(worker)
        self._give_back(worker, "worker took the function back")

    def _give_back(self, worker: Worker, reason: str) -> None:
        """What it was picked for and will not take goes elsewhere; it was never handed out."""
        for job in [j for j in worker.picked if worker.stuck or j.request.target not in worker.abilities]:
            worker.picked.remove(job)
            job.end(AttemptOutcome(Result.FULL, reason=reason))

    def _announce(self, worker: Worker) -> None:
        functions = self._config.functions
        names = [functions[f].job_class.name for f in worker.abilities if f in functions]
        classes = frozenset(names + [name + AGED_CLASS_SUFFIX for name in names])
        if not classes and not worker.listed:
            return
        worker.listed = bool(classes)
        state = Readiness.READY if classes else Readiness.GONE
        if classes and worker.stuck:
            state = Readiness.DRAINING
        info = WorkerInfo(worker.name, state, kind=KIND, classes=classes, slots=1, private=True)
        self._learn(Scope.CHANGES, (info,), KIND)

    # ---- Fetches ----

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        """Pick a job for a worker and wait until it ends there."""
        worker = self.connected.get(backend)
        if worker is None or request.target not in worker.abilities:
            return AttemptOutcome(Result.NOT_SENT, reason="worker is gone or can't do it any more")
        lease = f".{request.lease}" if request.lease else ""
        # A handle of its own: an old hand-out may still end.
        handle = f"{request.id}.{next(self._handles)}{lease}".encode()
        job = _HandOut(handle, request, context, asyncio.get_running_loop().create_future())
        worker.picked.append(job)
        self._wake(worker)
        try:
            return await job.ending
        finally:
            if job.alarm is not None:
                job.alarm.cancel()
            if job in worker.picked:  # called off before it was handed out
                worker.picked.remove(job)
            if job.handle in worker.out and worker.name in self.connected:  # it does not know of the end
                self._announce(worker)
                self._give_back(worker, "worker still works on a job that is over")

    def _wake(self, worker: Worker) -> None:
        if worker.asleep and worker.picked:
            worker.asleep = False
            worker.line.send(encode(Type.NOOP))

    def pre_sleep(self, worker: Worker) -> None:
        """The worker sleeps until there is a job for it."""
        worker.asleep = True
        self._wake(worker)

    def grab(self, worker: Worker, type_: Type) -> None:
        """Hand out the next job picked for this worker."""
        worker.asleep = False
        for picked in worker.picked:
            _end_barred(picked)
        job = min((j for j in worker.picked if not j.ending.done()), key=lambda j: j.order, default=None)
        if job is None:
            worker.line.send(encode(Type.NO_JOB))
            return
        worker.picked.remove(job)
        worker.out[job.handle] = job
        if job.request.record_lease is None:
            self._assign(worker, type_, job)
        else:  # what must not run twice is on record before it is sent
            job.request.record_lease(worker.name, lambda: self._assign(worker, type_, job))

    def _assign(self, worker: Worker, type_: Type, job: _HandOut) -> None:
        _end_barred(job)
        if job.ending.done():  # called off before it was sent: the worker still waits for an answer
            worker.out.pop(job.handle, None)
            worker.line.send(encode(Type.NO_JOB))
            if worker.name in self.connected:
                self._announce(worker)
            return
        job.handed_out = job.context.written = True
        worker.line.send(_assign(type_, job))
        limit = worker.abilities.get(job.request.target, 0.0)
        if limit > 0:
            loop = asyncio.get_running_loop()
            job.alarm = loop.call_later(
                limit, job.end, AttemptOutcome(Result.ERROR, reason="worker's own limit")
            )
        job.context.on_started()

    def work(self, worker: Worker, type_: Type, arguments: list[bytes]) -> bool:
        """News of a job from its worker; False if this worker does not have that job, or not any more."""
        job = worker.out.get(arguments[0])
        if job is None:
            return False
        if type_ is Type.WORK_STATUS:
            done, total = (_figure(a) for a in arguments[1:])
            job.context.on_update(AttemptUpdate(UpdateKind.STATUS, done=done, total=total))
        elif type_ in UPDATES and not job.ending.done():
            job.context.on_update(AttemptUpdate(UPDATES[type_], arguments[1]))
        late = job.ending.done()
        if type_ in ENDS:
            del worker.out[job.handle]
            body = arguments[1] if type_ is Type.WORK_COMPLETE else b""
            if late:  # an end after the end: now it may have the next one
                self._announce(worker)
            job.end(AttemptOutcome(ENDS[type_], body, worker.load(), type_.name.lower()))
        return not (late and type_ in ENDS)


def _end_barred(job: _HandOut) -> None:
    """Nobody waits for it any more, though the loop may not have read that yet, or its time is over."""
    if not job.ending.done() and (why := reason_not_to_send(job.request, job.context)):
        job.end(AttemptOutcome(Result.NOT_SENT, reason=why))


def _assign(type_: Type, job: _HandOut) -> bytes:
    function, unique = job.request.target.encode(), job.request.extras.get("unique", "").encode("latin-1")
    if type_ is Type.GRAB_JOB_UNIQ:
        return encode(Type.JOB_ASSIGN_UNIQ, job.handle, function, unique, job.request.payload)
    if type_ is Type.GRAB_JOB_ALL:  # the empty argument names a reducer, which no job here has
        return encode(Type.JOB_ASSIGN_ALL, job.handle, function, unique, b"", job.request.payload)
    return encode(Type.JOB_ASSIGN, job.handle, function, job.request.payload)


def _figure(text: bytes) -> float:
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if abs(value) < 1e15 else 0.0

"""The client side: jobs from submitted to their one end, and who waits for each."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Protocol

from ..core.request import Answer, AnswerKind, AttemptUpdate, Request, RunState, UpdateKind
from ..core.scheduler import Scheduler
from ..decision.settings import RetrySafety
from ..waiting.job import (
    HIGH_PRIORITY,
    LOW_PRIORITY,
    JobOutcome,
    JobRejectedError,
    JobResult,
    RejectionCode,
    WaitOptions,
)
from .config import Function, GearmanConfig
from .packet import Rejected, Type, encode

if TYPE_CHECKING:  # it is there only where the operator's file has its table
    from ..waiting.job_queue import JobQueue

log = logging.getLogger("oxbowyard.gearman")

HIGH, NORMAL, LOW = 0, 1, 2
SUBMITS = {  # each with its priority, and whether the client waits
    Type.SUBMIT_JOB: (NORMAL, True),
    Type.SUBMIT_JOB_BG: (NORMAL, False),
    Type.SUBMIT_JOB_HIGH: (HIGH, True),
    Type.SUBMIT_JOB_HIGH_BG: (HIGH, False),
    Type.SUBMIT_JOB_LOW: (LOW, True),
    Type.SUBMIT_JOB_LOW_BG: (LOW, False),
    Type.SUBMIT_JOB_EPOCH: (NORMAL, False),
}
PRIORITIES = {HIGH: HIGH_PRIORITY, NORMAL: None, LOW: LOW_PRIORITY}
MOST_EPOCH_DIGITS = 12  # of a Unix time: the year 33658 is far enough
QUEUE_CODES = {
    RejectionCode.STOPPING: "SHUTTING_DOWN",
    RejectionCode.INVALID_TIME: "INVALID_EPOCH",
    RejectionCode.TOO_LARGE: "TOO_LARGE",
}
SAME_AS_WORKLOAD = b"-"  # this unique id stands for the workload itself
UPDATE_TYPES = {UpdateKind.DATA: Type.WORK_DATA, UpdateKind.WARNING: Type.WORK_WARNING}


def _key(unique: bytes) -> str | None:
    """The affinity key; a unique id may be a whole workload, and the decisions remember thousands of keys."""
    return hashlib.blake2b(unique, digest_size=16).hexdigest() if unique else None


def _code(fault: JobRejectedError) -> str:
    return QUEUE_CODES.get(fault.code, "JOB_QUEUE_FULL")


class Waiter(Protocol):
    """A client's connection, as its jobs see it."""

    exceptions: bool

    def send(self, data: bytes) -> None:
        """Write to the client."""

    def stays(self) -> bool:
        """Whether the client is still there."""

    def defer(self) -> None:
        """Take nothing more from the client until an answer is sent."""

    def resume(self) -> None:
        """It is sent."""


@dataclass(slots=True, eq=False)
class Job:
    """One job in the core, and the clients that wait for it."""

    handle: bytes
    function: Function
    unique: bytes
    background: bool
    size: int
    waiters: dict[Waiter, None] = field(default_factory=dict)
    task: asyncio.Task[None] | None = None
    running: bool = False
    done: tuple[bytes, bytes] = (b"0", b"0")  # numerator and denominator, as the worker gave them

    def client_connected(self) -> bool:
        """Whether it was left here to run, or somebody still waits for it."""
        return self.background or any(waiter.stays() for waiter in self.waiters)

    def tell(self, data: bytes) -> None:
        """Write to all who wait."""
        for waiter in list(self.waiters):
            waiter.send(data)


class Jobs:
    """All jobs that have no end yet."""

    def __init__(
        self, config: GearmanConfig, scheduler: Scheduler, name: str, room: JobQueue | None = None
    ) -> None:
        self._config = config
        self._room = room
        self._scheduler = scheduler
        run = room.ids.run_id if room is not None else ""
        self._prefix = f"H:{name}:{run}"
        self._numbers = itertools.count(1)
        self._by_handle: dict[bytes, Job] = {}
        self._by_unique: dict[tuple[str, bytes], Job] = {}
        self._by_waiter: dict[Waiter, dict[Job, None]] = {}
        self._total: Counter[str] = Counter()  # by function: those that have no end yet
        self._run: Counter[str] = Counter()  # and those of them that run
        self._held = 0  # bytes of their workloads
        self.most: dict[str, int] = {}  # set by an operator, for a function
        self.closing = False
        self._keeping: set[asyncio.Task[None]] = set()
        if room is not None:
            room.adopters.append(self.adopt)
            room.ids.reserve(f"H:{name}:")

    def submit(self, type_: Type, arguments: list[bytes], waiter: Waiter) -> None:
        """Take a job, or join one with the same unique id, and tell the client its handle."""
        not_before: float | None = None
        if type_ is Type.SUBMIT_JOB_EPOCH:
            name, unique, epoch, workload = arguments
            not_before = self._epoch(epoch)
        else:
            name, unique, workload = arguments
        function = self._config.functions.get(name.decode("utf-8", "replace"))
        if function is None:
            raise Rejected("UNKNOWN_FUNCTION", "no such function here")
        priority, waits = SUBMITS[type_]
        if unique == SAME_AS_WORKLOAD:
            unique = workload
        if (job := self._by_unique.get((function.name, unique)) if unique else None) is not None:
            self._join(job, waiter, waits)
            return
        queues = self._room is not None and (function.queueing or not waits)
        self._check_room(function, len(workload), queues)
        job = self._make(function, unique, len(workload), background=not waits)
        request = self._request(job, workload, priority)
        if not queues:
            job.task = asyncio.get_running_loop().create_task(self._serve(job, request))
            self._join(job, waiter, waits)
            return
        wait = WaitOptions(
            function.patience, not_before_unix_s=not_before, priority=PRIORITIES[priority], durable=not waits
        )
        assert self._room is not None
        if waits or not self._room.ids.run_id:
            self._queue(job, request, wait)
            self._join(job, waiter, waits)
            return
        if unique and function.job_class.retry_safety is not RetrySafety.IDEMPOTENT:
            # What must not run twice is the same job for a client that did not hear of its first hand-in.
            wait = replace(wait, idempotency_key=f"gearman:{function.name}:{_key(unique)}:{_key(workload)}")
        waiter.defer()
        self._keeping.add(
            task := asyncio.get_running_loop().create_task(self._keep(job, request, wait, waiter))
        )
        task.add_done_callback(self._keeping.discard)

    def _join(self, job: Job, waiter: Waiter, waits: bool) -> None:
        job.background |= not waits
        waiter.send(encode(Type.JOB_CREATED, job.handle))
        if waits:
            job.waiters[waiter] = None
            self._by_waiter.setdefault(waiter, {})[job] = None

    async def _keep(self, job: Job, request: Request, wait: WaitOptions, waiter: Waiter) -> None:
        """Take a job into the store; its client hears of it once it is there."""
        assert self._room is not None
        try:
            recalled = (
                await self._room.intake.find_existing([(request, wait)]) if wait.idempotency_key else None
            )
            if recalled:
                self._forget(job)
                handle = recalled[0].job.id
            else:
                handle = self._queue(job, request, wait)
                await self._room.intake.durable()
            waiter.send(encode(Type.JOB_CREATED, handle.encode()))
        except JobRejectedError as fault:
            self._forget(job)
            waiter.send(encode(Type.ERROR, _code(fault).encode(), fault.text.encode()))
        except Rejected as fault:
            waiter.send(encode(Type.ERROR, fault.code.encode(), fault.text.encode()))
        finally:
            waiter.resume()

    def adopt(self, request: Request) -> tuple[Request, Callable[[JobResult], None]] | None:
        """A job of an earlier run that is one of ours: it goes on under its old handle."""
        function = self._config.functions.get(request.target)
        if function is None or function.job_class.name != request.job_class:
            return None
        unique = request.extras.get("unique", "").encode("latin-1")
        job = self._enter(request.id.encode(), function, unique, len(request.payload), background=True)
        priority = int(request.extras.get("priority", NORMAL))
        return self._request(job, request.payload, priority), lambda final: self._ended(job, final)

    def _epoch(self, text: bytes) -> float:
        if self._room is None:
            raise Rejected("UNKNOWN_COMMAND", "packet type 36 is not served here")  # without [waiting]
        if not text.isdigit() or len(text) > MOST_EPOCH_DIGITS:
            raise Rejected("INVALID_EPOCH", "the time is not a whole number of seconds since 1970")
        return float(text)

    def _queue(self, job: Job, request: Request, wait: WaitOptions) -> str:
        """Hand a job to the waiting room; returns the id under which it is known."""
        assert self._room is not None
        try:
            (taken,) = self._room.submit([(request, wait)], lambda final: self._ended(job, final))
        except JobRejectedError as fault:
            self._forget(job)
            raise Rejected(_code(fault), fault.text) from None
        if taken.id != request.id:  # the same job as one that was handed in before
            self._forget(job)
        return taken.id

    def _check_room(self, function: Function, size: int, queues: bool) -> None:
        # Waiting jobs are few but may be large: their number alone would not bound the memory.
        if self._held + size > self._config.max_held:
            raise Rejected("JOB_QUEUE_FULL", "the jobs that wait hold all the memory they may")
        if self.closing:
            raise Rejected("SHUTTING_DOWN", "this scheduler takes no more jobs")
        # What queues has the limits of [waiting], but for one that an operator has typed.
        most = self.most.get(function.name, 0 if queues else self._config.max_queue)
        if most and self.waiting(function.name) >= most:
            raise Rejected("JOB_QUEUE_FULL", "too many jobs wait for this function")

    def _make(self, function: Function, unique: bytes, size: int, background: bool) -> Job:
        handle = f"{self._prefix}{next(self._numbers)}".encode()
        return self._enter(handle, function, unique, size, background)

    def _enter(self, handle: bytes, function: Function, unique: bytes, size: int, background: bool) -> Job:
        job = Job(handle, function, unique, background, size)
        self._by_handle[job.handle] = job
        self._held += job.size
        self._total[function.name] += 1
        if unique:
            self._by_unique[function.name, unique] = job
        return job

    def _request(self, job: Job, workload: bytes, priority: int) -> Request:
        return Request(
            id=job.handle.decode(),
            job_class=job.function.job_class.name,
            timeout_s=job.function.job_class.deadline_ms / 1000,
            target=job.function.name,
            payload=workload,
            key=_key(job.unique),
            extras={"unique": job.unique.decode("latin-1"), "priority": str(priority)},
            on_running=lambda running: self._running(job, running),
            on_update=lambda update: self._update(job, update),
            client_connected=job.client_connected,
        )

    async def _serve(self, job: Job, request: Request) -> None:
        try:
            answer = await self._scheduler.serve(request)
        except asyncio.CancelledError:
            raise
        except Exception:  # whoever waits is told all the same
            log.exception("job %s failed in our own code", request.id)
            answer = Answer(AnswerKind.FAILED, reason="internal fault")
        finally:
            self._forget(job)
        self._finish(job, answer)

    def _ended(self, job: Job, final: JobResult) -> None:
        """A job of the waiting room has its end."""
        self._forget(job)
        if final.run_state is RunState.NEVER_RAN and final.outcome not in (
            JobOutcome.REJECTED,
            JobOutcome.CANCELLED,
        ):
            job.tell(encode(Type.WORK_WARNING, job.handle, f"never ran: {final.reason}".encode()))
        self._finish(job, final.answer())

    def _finish(self, job: Job, answer: Answer) -> None:
        if answer.kind is AnswerKind.SERVED:
            job.tell(encode(Type.WORK_COMPLETE, job.handle, answer.body))
            return
        if job.background:
            log.warning(
                "background job %s (%s) %s: %s",
                job.handle.decode(),
                job.function.name,
                answer.kind.value,
                answer.reason,
            )
        # The protocol has no packet for it: a warning says when to come back.
        if answer.kind is AnswerKind.REJECTED:
            text = f"refused retry-after={answer.retry_after_s:.3f}"
            job.tell(encode(Type.WORK_WARNING, job.handle, text.encode()))
        job.tell(encode(Type.WORK_FAIL, job.handle))

    def _running(self, job: Job, running: bool) -> None:
        if running != job.running and job.handle in self._by_handle:
            self._run[job.function.name] += 1 if running else -1
        job.running = running

    def _update(self, job: Job, update: AttemptUpdate) -> None:
        if update.kind is UpdateKind.STATUS:
            job.done = f"{update.done:g}".encode(), f"{update.total:g}".encode()
            job.tell(encode(Type.WORK_STATUS, job.handle, *job.done))
        elif update.kind is UpdateKind.EXCEPTION:
            for waiter in [w for w in job.waiters if w.exceptions]:
                waiter.send(encode(Type.WORK_EXCEPTION, job.handle, update.body))
        else:
            job.tell(encode(UPDATE_TYPES[update.kind], job.handle, update.body))

    def _forget(self, job: Job) -> None:
        if self._by_handle.pop(job.handle, None) is None:  # a client that left has ended it before
            return
        self._held -= job.size
        for counts, less in ((self._total, 1), (self._run, job.running)):
            counts[job.function.name] -= less
        for waiter in job.waiters:
            self._by_waiter.get(waiter, {}).pop(job, None)
        if self._by_unique.get((job.function.name, job.unique)) is job:
            del self._by_unique[job.function.name, job.unique]

    def gone(self, waiter: Waiter) -> None:
        """A client left: a job that nobody waits for any more, and that was not left here to run, ends."""
        for job in self._by_waiter.pop(waiter, {}):
            del job.waiters[waiter]
            if job.waiters or job.background:
                continue
            if job.task is not None:
                job.task.cancel()
            elif self._room is not None:
                self._room.cancel(job.handle.decode(), "its client left")
            self._forget(job)

    def late_end(self, handle: bytes, end: JobOutcome | None, body: bytes) -> bool:
        """A worker's word on a hand-out that is over: it may be the proof for a job in doubt."""
        id_, _, tail = handle.decode("latin-1").rpartition(".")
        if self._room is None or not id_:
            return False
        reason = "" if end is JobOutcome.SERVED else "its worker said so, late"
        return self._room.deliver_late_result(
            id_.rpartition(".")[0].partition("~")[0], tail, end, body, reason
        )

    # ---- What is asked about jobs ----

    def status(self, handle: bytes) -> bytes:
        """The answer to GET_STATUS."""
        job = self._by_handle.get(handle)
        if job is None:
            return encode(Type.STATUS_RES, handle, b"0", b"0", b"0", b"0")
        return encode(Type.STATUS_RES, handle, b"1", b"%d" % job.running, *job.done)

    def status_unique(self, unique: bytes) -> bytes:
        """The answer to GET_STATUS_UNIQUE."""
        job = next((j for (_, u), j in self._by_unique.items() if u == unique), None)
        if job is None:
            return encode(Type.STATUS_RES_UNIQUE, unique, b"0", b"0", b"0", b"0", b"0")
        waiting = b"%d" % len(job.waiters)
        return encode(Type.STATUS_RES_UNIQUE, unique, b"1", b"%d" % job.running, *job.done, waiting)

    def counts(self, function: str) -> tuple[int, int]:
        """Jobs of a function that have no end yet, and how many of them run."""
        return self._total[function], self._run[function]

    def waiting(self, function: str) -> int:
        """Jobs of a function that no worker runs yet."""
        total, running = self.counts(function)
        return total - running

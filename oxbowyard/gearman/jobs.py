"""The client side: jobs from submitted to their one end, and who waits for each."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import logging
from dataclasses import dataclass, field
from typing import Protocol

from ..core.req import Answer, Kind, Note, NoteKind, Req
from ..core.scheduler import Scheduler
from .config import Function, GearmanConfig
from .packet import Rejected, Type, encode

log = logging.getLogger("oxbowyard.gearman")

HIGH, NORMAL, LOW = 0, 1, 2
SUBMITS = {  # each with its priority, and whether the client waits
    Type.SUBMIT_JOB: (NORMAL, True),
    Type.SUBMIT_JOB_BG: (NORMAL, False),
    Type.SUBMIT_JOB_HIGH: (HIGH, True),
    Type.SUBMIT_JOB_HIGH_BG: (HIGH, False),
    Type.SUBMIT_JOB_LOW: (LOW, True),
    Type.SUBMIT_JOB_LOW_BG: (LOW, False),
}
SAME_AS_WORKLOAD = b"-"  # this unique id stands for the workload itself
NOTE_TYPES = {NoteKind.DATA: Type.WORK_DATA, NoteKind.WARNING: Type.WORK_WARNING}


def _key(unique: bytes) -> str | None:
    """The affinity key; a unique id may be a whole workload, and the decisions remember thousands of keys."""
    return hashlib.blake2b(unique, digest_size=16).hexdigest() if unique else None


class Waiter(Protocol):
    """A client's connection, as its jobs see it."""

    exceptions: bool

    def send(self, data: bytes) -> None:
        """Write to the client."""


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

    def tell(self, data: bytes) -> None:
        """Write to all who wait."""
        for waiter in list(self.waiters):
            waiter.send(data)


class Jobs:
    """All jobs that have no end yet."""

    def __init__(self, config: GearmanConfig, scheduler: Scheduler, name: str) -> None:
        self._config = config
        self._scheduler = scheduler
        self._prefix = f"H:{name}:"
        self._numbers = itertools.count(1)
        self._by_handle: dict[bytes, Job] = {}
        self._by_unique: dict[tuple[str, bytes], Job] = {}
        self._held = 0  # bytes of their workloads
        self.most: dict[str, int] = {}  # set by an operator, for a function
        self.closing = False

    def submit(self, type_: Type, arguments: list[bytes], waiter: Waiter) -> Job:
        """Take a job, or join one with the same unique id, and tell the client its handle."""
        name, unique, workload = arguments
        function = self._config.functions.get(name.decode("utf-8", "replace"))
        if function is None:
            raise Rejected("UNKNOWN_FUNCTION", "no such function here")
        priority, waits = SUBMITS[type_]
        if unique == SAME_AS_WORKLOAD:
            unique = workload
        job = self._by_unique.get((function.name, unique)) if unique else None
        if job is None:
            self._check_room(function, len(workload))
            job = self._start(function, unique, workload, priority, background=not waits)
        job.background |= not waits
        waiter.send(encode(Type.JOB_CREATED, job.handle))
        if waits:
            job.waiters[waiter] = None
        return job

    def _check_room(self, function: Function, size: int) -> None:
        # Waiting jobs are few but may be large: their number alone would not bound the memory.
        if self._held + size > self._config.max_held:
            raise Rejected("JOB_QUEUE_FULL", "the jobs that wait hold all the memory they may")
        if self.closing:
            raise Rejected("SHUTTING_DOWN", "this scheduler takes no more jobs")
        most = self.most.get(function.name, self._config.max_queue)
        if most and self.waiting(function.name) >= most:
            raise Rejected("JOB_QUEUE_FULL", "too many jobs wait for this function")

    def _start(
        self, function: Function, unique: bytes, workload: bytes, priority: int, background: bool
    ) -> Job:
        handle = f"{self._prefix}{next(self._numbers)}"
        job = Job(handle.encode(), function, unique, background, len(workload))
        self._by_handle[job.handle] = job
        self._held += job.size
        if unique:
            self._by_unique[function.name, unique] = job
        req = Req(
            id=handle,
            job_class=function.job_class.name,
            patience=function.job_class.deadline / 1000,
            target=function.name,
            payload=workload,
            key=_key(unique),
            extras={"unique": unique.decode("latin-1"), "priority": str(priority)},
            on_running=lambda running: self._running(job, running),
            on_note=lambda note: self._note(job, note),
        )
        job.task = asyncio.get_running_loop().create_task(self._run(job, req))
        return job

    async def _run(self, job: Job, req: Req) -> None:
        try:
            answer = await self._scheduler.serve(req)
        except asyncio.CancelledError:
            raise
        except Exception:  # whoever waits is told all the same
            log.exception("job %s failed in our own code", req.id)
            answer = Answer(Kind.FAILED, reason="internal fault")
        finally:
            self._forget(job)
        self._finish(job, answer)

    def _finish(self, job: Job, answer: Answer) -> None:
        if answer.kind is Kind.SERVED:
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
        if answer.kind is Kind.REFUSED:  # the protocol has no packet for it: a warning says when to come back
            text = f"refused retry-after={answer.retry_after:.3f}"
            job.tell(encode(Type.WORK_WARNING, job.handle, text.encode()))
        job.tell(encode(Type.WORK_FAIL, job.handle))

    def _running(self, job: Job, running: bool) -> None:
        job.running = running

    def _note(self, job: Job, note: Note) -> None:
        if note.kind is NoteKind.STATUS:
            job.done = f"{note.done:g}".encode(), f"{note.total:g}".encode()
            job.tell(encode(Type.WORK_STATUS, job.handle, *job.done))
        elif note.kind is NoteKind.EXCEPTION:
            for waiter in [w for w in job.waiters if w.exceptions]:
                waiter.send(encode(Type.WORK_EXCEPTION, job.handle, note.body))
        else:
            job.tell(encode(NOTE_TYPES[note.kind], job.handle, note.body))

    def _forget(self, job: Job) -> None:
        if self._by_handle.pop(job.handle, None) is None:  # a client that left has ended it before
            return
        self._held -= job.size
        if self._by_unique.get((job.function.name, job.unique)) is job:
            del self._by_unique[job.function.name, job.unique]

    def gone(self, waiter: Waiter) -> None:
        """A client left: a job that nobody waits for any more, and that was not left here to run, ends."""
        for job in list(self._by_handle.values()):
            if job.waiters.pop(waiter, 0) is None and not job.waiters and not job.background and job.task:
                job.task.cancel()
                self._forget(job)

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
        jobs = [j for j in self._by_handle.values() if j.function.name == function]
        return len(jobs), sum(j.running for j in jobs)

    def waiting(self, function: str) -> int:
        """Jobs of a function that no worker runs yet."""
        total, running = self.counts(function)
        return total - running

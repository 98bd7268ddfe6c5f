"""Owns every waiting job from taken to its one end: carries out what the policy decides.

All calls come from the loop's own thread. A job's payload travels as a `Request`, the cargo of its order;
when the policy releases it, that request goes to the core like any other.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial

from msgspec import structs

from ..core.request import Answer, AnswerKind, AttemptUpdate, Request, RunState
from ..core.scheduler import Scheduler
from ..decision.settings import JobClass, Repeat
from .ledger import Leases, Ledger, Memory, Recalled
from .order import AGED, WAITS, Changed, Code, End, Final, Job, Order, Rejected, Release, State, Wait
from .pace import Room
from .policy import Held, Policy
from .settings import WaitingSettings

log = logging.getLogger("oxbowyard.waiting")

LEASE_BYTES = 8  # of chance: nobody guesses another's lease
LOOK_AGAIN_MS = 50.0  # what the list says of a class's workers is reckoned anew so often: it walks them
WEIGH_EVERY_MS = 1000.0  # mean running times are taken over for the order of release
# An aged job's aim in deadlines. By the decisions' settings a class that earns little for its work may wait
# for a sixth of its aim: so only a wait past its deadline may be refused to it.
PATIENT = 6.0
ENDS = {
    AnswerKind.SERVED: End.SERVED,
    AnswerKind.REJECTED: End.REFUSED,
    AnswerKind.FAILED: End.FAILED,
    AnswerKind.CLIENT_DISCONNECTED: End.CANCELLED,
}


@dataclass(slots=True)
class _Asked:
    """A job that is with the core."""

    id: str  # of the request
    task: asyncio.Task[Answer] | None = None  # none yet: its release waits for the ledger
    at: float = 0.0
    cut: RunState | None = None  # called off, when so much was known of its run
    lapsed: bool = False  # because its worker was silent


@dataclass(slots=True)
class _Known:
    """A class's capacity as of a moment ago."""

    until: float
    workers: int
    slots: float
    shares: tuple[str, ...]  # the classes whose requests take the same slots


@dataclass(slots=True)
class Counts:
    """Since the start, for operators."""

    taken: int = 0
    rejected: int = 0
    released: int = 0
    asked_again: int = 0
    ended: dict[End, int] = field(default_factory=lambda: dict.fromkeys(End, 0))


class WaitingRoom:
    """The waiting jobs of one scheduler."""

    def __init__(
        self,
        settings: WaitingSettings,
        classes: Iterable[JobClass],
        scheduler: Scheduler,
        clock: Callable[[], float],
        name: str = "oxbowyard",
        wall: Callable[[], float] = time.time,
        ledger: Ledger | None = None,
    ) -> None:
        self.settings = settings
        classes = tuple(c for c in classes if not c.name.endswith(AGED))
        self._classes = {c.name: c for c in classes}
        self._scheduler = scheduler
        self._clock = clock
        self._wall = wall
        self._ledger: Ledger = ledger or Memory()
        self._loop = asyncio.get_running_loop()
        self._policy = Policy(settings, {n: c.worth for n, c in self._classes.items()}, self._fleet)
        self._capacity: dict[str, _Known] = {}
        self._asked: dict[str, _Asked] = {}
        self._results: dict[str, tuple[bytes, float]] = {}  # of jobs that the core answered
        self._finals: dict[str, Final] = {}
        self._leases: dict[str, str] = {}  # of jobs that were granted, the last one of each
        self._granted_to: dict[str, str] = {}
        self._said_by: dict[str, str] = {}  # who resolved a job that is about to end
        self._once = frozenset(c.name for c in classes if c.repeat is Repeat.SINGLE_SHOT or c.repeat is
                               Repeat.GUARDED and c.group != "all")  # fmt: skip
        self.adopters: list[Callable[[Request], tuple[Request, Callable[[Final], None]] | None]] = []
        self.recovering = False  # jobs of an earlier run are still read back
        self._on_end: dict[str, Callable[[Final], None]] = {}
        self._watchers: dict[str, list[asyncio.Future[Final | None]]] = {}
        self._watching = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._lease_timer: asyncio.TimerHandle | None = None
        self._unsafe: set[asyncio.Future[None]] = set()  # who waits for the ledger
        self._driving = False
        self._weighed_at = 0.0
        self._idle = asyncio.Event()
        self._idle.set()
        self._ids = f"{name}.{int(wall() * 1000):x}"  # ids of two runs must not be taken for each other
        self._number = 0
        self.reserved = [self._ids + "."]  # beginnings of ids that clients must not choose
        self._stopping = False
        self.counts = Counts()

    # ---- For the fronts ----

    @property
    def run(self) -> str:
        """What tells this run of the program from others that one store knows; empty without a store."""
        return self._ledger.run

    def new_id(self) -> str:
        """An id that no other job has, nor one of an earlier run."""
        self._number += 1
        return f"{self._ids}.{self._number:x}"

    def is_own_id(self, id_: str) -> bool:
        """Whether an id has the form that this run gives: a client must not choose one."""
        return id_.startswith(tuple(self.reserved))

    def hand_in(
        self, jobs: Sequence[tuple[Request, Wait]], on_end: Callable[[Final], None] | None = None
    ) -> list[Job]:
        """Take all or none; raises Rejected. `on_end` is called once for each, not for repeated hand-ins.

        A request's id, class, target, payload, key and the like are its own; its patience is for running, its
        class's deadline at most. Acknowledge after `safe`.
        """
        orders = [self._order(request, wait) for request, wait in jobs]
        now, last = self._clock(), self._policy.last_number
        try:
            self._check_ledger(orders)
            taken = self._policy.hand_in(now, orders)
        except Rejected:
            self.counts.rejected += 1
            raise
        for job, order in zip(taken, orders, strict=True):
            if job.durable and job.number > last:  # one handed in before is in the ledger
                self._ledger.take(job, order)
        if on_end is not None:
            self._on_end.update((j.id, on_end) for j in taken if j.end is None and j.id not in self._on_end)
        self.counts.taken += len(taken)
        self._idle.clear()
        self._drive(now)
        return taken

    def _check_ledger(self, orders: Sequence[Order]) -> None:
        wait = self.settings.full_retry_after_s
        if any(order.durable for order in orders) and (why := self._ledger.refusal()):
            raise Rejected(Code.NOT_KEPT, why, wait)
        if self.recovering:  # a parent that is not here may only not be back yet
            own = {order.id for order in orders}
            for parent in (parent.id for order in orders for parent in order.after):
                if parent not in own and self._policy.find(parent) is None:
                    raise Rejected(Code.RECOVERING, f"{parent} is not known, or not yet", wait)

    async def look_up(self, jobs: Sequence[tuple[Request, Wait]]) -> list[Recalled] | None:
        """What a store knows of a hand-in that memory does not: all, by its keys; None: it is new.

        Raises Rejected for an id that is there, or a key with another content. Call it before `hand_in`.
        """
        own = self._ids + "."
        if not self._ledger.keeps or not any(
            wait.token or not request.id.startswith(own) for request, wait in jobs
        ):
            return None  # ids of this run are new
        orders = [self._order(request, wait) for request, wait in jobs]
        found = await self._ledger.known(orders)
        recalled = []
        for order, known in zip(orders, found, strict=True):
            if known is None or self._policy.find(known.job.id) is not None:  # memory knows better
                continue
            if not known.by_token:
                raise Rejected(Code.DUPLICATE_ID, f"there is a job {order.id}")
            if known.job.print != order.print:
                raise Rejected(Code.CONFLICT, "this idempotency key was used for another job")
            recalled.append(known)
        if recalled and len(recalled) < len(orders):
            raise Rejected(Code.CONFLICT, "some of these were handed in before, and some were not")
        return recalled or None

    async def recall(self, id_: str) -> Recalled | None:
        """A job by its id, from memory or the store."""
        job = self._policy.find(id_)
        if job is not None:
            return Recalled(job, self._finals.get(id_))
        return await self._ledger.recall(id_)

    async def safe(self) -> None:
        """Wait until what was handed in so far is as safe as this scheduler can keep it.

        Raises Rejected if the ledger is lost meanwhile: then nobody knows whether it is kept.
        """
        recorded: asyncio.Future[None] = self._loop.create_future()
        self._unsafe.add(recorded)
        self._ledger.when_safe(lambda: None if recorded.done() else recorded.set_result(None))
        if why := self._ledger.lost():
            self.ledger_lost(why)
        try:
            await recorded
        finally:
            self._unsafe.discard(recorded)

    def ledger_lost(self, why: str) -> None:
        """Nothing more will be recorded: whoever waits for that is told."""
        fault = f"{why}; it is not known whether this is kept: ask, or hand it in again with its key"
        for recorded in self._unsafe:
            if not recorded.done():
                recorded.set_exception(Rejected(Code.NOT_KEPT, fault, self.settings.full_retry_after_s))

    async def serve(self, request: Request, wait: Wait) -> Answer:
        """Hand in one job and wait for its answer; cancelled, it ends the job. Raises Rejected.

        A refusal tells that the job never ran, or may safely run again; see `Answer.run_state`.
        """
        (job,) = self.hand_in([(request, wait)])
        try:
            final = self._finals.get(job.id) or await self._watch(job.id)
        except asyncio.CancelledError:
            if job.id == request.id:  # else it was handed in before, and is another's
                self.cancel(job.id, "its client left")
            raise
        if final is None:
            return Answer(
                AnswerKind.REJECTED, retry_after_s=self.settings.full_retry_after_s, reason="kept for later"
            )
        return final.answer()

    def find(self, id_: str) -> Job | None:
        """A job, until its end is forgotten."""
        return self._policy.find(id_)

    def final(self, id_: str) -> Final | None:
        """How a job ended; None while it has not, or once that is forgotten."""
        return self._finals.get(id_)

    def ahead(self, job: Job) -> int:
        """How many of its class go before it, as things stand."""
        return self._policy.ahead(job)

    def page(self, after: int, most: int, fits: Callable[[Job], bool]) -> tuple[list[Job], int | None]:
        """A page of the jobs that are not forgotten, in the order taken, and where the next one begins."""
        return self._policy.page(after, min(most, self.settings.max_page), fits)

    async def wait(self, id_: str, within: float) -> Final | None:
        """Wait some seconds for a job's end; None if there is none by then, or if it is unknown.

        Raises Rejected if as many wait as may.
        """
        if (final := self._finals.get(id_)) is not None or self.find(id_) is None or within <= 0:
            return final
        if self._watching >= self.settings.max_watchers:
            raise Rejected(
                Code.FULL, f"{self.settings.max_watchers} wait already", self.settings.full_retry_after_s
            )
        self._watching += 1
        try:
            async with asyncio.timeout(min(within, self.settings.max_poll_s)):
                return await self._watch(id_)
        except TimeoutError:
            return None
        finally:
            self._watching -= 1

    async def _watch(self, id_: str) -> Final | None:
        """Until the job ends, or the program does and the job is kept: None then."""
        ended: asyncio.Future[Final | None] = self._loop.create_future()
        self._watchers.setdefault(id_, []).append(ended)
        try:
            return await ended
        finally:
            self._unwatch(id_, ended)

    def _unwatch(self, id_: str, ended: asyncio.Future[Final | None]) -> None:
        if (watchers := self._watchers.get(id_)) is not None and ended in watchers:
            watchers.remove(ended)
            if not watchers:
                del self._watchers[id_]

    def cancel(self, id_: str, reason: str = "cancelled by its client") -> Job | None:
        """End a job. One that runs is called off: it may have run. None if it is unknown or has ended."""
        job, now = self._policy.find(id_), self._clock()
        if job is None or job.end is not None:
            return None
        if job.state in WAITS:
            self._policy.cancel(now, id_, reason)
            self._drive(now)
        elif (asked := self._asked.setdefault(id_, _Asked(id_))).cut is None:
            asked.cut = self._scheduler.run_state(asked.id)
            if asked.task is not None:
                asked.task.cancel()
        return job

    # ---- Proof for what is in doubt ----

    def resolve(self, id_: str, by: str, end: End | None, body: bytes = b"", reason: str = "") -> bool:
        """An operator's word on a job in doubt: how it ended, or None if it never began. False: no doubt.

        Raises ValueError for an end that nobody can know of, or a word without a name.
        """
        if not by or end not in (None, End.SERVED, End.FAILED):
            raise ValueError("a word on a job in doubt has a name, and is served, failed or never began")
        return self._prove(
            id_, by, end, RunState.HAS_RUN if end is End.SERVED else RunState.MAY_HAVE_RUN, body, reason
        )

    def deliver(self, id_: str, lease: str, end: End | None, body: bytes = b"", reason: str = "") -> bool:
        """A worker's late word, by the lease it had: how the job ended, or None if it never began it.

        False if the job is in doubt no more, or the lease is not its last one: nothing has changed then.
        """
        if not lease or not secrets.compare_digest(self._leases.get(id_, "").encode(), lease.encode()):
            return False
        return self._prove(
            id_, "", end, RunState.HAS_RUN if end is End.SERVED else RunState.MAY_HAVE_RUN, body, reason
        )

    def _prove(self, id_: str, by: str, end: End | None, ran: RunState, body: bytes, reason: str) -> bool:
        job, now = self._policy.find(id_), self._clock()
        if job is None or job.state is not State.DOUBT:
            return False
        how = end.value if end else "never began"
        log.info("job %s was in doubt: %s, by %s", id_, how, by or "its worker")
        if end is None:
            self._policy.never_began(now, job)
        else:
            self._results[id_] = body, 0.0
            self._said_by[id_] = by
            self._policy.resolve(now, job, end, ran, reason, len(body))
        self._drive(now)
        return True

    # ---- Back from a store ----

    def number_from(self, number: int) -> None:
        """Numbers up to this one belong to jobs of earlier runs."""
        self._policy.number_from(number)

    def restore(
        self, order: Order, number: int, asks: int, lease: str, doubt: str = "", orphaned: str = ""
    ) -> None:
        """A job of an earlier run that has no end; `doubt` says why it may have run, `orphaned` what its
        parents have come to."""
        now = self._clock()
        if self._policy.find(order.id) is not None:
            return
        self._idle.clear()
        order = self._adopted(order)
        if doubt:
            self._leases[order.id] = lease
            self._policy.restore_doubt(now, order, number, asks, doubt)
        else:
            self._policy.restore(now, order, number, asks, orphaned)
        self._drive(now)

    def _adopted(self, order: Order) -> Order:
        """The front that a job came by may want to know of it again."""
        for adopt in self.adopters:
            assert isinstance(order.cargo, Request)
            if (found := adopt(order.cargo)) is not None:
                request, self._on_end[order.id] = found
                return replace(order, cargo=request)
        return order

    # ---- Stopping ----

    def wind_down(self) -> None:
        """Take and release no more. All that wait end as never run, unless the ledger keeps them."""
        now, self._stopping = self._clock(), True
        self._policy.stop(now, keep=self._ledger.keeps)
        if self._ledger.keeps:
            for id_ in list(self._watchers):
                self._tell_as_it_stands(id_)
        self._drive(now)

    def _tell_as_it_stands(self, id_: str) -> None:
        """Whoever waits for a job's end is told that there is none yet: it may be long in coming."""
        for ended in self._watchers.get(id_, ()):
            if not ended.done():
                ended.set_result(None)

    async def idle(self) -> None:
        """Wait until every job has ended, but for those that the ledger keeps."""
        await self._idle.wait()

    # ---- What the policy wants ----

    def _order(self, request: Request, wait: Wait) -> Order:
        patience = self.settings.default_patience_s if wait.patience is None else wait.patience
        delay = wait.delay
        if wait.not_before is not None:
            # By the system's clock as it is now; what that clock does later moves no job.
            delay = max(delay, wait.not_before - self._wall())
        return Order(
            request.id, request.job_class, patience * 1000, len(request.payload), wait.after, delay * 1000,
            wait.quiet, wait.lift, wait.tenant, wait.token, wait.print, wait.durable and self._ledger.keeps,
            request,
        )  # fmt: skip

    def _drive(self, now: float) -> None:
        """Carry out what the policy has decided, and set the next tick."""
        if self._driving:  # an end's callback hands in or cancels: the outer call goes on with it
            return
        self._driving = True
        try:
            while actions := self._policy.take():
                for action in actions:
                    self._carry_out(action)
        finally:
            self._driving = False
        if self._is_idle():
            self._idle.set()
        self._set_timer(self._policy.next_tick(now), now)

    def _is_idle(self) -> bool:
        """Nothing is owed any more but to jobs that a store keeps."""
        if not self._policy.held.jobs:
            return True
        at_work = any(asked.task is not None for asked in self._asked.values())
        return self._ledger.keeps and self._stopping and not at_work

    def _carry_out(self, action: Changed | Release) -> None:
        try:
            if isinstance(action, Release):
                self._asked.setdefault(action.job.id, _Asked(action.job.id))  # it may be called off already
                ask = partial(self._ask, action.job, action.job_class)
                if action.job.durable:
                    self._ledger.when_safe(ask)
                else:
                    ask()
                return
            final = self._final(action.job) if action.state is State.ENDED else None
            if action.job.durable:
                self._ledger.record(action, final)
            if final is not None:  # its client is told when no crash can make another end of it
                if action.job.durable:
                    self._ledger.when_safe(partial(self._conclude, action.job, final))
                else:
                    self._conclude(action.job, final)
            elif action.state is State.DOUBT:
                self._tell_as_it_stands(action.job.id)
            elif action.state is State.FORGOTTEN:
                self._finals.pop(action.job.id, None)
        except Exception:  # one client's fault must not cost the others their ends
            log.exception("could not carry out %s of job %s", type(action).__name__, action.job.id)

    def _set_timer(self, at: float | None, now: float) -> None:
        if self._timer is not None:
            if at is not None and self._timer_at <= at:
                return  # it goes off earlier and looks again
            self._timer.cancel()
            self._timer = None
        if at is not None:
            self._timer_at = at
            self._timer = self._loop.call_later(max(at - now, 0.0) / 1000, self._tick)

    def _tick(self) -> None:
        self._timer = None
        now = self._clock()
        if now - self._weighed_at >= WEIGH_EVERY_MS:
            self._weighed_at = now
            for name in self._classes:
                self._policy.lift.learn(name, self._scheduler.measure.mean_run_s(name))
        self._policy.tick(now)
        self._drive(now)

    def _fleet(self, job_class: str) -> Room:
        now = self._clock()
        known = self._capacity.get(job_class)
        if known is None or now >= known.until:
            known = self._capacity[job_class] = self._look(job_class, now)
        since = self._scheduler.seconds_since_rejection() * 1000
        return Room(known.workers, known.slots, self._scheduler.open_request_count_of(known.shares), since)

    def _look(self, job_class: str, now: float) -> _Known:
        capacity = self._scheduler.capacity(job_class)
        if capacity.private:  # which of them run what is told for each class
            names: Iterable[str] = (job_class,)
        else:
            kind = self._classes[job_class].kind
            names = (n for n, c in self._classes.items() if c.kind == kind)
        shares = tuple(n for name in names for n in (name, name + AGED))
        return _Known(now + LOOK_AGAIN_MS, capacity.workers, capacity.slots, shares)

    # ---- Asked ----

    def _ask(self, job: Job, job_class: str) -> None:
        asked, request = self._asked[job.id], job.cargo
        assert isinstance(request, Request)
        if self._stopping and job.durable and asked.cut is None:  # the next run of the program asks it
            del self._asked[job.id]
            self._drive(self._clock())
            return
        asked.at = self._clock()
        self.counts.released += 1
        self.counts.asked_again += job.asks > 1
        own = self._classes[job.job_class]
        if job.asks > 1:  # a new request, as from a client that comes back: it surely never ran
            asked.id = f"{job.id}~{self._ledger.run}{job.asks}"
        once = job.durable and job.job_class in self._once
        lease = secrets.token_hex(LEASE_BYTES) if once else ""
        request = replace(
            request,
            id=asked.id,
            job_class=job_class,
            backend_class=job.job_class if job_class != job.job_class else "",
            timeout_s=min(request.timeout_s, own.deadline / 1000),
            is_retry=job.asks > 1,
            lease=lease,
            record_lease=partial(self._grant, job, lease) if once else None,
            on_running=partial(self._running, job, request.on_running),
            on_update=partial(self._noted, job, request.on_update),
        )
        asked.task = self._loop.create_task(self._scheduler.serve(request))
        asked.task.add_done_callback(partial(self._answered, job))
        if asked.cut is not None:  # called off while the ledger was written
            asked.task.cancel()

    def _grant(self, job: Job, lease: str, backend: str, then: Callable[[], None]) -> None:
        """A backend is about to have what must not run twice: that goes on record first."""
        self._leases[job.id], self._granted_to[job.id] = lease, backend
        self._hold_lease(job)
        self._ledger.grant(job, backend, lease)
        self._ledger.when_safe(then)

    def _running(self, job: Job, tell: Callable[[bool], None] | None, running: bool) -> None:
        if tell is not None:
            tell(running)
        asked = self._asked.get(job.id)
        if running and asked is not None:
            now = self._clock()
            if job.durable:
                self._hold_lease(job)
            self._policy.began(now, job, now - asked.at)
            self._drive(now)

    def _noted(self, job: Job, tell: Callable[[AttemptUpdate], None] | None, note: AttemptUpdate) -> None:
        if (leases := self._ledger.leases) is not None:
            leases.heard(self._clock(), job.id)
        if tell is not None:
            tell(note)

    def _hold_lease(self, job: Job) -> None:
        if (leases := self._ledger.leases) is not None:
            leases.begin(self._clock(), job.id)
            self._watch_leases(leases)

    def _watch_leases(self, leases: Leases) -> None:
        if self._lease_timer is None and (due := leases.next_due()) is not None:
            wait = max(due - self._clock(), 0.0) / 1000
            self._lease_timer = self._loop.call_later(wait, self._look_at_leases, leases)

    def _look_at_leases(self, leases: Leases) -> None:
        self._lease_timer = None
        for id_ in leases.lapsed(self._clock()):
            asked = self._asked.get(id_)
            if asked is not None and asked.cut is None and asked.task is not None:
                log.warning("job %s: nothing was heard of its worker, its lease is over", id_)
                asked.cut, asked.lapsed = self._scheduler.run_state(asked.id), True
                asked.task.cancel()
        self._watch_leases(leases)

    def _lapsed(self, job: Job, ran: RunState, now: float) -> None:
        """A silent worker was given up: what may not run twice is in doubt, all else is asked again."""
        if ran is not RunState.NEVER_RAN and job.job_class in self._once:
            self._doubt(job, "its worker was silent for longer than its lease", now)
        else:
            self._policy.refused(now, job, 0.0, may_again=True)

    def _answered(self, job: Job, task: asyncio.Task[Answer]) -> None:
        asked, now = self._asked.pop(job.id), self._clock()
        if self._ledger.leases is not None:
            self._ledger.leases.end(job.id)
        if task.cancelled() and asked.lapsed:
            self._lapsed(job, asked.cut or RunState.MAY_BE_RUNNING, now)
        elif task.cancelled():
            ran = asked.cut if asked.cut is not None else RunState.MAY_BE_RUNNING
            self._policy.ended(now, job, End.CANCELLED, ran, "called off by its client")
        elif fault := task.exception():
            log.error("job %s failed in our own code: %r", job.id, fault, exc_info=fault)
            self._policy.ended(now, job, End.FAILED, RunState.MAY_BE_RUNNING, "internal fault")
        else:
            self._take(job, task.result(), now)
        self._drive(now)

    def _take(self, job: Job, answer: Answer, now: float) -> None:
        if answer.kind is AnswerKind.REJECTED and answer.run_state is RunState.NEVER_RAN:
            again = self.settings.of(job.job_class).queueing
            self._results[job.id] = b"", answer.retry_after_s  # for the case that this was its end
            self._policy.refused(now, job, answer.retry_after_s * 1000, again)
            if job.end is None:
                del self._results[job.id]
            return
        once = job.durable and job.job_class in self._once
        if once and answer.run_state is RunState.MAY_BE_RUNNING and answer.kind is AnswerKind.FAILED:
            self._doubt(job, answer.reason, now)
            return
        self._results[job.id] = answer.body, answer.retry_after_s
        self._policy.ended(now, job, ENDS[answer.kind], answer.run_state, answer.reason, len(answer.body))

    def _final(self, job: Job) -> Final:
        assert job.end is not None
        body, retry_after = self._results.pop(job.id, (b"", 0.0))
        if job.end in (End.EXPIRED, End.STOPPED):
            retry_after = self.settings.full_retry_after_s
        return Final(job.end, job.ran, body, job.reason, retry_after, self._said_by.pop(job.id, ""))

    def _doubt(self, job: Job, why: str, now: float) -> None:
        """Nobody knows how a job ended; the words are for a desk that has to find out."""
        where = self._granted_to.get(job.id, "a worker")
        reason = f"{why}; it was with {where}, and its end is not known: look whether it was done"
        log.warning("job %s (%s) is in doubt: %s", job.id, job.job_class, reason)
        self._policy.doubt(now, job, reason)

    def _conclude(self, job: Job, final: Final) -> None:
        """A job has its one end: tell whoever waits for it."""
        if job.state is not State.FORGOTTEN:
            self._finals[job.id] = final
        self._leases.pop(job.id, None)
        self._granted_to.pop(job.id, None)
        self.counts.ended[final.end] += 1
        if final.end is not End.SERVED:
            log.debug("job %s (%s) ended %s: %s", job.id, job.job_class, final.end.value, job.reason)
        for ended in self._watchers.pop(job.id, ()):
            if not ended.done():
                ended.set_result(final)
        if (on_end := self._on_end.pop(job.id, None)) is not None:
            on_end(final)

    @property
    def held(self) -> Held:
        """What is held now."""
        return self._policy.held

    def summary(self) -> str:
        """What waits, by state, and the ends so far, in a line."""
        held = self._policy.held
        states = ", ".join(f"{s.value} {n}" for s, n in held.by_state.items() if n and s is not State.ENDED)
        ends = ", ".join(f"{end.value} {n}" for end, n in self.counts.ended.items() if n)
        counts = self.counts
        return (
            f"waiting {held.jobs} ({states or 'none'}), {held.bytes} bytes, asked {counts.released} times, "
            f"again {counts.asked_again}, not taken {counts.rejected}, ends: {ends or 'none'}"
        )


def with_aged(
    classes: Iterable[JobClass], settings: WaitingSettings, times: float = PATIENT
) -> tuple[JobClass, ...]:
    """The classes, and for each that queues one more in which its aged jobs are asked.

    It differs in its aim, so many times the deadline: the decisions refuse what would wait for too large a
    share of its aim, and a job that has waited so long before is to queue at a worker and have its turn.
    """
    named = tuple(classes)
    queueing = (c for c in named if settings.of(c.name).queueing)
    return named + tuple(replace(c, name=c.name + AGED, aim=max(c.aim, times * c.deadline)) for c in queueing)


def bounded(settings: WaitingSettings, requests: int) -> WaitingSettings:
    """The settings with a window that leaves half of the open requests to clients who do not wait."""
    most = max(min(settings.max_window, requests // 2), 1)
    return structs.replace(settings, max_window=most, first_window=min(settings.first_window, most))

"""Every decision about waiting jobs: what is taken, when each may be asked, and how it ends unasked.

No I/O and no clock: each call has the time, in ms on a clock that only advances. The caller drains `take()`
after each call, in order, and calls `tick` at `next_tick`. A call does a slice of work at most, so that
10,000 jobs that end together don't hold up the caller; while more is left, `next_tick` is now.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import islice

from sortedcontainers import SortedList

from ..core.request import RunState
from .kin import in_turn, met
from .lines import Entry, Lift, Lines, due
from .order import AGED, Action, Changed, Code, End, Job, Order, Rejected, Release, State, When
from .pace import LOOK_MS, Fleet, Pace
from .settings import WaitingSettings

SLICE = 200  # steps of work in one tick: some 3 ms
RELEASES = 16  # jobs released in one call: each costs the core some 0.1 ms in the loop's next turn
FEW = 4  # in any other call, for what it has set free itself: many of these may come in one turn of a loop
LOOKED_AT = 5_000  # jobs looked at for one page of a listing: some 2 ms


@dataclass(slots=True)
class Held:
    """What is held now, for the limits and for operators."""

    jobs: int = 0  # taken and not ended
    bytes: int = 0
    ended: int = 0
    ended_bytes: int = 0
    by_class: Counter[str] = field(default_factory=Counter)
    by_tenant: Counter[str] = field(default_factory=Counter)
    by_state: Counter[State] = field(default_factory=Counter)


@dataclass(slots=True, eq=False)
class _Settled:
    """A parent that has ended, whose children are told slice by slice."""

    parent: Job
    children: Iterator[tuple[Job, When]]


class Policy:
    """All waiting jobs of one scheduler."""

    def __init__(self, settings: WaitingSettings, worth: Mapping[str, float], fleet: Fleet) -> None:
        self._settings = settings
        self._classes = frozenset(worth)
        self.lift = Lift(worth)
        self.pace = Pace(settings, fleet)
        self._age_limit = settings.age_limit_s * 1000
        self._quiet_limit = settings.quiet_limit_s * 1000
        self._jobs: dict[str, Job] = {}
        self._tokens: dict[tuple[str, str], Job] = {}
        self._timers: SortedList[tuple[float, int, Job]] = SortedList()
        self._ready, self._quiet = Lines(), Lines()
        self._settling: deque[_Settled] = deque()
        self._kept: deque[tuple[float, Job, int]] = deque()  # ended ones: when forgotten, bytes of the result
        self._leaving: Iterator[Job] | None = None
        self._stopping = False
        self._more = False  # the last call broke off
        self._number = 0
        self._out: list[Action] = []
        self.held = Held()

    # ---- What the caller asks ----

    def take(self) -> list[Action]:
        """What is to be done since the last call, in order."""
        out, self._out = self._out, []
        return out

    def find(self, id_: str) -> Job | None:
        """A job that is not forgotten."""
        return self._jobs.get(id_)

    def page(self, after: int, most: int, fits: Callable[[Job], bool]) -> tuple[list[Job], int | None]:
        """Jobs taken after the one with that number, and the number to go on from; None: that was all.

        A page may be short, or empty, with more to come: only so many are looked at in one call.
        """
        everyone = list(self._jobs.values())  # by number; a copy of references, some ms for a million
        start = bisect_right(everyone, after, key=lambda job: job.number)
        found: list[Job] = []
        for job in islice(everyone, start, start + LOOKED_AT):
            if fits(job):
                found.append(job)
            if len(found) == most or job is everyone[-1]:
                return found, None if job is everyone[-1] else job.number
        looked = start + LOOKED_AT
        return found, everyone[looked - 1].number if looked <= len(everyone) else None

    def ahead(self, job: Job) -> int:
        """How many of its class go before a ready job."""
        lines = {State.READY: self._ready, State.QUIET: self._quiet}.get(job.state)
        return lines.ahead(job) if lines else 0

    def next_tick(self, now: float) -> float | None:
        """When to call `tick`; None: no need."""
        if self._more or self._settling or self._leaving is not None:
            return now
        times = []
        if self._timers:
            times.append(self._timers[0][0])
        if self._ready or self._quiet:
            times.append(now + LOOK_MS)
        if self._kept:
            times.append(self._kept[0][0])
        return max(min(times), now) if times else None

    # ---- Handing in ----

    def hand_in(self, now: float, orders: Sequence[Order]) -> list[Job]:
        """Take all of them or none; a known idempotency key stands for its job. Raises Rejected."""
        known = [self._repeated(order) for order in orders]
        if any(known):
            if not all(known):
                raise Rejected(Code.CONFLICT, "some of these were handed in before, and some were not")
            return [job for job in known if job is not None]
        self._check(orders)
        taken = {}
        for order, depth in in_turn(orders, self._jobs.get, self._settings):
            taken[order.id] = self._enter(now, order, depth)
        self._work_on(now, FEW)
        return [taken[order.id] for order in orders]

    def _repeated(self, order: Order) -> Job | None:
        job = self._tokens.get((order.tenant, order.token)) if order.token else None
        if job is not None and job.print != order.print:
            raise Rejected(Code.CONFLICT, "this idempotency key was used for another job")
        return job

    def _check(self, orders: Sequence[Order]) -> None:
        s = self._settings
        if self._stopping:
            raise self._full(Code.STOPPING, "this scheduler takes no more jobs")
        if len(orders) > s.max_batch:
            raise Rejected(Code.BATCH_TOO_LARGE, f"a hand-in holds {s.max_batch} jobs at most")
        ids: set[str] = set()
        for order in orders:
            self._check_one(order)
            if order.id in self._jobs or order.id in ids:
                raise Rejected(Code.DUPLICATE_ID, f"there is a job {order.id}")
            ids.add(order.id)
        self._check_room(orders)

    def _check_one(self, order: Order) -> None:
        s = self._settings
        if order.job_class not in self._classes:
            raise Rejected(Code.UNKNOWN_CLASS, f"no class {order.job_class}")
        if order.size > s.max_job_bytes:
            raise Rejected(Code.TOO_LARGE, f"a payload holds {s.max_job_bytes} bytes at most")
        if not 0 < order.patience <= s.max_patience_s * 1000:
            raise Rejected(Code.BAD_PATIENCE, f"the patience is over 0 and at most {s.max_patience_s:g} s")
        if not 0 <= order.delay <= s.max_delay_s * 1000:
            raise Rejected(Code.BAD_TIME, f"a job is due within {s.max_delay_s:g} s at most")

    def _check_room(self, orders: Sequence[Order]) -> None:
        s, held = self._settings, self.held
        if held.jobs + len(orders) > s.max_jobs:
            raise self._full(Code.FULL, f"{s.max_jobs} jobs wait already")
        if held.bytes + sum(order.size for order in orders) > s.max_held_bytes:
            raise self._full(Code.BYTES_FULL, "the payloads of those that wait hold all the memory they may")
        for name, more in _counted(order.job_class for order in orders).items():
            most = s.of(name).max_jobs or s.max_jobs_per_class
            if held.by_class[name] + more > most:
                raise self._full(Code.CLASS_FULL, f"{most} jobs of class {name} wait already")
        for name, more in _counted(order.tenant for order in orders).items():
            if name and held.by_tenant[name] + more > s.max_jobs_per_tenant:
                raise self._full(Code.TENANT_FULL, f"{s.max_jobs_per_tenant} jobs of {name} wait already")

    def _full(self, code: Code, text: str) -> Rejected:
        return Rejected(code, text, self._settings.full_retry_after_s)

    def _enter(self, now: float, order: Order, depth: int) -> Job:
        self._number += 1
        job = self._add(now, order, self._number, depth)
        if job.missing:
            self._set_timer(job, job.expiry)
        else:
            self._free(job, now)
        return job

    def _add(self, now: float, order: Order, number: int, depth: int) -> Job:
        quiet = order.quiet or self._settings.of(order.job_class).quiet
        job = Job(
            order.id, order.job_class, order.tenant, order.size, number, now, now + order.patience,
            now + order.delay if order.delay else 0.0, State.HELD, quiet, order.lift, order.token,
            order.print, order.cargo, depth, order.durable,
        )  # fmt: skip
        for parent in order.after:
            known = self._jobs.get(parent.id)
            if known is not None and known.end is None:
                if known.children is None:
                    known.children = []
                known.children.append((job, parent.when))
                job.missing += 1
        self._jobs[job.id] = job
        if job.token:
            self._tokens[job.tenant, job.token] = job
        held = self.held
        held.jobs += 1
        held.bytes += job.size
        held.by_class[job.job_class] += 1
        held.by_state[State.HELD] += 1
        if job.tenant:
            held.by_tenant[job.tenant] += 1
        self._out.append(Changed(job, State.HELD))
        return job

    # ---- Back from a store ----

    @property
    def last_number(self) -> int:
        """Of the job that was taken last."""
        return self._number

    def number_from(self, number: int) -> None:
        """Jobs that come have higher numbers than those that a store knows."""
        self._number = max(self._number, number)

    def restore(self, now: float, order: Order, number: int, asks: int, orphaned: str = "") -> Job:
        """A job that never began, by the patience and delay that are left to it. Its open parents are here;
        `orphaned` says that another one ended otherwise than asked.

        No limit is looked at: it was taken. With no patience left it ends as expired.
        """
        job = self._add(now, order, number, 0)
        job.asks = asks
        if orphaned:
            self._end(job, now, End.ORPHANED, orphaned)
        elif job.expiry <= now:
            self._end(job, now, End.EXPIRED, "its patience for waiting was over before the restart")
        elif job.missing:
            self._set_timer(job, job.expiry)
        else:
            self._free(job, now)
        return job

    def restore_doubt(self, now: float, order: Order, number: int, asks: int, reason: str) -> Job:
        """A job that may have run, and whose end nobody told."""
        job = self._add(now, order, number, 0)
        job.asks = asks
        self._to_doubt(job, reason)
        return job

    # ---- From state to state ----

    def _to(self, job: Job, state: State) -> None:
        held = self.held.by_state
        held[job.state] -= 1
        held[state] += 1
        job.state = state
        self._out.append(Changed(job, state))

    def _set_timer(self, job: Job, at: float) -> None:
        if job.timer >= 0:
            self._timers.remove((job.timer, job.number, job))
        job.timer = at
        if at >= 0:
            self._timers.add((at, job.number, job))

    def _free(self, job: Job, now: float) -> None:
        """Nothing it named holds it any more but perhaps its time."""
        job.depth = 0
        if job.not_before > now:
            self._to(job, State.TIMED)
            self._set_timer(job, min(job.not_before, job.expiry))
        else:
            self._get_ready(job, now)

    def _get_ready(self, job: Job, now: float) -> None:
        if job.ready_at < 0:  # one that was refused, or never got quiet, keeps the place that it has
            job.ready_at = now
            if job.quiet:
                job.due = max(min(now + self._quiet_limit, job.expiry - self._age_limit), now)
            else:
                job.due = due(job, self.lift.of(job), self._age_limit)
        if job.quiet and job.due > now:
            self._to(job, State.QUIET)
            self._quiet.put(job)
            self._set_timer(job, min(job.due, job.expiry))
        else:
            self._to(job, State.READY)
            self._ready.put(job)
            self._set_timer(job, job.expiry)

    def _withdraw(self, job: Job) -> None:
        """Out of whatever line it stands in."""
        if job.state is State.READY:
            self._ready.drop(job)
        elif job.state is State.QUIET:
            self._quiet.drop(job)
        self._set_timer(job, -1.0)

    def _due(self, job: Job, now: float) -> None:
        """A job's timer went off."""
        job.timer = -1.0
        if now >= job.expiry:
            self._end(job, now, End.EXPIRED, "its patience for waiting is over")
        else:
            if job.state is State.QUIET:  # it never got quiet: from now on it waits like others
                self._quiet.drop(job)
            self._get_ready(job, now)

    # ---- Ends ----

    def cancel(self, now: float, id_: str, reason: str = "cancelled by its client") -> Job | None:
        """End a job that waits. One that is asked is for the caller to call off: None then, or if unknown."""
        job = self._jobs.get(id_)
        if job is None or not job.waits:
            return None
        self._end(job, now, End.CANCELLED, reason)
        self._work_on(now, FEW)
        return job

    def stop(self, now: float, keep: bool = False) -> None:
        """Take and release no more; all that wait end, slice by slice, unless they are to be kept.

        What is asked goes on to its answer.
        """
        self._stopping = True
        everyone = list(self._jobs.values())
        self._leaving = iter([job for job in everyone if not (keep and job.durable)])
        self._work_on(now, FEW)

    def began(self, now: float, job: Job, delay: float) -> None:
        """A backend started a released job, so many ms after it was asked."""
        if job.state is State.ASKED:
            self._to(job, State.STARTED)
        self.pace.began(job.job_class, delay, now)

    def refused(self, now: float, job: Job, told: float, may_again: bool) -> None:
        """The decisions refused a released job, which surely never ran; `told` in ms is when to come back."""
        wait = self.pace.refused(job.job_class, now, told)
        self.pace.window(job.job_class).out -= 1
        if not may_again or self._stopping or now + wait >= job.expiry:
            self._end(job, now, End.REFUSED, "refused")
        else:
            # From now on it stands among those that became ready now: each passes another once a time limit.
            job.due = max(job.due, now)
            self._to(job, State.TIMED)
            self._set_timer(job, min(now + wait, job.expiry))
        self._work_on(now, FEW)

    def ended(self, now: float, job: Job, end: End, ran: RunState, reason: str = "", size: int = 0) -> None:
        """A released job has its answer; `size` are the bytes of its result."""
        window = self.pace.window(job.job_class)
        if end is End.SERVED and job.state is State.ASKED:  # its start was not told
            window.went_well()
        window.out -= 1
        self._end(job, now, end, reason, ran, size)
        self._work_on(now, FEW)

    def doubt(self, now: float, job: Job, reason: str) -> None:
        """A released job may have run, and its end is not known: it waits for proof, and its children do."""
        self.pace.window(job.job_class).out -= 1
        self._to_doubt(job, reason)
        self._work_on(now, FEW)

    def _to_doubt(self, job: Job, reason: str) -> None:
        job.ran, job.reason = RunState.MAY_BE_RUNNING, reason
        self._to(job, State.DOUBT)

    def resolve(self, now: float, job: Job, end: End, ran: RunState, reason: str, size: int = 0) -> bool:
        """Proof of how a job in doubt ended; False if it is in doubt no more."""
        if job.state is not State.DOUBT:
            return False
        self._end(job, now, end, reason, ran, size)
        self._work_on(now, FEW)
        return True

    def never_began(self, now: float, job: Job) -> bool:
        """Proof that a job in doubt never began: it goes on within the patience that is left to it."""
        if job.state is not State.DOUBT:
            return False
        job.ran, job.reason = RunState.NEVER_RAN, ""
        if self._stopping or job.expiry <= now:
            self._end(job, now, End.EXPIRED, "it never ran, and its patience for waiting is over")
        else:
            self._free(job, now)
        self._work_on(now, FEW)
        return True

    def _end(
        self, job: Job, now: float, end: End, reason: str, ran: RunState = RunState.NEVER_RAN, size: int = 0
    ) -> None:
        self._withdraw(job)
        job.end, job.ran, job.reason, job.cargo = end, ran, reason, None
        held = self.held
        held.jobs -= 1
        held.bytes -= job.size
        held.by_class[job.job_class] -= 1
        if job.tenant:
            held.by_tenant[job.tenant] -= 1
            if not held.by_tenant[job.tenant]:  # tenants come and go
                del held.by_tenant[job.tenant]
        held.ended += 1
        held.ended_bytes += size
        self._to(job, State.ENDED)
        self._kept.append((now + self._settings.keep_ended_s * 1000, job, size))
        if job.children:
            self._settling.append(_Settled(job, iter(job.children)))
            job.children = None

    def _settle(self, now: float, steps: int) -> int:
        """Tell the children of ended parents; returns the steps that are left."""
        while steps > 0 and self._settling:
            settled = self._settling[0]
            parent = settled.parent
            assert parent.end is not None
            for child, when in settled.children:
                steps -= 1
                if child.end is None:
                    self._told(child, parent, met(parent.end, parent.ran, when), now)
                if steps <= 0:
                    break
            else:
                self._settling.popleft()
        return steps

    def _told(self, child: Job, parent: Job, is_met: bool, now: float) -> None:
        assert parent.end is not None
        if not is_met:
            doubt = ", it may still run" if parent.ran is RunState.MAY_BE_RUNNING else ""
            self._end(child, now, End.ORPHANED, f"{parent.id} ended: {parent.end.value}{doubt}")
            return
        child.missing -= 1
        if not child.missing:
            self._free(child, now)

    def _forget(self, now: float, steps: int) -> int:
        s, held = self._settings, self.held
        while steps > 0 and self._kept:
            at, job, size = self._kept[0]
            if at > now and held.ended <= s.max_ended and held.ended_bytes <= s.max_ended_bytes:
                break
            self._kept.popleft()
            steps -= 1
            held.ended -= 1
            held.ended_bytes -= size
            self._to(job, State.FORGOTTEN)
            held.by_state[State.FORGOTTEN] -= 1
            del self._jobs[job.id]
            if job.token:
                self._tokens.pop((job.tenant, job.token), None)
        return steps

    # ---- Time ----

    def tick(self, now: float) -> None:
        """Do a slice of what is due."""
        self._work_on(now, SLICE)

    def _work_on(self, now: float, steps: int) -> None:
        steps = self._leave(now, steps)
        steps = self._settle(now, steps)
        while steps > 0 and self._timers and self._timers[0][0] <= now:
            self._due(self._timers.pop(0)[2], now)
            steps -= 1
        steps = self._settle(now, steps)
        steps = self._forget(now, steps)
        if not self._stopping:
            steps = self._release(now, min(steps, RELEASES))
        self._more = steps <= 0

    def _leave(self, now: float, steps: int) -> int:
        while steps > 0 and self._leaving is not None:
            job = next(self._leaving, None)
            steps -= 1
            if job is None:
                self._leaving = None
            elif job.waits:
                self._end(job, now, End.STOPPED, "this scheduler stops")
        return steps

    def _release(self, now: float, steps: int) -> int:
        while steps > 0 and (job := self._next(now)) is not None:
            steps -= 1
            (self._quiet if job.state is State.QUIET else self._ready).drop(job)
            self._set_timer(job, -1.0)
            job.asks += 1
            self.pace.window(job.job_class).out += 1
            aged = job.quiet or now - job.ready_at >= self._age_limit
            aged = aged and job.state is State.READY and self._settings.of(job.job_class).queueing
            self._to(job, State.ASKED)
            self._out.append(Release(job, job.job_class + AGED if aged else job.job_class))
        return steps

    def _next(self, now: float) -> Job | None:
        """Whose turn it is: the earliest due that may go, else one that is overdue, else a quiet one."""
        pace = self.pace
        if self._ready:
            heads = sorted(self._ready.heads())
            if (job := _first(heads, pace.may_ask, now)) is not None:
                return job
            overdue = [head for head in heads if head[0] + self._age_limit <= now]
            if overdue and (job := _first(overdue, pace.may_ask_aged, now)) is not None:
                pace.spend_aged(now)
                return job
        if self._quiet:
            # A class with ordinary jobs that find no room has none for quiet ones: the same test, stricter.
            return _first(sorted(self._quiet.heads()), pace.may_ask_quiet, now)
        return None


def _counted(names: Iterable[str]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for name in names:
        counts[name] = counts.get(name, 0) + 1
    return counts


def _first(heads: list[Entry], may: Callable[[str, float], bool], now: float) -> Job | None:
    for _, _, job in heads:
        if may(job.job_class, now):
            return job
    return None

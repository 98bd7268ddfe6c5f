"""Every decision of a dispatcher. Settings, events and actions are in interface.py, the file to read first.

The mechanism is P-DACA: a request goes to a worker of its key's affinity set where little would run before
it, else to another worker where it would run at once, else to the least loaded affinity worker; a hot key's
set widens. docs/design.md says what was kept of it, what was changed and when each exception acts.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import chain, takewhile

from . import books
from . import interface as fw
from .interface import JobClass, Outcome, Repeat, Request, Result

TICK, RENEW = 0, 1  # timer tags
TICKS_A_TIMEOUT = 4  # housekeeping comes this often in a connect time-out, its shortest wait
RENEW_MS, RENEW_MOST_MS = 1000.0, 8000.0  # calls to the registry spread over this time; doubled on failure
NEVER_RAN = (Result.FULL, Result.UNREACHABLE, Result.NOT_SENT)
MAY_RUN_ON = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)  # the work may go on after the outcome
LIVE_KEYS = 4096  # keys whose sets and orders are remembered; one-off keys push out the longest unused


@dataclass(slots=True, eq=False)
class _Pool:
    """The workers of one kind: what is learned of one serves for all."""

    most: int  # the most jobs seen to run on one worker: what surely fits
    slots: float  # the load, as this dispatcher reckons it, at which jobs begin to wait
    least: float  # and what it is never taken to be under
    private: bool = False  # no peer sends here: own traffic tells all
    pace: float = 1.0  # a job's time in a slot here over its class's mean
    weighed: float = 1.0  # the pace that the keys' orders go by
    hold: float = 0.0  # mean time a job holds its slot
    wait: float = 0.0  # mean wait before a start, of late
    jobs: float = 0.0  # mean jobs on a worker, as reports tell; 0: no reports
    size: float = 0.0  # where weights fall with the load: the largest one told, alike for the kind
    seen: int = 0
    began: float = math.inf  # when a job was first seen to start here
    ready: int = 0
    sick: int = 0


@dataclass(slots=True, eq=False)
class _Worker:
    """What this dispatcher knows of a worker, all from its own traffic and the list."""

    name: str
    zone: str
    kind: str
    cell: int
    salt: int
    weight: float
    pool: _Pool
    ready: bool = False
    classes: frozenset[str] | None = None
    since: float = 0.0  # its last start; 0: long ago
    count: int = 0  # #T: own attempts out
    running: dict[_Attempt, None] = field(default_factory=dict)  # of these, started
    waiting: dict[_Attempt, None] = field(default_factory=dict)  # the rest, oldest first
    usual: books.Lately = field(default_factory=books.Lately)  # the same, averaged
    jobs: float = 0.0  # there, as last reported
    jobs_at: float = -math.inf
    jobs_own: int = 0  # own ones among them
    told_at: float = -math.inf  # the same news by its weight in the list
    delay: float = 0.0  # last wait before a start, beyond the shortest seen
    delay_at: float = 0.0
    base: float = math.inf
    due: float = 0.0  # jobs that should have ended in the time that some took, of late
    done: float = 0.0  # and how many did
    paced_at: float = 0.0
    doubt: books.Fading = field(default_factory=books.Fading)  # that one which must not run twice ends well
    strikes: float = 0.0
    barred_until: float = 0.0
    shunned: float = 0.0  # until then, for what peers tell of it
    unreachable: bool = False
    down_at: float = 0.0  # since when
    heard_at: float = 0.0  # a job began or ended there last
    trial_at: float = 0.0  # it seems to stand still: when a job may try it next
    faults: dict[JobClass, tuple[float, float]] = field(default_factory=dict)  # strikes, barred until
    sends: deque[float] = field(default_factory=deque)  # while cold
    window: int = -1  # while cold: the one that `allowed` holds for
    allowed: int = 0
    connections: int = 0  # own ones, presumed open
    kept: books.Latest = field(default_factory=books.Latest)  # keys whose data should be there
    used_at: float = 0.0


@dataclass(slots=True, eq=False)
class _Key:
    """An affinity cluster: its set is the first `size` usable workers of its order."""

    salt: int
    count: int = 0  # #T of the key
    size: int = 1
    order: books.Order[_Worker] = field(default_factory=books.Order)
    changed: float = 0.0
    heat: float = 0.0  # its requests of late, those of HEAT_MS ago counting for a third
    heat_at: float = 0.0


@dataclass(slots=True, eq=False)
class _Line:
    """The requests in order of one key, oldest first: only the first may be sent."""

    key: str
    jobs: dict[_Job, None] = field(default_factory=dict)
    rests_until: float = 0.0  # an attempt of an earlier request may still run until then


@dataclass(slots=True, eq=False)
class _Attempt:
    worker: _Worker
    job: _Job
    sent: float
    load: float  # the worker's, as reckoned before it
    fresh: bool  # it needs a new connection
    look_at: float = 0.0  # when to look for another worker
    started: float = -1.0
    found: bool = False  # its key's data should have been there
    over: bool = False
    cancelled: bool = False


@dataclass(slots=True, eq=False)
class _Job:
    id: str
    cls: JobClass
    key: _Key
    born: float
    deadline: float
    excess: bool  # over its tenant's quota
    attempts: list[_Attempt] = field(default_factory=list)
    out: int = 0
    done: bool = False
    ran_at: float = -1.0  # when the first attempt that may have run was sent
    ran_on: _Worker | None = None
    tried: list[_Worker] = field(default_factory=list)
    streaming: bool = False
    line: _Line | None = None


def _place(key: int, w: _Worker) -> float:
    """A worker's place in a key's order: its share of the keys is its weight over the pace of its kind."""
    return books.rendezvous(key, w.salt, (w.pool.size or w.weight) / w.pool.weighed)


# Routing. A worker's rank is its load over its slots: below 1 a new job starts at once.
CAUTIOUS_SLOTS = 4  # until starts or reports show more
W2 = 1.1  # spill only where the job would start at once, or nearly: the reckoning is rough
W1_AIM_SHARE = 0.5  # affinity may cost this share of the class's aim in waiting
PRIOR_JOBS = 3.0  # the fleet's mean counts for so many own jobs at a worker
MEAN_MS = 6000.0  # own #T is averaged over about two jobs' time to stand for the peers' part
DELAY_FADES_MS = 1000.0  # what one start told of a queue fades over about a job's time
TOLD_MS = 4000.0  # weights that fall with the load are renewed about every second
MANY = 10  # with more siblings own traffic shows under a tenth of a worker's jobs
TOLD_HIDES = 0.3  # share of what own traffic hides that such weights hide too: they come late
SIZE_NOISE = 1.03  # weights that fall with the load are told with some noise
LOOK = 4  # members of a wide set looked at
SCAN = 16  # workers looked at past the set, in the key's order, fewer where little is known of each
RECENT, LUCK = 4, 2  # and past these: lately good ones, and some at random
OVERLOAD, FEW = 2.0, 2.0  # overloaded: twice the larger of the mean #T and two, as DESIGN says
LOCAL, LOCAL_SEEN = 0.6, 3.0  # mean worker loads that a key must bring for each zone; requests that show it
HOT, HEAT_MS = 0.3, 10000.0  # a key may bring a set worker this multiple of the mean load
SHRINK_AFTER_MS = 3000.0  # a set keeps its size for a few jobs' time, so that it does not flap

QUEUED_SHARE = 0.1  # a job that waited for more than this share of a job's time was queued
SLOT_STEP = 0.1  # how fast one start moves the learned slots
HOLD_SAMPLES = 200
CONNECT_SAMPLES, CONNECT_FADES_MS = 8, 10000.0  # new connections are few: a price soon learned, and kept
WAIT_SAMPLES = 6  # starts that the fleet's mean wait is taken over
RATIO_SAMPLES = 50  # how many jobs a kind's pace is averaged over
REORDER = 0.15  # a kind's pace is off by so much: the keys' orders are made anew
OUTLIER = 8.0  # a job counts for no more than this multiple of the mean: running times have long tails

# Health
BAR_MS, BAR_MOST_MS = 250.0, 4000.0  # first exclusion after a failed connect or a reset; doubles
LONE_RESET = 0.5  # strikes
SWALLOWED = 0.5  # one that never started may have waited: counts less, the more own traffic shows of queues
BAR_SPREAD = 0.5  # of a bar's length is left to chance, where peers bar a worker at the same moment
STANDS, STANDS_LEAST_MS = 2.0, 300.0  # a worker stands still: in mean times in a slot, of so much at least
TRIAL, TRIAL_MS = -1.0, 1000.0  # the rank of a trial there; one in this time, and it may move on
IN_STEP_MS, SWALLOWED_ONCE = 30.0, 4.0  # jobs sent so close may change places; strikes for such a job lost
RESTART_MS, SHUN_MOST = 1000.0, 0.25  # no process is back sooner; share that peers may keep jobs away from
FAULT_MOST_MS, DOUBT = 30000.0, 0.75  # longest bar for a class; share of barred workers that is not believed

PACE_MS, PACE_JOBS, PACE_LUCK = 5000.0, 2.0, 1.5  # pace at a worker: over which time, prior, left to chance
DOUBT_RANK, DOUBT_FADES_MS, DOUBT_KEPT = 6.0, 8000.0, 0.7  # what doubt adds to a rank; what a good end leaves
DOUBT_UNSTARTED = 0.25  # a job that never started tells less than one that failed

# Cold budget
COLD_MARGIN = 0.6  # of the budget: capacity is a guess and peers' arrivals clump
COLD_CLUMPS = 4.0  # so many standard deviations of the dispatchers' common sends stay within the budget

# Retry
RESCUE_AIM_SHARE = 0.25  # a free job unstarted for this share of its aim may move
RESCUE_RATE = 0.2  # moves earned by each request: a budget against storms

# Admission
QUOTA_SPARE_S, QUOTA_JOBS = 20.0, 3.0  # spare for chance: the root of this time's jobs, and some jobs
QUOTA_BURST_S = 3.0  # a tenant may save up this long: arrivals clump, the more so at one dispatcher
HOPELESS = 0.5  # a job that must wait for this share of its aim would seldom be in time
FAVOUR_MOST = 3.0  # a class may wait up to so much longer or shorter for its worth
RATE_MS = 5000.0  # a tenant's rate is averaged over this time
FEW_TENANTS, PART_MOST = 3, 4.0  # with fewer there is no median to go by; bound on what skew is believed


class Dispatcher:
    """One dispatcher's decisions. Same settings, seed and events: same actions."""

    def __init__(self, settings: fw.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        strictest = min(settings.classes, key=lambda c: c.aim)
        self.unknown = JobClass("", strictest.aim, strictest.deadline)
        self.workers: dict[str, _Worker] = {}
        self.pools: dict[str, _Pool] = {}
        self.keys: dict[tuple[str, str | None], _Key] = {}
        self.jobs: dict[str, _Job] = {}
        self.held: dict[str, _Job] = {}
        self.doubted: dict[JobClass, bool] = {}  # most workers seem to fail the class
        self.unstarted: dict[_Attempt, None] = {}  # attempts out that have not started, oldest first
        self.lines: dict[str, _Line] = {}
        self.turns: list[_Line] = []  # lines whose first request has left
        self.ready: list[_Worker] = []
        self.zones = 1  # theirs
        self.named: list[_Worker] = []  # every worker as it was first named; keys patch their orders from it
        self.good: deque[_Worker] = deque(maxlen=RECENT)  # started a job at once, or reported a free slot
        self.total, self.salt = 0, self.random.getrandbits(63)  # own attempts out; what tells siblings apart
        self.stock_at = self.heat = 0.0  # last request; requests of late, as a key's
        self.fleet = 0.0  # own jobs out for each ready worker, averaged as a worker's own are
        self.prior, self.blind = 1.0, 0.0  # weight of the fleet's mean; share of all that own traffic hides
        self.out: list[fw.Action] = []
        self.told, self.sparse = False, settings.siblings > MANY  # the list tells of the workers' loads
        self.born = self.ticking = self.renewing = False
        self.renew_after = self.rescues = 0.0
        self.holds = books.Means(HOLD_SAMPLES)  # mean time in a slot, by class
        self.fetching = books.Contrast(HOLD_SAMPLES, OUTLIER)  # more, where a key's data is fetched
        self.connect = 0.0  # price of a new connection, of late
        self.phase = self.random.uniform(0.0, settings.tip_after)  # siblings' windows do not begin together
        self.tick_ms = settings.connect_timeout / TICKS_A_TIMEOUT
        self.part = 1.0  # this dispatcher's traffic over the mean dispatcher's
        quotas = {t.name: t.quota / settings.siblings for t in settings.tenants if t.quota}
        self.accounts = {
            k: books.Quota(q, q + math.sqrt(q / QUOTA_SPARE_S), QUOTA_BURST_S * q + QUOTA_JOBS, RATE_MS, q)
            for k, q in quotas.items()
        }
        self.handlers = {
            Request: self._on_request, fw.Started: self._on_started, fw.AnswerBegan: self._on_stream,
            Outcome: self._on_outcome, fw.ClientGone: self._on_gone, fw.WorkerList: self._on_list,
            fw.TimerDue: self._on_timer, fw.Progress: lambda *_: None, fw.ProbeResult: lambda *_: None,
            fw.Troubles: self._on_troubles,
        }  # fmt: skip

    def handle(self, now: float, event: fw.Event) -> list[fw.Action]:
        """Take one event and return the actions to carry out, in order."""
        self.out = []
        self.handlers[type(event)](now, event)  # type: ignore[operator]
        while self.turns:
            self._next_turn(self.turns.pop(), now)
        if not self.ticking and (self.held or self.unstarted):
            self.ticking = True
            self.out.append(fw.SetTimer(TICK, self.tick_ms))
        if not self.born and self.settings.must_subscribe:
            self._renew()
        self.born = True
        return self.out

    # ---- Routing ----

    def _on_request(self, now: float, e: Request) -> None:
        cls = self.classes.get(e.job_class, self.unknown)
        place = (e.key or "", cls.kind)
        key = self.keys.pop(place, None) or _Key(books.digest(e.key) if e.key else self.salt)
        if len(self.keys) >= LIVE_KEYS:
            self.keys.pop(next(iter(self.keys)))
        self.keys[place] = key
        self._take_stock(now)
        key.heat, key.heat_at = key.heat * math.exp((key.heat_at - now) / HEAT_MS) + 1, now
        account = self.accounts.get(e.tenant or "")
        excess = account is not None and account.over(now, self.part)
        if e.time_left <= 0:
            self.out.append(fw.Refuse(e.id))
            return
        job = self.jobs[e.id] = _Job(e.id, cls, key, now, now + e.time_left, excess)
        self.rescues = min(self.rescues + RESCUE_RATE, 10.0)
        if cls.in_order and e.key:
            job.line = self.lines.get(e.key) or self.lines.setdefault(e.key, _Line(e.key))
            job.line.jobs[job] = None
        self._place(job, now)

    def _order(self, key: _Key, kind: str | None) -> Iterable[_Worker]:
        """The key's workers in rendezvous order, gone ones too: a list change costs what it changes. A key
        that needs a worker in each zone anyhow has one set a zone: fewer requests cross."""
        order = key.order.upto(self.named, lambda w: _place(key.salt, w) if kind in (None, w.kind) else None)
        zone, hot = self.settings.zone, key.heat * len(self.ready) > LOCAL * self.zones * self.heat
        if self.sparse or not hot or key.heat < LOCAL_SEEN:
            return order
        return chain((w for w in order if w.zone == zone), (w for w in order if w.zone != zone))

    def _rank(self, w: _Worker, cls: JobClass, now: float) -> float:
        """Load over slots. Peers are taken to load a worker as this dispatcher does on average, and what
        starts showed of its queue counts until it fades: an empty list proves no idle worker. Time lost on
        a slow one counts as if waited, and what must not run twice keeps off one that fails or is silent."""
        pool, slots = w.pool, w.pool.slots
        load, seen = self._load(w, now), self._seen(w, now)
        if seen > QUEUED_SHARE * pool.hold * self.blind and pool.hold:
            load = max(load, slots + len(w.waiting) + seen * slots / pool.hold)
        if self.connect > QUEUED_SHARE * pool.hold > 0 and not self._connected(w, now):
            load = max(load, slots) + self.connect * slots / pool.hold
        rank = (load + 1) / (slots * self.warmth(w, now))
        if (slow := self._slowness(w, now)) > 1 and pool.hold:
            rank += (slow - 1) * self.holds.of(cls.name, pool.hold) / pool.hold
        if cls.repeat is Repeat.SINGLE_SHOT and w.doubt.value:
            rank += DOUBT_RANK * w.doubt.left(now, DOUBT_FADES_MS)
        return rank

    def _slowness(self, w: _Worker, now: float) -> float:
        """How much longer than usual for its kind jobs take there. What still runs counts: a worker that
        stands still ends nothing that could tell."""
        due = w.due + sum(self._due(a, now) for a in w.running)
        return max((due + PACE_JOBS) / (w.done + PACE_JOBS) / PACE_LUCK, 1.0)

    def _due(self, attempt: _Attempt, now: float) -> float:
        """So many jobs of its class would have ended in the time that this one has run."""
        w = attempt.worker
        mean = self.holds.of(attempt.job.cls.name, math.inf) * w.pool.pace
        return min((now - attempt.started) * self.warmth(w, now) / max(mean, 1.0), OUTLIER)

    def _connected(self, w: _Worker, now: float) -> bool:
        if now - w.used_at >= self.settings.connect_idle:
            w.connections = w.count
        return w.pool.private or w.count < w.connections  # a private one connected to us

    def _load(self, w: _Worker, now: float) -> float:
        """Own jobs there and the peers', who are taken to load a worker as this dispatcher does on average,
        and the fewer own jobs stand behind that, the more as all workers are loaded."""
        if w.pool.private:
            return w.count
        mean = w.usual.take(w.count, now, MEAN_MS)
        peers = self.settings.siblings - 1
        usual = self.warmth(w, now) * (w.pool.jobs or peers * self.fleet)  # peers spare a cold worker too
        if w.pool.jobs:  # a report is soon as old as the jobs it counted
            usual += (w.jobs - usual) * math.exp((w.jobs_at - now) / (w.pool.hold or MEAN_MS))
            if now - w.told_at < TOLD_MS:
                return w.count + max(usual - w.jobs_own, 0.0)
            usual = max(usual - w.count, 0.0)
        return w.count + peers * mean * (1 - self.prior) + usual * self.prior

    def _take_stock(self, now: float) -> None:
        """How much own traffic tells of a worker, on average: what is not known is taken to be as usual."""
        past, self.stock_at = now - self.stock_at, now
        self.fleet += (self.total / max(len(self.ready), 1) - self.fleet) * -math.expm1(-past / MEAN_MS)
        hold = max((p.hold for p in self.pools.values()), default=0.0)
        known = self.fleet * MEAN_MS / hold if hold else 0.0
        self.heat = self.heat * math.exp(-past / HEAT_MS) + 1
        self.connect *= math.exp(-past / CONNECT_FADES_MS)
        self.prior = PRIOR_JOBS / (known + PRIOR_JOBS)
        self.blind = self.prior * (1 - 1 / self.settings.siblings) * (TOLD_HIDES if self.told else 1.0)
        if len(self.accounts) >= FEW_TENANTS and self.settings.siblings > 1:
            self.part = min(books.traffic_share(self.accounts.values()), PART_MOST)

    def _seen(self, w: _Worker, now: float) -> float:
        """The wait that own jobs showed there: of the last that started, or of the oldest waiting."""
        pool = w.pool
        usual = pool.wait * self.blind
        if pool.hold and (now - w.told_at < TOLD_MS or self.sparse and pool.jobs and not self.told):
            over = max(self._load(w, now) - pool.slots, 0.0)
            usual = over * pool.hold / (pool.slots * self.warmth(w, now))
        seen = usual + (w.delay - usual) * math.exp((w.delay_at - now) / DELAY_FADES_MS)
        if w.waiting:
            seen = max(seen, now - next(iter(w.waiting)).sent - 2 * w.base)
        return seen

    def _choose(self, job: _Job, now: float) -> tuple[_Worker | None, float]:
        """The three steps of P-DACA over the usable workers: the key's set, then some others."""
        key = job.key
        best = spill = None
        best_rank = spill_rank = spill_cost = math.inf
        members = 0
        others: list[_Worker] = []
        affinity = max(W1_AIM_SHARE * job.cls.aim, self.fetching.more)  # may cost so much waiting
        size = key.size if key.salt != self.salt else 0  # a job that needs no data has no affinity
        first = (key.salt ^ self.salt) % max(size, 1)  # dispatchers look at different parts of a wide set
        scan = 2 + round(SCAN * (1 - self.blind))
        for w in self._order(key, job.cls.kind):
            if not self._usable(w, job, now):
                continue
            members += 1
            if members <= size and self.stands(w, now):
                w.trial_at = now + TRIAL_MS
                return w, TRIAL
            if members > size:
                others.append(w)
                if len(others) == scan:
                    break
            elif (members - first) % size < LOOK and (rank := self._rank(w, job.cls, now)) < best_rank:
                best, best_rank = w, rank
            if members == size and best_rank < W2 + affinity / (w.pool.hold or job.cls.aim):
                return best, best_rank
        for w in others + (self._elsewhere(job, now) if len(others) == scan else []):
            if w is best:
                continue
            rank = self._rank(w, job.cls, now)
            cost = rank if key.salt in w.kept else rank + self.fetching.more / (w.pool.hold or MEAN_MS)
            if cost < spill_cost:
                spill, spill_rank, spill_cost = w, rank, cost
        if spill and (spill_rank < W2 or best and self._hopeless(job, best, best_rank, now)
                      and not self._hopeless(job, spill, spill_rank, now, self.fetching.more)):  # fmt: skip
            return spill, spill_rank
        return (best, best_rank) if best else (spill, spill_rank)

    def _elsewhere(self, job: _Job, now: float) -> list[_Worker]:
        """Lately good workers and some at random, so that dispatchers do not all spill to the same."""
        more = [*self.good, *self.random.sample(self.ready, min(LUCK, len(self.ready)))]
        return [w for w in more if job.cls.kind in (None, w.kind) and self._usable(w, job, now)]

    def _resize(self, key: _Key, now: float) -> None:
        """Widen an overloaded key's set, narrow it as loads even out. Where own traffic shows little, a key's
        share of it (less one request: chance) stands for its jobs at all dispatchers."""
        bound = OVERLOAD * max(self.total / max(len(self.ready), 1), FEW)
        wanted = (key.heat - 1) / self.heat * len(self.ready) / HOT * self.blind
        least = key.count * OVERLOAD / bound
        if key.count > bound * key.size or wanted > key.size:
            key.size, key.changed = min(max(key.size + 1, int(wanted)), max(len(self.ready), 1)), now
        elif now - key.changed > SHRINK_AFTER_MS and max(wanted, least) < key.size - 1:
            key.size, key.changed = key.size - 1, now

    def _place(self, job: _Job, now: float) -> None:
        """Send the job, hold it, or answer it."""
        if job.deadline - now <= self.tick_ms:  # housekeeping would come too late for its answer (i14098a)
            self._give_up(job, now)
            return
        self.held[job.id] = job
        if job.line is not None and not self._has_turn(job, job.line, now):
            if self._turn_too_late(job, job.line, now):
                self._give_up(job, now, self._patience(job.cls))
            return
        worker, rank = self._choose(job, now)
        if worker is None:  # nobody, or everybody turned it down: housekeeping tries again
            job.tried.clear()
        elif self._hopeless(job, worker, rank, now):
            self._give_up(job, now, self.settings.max_backoff if job.excess else self._patience(job.cls))
        else:
            self._send(job, worker, now)

    def _send(self, job: _Job, worker: _Worker, now: float) -> None:
        self.held.pop(job.id, None)
        if job.cls.repeat is Repeat.SINGLE_SHOT and worker.connections > worker.count:
            # What is written to a kept connection of a worker that was cut off is lost, and may have run.
            worker.connections = worker.count
            self.out.append(fw.Close(worker.name))
        attempt = _Attempt(worker, job, now, self._load(worker, now), not self._connected(worker, now))
        worker.used_at = now
        job.attempts.append(attempt)
        job.out += 1
        worker.usual.take(worker.count, now, MEAN_MS)
        worker.count += 1
        worker.waiting[attempt] = self.unstarted[attempt] = None
        self.total += 1
        job.key.count += 1
        self._resize(job.key, now)
        if now < worker.since + self.settings.ramp:
            worker.sends.append(now)
        self.out.append(fw.Send(job.id, worker.name))

    def _on_started(self, now: float, e: fw.Started) -> None:
        job = self.jobs.get(e.id)
        if job is None or e.attempt >= len(job.attempts):
            return
        attempt = job.attempts[e.attempt]
        if attempt.over or attempt.started >= 0:
            return
        w = attempt.worker
        attempt.started = now
        w.waiting.pop(attempt, None)
        self.unstarted.pop(attempt, None)
        w.running[attempt] = None
        w.heard_at = now
        if self.settings.in_turn:
            self._swallowed(attempt, now)
        attempt.found = w.kept.meet(job.key.salt, w.pool.most)  # it is taken to keep as many as it runs
        w.pool.most, w.pool.began = max(w.pool.most, len(w.running)), min(w.pool.began, now)
        w.base = min(w.base, now - attempt.sent)
        w.delay, w.delay_at = now - attempt.sent - w.base, now
        if attempt.fresh:
            w.connections += 1
            self.connect += (max(w.delay - w.pool.wait, 0.0) - self.connect) / CONNECT_SAMPLES
        w.pool.wait += (w.delay - w.pool.wait) / WAIT_SAMPLES
        if w.delay <= QUEUED_SHARE * w.pool.hold and w not in self.good:
            self.good.append(w)
        # Peers, traffic, slots are guesses: what counts is the reckoned load at which jobs begin to wait.
        pool = w.pool
        queued = w.delay > QUEUED_SHARE * pool.hold
        load = attempt.load + math.sqrt(attempt.load * self.blind)  # it may scatter so far where it is a mean
        if pool.hold and queued == (load < pool.slots):
            pool.slots = max(pool.slots + SLOT_STEP * (load - pool.slots), pool.least)

    def _on_stream(self, now: float, e: fw.AnswerBegan) -> None:
        if job := self.jobs.get(e.id):
            job.streaming = True

    # ---- Health ----

    def _usable(self, w: _Worker, job: _Job, now: float) -> bool:
        # A trickle of real jobs finds out whether it is back; a job that must not run twice is no probe.
        risky = job.cls.repeat is Repeat.SINGLE_SHOT and not w.unreachable
        barred = w.strikes >= 1 and (now < w.barred_until or w.count or risky)
        gone = self.sparse and w.unreachable and now < w.barred_until  # it turned a connect down: no guess
        gone |= now < w.shunned
        if not w.ready or w in job.tried or gone or barred and w.pool.sick * 2 < w.pool.ready:
            return False
        if w.classes is not None and job.cls.name not in w.classes:
            return False
        if w.faults and now < w.faults.get(job.cls, (0, 0.0))[1] and not self.doubted[job.cls]:
            return False
        if now < w.since + self.settings.ramp and not self._cold_room(w, now):
            return False
        movable = job.cls.repeat is Repeat.FREE and self.settings.may_cancel and not job.attempts
        if self.stands(w, now) and (now < w.trial_at or not movable):
            return False
        return self._group_allows(job, w, now)

    def stands(self, w: _Worker, now: float) -> bool:
        """Nothing began or ended there since a job came that should have begun long ago."""
        since = max(next(iter(w.waiting)).sent, w.heard_at) if w.waiting else math.inf
        return now - since > STANDS * max(w.pool.hold, STANDS_LEAST_MS)

    def _swallowed(self, attempt: _Attempt, now: float) -> None:
        """It waits where a later one began: where jobs begin in order it was lost, and others may be too."""
        for old in list(attempt.worker.waiting):
            if old.sent >= attempt.sent - IN_STEP_MS:
                break
            del attempt.worker.waiting[old]
            if not old.cancelled:
                once = old.job.cls.repeat is Repeat.SINGLE_SHOT
                self._fault(old.worker, old.job.cls, now, SWALLOWED_ONCE if once else 1.0)
                old.worker.doubt.add(SWALLOWED, now, DOUBT_FADES_MS)

    def _fault(self, w: _Worker, cls: JobClass, now: float, strikes: float) -> None:
        """A worker may fail or swallow one class and serve the rest. It is barred for that class, longer than
        own sends to a worker lie apart: few are lost on trials. If most workers look so, it is the jobs."""
        strikes += w.faults.get(cls, (0.0, 0.0))[0]
        gap = HEAT_MS * len(self.ready) / self.heat
        bar = min(max(BAR_MS, gap) * 2 ** (strikes - 1), FAULT_MOST_MS) if strikes >= 1 else 0.0
        w.faults[cls] = strikes, now + bar
        barred = sum(now < x.faults[cls][1] for x in self.ready if cls in x.faults)
        self.doubted[cls] = barred > DOUBT * len(self.ready)

    def _strike(self, w: _Worker, strikes: float, now: float) -> None:
        was = w.strikes >= 1
        w.strikes = min(w.strikes + strikes, 5.0)
        w.pool.sick += (w.strikes >= 1) - was
        # Where own sends to a worker lie far apart a short bar ends unused, and a trial is a job's attempt.
        first = max(BAR_MS, HEAT_MS * len(self.ready) / max(self.heat, 1.0) * self.sparse)
        bar = min(first * 2 ** (w.strikes - 1), BAR_MOST_MS)
        w.barred_until = now + bar * self.random.uniform(1 - BAR_SPREAD * self.sparse, 1.0)

    def _praise(self, w: _Worker, now: float) -> None:
        if w.strikes:
            was = w.strikes >= 1
            w.strikes = 0.0 if w.unreachable else max(w.strikes - 0.5, 0.0)
            w.pool.sick += (w.strikes >= 1) - was
            if w.unreachable and now - w.down_at > RESTART_MS:  # back after silence: presumed cold from now
                w.since = max(w.since, now)
            w.unreachable = False

    def _on_troubles(self, now: float, e: fw.Troubles) -> None:
        """What peers tell keeps jobs away from a worker for a while, and never brings them sooner."""
        for t in e.troubles if len(e.troubles) <= SHUN_MOST * len(self.ready) else ():
            if w := self.workers.get(t.worker):
                w.shunned, w.since = max(w.shunned, now + min(t.lasts, BAR_MOST_MS)), max(w.since, t.since)

    # ---- Cold budget ----

    def warmth(self, w: _Worker, now: float) -> float:
        """The share of its capacity that a worker has by now."""
        s = self.settings
        if w.since <= 0 or now - w.since >= s.ramp:
            return 1.0
        return s.cold_from + (1 - s.cold_from) * max(now - w.since, 0.0) / s.ramp

    def _cold_room(self, w: _Worker, now: float) -> bool:
        s = self.settings
        warmth = self.warmth(w, now)
        if warmth >= 1:
            return True
        window = int((now + self.phase) / s.tip_after)
        if window != w.window:
            w.window = window
            budget = s.tip_multiple * warmth * w.pool.most / self._hold(w.pool, now) * s.tip_after
            w.allowed = int(COLD_MARGIN * budget / s.siblings)
            if not w.allowed:  # a send in some windows only, at random: all together may clump
                mean = (math.sqrt(COLD_CLUMPS**2 + 4 * budget) - COLD_CLUMPS) ** 2 / 4
                w.allowed = int(self.random.random() < mean / s.siblings)
        while w.sends and w.sends[0] <= now - s.tip_after:
            w.sends.popleft()
        return len(w.sends) < w.allowed

    def _hold(self, pool: _Pool, now: float) -> float:
        """A job's time in a slot. At first what still runs counts: the short ones end first."""
        if now - pool.began >= (unknown := self.settings.tip_after):
            return pool.hold or unknown
        running = [now - a.started for w in self.ready if w.pool is pool for a in w.running]
        return max(pool.hold, min(books.censored_mean(pool.hold, pool.seen, running, unknown), unknown))

    # ---- Retry ----

    def _group_allows(self, job: _Job, w: _Worker, now: float) -> bool:
        """May this worker run it, given the attempts that may have run?"""
        first, cls = job.ran_on, job.cls
        if first is None or cls.repeat is Repeat.FREE:
            return True
        if cls.repeat is Repeat.SINGLE_SHOT or now - job.ran_at >= cls.memory:
            return False
        return cls.group == "all" or (w.zone == first.zone if cls.group == "zone" else w.cell == first.cell)

    def _may_try(self, job: _Job, now: float) -> bool:
        if len(job.attempts) >= self.settings.max_attempts or job.deadline - now <= self.tick_ms:
            return False
        repeat = job.cls.repeat
        if job.ran_on is None or repeat is Repeat.FREE:
            return True
        return repeat is Repeat.GUARDED and now - job.ran_at < job.cls.memory

    def _on_outcome(self, now: float, e: Outcome) -> None:
        job = self.jobs.get(e.id)
        if job is None or e.attempt >= len(job.attempts):
            return
        attempt = job.attempts[e.attempt]
        if attempt.over:
            return
        attempt.over = True
        w = attempt.worker
        w.usual.take(w.count, now, MEAN_MS)
        w.count -= 1
        self.total -= 1
        job.key.count -= 1
        job.out -= 1
        for place in (w.running, w.waiting, self.unstarted):
            place.pop(attempt, None)
        self._learn(w, attempt, e, now)
        if job.line is not None and e.result in MAY_RUN_ON:
            job.line.rests_until = now + self.settings.turn_gap
        if e.final:
            self._finish(job)
            return
        if job.done:
            self._forget(job)
            return
        if e.result not in NEVER_RAN and job.ran_on is None:
            job.ran_on, job.ran_at = w, attempt.sent
        if job.out:
            return
        job.tried.append(w)
        if e.result in (Result.TIMEOUT, Result.REJECTED) or not self._may_try(job, now):
            self._give_up(job, now)
        else:
            self._place(job, now)

    def _learn(self, w: _Worker, attempt: _Attempt, e: Outcome, now: float) -> None:
        result = e.result
        if attempt.started < 0 and (result is Result.TIMEOUT or result is Result.CANCELLED):
            self._fault(w, attempt.job.cls, now, min(2 * self.blind**2, SWALLOWED))
            w.doubt.add(DOUBT_UNSTARTED, now, DOUBT_FADES_MS)
        w.heard_at = now if result in (Result.OK, Result.ERROR, Result.FULL) else w.heard_at
        if attempt.started >= 0:
            fade = math.exp((w.paced_at - now) / PACE_MS)
            w.due, w.done = w.due * fade + self._due(attempt, now), w.done * fade + (result is Result.OK)
            w.paced_at = now
        if result is Result.OK:
            w.faults.pop(attempt.job.cls, None)
            w.doubt.value *= DOUBT_KEPT
            self._praise(w, now)
            if attempt.started >= 0:
                pool = w.pool
                pool.seen += 1
                pool.hold += (now - attempt.started - pool.hold) / min(pool.seen, HOLD_SAMPLES)
                self._learn_price(attempt, now - attempt.started)
        elif result is Result.UNREACHABLE or result is Result.RESET:
            w.connections = 0
            if result is Result.UNREACHABLE:  # a dead process turns connects down at once: not merely slow
                if not w.unreachable and e.duration < self.settings.connect_timeout / 2:
                    w.unreachable, w.down_at = True, now
                self.connect += (2 * e.duration - self.connect) / CONNECT_SAMPLES  # it takes another try
            # A dead process resets all its connections: one reset among others that hold is the connection's.
            self._strike(w, LONE_RESET if result is Result.RESET and w.count else 1.0, now)
        elif result is Result.ERROR:
            self._fault(w, attempt.job.cls, now, 1.0)
            w.doubt.add(1.0, now, DOUBT_FADES_MS)
        elif result is Result.FULL and attempt.load < w.pool.slots and not w.pool.private:
            self._fault(w, attempt.job.cls, now, 1.0)  # with slots free it is the class that it turns away
        elif result is Result.FULL:
            w.delay, w.delay_at = w.pool.hold, now
        if "free_slots" in e.load:
            w.pool.most = max(w.pool.most, int(e.load["free_slots"]))
            w.pool.slots = max(w.pool.slots, w.pool.most)
            there = w.pool.most - e.load["free_slots"] + e.load.get("waiting", 0.0)
            self._jobs_there(w, there, now)

    def _jobs_there(self, w: _Worker, jobs: float, now: float) -> None:
        w.jobs, w.jobs_own, w.jobs_at = max(jobs, 0.0), w.count, now
        w.pool.jobs += (w.jobs - w.pool.jobs) / (3 * WAIT_SAMPLES)

    def _learn_price(self, attempt: _Attempt, hold: float) -> None:
        """What a fetch of a key's data costs: so much longer jobs hold their slots where it was not kept."""
        name, pool = attempt.job.cls.name, attempt.worker.pool
        self.fetching.add(name, not attempt.found, hold)
        mean = self.holds.add(name, hold)
        pool.pace += (min(hold / max(mean, 1.0), OUTLIER) - pool.pace) / RATIO_SAMPLES
        if attempt.worker.weight != 1 and abs(pool.pace / pool.weighed - 1) > REORDER:
            pool.weighed = pool.pace
            self._reorder()

    def _rescue(self, now: float) -> None:
        """Move free jobs that have not started where others would start them at once."""
        for attempt in list(self.unstarted):
            if self.rescues < 1 or now - attempt.sent < self.unknown.aim * RESCUE_AIM_SHARE:
                break
            job = attempt.job
            told = attempt.worker.pool.jobs > 0  # by reports: the rank alone is believed, one move is enough
            if job.cls.repeat is not Repeat.FREE or attempt.cancelled or told and len(job.attempts) > 1:
                continue
            if now < max(attempt.look_at, attempt.sent + job.cls.aim * RESCUE_AIM_SHARE):
                continue
            attempt.look_at = 2 * now - attempt.sent  # a look takes CPU: the longer it waits, the rarer
            job.tried.append(attempt.worker)
            other, rank = self._choose(job, now)
            if other and (rank < W2 or not told and 2 * self._seen(other, now) < now - attempt.sent):
                attempt.cancelled = True
                self.rescues -= 1
                self.out.append(fw.Cancel(job.id, len(job.attempts) - 1))
            else:
                job.tried.pop()

    # ---- Key order ----

    def _has_turn(self, job: _Job, line: _Line, now: float) -> bool:
        """First in its line, and no earlier attempt may still run; a request keeps its turn for retries."""
        return next(iter(line.jobs)) is job and (bool(job.attempts) or now >= line.rests_until)

    def _turn_too_late(self, job: _Job, line: _Line, now: float) -> bool:
        """A mean job that starts later than this misses its aim: better refused while a new try may help."""
        ahead, cls = takewhile(lambda other: other is not job, line.jobs), job.cls
        wait = max(line.rests_until - now, 0.0) + sum(self.holds.of(other.cls.name) for other in ahead)
        hold = self.holds.of(cls.name)
        return now - job.born + wait > cls.aim + max(cls.stretch - 1, 0.0) * hold

    def _next_turn(self, line: _Line, now: float) -> None:
        """Send the first of the line if it may go; a line that is empty and rested is forgotten."""
        first = next(iter(line.jobs), None)
        if now < line.rests_until:
            return
        if first is None:
            self.lines.pop(line.key, None)
        elif not first.attempts:
            self._place(first, now)

    # ---- Admission ----

    def _hopeless(self, job: _Job, w: _Worker, rank: float, now: float, more: float = 0.0) -> bool:
        if rank is TRIAL:
            return False
        if job.excess and rank + self.blind**2 / math.sqrt(w.pool.slots) >= W2:  # it may rank higher
            return True
        own = (w.count + 1 - w.pool.slots) * w.pool.hold / w.pool.slots
        return max(own, self._seen(w, now)) + more > self._patience(job.cls)

    def _patience(self, cls: JobClass) -> float:
        """How long a class may wait before it is refused: longer if it earns more for its time in a slot."""
        mean = self.holds.of(cls.name)
        seen = [c for c in self.settings.classes if c.name in self.holds]
        earned = sum(c.worth for c in seen)
        room = HOPELESS * (cls.aim + max(cls.stretch - 1, 0.0) * mean)  # the aim grows with its work
        if not mean or not earned:
            return room
        if self.settings.by_work:  # worth is for time in a slot already; the root: no class is to starve
            favour = math.sqrt(cls.worth * len(seen) / earned)
        else:
            favour = cls.worth / mean * sum(self.holds.of(c.name) for c in seen) / earned
        return room * min(max(favour, 1 / FAVOUR_MOST), FAVOUR_MOST)

    def _give_up(self, job: _Job, now: float, backoff: float | None = None) -> None:
        """The final answer when none came: refuse only what surely never ran, or may safely run again."""
        cls = job.cls
        harmless = cls.repeat is Repeat.FREE or cls.repeat is Repeat.GUARDED and cls.group == "all"
        if job.ran_on is None or harmless:
            backoff = self._patience(cls) if backoff is None else backoff
            self.out.append(fw.Refuse(job.id, min(backoff, self.settings.max_backoff)))
        else:
            self.out.append(fw.Fail(job.id))
        self._finish(job)

    def _finish(self, job: _Job) -> None:
        self.held.pop(job.id, None)
        if not job.done and self.settings.may_cancel and not job.streaming:
            for n, attempt in enumerate(job.attempts):
                if not attempt.over and not attempt.cancelled:
                    attempt.cancelled = True
                    self.out.append(fw.Cancel(job.id, n))
        job.done = True
        self._forget(job)

    def _forget(self, job: _Job) -> None:
        if job.done and not job.out:
            self.jobs.pop(job.id, None)
            job.attempts.clear()  # each names its job: a circle that only a full collection would end
            if job.line is not None and job.line.jobs.pop(job, 0) is None:
                self.turns.append(job.line)

    def _on_gone(self, now: float, e: fw.ClientGone) -> None:
        if job := self.jobs.get(e.id):
            self._finish(job)

    # ---- Discovery ----

    def _renew(self) -> None:
        self.renew_after = min(max(2 * self.renew_after, RENEW_MS), RENEW_MOST_MS)
        self.renewing = True
        self.out.append(fw.SetTimer(RENEW, self.random.uniform(0.1, 1.0) * self.renew_after))

    def _on_list(self, now: float, e: fw.WorkerList) -> None:
        if e.scope is fw.Scope.FAILED:
            if self.settings.must_subscribe and not self.renewing:
                self._renew()
            return
        if e.scope is not fw.Scope.CHANGES:
            named = {info.name for info in e.workers}
            for w in self.workers.values():
                if w.name not in named:
                    w.ready = False
        for info in e.workers:
            w = self.workers.get(info.name) or self._new_worker(info)
            w.ready, w.classes = info.readiness is fw.Readiness.READY, info.classes
            live = self.settings.live_weights
            if live and info.weight > w.pool.size:
                grown, w.pool.size = info.weight > w.pool.size * SIZE_NOISE, info.weight
                if grown:  # the keys' orders went by a load
                    self._reorder()
            if self.sparse and live and e.scope is not fw.Scope.RESTORED and info.weight > 0:
                w.told_at, self.told = now, True
                self._jobs_there(w, (w.pool.size / info.weight - 1) * w.pool.most, now)
            if info.online_since > w.since:
                w.since, w.connections, w.barred_until = info.online_since, 0, 0.0
                w.kept = books.Latest()
        for gone in [w for w in self.workers.values() if not w.ready and not w.count]:
            del self.workers[gone.name]
            gone.pool.sick -= gone.strikes >= 1
        if len(self.named) > 2 * len(self.workers) + SCAN:  # mostly gone ones: the keys start anew
            self._reorder()
        self.ready, self.renew_after = [w for w in self.workers.values() if w.ready], 0.0
        self.zones = len({w.zone for w in self.ready})
        for pool in self.pools.values():
            pool.ready = sum(w.pool is pool for w in self.ready)

    def _reorder(self) -> None:
        self.named = list(self.workers.values())
        for key in self.keys.values():
            key.order.clear()

    def _new_worker(self, info: fw.WorkerInfo) -> _Worker:
        slots = info.slots or CAUTIOUS_SLOTS
        pool = self.pools.setdefault(info.kind, _Pool(slots, slots, slots, info.private))
        w = _Worker(info.name, info.zone, info.kind, info.cell, books.digest(info.name), info.weight, pool)
        self.workers[w.name] = w
        self.named.append(w)
        return w

    def _on_timer(self, now: float, e: fw.TimerDue) -> None:
        if e.tag == RENEW:
            self.renewing = False
            self.out.append(fw.Subscribe())
        elif e.tag == TICK:
            self.ticking = False
            for line in [x for x in self.lines.values() if not x.jobs and now >= x.rests_until]:
                del self.lines[line.key]
            for job in list(self.held.values()):
                if self._may_try(job, now) and (job.line is not None or now - job.born < job.cls.aim):
                    self._place(job, now)
                else:
                    self._give_up(job, now)
            if self.settings.may_cancel:
                self._rescue(now)

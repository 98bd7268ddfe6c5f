"""The decisions in blocking style: `pick` for a new req, `report` for what became of it, `tick` for time.

Every call answers at once with a `Turn`: the decisions to carry out, in order, and when to tick next. A call
about one req may yield decisions for others. The module's events and actions stay behind this page.
"""

from __future__ import annotations

import heapq
import itertools
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from . import interface as api
from . import snapshot
from .choice import Dispatcher
from .interface import Readiness, Result, Scope, Trouble, WorkerInfo
from .snapshot import Snapshot

__all__ = [
    "Ask", "Began", "Cancel", "Capacity", "Decision", "Ended", "Facade", "Fail", "Fetch", "Hold", "Left",
    "Outcome", "Readiness", "Refuse", "Result", "Scope", "Snapshot", "Trouble", "Turn", "WorkerInfo",
]  # fmt: skip

log = logging.getLogger("oxbowyard.decision")

STANDS_FOR = 1000.0  # milliseconds for which a worker that stands still is told to do so


@dataclass(slots=True, frozen=True)
class Ask:
    """A req as the decisions see it; times in milliseconds."""

    id: str
    job_class: str
    time_left: float
    key: str | None = None
    tenant: str | None = None
    slots: int = 1
    is_retry: bool = False


@dataclass(slots=True, frozen=True)
class Began:
    """A backend started to run a fetch."""

    req: str
    number: int
    backend: str


@dataclass(slots=True, frozen=True)
class Ended:
    """How a fetch ended; `final` if its req has its answer, by this or from before."""

    req: str
    number: int
    backend: str
    result: Result
    duration: float = 0.0
    final: bool = False
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Left:
    """The client left, or the req was answered without the decisions: nothing is owed any more."""

    req: str


Outcome = Began | Ended | Left


@dataclass(slots=True, frozen=True)
class Fetch:
    """Send the req to a backend; number counts its fetches from 0. Timeout 0: until the deadline."""

    req: str
    number: int
    backend: str
    timeout: float = 0.0


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: turned away, a new try does no harm."""

    req: str
    retry_after: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, with no promise about its effect."""

    req: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop a fetch; its `Ended` is still to be reported."""

    req: str
    number: int


@dataclass(slots=True, frozen=True)
class Hold:
    """Nothing yet: a later call decides about the req."""

    req: str


Decision = Fetch | Refuse | Fail | Cancel | Hold


@dataclass(slots=True, frozen=True)
class Turn:
    """What to do now, and the clock time of the next tick (None: no need)."""

    decisions: tuple[Decision, ...]
    next_tick: float | None
    fault: Exception | None = None  # the module raised; what it had decided before that is kept


@dataclass(slots=True, frozen=True)
class Capacity:
    """What the listed backends that may run a class are reckoned to do, all that this dispatcher may use."""

    backends: int  # ready ones
    slots: float  # jobs at once before others begin to wait; a cold backend counts by its warmth
    private: bool  # they take jobs from this dispatcher alone


class Facade:
    """One dispatcher, its clock and its timers."""

    def __init__(self, settings: api.Settings, seed: int, clock: Callable[[], float]) -> None:
        self._dispatcher = Dispatcher(settings, seed)
        self._siblings = settings.siblings
        self._clock = clock
        self._last = clock()
        self._timers: list[tuple[float, int, int]] = []
        self._order = itertools.count()
        self._sent: dict[str, int] = {}  # fetches so far of reqs that may still be fetched

    def retune(self, settings: api.Settings) -> None:
        """Other classes and fetches from now on; a req taken keeps the class it came with."""
        dispatcher = self._dispatcher
        dispatcher.settings = replace(
            dispatcher.settings, classes=settings.classes, max_attempts=settings.max_attempts
        )
        dispatcher.classes = {c.name: c for c in settings.classes}

    def learn(self, scope: Scope, backends: tuple[WorkerInfo, ...]) -> Turn:
        """Take a list, or a change of it, from the discovery client."""
        return self._call(api.WorkerList(scope, backends))

    def reckon(self, siblings: int) -> None:
        """So many dispatchers send to the same workers from now on, this one included. Quotas, and whether
        own traffic shows enough to go by, stay as the settings say."""
        self._siblings = max(siblings, 1)
        dispatcher = self._dispatcher
        dispatcher.settings = replace(dispatcher.settings, siblings=self._siblings)

    def snapshot(self) -> Snapshot:
        """What was learned, for a process that replaces this one."""
        return snapshot.take(self._dispatcher, self._now())

    def adopt(self, learned: Snapshot) -> None:
        """Go on from what the process that this one replaces has learned."""
        snapshot.adopt(self._dispatcher, learned, self._now())

    def _now(self) -> float:
        return max(self._last, self._clock())

    def troubles(self) -> list[Trouble]:
        """What this dispatcher's own traffic shows of workers in trouble. It walks the ready ones."""
        dispatcher, now = self._dispatcher, self._now()
        ramp, found = dispatcher.settings.ramp, []
        for w in dispatcher.ready:
            barred = w.barred_until - now if w.strikes >= 1 else 0.0
            still = STANDS_FOR if w.waiting and dispatcher.stands(w, now) else 0.0
            cold = w.since if 0 < w.since <= now < w.since + ramp else 0.0
            if barred > 0 or still or cold:
                found.append(Trouble(w.name, max(barred, still, 0.0), cold))
        return found

    def hear(self, troubles: tuple[Trouble, ...]) -> Turn:
        """Take what peers tell of workers, all that holds now: it may spare a worker, and never the other
        way round."""
        return self._call(api.Troubles(troubles))

    def capacity(self, job_class: str) -> Capacity:
        """What the ready backends for a class can do at once. It walks them: for callers that pace, not for
        each req."""
        dispatcher, now = self._dispatcher, self._now()
        kind = dispatcher.classes.get(job_class, dispatcher.unknown).kind
        fit = [w for w in dispatcher.ready if kind in (None, w.kind)]
        fit = [w for w in fit if w.classes is None or job_class in w.classes]
        slots = sum(w.pool.slots * dispatcher.warmth(w, now) for w in fit)
        private = all(w.pool.private for w in fit)
        return Capacity(len(fit), slots if private else slots / self._siblings, private)

    def pick(self, req: Ask) -> Turn:
        """Decide about a new req: fetch, refuse, fail or hold."""
        event = api.Request(
            req.id, req.job_class, req.time_left, req.key, req.tenant, req.slots, req.is_retry
        )
        self._sent[req.id] = 0
        turn = self._call(event)
        if turn.fault or any(d.req == req.id for d in turn.decisions):
            return turn
        return Turn((*turn.decisions, Hold(req.id)), turn.next_tick)

    def report(self, outcome: Outcome) -> Turn:
        """Tell what became of a fetch or a client."""
        match outcome:
            case Began():
                return self._call(api.Started(outcome.req, outcome.number, outcome.backend))
            case Left():
                self._sent.pop(outcome.req, None)
                return self._call(api.ClientGone(outcome.req))
        if outcome.final:
            self._sent.pop(outcome.req, None)
        return self._call(
            api.Outcome(
                outcome.req, outcome.number, outcome.backend, outcome.result, outcome.duration,
                outcome.final, outcome.load,
            )
        )  # fmt: skip

    def tick(self, now: float) -> Turn:
        """Let the timers that are due run; call it at the time that the last turn named, or later."""
        decisions: list[Decision] = []
        fault: Exception | None = None
        while self._timers and self._timers[0][0] <= now:
            turn = self._call(api.TimerDue(heapq.heappop(self._timers)[2]), now)
            decisions += turn.decisions
            fault = fault or turn.fault
        return Turn(tuple(decisions), self._next_tick(), fault)

    def _next_tick(self) -> float | None:
        return self._timers[0][0] if self._timers else None

    def _call(self, event: api.Event, now: float | None = None) -> Turn:
        # The module's clock must never step back, whatever the system's does.
        self._last = max(self._last, self._clock() if now is None else now)
        fault: Exception | None = None
        try:
            actions = self._dispatcher.handle(self._last, event)
        except Exception as failure:  # what it had decided by then stands, and must reach its reqs
            actions, fault = self._dispatcher.out, failure
        decisions = [d for action in actions if (d := self._translate(action))]
        return Turn(tuple(decisions), self._next_tick(), fault)

    def _translate(self, action: api.Action) -> Decision | None:
        match action:
            case api.Send(id=id_, worker=worker, timeout=timeout):
                number = self._sent.get(id_, 0)
                self._sent[id_] = number + 1
                return Fetch(id_, number, worker, timeout)
            case api.Refuse(id=id_, backoff=backoff):
                self._sent.pop(id_, None)
                return Refuse(id_, backoff)
            case api.Fail(id=id_):
                self._sent.pop(id_, None)
                return Fail(id_)
            case api.Cancel(id=id_, attempt=attempt):
                return Cancel(id_, attempt)
            case api.SetTimer(tag=tag, delay=delay):
                heapq.heappush(self._timers, (self._last + delay, next(self._order), tag))
            case api.Close():  # every fetch opens a connection of its own: none is kept idle
                pass
            case api.Record(text=text):
                log.info("module: %s", text)
            case _:  # the platform pushes its list and this design does not probe
                log.warning("module asked for %s, which is not offered", type(action).__name__)
        return None

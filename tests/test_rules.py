"""Random legal events, seeded: rules 1 to 3 and 5 hold on every action that comes out."""

from __future__ import annotations

import random

import pytest

from oxbowyard import Dispatcher, Settings
from oxbowyard.decision.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
)
from oxbowyard.decision.events import (
    AttemptEnded,
    AttemptStarted,
    ClientDisconnected,
    EndpointsChanged,
    Event,
    Readiness,
    RequestReceived,
    Result,
    Scope,
    TimerFired,
    WorkerInfo,
)
from oxbowyard.decision.settings import JobClass, RetrySafety

CLASSES = (
    JobClass("free", latency_objective_ms=400, deadline_ms=3000, retry_safety=RetrySafety.IDEMPOTENT),
    JobClass("once", latency_objective_ms=600, deadline_ms=4000),
    JobClass("order", latency_objective_ms=600, deadline_ms=4000, is_ordered=True),
    JobClass(
        "pairs",
        latency_objective_ms=500,
        deadline_ms=3000,
        retry_safety=RetrySafety.IDEMPOTENT,
        is_ordered=True,
    ),
    JobClass(
        "keyed",
        latency_objective_ms=500,
        deadline_ms=4000,
        retry_safety=RetrySafety.DEDUPLICATED,
        dedup_scope="cell",
        dedup_window_ms=800,
    ),
)
NEVER_RAN = (Result.FULL, Result.UNREACHABLE, Result.NOT_SENT)
IN_ORDER = ("order", "pairs")
MAY_RUN_ON = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
MAYBE = (Result.ERROR, Result.RESET)


class World:
    """The other side: it plays workers and clients, and checks every action."""

    def __init__(self, seed: int, siblings: int, gap: float) -> None:
        self.rng = random.Random(seed)
        self.gap = gap
        self.later: list[Event] = []
        self.lines: dict[str, list[str]] = {}  # requests in order of a key, as taken, until over
        self.key_of: dict[str, str] = {}
        self.rests: dict[str, tuple[float, str]] = {}  # until when, and whose attempt it was
        settings = Settings(
            CLASSES,
            scheduler_count=siblings,
            ordered_gap_ms=gap,
            must_subscribe=True,
            reports_starts=True,
            may_cancel=True,
            max_attempts=4,
            initial_capacity_share=0.2,
            ramp_ms=3000,
        )
        self.d = Dispatcher(settings, seed)
        self.now = 0.0
        self.cells = {f"w{i}": i % 2 for i in range(6)}
        self.ready = set(self.cells)
        self.open: dict[str, tuple[JobClass, float]] = {}
        self.sent: dict[str, list[tuple[str, float]]] = {}
        self.out: dict[tuple[str, int], bool] = {}  # attempts out; whether started
        self.ran: dict[str, tuple[str, float]] = {}
        self.timers: list[tuple[float, int]] = []
        self.give(
            EndpointsChanged(Scope.RESTORED, tuple(WorkerInfo(w, cell=c) for w, c in self.cells.items()))
        )

    def give(self, event: Event) -> None:
        for action in self.d.handle(self.now, event):
            self.check(action)

    def check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.timers.append((self.now + action.delay_ms, action.tag))
        elif isinstance(action, StartAttempt):
            cls, deadline = self.open[action.request_id]  # nothing goes out after the final answer
            assert action.worker in self.ready and self.now < deadline
            tries = self.sent.setdefault(action.request_id, [])
            if action.request_id in self.key_of:
                line = self.lines[self.key_of[action.request_id]]
                for earlier in line[: line.index(action.request_id)]:
                    assert not self.busy(earlier), f"{action.request_id} overtook {earlier}"
                until, whose = self.rests.get(self.key_of[action.request_id], (0.0, ""))
                assert self.now >= until or whose == action.request_id
            assert not any((action.request_id, n) in self.out for n in range(len(tries)))
            if action.request_id in self.ran and cls.retry_safety is not RetrySafety.IDEMPOTENT:
                worker, when = self.ran[action.request_id]
                assert cls.retry_safety is RetrySafety.DEDUPLICATED and self.now - when < cls.dedup_window_ms
                assert self.cells[worker] == self.cells[action.worker]
            self.out[(action.request_id, len(tries))] = False
            tries.append((action.worker, self.now))
        elif isinstance(action, RejectRequest):
            cls, _ = self.open.pop(action.request_id)
            assert cls.retry_safety is RetrySafety.IDEMPOTENT or action.request_id not in self.ran
        elif isinstance(action, FailRequest):
            del self.open[action.request_id]
        elif isinstance(action, CancelAttempt):
            self.end(action.request_id, action.attempt, Result.CANCELLED)

    def busy(self, name: str) -> bool:
        return name in self.open or any(n == name for n, _ in self.out)

    def end(self, name: str, n: int, result: Result) -> None:
        if self.out.pop((name, n), None) is None:
            return
        worker, when = self.sent[name][n]
        if result not in NEVER_RAN:
            self.ran.setdefault(name, (worker, when))
        if name in self.key_of and result in MAY_RUN_ON:
            self.rests[self.key_of[name]] = self.now + self.gap, name
        final = name not in self.open
        if result is Result.OK and not final:
            del self.open[name]
            final = True
        self.later.append(AttemptEnded(name, n, worker, result, self.now - when, final))

    def settle(self) -> None:
        """No more requests: every one is answered, and every attempt ends."""
        self.later = []
        for _ in range(400):
            self.now += 20
            for due, tag in sorted(t for t in self.timers if t[0] <= self.now):
                self.timers.remove((due, tag))
                self.give(TimerFired(tag))
            for key in list(self.out):
                self.end(*key, Result.OK)
            while self.later:
                self.give(self.later.pop(0))
        assert not self.open and not self.out

    def step(self, i: int) -> None:
        rng = self.rng
        self.later = []
        self.now += rng.random() * 20
        for name, (_, deadline) in list(self.open.items()):
            if self.now >= deadline - 1:  # the last attempt times out with the client
                for key in [k for k in self.out if k[0] == name]:
                    self.end(*key, Result.TIMEOUT)
        for due, tag in sorted(t for t in self.timers if t[0] <= self.now):
            self.timers.remove((due, tag))
            self.give(TimerFired(tag))
        pick = rng.random()
        if pick < 0.4:
            cls = rng.choice(CLASSES)
            self.open[f"r{i}"] = cls, self.now + cls.deadline_ms
            data = rng.choice("abc")
            if cls.name in IN_ORDER:
                self.key_of[f"r{i}"] = data
                self.lines.setdefault(data, []).append(f"r{i}")
            self.give(RequestReceived(f"r{i}", cls.name, cls.deadline_ms, data))
        elif pick < 0.42 and self.open:
            name = rng.choice(list(self.open))
            del self.open[name]
            self.give(ClientDisconnected(name))
        elif pick < 0.9 and self.out:
            name, n = rng.choice(list(self.out))
            if rng.random() < 0.4:
                self.out[(name, n)] = True
                self.give(AttemptStarted(name, n, self.sent[name][n][0]))
            else:
                result = rng.choice((Result.OK,) * 6 + MAYBE + (() if self.out[(name, n)] else NEVER_RAN))
                self.end(name, n, result)
        elif pick < 0.94:
            worker = rng.choice(list(self.cells))
            state = rng.choice(list(Readiness))
            (self.ready.add if state is Readiness.READY else self.ready.discard)(worker)
            info = WorkerInfo(worker, state, cell=self.cells[worker], started_at_ms=self.now)
            self.give(EndpointsChanged(Scope.CHANGES, (info,)))
        elif pick < 0.96:
            self.give(EndpointsChanged(Scope.FAILED))
        while self.later:
            self.give(self.later.pop(0))
        for name, (_, deadline) in self.open.items():
            assert self.now < deadline + 25, f"{name} was never answered"


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize(("siblings", "gap"), [(2, 0.0), (2, 250.0), (100, 40.0)])
def test_the_rules_hold_in_any_order_of_events(seed: int, siblings: int, gap: float) -> None:
    world = World(seed, siblings, gap)
    for i in range(1500 if siblings < 10 else 6000):
        world.step(i)
    assert len(world.sent) > (200 if siblings < 10 else 20)  # most workers are cold, and many share them
    world.settle()
    d = world.d
    assert (
        not d.state.requests
        and not d.state.queued_requests
        and not d.state.unstarted_attempts
        and d.state.in_flight == 0
    )
    assert all(w.in_flight == 0 and not w.running and not w.unstarted for w in d.state.workers.values())
    assert not any(line.requests for line in d.state.key_queues.values())

"""Property test of the dispatcher: with random valid events, every action satisfies rules 1 to 3 and 5."""

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
ORDERED_CLASSES = ("order", "pairs")
MAY_STILL_RUN = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
MAY_HAVE_RUN = (Result.ERROR, Result.RESET)


class World:
    """Simulated workers and clients that check every action of the dispatcher."""

    def __init__(self, seed: int, scheduler_count: int, gap_ms: float) -> None:
        self.rng = random.Random(seed)
        self.gap_ms = gap_ms
        self.pending_events: list[Event] = []
        self.ordered_requests: dict[str, list[str]] = {}  # by key: its ordered requests, in order of arrival
        self.key_of: dict[str, str] = {}
        self.gaps: dict[str, tuple[float, str]] = {}  # by key: end of the ordering gap, and its request
        settings = Settings(
            CLASSES,
            scheduler_count=scheduler_count,
            ordered_gap_ms=gap_ms,
            must_subscribe=True,
            reports_starts=True,
            may_cancel=True,
            max_attempts=4,
            initial_capacity_share=0.2,
            ramp_ms=3000,
        )
        self.dispatcher = Dispatcher(settings, seed)
        self.now = 0.0
        self.cells = {f"w{i}": i % 2 for i in range(6)}
        self.ready_workers = set(self.cells)
        self.open_requests: dict[str, tuple[JobClass, float]] = {}
        self.sends: dict[str, list[tuple[str, float]]] = {}
        self.attempts: dict[tuple[str, int], bool] = {}  # attempts in progress: whether each has started
        self.first_runs: dict[str, tuple[str, float]] = {}
        self.timers: list[tuple[float, int]] = []
        self.handle_event(
            EndpointsChanged(Scope.RESTORED, tuple(WorkerInfo(w, cell=c) for w, c in self.cells.items()))
        )

    def handle_event(self, event: Event) -> None:
        for action in self.dispatcher.handle(self.now, event):
            self.check_action(action)

    def check_action(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.timers.append((self.now + action.delay_ms, action.tag))
        elif isinstance(action, StartAttempt):
            cls, deadline = self.open_requests[action.request_id]  # no attempt starts after the final answer
            assert action.worker in self.ready_workers and self.now < deadline
            earlier_attempts = self.sends.setdefault(action.request_id, [])
            if action.request_id in self.key_of:
                queue = self.ordered_requests[self.key_of[action.request_id]]
                for earlier in queue[: queue.index(action.request_id)]:
                    assert not self.is_unfinished(earlier), f"{action.request_id} overtook {earlier}"
                gap_end, gap_owner = self.gaps.get(self.key_of[action.request_id], (0.0, ""))
                assert self.now >= gap_end or gap_owner == action.request_id
            assert not any((action.request_id, n) in self.attempts for n in range(len(earlier_attempts)))
            if action.request_id in self.first_runs and cls.retry_safety is not RetrySafety.IDEMPOTENT:
                worker, when = self.first_runs[action.request_id]
                assert cls.retry_safety is RetrySafety.DEDUPLICATED and self.now - when < cls.dedup_window_ms
                assert self.cells[worker] == self.cells[action.worker]
            self.attempts[(action.request_id, len(earlier_attempts))] = False
            earlier_attempts.append((action.worker, self.now))
        elif isinstance(action, RejectRequest):
            cls, _ = self.open_requests.pop(action.request_id)
            assert cls.retry_safety is RetrySafety.IDEMPOTENT or action.request_id not in self.first_runs
        elif isinstance(action, FailRequest):
            del self.open_requests[action.request_id]
        elif isinstance(action, CancelAttempt):
            self.end_attempt(action.request_id, action.attempt, Result.CANCELLED)

    def is_unfinished(self, name: str) -> bool:
        return name in self.open_requests or any(request_id == name for request_id, _ in self.attempts)

    def end_attempt(self, name: str, attempt: int, result: Result) -> None:
        if self.attempts.pop((name, attempt), None) is None:
            return
        worker, when = self.sends[name][attempt]
        if result not in NEVER_RAN:
            self.first_runs.setdefault(name, (worker, when))
        if name in self.key_of and result in MAY_STILL_RUN:
            self.gaps[self.key_of[name]] = self.now + self.gap_ms, name
        final = name not in self.open_requests
        if result is Result.OK and not final:
            del self.open_requests[name]
            final = True
        self.pending_events.append(AttemptEnded(name, attempt, worker, result, self.now - when, final))

    def finish(self) -> None:
        """Send no more requests, and check that every request is answered and every attempt ends."""
        self.pending_events = []
        for _ in range(400):
            self.now += 20
            for due, tag in sorted(t for t in self.timers if t[0] <= self.now):
                self.timers.remove((due, tag))
                self.handle_event(TimerFired(tag))
            for key in list(self.attempts):
                self.end_attempt(*key, Result.OK)
            while self.pending_events:
                self.handle_event(self.pending_events.pop(0))
        assert not self.open_requests and not self.attempts

    def step(self, i: int) -> None:
        rng = self.rng
        self.pending_events = []
        self.now += rng.random() * 20
        for name, (_, deadline) in list(self.open_requests.items()):
            if self.now >= deadline - 1:  # the last attempt times out at the deadline of the request
                for key in [k for k in self.attempts if k[0] == name]:
                    self.end_attempt(*key, Result.TIMEOUT)
        for due, tag in sorted(t for t in self.timers if t[0] <= self.now):
            self.timers.remove((due, tag))
            self.handle_event(TimerFired(tag))
        choice = rng.random()
        if choice < 0.4:
            cls = rng.choice(CLASSES)
            self.open_requests[f"r{i}"] = cls, self.now + cls.deadline_ms
            data = rng.choice("abc")
            if cls.name in ORDERED_CLASSES:
                self.key_of[f"r{i}"] = data
                self.ordered_requests.setdefault(data, []).append(f"r{i}")
            self.handle_event(RequestReceived(f"r{i}", cls.name, cls.deadline_ms, data))
        elif choice < 0.42 and self.open_requests:
            name = rng.choice(list(self.open_requests))
            del self.open_requests[name]
            self.handle_event(ClientDisconnected(name))
        elif choice < 0.9 and self.attempts:
            name, attempt = rng.choice(list(self.attempts))
            if rng.random() < 0.4:
                self.attempts[(name, attempt)] = True
                self.handle_event(AttemptStarted(name, attempt, self.sends[name][attempt][0]))
            else:
                result = rng.choice(
                    (Result.OK,) * 6 + MAY_HAVE_RUN + (() if self.attempts[(name, attempt)] else NEVER_RAN)
                )
                self.end_attempt(name, attempt, result)
        elif choice < 0.94:
            worker = rng.choice(list(self.cells))
            state = rng.choice(list(Readiness))
            (self.ready_workers.add if state is Readiness.READY else self.ready_workers.discard)(worker)
            info = WorkerInfo(worker, state, cell=self.cells[worker], started_at_ms=self.now)
            self.handle_event(EndpointsChanged(Scope.CHANGES, (info,)))
        elif choice < 0.96:
            self.handle_event(EndpointsChanged(Scope.FAILED))
        while self.pending_events:
            self.handle_event(self.pending_events.pop(0))
        for name, (_, deadline) in self.open_requests.items():
            assert self.now < deadline + 25, f"{name} was never answered"


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize(("scheduler_count", "gap_ms"), [(2, 0.0), (2, 250.0), (100, 40.0)])
def test_rules_hold_for_random_event_sequences(seed: int, scheduler_count: int, gap_ms: float) -> None:
    world = World(seed, scheduler_count, gap_ms)
    for i in range(1500 if scheduler_count < 10 else 6000):
        world.step(i)
    # With 100 schedulers most workers are cold, and all schedulers share them: few requests are sent.
    assert len(world.sends) > (200 if scheduler_count < 10 else 20)
    world.finish()
    dispatcher = world.dispatcher
    assert (
        not dispatcher.state.requests
        and not dispatcher.state.queued_requests
        and not dispatcher.state.unstarted_attempts
        and dispatcher.state.in_flight == 0
    )
    assert all(
        w.in_flight == 0 and not w.running and not w.unstarted for w in dispatcher.state.workers.values()
    )
    assert not any(line.requests for line in dispatcher.state.key_queues.values())

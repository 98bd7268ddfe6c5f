"""Cold workers under the load of several schedulers, in virtual time: `python -m benchmarks.cold_fleet`.

Independent schedulers, each with its own dispatcher, send to one fleet of workers. Some workers start cold as
a burst begins. A cold worker fails when more than N + 2 * sqrt(N) + 2 requests of mean work reach it within
the overload window, where N is what the settings allow it at its current warmth. The seed determines the
history.
"""

from __future__ import annotations

import argparse
import heapq
import json
import math
from collections import deque
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from oxbowyard import Dispatcher, Settings
from oxbowyard.decision.actions import Action, CancelAttempt, RejectRequest, SetTimer, StartAttempt
from oxbowyard.decision.events import (
    AttemptEnded,
    AttemptStarted,
    EndpointsChanged,
    Event,
    RequestReceived,
    Scope,
    TimerFired,
    WorkerInfo,
)
from oxbowyard.decision.events import Result as AttemptResult
from oxbowyard.decision.settings import JobClass, RetrySafety

SHORT = JobClass(
    "short",
    latency_objective_ms=1000.0,
    deadline_ms=10_000.0,
    retry_safety=RetrySafety.IDEMPOTENT,
    objective_stretch=2.5,
)
ONCE = JobClass(
    "once",
    latency_objective_ms=4000.0,
    deadline_ms=25_000.0,
    retry_safety=RetrySafety.NOT_IDEMPOTENT,
    objective_stretch=2.0,
)
RAMP_MS, TIP_MULTIPLE, TIP_AFTER_MS, COLD_FROM = 22_000.0, 2.5, 3000.0, 0.15
WARM_UP_MS, COLD_MS = (12_000.0, 10_000.0)  # load before the cold workers start; the measured time after that
BURST, HOT_SHARE = 1.5, 5.0  # factor on the load; factor on one scheduler's load
MEAN_WORK_MS = {SHORT.name: 700.0, ONCE.name: 2600.0}
ONCE_SHARE = 0.3  # of the requests
MEAN_MS = ONCE_SHARE * MEAN_WORK_MS[ONCE.name] + (1 - ONCE_SHARE) * MEAN_WORK_MS[SHORT.name]


@dataclass(slots=True, frozen=True)
class Scene:
    """The parameters of a simulation."""

    schedulers: int = 20
    absent: float = 0.0  # share of the configured schedulers that do not run
    workers: int = 30
    cold: int = 4
    slots: int = 5
    load: float = 0.6  # of the warm workers' capacity, before the burst
    fresh: bool = False  # the schedulers start together with the cold workers, without learned estimates


@dataclass(slots=True)
class Work:
    """One attempt at a worker."""

    scheduler: int
    request: str
    attempt: int
    job_class: JobClass
    work_ms: float
    sent: float


@dataclass(slots=True)
class Worker:
    """A worker that serves in order and slower while it is cold. It records the work that reaches it then."""

    name: str
    slots: int
    started_at: float  # ms; -inf is long ago
    running: int = 0
    queue: deque[Work] = field(default_factory=deque)
    reached: deque[tuple[float, float]] = field(
        default_factory=deque
    )  # time, and work as a multiple of the mean
    sum_reached: float = 0.0
    fell_at: float = math.inf
    most_of_bound: float = 0.0

    def warmth(self, now: float) -> float:
        """Return the share of its full capacity that it has now."""
        age = (now - self.started_at) / RAMP_MS
        return 1.0 if age >= 1 else COLD_FROM + (1 - COLD_FROM) * age

    def receive(self, now: float, mean_works: float) -> None:
        """Record work that reaches a cold worker, and whether it exceeds the bound."""
        if now - self.started_at >= RAMP_MS:
            return
        self.reached.append((now, mean_works))
        self.sum_reached += mean_works
        while self.reached[0][0] <= now - TIP_AFTER_MS:
            self.sum_reached -= self.reached.popleft()[1]
        allowed = TIP_MULTIPLE * self.warmth(now) * self.slots / MEAN_MS * TIP_AFTER_MS
        bound = allowed + 2 * math.sqrt(allowed) + 2
        self.most_of_bound = max(self.most_of_bound, self.sum_reached / bound)
        if self.sum_reached > bound:
            self.fell_at = min(self.fell_at, now)


@dataclass(slots=True)
class Result:
    """The result of a simulation; requests count from the start of the cold workers on."""

    fallen: int = 0
    most_of_bound: float = 0.0
    asked: int = 0
    in_time: int = 0
    refused: int = 0


class ColdFleet:
    """A simulation: the schedulers, the workers and the clock."""

    def __init__(self, scene: Scene, seed: int) -> None:
        self.scene, self.random = scene, Random(seed)
        self.now = 0.0
        self.result = Result()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._submitted: dict[str, tuple[float, float, JobClass]] = {}  # time, work and class
        self._open: dict[tuple[str, int], Work] = {}
        self._attempts: dict[str, int] = {}
        self._cancelled: set[tuple[str, int]] = set()
        self.workers = {
            name: Worker(name, scene.slots, -math.inf if i >= scene.cold else WARM_UP_MS)
            for i, name in enumerate(f"w{i}" for i in range(scene.workers))
        }
        configured = round(scene.schedulers / (1 - scene.absent))
        settings = Settings(
            (SHORT, ONCE),
            scheduler_count=configured,
            max_attempts=3,
            max_retry_after_ms=2000.0,
            reports_starts=True,
            may_cancel=True,
            ramp_ms=RAMP_MS,
            initial_capacity_share=COLD_FROM,
            overload_multiple=TIP_MULTIPLE,
            overload_window_ms=TIP_AFTER_MS,
        )
        self.schedulers = [Dispatcher(settings, self.random.getrandbits(32)) for _ in range(scene.schedulers)]
        warm = tuple(self._info(w) for w in self.workers.values() if w.started_at < 0)
        self._begin = WARM_UP_MS if scene.fresh else 0.0
        if not scene.fresh:
            self._publish(0.0, warm)
        self._schedule(
            WARM_UP_MS, lambda: self._publish(WARM_UP_MS, tuple(map(self._info, self.workers.values())))
        )

    def _info(self, worker: Worker) -> WorkerInfo:
        return WorkerInfo(worker.name, kind="std", started_at_ms=max(worker.started_at, 0.0))

    def _publish(self, at: float, infos: tuple[WorkerInfo, ...]) -> None:
        for i, scheduler in enumerate(self.schedulers):
            self._execute(i, scheduler.handle(at, EndpointsChanged(Scope.FULL, infos)))

    def _schedule(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), call))

    def run(self) -> Result:
        """Run the simulation to its end."""
        rate = self.scene.load * (self.scene.workers - self.scene.cold) * self.scene.slots / MEAN_MS
        shares = [HOT_SHARE if i == 0 else 1.0 for i in range(self.scene.schedulers)]
        for i, share in enumerate(shares):
            self._next_request(i, rate * share / sum(shares))
        end = WARM_UP_MS + COLD_MS
        while self._events and self._events[0][0] < end:
            self.now, _, call = heapq.heappop(self._events)
            call()
        cold = [w for w in self.workers.values() if w.started_at > 0]
        self.result.fallen = sum(w.fell_at < math.inf for w in cold)
        self.result.most_of_bound = max(w.most_of_bound for w in cold)
        return self.result

    def _next_request(self, scheduler: int, rate: float) -> None:
        burst = BURST if self.now >= WARM_UP_MS else 1.0
        gap = self.random.expovariate(rate * burst)
        self._schedule(max(self.now, self._begin) + gap, partial(self._submit, scheduler, rate))

    def _submit(self, scheduler: int, rate: float) -> None:
        self._next_request(scheduler, rate)
        name = f"r{next(self._order)}"
        job_class = ONCE if self.random.random() < ONCE_SHARE else SHORT
        work = self.random.expovariate(1 / MEAN_WORK_MS[job_class.name])
        self._submitted[name] = (self.now, work, job_class)
        self.result.asked += self.now >= WARM_UP_MS
        key = f"k{self.random.randrange(200)}" if self.random.random() < 0.5 else None
        self._dispatch(scheduler, RequestReceived(name, job_class.name, job_class.deadline_ms, key))

    def _dispatch(self, scheduler: int, event: Event) -> None:
        self._execute(scheduler, self.schedulers[scheduler].handle(self.now, event))

    def _execute(self, scheduler: int, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case StartAttempt(request_id=name, worker=worker):
                    self._send(scheduler, name, self.workers[worker])
                case RejectRequest(request_id=name):
                    self.result.refused += self._submitted[name][0] >= WARM_UP_MS
                case SetTimer(tag=tag, delay_ms=delay):
                    self._schedule(self.now + delay, partial(self._dispatch, scheduler, TimerFired(tag)))
                case CancelAttempt(request_id=name, attempt=attempt):
                    self._schedule(self.now + 1.0, partial(self._cancel, name, attempt))

    def _send(self, scheduler: int, name: str, worker: Worker) -> None:
        attempt = self._attempts.get(name, 0)
        self._attempts[name] = attempt + 1
        _, work_ms, job_class = self._submitted[name]
        work = Work(scheduler, name, attempt, job_class, work_ms, self.now)
        self._open[name, attempt] = work
        worker.receive(self.now, work_ms / MEAN_MS)
        worker.queue.append(work)
        self._start_next(worker)

    def _start_next(self, worker: Worker) -> None:
        while worker.queue and worker.running < worker.slots:
            work = worker.queue.popleft()
            if (work.request, work.attempt) not in self._open:
                continue
            worker.running += 1
            started = AttemptStarted(work.request, work.attempt, worker.name)
            self._schedule(self.now + 1.0, partial(self._dispatch, work.scheduler, started))
            self._schedule(
                self.now + work.work_ms / worker.warmth(self.now), partial(self._end, worker, work)
            )

    def _end(self, worker: Worker, work: Work) -> None:
        worker.running -= 1
        if self._open.pop((work.request, work.attempt), None) is not None:
            submitted_at, work_ms, job_class = self._submitted[work.request]
            if (
                submitted_at >= WARM_UP_MS
                and self.now - submitted_at
                <= job_class.latency_objective_ms + job_class.objective_stretch * work_ms
            ):
                self.result.in_time += 1
            duration = self.now - work.sent
            self._report_end(worker.name, work, AttemptResult.OK, duration, final=True)
        self._start_next(worker)

    def _cancel(self, name: str, attempt: int) -> None:
        work = self._open.pop((name, attempt), None)
        if work is not None:
            worker = self.schedulers[work.scheduler].state.requests[name].attempts[attempt].worker.name
            self._report_end(worker, work, AttemptResult.CANCELLED, self.now - work.sent, final=False)

    def _report_end(
        self, worker: str, work: Work, result: AttemptResult, duration: float, final: bool
    ) -> None:
        at = self.workers[worker]
        report = {"free_slots": float(at.slots - at.running), "waiting": float(len(at.queue))}
        outcome = AttemptEnded(work.request, work.attempt, worker, result, duration, final, report)
        self._dispatch(work.scheduler, outcome)


def play(scene: Scene, seed: int) -> Result:
    """Run one simulation."""
    return ColdFleet(scene, seed).run()


SCENES = {
    f"{n} schedulers, {cold} cold{', a tenth away' if absent else ''}{', fresh' if fresh else ''}": Scene(
        n, absent, workers, cold, fresh=fresh
    )
    for n, workers in ((3, 10), (20, 30), (30, 40), (200, 200))
    for cold, absent, fresh in (
        (1, 0.0, False),
        (4, 0.0, False),
        (min(12, workers // 2), 0.0, False),
        (4, 0.1, False),
        (4, 0.0, True),
        (min(12, workers // 2), 0.0, True),
    )
}


def main() -> None:
    """Run every scene over many seeds, and print a line of JSON for each scene."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--match", default="", help="only scenes whose name contains this")
    parser.add_argument("--processes", type=int, default=2)
    options = parser.parse_args()
    with ProcessPoolExecutor(options.processes) as pool:
        for name, scene in SCENES.items():
            if options.match not in name:
                continue
            seeds = range(options.seeds)
            results = list(pool.map(partial(play, scene), seeds, chunksize=max(options.seeds // 50, 1)))
            asked = sum(r.asked for r in results)
            print(
                json.dumps(
                    {
                        "scene": name,
                        "seeds": options.seeds,
                        "histories_with_a_fall": sum(r.fallen > 0 for r in results) / options.seeds,
                        "most_of_bound": round(max(r.most_of_bound for r in results), 2),
                        "in_time": round(sum(r.in_time for r in results) / asked, 3),
                        "refused": round(sum(r.refused for r in results) / asked, 3),
                    }
                ),
                flush=True,
            )


if __name__ == "__main__":
    main()

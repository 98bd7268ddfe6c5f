"""Digests all actions of schedulers in simulated histories.

    python -m benchmarks.decision_replay record FILE
    python -m benchmarks.decision_replay check FILE

`record` runs the histories and writes their digests; `check` runs them again and compares. A refactoring of
the decisions must leave every digest unchanged, which includes the order of random draws, of sums and of
dictionaries. Schedulers, workers, clients and the list service are simulated in virtual time, in a closed
loop: what a scheduler sends determines what it receives next. Messages use the simulator's wire format, which
does not change; events that this format lacks are created by `peer_faults` and `private_workers`.
"""

from __future__ import annotations

import argparse
import hashlib
import heapq
import itertools
import json
import sys
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import orjson

from oxbowyard.decision import snapshot
from oxbowyard.decision.events import (
    EndpointsChanged,
    Event,
    PeerFaultsChanged,
    Scope,
    WorkerFault,
    WorkerInfo,
)
from oxbowyard.handover import learned
from oxbowyard.simhost import SimulatorSession

SNAPSHOT_EVERY_MS = 5000.0
CONNECT_TIMEOUT_MS = 250.0


def peer_faults(rows: list[tuple[str, float, float]]) -> Event:
    """Return faults reported by peers: worker, time for which to avoid it, and since when it is cold."""
    return PeerFaultsChanged(tuple(WorkerFault(*row) for row in rows))


def private_workers(names: list[str], classes: list[str], slots: int) -> Event:
    """Return workers that are connected to this scheduler only and run some classes only."""
    workers = tuple(
        WorkerInfo(name, classes=frozenset(classes), slots=slots, is_exclusive=True, kind="private")
        for name in names
    )
    return EndpointsChanged(Scope.CHANGES, workers)


@dataclass(frozen=True)
class Scenario:
    """The parameters of a history."""

    name: str
    lanes: tuple[dict[str, Any], ...]
    siblings: int = 3
    instances: int = 2
    workers: int = 12
    slots: int = 4
    queue: int = 6
    keys: int = 40
    rate: float = 60.0  # requests per second and scheduler
    seconds: float = 60.0
    work_ms: float = 300.0
    discovery: str = "push"
    weights: str = "silent"
    is_fifo: bool = False
    has_load_reports: bool = False
    may_cancel: bool = True
    by_work: bool = False
    turn_gap_ms: float = 0.0
    tenants: tuple[tuple[str, float], ...] = ()
    restarts_per_s: float = 0.0  # over the fleet
    hangs_per_s: float = 0.0
    failing_share: float = 0.0  # share of workers that fail a class
    reset_share: float = 0.0  # share of attempts whose connection is reset
    leave_share: float = 0.0  # share of requests whose client leaves
    has_peer_faults: bool = False  # peers report faults of workers
    has_handovers: bool = False  # a scheduler is replaced by one that inherits its estimates
    exclusive_workers: int = 0  # workers connected to one scheduler only


def _lane(name: str, semantics: str, aim: float, deadline: float, **more: Any) -> dict[str, Any]:
    return {"name": name, "semantics": semantics, "aim": aim, "deadline": deadline, **more}


PREVIEW = _lane("preview", "free", 1000.0, 10_000.0, worth=1.0, aimStretch=2.5)
CHECK = _lane("check", "guarded", 800.0, 5000.0, worth=5.0, group="cell", memorySpan=3000.0)
EVERYWHERE = _lane("everywhere", "guarded", 600.0, 4000.0, worth=2.0, group="all", memorySpan=2000.0)
ZONED = _lane("zoned", "guarded", 700.0, 4000.0, worth=2.0, group="zone", memorySpan=2000.0)
ONCE = _lane("once", "single_shot", 3000.0, 12_000.0, worth=8.0, aimStretch=2.0)
ORDERED = _lane("ordered", "single_shot", 2000.0, 9000.0, worth=4.0, inOrder=True)
ORDERED_FREE = _lane("ordered-free", "free", 1000.0, 6000.0, worth=1.0, inOrder=True)
STREAM = _lane("stream", "free", 1000.0, 6000.0, worth=1.0, streaming=True)

SCENARIOS = (
    Scenario("keyed", (PREVIEW, CHECK, ONCE), keys=25, rate=45.0, leave_share=0.02),
    Scenario(
        "cold",
        (PREVIEW, ONCE),
        workers=16,
        rate=40.0,
        restarts_per_s=0.6,
        reset_share=0.02,
        has_load_reports=True,
        by_work=True,
    ),
    Scenario(
        "large",
        (PREVIEW, CHECK, ONCE),
        siblings=200,
        instances=3,
        workers=60,
        rate=25.0,
        discovery="ask",
        weights="live",
        restarts_per_s=1.0,
        reset_share=0.01,
        keys=200,
        work_ms=500.0,
    ),
    Scenario(
        "wide",
        (PREVIEW, EVERYWHERE),
        siblings=40,
        instances=2,
        workers=80,
        rate=45.0,
        has_load_reports=True,
        restarts_per_s=0.5,
        hangs_per_s=0.2,
        keys=6,
        has_peer_faults=True,
        work_ms=150.0,
    ),
    Scenario(
        "quotas",
        (PREVIEW, EVERYWHERE, ONCE),
        workers=6,
        queue=3,
        rate=60.0,
        has_load_reports=True,
        may_cancel=False,
        tenants=(("a", 30.0), ("b", 20.0), ("c", 60.0), ("d", 0.0)),
        failing_share=0.2,
    ),
    Scenario(
        "ordered",
        (ORDERED, ORDERED_FREE, ONCE, STREAM),
        is_fifo=True,
        turn_gap_ms=250.0,
        rate=30.0,
        hangs_per_s=0.1,
        reset_share=0.02,
        keys=12,
        workers=8,
        leave_share=0.02,
    ),
    Scenario(
        "moves",
        (PREVIEW, ZONED),
        siblings=1,
        instances=1,
        workers=8,
        hangs_per_s=0.3,
        rate=45.0,
        keys=10,
        seconds=100.0,
    ),
    Scenario(
        "replaced",
        (PREVIEW, CHECK, ONCE),
        rate=45.0,
        failing_share=0.25,
        restarts_per_s=0.3,
        has_peer_faults=True,
        has_handovers=True,
        has_load_reports=True,
        keys=30,
    ),
    Scenario(
        "private",
        (PREVIEW, ONCE),
        siblings=2,
        workers=4,
        rate=30.0,
        exclusive_workers=4,
        hangs_per_s=0.05,
        failing_share=0.25,
    ),
)


@dataclass(eq=False)
class Attempt:
    """An attempt at a worker."""

    scheduler: int
    request: str
    number: int
    worker: str
    sent: float
    job_class: str
    has_ended: bool = False


@dataclass(eq=False)
class WorkerModel:
    """The true state of a worker."""

    name: str
    zone: str
    kind: str
    cell: int
    size: float
    speed: float
    fails: str = ""
    is_up: bool = True
    hangs_until: float = 0.0
    cold_since: float | None = None
    state: str = "Ready"
    running: list[Attempt] = field(default_factory=list)
    queue: list[Attempt] = field(default_factory=list)


@dataclass(eq=False)
class RequestModel:
    """A request as its client sees it."""

    scheduler: int
    lane: dict[str, Any]
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    is_open: bool = True
    streaming: bool = False


class World:
    """Simulates everything but the schedulers, and hashes each line that they write."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.random = Random(f"{scenario.name}-{seed}")
        self.session = SimulatorSession()
        self.digest = hashlib.blake2b(digest_size=16)
        self.now = 0.0
        self.count: Counter[str] = Counter()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.requests: dict[str, RequestModel] = {}
        self.workers = {w.name: w for w in map(self._worker, range(scenario.workers))}
        self.exclusive_workers = {
            f"p{i}": WorkerModel(f"p{i}", "", "private", 0, 1.0, 1.0, PREVIEW["name"] if i == 0 else "")
            for i in range(scenario.exclusive_workers)
        }
        self.subscribed: set[int] = set()

    def _worker(self, index: int) -> WorkerModel:
        scenario, rng = self.scenario, self.random
        kind, size = rng.choice((("slow", 1.0), ("fast", 2.0)))
        speed = 2.0 if kind == "fast" else 1.0
        fails = rng.choice(scenario.lanes)["name"] if rng.random() < scenario.failing_share else ""
        return WorkerModel(f"w{index}", rng.choice("ab"), kind, index % 3, size, speed, fails)

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Call an action after a delay in ms."""
        heapq.heappush(self._queue, (self.now + delay, next(self._order), action))

    def run(self) -> None:
        """Run the history to its end."""
        for scheduler in range(self.scenario.instances):
            self.start(scheduler)
            self.schedule(
                self.random.expovariate(self.scenario.rate) * 1000,
                lambda scheduler=scheduler: self.arrive(scheduler),  # type: ignore[misc]
            )
        self.schedule(100.0, self.inject_faults)
        if self.scenario.has_peer_faults:
            self.schedule(700.0, self.send_peer_faults)
        if self.scenario.has_handovers:
            self.schedule(20_000.0, self.replace_scheduler)
        self.schedule(SNAPSHOT_EVERY_MS, self.take_snapshots)
        end = self.scenario.seconds * 1000
        while self._queue and self._queue[0][0] < end + 15_000:
            self.now, _, action = heapq.heappop(self._queue)
            action()

    # ---- Schedulers ----

    def start(self, scheduler: int) -> None:
        """Start a scheduler and send it the list."""
        self.send_line(["born", scheduler, 1000 + scheduler, self.settings(scheduler)])
        if self.scenario.exclusive_workers:
            event = private_workers(
                list(self.exclusive_workers), [lane["name"] for lane in self.scenario.lanes], 2
            )
            self.send_event(scheduler, event)
        self.send_list(scheduler, "restored")

    def settings(self, scheduler: int) -> dict[str, Any]:
        """Return the settings with which a scheduler starts."""
        scenario = self.scenario
        return {
            "me": scheduler,
            "siblings": scenario.siblings,
            "discovery": scenario.discovery,
            "weights": scenario.weights,
            "myZone": "ab"[scheduler % 2],
            "zones": ["a", "b"],
            "kinds": ["slow", "fast"],
            "lanes": list(scenario.lanes),
            "worthBy": "work" if scenario.by_work else "request",
            "familyInfo": {
                "classKind": [-1] * len(scenario.lanes),
                "tellsStart": True,
                "reportX0": "free slots",
                "queueOrder": "fifo" if scenario.is_fifo else "backfill",
            },
            "loadReport": {
                "names": ["waiting", "x0"],
                "via": "piggyback" if scenario.has_load_reports else "silent",
            },
            "policyLimits": {
                "maxAttempts": 3,
                "mayCancel": scenario.may_cancel,
                "retryAfter": True,
                "maxRetryAfter": 2000.0,
                "connectTimeout": CONNECT_TIMEOUT_MS,
                "connIdle": 4000.0,
            },
            "rules": {
                "coldFrom": 0.15,
                "rampTime": 9000.0,
                "tipAfter": 1500.0,
                "tipMultiple": 2.5,
                "stopSendingWithin": 1000.0,
                "askEvery": 10_000.0,
                "turnGap": scenario.turn_gap_ms,
            },
            "accounts": [{"name": name, "quotaPerS": quota} for name, quota in scenario.tenants],
        }

    def send_line(self, message: list[Any]) -> None:
        """Send a line of the wire to its scheduler and execute the replies."""
        self.count[message[0]] += 1
        replies = self.session.handle_line(self.now, message)
        self.execute(replies)

    def send_event(self, scheduler: int, event: Event) -> None:
        """Send an event that the wire format lacks, and execute the resulting actions."""
        from oxbowyard.simhost import encode

        self.count[type(event).__name__] += 1
        self.execute(
            [
                encode(scheduler, action)
                for action in self.session.instances[scheduler].handle(self.now, event)
            ]
        )

    def execute(self, replies: list[bytes]) -> None:
        """Hash the lines, then execute them."""
        self.digest.update(b"%.6f;" % self.now)
        lines = [orjson.loads(reply) for reply in replies]
        for reply, (name, _, *rest) in zip(replies, lines, strict=True):
            text = rest[0].partition(":")[0].encode() if name == "internalError" else reply
            self.digest.update(
                text + b"\n"
            )  # of an error only the type, because its text contains names of the code
        for name, scheduler, *rest in lines:
            self.count[f"-> {name}"] += 1
            getattr(self, f"on_{name}")(scheduler, *rest)

    # ---- Actions of the schedulers ----

    def on_passOn(self, scheduler: int, handle: str, worker: str, timeout: float) -> None:
        """Send an attempt to its worker."""
        request = self.requests[handle]
        attempt = Attempt(scheduler, handle, len(request.attempts), worker, self.now, request.lane["name"])
        request.attempts.append(attempt)
        self.schedule(self.random.uniform(0.5, 3.0), lambda: self.arrive_at_worker(attempt))

    def on_abandon(self, scheduler: int, handle: str, number: int) -> None:
        """Cancel an attempt."""
        attempt = self.requests[handle].attempts[number]
        self.schedule(0.5, lambda: self.end(attempt, "CXL"))

    def on_decline(self, scheduler: int, handle: str, backoff: float) -> None:
        """Record the rejection as the final answer; the client may retry."""
        self.requests[handle].is_open = False
        if self.random.random() < 0.3:
            self.schedule(
                backoff + self.random.uniform(10.0, 50.0), lambda: self.submit(scheduler, retry=True)
            )

    def on_giveUp(self, scheduler: int, handle: str) -> None:
        """Record the final answer."""
        self.requests[handle].is_open = False

    def on_defer(self, scheduler: int, tag: int, delay: float) -> None:
        """Set a timer."""
        instance = self.session.instances[scheduler]

        def due() -> None:
            if self.session.instances.get(scheduler) is instance:
                self.send_line(["reminder", scheduler, tag])

        self.schedule(delay, due)

    def on_close(self, scheduler: int, worker: str) -> None:
        """Do nothing, because idle connections are not modelled."""

    def on_internalError(self, scheduler: int, text: str) -> None:
        """Count an exception of the decisions, which is also part of the digest."""
        self.count[f"fault: {text.partition(':')[0]}"] += 1

    def on_record(self, scheduler: int, text: str) -> None:
        """Ignore a log line."""

    def on_follow(self, scheduler: int, on: bool) -> None:
        """Subscribe a scheduler to the list; one call in five fails."""
        if self.random.random() < 0.2:
            self.subscribed.discard(scheduler)
            self.schedule(40.0, lambda: self.send_line(["membership", scheduler, "unavailable", 0, 0]))
        else:
            self.subscribed.add(scheduler)
            self.schedule(8.0, lambda: self.send_list(scheduler, "replace"))

    # ---- Requests ----

    def arrive(self, scheduler: int) -> None:
        """Submit a request and schedule the next arrival."""
        if self.now < self.scenario.seconds * 1000:
            self.submit(scheduler)
            burst = 1.8 if int(self.now / 7000) % 3 == 2 else 1.0
            self.schedule(
                self.random.expovariate(self.scenario.rate * burst) * 1000, lambda: self.arrive(scheduler)
            )

    def submit(self, scheduler: int, retry: bool = False) -> None:
        """Submit a request."""
        rng, scenario = self.random, self.scenario
        if scheduler not in self.session.instances:
            return
        lane = rng.choice(scenario.lanes)
        left = lane["deadline"] if rng.random() < 0.9 else rng.uniform(0.0, lane["deadline"])
        handle = f"r{len(self.requests)}"
        key = f"{min(int(rng.paretovariate(0.8)), scenario.keys):016x}" if rng.random() < 0.85 else None
        tenant = rng.choice(scenario.tenants)[0] if scenario.tenants else None
        self.requests[handle] = request = RequestModel(scheduler, lane, self.now + left)
        self.schedule(left, lambda: self.expire(handle))
        if rng.random() < scenario.leave_share:
            self.schedule(rng.uniform(5.0, 800.0), lambda: self.leave(handle))
        self.send_line(
            ["submit", scheduler, handle, tenant, lane["name"], None, False, False, left, 1, retry, None, key]
        )
        if not request.is_open:
            self.count["answered at once"] += 1

    def expire(self, handle: str) -> None:
        """End the attempts of a request whose deadline has passed, unless it is streaming."""
        request = self.requests[handle]
        if request.streaming:
            return
        for attempt in request.attempts:
            self.end(attempt, "LATE")

    def leave(self, handle: str) -> None:
        """Let the client disconnect early."""
        request = self.requests[handle]
        if request.is_open:
            request.is_open = False
            self.send_line(["aborted", request.scheduler, handle])

    # ---- Workers ----

    def arrive_at_worker(self, attempt: Attempt) -> None:
        """Queue an attempt at its worker, or fail it."""
        if attempt.has_ended:
            return
        worker = self.workers.get(attempt.worker) or self.exclusive_workers[attempt.worker]
        if not worker.is_up:
            self.end(attempt, "NOCONN")
        elif self.random.random() < self.scenario.reset_share:
            self.schedule(self.random.uniform(1.0, 200.0), lambda: self.end(attempt, "RST"))
        elif self.random.random() < 0.002:
            self.schedule(CONNECT_TIMEOUT_MS, lambda: self.end(attempt, "NOCONN"))
        elif len(worker.queue) >= self.scenario.queue:
            self.end(attempt, "FULL")
        elif worker.fails == attempt.job_class and self.random.random() < 0.7:
            self.schedule(5.0, lambda: self.end(attempt, "BAD"))
        else:
            worker.queue.append(attempt)
            self.begin_next(worker)

    def begin_next(self, worker: WorkerModel) -> None:
        """Start queued attempts while slots are free."""
        while worker.queue and len(worker.running) < self.scenario.slots and self.now >= worker.hangs_until:
            attempt = worker.queue.pop(0)
            if attempt.has_ended or (self.random.random() < 0.01 and self.scenario.is_fifo):
                continue  # a worker with a FIFO queue loses some jobs
            worker.running.append(attempt)
            self.send_line(
                ["notice", attempt.scheduler, attempt.request, 1, worker.name, None, attempt.number]
            )
            request = self.requests[attempt.request]
            if request.lane.get("streaming"):
                request.streaming = True
                self.send_line(
                    ["ackFirst", attempt.scheduler, attempt.request, attempt.number, worker.name, 1.0]
                )
            warmth = (
                1.0 if worker.cold_since is None else min(0.15 + (self.now - worker.cold_since) / 9000.0, 1.0)
            )
            work = self.random.gammavariate(2.0, self.scenario.work_ms / 2) / worker.speed / warmth
            ending = "BAD" if self.random.random() < 0.01 else "GOOD"
            self.schedule(work, lambda a=attempt, e=ending: self.end(a, e))  # type: ignore[misc]

    def end(self, attempt: Attempt, verdict: str) -> None:
        """Report the outcome of an attempt, once."""
        if attempt.has_ended:
            return
        worker = self.workers.get(attempt.worker) or self.exclusive_workers[attempt.worker]
        if verdict in ("GOOD", "BAD") and attempt in worker.running and self.now < worker.hangs_until:
            self.schedule(worker.hangs_until - self.now + 1.0, lambda: self.end(attempt, verdict))
            return
        attempt.has_ended = True
        for place in (worker.running, worker.queue):
            if attempt in place:
                place.remove(attempt)
        request = self.requests[attempt.request]
        if verdict == "GOOD":
            request.is_open = False
        load = None
        if self.scenario.has_load_reports and verdict in ("GOOD", "BAD", "FULL"):
            load = {
                "waiting": float(len(worker.queue)),
                "x0": float(self.scenario.slots - len(worker.running)),
            }
        self.send_line(
            [
                "outcome",
                attempt.scheduler,
                attempt.request,
                attempt.number,
                attempt.worker,
                verdict,
                self.now - attempt.sent,
                not request.is_open,
                None,
                load,
            ]
        )
        self.begin_next(worker)

    def inject_faults(self) -> None:
        """Let workers restart, hang and drain, and weights change."""
        scenario, rng = self.scenario, self.random
        worker = rng.choice(list(self.workers.values()))
        if rng.random() < scenario.restarts_per_s * 0.1 and worker.is_up:
            self.take_down(worker)
        if rng.random() < scenario.hangs_per_s * 0.1:
            worker.hangs_until = self.now + rng.uniform(500.0, 6000.0)
            self.schedule(worker.hangs_until - self.now, lambda: self.begin_next(worker))
        if scenario.weights == "live" and rng.random() < 0.3:
            for scheduler in sorted(self.subscribed):
                self.send_list(scheduler, "update", rng.sample(list(self.workers), 8))
        if rng.random() < 0.01:
            for scheduler in sorted(self.session.instances):
                self.send_list(scheduler, "replace")
        self.schedule(100.0, self.inject_faults)

    def take_down(self, worker: WorkerModel) -> None:
        """Drain or kill a worker; it returns cold."""
        worker.state = "Terminating" if self.random.random() < 0.5 else "Gone"
        if worker.state == "Gone":
            worker.is_up = False
            for attempt in [*worker.running, *worker.queue]:
                self.end(attempt, "RST")
        self.schedule(self.random.uniform(50.0, 400.0), lambda: self.announce(worker))
        self.schedule(self.random.uniform(1500.0, 4000.0), lambda: self.restart(worker))

    def restart(self, worker: WorkerModel) -> None:
        """Bring a worker back, cold."""
        worker.is_up, worker.state, worker.cold_since = True, "Ready", self.now
        self.announce(worker)

    def announce(self, worker: WorkerModel) -> None:
        """Send the worker's entry to all subscribed schedulers."""
        for scheduler in sorted(self.session.instances):
            if self.scenario.discovery == "push" or scheduler in self.subscribed:
                self.send_list(scheduler, "update", [worker.name])

    def send_list(self, scheduler: int, scope: str, names: list[str] | None = None) -> None:
        """Send a scheduler the list, or some entries of it."""
        rows = []
        for name in names or list(self.workers):
            worker = self.workers[name]
            weight = 1.0
            if self.scenario.weights == "live":
                held = (len(worker.running) + len(worker.queue)) / self.scenario.slots
                weight = worker.size / (1 + held) * self.random.uniform(0.98, 1.0)
            rows.append(
                [name, worker.zone, worker.kind, worker.cell, worker.state, weight, worker.cold_since]
            )
        if scope == "replace" and self.random.random() < 0.3:
            rows.pop()
        self.send_line(["inventory", 0, rows])
        self.send_line(["membership", scheduler, scope, 1, 0])

    # ---- Events that the wire format lacks ----

    def send_peer_faults(self) -> None:
        """Let peers report faults of workers, sometimes of implausibly many."""
        rng = self.random
        names = rng.sample(list(self.workers), rng.choice((1, 2, len(self.workers) // 2)))
        rows = [(n, rng.uniform(0.0, 6000.0), self.now - 500.0 if rng.random() < 0.3 else 0.0) for n in names]
        for scheduler in sorted(self.session.instances):
            self.send_event(scheduler, peer_faults(rows))
        self.schedule(rng.uniform(300.0, 1500.0), self.send_peer_faults)

    def take_snapshots(self) -> None:
        """Hash the snapshots for a successor as well."""
        for scheduler in sorted(self.session.instances):
            self.digest.update(
                learned.encode(snapshot.take(self.session.instances[scheduler].state, self.now), 1)
            )
        self.schedule(SNAPSHOT_EVERY_MS, self.take_snapshots)

    def replace_scheduler(self) -> None:
        """Replace scheduler 0 by a successor that inherits its estimates. Its requests end with it."""
        text = learned.encode(snapshot.take(self.session.instances[0].state, self.now), 1)
        self.send_line(["powerOff", 0])
        for request in self.requests.values():
            if request.scheduler == 0:
                request.is_open = False
                for attempt in request.attempts:
                    attempt.has_ended = True
        for worker in self.workers.values():
            worker.running = [a for a in worker.running if not a.has_ended]
            worker.queue = [a for a in worker.queue if not a.has_ended]
        self.start(0)
        snapshot.restore(self.session.instances[0].state, learned.decode(text, 1, self.now), self.now)


@dataclass(frozen=True)
class Result:
    """The result of one history."""

    name: str
    digest: str
    events: int
    counts: dict[str, int]


def play(index: int) -> Result:
    """Run one scenario."""
    world = World(SCENARIOS[index], seed=1)
    world.run()
    events = sum(n for name, n in world.count.items() if not name.startswith("->") and name != "inventory")
    return Result(SCENARIOS[index].name, world.digest.hexdigest(), events, dict(sorted(world.count.items())))


def play_all(jobs: int) -> list[Result]:
    """Run all scenarios in parallel processes."""
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(play, range(len(SCENARIOS))))


def main() -> int:
    """Record or check the digests; a check exits with 1 if a digest differs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("command", choices=("record", "check"))
    parser.add_argument("file", type=Path)
    parser.add_argument("--jobs", type=int, default=3, help="scenarios run in parallel")
    arguments = parser.parse_args()
    results = play_all(arguments.jobs)
    for result in results:
        print(f"{result.name:10} {result.events:7} events  {result.digest}")
        for name, number in result.counts.items():
            if name.startswith("fault"):
                print(f"           {number} x {name}")
    print(f"{sum(result.events for result in results)} events")
    if arguments.command == "record":
        document = {r.name: {"digest": r.digest, "events": r.events, "counts": r.counts} for r in results}
        arguments.file.write_text(json.dumps(document, indent=1) + "\n")
        return 0
    known = json.loads(arguments.file.read_text())
    differing = [r.name for r in results if known.get(r.name, {}).get("digest") != r.digest]
    print(f"other actions than recorded: {', '.join(differing)}" if differing else "same actions")
    return 1 if differing else 0


if __name__ == "__main__":
    sys.exit(main())

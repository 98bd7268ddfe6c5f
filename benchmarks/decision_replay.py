"""A digest of every action that drawn histories lead to: `python -m benchmarks.decision_replay record FILE`.

`record` plays the histories and writes their digests, `check` plays them again and compares. A change of the
decisions' code that is meant to change no decision leaves every digest as it was: the order of random draws,
of sums and of dictionaries included. Schedulers, workers, clients and the list service are played in virtual
time, in a closed loop: what a scheduler sends decides what it hears next. All goes through the simulator's
wire, whose form does not change; what that wire cannot say is built in `peer_faults` and `private_workers`.
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
    """What peers tell of workers: name, how long it is to be spared yet, since when it is cold."""
    return PeerFaultsChanged(tuple(WorkerFault(*row) for row in rows))


def private_workers(names: list[str], classes: list[str], slots: int) -> Event:
    """Workers that connected to this scheduler alone and run some classes only."""
    workers = tuple(
        WorkerInfo(name, classes=frozenset(classes), slots=slots, is_exclusive=True, kind="private")
        for name in names
    )
    return EndpointsChanged(Scope.CHANGES, workers)


@dataclass(frozen=True)
class Draw:
    """One kind of history."""

    name: str
    lanes: tuple[dict[str, Any], ...]
    siblings: int = 3
    instances: int = 2
    workers: int = 12
    slots: int = 4
    queue: int = 6
    keys: int = 40
    rate: float = 60.0  # requests a second and scheduler
    seconds: float = 60.0
    work_ms: float = 300.0
    discovery: str = "push"
    weights: str = "silent"
    fifo: bool = False
    reports: bool = False
    cancel: bool = True
    by_work: bool = False
    turn_gap: float = 0.0
    tenants: tuple[tuple[str, float], ...] = ()
    restarts: float = 0.0  # a second, over the fleet
    hangs: float = 0.0
    failing: float = 0.0  # share of workers that fail a class
    resets: float = 0.0  # share of attempts whose connection is reset
    leaves: float = 0.0  # share of requests whose client leaves
    faults: bool = False  # peers tell of workers
    handovers: bool = False  # a scheduler is replaced by one that goes on from its estimates
    private: int = 0  # workers that only one scheduler has


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
    Draw("keyed", (PREVIEW, CHECK, ONCE), keys=25, rate=45.0, leaves=0.02),
    Draw(
        "cold", (PREVIEW, ONCE), workers=16, rate=40.0, restarts=0.6, resets=0.02, reports=True, by_work=True
    ),
    Draw(
        "large",
        (PREVIEW, CHECK, ONCE),
        siblings=200,
        instances=3,
        workers=60,
        rate=25.0,
        discovery="ask",
        weights="live",
        restarts=1.0,
        resets=0.01,
        keys=200,
        work_ms=500.0,
    ),
    Draw(
        "wide",
        (PREVIEW, EVERYWHERE),
        siblings=40,
        instances=2,
        workers=80,
        rate=45.0,
        reports=True,
        restarts=0.5,
        hangs=0.2,
        keys=6,
        faults=True,
        work_ms=150.0,
    ),
    Draw(
        "quotas",
        (PREVIEW, EVERYWHERE, ONCE),
        workers=6,
        queue=3,
        rate=60.0,
        reports=True,
        cancel=False,
        tenants=(("a", 30.0), ("b", 20.0), ("c", 60.0), ("d", 0.0)),
        failing=0.2,
    ),
    Draw(
        "ordered",
        (ORDERED, ORDERED_FREE, ONCE, STREAM),
        fifo=True,
        turn_gap=250.0,
        rate=30.0,
        hangs=0.1,
        resets=0.02,
        keys=12,
        workers=8,
        leaves=0.02,
    ),
    Draw(
        "moves",
        (PREVIEW, ZONED),
        siblings=1,
        instances=1,
        workers=8,
        hangs=0.3,
        rate=45.0,
        keys=10,
        seconds=100.0,
    ),
    Draw(
        "replaced",
        (PREVIEW, CHECK, ONCE),
        rate=45.0,
        failing=0.25,
        restarts=0.3,
        faults=True,
        handovers=True,
        reports=True,
        keys=30,
    ),
    Draw("private", (PREVIEW, ONCE), siblings=2, workers=4, rate=30.0, private=4, hangs=0.05, failing=0.25),
)


@dataclass(eq=False)
class Attempt:
    """One that is out."""

    who: int
    request: str
    number: int
    worker: str
    sent: float
    job_class: str
    over: bool = False


@dataclass(eq=False)
class WorkerModel:
    """A worker as the world has it."""

    name: str
    zone: str
    kind: str
    cell: int
    size: float
    speed: float
    fails: str = ""
    up: bool = True
    hangs_until: float = 0.0
    since: float | None = None
    state: str = "Ready"
    running: list[Attempt] = field(default_factory=list)
    queue: list[Attempt] = field(default_factory=list)


@dataclass(eq=False)
class RequestModel:
    """A request as its client has it."""

    who: int
    lane: dict[str, Any]
    deadline: float
    attempts: list[Attempt] = field(default_factory=list)
    open: bool = True
    streaming: bool = False


class World:
    """Everything that is not a scheduler; it hashes each line that the schedulers write."""

    def __init__(self, draw: Draw, seed: int) -> None:
        self.draw = draw
        self.random = Random(f"{draw.name}-{seed}")
        self.link = SimulatorSession()
        self.digest = hashlib.blake2b(digest_size=16)
        self.now = 0.0
        self.count: Counter[str] = Counter()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.requests: dict[str, RequestModel] = {}
        self.workers = {w.name: w for w in map(self._worker, range(draw.workers))}
        self.private = {
            f"p{i}": WorkerModel(f"p{i}", "", "private", 0, 1.0, 1.0, PREVIEW["name"] if i == 0 else "")
            for i in range(draw.private)
        }
        self.subscribed: set[int] = set()

    def _worker(self, index: int) -> WorkerModel:
        draw, rng = self.draw, self.random
        kind, size = rng.choice((("slow", 1.0), ("fast", 2.0)))
        speed = 2.0 if kind == "fast" else 1.0
        fails = rng.choice(draw.lanes)["name"] if rng.random() < draw.failing else ""
        return WorkerModel(f"w{index}", rng.choice("ab"), kind, index % 3, size, speed, fails)

    def at(self, delay: float, action: Callable[[], None]) -> None:
        """Do it after this delay."""
        heapq.heappush(self._queue, (self.now + delay, next(self._order), action))

    def run(self) -> None:
        """Play the history to its end."""
        for who in range(self.draw.instances):
            self.start(who)
            self.at(self.random.expovariate(self.draw.rate) * 1000, lambda who=who: self.arrival(who))  # type: ignore[misc]
        self.at(100.0, self.trouble)
        if self.draw.faults:
            self.at(700.0, self.tell_faults)
        if self.draw.handovers:
            self.at(20_000.0, self.replace)
        self.at(SNAPSHOT_EVERY_MS, self.take_snapshots)
        end = self.draw.seconds * 1000
        while self._queue and self._queue[0][0] < end + 15_000:
            self.now, _, action = heapq.heappop(self._queue)
            action()

    # ---- Schedulers ----

    def start(self, who: int) -> None:
        """Begin a scheduler with the list in hand."""
        self.tell(["born", who, 1000 + who, self.settings(who)])
        if self.draw.private:
            event = private_workers(list(self.private), [lane["name"] for lane in self.draw.lanes], 2)
            self.give(who, event)
        self.tell_list(who, "restored")

    def settings(self, who: int) -> dict[str, Any]:
        """The settings that a scheduler is born with."""
        draw = self.draw
        return {
            "me": who,
            "siblings": draw.siblings,
            "discovery": draw.discovery,
            "weights": draw.weights,
            "myZone": "ab"[who % 2],
            "zones": ["a", "b"],
            "kinds": ["slow", "fast"],
            "lanes": list(draw.lanes),
            "worthBy": "work" if draw.by_work else "request",
            "familyInfo": {
                "classKind": [-1] * len(draw.lanes),
                "tellsStart": True,
                "reportX0": "free slots",
                "queueOrder": "fifo" if draw.fifo else "backfill",
            },
            "loadReport": {"names": ["waiting", "x0"], "via": "piggyback" if draw.reports else "silent"},
            "policyLimits": {
                "maxAttempts": 3,
                "mayCancel": draw.cancel,
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
                "turnGap": draw.turn_gap,
            },
            "accounts": [{"name": name, "quotaPerS": quota} for name, quota in draw.tenants],
        }

    def tell(self, message: list[Any]) -> None:
        """Hand one line of the wire to its scheduler and carry out what it answers."""
        self.count[message[0]] += 1
        replies = self.link.handle_line(self.now, message)
        self.carry_out(replies)

    def give(self, who: int, event: Event) -> None:
        """The same for an event that the wire has no line for."""
        from oxbowyard.simhost import encode

        self.count[type(event).__name__] += 1
        self.carry_out([encode(who, action) for action in self.link.instances[who].handle(self.now, event)])

    def carry_out(self, replies: list[bytes]) -> None:
        """Hash the lines, then do what they say."""
        self.digest.update(b"%.6f;" % self.now)
        lines = [orjson.loads(reply) for reply in replies]
        for reply, (name, _, *rest) in zip(replies, lines, strict=True):
            text = rest[0].partition(":")[0].encode() if name == "internalError" else reply
            self.digest.update(text + b"\n")  # of a fault its type alone: the text shows names of the code
        for name, who, *rest in lines:
            self.count[f"-> {name}"] += 1
            getattr(self, f"on_{name}")(who, *rest)

    # ---- What a scheduler asks for ----

    def on_passOn(self, who: int, handle: str, worker: str, timeout: float) -> None:
        """Send an attempt."""
        request = self.requests[handle]
        attempt = Attempt(who, handle, len(request.attempts), worker, self.now, request.lane["name"])
        request.attempts.append(attempt)
        self.at(self.random.uniform(0.5, 3.0), lambda: self.reach(attempt))

    def on_abandon(self, who: int, handle: str, number: int) -> None:
        """Cancel an attempt; what runs stops."""
        attempt = self.requests[handle].attempts[number]
        self.at(0.5, lambda: self.end(attempt, "CXL"))

    def on_decline(self, who: int, handle: str, backoff: float) -> None:
        """The final answer; its client may come again."""
        self.requests[handle].open = False
        if self.random.random() < 0.3:
            self.at(backoff + self.random.uniform(10.0, 50.0), lambda: self.submit(who, retry=True))

    def on_giveUp(self, who: int, handle: str) -> None:
        """The final answer."""
        self.requests[handle].open = False

    def on_defer(self, who: int, tag: int, delay: float) -> None:
        """Set a timer."""
        instance = self.link.instances[who]

        def due() -> None:
            if self.link.instances.get(who) is instance:
                self.tell(["reminder", who, tag])

        self.at(delay, due)

    def on_close(self, who: int, worker: str) -> None:
        """Idle connections are not modelled."""

    def on_internalError(self, who: int, text: str) -> None:
        """The decisions raised: it is part of the digest, and counted."""
        self.count[f"fault: {text.partition(':')[0]}"] += 1

    def on_record(self, who: int, text: str) -> None:
        """A log line changes nothing."""

    def on_follow(self, who: int, on: bool) -> None:
        """Subscribe; one call in five fails."""
        if self.random.random() < 0.2:
            self.subscribed.discard(who)
            self.at(40.0, lambda: self.tell(["membership", who, "unavailable", 0, 0]))
        else:
            self.subscribed.add(who)
            self.at(8.0, lambda: self.tell_list(who, "replace"))

    # ---- Requests ----

    def arrival(self, who: int) -> None:
        """A client comes, and the next one is drawn."""
        if self.now < self.draw.seconds * 1000:
            self.submit(who)
            burst = 1.8 if int(self.now / 7000) % 3 == 2 else 1.0
            self.at(self.random.expovariate(self.draw.rate * burst) * 1000, lambda: self.arrival(who))

    def submit(self, who: int, retry: bool = False) -> None:
        """Hand a request in."""
        rng, draw = self.random, self.draw
        if who not in self.link.instances:
            return
        lane = rng.choice(draw.lanes)
        left = lane["deadline"] if rng.random() < 0.9 else rng.uniform(0.0, lane["deadline"])
        handle = f"r{len(self.requests)}"
        key = f"{min(int(rng.paretovariate(0.8)), draw.keys):016x}" if rng.random() < 0.85 else None
        tenant = rng.choice(draw.tenants)[0] if draw.tenants else None
        self.requests[handle] = request = RequestModel(who, lane, self.now + left)
        self.at(left, lambda: self.expire(handle))
        if rng.random() < draw.leaves:
            self.at(rng.uniform(5.0, 800.0), lambda: self.leave(handle))
        self.tell(
            ["submit", who, handle, tenant, lane["name"], None, False, False, left, 1, retry, None, key]
        )
        if not request.open:
            self.count["answered at once"] += 1

    def expire(self, handle: str) -> None:
        """The client's patience ends: an attempt that is out times out, and a request without one is lost."""
        request = self.requests[handle]
        if request.streaming:
            return
        for attempt in request.attempts:
            self.end(attempt, "LATE")

    def leave(self, handle: str) -> None:
        """The client leaves early."""
        request = self.requests[handle]
        if request.open:
            request.open = False
            self.tell(["aborted", request.who, handle])

    # ---- Workers ----

    def reach(self, attempt: Attempt) -> None:
        """An attempt arrives at its worker."""
        if attempt.over:
            return
        worker = self.workers.get(attempt.worker) or self.private[attempt.worker]
        if not worker.up:
            self.end(attempt, "NOCONN")
        elif self.random.random() < self.draw.resets:
            self.at(self.random.uniform(1.0, 200.0), lambda: self.end(attempt, "RST"))
        elif self.random.random() < 0.002:
            self.at(CONNECT_TIMEOUT_MS, lambda: self.end(attempt, "NOCONN"))
        elif len(worker.queue) >= self.draw.queue:
            self.end(attempt, "FULL")
        elif worker.fails == attempt.job_class and self.random.random() < 0.7:
            self.at(5.0, lambda: self.end(attempt, "BAD"))
        else:
            worker.queue.append(attempt)
            self.begin_next(worker)

    def begin_next(self, worker: WorkerModel) -> None:
        """Begin what fits."""
        while worker.queue and len(worker.running) < self.draw.slots and self.now >= worker.hangs_until:
            attempt = worker.queue.pop(0)
            if attempt.over or (self.random.random() < 0.01 and self.draw.fifo):
                continue  # at a worker that begins in turn some jobs are lost
            worker.running.append(attempt)
            self.tell(["notice", attempt.who, attempt.request, 1, worker.name, None, attempt.number])
            request = self.requests[attempt.request]
            if request.lane.get("streaming"):
                request.streaming = True
                self.tell(["ackFirst", attempt.who, attempt.request, attempt.number, worker.name, 1.0])
            warmth = 1.0 if worker.since is None else min(0.15 + (self.now - worker.since) / 9000.0, 1.0)
            work = self.random.gammavariate(2.0, self.draw.work_ms / 2) / worker.speed / warmth
            ending = "BAD" if self.random.random() < 0.01 else "GOOD"
            self.at(work, lambda a=attempt, e=ending: self.end(a, e))  # type: ignore[misc]

    def end(self, attempt: Attempt, verdict: str) -> None:
        """One outcome an attempt."""
        if attempt.over:
            return
        worker = self.workers.get(attempt.worker) or self.private[attempt.worker]
        if verdict in ("GOOD", "BAD") and attempt in worker.running and self.now < worker.hangs_until:
            self.at(worker.hangs_until - self.now + 1.0, lambda: self.end(attempt, verdict))
            return
        attempt.over = True
        for place in (worker.running, worker.queue):
            if attempt in place:
                place.remove(attempt)
        request = self.requests[attempt.request]
        if verdict == "GOOD":
            request.open = False
        load = None
        if self.draw.reports and verdict in ("GOOD", "BAD", "FULL"):
            load = {"waiting": float(len(worker.queue)), "x0": float(self.draw.slots - len(worker.running))}
        self.tell(
            [
                "outcome",
                attempt.who,
                attempt.request,
                attempt.number,
                attempt.worker,
                verdict,
                self.now - attempt.sent,
                not request.open,
                None,
                load,
            ]
        )
        self.begin_next(worker)

    def trouble(self) -> None:
        """Workers restart, hang, drain; weights change."""
        draw, rng = self.draw, self.random
        worker = rng.choice(list(self.workers.values()))
        if rng.random() < draw.restarts * 0.1 and worker.up:
            self.stop(worker)
        if rng.random() < draw.hangs * 0.1:
            worker.hangs_until = self.now + rng.uniform(500.0, 6000.0)
            self.at(worker.hangs_until - self.now, lambda: self.begin_next(worker))
        if draw.weights == "live" and rng.random() < 0.3:
            for who in sorted(self.subscribed):
                self.tell_list(who, "update", rng.sample(list(self.workers), 8))
        if rng.random() < 0.01:
            for who in sorted(self.link.instances):
                self.tell_list(who, "replace")
        self.at(100.0, self.trouble)

    def stop(self, worker: WorkerModel) -> None:
        """A worker drains or falls, and comes back cold."""
        worker.state = "Terminating" if self.random.random() < 0.5 else "Gone"
        if worker.state == "Gone":
            worker.up = False
            for attempt in [*worker.running, *worker.queue]:
                self.end(attempt, "RST")
        self.at(self.random.uniform(50.0, 400.0), lambda: self.announce(worker))
        self.at(self.random.uniform(1500.0, 4000.0), lambda: self.come_back(worker))

    def come_back(self, worker: WorkerModel) -> None:
        """It is up again, cold."""
        worker.up, worker.state, worker.since = True, "Ready", self.now
        self.announce(worker)

    def announce(self, worker: WorkerModel) -> None:
        """The list tells it to all that hear it."""
        for who in sorted(self.link.instances):
            if self.draw.discovery == "push" or who in self.subscribed:
                self.tell_list(who, "update", [worker.name])

    def tell_list(self, who: int, scope: str, names: list[str] | None = None) -> None:
        """Hand a scheduler the list, or entries of it."""
        rows = []
        for name in names or list(self.workers):
            worker = self.workers[name]
            weight = 1.0
            if self.draw.weights == "live":
                held = (len(worker.running) + len(worker.queue)) / self.draw.slots
                weight = worker.size / (1 + held) * self.random.uniform(0.98, 1.0)
            rows.append([name, worker.zone, worker.kind, worker.cell, worker.state, weight, worker.since])
        if scope == "replace" and self.random.random() < 0.3:
            rows.pop()
        self.tell(["inventory", 0, rows])
        self.tell(["membership", who, scope, 1, 0])

    # ---- What is beside the wire ----

    def tell_faults(self) -> None:
        """Peers tell of workers, now and then of too many to believe."""
        rng = self.random
        names = rng.sample(list(self.workers), rng.choice((1, 2, len(self.workers) // 2)))
        rows = [(n, rng.uniform(0.0, 6000.0), self.now - 500.0 if rng.random() < 0.3 else 0.0) for n in names]
        for who in sorted(self.link.instances):
            self.give(who, peer_faults(rows))
        self.at(rng.uniform(300.0, 1500.0), self.tell_faults)

    def take_snapshots(self) -> None:
        """What is handed to a successor counts too."""
        for who in sorted(self.link.instances):
            self.digest.update(learned.encode(snapshot.take(self.link.instances[who].state, self.now), 1))
        self.at(SNAPSHOT_EVERY_MS, self.take_snapshots)

    def replace(self) -> None:
        """Scheduler 0 ends; its successor goes on from its estimates. Its requests end with it."""
        text = learned.encode(snapshot.take(self.link.instances[0].state, self.now), 1)
        self.tell(["powerOff", 0])
        for request in self.requests.values():
            if request.who == 0:
                request.open = False
                for attempt in request.attempts:
                    attempt.over = True
        for worker in self.workers.values():
            worker.running = [a for a in worker.running if not a.over]
            worker.queue = [a for a in worker.queue if not a.over]
        self.start(0)
        snapshot.restore(self.link.instances[0].state, learned.decode(text, 1, self.now), self.now)


@dataclass(frozen=True)
class Result:
    """What one history came to."""

    name: str
    digest: str
    events: int
    counts: dict[str, int]


def play(index: int) -> Result:
    """Play one draw."""
    world = World(SCENARIOS[index], seed=1)
    world.run()
    events = sum(n for name, n in world.count.items() if not name.startswith("->") and name != "inventory")
    return Result(SCENARIOS[index].name, world.digest.hexdigest(), events, dict(sorted(world.count.items())))


def play_all(jobs: int) -> list[Result]:
    """Play all draws, some at once."""
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(play, range(len(SCENARIOS))))


def main() -> int:
    """Record or check; the exit code of a check tells whether all digests are equal."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("command", choices=("record", "check"))
    parser.add_argument("file", type=Path)
    parser.add_argument("--jobs", type=int, default=3, help="draws played at once")
    arguments = parser.parse_args()
    results = play_all(arguments.jobs)
    for result in results:
        print(f"{result.name:10} {result.events:7} events  {result.digest}")
        for name, number in result.counts.items():
            if name.startswith("fault"):
                print(f"           {number} x {name}")
    print(f"{sum(result.events for result in results)} events")
    if arguments.command == "record":
        form = {r.name: {"digest": r.digest, "events": r.events, "counts": r.counts} for r in results}
        arguments.file.write_text(json.dumps(form, indent=1) + "\n")
        return 0
    known = json.loads(arguments.file.read_text())
    differing = [r.name for r in results if known.get(r.name, {}).get("digest") != r.digest]
    print(f"other actions than recorded: {', '.join(differing)}" if differing else "same actions")
    return 1 if differing else 0


if __name__ == "__main__":
    sys.exit(main())

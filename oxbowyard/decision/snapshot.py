"""What a dispatcher has learned, as plain data: a process that replaces another one goes on from it.

Estimates alone, nothing that is owed: requests and attempts stay with the process that took them. Times are
milliseconds of the dispatchers' common clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from .books import Fading, digest
from .choice import Dispatcher, _Key, _Pool, _Worker

VERSION = 1
MAX_KEYS = 500  # sets of keys taken along, the hottest first


@dataclass(slots=True)
class PoolEstimates:
    """The workers of one kind; the fields are those of `choice._Pool`."""

    most: int
    slots: float
    pace: float
    weighed: float
    hold: float
    wait: float
    jobs: float
    size: float
    seen: int
    began: float


@dataclass(slots=True)
class WorkerEstimates:
    """One worker's load and health; the fields are those of `choice._Worker`."""

    since: float
    jobs: float
    jobs_at: float
    delay: float
    delay_at: float
    base: float
    due: float
    done: float
    paced_at: float
    doubt: float
    doubt_at: float
    strikes: float
    barred_until: float
    unreachable: bool
    down_at: float
    faults: dict[str, tuple[float, float]] = field(default_factory=dict)  # by class: strikes, barred until
    sends: list[float] = field(default_factory=list)  # while cold
    kept: list[int] = field(default_factory=list)  # keys


@dataclass(slots=True)
class KeyEstimates:
    """The affinity set of one key."""

    name: str
    kind: str | None
    size: int
    heat: float
    heat_at: float
    changed: float


@dataclass(slots=True)
class Snapshot:
    """All of it, as it was at `at`."""

    version: int
    at: float
    holds: dict[str, tuple[int, float]]
    price_with: dict[str, tuple[int, float]]
    price_without: dict[str, tuple[int, float]]
    price: float
    connect: float
    fleet: float
    heat: float
    part: float
    pools: dict[str, PoolEstimates]
    workers: dict[str, WorkerEstimates]
    keys: list[KeyEstimates]


def take(dispatcher: Dispatcher, now: float) -> Snapshot:
    """What it has learned by now."""
    hottest = sorted(dispatcher.keys.items(), key=lambda item: item[1].heat, reverse=True)
    return Snapshot(
        version=VERSION,
        at=now,
        holds=dispatcher.holds.state(),
        price_with=dispatcher.fetching.state()[0],
        price_without=dispatcher.fetching.state()[1],
        price=dispatcher.fetching.more,
        connect=dispatcher.connect,
        fleet=dispatcher.fleet,
        heat=dispatcher.heat,
        part=dispatcher.part,
        pools={kind: _of_pool(pool) for kind, pool in dispatcher.pools.items()},
        workers={w.name: _of_worker(w) for w in dispatcher.workers.values()},
        keys=[_of_key(place, key) for place, key in hottest[:MAX_KEYS] if place[0]],
    )


def adopt(dispatcher: Dispatcher, snapshot: Snapshot, now: float) -> None:
    """Go on from it. Of a worker that has started since nothing is believed but what its kind has shown."""
    for kind, estimates in snapshot.pools.items():
        if (pool := dispatcher.pools.get(kind)) is not None and pool.seen < estimates.seen:
            _to_pool(pool, estimates)
    for name, known in snapshot.workers.items():
        worker = dispatcher.workers.get(name)
        if worker is not None and worker.since <= known.since:
            _to_worker(dispatcher, worker, known)
    for key in snapshot.keys:
        _to_key(dispatcher, key)
    dispatcher.holds.restore(snapshot.holds)
    dispatcher.fetching.restore(snapshot.price_with, snapshot.price_without, snapshot.price)
    dispatcher.connect, dispatcher.part = snapshot.connect, snapshot.part
    dispatcher.fleet = max(dispatcher.fleet, snapshot.fleet)
    dispatcher.heat, dispatcher.stock_at = max(dispatcher.heat, snapshot.heat), now


def _of_pool(pool: _Pool) -> PoolEstimates:
    return PoolEstimates(**{name: getattr(pool, name) for name in PoolEstimates.__slots__})


def _to_pool(pool: _Pool, known: PoolEstimates) -> None:
    for name in PoolEstimates.__slots__:
        setattr(pool, name, getattr(known, name))


SAME_IN_WORKER = (
    "since", "jobs", "delay", "delay_at", "base", "due", "done", "paced_at", "barred_until",
    "unreachable", "down_at",
)  # fmt: skip


def _of_worker(worker: _Worker) -> WorkerEstimates:
    return WorkerEstimates(
        **{name: getattr(worker, name) for name in SAME_IN_WORKER},
        jobs_at=max(worker.jobs_at, 0.0),  # never: long ago
        doubt=worker.doubt.value,
        doubt_at=worker.doubt.at,
        strikes=worker.strikes,
        faults={cls.name: fault for cls, fault in worker.faults.items()},
        sends=list(worker.sends),
        kept=list(worker.kept.items),
    )


def _to_worker(dispatcher: Dispatcher, worker: _Worker, known: WorkerEstimates) -> None:
    for name in SAME_IN_WORKER:
        setattr(worker, name, getattr(known, name))
    worker.jobs_at = known.jobs_at
    worker.jobs_own = 0  # the jobs that were the old process's own are another's now
    worker.doubt = Fading(known.doubt, known.doubt_at)
    worker.pool.sick += (known.strikes >= 1) - (worker.strikes >= 1)
    worker.strikes = known.strikes
    classes = dispatcher.classes
    worker.faults = {classes[name]: fault for name, fault in known.faults.items() if name in classes}
    worker.sends = deque(sorted([*known.sends, *worker.sends]))
    for salt in known.kept:
        worker.kept.meet(salt, len(known.kept))


def _of_key(place: tuple[str, str | None], key: _Key) -> KeyEstimates:
    return KeyEstimates(place[0], place[1], key.size, key.heat, key.heat_at, key.changed)


def _to_key(dispatcher: Dispatcher, known: KeyEstimates) -> None:
    key = dispatcher.keys.setdefault((known.name, known.kind), _Key(digest(known.name)))
    key.size = max(key.size, known.size)
    if known.heat_at > key.heat_at:
        key.heat, key.heat_at, key.changed = known.heat, known.heat_at, known.changed

"""The plan of one seed: settings, fleet, faults and their times. A seed determines its plan. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from random import Random
from typing import Any

from ..hostile.forms import FORMS, Front

LOAD_S = 5.0  # length of the load before the ending begins
FIRST_FAULT_S = 0.5
DRAIN_GRACE_S = 1.0
SOCKETS = 256
MEMORY_MB = (96, 192)
HOSTILE_CONNECTIONS = 100
HOSTILE_S = 2.0
CROWD_CONNECTIONS = 300


class Semantics(Enum):
    """Whether the requests of a class may run twice, by the platform's names."""

    FREE = "free"
    GUARDED = "guarded"
    SINGLE_SHOT = "single_shot"


class WorkerFault(Enum):
    """How a worker misbehaves for a while."""

    HANG = "hang"  # accepts requests and never answers
    RESET = "reset"  # resets the connection once a request is complete
    TWICE = "answers twice"  # sends a second final line, a few milliseconds after the first
    FAIL = "fail"
    DECLINE = "decline"  # rejects requests without starting them
    DRAIN = "drain"  # the list marks it as draining, and as ready again at the end
    DIE = "die"  # its process ends; it returns cold


class DiscoveryFault(Enum):
    """How the list service misbehaves for a while."""

    SILENT = "silent"
    SLOW = "slow"
    REFUSE = "refuse"


class Reload(Enum):
    """What the config file holds at a SIGHUP."""

    SAME = "same"
    ATTEMPTS = "other attempts"
    BROKEN = "broken"
    LOOSENED = "the class that must not run twice may"


class Ending(Enum):
    """How the daemon is stopped."""

    TERM = "SIGTERM"
    TERM_TWICE = "SIGTERM twice"
    HUP_TERM = "SIGTERM right after SIGHUP"
    KILL = "SIGKILL"
    REPLACED = "replaced by a second process"
    SUCCESSOR_DIES = "its successor dies, then SIGTERM"


@dataclass(slots=True, frozen=True)
class JobClass:
    """A class of jobs in the settings."""

    name: str
    semantics: Semantics
    deadline_s: float
    window_s: float  # GUARDED: how long workers drop a repeated request


@dataclass(slots=True, frozen=True)
class FaultAt:
    """A fault of one worker; `at_s` counts from the start of the load."""

    at_s: float
    length_s: float
    worker: int
    fault: WorkerFault


@dataclass(slots=True, frozen=True)
class DiscoveryFaultAt:
    """A fault of the list service."""

    at_s: float
    length_s: float
    fault: DiscoveryFault


@dataclass(slots=True, frozen=True)
class ReloadAt:
    """A SIGHUP."""

    at_s: float
    reload: Reload


@dataclass(slots=True, frozen=True)
class Plan:
    """All that a seed determines."""

    seed: int
    classes: tuple[JobClass, ...]
    workers: int
    slots: int
    max_attempts: int
    clients: int
    leaving_share: float  # of requests whose clients disconnect early
    slow_share: float  # of requests that are written in pieces
    worker_faults: tuple[FaultAt, ...]
    discovery_faults: tuple[DiscoveryFaultAt, ...]
    reloads: tuple[ReloadAt, ...]
    ending: Ending
    crowd: bool
    durable: bool
    max_store_bytes: int
    membership: bool
    gearman: bool
    memory_mb: int
    hostile_form: str  # of misbehaving peers in `benchmarks.hostile.forms`; empty: none
    repeat_share: float  # of requests that must not run twice, whose clients send them once more

    @property
    def longest_deadline_s(self) -> float:
        """The longest deadline of all classes."""
        return max(job_class.deadline_s for job_class in self.classes)

    def class_named(self, name: str) -> JobClass:
        """Return the class of that name."""
        return next(job_class for job_class in self.classes if job_class.name == name)

    def platform_settings(self, attempts: int, loosened: bool) -> dict[str, Any]:
        """Return the platform's settings object, as at the start or after a reload."""
        lanes = [
            {
                "name": job_class.name,
                "aim": job_class.deadline_s * 300,
                "deadline": job_class.deadline_s * 1000,
                "semantics": "free" if loosened else job_class.semantics.value,
                "group": "all",
                "memorySpan": job_class.window_s * 1000,
                "worth": 1.0,
            }
            for job_class in self.classes
        ]
        return {
            "siblings": 1, "discovery": "push", "worthBy": "work",
            "myZone": "a", "zones": ["a"], "kinds": ["m"],
            "familyInfo": {"classKind": [-1] * len(lanes), "tellsStart": True},
            "lanes": lanes,
            "policyLimits": {
                "connIdle": 15000.0, "connectTimeout": 250.0, "maxAttempts": attempts, "maxRetryAfter": 500.0,
                "mayCancel": True, "mostHeld": 20000, "retryAfter": True, "secondCopies": False,
            },
            "rules": {
                "coldFrom": 0.3, "rampTime": 3000.0, "stopSendingWithin": DRAIN_GRACE_S * 1000,
                "tipAfter": 1000.0, "tipMultiple": 4.0,
            },
        }  # fmt: skip


def draw_plan(seed: int) -> Plan:
    """Draw the plan of a seed."""
    random = Random(seed)
    workers = random.randint(2, 6)
    ending = random.choice(tuple(Ending))
    # Two processes can't open one store, so a durable scheduler can't be replaced by a second process.
    durable = random.random() < 0.5 and ending not in (Ending.REPLACED, Ending.SUCCESSOR_DIES)
    plan = Plan(
        seed=seed,
        classes=_classes(random),
        workers=workers,
        slots=random.randint(2, 6),
        max_attempts=random.randint(2, 4),
        clients=random.randint(6, 20),
        leaving_share=random.choice((0.0, 0.1, 0.3)),
        slow_share=random.choice((0.0, 0.1)),
        worker_faults=tuple(_worker_fault(random, workers) for _ in range(random.randint(1, 5))),
        discovery_faults=tuple(_discovery_fault(random) for _ in range(random.randint(0, 2))),
        reloads=_reloads(random),
        ending=ending,
        crowd=random.random() < 0.2,
        durable=durable,
        max_store_bytes=random.choice((1 << 20, 1 << 30)) if durable else 0,
        membership=random.random() < 0.3,
        gearman=random.random() < 0.4,
        memory_mb=MEMORY_MB[0],
        hostile_form="",
        repeat_share=0.0,
    )
    return _with_hostile_peers(plan, random)


def _with_hostile_peers(plan: Plan, random: Random) -> Plan:
    """Draw the misbehaving peers, the repeated ids and the memory of a plan."""
    forms = [name for name, form in FORMS.items() if form.front is not Front.GEARMAN or plan.gearman]
    is_loosened = any(item.reload is Reload.LOOSENED for item in plan.reloads)
    return replace(
        plan,
        memory_mb=random.choice(MEMORY_MB),
        hostile_form=random.choice(forms) if random.random() < 0.6 else "",
        repeat_share=0.0 if is_loosened else random.choice((0.0, 0.2, 0.5)),
    )


def _classes(random: Random) -> tuple[JobClass, ...]:
    return tuple(
        JobClass(
            name=name,
            semantics=semantics,
            deadline_s=round(random.uniform(1.0, 2.8), 2),
            window_s=round(random.uniform(0.2, 2.0), 2) if semantics is Semantics.GUARDED else 0.0,
        )
        for name, semantics in (
            ("peek", Semantics.FREE),
            ("stamp", Semantics.GUARDED),
            ("file", Semantics.SINGLE_SHOT),
        )
    )


def _moment(random: Random) -> float:
    return round(random.uniform(FIRST_FAULT_S, LOAD_S), 3)


def _worker_fault(random: Random, workers: int) -> FaultAt:
    fault = random.choice(tuple(WorkerFault))
    return FaultAt(_moment(random), round(random.uniform(0.3, 3.0), 3), random.randrange(workers), fault)


def _discovery_fault(random: Random) -> DiscoveryFaultAt:
    return DiscoveryFaultAt(
        _moment(random), round(random.uniform(0.3, 2.5), 3), random.choice(tuple(DiscoveryFault))
    )


def _reloads(random: Random) -> tuple[ReloadAt, ...]:
    """Draw up to three reloads, at equal gaps."""
    first = _moment(random)
    count = random.choice((0, 0, 1, 2, 3))
    gap_s = random.choice((0.01, 0.3, 1.5))
    kinds = [random.choice(tuple(Reload)) for _ in range(count)]
    return tuple(ReloadAt(round(first + gap_s * number, 3), kind) for number, kind in enumerate(kinds))

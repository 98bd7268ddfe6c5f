"""What happens in one seed: settings, fleet, faults and moments. A seed draws one plan. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any

LOAD_S = 5.0  # of requests before the program is told to end
FIRST_FAULT_S = 0.5
DRAIN_GRACE_S = 1.0
SOCKETS = 256
MEMORY_MB = 192
CROWD_CONNECTIONS = 300


class Semantics(Enum):
    """What a second run of a class's requests would do, by the platform's names."""

    FREE = "free"
    GUARDED = "guarded"
    SINGLE_SHOT = "single_shot"


class WorkerFault(Enum):
    """What a worker does to requests for a while."""

    HANG = "hang"  # it takes them and answers nothing
    RESET = "reset"  # it resets their connections once they are whole
    TWICE = "answers twice"  # a second last line, a few milliseconds after the first
    FAIL = "fail"
    DECLINE = "decline"  # turned away unstarted
    DRAIN = "drain"  # the list says so, and takes it back at the end
    DIE = "die"  # its process ends; it comes back cold


class DiscoveryFault(Enum):
    """What the list service does to calls for a while."""

    SILENT = "silent"
    SLOW = "slow"
    REFUSE = "refuse"


class Reload(Enum):
    """What the file says at a SIGHUP."""

    SAME = "same"
    ATTEMPTS = "other attempts"
    BROKEN = "broken"
    LOOSENED = "the class that must not run twice may"


class Ending(Enum):
    """How the program ends."""

    TERM = "SIGTERM"
    TERM_TWICE = "SIGTERM twice"
    HUP_TERM = "SIGTERM right after SIGHUP"
    KILL = "SIGKILL"
    REPLACED = "replaced by a second process"
    SUCCESSOR_DIES = "its successor dies, then SIGTERM"


@dataclass(slots=True, frozen=True)
class JobClass:
    """A class of the settings."""

    name: str
    semantics: Semantics
    deadline_s: float
    window_s: float  # GUARDED: for how long a repeat is dropped


@dataclass(slots=True, frozen=True)
class FaultAt:
    """A fault of one worker, from `at_s` after the first request on."""

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
    """One seed's history."""

    seed: int
    classes: tuple[JobClass, ...]
    workers: int
    slots: int
    max_attempts: int
    clients: int
    leaving_share: float  # of requests whose clients leave
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

    @property
    def longest_deadline_s(self) -> float:
        """Of all classes."""
        return max(job_class.deadline_s for job_class in self.classes)

    def class_named(self, name: str) -> JobClass:
        """The class of that name."""
        return next(job_class for job_class in self.classes if job_class.name == name)

    def platform_settings(self, attempts: int, loosened: bool) -> dict[str, Any]:
        """The platform's settings object, as at the start or after a reload."""
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
    """The plan of a seed."""
    random = Random(seed)
    workers = random.randint(2, 6)
    ending = random.choice(tuple(Ending))
    # Two processes can't have one store open: a durable scheduler is not replaced in this way.
    durable = random.random() < 0.5 and ending not in (Ending.REPLACED, Ending.SUCCESSOR_DIES)
    return Plan(
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
    """Some single ones, or a series in a row."""
    first = _moment(random)
    count = random.choice((0, 0, 1, 2, 3))
    gap_s = random.choice((0.01, 0.3, 1.5))
    kinds = [random.choice(tuple(Reload)) for _ in range(count)]
    return tuple(ReloadAt(round(first + gap_s * number, 3), kind) for number, kind in enumerate(kinds))

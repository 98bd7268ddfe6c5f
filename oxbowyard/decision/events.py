"""The events that a dispatcher takes in.

Times are milliseconds; `now` is the caller's clock, which never goes back. Identifiers of requests, workers,
tenants, zones, kinds and keys are opaque strings. Attempts of a request are numbered 0, 1, 2, ... as they are
started. Events about requests or attempts that the dispatcher does not know are ignored.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Scope(Enum):
    """What an endpoint list carries."""

    CHANGES = "changes"  # only the entries that changed
    FULL = "full"  # every worker; one that is absent has been removed
    RESTORED = "restored"  # the full list as it was before a restart, possibly stale
    FAILED = "failed"  # a call failed or the subscription broke; no entries


class Readiness(Enum):
    """The state of a worker in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Result(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    INVALID_REQUEST = (
        "rejected"  # a malformed request: no other worker would take it, and this one is not at fault
    )
    TIMEOUT = "timeout"
    RESET = "reset"
    CANCELLED = "cancelled"
    FULL = "full"
    UNREACHABLE = "unreachable"
    NOT_SENT = "not_sent"


NEVER_RAN = (Result.FULL, Result.UNREACHABLE, Result.NOT_SENT)  # results that prove that no run began
MAY_STILL_RUN = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)  # the work may continue after the result


@dataclass(slots=True, frozen=True)
class WorkerInfo:
    """An entry of the endpoint list. Raises ValueError for a weight that is not above 0."""

    name: str
    readiness: Readiness = Readiness.READY
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0  # size relative to other workers; above 0; 1: unknown
    started_at_ms: float = 0.0  # clock time of its last start; 0: long ago
    classes: frozenset[str] | None = None  # the only classes it runs; None: any
    slots: int = 0  # jobs that it runs at once, the same for its kind; 0: unknown
    is_exclusive: bool = False  # it takes jobs from this dispatcher alone; the same for its kind

    def __post_init__(self) -> None:
        """Reject a weight that would give it no share of the keys."""
        if not self.weight > 0:
            raise ValueError("weight must be above 0")


@dataclass(slots=True)
class EndpointsChanged:
    """Service discovery delivered an endpoint list, or a call for one failed."""

    scope: Scope
    workers: tuple[WorkerInfo, ...] = ()


@dataclass(slots=True, frozen=True)
class WorkerFault:
    """A fault of a worker, as another dispatcher found it."""

    worker: str
    avoid_for_ms: float = 0.0  # milliseconds for which the worker should still be avoided
    cold_since_ms: float = 0.0  # clock time of its cold start, at the latest; 0: unknown


@dataclass(slots=True)
class PeerFaultsChanged:
    """All faults that peers report now, in place of those reported before."""

    faults: tuple[WorkerFault, ...] = ()


@dataclass(slots=True)
class RequestReceived:
    """A client sent a request: the dispatcher now owes it one final answer."""

    request_id: str
    job_class: str
    time_left_ms: float  # until the client gives up
    key: str | None = None  # the data that it needs; None: none in particular
    tenant: str | None = None
    slots: int = 1
    is_retry: bool = False


@dataclass(slots=True)
class AttemptStarted:
    """A worker began to run an attempt."""

    request_id: str
    attempt: int
    worker: str


@dataclass(slots=True)
class AttemptProgressed:
    """A worker reported progress of an attempt."""

    request_id: str
    attempt: int
    worker: str
    share_done: float = 0.0


@dataclass(slots=True)
class StreamStarted:
    """The answer of a streamed request began: its time-out and deadline no longer apply."""

    request_id: str
    attempt: int
    worker: str


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended. The first OK reaches the client by itself and is the final answer."""

    request_id: str
    attempt: int
    worker: str
    result: Result
    duration_ms: float = 0.0
    is_final: bool = False  # the request has its answer, by this result or an earlier one
    load: Mapping[str, float] = field(default_factory=dict)  # "waiting" jobs, "free_slots", "errors" a second


@dataclass(slots=True)
class ClientDisconnected:
    """The client left, or the request was answered without the dispatcher: nothing is owed any more."""

    request_id: str


@dataclass(slots=True)
class ProbeEnded:
    """A health check that ProbeWorker asked for ended."""

    worker: str
    result: Result
    duration_ms: float = 0.0
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class TimerFired:
    """A timer that SetTimer asked for is due."""

    tag: int


Event = (
    EndpointsChanged
    | RequestReceived
    | AttemptStarted
    | AttemptProgressed
    | StreamStarted
    | AttemptEnded
    | ClientDisconnected
    | ProbeEnded
    | TimerFired
    | PeerFaultsChanged
)

"""The events that a dispatcher handles.

Times are milliseconds of the caller's clock, which never goes back. Identifiers of requests, workers,
tenants, zones, kinds and keys are opaque strings. The attempts of a request are numbered 0, 1, 2, ... in the
order of sending. Events about unknown requests or attempts are ignored.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Scope(Enum):
    """The scope of an endpoint list."""

    CHANGES = "changes"  # only the entries that changed
    FULL = "full"  # every worker: one that is absent has been removed
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
    INVALID_REQUEST = "rejected"  # malformed: any other worker would reject it too, and this one is healthy
    TIMEOUT = "timeout"
    RESET = "reset"
    CANCELLED = "cancelled"
    FULL = "full"
    UNREACHABLE = "unreachable"
    NOT_SENT = "not_sent"


NEVER_RAN = (
    Result.FULL,
    Result.UNREACHABLE,
    Result.NOT_SENT,
)  # the worker certainly did not start the attempt
MAY_STILL_RUN = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)  # the worker may still run the attempt


@dataclass(slots=True, frozen=True)
class WorkerInfo:
    """An entry of the endpoint list. The weight must be above 0, else ValueError is raised."""

    name: str
    readiness: Readiness = Readiness.READY
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0  # size relative to other workers; must be above 0; 1 if unknown
    started_at_ms: float = 0.0  # clock time of its last start; 0: long ago or unknown
    classes: frozenset[str] | None = None  # the only classes that it runs; None: any
    slots: int = 0  # jobs that it runs concurrently, equal for all workers of a kind; 0: unknown
    is_exclusive: bool = False  # it serves this dispatcher only; equal for all workers of a kind

    def __post_init__(self) -> None:
        """Reject a weight that would give the worker no share of the keys."""
        if not self.weight > 0:
            raise ValueError(f"weight of worker {self.name!r} must be above 0, got {self.weight!r}")


@dataclass(slots=True)
class EndpointsChanged:
    """Service discovery delivered an endpoint list, or a call for one failed."""

    scope: Scope
    workers: tuple[WorkerInfo, ...] = ()


@dataclass(slots=True, frozen=True)
class WorkerFault:
    """A fault of a worker, reported by another dispatcher."""

    worker: str
    avoid_for_ms: float = 0.0  # remaining time for which the worker should be avoided
    cold_since_ms: float = 0.0  # latest possible clock time of its cold start; 0: unknown


@dataclass(slots=True)
class PeerFaultsChanged:
    """The complete set of faults that peers report now. It replaces the earlier set."""

    faults: tuple[WorkerFault, ...] = ()


@dataclass(slots=True)
class RequestReceived:
    """A client sent a request. The dispatcher must answer it finally exactly once."""

    request_id: str
    job_class: str
    time_left_ms: float  # until the deadline of the client
    key: str | None = None  # identifies the data that the request needs; None: no particular data
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
    """The answer to a streamed request began: its time-out and deadline no longer apply."""

    request_id: str
    attempt: int
    worker: str


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended. The caller forwards the first OK to the client by itself: it is the final answer."""

    request_id: str
    attempt: int
    worker: str
    result: Result
    duration_ms: float = 0.0
    is_final: bool = False  # the request is answered, by this result or an earlier one
    load: Mapping[str, float] = field(default_factory=dict)  # "waiting" jobs, "free_slots", "errors" a second


@dataclass(slots=True)
class ClientDisconnected:
    """The client left, or the request was answered without the dispatcher: no answer is needed any more."""

    request_id: str


@dataclass(slots=True)
class ProbeEnded:
    """The probe that a ProbeWorker action requested has ended."""

    worker: str
    result: Result
    duration_ms: float = 0.0
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class TimerFired:
    """A timer that a SetTimer action requested is due."""

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

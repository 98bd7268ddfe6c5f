"""A deferred job: what a front submits, its states, how it ends, and the events that the policy emits.

Standard library only. Times are milliseconds on the scheduler's steady clock (`core/clock.py`) unless a name
says otherwise. The values of the enums are on the wire and in stores; they stay.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..core.request import Answer, AnswerKind, Request, RunState

AGED_CLASS_SUFFIX = "~aged"  # an aged job is submitted in its class with this suffix, which may queue longer
HIGH_PRIORITY = 1.0
LOW_PRIORITY = 0.0


class DependencyCondition(Enum):
    """What must have become of a job before those that depend on it may be submitted."""

    SERVED = "served"
    ENDED = "ended"  # either way; a job that may still run has not ended


class JobState(Enum):
    """Where a job is. It only moves down this list, but a rejected job may go back to SCHEDULED."""

    BLOCKED = "held"  # until its dependencies have ended
    SCHEDULED = "timed"  # until its time, or until it may be submitted again
    AWAITING_IDLE = "quiet"  # until the fleet has spare capacity
    READY = "ready"  # until it is its turn
    SUBMITTED = "asked"  # to the core, as a request
    STARTED = "started"  # a worker runs it
    INDETERMINATE = "doubt"  # it may have run and its end is not known: only proof moves it on
    ENDED = "ended"
    PURGED = "forgotten"  # its result is no longer kept

    __hash__ = object.__hash__  # Enum's own is slow, and states are counted at every change


class JobOutcome(Enum):
    """How a job ended; each job has exactly one outcome."""

    SERVED = "served"
    REJECTED = "refused"  # by the decisions: a retry does no harm
    FAILED = "failed"  # no promise about its effect
    CANCELLED = "cancelled"  # by its client, or because the client left
    DEPENDENCY_FAILED = "orphaned"  # a dependency did not end as required: the job never ran
    WAIT_EXPIRED = "expired"  # it waited for as long as it may: it never ran
    SHUT_DOWN = "stopped"  # the program stops: it never ran


class RejectionCode(Enum):
    """Why a submission is not accepted, or a query about a job not answered."""

    UNKNOWN_JOB = "unknown_job"
    STOPPING = "stopping"
    STORE_UNAVAILABLE = "not_kept"
    RECOVERING = "recovering"  # its dependencies may not be read back yet
    UNKNOWN_CLASS = "unknown_class"
    DUPLICATE_ID = "duplicate_id"
    CONFLICT = "conflict"  # an idempotency key with other content
    SELF_DEPENDENCY = "self_parent"
    UNKNOWN_DEPENDENCY = "unknown_parent"  # never seen, or purged
    DEPENDENCY_NOT_SERVED = "parent_not_served"  # it has ended, but not as required
    CYCLE = "cycle"
    TOO_MANY_DEPENDENCIES = "too_many_parents"
    TOO_DEEP = "too_deep"
    TOO_LARGE = "too_large"
    BATCH_TOO_LARGE = "batch_too_large"
    INVALID_MAX_WAIT = "bad_patience"
    INVALID_TIME = "bad_time"
    QUEUE_FULL = "full"
    CLASS_FULL = "class_full"
    TENANT_FULL = "tenant_full"
    BYTES_FULL = "bytes_full"


class JobRejectedError(Exception):
    """A submission is not accepted, nothing of it. `retry_after_s` is 0 where a retry does not help."""

    def __init__(self, code: RejectionCode, text: str, retry_after_s: float = 0.0) -> None:
        super().__init__(text)
        self.code = code
        self.text = text
        self.retry_after_s = retry_after_s


@dataclass(slots=True, frozen=True)
class Dependency:
    """Another job that must have ended first."""

    id: str
    condition: DependencyCondition = DependencyCondition.SERVED


@dataclass(slots=True, frozen=True)
class JobSubmission:
    """One job as the queue hands it to the policy."""

    id: str
    job_class: str
    max_wait_ms: float  # from now, apart from its class's deadline for running
    payload_bytes: int = 0
    dependencies: tuple[Dependency, ...] = ()
    delay_ms: float = 0.0  # it is not submitted to the core before
    wait_for_idle: bool = False
    priority: float | None = None  # LOW_PRIORITY to HIGH_PRIORITY; None: by its class's weight for its work
    tenant: str = ""
    idempotency_key: str = ""  # a submission with a known one is that job
    fingerprint: bytes = b""  # of its content: with a known key it must be the same
    durable: bool = False  # the journal is to keep it
    request: Request | None = None


@dataclass(slots=True, eq=False)
class Job:
    """One job from accepted to purged, as the policy keeps it."""

    id: str
    job_class: str
    tenant: str
    payload_bytes: int
    number: int  # the order of acceptance
    accepted_at_ms: float
    wait_deadline_ms: float
    not_before_ms: float
    state: JobState
    wait_for_idle: bool
    priority: float | None
    idempotency_key: str
    fingerprint: bytes
    request: Request | None
    depth: int = 0  # links to a job without dependencies
    durable: bool = False
    pending_dependencies: int = 0
    dependents: list[tuple[Job, DependencyCondition]] | None = None
    ready_at_ms: float = -1.0  # the first time; -1: not yet
    release_due_ms: float = 0.0  # its place in the order of release
    timer_at_ms: float = -1.0  # when its timer fires; -1: it has none
    submission_count: int = 0  # to the core
    outcome: JobOutcome | None = None
    run_state: RunState = RunState.NEVER_RAN
    reason: str = ""

    @property
    def is_waiting(self) -> bool:
        """Whether it has not been submitted, or not since it was rejected."""
        return self.state in WAITING_STATES


WAITING_STATES = frozenset({JobState.BLOCKED, JobState.SCHEDULED, JobState.AWAITING_IDLE, JobState.READY})


@dataclass(slots=True, frozen=True)
class StateChanged:
    """A job is in another state: emitted for every change, in order."""

    job: Job
    state: JobState


@dataclass(slots=True, frozen=True)
class SubmitJob:
    """Submit the job to the core now, in this class: for an aged job it has the suffix."""

    job: Job
    job_class: str


Action = StateChanged | SubmitJob


# Any other outcome is a rejection.
ANSWER_KINDS = {
    JobOutcome.SERVED: AnswerKind.SERVED,
    JobOutcome.FAILED: AnswerKind.FAILED,
    JobOutcome.CANCELLED: AnswerKind.CLIENT_DISCONNECTED,
}


@dataclass(slots=True, frozen=True)
class WaitOptions:
    """What a client says of a job's waiting: what for, and how long at most."""

    max_wait_s: float | None = None  # apart from its class's deadline; None: the setting's default
    dependencies: tuple[Dependency, ...] = ()
    delay_s: float = 0.0
    not_before_unix_s: float | None = None  # it becomes a delay when the job is submitted
    wait_for_idle: bool = False
    priority: float | None = None
    tenant: str = ""
    idempotency_key: str = ""
    fingerprint: bytes = b""
    durable: bool = False  # where there is a store, it outlives a crash


@dataclass(slots=True, frozen=True)
class JobResult:
    """How a job ended, and what its worker answered."""

    outcome: JobOutcome
    run_state: RunState
    body: bytes = b""
    reason: str = ""
    retry_after_s: float = 0.0  # 0: no advice
    resolved_by: str = ""  # the operator who set it, for a job that was indeterminate

    def answer(self) -> Answer:
        """The same as the core's answer to a request."""
        kind = ANSWER_KINDS.get(self.outcome, AnswerKind.REJECTED)
        return Answer(kind, self.body, self.retry_after_s, self.reason, self.run_state)

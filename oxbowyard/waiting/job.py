"""Deferred jobs: submissions, states, outcomes, and the actions that the policy emits.

Imports only the standard library and the types of `core.request`. Times are milliseconds on the scheduler's
steady clock (`core/clock.py`) unless a name says otherwise. The values of the enums are sent to clients and
stored on disk, so they must not change.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from ..core.request import Answer, AnswerKind, Request, RunState

AGED_CLASS_SUFFIX = "~aged"  # names the class of a class's aged jobs, which may queue longer at a worker
HIGH_PRIORITY = 1.0
LOW_PRIORITY = 0.0


class DependencyCondition(Enum):
    """How a job must have ended before its dependents may be submitted."""

    SERVED = "served"
    ENDED = "ended"  # with any outcome; a job that may still run has not ended


class JobState(Enum):
    """The state of a job. It only moves down this list, but a rejected job may return to SCHEDULED."""

    BLOCKED = "held"  # waits until its dependencies have ended
    SCHEDULED = "timed"  # waits for its start time, or for the end of its backoff
    AWAITING_IDLE = "quiet"  # waits until the fleet has spare capacity
    READY = "ready"  # waits for its turn to be released
    SUBMITTED = "asked"  # submitted to the core as a request
    STARTED = "started"  # a worker is running it
    INDETERMINATE = "doubt"  # it may have run and its outcome is unknown; it waits to be resolved
    ENDED = "ended"
    PURGED = "forgotten"  # its result has been deleted from memory

    __hash__ = object.__hash__  # Enum.__hash__ is slow, and states are counted at every change


class JobOutcome(Enum):
    """How a job ended. Each job has exactly one outcome."""

    SERVED = "served"
    REJECTED = "refused"  # rejected by the scheduler; a retry is safe
    FAILED = "failed"  # it may or may not have taken effect
    CANCELLED = "cancelled"  # by its client, or because the client left
    DEPENDENCY_FAILED = "orphaned"  # a dependency did not end as required; the job never ran
    WAIT_EXPIRED = "expired"  # its maximum wait was over; it never ran
    SHUT_DOWN = "stopped"  # the program shut down; it never ran


class RejectionCode(Enum):
    """Why a submission is rejected, or a query about a job is not answered."""

    UNKNOWN_JOB = "unknown_job"
    STOPPING = "stopping"
    STORE_UNAVAILABLE = "not_kept"
    RECOVERING = "recovering"  # its dependencies may not have been read from the store yet
    UNKNOWN_CLASS = "unknown_class"
    DUPLICATE_ID = "duplicate_id"
    CONFLICT = "conflict"  # the idempotency key was used with other content
    SELF_DEPENDENCY = "self_parent"
    UNKNOWN_DEPENDENCY = "unknown_parent"  # it never existed, or was purged
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


class AbandonCause(Enum):
    """Why the end of a job will not be learned by this process."""

    INDETERMINATE = "indeterminate"  # until somebody resolves it
    LEFT_IN_STORE = "left in the store"  # the next run of the program goes on with it
    STORE_LOST = "store lost"  # the end cannot be recorded


@dataclass(slots=True, frozen=True)
class WaitAbandoned:
    """The end of a wait for a job without the job's result. The job may still run, or run later."""

    cause: AbandonCause
    reason: str

    @property
    def text(self) -> str:
        """The explanation for a client."""
        return f"its end is not known: {self.reason}"

    def answer(self, run_state: RunState) -> Answer:
        """Convert it to an answer of the core: a rejection would promise that a repeat is harmless."""
        return Answer(AnswerKind.FAILED, reason=self.text, run_state=run_state)


class JobRejectedError(Exception):
    """A submission is rejected with all its jobs. `retry_after_s` is 0 if a retry cannot succeed."""

    def __init__(self, code: RejectionCode, text: str, retry_after_s: float = 0.0) -> None:
        super().__init__(text)
        self.code = code
        self.text = text
        self.retry_after_s = retry_after_s


@dataclass(slots=True, frozen=True)
class Dependency:
    """Another job that must end first."""

    id: str
    condition: DependencyCondition = DependencyCondition.SERVED


@dataclass(slots=True, frozen=True)
class JobSubmission:
    """One job as the queue passes it to the policy."""

    id: str
    job_class: str
    max_wait_ms: float  # from now; its class's deadline for running is not part of it
    payload_bytes: int = 0
    dependencies: tuple[Dependency, ...] = ()
    delay_ms: float = 0.0  # the job is submitted to the core no earlier than this from now
    wait_for_idle: bool = False
    priority: float | None = None  # LOW_PRIORITY to HIGH_PRIORITY; None: that of its class
    tenant: str = ""
    idempotency_key: str = ""  # a submission with a known key returns the existing job
    fingerprint: bytes = b""  # hash of the content; it must be equal where the key is equal
    durable: bool = False  # the journal records it
    request: Request | None = None


@dataclass(slots=True, frozen=True)
class RestoredJob:
    """A job of an earlier run that has not ended, as the recovery passes it to the policy.

    The submission has the remaining wait and delay, and the dependencies that are not known to be satisfied.
    """

    submission: JobSubmission
    number: int
    submission_count: int
    indeterminate_reason: str = ""  # why it may have run and must not be repeated; empty: it may be released
    dependency_failure: str = ""  # which dependency did not end as required; empty: none
    repeat_deadline_ms: float | None = None  # until when it may be repeated; None: it never ran


@dataclass(slots=True, eq=False)
class Job:
    """One job and its state in the policy, from acceptance to purging."""

    id: str
    job_class: str
    tenant: str
    payload_bytes: int
    number: int  # ascending in the order of acceptance
    accepted_at_ms: float
    wait_deadline_ms: float
    not_before_ms: float
    state: JobState
    wait_for_idle: bool
    priority: float | None
    idempotency_key: str
    fingerprint: bytes
    request: Request | None
    depth: int = 0  # length of the longest chain of unfinished dependencies
    durable: bool = False
    dependencies: tuple[Dependency, ...] = ()  # those that have not ended as required yet
    dependents: list[tuple[Job, DependencyCondition]] | None = None
    ready_at_ms: float = -1.0  # when it was first ready; -1: not yet
    release_due_ms: float = 0.0  # ready jobs are released in the order of this time
    timer_at_ms: float = -1.0  # when its timer fires; -1: no timer is set
    submission_count: int = 0  # how often it was submitted to the core
    outcome: JobOutcome | None = None
    run_state: RunState = RunState.NEVER_RAN
    reason: str = ""
    # Until when a repeat of a job that may have run is harmless; infinite if it never ran, or always may.
    repeat_deadline_ms: float = math.inf

    @property
    def release_deadline_ms(self) -> float:
        """Return until when it may be released: no longer than it may wait, or may be repeated."""
        return min(self.wait_deadline_ms, self.repeat_deadline_ms)

    @property
    def has_unknown_outcome(self) -> bool:
        """Return whether it may have run, and its end needs proof because it can't always be repeated."""
        return self.run_state is not RunState.NEVER_RAN and self.repeat_deadline_ms < math.inf

    @property
    def is_waiting(self) -> bool:
        """Return whether it has not been submitted yet, or not since it was last rejected."""
        return self.state in WAITING_STATES


WAITING_STATES = frozenset({JobState.BLOCKED, JobState.SCHEDULED, JobState.AWAITING_IDLE, JobState.READY})


@dataclass(slots=True, frozen=True)
class StateChanged:
    """A job has changed its state. Emitted for every change, in order."""

    job: Job
    state: JobState


@dataclass(slots=True, frozen=True)
class SubmitJob:
    """Submit the job to the core now. The class of an aged job has the suffix."""

    job: Job
    job_class: str


@dataclass(slots=True, frozen=True)
class DependencySatisfied:
    """A dependency of a durable waiting job has ended as required. The job has those that are left."""

    job: Job


Action = StateChanged | SubmitJob | DependencySatisfied


# Any other outcome is answered as a rejection.
ANSWER_KIND_BY_OUTCOME = {
    JobOutcome.SERVED: AnswerKind.SERVED,
    JobOutcome.FAILED: AnswerKind.FAILED,
    JobOutcome.CANCELLED: AnswerKind.CLIENT_DISCONNECTED,
}


@dataclass(slots=True, frozen=True)
class WaitOptions:
    """A client's options for a deferred job: what it waits for, and for how long at most."""

    max_wait_s: float | None = None  # without its class's deadline for running; None: default_patience_s
    dependencies: tuple[Dependency, ...] = ()
    delay_s: float = 0.0
    not_before_unix_s: float | None = None  # converted to a delay when the job is submitted
    wait_for_idle: bool = False
    priority: float | None = None
    tenant: str = ""
    idempotency_key: str = ""
    fingerprint: bytes = b""
    durable: bool = False  # survives a crash of the scheduler, if there is a store


@dataclass(slots=True, frozen=True)
class JobResult:
    """A job's outcome and the body of its worker's answer."""

    outcome: JobOutcome
    run_state: RunState
    body: bytes = b""
    reason: str = ""
    retry_after_s: float = 0.0  # 0: none given
    resolved_by: str = ""  # the operator who resolved the job, if it was indeterminate

    def answer(self) -> Answer:
        """Convert the result to an answer of the core."""
        kind = ANSWER_KIND_BY_OUTCOME.get(self.outcome, AnswerKind.REJECTED)
        return Answer(kind, self.body, self.retry_after_s, self.reason, self.run_state)

"""The records of stored jobs, the changes to them, and the failures of a store. Times are Unix seconds.

The names of the fields are not stored, as `schema` names the columns, but the values of `StoredState` are.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class StoredState(Enum):
    """The last recorded state of a job."""

    WAITING = "waiting"  # waits for its dependencies, its start time or its turn; no grant is recorded
    SUBMITTED = "asked"  # it may have run, and none of its grants is recorded
    GRANTED = "granted"  # a worker may have received it; from here on it may have run
    STARTED = "started"  # a worker reported its start
    INDETERMINATE = "doubt"  # it may have run, and its outcome is unknown
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class FirstSend:
    """The first time that a job was sent and may have run, if workers drop a repeat for a while after it."""

    unix_s: float
    uptime_s: float  # of the machine; steps of the system's clock do not change it
    boot_id: str  # names the machine's start from which `uptime_s` counts; empty: unknown
    repeat_window_s: float  # how long a repeat was harmless by the settings of that time
    request_id: str  # under which it was sent


@dataclass(slots=True, frozen=True)
class Lease:
    """A grant of a job to a worker. A late result must carry its token."""

    token: str
    worker: str
    granted_at: float
    first_send: FirstSend | None = None  # None: the job must not be sent again


@dataclass(slots=True, frozen=True)
class JobAccepted:
    """An accepted job, with everything that is needed to restore it after a crash."""

    number: int  # ascending in the order of acceptance
    id: str
    job_class: str
    tenant: str
    idempotency_key: str
    fingerprint: bytes  # hash of the request; a reused key with another request is rejected
    accepted_at: float
    max_wait_s: float
    delay_s: float
    wait_for_idle: bool  # it is released only while the fleet is idle
    priority: float | None
    dependencies: bytes  # JSON
    request: bytes  # JSON: the request without its class and payload
    payload: bytes


@dataclass(slots=True, frozen=True)
class JobStateChanged:
    """A job has changed its state; `lease` is set if it was granted to a worker."""

    number: int
    state: StoredState
    submission_count: int  # how often it was submitted to the core
    lease: Lease | None = None


@dataclass(slots=True, frozen=True)
class DependenciesChanged:
    """A waiting job has other dependencies left."""

    number: int
    dependencies: bytes  # JSON


@dataclass(slots=True, frozen=True)
class RequestChanged:
    """The stored request of a job is replaced."""

    number: int
    request: bytes  # JSON


@dataclass(slots=True, frozen=True)
class JobEnded:
    """A job has ended with this result. `resolved_by` names the operator who resolved it, if one did."""

    number: int
    outcome: str
    run_state: str
    reason: str
    result: bytes
    retry_after_s: float
    ended_at: float
    resolved_by: str = ""


Change = JobAccepted | JobStateChanged | DependenciesChanged | RequestChanged | JobEnded


@dataclass(slots=True, frozen=True)
class StoredJob:
    """A job as it is stored."""

    accepted: JobAccepted
    state: StoredState
    submission_count: int
    lease: Lease | None
    ended: JobEnded | None


class StoreFailure(Enum):
    """Why an operation of the store failed."""

    LOCKED = "locked"  # another program has the store open
    NEWER = "newer"  # a later release of the program wrote it
    FOREIGN = "foreign"  # it is not a store of this program
    DAMAGED = "damaged"
    READ_ONLY = "read only"
    FULL = "full"  # the disk is full, or the store has reached its size limit
    FAILED = "failed"  # the disk reported an error, so its content is uncertain
    FENCED = "fenced"  # a successor has opened the store; this program must not write any more


# A retry cannot succeed: the store has to be replaced, or belongs to another program.
FINAL_FAILURES = frozenset(
    {StoreFailure.FENCED, StoreFailure.DAMAGED, StoreFailure.NEWER, StoreFailure.FOREIGN}
)


class StoreError(Exception):
    """A failed operation of the store, described in one line; it has stored nothing."""

    def __init__(self, failure: StoreFailure, text: str) -> None:
        super().__init__(f"{failure.value}: {' '.join(text.split())}")
        self.failure = failure

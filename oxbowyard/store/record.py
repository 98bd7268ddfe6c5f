"""What is stored of a job, the changes to it, and how a store may fail. Times are Unix seconds.

The field names of these records are not stored; `schema` names the columns. The values of `StoredState` are.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class StoredState(Enum):
    """Where a stored job was last known to be."""

    WAITING = "waiting"  # for its dependencies, its time or its turn: it never began
    SUBMITTED = "asked"  # with the core; without a grant it never began
    GRANTED = "granted"  # a worker may have it: from here on it may have run
    STARTED = "started"  # a worker reported its start
    INDETERMINATE = "doubt"  # it may have run, and nobody knows how it ended
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class Lease:
    """A grant to a worker; a result that arrives late is matched by its token."""

    token: str
    worker: str
    granted_at: float


@dataclass(slots=True, frozen=True)
class JobAccepted:
    """A job was accepted: all that is needed to continue with it after a crash."""

    number: int  # the order of acceptance
    id: str
    job_class: str
    tenant: str
    idempotency_key: str
    fingerprint: bytes  # of the request: the same key with another request is an error
    accepted_at: float
    max_wait_s: float
    delay_s: float
    wait_for_idle: bool  # it runs only while the fleet is quiet
    priority: float | None
    dependencies: bytes  # JSON
    request: bytes  # JSON: what a front needs besides the payload
    payload: bytes


@dataclass(slots=True, frozen=True)
class JobStateChanged:
    """A job is in another state; with a lease if a worker has it now."""

    number: int
    state: StoredState
    submission_count: int  # how often it was submitted to the core
    lease: Lease | None = None


@dataclass(slots=True, frozen=True)
class JobEnded:
    """A job has its one final result. `resolved_by` names the operator who set it, if one did."""

    number: int
    outcome: str
    run_state: str
    reason: str
    result: bytes
    retry_after_s: float
    ended_at: float
    resolved_by: str = ""


Change = JobAccepted | JobStateChanged | JobEnded


@dataclass(slots=True, frozen=True)
class StoredJob:
    """A job as the store has it."""

    accepted: JobAccepted
    state: StoredState
    submission_count: int
    lease: Lease | None
    ended: JobEnded | None


class StoreFailure(Enum):
    """Why a store cannot do what was asked."""

    LOCKED = "locked"  # another program has it open
    NEWER = "newer"  # a later release wrote it
    FOREIGN = "foreign"  # it is not a store of this program
    DAMAGED = "damaged"
    READ_ONLY = "read only"
    FULL = "full"  # the disk, or the size that the settings allow
    FAILED = "failed"  # the disk reported an error: what it holds is not known
    FENCED = "fenced"  # a successor has opened it: nothing may be granted or ended here any more


# No retry helps: the store has to be replaced, or belongs to another program.
FINAL_FAILURES = frozenset(
    {StoreFailure.FENCED, StoreFailure.DAMAGED, StoreFailure.NEWER, StoreFailure.FOREIGN}
)


class StoreError(Exception):
    """A store's failure, in one line; nothing of what was asked is stored."""

    def __init__(self, failure: StoreFailure, text: str) -> None:
        super().__init__(f"{failure.value}: {' '.join(text.split())}")
        self.failure = failure

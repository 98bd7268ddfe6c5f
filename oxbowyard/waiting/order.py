"""What a front hands in to wait, the states of a job, and how it ends. Standard library only.

Times are milliseconds on the scheduler's steady clock (`core/clock.py`) unless a name says otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..core.request import Answer, AnswerKind, RunState

AGED = "~aged"  # the class that an aged job is asked in: its own, with the patience to queue at a worker
HIGH, LOW = 1.0, 0.0  # lifts of a job whose client names its priority; else its class's worth for work


class When(Enum):
    """What must have become of a parent before its child may go on."""

    SERVED = "served"
    ENDED = "ended"  # either way; one that may still run has not ended


class State(Enum):
    """Where a job is. It only moves down this list, but that a refused one may go back to TIMED."""

    HELD = "held"  # until its parents have ended
    TIMED = "timed"  # until its time, or until it may be asked again
    QUIET = "quiet"  # until the fleet is quiet
    READY = "ready"  # until it is its turn
    ASKED = "asked"  # with the core, as a req
    STARTED = "started"  # a backend runs it
    DOUBT = "doubt"  # it may have run and its end is not known: only proof moves it on
    ENDED = "ended"
    FORGOTTEN = "forgotten"  # its answer is no longer kept

    __hash__ = object.__hash__  # Enum's own is slow, and states are counted at every change


class End(Enum):
    """How a job ended; each job has exactly one."""

    SERVED = "served"
    REFUSED = "refused"  # by the decisions: a new try does no harm
    FAILED = "failed"  # no promise about its effect
    CANCELLED = "cancelled"  # by its client, or because that left
    ORPHANED = "orphaned"  # a parent did not end as it asked: it never ran
    EXPIRED = "expired"  # its patience for waiting was over: it never ran
    STOPPED = "stopped"  # the program stops: it never ran


class Code(Enum):
    """Why a job is not taken, or what is asked about it not told."""

    UNKNOWN_JOB = "unknown_job"
    STOPPING = "stopping"
    NOT_KEPT = "not_kept"  # the store takes no more work
    RECOVERING = "recovering"  # its parents may not be read back yet
    UNKNOWN_CLASS = "unknown_class"
    DUPLICATE_ID = "duplicate_id"
    CONFLICT = "conflict"  # an idempotency key with another content
    SELF_PARENT = "self_parent"
    UNKNOWN_PARENT = "unknown_parent"  # never seen, or forgotten
    PARENT_NOT_SERVED = "parent_not_served"  # it has ended, but not as asked
    CYCLE = "cycle"
    TOO_MANY_PARENTS = "too_many_parents"
    TOO_DEEP = "too_deep"
    TOO_LARGE = "too_large"
    BATCH_TOO_LARGE = "batch_too_large"
    BAD_PATIENCE = "bad_patience"
    BAD_TIME = "bad_time"
    FULL = "full"
    CLASS_FULL = "class_full"
    TENANT_FULL = "tenant_full"
    BYTES_FULL = "bytes_full"


class Rejected(Exception):
    """A hand-in is not taken, nothing of it. `retry_after` in seconds where coming back helps, else 0."""

    def __init__(self, code: Code, text: str, retry_after: float = 0.0) -> None:
        super().__init__(text)
        self.code = code
        self.text = text
        self.retry_after = retry_after


@dataclass(slots=True, frozen=True)
class Parent:
    """Another job to wait for."""

    id: str
    when: When = When.SERVED


@dataclass(slots=True, frozen=True)
class Order:
    """One job as it is handed in. The cargo is the front's own and is passed on unread."""

    id: str
    job_class: str
    patience: float  # ms that it may wait from now, apart from its class's deadline for running
    size: int = 0  # bytes of its payload
    after: tuple[Parent, ...] = ()
    delay: float = 0.0  # ms before which it is not asked
    quiet: bool = False
    lift: float | None = None  # HIGH to LOW; None: by its class's worth for work
    tenant: str = ""
    token: str = ""  # idempotency key: a hand-in with a known one is that job
    print: bytes = b""  # of its content: with a known token it must be the same
    durable: bool = False  # the ledger is to keep it
    cargo: object = None


@dataclass(slots=True, eq=False)
class Job:
    """One job from handed in to forgotten, as the policy keeps it."""

    id: str
    job_class: str
    tenant: str
    size: int
    number: int  # in the order taken
    taken_at: float
    expiry: float  # of its patience
    not_before: float
    state: State
    quiet: bool
    lift: float | None
    token: str
    print: bytes
    cargo: object
    depth: int = 0
    durable: bool = False
    missing: int = 0  # parents that have not ended
    children: list[tuple[Job, When]] | None = None
    ready_at: float = -1.0  # first; -1: not yet
    due: float = 0.0  # its place in the release order
    timer: float = -1.0  # what the timers hold for it; -1: nothing
    asks: int = 0
    end: End | None = None
    ran: RunState = RunState.NEVER_RAN
    reason: str = ""

    @property
    def waits(self) -> bool:
        """It has not been asked, or not since it was refused."""
        return self.state in WAITS


WAITS = frozenset({State.HELD, State.TIMED, State.QUIET, State.READY})


@dataclass(slots=True, frozen=True)
class Changed:
    """A job is in another state: told of every change, in order."""

    job: Job
    state: State


@dataclass(slots=True, frozen=True)
class Release:
    """Ask the core now; an aged job in the class named here."""

    job: Job
    job_class: str


Action = Changed | Release


# Any other end is a rejection.
KINDS = {
    End.SERVED: AnswerKind.SERVED,
    End.FAILED: AnswerKind.FAILED,
    End.CANCELLED: AnswerKind.CLIENT_DISCONNECTED,
}


@dataclass(slots=True, frozen=True)
class Wait:
    """What a job waits for, and how long at most."""

    patience: float | None = None  # seconds, apart from its class's deadline; None: the setting's default
    after: tuple[Parent, ...] = ()
    delay: float = 0.0  # seconds
    not_before: float | None = None  # Unix time; it becomes a delay when the job is handed in
    quiet: bool = False
    lift: float | None = None
    tenant: str = ""
    token: str = ""
    print: bytes = b""
    durable: bool = False  # where there is a store, it outlives a crash


@dataclass(slots=True, frozen=True)
class Final:
    """How a job ended."""

    end: End
    ran: RunState
    body: bytes = b""
    reason: str = ""
    retry_after: float = 0.0  # seconds; 0: no advice
    by: str = ""  # the operator who said so, for a job that was in doubt

    def answer(self) -> Answer:
        """The same as the core words it."""
        kind = KINDS.get(self.end, AnswerKind.REJECTED)
        return Answer(kind, self.body, self.retry_after, self.reason, self.ran)

"""What is kept of a job, the changes to it, and how a store may fail. Times are Unix seconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Kept(Enum):
    """Where a stored job was last known to be."""

    WAITING = "waiting"  # for its parents, its time or its turn: it never began
    ASKED = "asked"  # with the core; without a grant it never began
    GRANTED = "granted"  # a worker may have it: from here on it may have run
    STARTED = "started"  # a worker said that it began
    DOUBT = "doubt"  # it may have run, and nobody knows how it ended
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class Lease:
    """A grant to a worker, by which the worker's end is known again."""

    token: str
    backend: str
    at: float


@dataclass(slots=True, frozen=True)
class Taken:
    """A job was handed in: all that is needed to go on with it after a crash."""

    number: int
    id: str
    job_class: str
    tenant: str
    token: str  # idempotency key
    print: bytes
    taken_at: float
    patience: float  # seconds
    delay: float
    quiet: bool
    lift: float | None
    parents: bytes  # JSON
    req: bytes  # JSON: what a front needs besides the payload
    payload: bytes


@dataclass(slots=True, frozen=True)
class Moved:
    """A job is somewhere else; with a lease if a worker has it now."""

    number: int
    kept: Kept
    asks: int
    lease: Lease | None = None


@dataclass(slots=True, frozen=True)
class Ended:
    """A job has its one end. `by` names the operator who said so, if one did."""

    number: int
    end: str
    ran: str
    reason: str
    result: bytes
    retry_after: float
    at: float
    by: str = ""


Change = Taken | Moved | Ended


@dataclass(slots=True, frozen=True)
class Stored:
    """A job as the store has it."""

    taken: Taken
    kept: Kept
    asks: int
    lease: Lease | None
    ended: Ended | None


class Trouble(Enum):
    """Why a store can't do what was asked."""

    LOCKED = "locked"  # another program has it open
    NEWER = "newer"  # a later release wrote it
    FOREIGN = "foreign"  # it is no store of ours
    DAMAGED = "damaged"
    READ_ONLY = "read only"
    FULL = "full"  # the disk, or the size that the settings allow
    FAILED = "failed"  # the disk did not do what it was told: what it holds is not known
    FENCED = "fenced"  # a successor has opened it: nothing may be granted or ended here any more


class StoreFault(Exception):
    """A store's failure, in one line; nothing of what was asked is kept."""

    def __init__(self, trouble: Trouble, text: str) -> None:
        super().__init__(f"{trouble.value}: {' '.join(text.split())}")
        self.trouble = trouble

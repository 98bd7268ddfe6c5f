"""The interface of the decision module: its settings, its events and its actions.

Nothing here decides anything. Times are milliseconds; `now` is the caller's clock, which only advances.
Identifiers of requests, workers, tenants, zones, kinds and keys are opaque strings. A dispatcher is one
`choice.Dispatcher`, built from a `Settings` and a seed; feed it events with `handle(now, event)` and carry
out the actions it returns, in order. Events about requests or attempts it does not know are ignored.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Repeat(Enum):
    """What a second run of a request would do."""

    FREE = "free"  # harmless
    GUARDED = "guarded"  # dropped by the workers that remember the first run
    SINGLE_SHOT = "single_shot"  # a second effect: must never happen


class Scope(Enum):
    """What a worker list event carries."""

    CHANGES = "changes"  # only the entries that changed
    FULL = "full"  # every worker; one that is absent has been removed
    RESTORED = "restored"  # the full list kept from before a restart, perhaps stale
    FAILED = "failed"  # a call failed or the subscription dropped; no entries


class Readiness(Enum):
    """What the registry says of a worker."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Result(Enum):
    """How an attempt ended. The last three prove that it never ran."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"  # malformed, says the worker: no other would have it, nor is this one to blame
    TIMEOUT = "timeout"
    RESET = "reset"
    CANCELLED = "cancelled"
    FULL = "full"
    UNREACHABLE = "unreachable"
    NOT_SENT = "not_sent"


@dataclass(slots=True, frozen=True)
class JobClass:
    """A class of requests."""

    name: str
    aim: float  # an answer within this time earns the full worth; above 0
    deadline: float  # the client's patience over all its tries; above 0
    repeat: Repeat = Repeat.SINGLE_SHOT
    group: str = "all"  # guarded only: who drops repeats: "all", "zone" or "cell"
    memory: float = 0.0  # guarded only: how long they remember, from the first attempt that may have run
    stretch: float = 0.0  # the aim grows by this multiple of the request's own work
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth that an answer after the aim still earns
    kind: str | None = None  # the only kind of worker that runs it; None: any
    streaming: bool = False
    in_order: bool = False  # requests of such classes with one key run one at a time, in the order taken


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and what all dispatchers together owe it."""

    name: str
    quota: float = 0.0  # requests a second within its share; 0: unlimited


@dataclass(slots=True, frozen=True)
class Settings:
    """What a dispatcher is told at its start."""

    classes: tuple[JobClass, ...]
    siblings: int = 1  # dispatchers that send to the same workers, this one included; at least 1
    zone: str = ""
    by_work: bool = False  # worth is for each unit of a request's work, not for each request
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0  # share of the worth that a request over its tenant's quota earns
    must_subscribe: bool = False  # the list comes only when asked for
    ask_every: float = math.inf  # without a call for so long, what the list said then counts as told
    live_weights: bool = False  # a worker's weight is its size, lowered the more jobs it holds
    tells_start: bool = False  # workers send Started
    in_turn: bool = False  # a worker begins its waiting jobs in the order in which they came
    progress_every: float = 0.0  # workers send Progress this often; 0: never
    may_probe: bool = False
    may_cancel: bool = False
    may_copy: bool = False  # two attempts of one request may be out together
    max_attempts: int = 1  # at least 1
    max_backoff: float = 0.0  # longest back-off that clients heed
    connect_timeout: float = 250.0
    connect_idle: float = 60000.0  # an idle connection closes after this time
    drain_grace: float = 0.0  # sends to a worker told draining must stop within this time
    cold_from: float = 1.0  # a starting worker has this share of its capacity; above 0, at most 1
    ramp: float = 0.0  # and all of it after this time
    tip_multiple: float = 3.0  # sent more than this multiple of its present capacity
    tip_after: float = 1000.0  # for this time, a cold worker falls over
    turn_gap: float = 0.0  # a key in order rests this long after an attempt that may still run
    waste_cost: float = 0.0  # price of work that served no answer, as a share of the work offered
    probe_cost: float = 0.0  # price of one probe a request

    def __post_init__(self) -> None:
        """Refuse settings that no dispatcher could work under."""
        checks = (
            ("classes", bool(self.classes)),
            ("classes.aim", all(c.aim > 0 for c in self.classes)),
            ("classes.deadline", all(c.deadline > 0 for c in self.classes)),
            ("classes.group", all(c.group in ("all", "zone", "cell") for c in self.classes)),
            ("siblings", self.siblings >= 1),
            ("max_attempts", self.max_attempts >= 1),
            ("cold_from", 0 < self.cold_from <= 1),
            ("ramp", self.ramp >= 0),
            ("tip_multiple", self.tip_multiple > 0),
            ("tip_after", self.tip_after > 0),
            ("turn_gap", self.turn_gap >= 0),
            ("tenants.quota", all(t.quota >= 0 for t in self.tenants)),
        )
        for name, fine in checks:
            if not fine:
                raise ValueError(f"setting {name} is missing or out of range")


@dataclass(slots=True, frozen=True)
class WorkerInfo:
    """An entry of the worker list."""

    name: str
    readiness: Readiness = Readiness.READY
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0  # size, to compare with other workers'; above 0; 1: not told
    online_since: float = 0.0  # clock time of its last start; 0: long ago
    classes: frozenset[str] | None = None  # the only classes it runs; None: any
    slots: int = 0  # jobs that run on it at once, alike for its kind; 0: not told
    private: bool = False  # it takes jobs from this dispatcher alone; alike for its kind

    def __post_init__(self) -> None:
        """A size of nothing has no share of the keys."""
        if not self.weight > 0:
            raise ValueError("weight must be above 0")


@dataclass(slots=True)
class WorkerList:
    """The registry's news for this dispatcher."""

    scope: Scope
    workers: tuple[WorkerInfo, ...] = ()


@dataclass(slots=True, frozen=True)
class Trouble:
    """A worker's, as another dispatcher found it."""

    worker: str
    lasts: float = 0.0  # it should be spared for so long yet
    since: float = 0.0  # clock time at which it was cold, at the latest; 0: not told


@dataclass(slots=True)
class Troubles:
    """All that is heard of now, in place of what was heard before; in doubt nothing of it is used."""

    troubles: tuple[Trouble, ...] = ()


@dataclass(slots=True)
class Request:
    """A client's request: the dispatcher now owes it one final answer."""

    id: str
    job_class: str
    time_left: float  # until the client gives up
    key: str | None = None  # what data it needs; None: none in particular
    tenant: str | None = None
    slots: int = 1
    is_retry: bool = False


@dataclass(slots=True)
class Started:
    """A worker began to run an attempt."""

    id: str
    attempt: int
    worker: str


@dataclass(slots=True)
class Progress:
    """A worker reports that an attempt goes on."""

    id: str
    attempt: int
    worker: str
    share: float = 0.0


@dataclass(slots=True)
class AnswerBegan:
    """The answer of a streamed request began: neither time-out nor deadline count any more."""

    id: str
    attempt: int
    worker: str


@dataclass(slots=True)
class Outcome:
    """How an attempt ended. The first OK reaches the client by itself and is the final answer."""

    id: str
    attempt: int
    worker: str
    result: Result
    duration: float = 0.0
    final: bool = False  # the request is concluded, by this outcome or before
    load: Mapping[str, float] = field(default_factory=dict)  # "waiting" jobs, "free_slots", "errors" a second


@dataclass(slots=True)
class ClientGone:
    """The client left: nothing is owed any more."""

    id: str


@dataclass(slots=True)
class ProbeResult:
    """The answer to a Probe."""

    worker: str
    result: Result
    duration: float = 0.0
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class TimerDue:
    """A timer set by SetTimer is due."""

    tag: int


Event = (
    WorkerList
    | Request
    | Started
    | Progress
    | AnswerBegan
    | Outcome
    | ClientGone
    | ProbeResult
    | TimerDue
    | Troubles
)


@dataclass(slots=True)
class Send:
    """Start an attempt. The attempts of a request are numbered 0, 1, 2, ... in the order sent."""

    id: str
    worker: str
    timeout: float = 0.0  # 0: until the client gives up


@dataclass(slots=True)
class Refuse:
    """Final answer: turned away, surely never run; a new try does no harm."""

    id: str
    backoff: float = 0.0  # how long the client should stay away; 0: no advice


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no promise about its effect."""

    id: str


@dataclass(slots=True)
class Cancel:
    """Stop waiting for one attempt; its Outcome still comes."""

    id: str
    attempt: int


@dataclass(slots=True)
class Probe:
    """Ask a worker for its load."""

    worker: str


@dataclass(slots=True)
class Subscribe:
    """Ask the registry for the list's changes from now on."""


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerDue after this delay."""

    tag: int
    delay: float


@dataclass(slots=True)
class Record:
    """A line for the operators' log."""

    text: str


@dataclass(slots=True)
class Close:
    """Close own idle connections to a worker: what is sent next shows whether it can be reached."""

    worker: str


Action = Send | Refuse | Fail | Cancel | Probe | Subscribe | SetTimer | Record | Close

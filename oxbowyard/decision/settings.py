"""The settings of a dispatcher: job classes, tenants, and the rules and limits of its deployment.

Times are milliseconds. How the platform words these settings is in `platform_settings`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


class Repeat(Enum):
    """What a second run of a request would do."""

    FREE = "free"  # idempotent: it does no harm
    GUARDED = "guarded"  # dropped by the workers that remember the first run, by its idempotency key
    SINGLE_SHOT = "single_shot"  # not idempotent: a second run must never happen


@dataclass(slots=True, frozen=True)
class JobClass:
    """A class of requests.

    `aim` is the latency objective: an answer within it earns the full `worth`. `deadline` is the client's
    patience over all its tries. Both are milliseconds above 0.
    """

    name: str
    aim: float
    deadline: float
    repeat: Repeat = Repeat.SINGLE_SHOT
    group: str = "all"  # GUARDED only: which workers drop repeats: "all", "zone" or "cell"
    memory: float = 0.0  # GUARDED only: how long they remember, from the first attempt that may have run
    stretch: float = 0.0  # the objective grows by this multiple of the request's own work
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth that an answer after the objective still earns
    kind: str | None = None  # the only kind of worker that runs it; None: any
    streaming: bool = False
    in_order: bool = False  # requests of such classes with one key run one at a time, in order of arrival


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its quota at all dispatchers together."""

    name: str
    quota: float = 0.0  # requests a second within its share; 0: unlimited


@dataclass(slots=True, frozen=True)
class Settings:
    """What a dispatcher is configured with. Raises ValueError for impossible values."""

    classes: tuple[JobClass, ...]
    siblings: int = 1  # dispatchers that send to the same workers, this one included; at least 1
    zone: str = ""
    by_work: bool = False  # worth is counted per unit of a request's work, not per request
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0  # share of the worth that a request over its tenant's quota earns
    must_subscribe: bool = False  # endpoint lists come only to those that subscribe
    ask_every: float = math.inf  # without a poll for this long, a change in the list counts as notified
    live_weights: bool = False  # a worker's weight is its size, reduced by the jobs that it holds
    tells_start: bool = False  # workers report the start of a job
    in_turn: bool = False  # workers start queued jobs first in, first out
    progress_every: float = 0.0  # interval of workers' progress reports; 0: none
    may_probe: bool = False
    may_cancel: bool = False
    may_copy: bool = False  # hedged requests: two attempts of one request may be in flight together
    max_attempts: int = 1  # at least 1
    max_backoff: float = 0.0  # the longest Retry-After that clients honour
    connect_timeout: float = 250.0
    connect_idle: float = 60000.0  # an idle connection is closed after this time
    drain_grace: float = 0.0  # sends to a draining worker must stop within this time
    cold_from: float = 1.0  # share of its capacity that a starting worker has; above 0, at most 1
    ramp: float = 0.0  # and all of it after this time
    tip_multiple: float = 3.0  # a cold worker collapses if it is sent more than this multiple of its capacity
    tip_after: float = 1000.0  # over this time
    turn_gap: float = 0.0  # an ordered key rests this long after an attempt that may still run
    waste_cost: float = 0.0  # price of work that served no answer, as a share of the work offered
    probe_cost: float = 0.0  # price of one probe per request

    def __post_init__(self) -> None:
        """Reject settings that are missing or out of range."""
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
        for name, valid in checks:
            if not valid:
                raise ValueError(f"setting {name} is missing or out of range")

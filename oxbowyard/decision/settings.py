"""The settings of a dispatcher: job classes, tenants, and the rules and limits of its deployment.

Times are milliseconds. `platform_settings` parses them from the platform's settings document.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

DEDUP_SCOPE_ALL = "all"  # all workers drop a second run


class RetrySafety(Enum):
    """Whether a request may run twice."""

    IDEMPOTENT = "free"  # a second run does no harm
    DEDUPLICATED = "guarded"  # workers that remember the first run drop a second one
    NOT_IDEMPOTENT = "single_shot"  # a second run must never happen


@dataclass(slots=True, frozen=True)
class JobClass:
    """A class of requests.

    An answer within the latency objective earns the full priority weight. The deadline is the time after
    which the client gives up, all its retries included. Both are milliseconds above 0.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float
    retry_safety: RetrySafety = RetrySafety.NOT_IDEMPOTENT
    # For DEDUPLICATED only: which workers drop a second run ("all", or those of the same "zone" or "cell"),
    # and for how long after the first attempt that may have run.
    dedup_scope: str = "all"
    dedup_window_ms: float = 0.0
    objective_stretch: float = 0.0  # the objective is extended by this multiple of the request's own work
    priority_weight: float = 1.0
    late_weight_share: float = 0.0  # part of the weight that an answer after the objective still earns
    kind: str | None = None  # the only kind of worker that runs it; None: any
    streaming: bool = False
    is_ordered: bool = False  # requests with the same key run one at a time, in order of arrival

    @property
    def repeat_window_ms(self) -> float | None:
        """How long a repeat at any worker does no harm, from the first attempt that may have run.

        Infinite if it never does harm; None if no repeat is harmless, or only at some of the workers.
        """
        if self.retry_safety is RetrySafety.IDEMPOTENT:
            return math.inf
        if self.retry_safety is RetrySafety.DEDUPLICATED and self.dedup_scope == DEDUP_SCOPE_ALL:
            return self.dedup_window_ms
        return None


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its total quota at all dispatchers."""

    name: str
    quota_per_s: float = 0.0  # requests per second; 0: unlimited


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of a dispatcher. Invalid values raise ValueError."""

    classes: tuple[JobClass, ...]
    scheduler_count: int = 1  # dispatchers that send to the same workers, including this one; at least 1
    zone: str = ""
    weight_is_per_work: bool = False  # a priority weight is per unit of work, not per request
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight_share: float = 1.0  # part of the weight that a request over its quota earns
    must_subscribe: bool = False  # endpoint lists are only sent to subscribers
    max_poll_interval_ms: float = math.inf  # after this time without a poll, changes count as notified
    live_weights: bool = False  # the weight of a worker is its size, reduced by its present jobs
    reports_starts: bool = False  # workers report the start of a job
    fifo_workers: bool = False  # workers start queued jobs first in, first out
    progress_interval_ms: float = 0.0  # interval of workers' progress reports; 0: none
    may_probe: bool = False
    may_cancel: bool = False
    may_hedge: bool = False  # two attempts of one request may be in flight concurrently
    max_attempts: int = 1  # at least 1
    max_retry_after_ms: float = 0.0  # the longest Retry-After that clients honour
    connect_timeout_ms: float = 250.0
    connection_idle_timeout_ms: float = 60000.0  # idle connections are closed after this time
    drain_grace_ms: float = 0.0  # sends to a draining worker must stop within this time
    initial_capacity_share: float = (
        1.0  # share of its capacity that a starting worker has; above 0, at most 1
    )
    ramp_ms: float = 0.0  # time after which a started worker has its full capacity
    overload_multiple: float = 3.0  # a cold worker collapses if sent more than this multiple of its capacity
    overload_window_ms: float = 1000.0  # time over which this overload is measured
    ordered_gap_ms: float = 0.0  # an ordered key is blocked this long after an attempt that may still run
    waste_cost: float = 0.0  # cost of work that led to no answer, as a share of the offered work
    probe_cost: float = 0.0  # cost of one probe per request

    def __post_init__(self) -> None:
        """Reject settings that are missing or out of range."""
        checks = (
            ("classes", bool(self.classes)),
            ("classes.aim", all(c.latency_objective_ms > 0 for c in self.classes)),
            ("classes.deadline", all(c.deadline_ms > 0 for c in self.classes)),
            ("classes.group", all(c.dedup_scope in ("all", "zone", "cell") for c in self.classes)),
            ("siblings", self.scheduler_count >= 1),
            ("max_attempts", self.max_attempts >= 1),
            ("cold_from", 0 < self.initial_capacity_share <= 1),
            ("ramp", self.ramp_ms >= 0),
            ("tip_multiple", self.overload_multiple > 0),
            ("tip_after", self.overload_window_ms > 0),
            ("turn_gap", self.ordered_gap_ms >= 0),
            ("tenants.quota", all(t.quota_per_s >= 0 for t in self.tenants)),
        )
        for name, valid in checks:
            if not valid:
                raise ValueError(f"setting {name} is missing or out of range")

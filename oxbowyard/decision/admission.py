"""Admission: which requests are rejected at once, because waiting would not serve them in time.

Reads only; `quotas` keeps the tenants' token buckets.
"""

from __future__ import annotations

import math

from .load_estimate import estimate_queue_wait_ms
from .ranking import SPILL_RANK
from .settings import JobClass
from .state import DispatcherState, RequestState, Worker

MAX_WAIT_SHARE = 0.5  # a job that waits for more of its latency objective would seldom be in time
MAX_PRIORITY_FACTOR = 3.0  # a class may wait this much longer, or shorter, for its priority weight


def should_reject(
    state: DispatcherState,
    request: RequestState,
    worker: Worker,
    rank: float,
    now: float,
    extra_wait_ms: float = 0.0,
) -> bool:
    """Whether a job should be shed rather than wait at this worker, where it has this rank.

    A job over its tenant's quota is shed where it would wait at all. Others are shed where the wait, with
    `extra_wait_ms` added, is longer than their class accepts.
    """
    pool = worker.pool
    # A rank estimated from little may be higher in truth.
    if request.is_over_quota and rank + state.unobserved_share**2 / math.sqrt(pool.slots) >= SPILL_RANK:
        return True
    own_jobs_wait = (worker.in_flight + 1 - pool.slots) * pool.mean_service_time_ms / pool.slots
    wait = max(own_jobs_wait, estimate_queue_wait_ms(state, worker, now))
    return wait + extra_wait_ms > max_queue_wait_ms(state, request.job_class)


def max_queue_wait_ms(state: DispatcherState, job_class: JobClass) -> float:
    """How long a job of a class may wait in a queue: the longer, the more it earns for its service time."""
    mean = state.service_times_ms.mean(job_class.name)
    seen = [other for other in state.settings.classes if other.name in state.service_times_ms]
    earned = sum(other.priority_weight for other in seen)
    base = MAX_WAIT_SHARE * (
        job_class.latency_objective_ms + max(job_class.objective_stretch - 1, 0.0) * mean
    )
    if not mean or not earned:
        return base
    if state.settings.weight_is_per_work:  # the root of the weight, so that no class starves
        factor = math.sqrt(job_class.priority_weight * len(seen) / earned)
    else:
        total_ms = sum(state.service_times_ms.mean(other.name) for other in seen)
        factor = job_class.priority_weight / mean * total_ms / earned
    return base * min(max(factor, 1 / MAX_PRIORITY_FACTOR), MAX_PRIORITY_FACTOR)

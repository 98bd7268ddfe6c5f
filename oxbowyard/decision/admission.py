"""Admission control: which requests are rejected at once because they would wait for too long.

This module changes no state. The token buckets of the tenants are in `quotas`.
"""

from __future__ import annotations

import math

from .load_estimate import estimate_queue_wait_ms
from .ranking import SPILL_RANK
from .settings import JobClass
from .state import DispatcherState, RequestState, Worker

MAX_WAIT_SHARE = 0.5  # of the latency objective: a request that waits for longer is seldom served in time
MAX_PRIORITY_FACTOR = 3.0  # the priority weight makes the accepted wait at most this much longer or shorter


def should_reject(
    state: DispatcherState,
    request: RequestState,
    worker: Worker,
    rank: float,
    now: float,
    extra_wait_ms: float = 0.0,
) -> bool:
    """Return whether to reject a request rather than let it wait at this worker, whose rank is given.

    A request over the quota of its tenant is rejected if it would wait at all. Any other request is rejected
    if its wait plus `extra_wait_ms` is longer than its class accepts.
    """
    pool = worker.pool
    # The second term raises the rank by its likely error: few observations may underestimate it.
    if request.is_over_quota and rank + state.unobserved_share**2 / math.sqrt(pool.slots) >= SPILL_RANK:
        return True
    own_wait_ms = (worker.in_flight + 1 - pool.slots) * pool.mean_service_time_ms / pool.slots
    wait_ms = max(own_wait_ms, estimate_queue_wait_ms(state, worker, now))
    return wait_ms + extra_wait_ms > max_queue_wait_ms(state, request.job_class)


def max_queue_wait_ms(state: DispatcherState, job_class: JobClass) -> float:
    """Return how long a request of a class may wait: longer for a higher weight per service time."""
    mean_ms = state.service_times_ms.mean(job_class.name)
    observed = [other for other in state.settings.classes if other.name in state.service_times_ms]
    total_weight = sum(other.priority_weight for other in observed)
    base_ms = MAX_WAIT_SHARE * (
        job_class.latency_objective_ms + max(job_class.objective_stretch - 1, 0.0) * mean_ms
    )
    if not mean_ms or not total_weight:
        return base_ms
    if state.settings.weight_is_per_work:  # the square root, so that no class starves
        factor = math.sqrt(job_class.priority_weight * len(observed) / total_weight)
    else:
        total_ms = sum(state.service_times_ms.mean(other.name) for other in observed)
        factor = job_class.priority_weight / mean_ms * total_ms / total_weight
    return base_ms * min(max(factor, 1 / MAX_PRIORITY_FACTOR), MAX_PRIORITY_FACTOR)

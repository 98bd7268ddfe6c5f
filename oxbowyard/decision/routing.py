"""Routing by P-DACA: the rank test within the key's affinity set, other workers, the least loaded of the set.

A job goes to the lowest-ranked worker of its key's affinity set where few jobs run before it, else to another
worker where it would start at once, else to the lowest-ranked worker of the set. docs/design.md says what was
kept of the paper's mechanism and what was changed.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from .admission import should_reject
from .affinity import order_workers
from .eligibility import is_eligible
from .outlier_detection import is_stalled
from .ranking import SPILL_RANK, cost, rank
from .state import DispatcherState, RequestState, Worker

AFFINITY_WAIT_SHARE = 0.5  # of the latency objective: how much waiting affinity may cost
MAX_SET_MEMBERS_EXAMINED = 4  # of a wide set
MIN_SPILL_CANDIDATES = 2  # workers examined beyond the set
MAX_EXTRA_SPILL_CANDIDATES = 16  # and more of them, the more is known of each
RANDOM_CANDIDATES = 2
PROBATION_RANK = -1.0
PROBATION_INTERVAL_MS = 1000.0  # a stalled worker gets one job in this time


class Choice(NamedTuple):
    """A worker for a job, and its rank; no worker if none is eligible."""

    worker: Worker | None
    rank: float
    is_probation: bool = False  # a stalled worker that this job tries


@dataclass(slots=True)
class _Best:
    """The best worker found so far."""

    worker: Worker | None = None
    rank: float = math.inf
    cost: float = math.inf


def choose_worker(state: DispatcherState, request: RequestState, now: float) -> Choice:
    """The worker for a job: the three steps of P-DACA over the eligible workers."""
    key = request.key
    affinity_wait_ms = max(
        AFFINITY_WAIT_SHARE * request.job_class.latency_objective_ms, state.key_fetch_cost_ms.difference
    )
    is_keyless = key.key_hash == state.hash_salt
    set_size = 0 if is_keyless else key.set_size
    # Dispatchers look at different members of a wide set.
    first_member = (key.key_hash ^ state.hash_salt) % max(set_size, 1)
    max_others = MIN_SPILL_CANDIDATES + round(MAX_EXTRA_SPILL_CANDIDATES * (1 - state.unobserved_share))
    best = _Best()
    others: list[Worker] = []
    eligible = 0
    for worker in order_workers(state, key, request.job_class.kind):
        if not is_eligible(state, worker, request, now):
            continue
        eligible += 1
        if eligible > set_size:
            others.append(worker)
            if len(others) == max_others:
                break
            continue
        if is_stalled(worker, now):
            worker.next_probation_at_ms = now + PROBATION_INTERVAL_MS
            return Choice(worker, PROBATION_RANK, is_probation=True)
        if (eligible - first_member) % set_size < MAX_SET_MEMBERS_EXAMINED:
            worker_rank = rank(state, worker, request.job_class, now)
            if worker_rank < best.rank:
                best.worker = worker
                best.rank = worker_rank
        if eligible == set_size and _accepts_affinity(best, worker, affinity_wait_ms, request):
            return Choice(best.worker, best.rank)
    if len(others) == max_others:
        others += _further_candidates(state, request, now)
    spill = _cheapest(state, request, others, best.worker, now)
    if spill.worker and _should_spill(state, request, best, spill, now):
        return Choice(spill.worker, spill.rank)
    return Choice(best.worker, best.rank) if best.worker else Choice(spill.worker, spill.rank)


def _accepts_affinity(
    best: _Best, last_member: Worker, affinity_wait_ms: float, request: RequestState
) -> bool:
    """The rank test: whether the wait at the set's best worker is worth the affinity.

    The wait is counted in service times of the kind of the set's last member.
    """
    service_time = last_member.pool.mean_service_time_ms or request.job_class.latency_objective_ms
    return best.rank < SPILL_RANK + affinity_wait_ms / service_time


def _cheapest(
    state: DispatcherState,
    request: RequestState,
    candidates: list[Worker],
    excluded: Worker | None,
    now: float,
) -> _Best:
    """The candidate with the lowest cost, the fetch of the key's data included."""
    cheapest = _Best()
    for worker in candidates:
        if worker is excluded:
            continue
        worker_rank = rank(state, worker, request.job_class, now)
        worker_cost = cost(state, worker, request.key.key_hash, worker_rank)
        if worker_cost < cheapest.cost:
            cheapest = _Best(worker, worker_rank, worker_cost)
    return cheapest


def _should_spill(
    state: DispatcherState, request: RequestState, best: _Best, spill: _Best, now: float
) -> bool:
    """Whether the job leaves its set: it would start at once, or be in time where the set is too slow."""
    if spill.rank < SPILL_RANK:
        return True
    if best.worker is None or spill.worker is None:
        return False
    if not should_reject(state, request, best.worker, best.rank, now):
        return False
    return not should_reject(
        state, request, spill.worker, spill.rank, now, state.key_fetch_cost_ms.difference
    )


def _further_candidates(state: DispatcherState, request: RequestState, now: float) -> list[Worker]:
    """Recently idle workers and random ones, so that not all dispatchers spill to the same workers."""
    sample = state.random.sample(state.ready_workers, min(RANDOM_CANDIDATES, len(state.ready_workers)))
    kind = request.job_class.kind
    return [
        worker
        for worker in (*state.recent_idle_workers, *sample)
        if kind in (None, worker.kind) and is_eligible(state, worker, request, now)
    ]

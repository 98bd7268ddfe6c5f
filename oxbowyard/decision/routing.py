"""Routing by P-DACA: the affinity set of the key first, then spilling to workers outside the set.

A request goes to the lowest-ranked worker of its key's affinity set if the rank is low enough, else to a
worker outside the set where it would start at once, else to the lowest-ranked worker of the set.
docs/design.md lists the differences from the published algorithm.
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

AFFINITY_WAIT_SHARE = 0.5  # of the latency objective: longest wait that is accepted for affinity
MAX_SET_MEMBERS_EXAMINED = 4  # members of a large affinity set that are ranked per request
MIN_SPILL_CANDIDATES = 2  # workers outside the affinity set that are ranked for spilling
MAX_EXTRA_SPILL_CANDIDATES = 16  # further ones, scaled by the share of the load that is observed
RANDOM_CANDIDATES = 2  # random workers that are ranked as well when all of these were found
PROBATION_RANK = -1.0  # rank of a stalled worker that gets a request as a probe
PROBATION_INTERVAL_MS = 1000.0  # a stalled worker gets one request per interval


class Choice(NamedTuple):
    """The worker chosen for a request and its rank. The worker is None if none is eligible."""

    worker: Worker | None
    rank: float
    is_probation: bool = False  # the worker is stalled, and this request probes it


@dataclass(slots=True)
class _Candidate:
    """The best worker found so far."""

    worker: Worker | None = None
    rank: float = math.inf
    cost: float = math.inf


def choose_worker(state: DispatcherState, request: RequestState, now: float) -> Choice:
    """Choose a worker for a request by the three steps of P-DACA over the eligible workers."""
    key = request.key
    affinity_wait_ms = max(
        AFFINITY_WAIT_SHARE * request.job_class.latency_objective_ms, state.key_fetch_cost_ms.difference
    )
    is_keyless = key.key_hash == state.hash_salt
    set_size = 0 if is_keyless else key.set_size
    # Each dispatcher ranks different members of a large set.
    first_member = (key.key_hash ^ state.hash_salt) % max(set_size, 1)
    max_spill_candidates = MIN_SPILL_CANDIDATES + round(
        MAX_EXTRA_SPILL_CANDIDATES * (1 - state.unobserved_share)
    )
    best = _Candidate()
    spill_candidates: list[Worker] = []
    eligible_count = 0
    for worker in order_workers(state, key, request.job_class.kind):
        if not is_eligible(state, worker, request, now):
            continue
        eligible_count += 1
        if eligible_count > set_size:
            spill_candidates.append(worker)
            if len(spill_candidates) == max_spill_candidates:
                break
            continue
        if is_stalled(worker, now):
            worker.next_probation_at_ms = now + PROBATION_INTERVAL_MS
            return Choice(worker, PROBATION_RANK, is_probation=True)
        if (eligible_count - first_member) % set_size < MAX_SET_MEMBERS_EXAMINED:
            worker_rank = rank(state, worker, request.job_class, now)
            if worker_rank < best.rank:
                best.worker = worker
                best.rank = worker_rank
        if eligible_count == set_size and _passes_rank_test(best, worker, affinity_wait_ms, request):
            return Choice(best.worker, best.rank)
    if len(spill_candidates) == max_spill_candidates:
        spill_candidates += _sample_further_candidates(state, request, now)
    spill = _find_cheapest(state, request, spill_candidates, best.worker, now)
    if spill.worker and _should_spill(state, request, best, spill, now):
        return Choice(spill.worker, spill.rank)
    return Choice(best.worker, best.rank) if best.worker else Choice(spill.worker, spill.rank)


def _passes_rank_test(
    best: _Candidate, last_member: Worker, affinity_wait_ms: float, request: RequestState
) -> bool:
    """Return whether the wait at the best worker of the set is short enough to keep the affinity.

    The wait is measured in service times of the kind of the last member of the set.
    """
    service_time_ms = last_member.pool.mean_service_time_ms or request.job_class.latency_objective_ms
    return best.rank < SPILL_RANK + affinity_wait_ms / service_time_ms


def _find_cheapest(
    state: DispatcherState,
    request: RequestState,
    candidates: list[Worker],
    excluded: Worker | None,
    now: float,
) -> _Candidate:
    """Return the candidate with the lowest cost, which includes fetching the data of the key."""
    cheapest = _Candidate()
    for worker in candidates:
        if worker is excluded:
            continue
        worker_rank = rank(state, worker, request.job_class, now)
        worker_cost = cost(state, worker, request.key.key_hash, worker_rank)
        if worker_cost < cheapest.cost:
            cheapest = _Candidate(worker, worker_rank, worker_cost)
    return cheapest


def _should_spill(
    state: DispatcherState, request: RequestState, best: _Candidate, spill: _Candidate, now: float
) -> bool:
    """Return whether the request leaves its set to start at once, or to be in time if the set is slow."""
    if spill.rank < SPILL_RANK:
        return True
    if best.worker is None or spill.worker is None:
        return False
    if not should_reject(state, request, best.worker, best.rank, now):
        return False
    return not should_reject(
        state, request, spill.worker, spill.rank, now, state.key_fetch_cost_ms.difference
    )


def _sample_further_candidates(state: DispatcherState, request: RequestState, now: float) -> list[Worker]:
    """Return recently idle and random workers, so that not all dispatchers spill to the same ones."""
    sample = state.random.sample(state.ready_workers, min(RANDOM_CANDIDATES, len(state.ready_workers)))
    kind = request.job_class.kind
    return [
        worker
        for worker in (*state.recent_idle_workers, *sample)
        if kind in (None, worker.kind) and is_eligible(state, worker, request, now)
    ]

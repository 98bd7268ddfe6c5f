"""Chooses which waiting job is submitted to the core next. Has no I/O and no clock."""

from __future__ import annotations

from collections.abc import Callable

from .job import AGED_CLASS_SUFFIX, Job, JobState, SubmitJob
from .policy_state import NO_TIMER_MS, PolicyState, set_state, set_timer
from .release_queues import QueueEntry


def release_jobs(state: PolicyState, now: float, steps: int) -> int:
    """Release jobs while there is capacity, at most one per step. Returns the number of steps left."""
    while steps > 0:
        job = _next_job(state, now)
        if job is None:
            break
        steps -= 1
        _release(state, job, now)
    return steps


def _release(state: PolicyState, job: Job, now: float) -> None:
    queues = state.awaiting_idle if job.state is JobState.AWAITING_IDLE else state.ready
    queues.remove(job)
    set_timer(state, job, NO_TIMER_MS)
    job.submission_count += 1
    state.rate.window(job.job_class).submitted += 1
    job_class = job.job_class + AGED_CLASS_SUFFIX if _is_aged(state, job, now) else job.job_class
    set_state(state, job, JobState.SUBMITTED)
    state.actions.append(SubmitJob(job, job_class))


def _is_aged(state: PolicyState, job: Job, now: float) -> bool:
    """Return whether the job has waited so long that it may queue at a worker, if its class allows that."""
    if job.state is not JobState.READY or not state.settings.for_class(job.job_class).queueing:
        return False
    return job.wait_for_idle or now - job.ready_at_ms >= state.age_limit_ms


def _next_job(state: PolicyState, now: float) -> Job | None:
    """Return the job to release next, or None.

    That is the earliest due job whose class has capacity, else an overdue one at the guaranteed rate, else
    one that waits for an idle fleet.
    """
    rate = state.rate
    if state.ready:
        heads = sorted(state.ready.heads())
        job = _first_allowed(heads, rate.allows, now)
        if job is not None:
            return job
        overdue = [head for head in heads if head[0] + state.age_limit_ms <= now]
        job = _first_allowed(overdue, rate.allows_aged, now)
        if job is not None:
            rate.record_aged_release(now)
            return job
    if state.awaiting_idle:
        # The test is stricter than that of ordinary jobs: without capacity for those there is none for these.
        return _first_allowed(sorted(state.awaiting_idle.heads()), rate.allows_idle, now)
    return None


def _first_allowed(
    heads: list[QueueEntry], is_allowed: Callable[[str, float], bool], now: float
) -> Job | None:
    for _, _, job in heads:
        if is_allowed(job.job_class, now):
            return job
    return None

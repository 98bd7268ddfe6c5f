"""Handles ended jobs: notifies their dependents and purges their results. Has no I/O and no clock.

Each call does at most `steps` steps and returns how many are left, so that thousands of jobs that end at the
same time do not block the caller.
"""

from __future__ import annotations

from .dependencies import unsatisfied_reason
from .job import DependencySatisfied, Job, JobOutcome, JobState
from .policy_state import PolicyState, end_job, set_state, unblock


def notify_dependents(state: PolicyState, now: float, steps: int) -> int:
    """Unblock the dependents of ended jobs, or end them if a condition is not satisfied."""
    while steps > 0 and state.ended_dependencies:
        ended = state.ended_dependencies[0]
        for dependent, condition in ended.dependents:
            steps -= 1
            if dependent.outcome is None:
                _notify(state, dependent, ended.job, unsatisfied_reason(ended.job, condition), now)
            if steps <= 0:
                break
        else:
            state.ended_dependencies.popleft()
    return steps


def _notify(state: PolicyState, dependent: Job, ended: Job, failure: str, now: float) -> None:
    if failure:
        end_job(state, dependent, now, JobOutcome.DEPENDENCY_FAILED, failure)
        return
    dependent.dependencies = tuple(d for d in dependent.dependencies if d.id != ended.id)
    if dependent.durable:
        state.actions.append(DependencySatisfied(dependent))
    if not dependent.dependencies:
        unblock(state, dependent, now)


def purge_results(state: PolicyState, now: float, steps: int) -> int:
    """Purge the ended jobs whose retention time is over, and the oldest ones while a limit is exceeded."""
    settings, held = state.settings, state.held
    while steps > 0 and state.retained:
        oldest = state.retained[0]
        within_limits = held.ended <= settings.max_ended and held.ended_bytes <= settings.max_ended_bytes
        if oldest.purge_at_ms > now and within_limits:
            break
        state.retained.popleft()
        steps -= 1
        held.ended -= 1
        held.ended_bytes -= oldest.result_bytes
        _purge(state, oldest.job)
    return steps


def _purge(state: PolicyState, job: Job) -> None:
    set_state(state, job, JobState.PURGED)
    state.held.by_state[JobState.PURGED] -= 1
    del state.jobs[job.id]
    state.jobs_by_number.remove(job)
    if job.idempotency_key:
        state.by_idempotency_key.pop((job.tenant, job.idempotency_key), None)


def end_for_shutdown(state: PolicyState, now: float, steps: int) -> int:
    """End the waiting jobs of a program that shuts down."""
    while steps > 0 and state.jobs_to_shut_down is not None:
        job = next(state.jobs_to_shut_down, None)
        steps -= 1
        if job is None:
            state.jobs_to_shut_down = None
        elif job.is_waiting:
            end_job(state, job, now, JobOutcome.SHUT_DOWN, "this scheduler stops")
    return steps

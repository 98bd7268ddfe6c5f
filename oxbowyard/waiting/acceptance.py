"""Accepts jobs from a client's submission, or from the store after a restart. Has no I/O and no clock."""

from __future__ import annotations

from collections.abc import Sequence

from ..core.request import RunState
from .dependencies import topological_order, unsatisfied_reason
from .held_jobs import check_submissions, queue_full_error
from .job import (
    DependencySatisfied,
    Job,
    JobOutcome,
    JobRejectedError,
    JobState,
    JobSubmission,
    RejectionCode,
    RestoredJob,
    StateChanged,
)
from .policy_state import PolicyState, end_job, expire, mark_indeterminate, set_timer, unblock


def find_repeated(state: PolicyState, submissions: Sequence[JobSubmission]) -> list[Job]:
    """Return the jobs that were submitted before with the same idempotency keys; empty for a new submission.

    Raises JobRejectedError if only some of the keys are known, or if a key was used with other content.
    """
    known = [_find_one_repeated(state, submission) for submission in submissions]
    found = [job for job in known if job is not None]
    if found and len(found) < len(known):
        text = "some of these were handed in before, and some were not"
        raise JobRejectedError(RejectionCode.CONFLICT, text)
    return found


def _find_one_repeated(state: PolicyState, submission: JobSubmission) -> Job | None:
    if not submission.idempotency_key:
        return None
    job = state.by_idempotency_key.get((submission.tenant, submission.idempotency_key))
    if job is not None and job.fingerprint != submission.fingerprint:
        text = "this idempotency key was used for another job"
        raise JobRejectedError(RejectionCode.CONFLICT, text)
    return job


def accept_jobs(state: PolicyState, now: float, submissions: Sequence[JobSubmission]) -> list[Job]:
    """Accept all jobs or none of them. Raises JobRejectedError."""
    if state.is_stopping:
        text = "this scheduler takes no more jobs"
        raise queue_full_error(state.settings, RejectionCode.STOPPING, text)
    check_submissions(submissions, state.settings, state.classes, state.jobs, state.held)
    accepted = {}
    for submission, depth in topological_order(submissions, state.jobs.get, state.settings):
        state.last_number += 1
        job = _add_job(state, now, submission, state.last_number, depth)
        _begin_waiting(state, job, now, submission)
        accepted[submission.id] = job
    return [accepted[submission.id] for submission in submissions]


def restore_job(state: PolicyState, now: float, restored: RestoredJob) -> Job:
    """Restore a job of an earlier run, with its remaining wait and delay.

    No limits are checked, because the job was accepted before. A job without any wait left ends as expired,
    or is indeterminate if it may have run.
    """
    job = _add_job(state, now, restored.submission, restored.number, 0)
    job.submission_count = restored.submission_count
    if restored.repeat_deadline_ms is not None:
        job.run_state = RunState.MAY_BE_RUNNING
        job.repeat_deadline_ms = restored.repeat_deadline_ms
    if restored.indeterminate_reason:
        mark_indeterminate(state, job, restored.indeterminate_reason)
    elif restored.dependency_failure:
        end_job(state, job, now, JobOutcome.DEPENDENCY_FAILED, restored.dependency_failure)
    elif job.release_deadline_ms <= now:
        expire(state, job, now, "its patience for waiting was over before the restart")
    else:
        _begin_waiting(state, job, now, restored.submission)
    return job


def _begin_waiting(state: PolicyState, job: Job, now: float, submission: JobSubmission) -> None:
    """Let a job wait for its dependencies, or end it if one has ended in a way that does not satisfy it."""
    failure = _add_dependencies(state, job, submission)
    if failure:
        end_job(state, job, now, JobOutcome.DEPENDENCY_FAILED, failure)
    elif job.dependencies:
        set_timer(state, job, job.wait_deadline_ms)
    else:
        unblock(state, job, now)


def _add_job(state: PolicyState, now: float, submission: JobSubmission, number: int, depth: int) -> Job:
    class_settings = state.settings.for_class(submission.job_class)
    job = Job(
        submission.id,
        submission.job_class,
        submission.tenant,
        submission.payload_bytes,
        number,
        accepted_at_ms=now,
        wait_deadline_ms=now + submission.max_wait_ms,
        not_before_ms=now + submission.delay_ms if submission.delay_ms else 0.0,
        state=JobState.BLOCKED,
        wait_for_idle=submission.wait_for_idle or class_settings.quiet,
        priority=submission.priority,
        idempotency_key=submission.idempotency_key,
        fingerprint=submission.fingerprint,
        request=submission.request,
        depth=depth,
        durable=submission.durable,
    )
    state.jobs[job.id] = job
    state.jobs_by_number.add(job)
    if job.idempotency_key:
        state.by_idempotency_key[job.tenant, job.idempotency_key] = job
    state.held.add(job)
    state.actions.append(StateChanged(job, JobState.BLOCKED))
    return job


def _add_dependencies(state: PolicyState, job: Job, submission: JobSubmission) -> str:
    """Register a job with its dependencies that have not ended.

    A dependency that is not known here is one that was left in the store: the job waits for it until its own
    wait is over. Returns why a dependency that has ended does not satisfy the job; empty if all of them do.
    """
    pending = []
    for dependency in submission.dependencies:
        known = state.jobs.get(dependency.id)
        if known is None:
            pending.append(dependency)
        elif known.outcome is None:
            if known.dependents is None:
                known.dependents = []
            known.dependents.append((job, dependency.condition))
            pending.append(dependency)
        elif failure := unsatisfied_reason(known, dependency.condition):
            return failure
    job.dependencies = tuple(pending)
    if job.durable and len(pending) < len(submission.dependencies):
        state.actions.append(DependencySatisfied(job))
    return ""

"""Checks and orders the dependencies between jobs. Has no I/O and no clock.

A job can depend only on existing jobs or on others of its own submission, so a cycle is only possible within
one submission.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from ..core.request import RunState
from .job import (
    Dependency,
    DependencyCondition,
    Job,
    JobOutcome,
    JobRejectedError,
    JobState,
    JobSubmission,
    RejectionCode,
)
from .settings import WaitingSettings

FindJob = Callable[[str], Job | None]


def is_satisfied(outcome: JobOutcome, run_state: RunState, condition: DependencyCondition) -> bool:
    """Return whether an outcome satisfies a dependent's condition.

    SERVED satisfies every condition; any other outcome of a job that may still run satisfies none.
    """
    if outcome is JobOutcome.SERVED:
        return True
    return condition is DependencyCondition.ENDED and run_state is not RunState.MAY_BE_RUNNING


def has_dependents_on_any_end(job: Job) -> bool:
    """Return whether another job waits for its end, whatever the outcome: it must be known whether it ran."""
    return any(condition is DependencyCondition.ENDED for _, condition in job.dependents or ())


def unsatisfied_reason(ended: Job, condition: DependencyCondition) -> str:
    """Return why an ended job does not satisfy a dependent's condition; empty if it does."""
    assert ended.outcome is not None
    if is_satisfied(ended.outcome, ended.run_state, condition):
        return ""
    may_run = ", it may still run" if ended.run_state is RunState.MAY_BE_RUNNING else ""
    return f"{ended.id} ended: {ended.outcome.value}{may_run}"


def topological_order(
    submissions: Sequence[JobSubmission], find: FindJob, settings: WaitingSettings
) -> list[tuple[JobSubmission, int]]:
    """Return the jobs of one submission, dependencies first, each with its depth. Raises JobRejectedError."""
    if len(submissions) == 1 and not submissions[0].dependencies:  # the most common case
        return [(submissions[0], 0)]
    by_id = {submission.id: submission for submission in submissions}
    for submission in submissions:
        _check_dependencies(submission, by_id, find, settings)
    internal = {s.id: [d.id for d in s.dependencies if d.id in by_id] for s in submissions}
    dependents: dict[str, list[str]] = {}
    for id_, dependencies in internal.items():
        for dependency in dependencies:
            dependents.setdefault(dependency, []).append(id_)
    pending = {id_: len(dependencies) for id_, dependencies in internal.items()}
    order = [id_ for id_, count in pending.items() if not count]
    depths: dict[str, int] = {}
    for id_ in order:  # the loop appends to the list that it iterates over
        depths[id_] = _depth(by_id[id_], depths, find)
        if depths[id_] > settings.max_depth:
            text = f"{id_} is more than {settings.max_depth} jobs deep in a chain"
            raise JobRejectedError(RejectionCode.TOO_DEEP, text)
        for dependent in dependents.get(id_, ()):
            pending[dependent] -= 1
            if not pending[dependent]:
                order.append(dependent)
    if len(order) < len(by_id):
        left = next(id_ for id_, count in pending.items() if count)
        text = f"{left} waits for itself through others of this hand-in"
        raise JobRejectedError(RejectionCode.CYCLE, text)
    return [(by_id[id_], depths[id_]) for id_ in order]


def _check_dependencies(
    submission: JobSubmission, by_id: Mapping[str, JobSubmission], find: FindJob, settings: WaitingSettings
) -> None:
    if len(submission.dependencies) > settings.max_parents:
        text = f"a job waits for {settings.max_parents} others at most"
        raise JobRejectedError(RejectionCode.TOO_MANY_DEPENDENCIES, text)
    seen: set[str] = set()
    for dependency in submission.dependencies:
        if dependency.id == submission.id:
            raise JobRejectedError(RejectionCode.SELF_DEPENDENCY, f"{submission.id} waits for itself")
        if dependency.id in seen:
            text = f"{submission.id} names {dependency.id} twice"
            raise JobRejectedError(RejectionCode.DUPLICATE_ID, text)
        seen.add(dependency.id)
        if dependency.id not in by_id:
            _check_known(dependency, find(dependency.id), settings)


def _check_known(dependency: Dependency, known: Job | None, settings: WaitingSettings) -> None:
    if known is None:
        text = f"no job {dependency.id}, or its end is no longer known"
        raise JobRejectedError(RejectionCode.UNKNOWN_DEPENDENCY, text)
    if known.outcome is not None and not is_satisfied(known.outcome, known.run_state, dependency.condition):
        text = f"{dependency.id} has ended: {known.outcome.value}"
        raise JobRejectedError(RejectionCode.DEPENDENCY_NOT_SERVED, text)
    if known.dependents is not None and len(known.dependents) >= settings.max_children:
        text = f"{settings.max_children} jobs wait for {dependency.id} already"
        raise JobRejectedError(RejectionCode.TOO_MANY_DEPENDENCIES, text)


def _depth(submission: JobSubmission, depths: Mapping[str, int], find: FindJob) -> int:
    """Return the length of the longest chain of unfinished dependencies."""
    deepest = 0
    for dependency in submission.dependencies:
        if dependency.id in depths:
            deepest = max(deepest, depths[dependency.id] + 1)
        elif (known := find(dependency.id)) is not None and known.outcome is None:
            depth = known.depth if known.state is JobState.BLOCKED else 0
            deepest = max(deepest, depth + 1)
    return deepest

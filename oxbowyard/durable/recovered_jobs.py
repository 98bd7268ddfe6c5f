"""Determines the state in which a job of an earlier run is restored. Has no I/O and no clock.

The grant of a job that must not run twice is on disk before the last byte of the job is sent. So a job
without a recorded grant never ran, or may safely run again; a job with one may have run.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import Enum

from ..core.request import RunState
from ..store.record import JobEnded, Lease, StoredJob, StoredState
from ..waiting.dependencies import is_satisfied
from ..waiting.job import Dependency, JobOutcome

GRANTED_STATES = (StoredState.GRANTED, StoredState.STARTED, StoredState.INDETERMINATE)


class UnresolvedDependency(Enum):
    """The state of a dependency for which no outcome is stored."""

    OPEN = "open"  # it has not ended
    UNKNOWN = "unknown"  # it is not in the store


FindOutcome = Callable[[str], JobEnded | UnresolvedDependency]


@dataclass(slots=True, frozen=True)
class RecoveredState:
    """The state in which a job is restored. Times are seconds."""

    max_wait_s: float  # the remaining wait; 0: none
    delay_s: float
    indeterminate_reason: str = ""  # why it may have run; empty: it may be released
    dependencies: tuple[Dependency, ...] = ()  # those that have not ended
    failed_dependency: str = ""  # the id of one that did not end as required


def recovered_state(
    stored: StoredJob, dependencies: Sequence[Dependency], find_outcome: FindOutcome, now: float
) -> RecoveredState:
    """Return the state in which to restore a stored job; `now` is Unix time in seconds.

    The system's clock may have stepped back since, so the remaining times are limited to the original ones.
    """
    accepted = stored.accepted
    elapsed_s = max(now - accepted.accepted_at, 0.0)
    max_wait_s = max(accepted.max_wait_s - elapsed_s, 0.0)
    delay_s = max(accepted.delay_s - elapsed_s, 0.0)
    if stored.state in GRANTED_STATES:
        return RecoveredState(max_wait_s, 0.0, indeterminate_reason(stored.lease))
    open_dependencies = []
    for dependency in dependencies:
        end = find_outcome(dependency.id)
        if end is UnresolvedDependency.OPEN:
            open_dependencies.append(dependency)
        elif isinstance(end, UnresolvedDependency) or not _is_satisfied_by(end, dependency):
            return RecoveredState(max_wait_s, delay_s, failed_dependency=dependency.id)
    return RecoveredState(max_wait_s, delay_s, dependencies=tuple(open_dependencies))


def _is_satisfied_by(end: JobEnded, dependency: Dependency) -> bool:
    return is_satisfied(JobOutcome(end.outcome), RunState(end.run_state), dependency.condition)


def indeterminate_reason(lease: Lease | None) -> str:
    """Return the reason of an indeterminate job: the worker and the time of the grant, for an operator."""
    if lease is None:
        return "it may have run before this scheduler stopped"
    at = datetime.fromtimestamp(lease.granted_at, UTC).isoformat(timespec="seconds")
    return f"it was granted to {lease.worker} at {at}, and its end is not known: look whether it was done"

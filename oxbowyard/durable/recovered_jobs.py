"""The state of a job of an earlier run. No I/O, no clock.

Before the last byte of a job that must not run twice is sent, its grant is on disk. So a job without a grant
surely never ran, or may safely run again; one with a grant may have run.
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
    """A dependency that has no end."""

    OPEN = "open"
    UNKNOWN = "unknown"


FindOutcome = Callable[[str], JobEnded | UnresolvedDependency]


@dataclass(slots=True, frozen=True)
class RecoveredState:
    """Where a job continues. Times in seconds."""

    max_wait_s: float  # what is left of it; 0: nothing
    delay_s: float
    indeterminate_reason: str = ""  # why it may have run
    dependencies: tuple[Dependency, ...] = ()  # those that have no end
    failed_dependency: str = ""  # one that did not end as required


def recovered_state(
    stored: StoredJob, dependencies: Sequence[Dependency], find_outcome: FindOutcome, now: float
) -> RecoveredState:
    """The state of a stored job; `now` is Unix time in seconds.

    The clock may have stepped while no program ran: what is left is never more than what there was.
    """
    accepted = stored.accepted
    elapsed_s = max(now - accepted.accepted_at, 0.0)
    max_wait_s = max(accepted.max_wait_s - elapsed_s, 0.0)
    delay_s = max(accepted.delay_s - elapsed_s, 0.0)
    if stored.state in GRANTED_STATES:
        return RecoveredState(max_wait_s, 0.0, indeterminate_reason(stored.lease))
    still_open = []
    for dependency in dependencies:
        end = find_outcome(dependency.id)
        if end is UnresolvedDependency.OPEN:
            still_open.append(dependency)
        elif isinstance(end, UnresolvedDependency) or not _is_satisfied_by(end, dependency):
            return RecoveredState(max_wait_s, delay_s, failed_dependency=dependency.id)
    return RecoveredState(max_wait_s, delay_s, dependencies=tuple(still_open))


def _is_satisfied_by(end: JobEnded, dependency: Dependency) -> bool:
    return is_satisfied(JobOutcome(end.outcome), RunState(end.run_state), dependency.condition)


def indeterminate_reason(lease: Lease | None) -> str:
    """What an operator needs to find out whether a job ran: the worker, and when it was granted."""
    if lease is None:
        return "it may have run before this scheduler stopped"
    at = datetime.fromtimestamp(lease.granted_at, UTC).isoformat(timespec="seconds")
    return f"it was granted to {lease.worker} at {at}, and its end is not known: look whether it was done"

"""Determines the state in which a job of an earlier run is restored. Has no I/O and no clock.

If a repeat of a job may do harm, its grant is on disk before its last byte is sent. So without a recorded
grant it never ran. With one it may have run, and is released again only while a repeat is harmless by the
settings of both runs. A job that an earlier release accepted, or that was accepted when its class could
always be repeated, may have been sent without a recorded grant.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from datetime import UTC, datetime
from enum import Enum

from ..core.request import RunState
from ..store.record import FirstSend, JobEnded, Lease, StoredJob, StoredState
from ..waiting.dependencies import is_satisfied
from ..waiting.job import Dependency, JobOutcome
from .machine_clock import Moment, repeat_time_left_s

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
    first_send: FirstSend | None = None  # set if it may have run and may be repeated
    repeat_s: float = 0.0  # for how long it may be repeated
    may_have_run: bool = False  # its class can always be repeated


@dataclass(slots=True, frozen=True)
class RecoveryContext:
    """What the state of a restored job depends on, beside the store."""

    now: Moment
    repeat_window_s: float  # of its class, by the settings now; 0: never, infinite: always
    records_grants: bool | None = None  # see `encoding.decode_records_grants`


def recovered_state(
    stored: StoredJob, dependencies: Sequence[Dependency], find_outcome: FindOutcome, context: RecoveryContext
) -> RecoveredState:
    """Return the state in which to restore a stored job.

    The system's clock may have stepped back since, so the remaining times are limited to the original ones.
    """
    accepted = stored.accepted
    elapsed_s = max(context.now.unix_s - accepted.accepted_at, 0.0)
    max_wait_s = max(accepted.max_wait_s - elapsed_s, 0.0)
    delay_s = max(accepted.delay_s - elapsed_s, 0.0)
    if stored.state in GRANTED_STATES:
        return _state_after_grant(stored, max_wait_s, context)
    open_dependencies = []
    for dependency in dependencies:
        end = find_outcome(dependency.id)
        if end is UnresolvedDependency.OPEN:
            open_dependencies.append(dependency)
        elif isinstance(end, UnresolvedDependency) or not _is_satisfied_by(end, dependency):
            return RecoveredState(max_wait_s, delay_s, failed_dependency=dependency.id)
    is_submitted = stored.state is StoredState.SUBMITTED
    was_due = is_submitted or (not open_dependencies and delay_s <= 0)
    if was_due and _may_have_been_sent_unrecorded(stored, context):
        return _state_after_unrecorded_send(stored, max_wait_s, context)
    may_have_run = is_submitted and math.isinf(context.repeat_window_s)
    dependencies_left = tuple(open_dependencies)
    return RecoveredState(max_wait_s, delay_s, dependencies=dependencies_left, may_have_run=may_have_run)


def _state_after_grant(stored: StoredJob, max_wait_s: float, context: RecoveryContext) -> RecoveredState:
    """Return the state of a job that may have run: it may be repeated in time, or is indeterminate."""
    first_send = first_send_of(stored)
    if first_send is not None:
        window_s = min(first_send.repeat_window_s, context.repeat_window_s)
        first_send = replace(first_send, repeat_window_s=window_s)
        repeat_s = repeat_time_left_s(first_send, context.now)
        if repeat_s > 0:
            return RecoveredState(max_wait_s, 0.0, first_send=first_send, repeat_s=repeat_s)
    return RecoveredState(max_wait_s, 0.0, indeterminate_reason(stored.lease))


def first_send_of(stored: StoredJob) -> FirstSend | None:
    """Return when a job with a grant was first sent; None if it must not be sent again in any case."""
    if stored.state is StoredState.INDETERMINATE or stored.lease is None:
        return None
    return stored.lease.first_send


def _may_have_been_sent_unrecorded(stored: StoredJob, context: RecoveryContext) -> bool:
    """Return whether a job without a grant may have been sent, and a repeat may do harm now."""
    if math.isinf(context.repeat_window_s):
        return False
    if stored.state is StoredState.SUBMITTED:
        return True
    if context.records_grants is not None:
        return not context.records_grants
    # Earlier releases recorded the grants of all classes but those that all workers deduplicate.
    return context.repeat_window_s > 0


def _state_after_unrecorded_send(
    stored: StoredJob, max_wait_s: float, context: RecoveryContext
) -> RecoveredState:
    """Return the state of a job that may have been sent at any time since it was due."""
    now, due_at = context.now, stored.accepted.accepted_at + stored.accepted.delay_s
    elapsed_s = now.unix_s - due_at
    repeat_s = context.repeat_window_s - elapsed_s
    if context.records_grants is None and elapsed_s >= 0 and repeat_s > 0:
        # Which machine sent it is not known, so that only this run can tell the time since.
        first_send = FirstSend(
            due_at, now.uptime_s - elapsed_s, now.boot_id, context.repeat_window_s, stored.accepted.id
        )
        return RecoveredState(max_wait_s, 0.0, first_send=first_send, repeat_s=repeat_s)
    return RecoveredState(
        max_wait_s, 0.0, "it may have run before this scheduler stopped; no grant was recorded"
    )


def _is_satisfied_by(end: JobEnded, dependency: Dependency) -> bool:
    return is_satisfied(JobOutcome(end.outcome), RunState(end.run_state), dependency.condition)


def indeterminate_reason(lease: Lease | None) -> str:
    """Return the reason of an indeterminate job: the worker and the time of the grant, for an operator."""
    if lease is None:
        return "it may have run before this scheduler stopped"
    at = datetime.fromtimestamp(lease.granted_at, UTC).isoformat(timespec="seconds")
    return f"it was granted to {lease.worker} at {at}, and its end is not known: look whether it was done"

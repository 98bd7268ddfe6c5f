"""Where a job of an earlier run surely is. No I/O, no clock.

Before the last byte of a job that must not run twice is written, its grant is on disk. So a job without a
grant surely never began, or may safely begin again; one with a grant may have run.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime

from ..core.request import RunState
from ..store.record import JobEnded, JobState, Lease, StoredJob
from ..waiting.kin import met
from ..waiting.order import End, Parent

GRANTED = (JobState.GRANTED, JobState.STARTED, JobState.INDETERMINATE)


@dataclass(slots=True, frozen=True)
class Place:
    """Where a job goes on. Times in seconds."""

    patience: float  # left for waiting; 0: over
    delay: float
    doubt: str = ""  # why it may have run
    after: tuple[Parent, ...] = ()  # parents that have no end
    orphaned_by: str = ""  # a parent that ended otherwise than asked


def place(
    stored: StoredJob, parents: Sequence[Parent], ended: Callable[[str], JobEnded | bool], now: float
) -> Place:
    """A job's place. `ended` tells a parent's end, True if it has none yet, False if nothing is known of it.

    The clock may have stepped while nobody ran: what is left is never more than what there was.
    """
    accepted = stored.accepted
    passed = max(now - accepted.accepted_at, 0.0)
    patience, delay = max(accepted.max_wait_s - passed, 0.0), max(accepted.delay_s - passed, 0.0)
    if stored.state in GRANTED:
        return Place(patience, 0.0, in_doubt(stored.lease))
    after = []
    for parent in parents:
        end = ended(parent.id)
        if end is True:
            after.append(parent)
        elif end is False or not met(End(end.outcome), RunState(end.ran), parent.when):
            return Place(patience, delay, orphaned_by=parent.id)
    return Place(patience, delay, after=tuple(after))


def in_doubt(lease: Lease | None) -> str:
    """Words by which a desk can act."""
    if lease is None:
        return "it may have run before this scheduler stopped"
    at = datetime.fromtimestamp(lease.granted_at, UTC).isoformat(timespec="seconds")
    return f"it was granted to {lease.worker} at {at}, and its end is not known: look whether it was done"

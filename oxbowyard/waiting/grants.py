"""Grants of jobs that must not run twice: the lease of each, its worker, and when it was first sent.

A job may run twice without harm for its class's repeat window, counted from the first time that it was sent
and may have run. Earlier submissions of the job and earlier runs of the program count too.
"""

from __future__ import annotations

import math
import secrets
from collections.abc import Iterable
from dataclasses import dataclass

from ..core.repeats import repeat_window_s
from ..decision.settings import JobClass


class RepeatRules:
    """How long a job of each class may be repeated after it may have run. Unknown classes raise KeyError."""

    def __init__(self, classes: Iterable[JobClass]) -> None:
        self._windows_s = {c.name: repeat_window_s(c) or 0.0 for c in classes}

    def window_s(self, job_class: str) -> float:
        """Return for how long a repeat is harmless: 0 if never, infinite if always."""
        return self._windows_s[job_class]

    def needs_grant(self, job_class: str) -> bool:
        """Return whether it must be recorded that a job is about to be sent, as a repeat may do harm."""
        return self._windows_s[job_class] < math.inf


@dataclass(slots=True, frozen=True)
class RepeatLimit:
    """Until when, and under which id, a job that may have run may be sent again."""

    deadline_s: float  # loop time
    request_id: str  # without an idempotency key, workers recognize a repeat by this id


@dataclass(slots=True)
class Grant:
    """The latest grant of a job."""

    lease: str = ""
    worker: str = ""
    repeat: RepeatLimit | None = None  # None: it never ran


class Grants:
    """The grants of one queue, by job id."""

    def __init__(self) -> None:
        self._grants: dict[str, Grant] = {}

    def record(self, job_id: str, worker: str, lease: str) -> Grant:
        """Record that a job is about to be sent to a worker, and return its grant."""
        grant = self._grants.setdefault(job_id, Grant())
        grant.worker = worker
        grant.lease = lease
        return grant

    def restore(self, job_id: str, lease: str, repeat: RepeatLimit | None) -> None:
        """Restore the grant of a job from an earlier run of the program."""
        self._grants[job_id] = Grant(lease, repeat=repeat)

    def repeat_limit(self, job_id: str) -> RepeatLimit | None:
        """Return the limit of a job that was sent and may have run; None if it never ran."""
        grant = self._grants.get(job_id)
        return grant.repeat if grant else None

    def worker(self, job_id: str) -> str:
        """Return the worker that a job was granted to last; empty if this program has granted it to none."""
        grant = self._grants.get(job_id)
        return grant.worker if grant else ""

    def is_current_lease(self, job_id: str, lease: str) -> bool:
        """Return whether this is the latest lease of the job."""
        grant = self._grants.get(job_id)
        known = grant.lease if grant else ""
        return bool(lease) and secrets.compare_digest(known.encode(), lease.encode())

    def clear_run(self, job_id: str) -> None:
        """Record that a job never ran. Its lease stays valid until the next grant."""
        grant = self._grants.get(job_id)
        if grant is not None:
            grant.repeat = None

    def discard(self, job_id: str) -> None:
        """Discard the grant of a job that has ended."""
        self._grants.pop(job_id, None)

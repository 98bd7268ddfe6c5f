"""Leases of workers: which have been silent for too long with a job. No I/O, no clock; times in milliseconds.

All leases last equally long, so those that were renewed last expire last: a walk from the front finds the
expired ones.
"""

from __future__ import annotations


class LeaseTable:
    """The leases that are out."""

    def __init__(self, duration_ms: float) -> None:
        self.duration_ms = duration_ms
        self._expiry_ms: dict[str, float] = {}  # by job, the earliest first

    def begin(self, now: float, job_id: str) -> None:
        """A worker has the job from now on, or another one has."""
        self._expiry_ms.pop(job_id, None)
        self._expiry_ms[job_id] = now + self.duration_ms

    def renew(self, now: float, job_id: str) -> None:
        """The worker gave a sign of life: a start, progress, data. An expired lease stays so."""
        if job_id in self._expiry_ms:
            self.begin(now, job_id)

    def end(self, job_id: str) -> None:
        """The job has ended, or no worker has it any more."""
        self._expiry_ms.pop(job_id, None)

    def take_expired(self, now: float) -> list[str]:
        """Jobs whose leases have expired, each once."""
        expired = []
        for job_id, expiry_ms in self._expiry_ms.items():
            if expiry_ms > now:
                break
            expired.append(job_id)
        for job_id in expired:
            del self._expiry_ms[job_id]
        return expired

    def next_expiry_ms(self) -> float | None:
        """When the next lease expires without a sign of life; None: there is none."""
        return next(iter(self._expiry_ms.values()), None)

"""The leases of workers on jobs. Has no I/O and no clock; times are milliseconds.

All leases have the same duration, so a dictionary in the order of renewal is also in the order of expiry, and
the expired leases are at its front.
"""

from __future__ import annotations


class LeaseTable:
    """The current leases, by job id."""

    def __init__(self, duration_ms: float) -> None:
        self.duration_ms = duration_ms
        self._expiry_ms: dict[str, float] = {}  # by job id, the earliest expiry first

    def begin(self, now: float, job_id: str) -> None:
        """Start the lease of a worker that gets the job, in place of an earlier lease."""
        self._expiry_ms.pop(job_id, None)
        self._expiry_ms[job_id] = now + self.duration_ms

    def renew(self, now: float, job_id: str) -> None:
        """Extend the lease after a start, progress or data from the worker, unless it has expired."""
        if job_id in self._expiry_ms:
            self.begin(now, job_id)

    def end(self, job_id: str) -> None:
        """Remove the lease, because the job has ended or no worker has it any more."""
        self._expiry_ms.pop(job_id, None)

    def take_expired(self, now: float) -> list[str]:
        """Remove the expired leases and return their job ids."""
        expired = []
        for job_id, expiry_ms in self._expiry_ms.items():
            if expiry_ms > now:
                break
            expired.append(job_id)
        for job_id in expired:
            del self._expiry_ms[job_id]
        return expired

    def next_expiry_ms(self) -> float | None:
        """Return when the next lease expires unless it is renewed; None if there is no lease."""
        return next(iter(self._expiry_ms.values()), None)

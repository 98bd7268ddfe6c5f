"""The timer that detects expired leases of workers that gave no sign of life."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .journal import LeaseTable


class LeaseWatch:
    """Calls `on_expired` with the id of each job whose lease has expired. Does nothing without a table."""

    def __init__(
        self, leases: LeaseTable | None, clock: Callable[[], float], on_expired: Callable[[str], None]
    ) -> None:
        """`clock` is steady, in milliseconds. Create it on the event loop that uses it."""
        self._leases = leases
        self._clock = clock
        self._on_expired = on_expired
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def begin(self, job_id: str) -> None:
        """Start the lease of a worker that gets the job."""
        if self._leases is not None:
            self._leases.begin(self._clock(), job_id)
            self._set_timer(self._leases)

    def renew(self, job_id: str) -> None:
        """Extend the lease after a sign of life from the worker."""
        if self._leases is not None:
            self._leases.renew(self._clock(), job_id)

    def end(self, job_id: str) -> None:
        """Remove the lease; no worker has the job any more."""
        if self._leases is not None:
            self._leases.end(job_id)

    def _set_timer(self, leases: LeaseTable) -> None:
        expiry_ms = leases.next_expiry_ms()
        if self._timer is None and expiry_ms is not None:
            delay_s = max(expiry_ms - self._clock(), 0.0) / 1000
            self._timer = self._loop.call_later(delay_s, self._expire, leases)

    def _expire(self, leases: LeaseTable) -> None:
        self._timer = None
        for job_id in leases.take_expired(self._clock()):
            self._on_expired(job_id)
        self._set_timer(leases)

"""The timer of the leases: notices workers that have been silent for too long."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .journal import LeaseTable


class LeaseWatch:
    """Calls `on_expired` with the id of each job whose lease has expired; without a table it does nothing."""

    def __init__(
        self, leases: LeaseTable | None, clock: Callable[[], float], on_expired: Callable[[str], None]
    ) -> None:
        """`clock` is steady, in milliseconds. To be made on the event loop that uses it."""
        self._leases = leases
        self._clock = clock
        self._on_expired = on_expired
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def begin(self, job_id: str) -> None:
        """A worker has the job from now on."""
        if self._leases is not None:
            self._leases.begin(self._clock(), job_id)
            self._set_timer(self._leases)

    def renew(self, job_id: str) -> None:
        """The worker gave a sign of life."""
        if self._leases is not None:
            self._leases.renew(self._clock(), job_id)

    def end(self, job_id: str) -> None:
        """No worker has the job any more."""
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

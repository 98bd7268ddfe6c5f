"""The limits that a submission has to meet."""

from __future__ import annotations

from .config import Function, GearmanConfig
from .errors import ErrorCode, PacketRejectedError
from .job_table import JobTable

NO_LIMIT = 0


class JobLimits:
    """Bounds the number of waiting jobs, by function, and the memory of all jobs."""

    def __init__(self, config: GearmanConfig, table: JobTable) -> None:
        self._config = config
        self._table = table
        self._max_waiting: dict[str, int] = {}  # by function; set by an operator
        self.is_shutting_down = False  # no more jobs are accepted

    def set_max_waiting(self, function: str, number: int) -> None:
        """Override the configured number of waiting jobs for a function; 0 or less: no limit."""
        self._max_waiting[function] = max(number, NO_LIMIT)

    def reset_max_waiting(self, function: str) -> None:
        """Return to the configured number of waiting jobs."""
        self._max_waiting.pop(function, None)

    def check(self, function: Function, payload_bytes: int, deferred: bool) -> None:
        """Raise PacketRejectedError if a job of this size may not be accepted now."""
        # Waiting jobs are few but may be large: their number alone would not bound the memory.
        if self._table.payload_bytes + payload_bytes > self._config.max_held_bytes:
            text = "the jobs that wait hold all the memory they may"
            raise PacketRejectedError(ErrorCode.JOB_QUEUE_FULL, text)
        if self.is_shutting_down:
            raise PacketRejectedError(ErrorCode.SHUTTING_DOWN, "this scheduler takes no more jobs")
        limit = self._limit(function.name, deferred)
        if limit != NO_LIMIT and self._table.counts(function.name).waiting >= limit:
            raise PacketRejectedError(ErrorCode.JOB_QUEUE_FULL, "too many jobs wait for this function")

    def _limit(self, function: str, deferred: bool) -> int:
        # The queue of deferred jobs has limits of its own.
        return self._max_waiting.get(function, NO_LIMIT if deferred else self._config.max_queue)

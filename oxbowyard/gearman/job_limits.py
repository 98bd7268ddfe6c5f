"""The limits that a submission must not exceed."""

from __future__ import annotations

from .config import Function, GearmanConfig
from .errors import ErrorCode, PacketRejectedError
from .job_table import JobTable

NO_LIMIT = 0


class JobLimits:
    """Limits the number of waiting jobs per function and the memory of all jobs."""

    def __init__(self, config: GearmanConfig, table: JobTable) -> None:
        self._config = config
        self._table = table
        self._max_waiting: dict[str, int] = {}  # by function, as set by operators
        self.is_shutting_down = False  # no further jobs are accepted

    def set_max_waiting(self, function: str, number: int) -> None:
        """Override the configured limit of waiting jobs for a function; 0 or less removes the limit."""
        self._max_waiting[function] = max(number, NO_LIMIT)

    def reset_max_waiting(self, function: str) -> None:
        """Restore the configured limit of waiting jobs for a function."""
        self._max_waiting.pop(function, None)

    def check(self, function: Function, payload_bytes: int, is_deferred: bool) -> None:
        """Raise PacketRejectedError if a job of this size may not be accepted now."""
        # Waiting jobs may be large, so a limit on their number alone would not limit the memory.
        if self._table.payload_bytes + payload_bytes > self._config.max_held_bytes:
            text = "the jobs that wait hold all the memory they may"
            raise PacketRejectedError(ErrorCode.JOB_QUEUE_FULL, text)
        if not self._table.has_space(payload_bytes):
            text = "this scheduler holds all the memory it may"
            raise PacketRejectedError(ErrorCode.JOB_QUEUE_FULL, text)
        if self.is_shutting_down:
            raise PacketRejectedError(ErrorCode.SHUTTING_DOWN, "this scheduler takes no more jobs")
        limit = self._limit(function.name, is_deferred)
        if limit != NO_LIMIT and self._table.counts(function.name).waiting >= limit:
            raise PacketRejectedError(ErrorCode.JOB_QUEUE_FULL, "too many jobs wait for this function")

    def _limit(self, function: str, is_deferred: bool) -> int:
        # The queue of deferred jobs enforces its own limits.
        return self._max_waiting.get(function, NO_LIMIT if is_deferred else self._config.max_queue)

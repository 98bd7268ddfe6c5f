"""Which requests are admitted, by which rules of their class, and which of them are open."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from ..decision.settings import JobClass, RetrySafety, Settings
from .open_request import OpenRequest
from .request import Answer, AnswerKind, Request

MAX_ATTEMPTS = 16  # per request, above every setting in use: a fault in the decisions must have an end
BUSY_RETRY_AFTER_S = 1.0  # advice with the rejection of a request while too many are open


@dataclass(slots=True)
class Limits:
    """What one process may hold."""

    max_open_requests: int = 20_000
    max_attempts: int = MAX_ATTEMPTS


class Admission:
    """The open requests. A request is admitted unless its id is open or too many are."""

    def __init__(self, settings: Settings, limits: Limits) -> None:
        self._loop = asyncio.get_running_loop()
        self._limits = limits
        self._open: dict[str, OpenRequest] = {}
        self._open_by_class: Counter[str] = Counter()
        self._idle = asyncio.Event()
        self._idle.set()
        # Zero where the clients heed no advice.
        self.retry_after_s = min(BUSY_RETRY_AFTER_S, settings.max_retry_after_ms / 1000)
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Admit requests by these classes and this number of attempts from now on."""
        self._max_attempts = min(settings.max_attempts, self._limits.max_attempts)
        self._repeat_windows_s = {c.name: _repeat_window_s(c) for c in settings.classes}

    def is_open(self, request_id: str) -> bool:
        """Whether a request of this id is open: a second copy could run beside it."""
        return request_id in self._open

    def reject_if_full(self) -> Answer | None:
        """The answer to a further request while too many are open, else None."""
        if len(self._open) < self._limits.max_open_requests:
            return None
        return Answer(AnswerKind.REJECTED, retry_after_s=self.retry_after_s, reason="too many open reqs")

    def admit(self, request: Request) -> OpenRequest:
        """Open a request; its deadline counts from now."""
        now = self._loop.time()
        entry = OpenRequest(
            request,
            received_at=now,
            deadline=now + request.timeout_s,
            answer=self._loop.create_future(),
            repeat_window_s=self._repeat_windows_s.get(request.job_class),
            max_attempts=self._max_attempts,
        )
        self._open[request.id] = entry
        self._open_by_class[request.job_class] += 1
        self._idle.clear()
        return entry

    def find(self, request_id: str) -> OpenRequest | None:
        """The open request of this id."""
        return self._open.get(request_id)

    def release(self, entry: OpenRequest) -> None:
        """Close a request, once it is answered and no attempt of it is running."""
        if not entry.is_answered or entry.attempt is not None:
            return
        if self._open.pop(entry.request.id, None) is not None:
            self._open_by_class[entry.request.job_class] -= 1
        if not self._open:
            self._idle.set()

    @property
    def open_count(self) -> int:
        """The number of open requests."""
        return len(self._open)

    def open_count_of(self, classes: Iterable[str]) -> int:
        """The number of open requests of some classes."""
        return sum(self._open_by_class[name] for name in classes)

    def max_time_left_s(self) -> float:
        """Seconds until the latest deadline of the open requests; 0 if none is open."""
        latest = max((entry.deadline for entry in self._open.values()), default=0.0)
        return max(latest - self._loop.time(), 0.0)

    async def wait_until_idle(self) -> None:
        """Wait until no request is open."""
        await self._idle.wait()


def _repeat_window_s(job_class: JobClass) -> float | None:
    if job_class.retry_safety is RetrySafety.DEDUPLICATED and job_class.dedup_scope == "all":
        return job_class.dedup_window_ms / 1000
    return math.inf if job_class.retry_safety is RetrySafety.IDEMPOTENT else None

"""Admission of requests under the rules of their class, and the table of open requests."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from ..decision.settings import Settings
from .open_request import OpenRequest
from .repeats import RememberedIds, repeat_window_s
from .request import Answer, AnswerKind, Request, RunState

MAX_ATTEMPTS = 16  # per request; above every configured limit, it only bounds retries caused by a bug
BUSY_RETRY_AFTER_S = 1.0  # retry delay sent with a rejection while too many requests are open


@dataclass(slots=True)
class Limits:
    """The limits of one process."""

    max_open_requests: int = 20_000
    max_attempts: int = MAX_ATTEMPTS


class Admission:
    """Holds the open requests. A request is admitted unless its id is open already or too many are open."""

    def __init__(self, settings: Settings, limits: Limits, ids: RememberedIds) -> None:
        """`ids` are the ids whose work may have run."""
        self._loop = asyncio.get_running_loop()
        self._limits = limits
        self._ids = ids
        self._open: dict[str, OpenRequest] = {}
        self._open_by_class: Counter[str] = Counter()
        self._idle = asyncio.Event()
        self._idle.set()
        # The maximum is zero if clients ignore the retry delay.
        self.retry_after_s = min(BUSY_RETRY_AFTER_S, settings.max_retry_after_ms / 1000)
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Use the classes and the attempt limit of these settings for requests admitted from now on."""
        self._max_attempts = min(settings.max_attempts, self._limits.max_attempts)
        self._repeat_windows_s = {c.name: repeat_window_s(c) for c in settings.classes}

    def is_open(self, request_id: str) -> bool:
        """Return whether a request with this id is open: a second one could run at the same time."""
        return request_id in self._open

    def reject_if_full(self) -> Answer | None:
        """Return the rejection for a further request if too many are open, else None."""
        if len(self._open) < self._limits.max_open_requests:
            return None
        return Answer(AnswerKind.REJECTED, retry_after_s=self.retry_after_s, reason="too many open reqs")

    def reject_repeat(self, request: Request) -> Answer | None:
        """Return the answer to a request whose id came before and must not run again, or cannot be remembered
        if it runs; else None."""
        if self.is_open(request.id):  # a second one could run at the same time
            return Answer(AnswerKind.FAILED, reason="a req with this id is open")
        if not request.is_id_from_client:
            return None
        earlier = self._ids.find(request.id)
        if earlier is not None and self._loop.time() >= earlier.repeat_deadline:
            reason = "a req with this id may have run"
            return Answer(AnswerKind.FAILED, reason=reason, run_state=RunState.MAY_HAVE_RUN)
        if self._repeat_windows_s.get(request.job_class) != math.inf and not self._ids.has_space():
            reason = "too many ids are remembered"
            return Answer(AnswerKind.REJECTED, retry_after_s=self.retry_after_s, reason=reason)
        return None

    def claim_run(self, entry: OpenRequest) -> bool:
        """Return whether a request may run now, and remember its id, if its client may send that again."""
        if not entry.request.is_id_from_client or entry.is_id_claimed:
            return True
        entry.is_id_claimed = self._ids.claim(entry.request.id, entry.repeat_window_s)
        return entry.is_id_claimed

    def admit(self, request: Request) -> OpenRequest:
        """Open a request. Its timeout starts now."""
        now = self._loop.time()
        entry = OpenRequest(
            request,
            received_at=now,
            deadline=now + request.timeout_s,
            answer=self._loop.create_future(),
            repeat_window_s=self._repeat_windows_s.get(request.job_class),
            max_attempts=self._max_attempts,
        )
        if request.repeat_deadline is not None:
            entry.record_earlier_run(request.repeat_deadline)
        elif request.is_id_from_client and (earlier := self._ids.find(request.id)) is not None:
            entry.record_earlier_run(earlier.repeat_deadline)
            entry.is_id_claimed = True
        self._open[request.id] = entry
        self._open_by_class[request.job_class] += 1
        self._idle.clear()
        return entry

    def find(self, request_id: str) -> OpenRequest | None:
        """Return the open request with this id, or None."""
        return self._open.get(request_id)

    def release(self, entry: OpenRequest) -> None:
        """Close a request if it is answered and none of its attempts is running; otherwise do nothing."""
        if not entry.is_answered or entry.attempt is not None:
            return
        if self._open.pop(entry.request.id, None) is not None:
            self._open_by_class[entry.request.job_class] -= 1
            if entry.is_id_claimed and not entry.may_have_run:
                self._ids.discard(entry.request.id)
        if not self._open:
            self._idle.set()

    @property
    def open_count(self) -> int:
        """Return the number of open requests."""
        return len(self._open)

    def open_count_of(self, classes: Iterable[str]) -> int:
        """Return the number of open requests of the given classes."""
        return sum(self._open_by_class[name] for name in classes)

    def max_time_left_s(self) -> float:
        """Return the seconds until the latest deadline of the open requests; 0 if none is open."""
        latest = max((entry.deadline for entry in self._open.values()), default=0.0)
        return max(latest - self._loop.time(), 0.0)

    async def wait_until_idle(self) -> None:
        """Wait until no request is open."""
        await self._idle.wait()

"""Delivers results to long polls, waiting clients and the callbacks of fronts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from .job import JobRejectedError, JobResult, RejectionCode, WaitAbandoned
from .settings import WaitingSettings

OnEnd = Callable[[JobResult], None]
OnAbandoned = Callable[[str, WaitAbandoned], None]  # called with the id of the job


class ResultWatchers:
    """The waiters of each job. All calls must come from the event loop's thread."""

    def __init__(self, settings: WaitingSettings) -> None:
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._futures: dict[str, list[asyncio.Future[JobResult | WaitAbandoned]]] = {}
        self._callbacks: dict[str, OnEnd] = {}
        # Called when waiting for a job is in vain; set by fronts whose clients wait behind an `OnEnd`.
        self.abandon_callbacks: list[OnAbandoned] = []
        self._polling = 0

    def set_callback(self, job_id: str, callback: OnEnd) -> None:
        """Set the callback that is called once with the job's result."""
        self._callbacks[job_id] = callback

    def has_callback(self, job_id: str) -> bool:
        """Return whether a callback is set for the job."""
        return job_id in self._callbacks

    async def poll(self, job_id: str, timeout_s: float) -> JobResult | None:
        """Wait for the job's result; None if the time is over or waiting is in vain.

        Raises JobRejectedError if too many wait.
        """
        settings = self._settings
        if self._polling >= settings.max_watchers:
            text = f"{settings.max_watchers} wait already"
            raise JobRejectedError(RejectionCode.QUEUE_FULL, text, settings.full_retry_after_s)
        self._polling += 1
        try:
            async with asyncio.timeout(min(timeout_s, settings.max_poll_s)):
                end = await self.wait(job_id)
                return end if isinstance(end, JobResult) else None
        except TimeoutError:
            return None
        finally:
            self._polling -= 1

    async def wait(self, job_id: str) -> JobResult | WaitAbandoned:
        """Wait for the job's result, or until it is known that it will not be learned."""
        future: asyncio.Future[JobResult | WaitAbandoned] = self._loop.create_future()
        self._futures.setdefault(job_id, []).append(future)
        try:
            return await future
        finally:
            self._remove(job_id, future)

    def _remove(self, job_id: str, future: asyncio.Future[JobResult | WaitAbandoned]) -> None:
        futures = self._futures.get(job_id)
        if futures is None or future not in futures:
            return
        futures.remove(future)
        if not futures:
            del self._futures[job_id]

    def notify(self, job_id: str, result: JobResult) -> None:
        """Deliver the result of a job that has ended."""
        for future in self._futures.pop(job_id, ()):
            if not future.done():
                future.set_result(result)
        callback = self._callbacks.pop(job_id, None)
        if callback is not None:
            callback(result)

    def abandon(self, job_id: str, abandoned: WaitAbandoned) -> None:
        """End all waits for the job without a result. Its callback stays, for those who wait later."""
        for future in self._futures.get(job_id, ()):
            if not future.done():
                future.set_result(abandoned)
        for callback in self.abandon_callbacks:
            callback(job_id, abandoned)

    def watched_job_ids(self) -> Iterable[str]:
        """Return the ids of the jobs that may be waited for."""
        return list(self._futures.keys() | self._callbacks.keys())

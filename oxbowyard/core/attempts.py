"""Attempts: each sends one request to one backend and ends with an outcome, a timeout or a cancellation."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from functools import partial
from typing import Protocol

from ..decision.facade import Result, StartAttempt
from .deadlines import Deadlines
from .log_limit import LogLimit
from .open_request import OpenRequest, RunningAttempt
from .request import AttemptContext, AttemptOutcome, AttemptUpdate, BackendTransport, Request

log = logging.getLogger("oxbowyard.core")

LOG_INTERVAL_S = 10.0
MAX_LOGGED_ATTEMPTS = 200  # lines on attempts that were not served, in each interval


class AttemptObserver(Protocol):
    """The receiver of the events of each attempt."""

    def attempt_started(self, entry: OpenRequest, action: StartAttempt) -> None:
        """Handle the start of the request on the backend."""

    def attempt_ended(
        self, entry: OpenRequest, action: StartAttempt, outcome: AttemptOutcome, duration_ms: float
    ) -> None:
        """Handle the outcome of an attempt, which is recorded in the open request already."""

    def attempt_not_sent(self, action: StartAttempt, is_final: bool) -> None:
        """Handle an attempt that was not sent. `is_final`: its request has its final answer."""


class Attempts:
    """Starts and cancels attempts, and reports their progress to the observer."""

    def __init__(
        self,
        transport: BackendTransport,
        deadlines: Deadlines,
        observer: AttemptObserver,
        claim_run: Callable[[OpenRequest], bool],
    ) -> None:
        """Create the attempts of one core. `claim_run` is called just before a request may run, and returns
        False if the work must not be sent."""
        self._loop = asyncio.get_running_loop()
        self._transport = transport
        self._deadlines = deadlines
        self._observer = observer
        self._claim_run = claim_run
        self._log_limit = LogLimit(MAX_LOGGED_ATTEMPTS, LOG_INTERVAL_S, self._loop.time)

    def start(self, entry: OpenRequest, action: StartAttempt) -> None:
        """Start an attempt. If a rule forbids it, report it as not sent in the next loop iteration."""
        time_left_s = self._deadlines.time_left_s(entry)
        allowed = entry.may_be_attempted and time_left_s > 0
        entry.attempt_count += 1
        if not allowed:
            log.warning("attempt against the rules not sent: %s", _describe(entry, action))
            self.report_not_sent(action, entry.is_answered)
            return
        entry.run_started_at = None
        timeout_s = min(time_left_s, action.timeout_ms / 1000) if action.timeout_ms > 0 else time_left_s
        context = AttemptContext(
            timeout_s,
            on_started=partial(self._started, entry, action),
            on_update=partial(self._updated, entry, action),
            send_deadline=entry.repeat_deadline,
            is_wanted=lambda: not entry.is_answered,
            claim_run=partial(self._claim_run, entry),
        )
        task = self._loop.create_task(self._run(entry.request, action, context))
        entry.attempt = RunningAttempt(action, context, task, sent_at=self._loop.time())
        _trace("attempt sent", entry, action)
        # The end is handled in a callback because a task cancelled before its first step never enters its
        # coroutine, while its callbacks still run.
        task.add_done_callback(partial(self._ended, entry, entry.attempt))

    def cancel(self, entry: OpenRequest) -> None:
        """Cancel the running attempt, if there is one. Its end is still reported."""
        attempt = entry.attempt
        if attempt is not None and not attempt.is_cancelling:
            attempt.is_cancelling = True
            attempt.task.cancel()

    def report_not_sent(self, action: StartAttempt, is_final: bool) -> None:
        """Report that an attempt was not sent, after the current decisions have been carried out."""
        self._loop.call_soon(self._observer.attempt_not_sent, action, is_final)

    async def _run(self, request: Request, action: StartAttempt, context: AttemptContext) -> AttemptOutcome:
        try:
            async with asyncio.timeout(context.time_left_s):
                return await self._transport.attempt(action.worker, request, context)
        except TimeoutError:
            return AttemptOutcome(
                Result.TIMEOUT if context.is_last_byte_written else Result.NOT_SENT, reason="timed out"
            )
        except Exception as fault:
            log.exception(
                "attempt failed in our own code: request=%s attempt=%d backend=%s",
                request.id,
                action.attempt,
                action.worker,
            )
            return AttemptOutcome(
                Result.ERROR if context.is_last_byte_written else Result.NOT_SENT, reason=repr(fault)
            )

    def _started(self, entry: OpenRequest, action: StartAttempt) -> None:
        entry.run_started_at = self._loop.time()
        _trace("attempt running", entry, action)
        if entry.request.on_running:
            entry.request.on_running(True)
        self._observer.attempt_started(entry, action)

    def _updated(self, entry: OpenRequest, action: StartAttempt, update: AttemptUpdate) -> None:
        is_current = action.attempt == entry.attempt_count - 1
        if is_current and entry.request.on_update and not entry.is_answered:
            entry.request.on_update(update)

    def _ended(self, entry: OpenRequest, attempt: RunningAttempt, task: asyncio.Task[AttemptOutcome]) -> None:
        now = self._loop.time()
        outcome = _cancelled_outcome(entry, attempt) if task.cancelled() else task.result()
        entry.attempt = None
        entry.record_outcome(attempt, outcome.result)
        if entry.request.on_running and entry.run_started_at is not None:
            entry.request.on_running(False)
        if outcome.result is Result.OK and entry.run_started_at is not None:
            entry.run_time_s = now - entry.run_started_at
        duration_ms = (now - attempt.sent_at) * 1000
        self._log_outcome(entry, attempt.action, outcome, duration_ms)
        self._observer.attempt_ended(entry, attempt.action, outcome, duration_ms)

    def _log_outcome(
        self, entry: OpenRequest, action: StartAttempt, outcome: AttemptOutcome, duration_ms: float
    ) -> None:
        if outcome.result is Result.OK:
            if log.isEnabledFor(logging.DEBUG):
                attempt = _describe(entry, action)
                log.debug("attempt served: %s duration_ms=%.0f load=%s", attempt, duration_ms, outcome.load)
            return
        if not self._log_limit.allows_line():
            return
        if left_out := self._log_limit.take_left_out():
            log.info("lines on attempts left out: count=%d", left_out)
        log.info(
            "attempt not served: %s result=%s duration_ms=%.0f reason=%s",
            _describe(entry, action),
            outcome.result.value,
            duration_ms,
            outcome.reason,
        )


def _cancelled_outcome(entry: OpenRequest, attempt: RunningAttempt) -> AttemptOutcome:
    if not attempt.context.is_last_byte_written:
        return AttemptOutcome(Result.NOT_SENT, reason="called off unsent")
    return AttemptOutcome(Result.TIMEOUT if entry.is_expired else Result.CANCELLED, reason="called off")


def _describe(entry: OpenRequest, action: StartAttempt) -> str:
    request = entry.request
    return f"request={request.id} attempt={action.attempt} class={request.job_class} backend={action.worker}"


def _trace(event: str, entry: OpenRequest, action: StartAttempt) -> None:
    if log.isEnabledFor(logging.DEBUG):
        log.debug("%s: %s", event, _describe(entry, action))

"""The record of an open request: its attempts, its possible runs, and the rules for further attempts."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass

from ..decision.facade import NEVER_RAN, Result, StartAttempt
from .repeats import repeat_deadline
from .request import Answer, AnswerKind, AttemptContext, AttemptOutcome, Request, RunState

# The backend may still be running the request after these.
INDETERMINATE_RESULTS = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)


@dataclass(slots=True, eq=False)
class RunningAttempt:
    """An attempt that has been started and has not ended."""

    action: StartAttempt
    context: AttemptContext
    task: asyncio.Task[AttemptOutcome]
    sent_at: float  # loop time
    is_cancelling: bool = False


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request without a final answer, or whose last attempt has not ended. Times are loop times."""

    request: Request
    received_at: float
    deadline: float
    answer: asyncio.Future[Answer]
    # How long after the first attempt that may have run a repeat is harmless; None if it never is. Taken from
    # the class when the request was received, and not affected by later changes of the settings.
    repeat_window_s: float | None
    max_attempts: int
    deadline_timer: asyncio.TimerHandle | None = None
    attempt: RunningAttempt | None = None
    attempt_count: int = 0  # includes attempts that were never sent
    is_expired: bool = False  # its running attempt was cancelled at the deadline
    may_have_run: bool = False
    may_be_running: bool = False  # the end of an attempt that may have run was not observed
    repeat_deadline: float = math.inf
    is_id_claimed: bool = False  # its id is remembered, because the work may have been sent
    run_started_at: float | None = None  # of the latest attempt
    run_time_s: float | None = None

    @property
    def is_answered(self) -> bool:
        """Return whether the final answer is set, or the client has disconnected."""
        return self.answer.done()

    @property
    def has_sent_attempt(self) -> bool:
        """Return whether the running attempt was sent completely, so that the backend may be running it."""
        return self.attempt is not None and self.attempt.context.is_last_byte_written

    @property
    def run_state(self) -> RunState:
        """Return what is known about its execution on a backend."""
        if self.may_be_running or self.has_sent_attempt:
            return RunState.MAY_BE_RUNNING
        return RunState.MAY_HAVE_RUN if self.may_have_run else RunState.NEVER_RAN

    @property
    def is_repeat_harmless(self) -> bool:
        """Return whether the client may repeat the request without the work being done twice."""
        return self.repeat_window_s is not None or not (self.may_have_run or self.has_sent_attempt)

    @property
    def may_be_attempted(self) -> bool:
        """Return whether the rules allow a further attempt.

        Only one attempt may run at a time, their number is limited, and after one that may have run there is
        none unless a repeat is harmless.
        """
        if self.is_answered or self.attempt is not None or self.attempt_count >= self.max_attempts:
            return False
        return not self.may_have_run or self.repeat_window_s is not None

    def record_earlier_run(self, repeat_deadline: float) -> None:
        """Record that an earlier request or process sent the work, and that its end was not observed."""
        self.may_have_run = True
        self.may_be_running = True
        self.repeat_deadline = repeat_deadline

    def record_outcome(self, attempt: RunningAttempt, result: Result) -> None:
        """Record whether an attempt that ended may have run, or may still be running."""
        if result not in NEVER_RAN and not self.may_have_run:
            self.may_have_run = True
            if self.repeat_window_s is not None:
                self.repeat_deadline = repeat_deadline(attempt.sent_at, self.repeat_window_s)
        self.may_be_running |= result in INDETERMINATE_RESULTS

    def make_answer(self, kind: AnswerKind, reason: str, retry_after_s: float = 0.0) -> Answer:
        """Return an answer without a body, with the current run state."""
        return Answer(kind, b"", retry_after_s, reason, self.run_state)

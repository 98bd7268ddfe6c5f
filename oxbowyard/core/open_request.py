"""The record of an open request: what is known of it, and what may still be done with it."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass

from ..decision.facade import NEVER_RAN, Result, StartAttempt
from .request import Answer, AnswerKind, AttemptContext, AttemptOutcome, Request, RunState

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
    # For how long after the first attempt that may have run a repeat does no harm; None: not at all. It is
    # the rule of the class when the request was received, and stays if the settings change.
    repeat_window_s: float | None
    max_attempts: int
    deadline_timer: asyncio.TimerHandle | None = None
    attempt: RunningAttempt | None = None
    attempt_count: int = 0  # attempts that were never sent are counted too
    is_expired: bool = False  # its running attempt was cut at the deadline
    may_have_run: bool = False
    may_be_running: bool = False  # no end was seen of an attempt that may have run
    repeat_deadline: float = math.inf
    run_started_at: float | None = None  # of the latest attempt
    run_time_s: float | None = None

    @property
    def is_answered(self) -> bool:
        """Whether the final answer is given, or nobody waits for it any more."""
        return self.answer.done()

    @property
    def has_sent_attempt(self) -> bool:
        """Whether the running attempt may run by now."""
        return self.attempt is not None and self.attempt.context.is_last_byte_written

    @property
    def run_state(self) -> RunState:
        """What is known of its run."""
        if self.may_be_running or self.has_sent_attempt:
            return RunState.MAY_BE_RUNNING
        return RunState.MAY_HAVE_RUN if self.may_have_run else RunState.NEVER_RAN

    @property
    def is_repeat_harmless(self) -> bool:
        """Whether the client may send the same work again without running it twice."""
        return self.repeat_window_s is not None or not (self.may_have_run or self.has_sent_attempt)

    @property
    def may_be_attempted(self) -> bool:
        """Whether the rules allow an attempt: one at a time, no more than the limit, and none after one that
        may have run unless that is harmless."""
        if self.is_answered or self.attempt is not None or self.attempt_count >= self.max_attempts:
            return False
        return not self.may_have_run or self.repeat_window_s is not None

    def record_outcome(self, attempt: RunningAttempt, result: Result) -> None:
        """Note what the end of an attempt says about a run."""
        if result not in NEVER_RAN and not self.may_have_run:
            self.may_have_run = True
            window_s = math.inf if self.repeat_window_s is None else self.repeat_window_s
            self.repeat_deadline = attempt.sent_at + window_s
        self.may_be_running |= result in INDETERMINATE_RESULTS

    def make_answer(self, kind: AnswerKind, reason: str, retry_after_s: float = 0.0) -> Answer:
        """An answer without a body, with what is known of the run."""
        return Answer(kind, b"", retry_after_s, reason, self.run_state)

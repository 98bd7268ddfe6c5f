"""The lifecycle of a request, from its admission to its one final answer.

The dispatcher decides what happens next. This module carries the decisions out, reports the results back, and
answers a request itself if a decision fails or comes too late.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable

from ..decision.facade import (
    AttemptEnded,
    AttemptStarted,
    CancelAttempt,
    ClientDisconnected,
    Decisions,
    Facade,
    FailRequest,
    QueueRequest,
    RejectRequest,
    RequestAction,
    RequestReceived,
    Result,
    StartAttempt,
)
from .admission import Admission
from .attempts import Attempts
from .deadlines import Deadlines, DecisionTimer
from .open_request import OpenRequest
from .request import Answer, AnswerKind, AttemptOutcome, BackendTransport, Request, RunState
from .service_measure import ServiceMeasure

log = logging.getLogger("oxbowyard.core")


class RequestLifecycle:
    """Reports the events of admitted requests to the facade and carries out its decisions."""

    def __init__(
        self,
        facade: Facade,
        transport: BackendTransport,
        clock: Callable[[], float],
        measure: ServiceMeasure,
        admission: Admission,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._facade = facade
        self._clock = clock
        self._measure = measure
        self._admission = admission
        self._deadlines = Deadlines(self._answer_without_decision)
        self._attempts = Attempts(transport, self._deadlines, self, self._claim_run)
        self._timer = DecisionTimer(clock, self._tick)
        self._rejected_at = -math.inf  # loop time

    def begin(self, request: Request) -> OpenRequest:
        """Admit a request and request a decision about it."""
        entry = self._admission.admit(request)
        self._deadlines.set(entry)
        event = RequestReceived(
            request.id,
            request.job_class,
            request.timeout_s * 1000,
            request.key,
            request.tenant,
            request.slots,
            request.is_retry,
        )
        self.apply_decisions(self._facade.decide(event), entry)
        return entry

    def client_disconnected(self, entry: OpenRequest) -> None:
        """End a request whose client has disconnected. This counts as its answer."""
        if not entry.answer.cancelled():  # it has an answer already, which is the one that counts
            return
        self._deadlines.cancel(entry)
        elapsed_s = self._loop.time() - entry.received_at
        self._measure.record_answer(
            entry.request.job_class, AnswerKind.CLIENT_DISCONNECTED, elapsed_s, run_time_s=None
        )
        self.apply_decisions(self._facade.report(ClientDisconnected(entry.request.id)))
        self._attempts.cancel(entry)
        self._admission.release(entry)

    def apply_decisions(self, decisions: Decisions, about: OpenRequest | None = None) -> None:
        """Carry out the actions, which may concern any requests, and schedule the next tick.

        `about` is the request that caused the decisions. If they failed with an exception, it is answered
        here, unless one of its attempts is running.
        """
        if decisions.error is not None:
            log.error("decision fault: %r", decisions.error, exc_info=decisions.error)
        for action in decisions.actions:
            try:
                self._carry_out(action)
            except Exception:
                log.exception("could not carry out %s", action)
                if entry := self._admission.find(action.request_id):
                    self._answer_without_decision(entry, "internal fault")
        if decisions.error is not None and about is not None and about.attempt is None:
            self._answer_without_decision(about, "internal fault")
        self._timer.set(decisions.next_tick_ms)

    def seconds_since_rejection(self) -> float:
        """Return the seconds since an admitted request was last rejected; infinite if none was."""
        return self._loop.time() - self._rejected_at

    # ---- AttemptObserver ----

    def attempt_started(self, entry: OpenRequest, action: StartAttempt) -> None:
        """Report to the facade that the backend started to run the request."""
        self.apply_decisions(
            self._facade.report(AttemptStarted(entry.request.id, action.attempt, action.worker))
        )

    def attempt_ended(
        self, entry: OpenRequest, action: StartAttempt, outcome: AttemptOutcome, duration_ms: float
    ) -> None:
        """Answer the request if it was served, and report the outcome to the facade."""
        if outcome.result is Result.OK:
            self._finish(entry, Answer(AnswerKind.SERVED, outcome.body, run_state=RunState.HAS_RUN))
        ended = AttemptEnded(
            entry.request.id,
            action.attempt,
            action.worker,
            outcome.result,
            duration_ms,
            is_final=entry.is_answered,
            load=outcome.load,
        )
        self._admission.release(entry)
        self.apply_decisions(self._facade.report(ended), entry)

    def attempt_not_sent(self, action: StartAttempt, is_final: bool) -> None:
        """Report to the facade that an attempt was not sent, so that it does not count as running."""
        ended = AttemptEnded(
            action.request_id, action.attempt, action.worker, Result.NOT_SENT, is_final=is_final
        )
        self.apply_decisions(self._facade.report(ended), self._admission.find(action.request_id))

    def _claim_run(self, entry: OpenRequest) -> bool:
        """Return whether a request may run now; fail it if another process has sent one with its id."""
        if self._admission.claim_run(entry):
            return True
        entry.record_earlier_run(repeat_deadline=-math.inf)
        self._answer_without_decision(entry, "a req with this id may have run")
        return False

    # ---- Decisions ----

    def _tick(self) -> None:
        self.apply_decisions(self._facade.tick(self._clock()))

    def _carry_out(self, action: RequestAction) -> None:
        entry = self._admission.find(action.request_id)
        if entry is None:  # it was answered without a decision
            if isinstance(action, StartAttempt):
                self._attempts.report_not_sent(action, is_final=True)
            return
        match action:
            case StartAttempt():
                self._attempts.start(entry, action)
            case RejectRequest(retry_after_ms=retry_after_ms):
                self._reject(entry, retry_after_ms / 1000)
            case FailRequest():
                self._finish(entry, entry.make_answer(AnswerKind.FAILED, "given up"))
            case CancelAttempt(attempt=number):
                if number == entry.attempt_count - 1:
                    self._attempts.cancel(entry)
            case QueueRequest():
                pass

    # ---- Answers ----

    def _reject(self, entry: OpenRequest, retry_after_s: float) -> None:
        """Reject a request, or fail it if it may have run: a rejection promises that a repeat is harmless."""
        if entry.is_repeat_harmless:
            self._finish(entry, entry.make_answer(AnswerKind.REJECTED, "refused", retry_after_s))
            return
        log.error("request rejected by the decisions though it may have run: request=%s", entry.request.id)
        self._finish(entry, entry.make_answer(AnswerKind.FAILED, "may have run"))

    def _answer_without_decision(self, entry: OpenRequest, reason: str) -> None:
        """Answer a request without a decision: reject it if a repeat is certainly harmless, else fail it."""
        if entry.is_answered:
            return
        if entry.is_repeat_harmless and entry.repeat_deadline > -math.inf:
            answer = entry.make_answer(AnswerKind.REJECTED, reason, self._admission.retry_after_s)
        else:
            answer = entry.make_answer(AnswerKind.FAILED, reason)
        self._finish(entry, answer)
        self.apply_decisions(self._facade.report(ClientDisconnected(entry.request.id)))

    def _finish(self, entry: OpenRequest, answer: Answer) -> None:
        """Set the final answer, unless there is one already."""
        if entry.is_answered:
            return
        entry.answer.set_result(answer)
        if entry.request.on_answer is not None:
            entry.request.on_answer(answer)
        self._deadlines.cancel(entry)
        elapsed_s = self._loop.time() - entry.received_at
        self._measure.record_answer(entry.request.job_class, answer.kind, elapsed_s, entry.run_time_s)
        if answer.kind is AnswerKind.REJECTED:
            self._rejected_at = self._loop.time()
        if answer.kind is not AnswerKind.SERVED:
            log.debug(
                "request not served: request=%s answer=%s reason=%s",
                entry.request.id,
                answer.kind.value,
                answer.reason,
            )
        self._attempts.cancel(entry)
        self._admission.release(entry)

"""Races of a cancel with the answer or the last byte of a job, in the same or nearby event loop turns."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from test_job_queue import QueueHarness
from virtual_loop import run_in_virtual_time

from oxbowyard.core.request import AttemptContext, AttemptOutcome, Request, RunState, reason_not_to_send
from oxbowyard.decision.facade import Result
from oxbowyard.waiting.job import JobOutcome

CLASSES = ("free", "once")
# Result of the attempt, and the run state of a job that ends with it.
ENDS = {Result.OK: RunState.HAS_RUN, Result.TIMEOUT: RunState.MAY_BE_RUNNING}


class Crossing:
    """A job whose last byte and answer are triggered by the test."""

    def __init__(self, job_class: str, ends: Result = Result.OK) -> None:
        self.harness = QueueHarness(self.attempt)
        self.job_class = job_class
        self.ends = ends
        self.may_send = asyncio.Event()
        self.may_answer = asyncio.Event()
        self.sent = 0

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        await self.may_send.wait()
        if reason := reason_not_to_send(request, context):  # as the transports check before the last byte
            return AttemptOutcome(Result.NOT_SENT, reason=reason)
        context.is_last_byte_written = True
        self.sent += 1
        await self.may_answer.wait()
        return AttemptOutcome(self.ends, b"made")

    async def begin(self) -> None:
        self.harness.submit("j", self.job_class)
        await asyncio.sleep(0.1)

    async def cancel_beside(self, event: asyncio.Event, turns: int, cancel_first: bool) -> None:
        """Set the event and cancel the job, in this order or reversed, with `turns` loop turns in between."""
        steps: list[Callable[[], object]] = [event.set, lambda: self.harness.job_queue.cancel("j")]
        if cancel_first:
            steps.reverse()
        steps[0]()
        for _ in range(turns):
            await asyncio.sleep(0)
        steps[1]()

    async def end(self) -> tuple[JobOutcome, RunState]:
        self.may_send.set()
        self.may_answer.set()
        await self.harness.until("j")
        result = self.harness.results["j"]
        return result.outcome, result.run_state


@pytest.mark.parametrize("turns", range(6))
@pytest.mark.parametrize("ends", ENDS)
@pytest.mark.parametrize("job_class", CLASSES)
@pytest.mark.parametrize("cancel_first", [False, True])
def test_cancel_concurrent_with_answer_never_reports_never_ran(
    cancel_first: bool, job_class: str, ends: Result, turns: int
) -> None:
    # Guards against a job recorded as never run although it was served: its client may submit it again.
    async def scene() -> None:
        crossing = Crossing(job_class, ends)
        await crossing.begin()
        crossing.may_send.set()
        await asyncio.sleep(0.1)
        assert crossing.sent == 1
        await crossing.cancel_beside(crossing.may_answer, turns, cancel_first)
        outcome, run_state = await crossing.end()
        assert run_state is not RunState.NEVER_RAN
        if outcome is JobOutcome.SERVED:
            assert run_state is RunState.HAS_RUN

    run_in_virtual_time(scene)


@pytest.mark.parametrize("turns", range(6))
@pytest.mark.parametrize("job_class", CLASSES)
@pytest.mark.parametrize("cancel_first", [False, True])
def test_cancelled_job_reported_as_never_ran_is_not_sent(
    cancel_first: bool, job_class: str, turns: int
) -> None:
    # Guards against sending the last byte of a job just after its cancellation was recorded.
    async def scene() -> None:
        crossing = Crossing(job_class)
        await crossing.begin()
        await crossing.cancel_beside(crossing.may_send, turns, cancel_first)
        outcome, run_state = await crossing.end()
        await asyncio.sleep(1.0)
        if run_state is RunState.NEVER_RAN:
            assert crossing.sent == 0
        else:
            assert crossing.sent == 1
        assert outcome in (JobOutcome.CANCELLED, JobOutcome.SERVED)

    run_in_virtual_time(scene)

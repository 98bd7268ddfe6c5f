"""The records of the core alone: the rules of an open request, and the lists of backends by their source."""

from __future__ import annotations

import asyncio
import math

import pytest

from oxbowyard.core.endpoint_lists import EndpointLists
from oxbowyard.core.open_request import OpenRequest, RunningAttempt
from oxbowyard.core.request import Answer, AnswerKind, AttemptContext, AttemptOutcome, Request, RunState
from oxbowyard.decision.facade import Readiness, Result, Scope, StartAttempt, WorkerFault, WorkerInfo


def open_request(loop: asyncio.AbstractEventLoop, repeat_window_s: float | None) -> OpenRequest:
    answer: asyncio.Future[Answer] = loop.create_future()
    return OpenRequest(Request("r", "once", 1.0), 0.0, 1.0, answer, repeat_window_s, max_attempts=2)


def running_attempt(loop: asyncio.AbstractEventLoop, sent_at: float = 5.0) -> RunningAttempt:
    async def outcome() -> AttemptOutcome:
        return AttemptOutcome(Result.OK)

    task = loop.create_task(outcome())
    return RunningAttempt(StartAttempt("r", 0, "w"), AttemptContext(1.0, lambda: None), task, sent_at)


@pytest.mark.parametrize(
    ("result", "window_s", "state", "repeat_by", "may_go_on"),
    [
        (Result.FULL, None, RunState.NEVER_RAN, math.inf, True),
        (Result.NOT_SENT, None, RunState.NEVER_RAN, math.inf, True),
        (Result.UNREACHABLE, 2.0, RunState.NEVER_RAN, math.inf, True),
        (Result.ERROR, None, RunState.MAY_HAVE_RUN, math.inf, False),
        (Result.ERROR, 2.0, RunState.MAY_HAVE_RUN, 7.0, True),
        (Result.RESET, None, RunState.MAY_BE_RUNNING, math.inf, False),
        (Result.TIMEOUT, math.inf, RunState.MAY_BE_RUNNING, math.inf, True),
    ],
)
def test_what_an_outcome_says_of_the_run(
    result: Result, window_s: float | None, state: RunState, repeat_by: float, may_go_on: bool
) -> None:
    async def play() -> None:
        loop = asyncio.get_running_loop()
        entry = open_request(loop, window_s)
        entry.record_outcome(running_attempt(loop), result)
        assert (entry.run_state, entry.repeat_deadline) == (state, repeat_by)
        assert entry.may_be_attempted is may_go_on
        assert entry.is_repeat_harmless is may_go_on
        assert entry.make_answer(AnswerKind.FAILED, "x").run_state is state

    asyncio.run(play())


def test_one_attempt_at_a_time_up_to_the_limit_and_none_after_the_answer() -> None:
    async def play() -> None:
        loop = asyncio.get_running_loop()
        entry = open_request(loop, math.inf)
        entry.attempt = attempt = running_attempt(loop)
        assert not entry.may_be_attempted
        states = []
        for attempt.context.is_last_byte_written in (False, True):
            states.append(entry.run_state)
        assert states == [RunState.NEVER_RAN, RunState.MAY_BE_RUNNING]
        entry.attempt = None
        entry.attempt_count = 1
        assert entry.may_be_attempted
        entry.attempt_count = 2
        assert not entry.may_be_attempted
        entry.attempt_count = 0
        entry.answer.set_result(Answer(AnswerKind.FAILED))
        assert entry.is_answered and not entry.may_be_attempted
        await attempt.task

    asyncio.run(play())


def test_a_complete_list_is_complete_for_its_own_source() -> None:
    lists = EndpointLists()
    a, b, own = WorkerInfo("a"), WorkerInfo("b"), WorkerInfo("gearman:1")
    assert lists.update(Scope.FULL, (a, b), "discovery") == (a, b)
    assert lists.update(Scope.CHANGES, (own,), "gearman") == (own,)
    assert lists.update(Scope.FULL, (a,), "discovery") == (a, own)
    gone = WorkerInfo("gearman:1", readiness=Readiness.GONE)
    assert lists.update(Scope.CHANGES, (gone,), "gearman") == (gone,)
    assert lists.update(Scope.FULL, (b,), "discovery") == (b,)


def test_a_cold_start_that_a_list_announces_is_no_fault_to_report() -> None:
    lists = EndpointLists()
    lists.update(Scope.FULL, (WorkerInfo("told", started_at_ms=4000.0), WorkerInfo("guessed")), "discovery")
    faults = [
        WorkerFault("told", 0.0, 4000.0),
        WorkerFault("guessed", 0.0, 4000.0),
        WorkerFault("told", 250.0, 3000.0),
        WorkerFault("told", 0.0, 5000.0),
    ]
    assert lists.exclude_announced_starts(faults) == [
        WorkerFault("guessed", 0.0, 4000.0),
        WorkerFault("told", 250.0, 0.0),
        WorkerFault("told", 0.0, 5000.0),
    ]

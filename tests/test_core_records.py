"""Unit tests of the records of the core: open requests, and endpoint lists by source."""

from __future__ import annotations

import asyncio
import math

import pytest

from oxbowyard.core.endpoint_lists import EndpointLists
from oxbowyard.core.open_request import OpenRequest, RunningAttempt
from oxbowyard.core.request import Answer, AnswerKind, AttemptContext, AttemptOutcome, Request, RunState
from oxbowyard.decision.facade import Readiness, Result, Scope, StartAttempt, WorkerFault, WorkerInfo


def make_open_request(loop: asyncio.AbstractEventLoop, repeat_window_s: float | None) -> OpenRequest:
    answer: asyncio.Future[Answer] = loop.create_future()
    return OpenRequest(Request("r", "once", 1.0), 0.0, 1.0, answer, repeat_window_s, max_attempts=2)


def make_running_attempt(loop: asyncio.AbstractEventLoop, sent_at: float = 5.0) -> RunningAttempt:
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
def test_attempt_outcome_determines_run_state_and_retry(
    result: Result, window_s: float | None, state: RunState, repeat_by: float, may_go_on: bool
) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        request = make_open_request(loop, window_s)
        request.record_outcome(make_running_attempt(loop), result)
        assert (request.run_state, request.repeat_deadline) == (state, repeat_by)
        assert request.may_be_attempted is may_go_on
        assert request.is_repeat_harmless is may_go_on
        assert request.make_answer(AnswerKind.FAILED, "x").run_state is state

    asyncio.run(scenario())


def test_open_request_allows_one_attempt_at_a_time_until_limit_or_answer() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        request = make_open_request(loop, math.inf)
        request.attempt = attempt = make_running_attempt(loop)
        assert not request.may_be_attempted
        states = []
        for attempt.context.is_last_byte_written in (False, True):
            states.append(request.run_state)
        assert states == [RunState.NEVER_RAN, RunState.MAY_BE_RUNNING]
        request.attempt = None
        request.attempt_count = 1
        assert request.may_be_attempted
        request.attempt_count = 2
        assert not request.may_be_attempted
        request.attempt_count = 0
        request.answer.set_result(Answer(AnswerKind.FAILED))
        assert request.is_answered and not request.may_be_attempted
        await attempt.task

    asyncio.run(scenario())


def test_full_list_replaces_only_entries_of_its_own_source() -> None:
    lists = EndpointLists()
    a, b, own = WorkerInfo("a"), WorkerInfo("b"), WorkerInfo("gearman:1")
    assert lists.update(Scope.FULL, (a, b), "discovery") == (a, b)
    assert lists.update(Scope.CHANGES, (own,), "gearman") == (own,)
    assert lists.update(Scope.FULL, (a,), "discovery") == (a, own)
    gone = WorkerInfo("gearman:1", readiness=Readiness.GONE)
    assert lists.update(Scope.CHANGES, (gone,), "gearman") == (gone,)
    assert lists.update(Scope.FULL, (b,), "discovery") == (b,)


def test_cold_start_announced_by_a_list_is_excluded_from_faults() -> None:
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

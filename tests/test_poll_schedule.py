"""Tests of the poll schedule without sockets: every scheduler is notified of a change in time.

A missed change counts as notified 6 s after the service had it and was reachable. The time budgets of
docs/design/list-freshness.md are checked here for failures at different instants, one to three in a row.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import pytest

from oxbowyard.discovery.poll_schedule import (
    AGENT_RETRY_DELAY_S,
    MAX_SPREAD_S,
    NOTIFIED_AFTER_MOVE_S,
    NOTIFIED_MARGIN_S,
    NOTIFIED_WITHIN_S,
    OPENED_WATCHES_PER_S,
    PollFailure,
    PollSchedule,
)

ANSWER_S = 0.3  # response time of an unloaded service
BOUND_S = NOTIFIED_WITHIN_S - NOTIFIED_MARGIN_S / 2
MAX_POLL_INTERVAL_MS = 10_000.0


@dataclass
class Service:
    """A server that processes calls one at a time.

    It rejects a call when its queue is too long, or when the call has waited too long; it still does the work
    of the latter. While it is down it rejects each call after `down_after` seconds.
    """

    work_s: float  # seconds per call
    max_queued: float = 2.0  # seconds of work queued before a call
    down_until: float = 0.0
    down_after: float = 0.0
    busy_until: float = 0.0
    call_times: list[float] = field(default_factory=list)

    def call(self, now: float, timeout: float) -> tuple[float, PollFailure | None]:
        """Return when the caller has the result, and the failure if there is one."""
        self.call_times.append(now)
        if now < self.down_until:
            return now + self.down_after, PollFailure.ERROR_STATUS
        wait = max(self.busy_until - now, 0.0)
        if wait > 2 * self.max_queued:
            return now, PollFailure.ERROR_STATUS
        self.busy_until = now + wait + self.work_s
        is_rejected = wait > self.max_queued
        result_after = self.max_queued if is_rejected else wait + self.work_s
        if result_after > timeout:
            return now + timeout, PollFailure.TIMEOUT
        return now + result_after, PollFailure.ERROR_STATUS if is_rejected else None


Calls = list[tuple[float, int]]  # time of the call, and index of the scheduler


def run_calls(
    service: Service, schedules: list[PollSchedule], calls: Calls, until: float
) -> dict[int, float]:
    """Run the calls, and return when each scheduler had its answer."""
    heapq.heapify(calls)
    answered: dict[int, float] = {}
    while calls and calls[0][0] <= until:
        now, index = heapq.heappop(calls)
        result_at, failure = service.call(now, schedules[index].timeout_s(now, False))
        if failure is None:
            answered[index] = result_at
            schedules[index].record_answer(result_at)
        else:
            heapq.heappush(
                calls,
                (result_at + schedules[index].record_failure(result_at, failure, result_at - now), index),
            )
    return answered


def make_schedules(
    count: int, seed: int, schedule_class: Callable[..., PollSchedule] = PollSchedule
) -> list[PollSchedule]:
    return [schedule_class(True, count, Random(f"{seed} {i}"), MAX_POLL_INTERVAL_MS) for i in range(count)]


def silent_watches(schedules: list[PollSchedule], random: Random) -> Calls:
    """Let all watches fall silent at 0, at random instants of their waits; return when each polls again."""
    calls = []
    for i, schedule in enumerate(schedules):
        wait = schedule.wait_ms / 1000
        began_at = -random.uniform(0.0, wait)
        schedule.record_answer(began_at)
        noticed = began_at + wait + schedule.timeout_s(began_at, True)
        delay = schedule.record_failure(
            noticed, PollFailure.TIMEOUT, noticed - began_at, is_continuation=True
        )
        calls.append((noticed + delay, i))
    return calls


# ---- One scheduler: a failure at each instant of the wait, with the longest delays ----


class MaxRandom(Random):
    """A random source that always returns the upper bound, which gives the longest delays."""

    def uniform(self, a: float, b: float) -> float:
        return b


def seconds_until_answer(schedule: PollSchedule, since: float, first: float, silent_calls: int) -> float:
    """Return the seconds from `since` to the answer, with `silent_calls` unanswered calls from `first` on."""
    now = first
    for _ in range(silent_calls):
        timeout = schedule.timeout_s(now, False)
        now += timeout
        now += schedule.record_failure(now, PollFailure.TIMEOUT, timeout)
    return now + ANSWER_S - since


@pytest.mark.parametrize(
    ("schedulers", "in_a_row"),
    [(n, k) for n in (3, 20, 40) for k in (1, 2, 3)] + [(100, 1), (100, 2), (200, 1), (200, 2)],
)
@pytest.mark.parametrize("instant", [0.0, 0.25, 0.5, 0.75, 0.999])  # of the watch's wait
def test_shared_service_is_polled_in_time_after_a_watch_falls_silent(
    schedulers: int, in_a_row: int, instant: float
) -> None:
    schedule = PollSchedule(True, schedulers, MaxRandom(), MAX_POLL_INTERVAL_MS)
    schedule.record_answer(0.0)
    wait = schedule.wait_ms / 1000
    noticed = wait + schedule.timeout_s(0.0, True)
    first = noticed + schedule.record_failure(noticed, PollFailure.TIMEOUT, noticed, is_continuation=True)
    assert seconds_until_answer(schedule, 0.0, first, in_a_row - 1) <= BOUND_S, (
        "the watch fell silent when it began"
    )
    assert first - instant * wait <= BOUND_S


@pytest.mark.parametrize("in_a_row", [1, 2, 3])
@pytest.mark.parametrize("failures", [0, 100])  # none, or those of a long outage
def test_agent_is_polled_in_time_after_a_watch_falls_silent(failures: int, in_a_row: int) -> None:
    schedule = PollSchedule(False, 200, MaxRandom(), MAX_POLL_INTERVAL_MS)
    first = schedule.wait_ms / 1000 + schedule.timeout_s(0.0, True) + AGENT_RETRY_DELAY_S
    schedule.consecutive_failures = failures
    if failures:  # the agent is reachable again just after a call has begun
        first = schedule.timeout_s(0.0, False) + AGENT_RETRY_DELAY_S
    assert seconds_until_answer(schedule, 0.0, first, in_a_row - 1) <= BOUND_S


@pytest.mark.parametrize(
    ("schedulers", "in_a_row"),
    [(n, k) for n in (3, 20, 40) for k in (1, 2, 3)] + [(100, 1), (100, 2), (200, 1)],
)
@pytest.mark.parametrize("failure", list(PollFailure))
@pytest.mark.parametrize("outage_calls", [1, 2, 3, 4, 5, 50, 51])
def test_returned_service_is_polled_in_time(
    schedulers: int, in_a_row: int, failure: PollFailure, outage_calls: int
) -> None:
    """The service returns just after a call has begun that still fails; more calls may fail after it."""
    schedule = PollSchedule(True, schedulers, MaxRandom(), MAX_POLL_INTERVAL_MS)
    schedule.record_answer(0.0)
    now = 1.5 + schedule.record_failure(1.5, failure, 1.5, is_continuation=True)
    returned_at = now
    for number in range(outage_calls + in_a_row):
        if number == outage_calls:
            returned_at = now
        elapsed = schedule.timeout_s(now, False) if failure is PollFailure.TIMEOUT else 0.0
        now += elapsed
        now += schedule.record_failure(now, failure, elapsed)
    assert now + ANSWER_S - returned_at <= BOUND_S


# ---- The fleet: delays that all schedulers share do not help if all call at once ----


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(
    ("schedulers", "work"), [(3, 0.19), (20, 0.1), (40, 0.05), (200, 0.005), (200, 0.02)]
)
def test_all_schedulers_are_answered_in_time_after_all_watches_fall_silent(
    seed: int, schedulers: int, work: float
) -> None:
    """The load is within the capacity of the service: 200 calls of 0.02 s are 4 s of work within 6 s."""
    schedules = make_schedules(schedulers, seed)
    answered = run_calls(Service(work), schedules, silent_watches(schedules, Random(seed)), NOTIFIED_WITHIN_S)
    assert len(answered) == schedulers and max(answered.values()) <= NOTIFIED_WITHIN_S


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(
    ("schedulers", "work"), [(3, 0.19), (20, 0.1), (40, 0.05), (200, 0.005), (200, 0.018)]
)
@pytest.mark.parametrize("down_after", [0.0, 2.0])
def test_returned_service_is_not_overloaded_by_simultaneous_polls(
    seed: int, schedulers: int, work: float, down_after: float
) -> None:
    """The service is down for 8 s and rejects each call at once or after 2 s; all are notified 6 s later."""
    schedules = make_schedules(schedulers, seed)
    service = Service(work, down_until=8.0, down_after=down_after)
    calls = silent_watches(schedules, Random(seed))
    answered = run_calls(service, schedules, calls, service.down_until + NOTIFIED_WITHIN_S)
    assert len(answered) == schedulers
    assert max(answered.values()) - service.down_until <= NOTIFIED_WITHIN_S
    for second in range(3, 8):  # while it is down the calls stay within its assumed capacity
        call_count = sum(second <= at < second + 1 for at in service.call_times)
        assert call_count <= max(OPENED_WATCHES_PER_S, schedulers) * 1.3


@pytest.mark.parametrize("seed", range(8))
def test_forty_restarted_schedulers_are_all_answered_by_an_overloaded_service(seed: int) -> None:
    """The calls are 7.6 s of work, too much for 6 s: that all are answered at all has priority."""
    schedules = make_schedules(40, seed)
    calls = [(schedule.first_delay_s(0.0), i) for i, schedule in enumerate(schedules)]
    answered = run_calls(Service(0.19), schedules, calls, 35.0)
    assert len(answered) == 40
    assert sum(at < NOTIFIED_WITHIN_S for at in answered.values()) >= 10


class _ImmediateSchedule(PollSchedule):
    """A schedule that polls again at once, as is allowed with a local agent."""

    __slots__ = ()

    def first_delay_s(self, now: float) -> float:
        return 0.0

    def record_failure(
        self, now: float, failure: PollFailure, elapsed_s: float, is_continuation: bool = False
    ) -> float:
        return AGENT_RETRY_DELAY_S


def test_immediate_retries_leave_most_of_forty_schedulers_unanswered() -> None:
    schedules = make_schedules(40, 0, _ImmediateSchedule)
    calls = [(schedule.first_delay_s(0.0), i) for i, schedule in enumerate(schedules)]
    assert len(run_calls(Service(0.19), schedules, calls, 30.0)) < 20


def test_first_calls_of_200_schedulers_leave_time_for_one_retry() -> None:
    schedules = make_schedules(200, 0)
    first_delays = [schedule.first_delay_s(0.0) for schedule in schedules]
    assert max(first_delays) <= MAX_SPREAD_S and sum(first_delays) / 200 > MAX_SPREAD_S / 3, (
        "the first calls are still spread"
    )
    for schedule, now in zip(schedules, first_delays, strict=True):
        timeout = schedule.timeout_s(now, False)
        now += timeout + schedule.record_failure(now + timeout, PollFailure.TIMEOUT, timeout)
        assert now + ANSWER_S <= BOUND_S


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("in_a_row", [0, 1])
def test_schedulers_moved_to_another_address_are_answered_within_4_s(seed: int, in_a_row: int) -> None:
    """A reload moves 200 schedulers to another service: each requests the full list, at twice the cost."""
    schedules = make_schedules(200, seed)
    calls = [(schedule.move_delay_s(0.0), i) for i, schedule in enumerate(schedules)]
    answered = run_calls(Service(0.01), schedules, calls, NOTIFIED_AFTER_MOVE_S)
    assert len(answered) == 200 and max(answered.values()) < NOTIFIED_AFTER_MOVE_S
    slowest = PollSchedule(True, 200, MaxRandom(), MAX_POLL_INTERVAL_MS)
    now = slowest.move_delay_s(0.0)
    for _ in range(in_a_row):
        timeout = slowest.timeout_s(now, False)
        now += timeout + slowest.record_failure(now + timeout, PollFailure.TIMEOUT, timeout)
    assert now + ANSWER_S < NOTIFIED_AFTER_MOVE_S


def test_retry_delay_grows_only_for_an_overloaded_service() -> None:
    for schedulers in (3, 20, 40, 200):
        for failure in PollFailure:
            for elapsed in (0.0, 2.0):
                schedule = PollSchedule(True, schedulers, MaxRandom(), MAX_POLL_INTERVAL_MS)
                cycle = max(schedule.record_failure(float(n), failure, elapsed) for n in range(100)) + elapsed
                assert cycle <= MAX_SPREAD_S * 1.1
    schedule = PollSchedule(True, 200, MaxRandom(), MAX_POLL_INTERVAL_MS)
    schedule.record_failure(0.0, PollFailure.ERROR_STATUS, 0.0)
    assert schedule.record_failure(3.0, PollFailure.ERROR_STATUS, 2.0) > NOTIFIED_WITHIN_S


def test_list_expires_when_an_overloaded_service_does_not_answer() -> None:
    schedule = PollSchedule(True, 40, Random(1), MAX_POLL_INTERVAL_MS)
    schedule.record_answer(0.0)
    schedule.record_failure(10.0, PollFailure.UNREACHABLE, 0.0, is_continuation=True)
    schedule.record_failure(11.0, PollFailure.TIMEOUT, 0.75)
    schedule.record_failure(15.0, PollFailure.ERROR_STATUS, 2.0)
    schedule.record_failure(18.0, PollFailure.ERROR_STATUS, 2.0)
    assert schedule.list_expires_at > 1e9, "the service may be down, and its front end answers for it"
    schedule.record_failure(20.0, PollFailure.ERROR_STATUS, 0.01)
    schedule.record_failure(30.0, PollFailure.ERROR_STATUS, 2.0)
    expected = 19.99 + NOTIFIED_WITHIN_S - NOTIFIED_MARGIN_S
    assert schedule.list_expires_at == expected, "counted from when the overload was seen"
    schedule.record_answer(40.0)
    assert schedule.list_expires_at > 1e9


def test_agent_is_polled_again_after_a_constant_delay() -> None:
    schedule = PollSchedule(False, 40, Random(1))
    assert schedule.first_delay_s(0.0) == 0.0
    delays = [schedule.record_failure(1.0, PollFailure.TIMEOUT, 0.5) for _ in range(20)]
    assert delays == [AGENT_RETRY_DELAY_S] * 20

"""When the discovery service is polled and polled again, without sockets: each scheduler is notified in time.

A change that was missed counts as notified 6 s after the service had it and could be reached. The sums of
docs/design/list-freshness.md are checked here over the instants of a failure, one to three in a row.
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

ANSWER_S = 0.3  # an unloaded service answers within it
BOUND_S = NOTIFIED_WITHIN_S - NOTIFIED_MARGIN_S / 2
ASK_EVERY_MS = 10_000.0


@dataclass
class Service:
    """One server takes calls in turn. It turns one down when too much waits, or when it has waited too long,
    and then works on it all the same. While it is down it turns each down, after so long."""

    work: float  # seconds a call
    most_waiting: float = 2.0  # seconds of work before a call
    down_until: float = 0.0
    down_after: float = 0.0
    busy_until: float = 0.0
    begun: list[float] = field(default_factory=list)

    def call(self, now: float, timeout: float) -> tuple[float, PollFailure | None]:
        """When the caller knows, and what failed."""
        self.begun.append(now)
        if now < self.down_until:
            return now + self.down_after, PollFailure.ERROR_STATUS
        wait = max(self.busy_until - now, 0.0)
        if wait > 2 * self.most_waiting:
            return now, PollFailure.ERROR_STATUS
        self.busy_until = now + wait + self.work
        turned_down = wait > self.most_waiting
        known_after = self.most_waiting if turned_down else wait + self.work
        if known_after > timeout:
            return now + timeout, PollFailure.TIMEOUT
        return now + known_after, PollFailure.ERROR_STATUS if turned_down else None


Calls = list[tuple[float, int]]  # when, and whose


def heard(service: Service, schedules: list[PollSchedule], calls: Calls, until: float) -> dict[int, float]:
    """When each scheduler had its answer, the calls begun at these times."""
    heapq.heapify(calls)
    answered: dict[int, float] = {}
    while calls and calls[0][0] <= until:
        now, i = heapq.heappop(calls)
        known, failure = service.call(now, schedules[i].timeout_s(now, False))
        if failure is None:
            answered[i] = known
            schedules[i].record_answer(known)
        else:
            heapq.heappush(calls, (known + schedules[i].record_failure(known, failure, known - now), i))
    return answered


def fleet(count: int, seed: int, make: Callable[..., PollSchedule] = PollSchedule) -> list[PollSchedule]:
    return [make(True, count, Random(f"{seed} {i}"), ASK_EVERY_MS) for i in range(count)]


def watches_that_die(schedules: list[PollSchedule], random: Random) -> Calls:
    """All fall silent at 0, each at another instant of its wait: when each calls anew."""
    calls = []
    for i, schedule in enumerate(schedules):
        wait = schedule.wait_ms / 1000
        began = -random.uniform(0.0, wait)
        schedule.record_answer(began)
        noticed = began + wait + schedule.timeout_s(began, True)
        pause = schedule.record_failure(noticed, PollFailure.TIMEOUT, noticed - began, is_continuation=True)
        calls.append((noticed + pause, i))
    return calls


# ---- The sum, for one scheduler: every instant of the failure, the worst pauses ----


class Longest(Random):
    """Each pause as long as it may be."""

    def uniform(self, a: float, b: float) -> float:
        return b


def heard_after(schedule: PollSchedule, since: float, first: float, silent_calls: int) -> float:
    """Seconds from the silence to the answer, with so many silent calls after the first one is due."""
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
def test_what_a_dead_watch_of_a_shared_service_missed_is_heard_in_time(
    schedulers: int, in_a_row: int, instant: float
) -> None:
    schedule = PollSchedule(True, schedulers, Longest(), ASK_EVERY_MS)
    schedule.record_answer(0.0)
    wait = schedule.wait_ms / 1000
    noticed = wait + schedule.timeout_s(0.0, True)
    first = noticed + schedule.record_failure(noticed, PollFailure.TIMEOUT, noticed, is_continuation=True)
    assert heard_after(schedule, 0.0, first, in_a_row - 1) <= BOUND_S, "silent as it began"
    assert first - instant * wait <= BOUND_S


@pytest.mark.parametrize("in_a_row", [1, 2, 3])
@pytest.mark.parametrize("failures", [0, 100])  # before: as long a silence as may be
def test_what_a_dead_watch_of_an_agent_missed_is_heard_in_time(failures: int, in_a_row: int) -> None:
    schedule = PollSchedule(False, 200, Longest(), ASK_EVERY_MS)
    first = schedule.wait_ms / 1000 + schedule.timeout_s(0.0, True) + AGENT_RETRY_DELAY_S
    schedule.consecutive_failures = failures
    if failures:  # it can be reached again as a call to it has just begun
        first = schedule.timeout_s(0.0, False) + AGENT_RETRY_DELAY_S
    assert heard_after(schedule, 0.0, first, in_a_row - 1) <= BOUND_S


@pytest.mark.parametrize(
    ("schedulers", "in_a_row"),
    [(n, k) for n in (3, 20, 40) for k in (1, 2, 3)] + [(100, 1), (100, 2), (200, 1)],
)
@pytest.mark.parametrize("failure", list(PollFailure))
@pytest.mark.parametrize("outage_calls", [1, 2, 3, 4, 5, 50, 51])
def test_a_service_that_returns_is_heard_in_time(
    schedulers: int, in_a_row: int, failure: PollFailure, outage_calls: int
) -> None:
    """It returns just as a call has begun that fails all the same; further ones may fail after that."""
    schedule = PollSchedule(True, schedulers, Longest(), ASK_EVERY_MS)
    schedule.record_answer(0.0)
    now = 1.5 + schedule.record_failure(1.5, failure, 1.5, is_continuation=True)
    returned = now
    for number in range(outage_calls + in_a_row):
        if number == outage_calls:
            returned = now
        took = schedule.timeout_s(now, False) if failure is PollFailure.TIMEOUT else 0.0
        now += took
        now += schedule.record_failure(now, failure, took)
    assert now + ANSWER_S - returned <= BOUND_S


# ---- The fleet: nobody's pause helps where all call at once ----


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(
    ("schedulers", "work"), [(3, 0.19), (20, 0.1), (40, 0.05), (200, 0.005), (200, 0.02)]
)
def test_watches_that_all_die_at_once_are_begun_anew_in_time(seed: int, schedulers: int, work: float) -> None:
    """Where the service bears them at all: 200 calls of 0.02 s are 4 s of work in the 6 s."""
    schedules = fleet(schedulers, seed)
    answered = heard(Service(work), schedules, watches_that_die(schedules, Random(seed)), NOTIFIED_WITHIN_S)
    assert len(answered) == schedulers and max(answered.values()) <= NOTIFIED_WITHIN_S


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(
    ("schedulers", "work"), [(3, 0.19), (20, 0.1), (40, 0.05), (200, 0.005), (200, 0.018)]
)
@pytest.mark.parametrize("down_after", [0.0, 2.0])
def test_a_service_that_returns_is_not_felled_by_one_wave(
    seed: int, schedulers: int, work: float, down_after: float
) -> None:
    """Down for 8 s, each call turned down at once or after 2 s; then all hear it within 6 s."""
    schedules = fleet(schedulers, seed)
    service = Service(work, down_until=8.0, down_after=down_after)
    calls = watches_that_die(schedules, Random(seed))
    answered = heard(service, schedules, calls, service.down_until + NOTIFIED_WITHIN_S)
    assert len(answered) == schedulers
    assert max(answered.values()) - service.down_until <= NOTIFIED_WITHIN_S
    for second in range(3, 8):  # while it is down the calls keep to the rate that it is taken to bear
        begun = sum(second <= at < second + 1 for at in service.begun)
        assert begun <= max(OPENED_WATCHES_PER_S, schedulers) * 1.3


@pytest.mark.parametrize("seed", range(8))
def test_forty_restarted_at_once_are_all_heard_by_an_overbooked_discovery(seed: int) -> None:
    """They are 7.6 s of work: the 6 s can't be kept by all, and being heard at all goes first."""
    schedules = fleet(40, seed)
    calls = [(schedule.first_delay_s(0.0), i) for i, schedule in enumerate(schedules)]
    answered = heard(Service(0.19), schedules, calls, 35.0)
    assert len(answered) == 40
    assert sum(at < NOTIFIED_WITHIN_S for at in answered.values()) >= 10


class _Impatient(PollSchedule):
    """Calls again at once, as an agent may be called."""

    __slots__ = ()

    def first_delay_s(self, now: float) -> float:
        return 0.0

    def record_failure(
        self, now: float, failure: PollFailure, elapsed_s: float, is_continuation: bool = False
    ) -> float:
        return AGENT_RETRY_DELAY_S


def test_the_same_forty_are_not_heard_if_each_calls_again_at_once() -> None:
    schedules = fleet(40, 0, _Impatient)
    calls = [(schedule.first_delay_s(0.0), i) for i, schedule in enumerate(schedules)]
    assert len(heard(Service(0.19), schedules, calls, 30.0)) < 20


def test_two_hundred_ask_soon_enough_that_one_failed_call_is_made_up_for() -> None:
    schedules = fleet(200, 0)
    firsts = [schedule.first_delay_s(0.0) for schedule in schedules]
    assert max(firsts) <= MAX_SPREAD_S and sum(firsts) / 200 > MAX_SPREAD_S / 3, "spread all the same"
    for schedule, now in zip(schedules, firsts, strict=True):
        timeout = schedule.timeout_s(now, False)
        now += timeout + schedule.record_failure(now + timeout, PollFailure.TIMEOUT, timeout)
        assert now + ANSWER_S <= BOUND_S


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("in_a_row", [0, 1])
def test_all_that_move_to_another_address_hear_it_within_4_s(seed: int, in_a_row: int) -> None:
    """A reload of 200 names another service: each asks for the whole list, at twice the price."""
    schedules = fleet(200, seed)
    calls = [(schedule.move_delay_s(0.0), i) for i, schedule in enumerate(schedules)]
    answered = heard(Service(0.01), schedules, calls, NOTIFIED_AFTER_MOVE_S)
    assert len(answered) == 200 and max(answered.values()) < NOTIFIED_AFTER_MOVE_S
    worst = PollSchedule(True, 200, Longest(), ASK_EVERY_MS)
    now = worst.move_delay_s(0.0)
    for _ in range(in_a_row):
        timeout = worst.timeout_s(now, False)
        now += timeout + worst.record_failure(now + timeout, PollFailure.TIMEOUT, timeout)
    assert now + ANSWER_S < NOTIFIED_AFTER_MOVE_S


def test_no_pause_grows_but_for_a_service_that_is_full() -> None:
    for schedulers in (3, 20, 40, 200):
        for failure in PollFailure:
            for took in (0.0, 2.0):
                schedule = PollSchedule(True, schedulers, Longest(), ASK_EVERY_MS)
                cycle = max(schedule.record_failure(float(n), failure, took) for n in range(100)) + took
                assert cycle <= MAX_SPREAD_S * 1.1
    schedule = PollSchedule(True, 200, Longest(), ASK_EVERY_MS)
    schedule.record_failure(0.0, PollFailure.ERROR_STATUS, 0.0)
    assert schedule.record_failure(3.0, PollFailure.ERROR_STATUS, 2.0) > NOTIFIED_WITHIN_S


def test_the_list_expires_where_the_service_lives_and_tells_nothing() -> None:
    schedule = PollSchedule(True, 40, Random(1), ASK_EVERY_MS)
    schedule.record_answer(0.0)
    schedule.record_failure(10.0, PollFailure.UNREACHABLE, 0.0, is_continuation=True)
    schedule.record_failure(11.0, PollFailure.TIMEOUT, 0.75)
    schedule.record_failure(15.0, PollFailure.ERROR_STATUS, 2.0)
    schedule.record_failure(18.0, PollFailure.ERROR_STATUS, 2.0)
    assert schedule.list_expires_at > 1e9, "it may be down, and its front says so"
    schedule.record_failure(20.0, PollFailure.ERROR_STATUS, 0.01)
    schedule.record_failure(30.0, PollFailure.ERROR_STATUS, 2.0)
    expected = 19.99 + NOTIFIED_WITHIN_S - NOTIFIED_MARGIN_S
    assert schedule.list_expires_at == expected, "from when that was seen"
    schedule.record_answer(40.0)
    assert schedule.list_expires_at > 1e9


def test_an_agent_is_called_again_before_its_watch_lapses() -> None:
    schedule = PollSchedule(False, 40, Random(1))
    assert schedule.first_delay_s(0.0) == 0.0
    delays = [schedule.record_failure(1.0, PollFailure.TIMEOUT, 0.5) for _ in range(20)]
    assert delays == [AGENT_RETRY_DELAY_S] * 20

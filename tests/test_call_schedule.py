"""Many schedulers and one discovery, each without sockets: who calls when, and who is heard."""

from __future__ import annotations

import heapq
from random import Random

import pytest

from oxbowyard.discovery.call_schedule import AGENT_PAUSE, CallSchedule

WORK, BOUND, CALLERS = 0.19, 2.0, 40  # seconds of work a call, seconds of work that may wait, schedulers


class _Impatient(CallSchedule):
    """Calls again at once, as an agent may be called."""

    __slots__ = ()

    def first(self) -> float:
        return 0.0

    def failed(self, going: bool = False, turned_down: bool = False) -> float:
        return AGENT_PAUSE


def _watched(
    paces: list[CallSchedule], until: float, work: float = WORK, calls: list[tuple[float, int]] | None = None
) -> dict[int, float]:
    """When each watch began. One server takes calls in turn; it turns one down when too much waits, or when
    its caller has waited too long, and then works on it all the same."""
    calls = calls or [(pace.first(), i) for i, pace in enumerate(paces)]
    heapq.heapify(calls)
    busy_until, watched = 0.0, {}
    while calls:
        now, i = heapq.heappop(calls)
        if now > until:
            break
        wait = max(busy_until - now, 0.0)
        if wait <= 2 * BOUND:
            busy_until = now + wait + work
        if wait <= BOUND:
            watched[i] = busy_until
        else:
            again = now + (BOUND if wait <= 2 * BOUND else 0.0) + paces[i].failed(False, True)
            heapq.heappush(calls, (again, i))
    return watched


@pytest.mark.parametrize("seed", range(8))
def test_forty_restarted_at_once_are_all_heard_by_an_overbooked_discovery(seed: int) -> None:
    paces = [CallSchedule(True, CALLERS, Random(f"{seed} {i}")) for i in range(CALLERS)]
    watched = _watched(paces, 30.0)
    assert len(watched) == CALLERS
    assert sorted(watched.values())[CALLERS // 2] < 8.0


def test_the_same_forty_are_not_heard_if_each_calls_again_at_once() -> None:
    paces: list[CallSchedule] = [_Impatient(True, CALLERS, Random(i)) for i in range(CALLERS)]
    assert len(_watched(paces, 30.0)) < CALLERS / 2


def test_calls_lie_apart_and_failures_spread_them_further() -> None:
    pace = CallSchedule(True, CALLERS, Random(1))
    firsts = [CallSchedule(True, CALLERS, Random(i)).first() for i in range(400)]
    assert 4.0 < sum(firsts) / 400 < 6.0 and max(firsts) <= 10.0
    spans = [max(pace.failed() for _ in range(1)) for _ in range(200)]
    assert 30.0 < max(spans) <= 40.0
    pace.answered()
    assert max(CallSchedule(True, CALLERS, Random(i)).failed() for i in range(100)) <= 20.0


def test_two_hundred_ask_before_what_they_were_not_told_counts_as_told() -> None:
    """Their first calls used to be spread over 50 s, and all counts as told after 10 s without one."""
    paces = [CallSchedule(True, 200, Random(i), 10_000.0) for i in range(200)]
    assert 8.0 < max(pace.first() for pace in paces) < 10.0
    assert 35.0 < max(pace.failed() for pace in paces) < 40.0, "four times as long after a failed call"


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(
    ("callers", "work", "within"), [(200, 0.02, 6.0), (200, 0.005, 6.0), (40, 0.19, 40.0)]
)
def test_watches_that_all_die_at_once_are_begun_anew_in_time_if_the_service_bears_it(
    seed: int, callers: int, work: float, within: float
) -> None:
    """They notice it over the 2 s of their waits and a second more; what they missed counts as told after
    6 s. A service that does not bear so many turns them down, and they make room for each other as before."""
    random = Random(seed)
    paces = [CallSchedule(True, callers, Random(f"{seed} {i}"), 10_000.0) for i in range(callers)]
    calls = [(random.uniform(1.0, 3.0) + pace.failed(going=True), i) for i, pace in enumerate(paces)]
    heapq.heapify(calls)
    watched = _watched(paces, within, work, calls)
    assert len(watched) == callers and max(watched.values()) < within


def test_a_service_that_is_silent_is_called_more_rarely_each_time() -> None:
    most = [0.0] * 4
    for seed in range(200):
        pace = CallSchedule(True, 200, Random(seed), 10_000.0)
        most = [max(so_far, pace.failed(going=n == 0)) for n, so_far in enumerate(most)]
    for span, limit in zip(most, (1.5, 6.0, 24.0, 96.0), strict=True):
        assert 0.9 * limit < span <= limit
    pace = CallSchedule(True, 200, Random(1), 10_000.0)
    pace.failed(going=True)
    assert max(pace.failed(False, True) for _ in range(30)) > 40.0, "turned down: all make room"


def test_an_agent_is_called_again_before_its_watch_lapses() -> None:
    pace = CallSchedule(False, CALLERS, Random(1))
    assert pace.first() == 0.0
    assert all(pace.failed() == AGENT_PAUSE for _ in range(20))

"""Many schedulers and one discovery, each without sockets: who calls when, and who is heard."""

from __future__ import annotations

import heapq
from random import Random

import pytest

from oxbowyard.director.pace import AGENT_PAUSE, CallPace

WORK, BOUND, CALLERS = 0.19, 2.0, 40  # seconds of work a call, seconds of work that may wait, schedulers


class _Impatient(CallPace):
    """Calls again at once, as an agent may be called."""

    __slots__ = ()

    def first(self) -> float:
        return 0.0

    def failed(self) -> float:
        return AGENT_PAUSE


def _watched(paces: list[CallPace], until: float) -> dict[int, float]:
    """When each watch began. One server takes calls in turn; it turns one down when too much waits, or when
    its caller has waited too long, and then works on it all the same."""
    calls = [(pace.first(), i) for i, pace in enumerate(paces)]
    heapq.heapify(calls)
    busy_until, watched = 0.0, {}
    while calls:
        now, i = heapq.heappop(calls)
        if now > until:
            break
        wait = max(busy_until - now, 0.0)
        if wait <= 2 * BOUND:
            busy_until = now + wait + WORK
        if wait <= BOUND:
            watched[i] = busy_until
        else:
            heapq.heappush(calls, (now + (BOUND if wait <= 2 * BOUND else 0.0) + paces[i].failed(), i))
    return watched


@pytest.mark.parametrize("seed", range(8))
def test_forty_restarted_at_once_are_all_heard_by_an_overbooked_discovery(seed: int) -> None:
    paces = [CallPace(True, CALLERS, Random(f"{seed} {i}")) for i in range(CALLERS)]
    watched = _watched(paces, 30.0)
    assert len(watched) == CALLERS
    assert sorted(watched.values())[CALLERS // 2] < 8.0


def test_the_same_forty_are_not_heard_if_each_calls_again_at_once() -> None:
    paces: list[CallPace] = [_Impatient(True, CALLERS, Random(i)) for i in range(CALLERS)]
    assert len(_watched(paces, 30.0)) < CALLERS / 2


def test_calls_lie_apart_and_failures_spread_them_further() -> None:
    pace = CallPace(True, CALLERS, Random(1))
    firsts = [CallPace(True, CALLERS, Random(i)).first() for i in range(400)]
    assert 4.0 < sum(firsts) / 400 < 6.0 and max(firsts) <= 10.0
    spans = [max(pace.failed() for _ in range(1)) for _ in range(200)]
    assert 30.0 < max(spans) <= 40.0
    pace.answered()
    assert max(CallPace(True, CALLERS, Random(i)).failed() for i in range(100)) <= 20.0


def test_an_agent_is_called_again_before_its_watch_lapses() -> None:
    pace = CallPace(False, CALLERS, Random(1))
    assert pace.first() == 0.0
    assert all(pace.failed() == AGENT_PAUSE for _ in range(20))

"""Rule 5: requests of one key run one at a time, in the order taken; and rule 4 with many siblings."""

from __future__ import annotations

import pytest

from oxbowyard import Dispatcher, Settings
from oxbowyard.decision import slow_start
from oxbowyard.decision.actions import Action, CancelAttempt, RejectRequest, StartAttempt
from oxbowyard.decision.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsChanged,
    RequestReceived,
    Result,
    Scope,
    TimerFired,
    WorkerInfo,
)
from oxbowyard.decision.settings import JobClass, RetrySafety

ORDER = JobClass("order", latency_objective_ms=600, deadline_ms=15000, is_ordered=True)
PAIRED = JobClass(
    "paired",
    latency_objective_ms=600,
    deadline_ms=15000,
    retry_safety=RetrySafety.IDEMPOTENT,
    is_ordered=True,
)
PLAIN = JobClass("plain", latency_objective_ms=400, deadline_ms=5000, retry_safety=RetrySafety.IDEMPOTENT)


def make(gap: float = 0.0, workers: int = 4, **more: object) -> Dispatcher:
    values: dict[str, object] = {
        "max_attempts": 3,
        "reports_starts": True,
        "may_cancel": True,
        "ordered_gap_ms": gap,
    }
    values.update(more)
    d = Dispatcher(Settings((ORDER, PAIRED, PLAIN), **values), seed=3)  # type: ignore[arg-type]
    d.handle(0.0, EndpointsChanged(Scope.FULL, tuple(WorkerInfo(f"w{i}") for i in range(workers))))
    return d


def sends(actions: list[Action]) -> list[tuple[str, str]]:
    return [(a.request_id, a.worker) for a in actions if isinstance(a, StartAttempt)]


def ask(d: Dispatcher, now: float, name: str, cls: str = "order", key: str | None = "k") -> list[Action]:
    return d.handle(now, RequestReceived(name, cls, 9000, key))


def end(d: Dispatcher, now: float, name: str, result: Result, final: bool = False) -> list[str]:
    return [i for i, _ in sends(d.handle(now, AttemptEnded(name, 0, "w", result, 1.0, final)))]


def test_requests_of_one_key_run_in_order_one_at_a_time_across_classes() -> None:
    d = make()
    assert sends(ask(d, 1, "a"))
    assert not sends(ask(d, 2, "b", "paired")) and not sends(ask(d, 3, "c"))
    assert end(d, 50, "a", Result.OK, True) == ["b"]
    assert end(d, 90, "b", Result.OK, True) == ["c"]
    end(d, 99, "c", Result.OK, True)
    assert not d.state.key_queues and not d.state.requests


def test_other_keys_missing_keys_and_unordered_classes_are_not_blocked() -> None:
    d = make()
    ask(d, 1, "a")
    assert sends(ask(d, 2, "b", key="other")) and sends(ask(d, 3, "c", "plain"))
    assert sends(ask(d, 4, "d", key=None)) and sends(ask(d, 5, "e", key=None))


@pytest.mark.parametrize("result", [Result.TIMEOUT, Result.RESET, Result.CANCELLED])
def test_key_is_blocked_for_gap_after_attempt_that_may_still_run(result: Result) -> None:
    d = make(gap=300)
    ask(d, 1, "a")
    ask(d, 2, "b")
    assert end(d, 50, "a", result) == []
    assert not sends(d.handle(300, TimerFired(0)))
    assert sends(d.handle(351, TimerFired(0)))


def test_key_is_not_blocked_after_error_or_without_gap() -> None:
    for gap, result in ((300.0, Result.ERROR), (0.0, Result.RESET)):
        d = make(gap=gap)
        ask(d, 1, "a")
        ask(d, 2, "b")
        assert end(d, 50, "a", result) == ["b"]


def test_key_stays_blocked_after_client_disconnect_until_attempt_ends() -> None:
    d = make(gap=100)
    ask(d, 1, "a")
    ask(d, 2, "b")
    assert CancelAttempt("a", 0) in d.handle(10, ClientDisconnected("a"))
    assert not sends(d.handle(500, TimerFired(0)))  # its attempt still lacks an outcome
    assert end(d, 510, "a", Result.CANCELLED, True) == []
    assert end(d, 511, "a", Result.CANCELLED, True) == []  # told twice: nothing more
    assert [i for i, _ in sends(d.handle(611, TimerFired(0)))] == ["b"]


def test_disconnect_of_queued_request_does_not_block_later_ones() -> None:
    d = make()
    for i, name in enumerate("abc"):
        ask(d, 1 + i, name)
    d.handle(10, ClientDisconnected("b"))
    assert end(d, 20, "a", Result.OK, True) == ["c"]


def test_retry_of_same_request_is_sent_while_key_is_blocked() -> None:
    d = make(gap=5000)
    ask(d, 1, "a", "paired")
    ask(d, 2, "b")
    assert end(d, 50, "a", Result.RESET) == ["a"]


def test_request_that_would_miss_its_deadline_in_key_queue_is_rejected_at_once() -> None:
    d = make()
    d.state.service_times_ms.add("order", 2000.0)
    ask(d, 1, "a")
    (answer,) = ask(d, 2, "b")
    assert isinstance(answer, RejectRequest) and answer.request_id == "b"


def test_key_queue_survives_eviction_of_affinity_keys() -> None:
    d = make()
    ask(d, 1, "a")
    d.state.keys.clear()
    assert not sends(ask(d, 2, "b"))


def test_negative_turn_gap_is_rejected_by_name() -> None:
    with pytest.raises(ValueError, match="turn_gap"):
        Settings((ORDER,), ordered_gap_ms=-1.0)


SIZES = [(16, 1.5, 1000.0), (100, 1.5, 1000.0), (170, 3.0, 1500.0)]


@pytest.mark.parametrize(("siblings", "multiple", "window"), SIZES)
def test_many_dispatchers_together_do_not_overload_a_cold_worker(
    siblings: int, multiple: float, window: float
) -> None:
    """Each alone may send less than one job a window; used up at once by all it tips the worker."""
    ramp, cold_from, hold, slots = 18000.0, 0.16, 800.0, 4.0
    fleet = []
    for seed in range(siblings):
        s = Settings(
            (PLAIN,),
            scheduler_count=siblings,
            reports_starts=True,
            initial_capacity_share=cold_from,
            ramp_ms=ramp,
            overload_multiple=multiple,
            overload_window_ms=window,
        )
        d = Dispatcher(s, seed)
        d.handle(0.0, EndpointsChanged(Scope.FULL, (WorkerInfo("w", started_at_ms=1.0),)))
        d.state.workers["w"].pool.mean_service_time_ms = hold
        fleet.append(d)
    sent: list[float] = []
    for step in range(int(ramp / 100)):
        now = 1.0 + step * 100
        for i, d in enumerate(fleet):  # every dispatcher has work for it all the time
            if slow_start.budget_allows_send(d.state, d.state.workers["w"], now):
                d.state.workers["w"].cold_sends_at_ms.append(now)
                sent.append(now + i / 1000)
    assert sent, "the budget is never used"
    for first in sent:
        capacity = (cold_from + (1 - cold_from) * min((first + window) / ramp, 1.0)) * slots / hold
        count = sum(first <= t < first + window for t in sent)
        assert count <= multiple * capacity * window * 1.25 + 1, (first, count)

"""Ordered keys (rule 5): requests of one key run one at a time, in order of arrival.

Also the overload budget of a cold worker (rule 4) with many schedulers.
"""

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


def make_dispatcher(gap: float = 0.0, workers: int = 4, **more: object) -> Dispatcher:
    values: dict[str, object] = {
        "max_attempts": 3,
        "reports_starts": True,
        "may_cancel": True,
        "ordered_gap_ms": gap,
    }
    values.update(more)
    dispatcher = Dispatcher(Settings((ORDER, PAIRED, PLAIN), **values), seed=3)  # type: ignore[arg-type]
    dispatcher.handle(0.0, EndpointsChanged(Scope.FULL, tuple(WorkerInfo(f"w{i}") for i in range(workers))))
    return dispatcher


def sent_attempts(actions: list[Action]) -> list[tuple[str, str]]:
    return [(a.request_id, a.worker) for a in actions if isinstance(a, StartAttempt)]


def receive_request(
    dispatcher: Dispatcher, now: float, name: str, job_class: str = "order", key: str | None = "k"
) -> list[Action]:
    return dispatcher.handle(now, RequestReceived(name, job_class, 9000, key))


def end_attempt(
    dispatcher: Dispatcher, now: float, name: str, result: Result, is_final: bool = False
) -> list[str]:
    return [
        i for i, _ in sent_attempts(dispatcher.handle(now, AttemptEnded(name, 0, "w", result, 1.0, is_final)))
    ]


def test_requests_of_one_key_run_in_order_one_at_a_time_across_classes() -> None:
    dispatcher = make_dispatcher()
    assert sent_attempts(receive_request(dispatcher, 1, "a"))
    assert not sent_attempts(receive_request(dispatcher, 2, "b", "paired")) and not sent_attempts(
        receive_request(dispatcher, 3, "c")
    )
    assert end_attempt(dispatcher, 50, "a", Result.OK, True) == ["b"]
    assert end_attempt(dispatcher, 90, "b", Result.OK, True) == ["c"]
    end_attempt(dispatcher, 99, "c", Result.OK, True)
    assert not dispatcher.state.key_queues and not dispatcher.state.requests


def test_other_keys_missing_keys_and_unordered_classes_are_not_blocked() -> None:
    dispatcher = make_dispatcher()
    receive_request(dispatcher, 1, "a")
    assert sent_attempts(receive_request(dispatcher, 2, "b", key="other")) and sent_attempts(
        receive_request(dispatcher, 3, "c", "plain")
    )
    assert sent_attempts(receive_request(dispatcher, 4, "d", key=None)) and sent_attempts(
        receive_request(dispatcher, 5, "e", key=None)
    )


@pytest.mark.parametrize("result", [Result.TIMEOUT, Result.RESET, Result.CANCELLED])
def test_key_is_blocked_for_gap_after_attempt_that_may_still_run(result: Result) -> None:
    dispatcher = make_dispatcher(gap=300)
    receive_request(dispatcher, 1, "a")
    receive_request(dispatcher, 2, "b")
    assert end_attempt(dispatcher, 50, "a", result) == []
    assert not sent_attempts(dispatcher.handle(300, TimerFired(0)))
    assert sent_attempts(dispatcher.handle(351, TimerFired(0)))


def test_key_is_not_blocked_after_error_or_without_gap() -> None:
    for gap, result in ((300.0, Result.ERROR), (0.0, Result.RESET)):
        dispatcher = make_dispatcher(gap=gap)
        receive_request(dispatcher, 1, "a")
        receive_request(dispatcher, 2, "b")
        assert end_attempt(dispatcher, 50, "a", result) == ["b"]


def test_key_stays_blocked_after_client_disconnect_until_attempt_ends() -> None:
    dispatcher = make_dispatcher(gap=100)
    receive_request(dispatcher, 1, "a")
    receive_request(dispatcher, 2, "b")
    assert CancelAttempt("a", 0) in dispatcher.handle(10, ClientDisconnected("a"))
    assert not sent_attempts(dispatcher.handle(500, TimerFired(0)))  # its attempt has not ended yet
    assert end_attempt(dispatcher, 510, "a", Result.CANCELLED, True) == []
    assert end_attempt(dispatcher, 511, "a", Result.CANCELLED, True) == []  # a duplicate event has no effect
    assert [i for i, _ in sent_attempts(dispatcher.handle(611, TimerFired(0)))] == ["b"]


def test_disconnect_of_queued_request_does_not_block_later_ones() -> None:
    dispatcher = make_dispatcher()
    for i, name in enumerate("abc"):
        receive_request(dispatcher, 1 + i, name)
    dispatcher.handle(10, ClientDisconnected("b"))
    assert end_attempt(dispatcher, 20, "a", Result.OK, True) == ["c"]


def test_retry_of_same_request_is_sent_while_key_is_blocked() -> None:
    dispatcher = make_dispatcher(gap=5000)
    receive_request(dispatcher, 1, "a", "paired")
    receive_request(dispatcher, 2, "b")
    assert end_attempt(dispatcher, 50, "a", Result.RESET) == ["a"]


def test_request_that_would_miss_its_objective_in_key_queue_is_rejected_at_once() -> None:
    dispatcher = make_dispatcher()
    dispatcher.state.service_times_ms.add("order", 2000.0)
    receive_request(dispatcher, 1, "a")
    (answer,) = receive_request(dispatcher, 2, "b")
    assert isinstance(answer, RejectRequest) and answer.request_id == "b"


def test_key_queue_survives_eviction_of_affinity_keys() -> None:
    dispatcher = make_dispatcher()
    receive_request(dispatcher, 1, "a")
    dispatcher.state.keys.clear()
    assert not sent_attempts(receive_request(dispatcher, 2, "b"))


def test_negative_turn_gap_is_rejected_by_name() -> None:
    with pytest.raises(ValueError, match="turn_gap"):
        Settings((ORDER,), ordered_gap_ms=-1.0)


SIZES = [(16, 1.5, 1000.0), (100, 1.5, 1000.0), (170, 3.0, 1500.0)]


@pytest.mark.parametrize(("siblings", "multiple", "window"), SIZES)
def test_many_dispatchers_together_do_not_overload_a_cold_worker(
    siblings: int, multiple: float, window: float
) -> None:
    """The share of each dispatcher is less than one job per window.

    Guards against dispatchers that each use their share at the same time and together overload the worker.
    """
    ramp, cold_from, hold, slots = 18000.0, 0.16, 800.0, 4.0
    fleet = []
    for seed in range(siblings):
        settings = Settings(
            (PLAIN,),
            scheduler_count=siblings,
            reports_starts=True,
            initial_capacity_share=cold_from,
            ramp_ms=ramp,
            overload_multiple=multiple,
            overload_window_ms=window,
        )
        dispatcher = Dispatcher(settings, seed)
        dispatcher.handle(0.0, EndpointsChanged(Scope.FULL, (WorkerInfo("w", started_at_ms=1.0),)))
        dispatcher.state.workers["w"].pool.mean_service_time_ms = hold
        fleet.append(dispatcher)
    sent: list[float] = []
    for step in range(int(ramp / 100)):
        now = 1.0 + step * 100
        for i, dispatcher in enumerate(fleet):  # each dispatcher always has work for the worker
            if slow_start.budget_allows_send(dispatcher.state, dispatcher.state.workers["w"], now):
                dispatcher.state.workers["w"].cold_sends_at_ms.append(now)
                sent.append(now + i / 1000)
    assert sent, "no dispatcher ever sent to the cold worker"
    for first in sent:
        capacity = (cold_from + (1 - cold_from) * min((first + window) / ramp, 1.0)) * slots / hold
        count = sum(first <= t < first + window for t in sent)
        assert count <= multiple * capacity * window * 1.25 + 1, (first, count)

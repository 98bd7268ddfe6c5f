"""Unit tests of the estimators, key affinity across zones, and the handling of idle connections."""

from __future__ import annotations

import pytest

from oxbowyard import Dispatcher, Settings
from oxbowyard.decision import admission, affinity
from oxbowyard.decision.actions import Action, CloseIdleConnections, StartAttempt
from oxbowyard.decision.estimators import MeanDifference, RecentItems, RunningMeans
from oxbowyard.decision.events import (
    AttemptEnded,
    AttemptStarted,
    EndpointsChanged,
    RequestReceived,
    Result,
    Scope,
    WorkerInfo,
)
from oxbowyard.decision.facade import Facade
from oxbowyard.decision.hashing import RendezvousOrder
from oxbowyard.decision.platform_settings import parse_settings
from oxbowyard.decision.settings import JobClass, RetrySafety
from oxbowyard.simhost import encode

FREE = JobClass(
    "free", latency_objective_ms=300, deadline_ms=5000, retry_safety=RetrySafety.IDEMPOTENT, priority_weight=5
)
ONCE = JobClass("once", latency_objective_ms=1000, deadline_ms=12000, priority_weight=10)
ZONES = ("north", "south", "west")


def make_dispatcher(workers: int = 9, seed: int = 1, **overrides: object) -> Dispatcher:
    values: dict[str, object] = {
        "classes": (FREE, ONCE),
        "zone": "north",
        "max_attempts": 3,
        "reports_starts": True,
        "may_cancel": True,
    } | overrides
    dispatcher = Dispatcher(Settings(**values), seed)  # type: ignore[arg-type]
    infos = (WorkerInfo(f"w{i}", kind="std", zone=ZONES[i % 3]) for i in range(workers))
    dispatcher.handle(0.0, EndpointsChanged(Scope.FULL, tuple(infos)))
    return dispatcher


def started_worker(actions: list[Action]) -> str:
    (worker,) = [a.worker for a in actions if isinstance(a, StartAttempt)]
    return worker


def run_job(
    dispatcher: Dispatcher,
    now: float,
    request_id: str,
    cls: str = "free",
    key: str = "k",
    duration_ms: float = 200.0,
) -> str:
    """Run a job that starts at once and succeeds, and return its worker."""
    worker = started_worker(dispatcher.handle(now, RequestReceived(request_id, cls, 5000.0, key)))
    dispatcher.handle(now + 1, AttemptStarted(request_id, 0, worker))
    dispatcher.handle(
        now + 1 + duration_ms, AttemptEnded(request_id, 0, worker, Result.OK, duration_ms + 1, True)
    )
    return worker


def test_key_fetch_cost_is_the_difference_between_cold_and_cached_keys() -> None:
    """Guards against a ratio of service times over all classes, which the variance of long jobs hides."""
    dispatcher = make_dispatcher(1)
    for i in range(40):  # more keys than the worker caches: each is fetched again
        run_job(dispatcher, 1000.0 * i, f"a{i}", key=f"k{i}", duration_ms=700.0)
        run_job(dispatcher, 1000.0 * i + 800, f"b{i}", key=f"k{i}", duration_ms=190.0)
    assert dispatcher.state.key_fetch_cost_ms.difference == pytest.approx(510.0, abs=20.0)


def test_job_spills_to_a_worker_that_has_its_key_cached() -> None:
    """Guards against a spill to any of several equally free workers, which fetches the data there and evicts
    that of another key."""
    spills = set()
    for seed in range(8):
        dispatcher = make_dispatcher(seed=seed)
        home_worker = run_job(dispatcher, 10, "first")
        dispatcher.state.key_fetch_cost_ms.difference = 500.0
        warm_worker = next(
            w for w in dispatcher.state.workers.values() if w.name != home_worker and w.zone == "west"
        )
        warm_worker.cached_keys.touch(dispatcher.state.keys["k", None].key_hash, 4)
        warm_worker.pool.mean_service_time_ms, dispatcher.state.workers[home_worker].in_flight = 600.0, 12
        spills.add(
            (
                started_worker(dispatcher.handle(900.0, RequestReceived("next", "once", 12000.0, "k"))),
                warm_worker.name,
            )
        )
    assert spills and all(actual == warm_worker for actual, warm_worker in spills)


def test_worker_restart_clears_its_cached_keys() -> None:
    dispatcher = make_dispatcher()
    home_worker = dispatcher.state.workers[run_job(dispatcher, 10, "r")]
    key_hash = dispatcher.state.keys["k", None].key_hash
    assert key_hash in home_worker.cached_keys
    restarted = WorkerInfo(home_worker.name, kind="std", zone=home_worker.zone, started_at_ms=500.0)
    dispatcher.handle(600.0, EndpointsChanged(Scope.CHANGES, (restarted,)))
    assert key_hash not in home_worker.cached_keys


def test_hot_key_has_a_home_worker_in_each_zone() -> None:
    """Guards against one home worker for all zones: two thirds of the requests cross zones, at a cost, and
    all of them fail when that zone is cut off."""
    for zone in ZONES:
        homes = set()
        for seed in (1, 2):
            dispatcher = make_dispatcher(seed=seed, zone=zone, scheduler_count=3)
            for i in range(30):
                run_job(dispatcher, 300.0 * i, f"r{i}")
            assert dispatcher.state.workers[run_job(dispatcher, 9500.0, "last")].zone == zone
            key = dispatcher.state.keys["k", None]
            homes.add(next(iter(affinity.order_workers(dispatcher.state, key, None))).name)
        assert len(homes) == 1  # schedulers in the same zone agree


def test_key_among_many_has_one_home_worker_across_zones() -> None:
    """Caching its data in every zone would evict the data of other keys."""
    homes = set()
    for zone in ZONES:
        dispatcher = make_dispatcher(zone=zone, scheduler_count=3)
        for i in range(60):
            run_job(dispatcher, 300.0 * i, f"r{i}", key=f"k{i % 20}")
        homes.add(run_job(dispatcher, 18500.0, "last", key="k7"))
    assert len(homes) == 1


def test_non_idempotent_request_closes_idle_connections_before_it_is_sent() -> None:
    """A worker behind a network cut does not answer: a request written to an idle connection may have run."""
    dispatcher = make_dispatcher(1)
    first, *_ = dispatcher.handle(1, RequestReceived("a", "once", 9000.0, "k"))
    assert type(first) is StartAttempt  # no idle connection exists
    dispatcher.handle(2, AttemptStarted("a", 0, "w0"))
    dispatcher.handle(300, AttemptEnded("a", 0, "w0", Result.OK, 299, True))
    close, send, *_ = dispatcher.handle(400, RequestReceived("b", "once", 9000.0, "k"))
    assert close == CloseIdleConnections("w0") and isinstance(send, StartAttempt)
    dispatcher.handle(402, AttemptStarted("b", 0, "w0"))
    dispatcher.handle(700, AttemptEnded("b", 0, "w0", Result.OK, 300, True))
    # An idempotent job may be retried on another worker: it uses an idle connection.
    assert isinstance(dispatcher.handle(800, RequestReceived("c", "free", 4000.0, "k"))[0], StartAttempt)


def test_close_of_idle_connections_is_encoded_but_not_returned_by_the_facade() -> None:
    assert encode(3, CloseIdleConnections("w1")) == b'["close",3,"w1"]'
    facade = Facade(Settings(classes=(ONCE,), reports_starts=True), 1, lambda: 0.0)
    facade.update_endpoints(Scope.FULL, (WorkerInfo("w1"),))
    for name in ("a", "b"):  # the second finds the idle connection of the first
        (attempt,) = facade.decide(RequestReceived(name, "once", 9000.0, "k")).actions
        assert isinstance(attempt, StartAttempt)
        facade.report(AttemptEnded(name, 0, "w1", Result.OK, 5.0, is_final=True))


@pytest.mark.parametrize(("by_work", "longer"), [(True, "long"), (False, "short")])
def test_priority_weight_per_work_is_not_divided_by_service_time(by_work: bool, longer: str) -> None:
    """A permit of one second, with weight 10 per unit of work, was ranked below a lookup."""
    classes = (
        JobClass("short", latency_objective_ms=1000, deadline_ms=5000, priority_weight=5),
        JobClass("long", latency_objective_ms=1000, deadline_ms=9000, priority_weight=10),
    )
    dispatcher = make_dispatcher(classes=classes, weight_is_per_work=by_work)
    dispatcher.state.service_times_ms.add("short", 200.0)
    dispatcher.state.service_times_ms.add("long", 1200.0)
    max_wait_ms = {c.name: admission.max_queue_wait_ms(dispatcher.state, c) for c in classes}
    assert max(max_wait_ms, key=max_wait_ms.__getitem__) == longer


def test_worth_by_setting_selects_weight_per_work() -> None:
    settings = {
        "policyLimits": {"maxAttempts": 1},
        "rules": {},
        "siblings": 1,
        "lanes": [{"name": "a", "aim": 1.0, "deadline": 2.0}],
    }
    assert not parse_settings(settings).weight_is_per_work
    assert parse_settings(settings | {"worthBy": "work"}).weight_is_per_work


def test_estimators_return_expected_values() -> None:
    means = RunningMeans(max_samples=2)
    assert [means.add("a", v) for v in (4.0, 8.0, 1.0)] == [4.0, 4.0, 6.0]
    assert means.mean("a") == 3.5 and means.mean("b", 7.0) == 7.0 and "a" in means and "b" not in means
    difference = MeanDifference(max_samples=50, max_ratio=8.0)
    difference.add("a", True, 700.0)
    assert difference.difference == 0.0  # no sample of the other kind to compare with
    difference.add("a", False, 900.0)
    assert difference.difference == 0.0  # a negative difference counts as 0
    for _ in range(20):
        difference.add("b", True, 300.0)
        difference.add("b", False, 100.0)
    assert difference.difference > 150.0  # many short samples outweigh two long ones
    recent = RecentItems()
    assert [recent.touch(x, 2) for x in (1, 2, 1, 3, 2, 1)] == [False, False, True, False, False, False]
    assert 1 in recent and 3 not in recent
    order: RendezvousOrder[str] = RendezvousOrder()
    positions = {"a": 3.0, "b": 1.0, "c": 2.0, "d": None}
    assert order.extend(["a", "b"], positions.get) == ["b", "a"]
    assert order.extend(["a", "b", "d", "c"], positions.get) == ["b", "c", "a"]
    order.clear()
    assert order.extend(["d"], positions.get) == []

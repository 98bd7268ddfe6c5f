"""Keys whose data workers keep or fetch, zones that requests cross, and connections that may lead nowhere."""

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


def make(workers: int = 9, seed: int = 1, **more: object) -> Dispatcher:
    values: dict[str, object] = {
        "classes": (FREE, ONCE),
        "zone": "north",
        "max_attempts": 3,
        "reports_starts": True,
        "may_cancel": True,
    } | more
    d = Dispatcher(Settings(**values), seed)  # type: ignore[arg-type]
    infos = (WorkerInfo(f"w{i}", kind="std", zone=ZONES[i % 3]) for i in range(workers))
    d.handle(0.0, EndpointsChanged(Scope.FULL, tuple(infos)))
    return d


def sent(actions: list[Action]) -> str:
    (worker,) = [a.worker for a in actions if isinstance(a, StartAttempt)]
    return worker


def run(d: Dispatcher, now: float, name: str, cls: str = "free", key: str = "k", takes: float = 200.0) -> str:
    """A job that starts at once and ends well; the worker that had it."""
    worker = sent(d.handle(now, RequestReceived(name, cls, 5000.0, key)))
    d.handle(now + 1, AttemptStarted(name, 0, worker))
    d.handle(now + 1 + takes, AttemptEnded(name, 0, worker, Result.OK, takes + 1, True))
    return worker


def test_the_price_of_a_fetch_is_learned_from_jobs_that_found_the_data() -> None:
    """A ratio of times over all classes was lost in the scatter of the long jobs."""
    d = make(1)
    for i in range(40):  # more keys than the worker keeps: each is fetched anew
        run(d, 1000.0 * i, f"a{i}", key=f"k{i}", takes=700.0)
        run(d, 1000.0 * i + 800, f"b{i}", key=f"k{i}", takes=190.0)
    assert d.state.key_fetch_cost_ms.difference == pytest.approx(510.0, abs=20.0)


def test_a_job_spills_to_where_its_data_was_used_lately() -> None:
    """Among equally free workers it went to any, fetched its data there and pushed out another's."""
    homes = set()
    for seed in range(8):
        d = make(seed=seed)
        home = run(d, 10, "first")
        d.state.key_fetch_cost_ms.difference = 500.0
        second = next(w for w in d.state.workers.values() if w.name != home and w.zone == "west")
        second.cached_keys.touch(d.state.keys["k", None].key_hash, 4)
        second.pool.mean_service_time_ms, d.state.workers[home].in_flight = 600.0, 12
        homes.add((sent(d.handle(900.0, RequestReceived("next", "once", 12000.0, "k"))), second.name))
    assert homes and all(spilled == second for spilled, second in homes)


def test_a_restarted_worker_keeps_nothing() -> None:
    d = make()
    home = d.state.workers[run(d, 10, "r")]
    salt = d.state.keys["k", None].key_hash
    assert salt in home.cached_keys
    news = WorkerInfo(home.name, kind="std", zone=home.zone, started_at_ms=500.0)
    d.handle(600.0, EndpointsChanged(Scope.CHANGES, (news,)))
    assert salt not in home.cached_keys


def test_a_key_that_needs_a_worker_in_each_zone_has_one_in_each() -> None:
    """Two in three of its requests crossed zones, at a price, and all of them died of one zone's cut."""
    for zone in ZONES:
        agreed = set()
        for seed in (1, 2):
            d = make(seed=seed, zone=zone, scheduler_count=3)
            for i in range(30):
                run(d, 300.0 * i, f"r{i}")
            assert d.state.workers[run(d, 9500.0, "last")].zone == zone
            key = d.state.keys["k", None]
            agreed.add(next(iter(affinity.order_workers(d.state, key, None))).name)
        assert len(agreed) == 1  # schedulers of a zone agree


def test_a_key_among_many_stays_with_its_one_home() -> None:
    """Its data in every zone would push out that of others."""
    homes = set()
    for zone in ZONES:
        d = make(zone=zone, scheduler_count=3)
        for i in range(60):
            run(d, 300.0 * i, f"r{i}", key=f"k{i % 20}")
        homes.add(run(d, 18500.0, "last", key="k7"))
    assert len(homes) == 1


def test_what_must_not_run_twice_is_not_written_to_a_kept_connection() -> None:
    """A worker that was cut off says nothing: what was written to it may have run."""
    d = make(1)
    first, *_ = d.handle(1, RequestReceived("a", "once", 9000.0, "k"))
    assert type(first) is StartAttempt  # none is kept
    d.handle(2, AttemptStarted("a", 0, "w0"))
    d.handle(300, AttemptEnded("a", 0, "w0", Result.OK, 299, True))
    close, send, *_ = d.handle(400, RequestReceived("b", "once", 9000.0, "k"))
    assert close == CloseIdleConnections("w0") and isinstance(send, StartAttempt)
    d.handle(402, AttemptStarted("b", 0, "w0"))
    d.handle(700, AttemptEnded("b", 0, "w0", Result.OK, 300, True))
    assert isinstance(
        d.handle(800, RequestReceived("c", "free", 4000.0, "k"))[0], StartAttempt
    )  # it may go elsewhere


def test_closing_is_told_on_the_wire_and_nothing_to_the_core() -> None:
    assert encode(3, CloseIdleConnections("w1")) == b'["close",3,"w1"]'
    facade = Facade(Settings(classes=(ONCE,), reports_starts=True), 1, lambda: 0.0)
    facade.update_endpoints(Scope.FULL, (WorkerInfo("w1"),))
    for name in ("a", "b"):  # the second finds a connection of the first
        (attempt,) = facade.decide(RequestReceived(name, "once", 9000.0, "k")).actions
        assert isinstance(attempt, StartAttempt)
        facade.report(AttemptEnded(name, 0, "w1", Result.OK, 5.0, is_final=True))


@pytest.mark.parametrize(("by_work", "longer"), [(True, "long"), (False, "short")])
def test_worth_for_work_is_not_divided_by_the_time_again(by_work: bool, longer: str) -> None:
    """A permit of a second, worth ten for each unit of work, was taken for worth less than a lookup."""
    classes = (
        JobClass("short", latency_objective_ms=1000, deadline_ms=5000, priority_weight=5),
        JobClass("long", latency_objective_ms=1000, deadline_ms=9000, priority_weight=10),
    )
    d = make(classes=classes, weight_is_per_work=by_work)
    d.state.service_times_ms.add("short", 200.0)
    d.state.service_times_ms.add("long", 1200.0)
    patience = {c.name: admission.max_queue_wait_ms(d.state, c) for c in classes}
    assert max(patience, key=patience.__getitem__) == longer


def test_the_settings_say_what_worth_is_for() -> None:
    facts = {
        "policyLimits": {"maxAttempts": 1},
        "rules": {},
        "siblings": 1,
        "lanes": [{"name": "a", "aim": 1.0, "deadline": 2.0}],
    }
    assert not parse_settings(facts).weight_is_per_work
    assert parse_settings(facts | {"worthBy": "work"}).weight_is_per_work


def test_running_estimates() -> None:
    means = RunningMeans(max_samples=2)
    assert [means.add("a", v) for v in (4.0, 8.0, 1.0)] == [4.0, 4.0, 6.0]
    assert means.mean("a") == 3.5 and means.mean("b", 7.0) == 7.0 and "a" in means and "b" not in means
    effect = MeanDifference(max_samples=50, max_ratio=8.0)
    effect.add("a", True, 700.0)
    assert effect.difference == 0.0  # nothing to hold it against
    effect.add("a", False, 900.0)
    assert effect.difference == 0.0  # less is none
    for _ in range(20):
        effect.add("b", True, 300.0)
        effect.add("b", False, 100.0)
    assert effect.difference > 150.0  # many short ones tell more than two long ones
    latest = RecentItems()
    assert [latest.touch(x, 2) for x in (1, 2, 1, 3, 2, 1)] == [False, False, True, False, False, False]
    assert 1 in latest and 3 not in latest
    order: RendezvousOrder[str] = RendezvousOrder()
    places = {"a": 3.0, "b": 1.0, "c": 2.0, "d": None}
    assert order.extend(["a", "b"], places.get) == ["b", "a"]
    assert order.extend(["a", "b", "d", "c"], places.get) == ["b", "c", "a"]
    order.clear()
    assert order.extend(["d"], places.get) == []

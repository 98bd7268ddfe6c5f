"""Unit tests of the dispatcher: one decision rule or step at a time."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

from oxbowyard import Dispatcher, Settings
from oxbowyard.decision import admission, affinity, load_estimate, outlier_detection, ranking, slow_start
from oxbowyard.decision.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
    SubscribeEndpoints,
)
from oxbowyard.decision.events import (
    AttemptEnded,
    AttemptStarted,
    ClientDisconnected,
    EndpointsChanged,
    Readiness,
    RequestReceived,
    Result,
    Scope,
    TimerFired,
    WorkerInfo,
)
from oxbowyard.decision.settings import JobClass, RetrySafety, Tenant

ROOT = Path(__file__).parent.parent
FREE = JobClass("free", latency_objective_ms=400, deadline_ms=5000, retry_safety=RetrySafety.IDEMPOTENT)
ONCE = JobClass("once", latency_objective_ms=600, deadline_ms=15000)
KEYED = JobClass(
    "keyed",
    latency_objective_ms=800,
    deadline_ms=10000,
    retry_safety=RetrySafety.DEDUPLICATED,
    dedup_scope="cell",
    dedup_window_ms=3000,
)
PINNED = JobClass("pinned", latency_objective_ms=400, deadline_ms=5000, kind="big")


def make_dispatcher(workers: int = 4, **overrides: object) -> Dispatcher:
    values: dict[str, object] = {
        "classes": (FREE, ONCE, KEYED, PINNED),
        "max_attempts": 4,
        "reports_starts": True,
        "may_cancel": True,
    }
    values.update(overrides)
    dispatcher = Dispatcher(Settings(**values), seed=1)  # type: ignore[arg-type]
    infos = tuple(WorkerInfo(f"w{i}", kind="std", cell=i % 2) for i in range(workers))
    dispatcher.handle(0.0, EndpointsChanged(Scope.RESTORED, infos))
    return dispatcher


def started_workers(actions: list[Action]) -> list[str]:
    return [a.worker for a in actions if isinstance(a, StartAttempt)]


def submit(
    dispatcher: Dispatcher,
    now: float,
    request_id: str,
    cls: str = "free",
    key: str = "k",
    remaining_ms: float = 5000,
) -> list[Action]:
    actions = dispatcher.handle(now, RequestReceived(request_id, cls, remaining_ms, key))
    return [a for a in actions if not isinstance(a, SetTimer)]


def test_key_has_the_same_home_worker_on_every_dispatcher() -> None:
    first, second = make_dispatcher(), make_dispatcher()
    home_worker = started_workers(submit(first, 1, "r1"))
    assert home_worker == started_workers(submit(second, 1, "x1"))
    first.handle(300, AttemptEnded("r1", 0, home_worker[0], Result.OK, 299, True))
    assert started_workers(submit(first, 301, "r2")) == home_worker


def test_full_home_worker_spills_to_other_workers() -> None:
    dispatcher = make_dispatcher()
    workers = {started_workers(submit(dispatcher, 1, f"r{i}"))[0] for i in range(12)}
    assert len(workers) > 1


def test_overloaded_key_widens_its_worker_set() -> None:
    dispatcher = make_dispatcher()
    for i in range(12):
        submit(dispatcher, 1, f"r{i}")
    assert dispatcher.state.keys[("k", None)].set_size > 1


@pytest.mark.parametrize(
    ("cls", "result", "is_retried"),
    [
        ("free", Result.ERROR, True),
        ("free", Result.RESET, True),
        ("free", Result.FULL, True),
        ("once", Result.ERROR, False),
        ("once", Result.RESET, False),
        ("once", Result.CANCELLED, False),
        ("once", Result.FULL, True),
        ("once", Result.UNREACHABLE, True),
        ("once", Result.NOT_SENT, True),
        ("unheard-of", Result.RESET, False),
        ("unheard-of", Result.FULL, True),
        ("keyed", Result.RESET, True),
        ("free", Result.TIMEOUT, False),
    ],
)
def test_retry_depends_on_retry_safety_and_attempt_result(cls: str, result: Result, is_retried: bool) -> None:
    dispatcher = make_dispatcher()
    (home_worker,) = started_workers(submit(dispatcher, 1, "r", cls))
    actions = dispatcher.handle(50, AttemptEnded("r", 0, home_worker, result, 49))
    assert bool(started_workers(actions)) is is_retried
    if not is_retried and cls != "free":
        assert actions == [FailRequest("r")]


def test_deduplicated_retry_stays_in_its_cell_and_dedup_window() -> None:
    dispatcher = make_dispatcher(6)
    (home_worker,) = started_workers(submit(dispatcher, 1, "r", "keyed"))
    (second_worker,) = started_workers(
        dispatcher.handle(50, AttemptEnded("r", 0, home_worker, Result.RESET, 49))
    )
    assert int(second_worker[1]) % 2 == int(home_worker[1]) % 2
    assert dispatcher.handle(3100, AttemptEnded("r", 1, second_worker, Result.RESET, 3050)) == [
        FailRequest("r")
    ]


@pytest.mark.parametrize("state", [Readiness.DRAINING, Readiness.GONE])
def test_draining_or_removed_worker_receives_no_new_requests(state: Readiness) -> None:
    dispatcher = make_dispatcher(2)
    (home_worker,) = started_workers(submit(dispatcher, 1, "r1"))
    dispatcher.handle(2, EndpointsChanged(Scope.CHANGES, (WorkerInfo(home_worker, state, kind="std"),)))
    for i in range(20):
        assert home_worker not in started_workers(submit(dispatcher, 3 + i, f"q{i}"))


def test_cold_worker_receives_no_more_than_its_warm_up_share() -> None:
    dispatcher = make_dispatcher(1, initial_capacity_share=0.1, ramp_ms=20000, scheduler_count=2)
    dispatcher.handle(
        9999, EndpointsChanged(Scope.CHANGES, (WorkerInfo("w0", kind="std", started_at_ms=10000),))
    )
    assert started_workers(submit(dispatcher, 10001, "r0")) == []
    sent = sum(len(started_workers(submit(dispatcher, 25000, f"r{i}"))) for i in range(1, 40))
    assert 0 < sent < 20


def test_request_without_a_worker_of_its_kind_is_rejected_before_its_deadline() -> None:
    dispatcher = make_dispatcher()
    assert started_workers(submit(dispatcher, 1, "r", "pinned")) == []
    actions = [a for t in range(63, 600, 63) for a in dispatcher.handle(t, TimerFired(0))]
    assert [a for a in actions if not isinstance(a, SetTimer)] == [RejectRequest("r", 0.0)]


def test_duplicate_and_unknown_events_are_ignored() -> None:
    dispatcher = make_dispatcher()
    (home_worker,) = started_workers(submit(dispatcher, 1, "r"))
    ok = AttemptEnded("r", 0, home_worker, Result.OK, 9, True)
    assert dispatcher.handle(10, ok) == [] and dispatcher.handle(10, ok) == []
    assert dispatcher.handle(11, AttemptEnded("never", 0, "w9", Result.RESET)) == []
    assert (
        dispatcher.handle(11, AttemptStarted("r", 0, home_worker)) == []
        and dispatcher.handle(11, ClientDisconnected("r")) == []
    )
    assert dispatcher.handle(11, TimerFired(99)) == []
    assert (
        not dispatcher.state.requests
        and dispatcher.state.in_flight == 0
        and all(w.in_flight == 0 and not w.unstarted for w in dispatcher.state.workers.values())
    )


def test_decision_modules_are_small_and_listed_in_the_deploy_file() -> None:
    """Each decision module has at most 250 lines that are not blank, and the deploy file lists its path."""
    modules = sorted((ROOT / "oxbowyard/decision").glob("*.py"))
    for path in modules:
        assert sum(bool(line.strip()) for line in path.read_text().splitlines()) <= 250, path
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    assert sorted(deploy["policy"]) == [str(path.relative_to(ROOT)) for path in modules]
    for path in ROOT.glob("oxbowyard/**/*.py"):
        assert max(map(len, path.read_text().splitlines())) <= 110


def test_readme_example_prints_the_documented_output(capsys: pytest.CaptureFixture[str]) -> None:
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert code
    exec(compile(code[1], "README.md", "exec"), {})
    assert capsys.readouterr().out.strip() == code[1].strip().rpartition("# ")[2]


def test_max_queue_wait_grows_with_priority_weight_per_service_time() -> None:
    """Guards against long jobs of low weight that fill the queues while short jobs of high weight miss their
    objective (simulator: port, overload day)."""
    high_weight = JobClass(
        "dear",
        latency_objective_ms=400,
        deadline_ms=5000,
        retry_safety=RetrySafety.IDEMPOTENT,
        priority_weight=5,
    )
    low_weight = JobClass("cheap", latency_objective_ms=400, deadline_ms=5000, priority_weight=1)
    dispatcher = make_dispatcher(classes=(high_weight, low_weight))
    dispatcher.state.service_times_ms.add("dear", 200.0)
    dispatcher.state.service_times_ms.add("cheap", 1000.0)
    assert (
        admission.max_queue_wait_ms(dispatcher.state, high_weight)
        > high_weight.latency_objective_ms * 0.5
        > admission.max_queue_wait_ms(dispatcher.state, low_weight)
    )


def test_rejection_within_quota_has_a_short_retry_after() -> None:
    """With the longest retry-after the repeated request came too late to meet its objective (i5cf0ae,
    i33aa80)."""
    dispatcher = make_dispatcher(1, max_retry_after_ms=2000)
    for i in range(30):
        submit(dispatcher, 1, f"r{i}", "once")
    dispatcher.state.workers["w0"].pool.mean_service_time_ms = 500.0
    (rejection,) = submit(dispatcher, 700, "late", "once")
    assert isinstance(rejection, RejectRequest) and 0 < rejection.retry_after_ms < 600


def test_worker_is_avoided_briefly_after_an_error() -> None:
    """Guards against workers that fail fast and therefore attract more work (i33aa80)."""
    dispatcher = make_dispatcher()
    (home_worker,) = started_workers(submit(dispatcher, 1, "r0"))
    dispatcher.handle(10, AttemptEnded("r0", 0, home_worker, Result.ERROR, 9))
    assert home_worker not in started_workers(submit(dispatcher, 20, "r1"))


def test_request_is_sent_although_all_workers_are_ejected() -> None:
    dispatcher = make_dispatcher(2)
    for i, name in enumerate(("w0", "w1")):
        outlier_detection.record_connection_failure(dispatcher.state, dispatcher.state.workers[name], 1.0, 1)
        assert dispatcher.state.workers[name].pool.ejected_count == i + 1
    assert started_workers(submit(dispatcher, 2, "r"))


def test_idempotent_job_that_does_not_start_moves_to_another_worker() -> None:
    """Guards against short lookups that wait behind long non-idempotent jobs (simulator:
    port, rough days)."""
    dispatcher = make_dispatcher()
    (home_worker,) = started_workers(submit(dispatcher, 1, "first", "once"))
    dispatcher.state.move_budget = 5.0
    submit(dispatcher, 2, "r", "free")
    actions = dispatcher.handle(400, TimerFired(0))
    assert CancelAttempt("r", 0) in actions and CancelAttempt("first", 0) not in actions
    assert home_worker not in started_workers(
        dispatcher.handle(405, AttemptEnded("r", 0, home_worker, Result.CANCELLED, 403))
    )


def test_failed_subscription_is_retried() -> None:
    dispatcher = make_dispatcher(must_subscribe=True)
    assert SubscribeEndpoints() in dispatcher.handle(1000, TimerFired(1))
    actions = dispatcher.handle(2000, EndpointsChanged(Scope.FAILED))
    assert any(isinstance(a, SetTimer) and a.tag == 1 for a in actions)


def test_tenant_over_its_quota_is_rejected_while_requests_queue() -> None:
    dispatcher = make_dispatcher(1, tenants=(Tenant("t", 2.0),), max_retry_after_ms=900)
    first_actions = [
        dispatcher.handle(1, RequestReceived(f"r{i}", "free", 5000, "k", "t"))[0] for i in range(20)
    ]
    assert isinstance(first_actions[0], StartAttempt) and first_actions[-1] == RejectRequest("r19", 900)


def test_worker_that_responds_after_failed_connects_is_presumed_cold() -> None:
    dispatcher = make_dispatcher(1, initial_capacity_share=0.1, ramp_ms=20000)
    worker = dispatcher.state.workers["w0"]
    submit(dispatcher, 1, "r")
    dispatcher.handle(5, AttemptEnded("r", 0, "w0", Result.UNREACHABLE, 4))
    assert worker.is_unreachable and slow_start.warmth(dispatcher.state, worker, 6) == 1
    outlier_detection.record_success(worker, 5000)
    assert slow_start.warmth(dispatcher.state, worker, 5001) < 0.2 and not worker.is_unreachable


def test_worker_removal_and_restart_keep_in_flight_counts_correct() -> None:
    dispatcher = make_dispatcher(2)
    (home_worker,) = started_workers(submit(dispatcher, 1, "r"))
    other = "w1" if home_worker == "w0" else "w0"
    dispatcher.handle(2, EndpointsChanged(Scope.FULL, (WorkerInfo(other, kind="std"),)))
    assert started_workers(submit(dispatcher, 3, "q")) == [other]
    dispatcher.handle(4, AttemptEnded("r", 0, home_worker, Result.OK, 3, True))
    dispatcher.handle(
        5, EndpointsChanged(Scope.CHANGES, (WorkerInfo(home_worker, kind="std", started_at_ms=4),))
    )
    assert (
        dispatcher.state.workers[home_worker].in_flight == 0
        and dispatcher.state.workers[home_worker].started_at_ms == 4
        and dispatcher.state.in_flight == 1
    )
    assert len(dispatcher.state.ready_workers) == 2


def test_request_without_remaining_time_is_rejected() -> None:
    assert submit(make_dispatcher(), 1, "r", remaining_ms=0) == [RejectRequest("r")]


def test_request_without_workers_is_queued_then_rejected_before_its_deadline() -> None:
    dispatcher = make_dispatcher(0)
    assert submit(dispatcher, 1, "r", "once", remaining_ms=200) == []
    actions = [a for t in (63, 126, 189) for a in dispatcher.handle(t, TimerFired(0))]
    assert RejectRequest("r") in actions


@pytest.mark.parametrize(
    ("field", "name"),
    [
        ("scheduler_count", "siblings"),
        ("max_attempts", "max_attempts"),
        ("initial_capacity_share", "cold_from"),
        ("overload_window_ms", "tip_after"),
        ("classes", "classes"),
    ],
)
def test_invalid_setting_is_named_in_the_error(field: str, name: str) -> None:
    values: dict[str, object] = {"classes": (FREE,), field: () if field == "classes" else 0}
    with pytest.raises(ValueError, match=name):
        Settings(**values)  # type: ignore[arg-type]


def test_worker_that_fails_one_class_still_receives_other_classes() -> None:
    """Half of the workers failed one class and served the others (simulator: port, class_fail days)."""
    dispatcher = make_dispatcher()
    (home_worker,) = started_workers(submit(dispatcher, 1, "r0"))
    dispatcher.handle(10, AttemptEnded("r0", 0, home_worker, Result.ERROR, 9))
    assert home_worker not in started_workers(submit(dispatcher, 20, "r1")) and started_workers(
        submit(dispatcher, 21, "r2", "keyed")
    ) == [home_worker]


def test_non_idempotent_job_avoids_a_failing_worker_until_other_jobs_succeed() -> None:
    """Errors seldom come alone: accessions were still sent to workers that failed previews (simulator:
    kushiro, fleet 3)."""
    dispatcher = make_dispatcher()
    (home_worker,) = started_workers(submit(dispatcher, 1, "r0", "keyed"))
    dispatcher.handle(10, AttemptEnded("r0", 0, home_worker, Result.ERROR, 9, True))
    assert home_worker not in started_workers(submit(dispatcher, 20, "r1", "once"))
    for i in range(12):
        (worker,) = started_workers(submit(dispatcher, 30 + i, f"p{i}"))
        dispatcher.handle(30.5 + i, AttemptEnded(f"p{i}", 0, worker, Result.OK, 0.5, True))
    assert started_workers(submit(dispatcher, 50, "r2", "once")) == [home_worker]


def test_stalled_worker_loses_rank_as_its_completions_become_overdue() -> None:
    """Jobs that start and never end produce no event: the missing completions have to show it (simulator:
    kushiro, wide 3: the worker was silent, then dead)."""
    dispatcher = make_dispatcher()
    now = 0.0
    home_worker = ""
    for i in range(5):
        now += 1000
        (home_worker,) = started_workers(submit(dispatcher, now, f"r{i}"))
        dispatcher.handle(now + 1, AttemptStarted(f"r{i}", 0, home_worker))
        dispatcher.handle(now + 500, AttemptEnded(f"r{i}", 0, home_worker, Result.OK, 499, True))
    worker = dispatcher.state.workers[home_worker]
    rank_before = ranking.rank(dispatcher.state, worker, FREE, now + 600)
    for i in range(3):
        (started_on,) = started_workers(submit(dispatcher, now + 700, f"s{i}"))
        assert started_on == home_worker
        dispatcher.handle(now + 701, AttemptStarted(f"s{i}", 0, home_worker))
    rank_at_first, rank_when_overdue = (
        ranking.rank(dispatcher.state, worker, FREE, now + 800),
        ranking.rank(dispatcher.state, worker, FREE, now + 4500),
    )
    assert rank_before < rank_at_first < rank_when_overdue - 1
    assert home_worker not in started_workers(submit(dispatcher, now + 4500, "t"))


def test_order_of_workers_for_a_key_does_not_depend_on_live_weights() -> None:
    """Guards against schedulers that place keys differently from the others because they have received the
    reduced weight of a loaded worker."""
    idle, busy = make_dispatcher(live_weights=True), make_dispatcher(live_weights=True)
    for dispatcher, weights in ((idle, (5.0, 5.0, 5.0, 5.0)), (busy, (2.5, 5.0, 3.0, 4.2))):
        infos = tuple(WorkerInfo(f"v{i}", kind="big", weight=w) for i, w in enumerate(weights))
        dispatcher.handle(1.0, EndpointsChanged(Scope.FULL, infos))
        for i in range(20):
            submit(dispatcher, 2, f"r{i}", key=f"k{i}")
    orders = [
        [
            [w.name for w in affinity.order_workers(dispatcher.state, k, None)]
            for k in dispatcher.state.keys.values()
        ]
        for dispatcher in (idle, busy)
    ]
    assert orders[0] == orders[1]


def test_class_that_fails_on_every_worker_is_still_sent() -> None:
    dispatcher = make_dispatcher()
    for i, worker in enumerate(list(dispatcher.state.workers.values())):
        submit(dispatcher, i + 1, f"r{i}")
        outlier_detection.record_class_failure(dispatcher.state, worker, FREE, 1.0, i + 1)
    assert started_workers(submit(dispatcher, 9, "again"))


def test_refused_connect_marks_worker_unreachable_but_slow_handshake_does_not() -> None:
    """Connects timed out in slow handshakes, and live workers were treated as dead (simulator: port,
    rough-2)."""
    dispatcher = make_dispatcher(2, ramp_ms=20000, initial_capacity_share=0.1)
    for name, elapsed_ms, is_refused in (("r1", 250.0, False), ("r2", 3.0, True)):
        (worker,) = started_workers(submit(dispatcher, 1, name, key=name))
        dispatcher.handle(260, AttemptEnded(name, 0, worker, Result.UNREACHABLE, elapsed_ms))
        assert dispatcher.state.workers[worker].is_unreachable is is_refused
        (
            dispatcher.state.workers[worker].is_unreachable,
            dispatcher.state.workers[worker].failure_count,
            dispatcher.state.workers[worker].ejected_until_ms,
        ) = False, 0.0, 0.0


def test_worker_with_open_connections_is_preferred_while_connects_are_slow() -> None:
    dispatcher = make_dispatcher()
    (home_worker,) = started_workers(submit(dispatcher, 1, "r0"))
    dispatcher.state.workers["w0"].pool.mean_service_time_ms = 500.0
    rank = ranking.rank(
        dispatcher.state, dispatcher.state.workers[home_worker], dispatcher.state.unknown_class, 2
    )
    dispatcher.state.connection_cost_ms = 400.0
    assert (
        ranking.rank(
            dispatcher.state, dispatcher.state.workers[home_worker], dispatcher.state.unknown_class, 2
        )
        > rank + 0.5
    )
    (
        dispatcher.state.workers[home_worker].open_connections,
        dispatcher.state.workers[home_worker].last_sent_at_ms,
    ) = 5, 2
    assert ranking.rank(
        dispatcher.state, dispatcher.state.workers[home_worker], dispatcher.state.unknown_class, 2
    ) == pytest.approx(rank, abs=0.2)


def test_hot_key_widens_its_worker_set_among_many_schedulers() -> None:
    """With 100 schedulers the own counts are 0 or 1, so no worker set was ever widened (simulator: vc,
    big-1)."""
    dispatcher = make_dispatcher(40, scheduler_count=100)
    for i in range(60):
        name = f"r{i}"
        (worker,) = started_workers(submit(dispatcher, i * 400, name, key="hot" if i % 3 == 0 else name))
        dispatcher.handle(i * 400 + 300, AttemptEnded(name, 0, worker, Result.OK, 300, True))
    assert (
        dispatcher.state.keys[("hot", None)].set_size > 5
        and dispatcher.state.keys[("r1", None)].set_size == 1
    )


def test_one_own_job_is_not_multiplied_by_the_scheduler_count() -> None:
    dispatcher = make_dispatcher(40, scheduler_count=100)
    dispatcher.state.mean_worker_in_flight, dispatcher.state.fleet_mean_weight = 0.03, 0.95
    worker = dispatcher.state.workers["w0"]
    worker.in_flight, worker.mean_in_flight.mean, worker.mean_in_flight.updated_at_ms = 1, 0.3, 10.0
    assert load_estimate.estimate_load(dispatcher.state, worker, 10) < 8  # not 1 + 99 * 0.3


def test_load_reports_estimate_the_load_from_peers_and_decay() -> None:
    dispatcher = make_dispatcher(2, scheduler_count=100)
    loaded, idle = dispatcher.state.workers["w0"], dispatcher.state.workers["w1"]
    loaded.pool.max_concurrency, loaded.pool.mean_reported_jobs, loaded.pool.mean_service_time_ms = (
        6,
        4.0,
        500.0,
    )
    loaded.reported_jobs, loaded.reported_at_ms, idle.reported_jobs, idle.reported_at_ms = (
        9.0,
        100.0,
        1.0,
        100.0,
    )
    assert (
        load_estimate.estimate_load(dispatcher.state, loaded, 100)
        > load_estimate.estimate_load(dispatcher.state, idle, 100) + 5
    )
    assert (
        load_estimate.estimate_load(dispatcher.state, loaded, 5000)
        - load_estimate.estimate_load(dispatcher.state, idle, 5000)
        < 0.1
    )


def test_endpoint_change_updates_cached_worker_orders() -> None:
    dispatcher = make_dispatcher(20)
    submit(dispatcher, 1, "r")
    key = dispatcher.state.keys[("k", None)]
    order_before = list(key.order.members)
    dispatcher.handle(2, EndpointsChanged(Scope.CHANGES, (WorkerInfo("new", kind="std"),)))
    assert [
        w for w in affinity.order_workers(dispatcher.state, key, None) if w.name != "new"
    ] == order_before and len(key.order.members) == 21
    assert key.order.positions == sorted(key.order.positions)


def test_faster_workers_become_home_of_more_keys() -> None:
    """Slow workers of the same size received the same share of the keys, and jobs queued there (i0b3f4b)."""
    dispatcher = make_dispatcher(0)
    infos = [WorkerInfo(f"s{i}", kind="slow", weight=6) for i in range(5)]
    infos += [WorkerInfo(f"f{i}", kind="fast", weight=6) for i in range(5)]
    dispatcher.handle(1, EndpointsChanged(Scope.FULL, tuple(infos)))
    (
        dispatcher.state.pools["slow"].hashed_service_time_ratio,
        dispatcher.state.pools["fast"].hashed_service_time_ratio,
    ) = (1.5, 0.75)
    homes = []
    for i in range(400):
        submit(dispatcher, 2, f"r{i}", key=f"k{i}")
        homes.append(dispatcher.state.keys[(f"k{i}", None)].order.members[0].kind)
    assert 0.55 < homes.count("fast") / 400 < 0.78


def test_request_with_too_little_time_to_queue_is_rejected_at_once() -> None:
    """Such a request was queued past its deadline, which violates rule 1 (i14098a)."""
    assert submit(make_dispatcher(0), 1, "r", "once", remaining_ms=50) == [RejectRequest("r", 0.0)]


def test_request_before_the_first_endpoint_list_subscribes_and_is_rejected_in_time() -> None:
    dispatcher = Dispatcher(Settings((FREE,), must_subscribe=True), seed=1)
    timers = [
        a for a in dispatcher.handle(1, RequestReceived("r", "free", 300, "k")) if isinstance(a, SetTimer)
    ]
    assert {t.tag for t in timers} == {0, 1}
    assert RejectRequest("r", 0.0) in [
        a for t in range(60, 300, 60) for a in dispatcher.handle(t, TimerFired(0))
    ]


def test_one_off_keys_do_not_evict_a_busy_key(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against evicting the oldest key however busy it is, which splits its counts in two."""
    monkeypatch.setattr("oxbowyard.decision.affinity.MAX_KEYS", 8)
    dispatcher = make_dispatcher()
    submit(dispatcher, 1, "r", key="busy")
    busy = dispatcher.state.keys[("busy", None)]
    for i in range(30):
        submit(dispatcher, 2 + i, f"r{i}", key=f"one-off{i}")
        submit(dispatcher, 2 + i, f"b{i}", key="busy")
    assert dispatcher.state.keys[("busy", None)] is busy and len(dispatcher.state.keys) <= 8


def test_worker_info_with_zero_weight_raises_value_error() -> None:
    with pytest.raises(ValueError, match="weight"):
        WorkerInfo("w", weight=0.0)


def test_single_reset_does_not_eject_a_worker_with_other_open_connections() -> None:
    """Single resets ejected workers that went on working (simulator: kushiro, wide+reset+stale)."""
    for other_requests, is_ejected in ((1, False), (0, True)):
        dispatcher = make_dispatcher()
        (home_worker,) = started_workers(submit(dispatcher, 1, "r0"))
        for i in range(other_requests):
            assert started_workers(submit(dispatcher, 2, f"o{i}")) == [home_worker]
        dispatcher.handle(10, AttemptEnded("r0", 0, home_worker, Result.RESET, 9, True))
        assert (dispatcher.state.workers[home_worker].failure_count >= 1) is is_ejected
        if other_requests:  # the process did die: its other connections are reset as well
            dispatcher.handle(10, AttemptEnded("o0", 0, home_worker, Result.RESET, 8, True))
            assert dispatcher.state.workers[home_worker].failure_count >= 1


@pytest.mark.parametrize("max_retry_after_ms", [0.0, 50.0, 2000.0])
def test_retry_after_of_a_rejection_is_limited_by_max_retry_after(max_retry_after_ms: float) -> None:
    dispatcher = make_dispatcher(1, max_retry_after_ms=max_retry_after_ms, max_attempts=1)
    (home_worker,) = started_workers(submit(dispatcher, 1, "r"))
    (rejection,) = [
        a
        for a in dispatcher.handle(9, AttemptEnded("r", 0, home_worker, Result.ERROR, 8))
        if isinstance(a, RejectRequest)
    ]
    # 200 ms is half of the objective: the longest queue wait of such a job.
    assert rejection.retry_after_ms == min(max_retry_after_ms, 200.0)


def test_job_without_a_key_goes_to_the_lowest_ranked_worker() -> None:
    """All jobs without a key shared one key and so one home worker: two to four waited there while other
    workers were idle."""
    dispatcher = make_dispatcher()
    decisions = [dispatcher.handle(1, RequestReceived(f"r{i}", "free", 5000.0)) for i in range(8)]
    assert sorted(w for actions in decisions for w in started_workers(actions)) == sorted(
        ["w0", "w1", "w2", "w3"] * 2
    )
    assert len({started_workers(submit(dispatcher, 2, f"k{i}"))[0] for i in range(3)}) == 1, (
        "a key keeps its home worker"
    )


def test_max_queue_wait_includes_the_objective_stretch() -> None:
    """With the objective of 80 ms alone, a job of 200 ms was rejected for a wait of 40 ms, although it would
    have met its stretched objective."""
    stretched = JobClass(
        "short",
        latency_objective_ms=80,
        deadline_ms=5000,
        retry_safety=RetrySafety.IDEMPOTENT,
        objective_stretch=2.0,
    )
    flat = JobClass("flat", latency_objective_ms=80, deadline_ms=5000, retry_safety=RetrySafety.IDEMPOTENT)
    max_wait_ms = {}
    for cls in (stretched, flat):
        dispatcher = make_dispatcher(classes=(cls,))
        dispatcher.state.service_times_ms.add(cls.name, 200.0)
        max_wait_ms[cls.name] = admission.max_queue_wait_ms(dispatcher.state, cls)
    assert max_wait_ms == {"short": 140.0, "flat": 40.0}

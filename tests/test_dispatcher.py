"""The decisions, one rule or step at a time."""

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


def make(workers: int = 4, **more: object) -> Dispatcher:
    values: dict[str, object] = {
        "classes": (FREE, ONCE, KEYED, PINNED),
        "max_attempts": 4,
        "reports_starts": True,
        "may_cancel": True,
    }
    values.update(more)
    d = Dispatcher(Settings(**values), seed=1)  # type: ignore[arg-type]
    infos = tuple(WorkerInfo(f"w{i}", kind="std", cell=i % 2) for i in range(workers))
    d.handle(0.0, EndpointsChanged(Scope.RESTORED, infos))
    return d


def sends(actions: list[Action]) -> list[str]:
    return [a.worker for a in actions if isinstance(a, StartAttempt)]


def ask(
    d: Dispatcher, now: float, name: str, cls: str = "free", key: str = "k", left: float = 5000
) -> list[Action]:
    actions = d.handle(now, RequestReceived(name, cls, left, key))
    return [a for a in actions if not isinstance(a, SetTimer)]


def test_a_key_keeps_to_one_worker_and_all_dispatchers_agree() -> None:
    a, b = make(), make()
    home = sends(ask(a, 1, "r1"))
    assert home == sends(ask(b, 1, "x1"))
    a.handle(300, AttemptEnded("r1", 0, home[0], Result.OK, 299, True))
    assert sends(ask(a, 301, "r2")) == home


def test_a_full_home_spills_to_where_the_job_runs_at_once() -> None:
    d = make()
    seen = {sends(ask(d, 1, f"r{i}"))[0] for i in range(12)}
    assert len(seen) > 1


def test_an_overloaded_key_widens_its_set() -> None:
    d = make()
    for i in range(12):
        ask(d, 1, f"r{i}")
    assert d.state.keys[("k", None)].set_size > 1


@pytest.mark.parametrize(
    ("cls", "result", "again"),
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
def test_what_may_go_out_again(cls: str, result: Result, again: bool) -> None:
    d = make()
    (home,) = sends(ask(d, 1, "r", cls))
    actions = d.handle(50, AttemptEnded("r", 0, home, result, 49))
    assert bool(sends(actions)) is again
    if not again and cls != "free":
        assert actions == [FailRequest("r")]


def test_a_keyed_repeat_stays_in_its_cell_and_within_memory() -> None:
    d = make(6)
    (home,) = sends(ask(d, 1, "r", "keyed"))
    (other,) = sends(d.handle(50, AttemptEnded("r", 0, home, Result.RESET, 49)))
    assert int(other[1]) % 2 == int(home[1]) % 2
    assert d.handle(3100, AttemptEnded("r", 1, other, Result.RESET, 3050)) == [FailRequest("r")]


@pytest.mark.parametrize("state", [Readiness.DRAINING, Readiness.GONE])
def test_nothing_new_to_a_worker_that_drains(state: Readiness) -> None:
    d = make(2)
    (home,) = sends(ask(d, 1, "r1"))
    d.handle(2, EndpointsChanged(Scope.CHANGES, (WorkerInfo(home, state, kind="std"),)))
    for i in range(20):
        assert home not in sends(ask(d, 3 + i, f"q{i}"))


def test_a_cold_worker_gets_no_more_than_its_part() -> None:
    d = make(1, initial_capacity_share=0.1, ramp_ms=20000, scheduler_count=2)
    d.handle(9999, EndpointsChanged(Scope.CHANGES, (WorkerInfo("w0", kind="std", started_at_ms=10000),)))
    assert sends(ask(d, 10001, "r0")) == []
    sent = sum(len(sends(ask(d, 25000, f"r{i}"))) for i in range(1, 40))
    assert 0 < sent < 20


def test_no_worker_of_the_kind_is_refused_in_time() -> None:
    d = make()
    assert sends(ask(d, 1, "r", "pinned")) == []
    actions = [a for t in range(63, 600, 63) for a in d.handle(t, TimerFired(0))]
    assert [a for a in actions if not isinstance(a, SetTimer)] == [RejectRequest("r", 0.0)]


def test_strange_events_are_ignored() -> None:
    d = make()
    (home,) = sends(ask(d, 1, "r"))
    ok = AttemptEnded("r", 0, home, Result.OK, 9, True)
    assert d.handle(10, ok) == [] and d.handle(10, ok) == []
    assert d.handle(11, AttemptEnded("never", 0, "w9", Result.RESET)) == []
    assert d.handle(11, AttemptStarted("r", 0, home)) == [] and d.handle(11, ClientDisconnected("r")) == []
    assert d.handle(11, TimerFired(99)) == []
    assert (
        not d.state.requests
        and d.state.in_flight == 0
        and all(w.in_flight == 0 and not w.unstarted for w in d.state.workers.values())
    )


def test_the_modules_keep_to_their_size() -> None:
    """No module of the decisions is large, and the deploy file lists each of them by its path."""
    modules = sorted((ROOT / "oxbowyard/decision").glob("*.py"))
    for path in modules:
        assert sum(bool(line.strip()) for line in path.read_text().splitlines()) <= 250, path
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    assert sorted(deploy["policy"]) == [str(path.relative_to(ROOT)) for path in modules]
    for path in ROOT.glob("oxbowyard/**/*.py"):
        assert max(map(len, path.read_text().splitlines())) <= 110


def test_the_readme_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert code
    exec(compile(code[1], "README.md", "exec"), {})
    assert capsys.readouterr().out.strip() == code[1].strip().rpartition("# ")[2]


def test_waits_are_weighed_by_worth() -> None:
    """Long, cheap work filled the queues and dear, short work missed its aim (port's overload day)."""
    dear = JobClass(
        "dear",
        latency_objective_ms=400,
        deadline_ms=5000,
        retry_safety=RetrySafety.IDEMPOTENT,
        priority_weight=5,
    )
    cheap = JobClass("cheap", latency_objective_ms=400, deadline_ms=5000, priority_weight=1)
    d = make(classes=(dear, cheap))
    d.state.service_times_ms.add("dear", 200.0)
    d.state.service_times_ms.add("cheap", 1000.0)
    assert (
        admission.max_queue_wait_ms(d.state, dear)
        > dear.latency_objective_ms * 0.5
        > admission.max_queue_wait_ms(d.state, cheap)
    )


def test_refused_work_within_its_quota_is_asked_back_soon() -> None:
    """Asked back after the longest back-off it came too late to be in time (i5cf0ae, i33aa80)."""
    d = make(1, max_retry_after_ms=2000)
    for i in range(30):
        ask(d, 1, f"r{i}", "once")
    d.state.workers["w0"].pool.mean_service_time_ms = 500.0
    (refusal,) = ask(d, 700, "late", "once")
    assert isinstance(refusal, RejectRequest) and 0 < refusal.retry_after_ms < 600


def test_a_worker_that_errs_is_left_alone_for_a_moment() -> None:
    """Workers that failed fast drew work (i33aa80)."""
    d = make()
    (home,) = sends(ask(d, 1, "r0"))
    d.handle(10, AttemptEnded("r0", 0, home, Result.ERROR, 9))
    assert home not in sends(ask(d, 20, "r1"))


def test_if_most_look_sick_the_dispatcher_doubts_itself() -> None:
    d = make(2)
    for i, w in enumerate(("w0", "w1")):
        outlier_detection.record_connection_failure(d.state, d.state.workers[w], 1.0, 1)
        assert d.state.workers[w].pool.ejected_count == i + 1
    assert sends(ask(d, 2, "r"))


def test_a_free_job_that_does_not_start_moves() -> None:
    """Lookups stood behind long jobs that must not run twice (port's rough days)."""
    d = make()
    (home,) = sends(ask(d, 1, "first", "once"))
    d.state.move_budget = 5.0
    ask(d, 2, "r", "free")
    actions = d.handle(400, TimerFired(0))
    assert CancelAttempt("r", 0) in actions and CancelAttempt("first", 0) not in actions
    assert home not in sends(d.handle(405, AttemptEnded("r", 0, home, Result.CANCELLED, 403)))


def test_a_failed_subscription_is_asked_for_again() -> None:
    d = make(must_subscribe=True)
    assert SubscribeEndpoints() in d.handle(1000, TimerFired(1))
    again = d.handle(2000, EndpointsChanged(Scope.FAILED))
    assert any(isinstance(a, SetTimer) and a.tag == 1 for a in again)


def test_tenants_keep_to_their_quota_where_there_is_a_queue() -> None:
    d = make(1, tenants=(Tenant("t", 2.0),), max_retry_after_ms=900)
    got = [d.handle(1, RequestReceived(f"r{i}", "free", 5000, "k", "t"))[0] for i in range(20)]
    assert isinstance(got[0], StartAttempt) and got[-1] == RejectRequest("r19", 900)


def test_a_worker_back_after_failed_connects_is_presumed_cold() -> None:
    d = make(1, initial_capacity_share=0.1, ramp_ms=20000)
    w = d.state.workers["w0"]
    ask(d, 1, "r")
    d.handle(5, AttemptEnded("r", 0, "w0", Result.UNREACHABLE, 4))
    assert w.is_unreachable and slow_start.warmth(d.state, w, 6) == 1
    outlier_detection.record_success(w, 5000)
    assert slow_start.warmth(d.state, w, 5001) < 0.2 and not w.is_unreachable


def test_restarts_and_removals_keep_the_counts_right() -> None:
    d = make(2)
    (home,) = sends(ask(d, 1, "r"))
    other = "w1" if home == "w0" else "w0"
    d.handle(2, EndpointsChanged(Scope.FULL, (WorkerInfo(other, kind="std"),)))
    assert sends(ask(d, 3, "q")) == [other]
    d.handle(4, AttemptEnded("r", 0, home, Result.OK, 3, True))
    d.handle(5, EndpointsChanged(Scope.CHANGES, (WorkerInfo(home, kind="std", started_at_ms=4),)))
    assert (
        d.state.workers[home].in_flight == 0
        and d.state.workers[home].started_at_ms == 4
        and d.state.in_flight == 1
    )
    assert len(d.state.ready_workers) == 2


def test_a_request_whose_time_is_up_is_refused() -> None:
    assert ask(make(), 1, "r", left=0) == [RejectRequest("r")]


def test_an_empty_list_holds_then_refuses_before_the_client_leaves() -> None:
    d = make(0)
    assert ask(d, 1, "r", "once", left=200) == []
    actions = [a for t in (63, 126, 189) for a in d.handle(t, TimerFired(0))]
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
def test_an_impossible_setting_is_named(field: str, name: str) -> None:
    values: dict[str, object] = {"classes": (FREE,), field: () if field == "classes" else 0}
    with pytest.raises(ValueError, match=name):
        Settings(**values)  # type: ignore[arg-type]


def test_a_class_that_a_worker_fails_is_kept_off_it_and_others_are_served() -> None:
    """Half the workers failed one class and served the rest (port's class_fail days)."""
    d = make()
    (home,) = sends(ask(d, 1, "r0"))
    d.handle(10, AttemptEnded("r0", 0, home, Result.ERROR, 9))
    assert home not in sends(ask(d, 20, "r1")) and sends(ask(d, 21, "r2", "keyed")) == [home]


def test_what_must_not_run_twice_keeps_off_a_worker_that_failed_until_others_ended_well() -> None:
    """One error is seldom alone: accessions went on to workers that failed previews (kushiro, fleet 3)."""
    d = make()
    (home,) = sends(ask(d, 1, "r0", "keyed"))
    d.handle(10, AttemptEnded("r0", 0, home, Result.ERROR, 9, True))
    assert home not in sends(ask(d, 20, "r1", "once"))
    for i in range(12):
        (at,) = sends(ask(d, 30 + i, f"p{i}"))
        d.handle(30.5 + i, AttemptEnded(f"p{i}", 0, at, Result.OK, 0.5, True))
    assert sends(ask(d, 50, "r2", "once")) == [home]


def test_a_worker_that_stands_still_is_noticed_by_what_it_owes() -> None:
    """Started jobs that never end tell nothing by themselves (kushiro, wide 3: silent, then dead)."""
    d = make()
    now = 0.0
    home = ""
    for i in range(5):
        now += 1000
        (home,) = sends(ask(d, now, f"r{i}"))
        d.handle(now + 1, AttemptStarted(f"r{i}", 0, home))
        d.handle(now + 500, AttemptEnded(f"r{i}", 0, home, Result.OK, 499, True))
    worker = d.state.workers[home]
    usual = ranking.rank(d.state, worker, FREE, now + 600)
    for i in range(3):
        (at,) = sends(ask(d, now + 700, f"s{i}"))
        assert at == home
        d.handle(now + 701, AttemptStarted(f"s{i}", 0, home))
    soon, late = (
        ranking.rank(d.state, worker, FREE, now + 800),
        ranking.rank(d.state, worker, FREE, now + 4500),
    )
    assert usual < soon < late - 1
    assert home not in sends(ask(d, now + 4500, "t"))


def test_a_key_keeps_its_worker_while_live_weights_change() -> None:
    """Schedulers that were told of a worker under load placed the keys unlike the others."""
    idle, busy = make(live_weights=True), make(live_weights=True)
    for d, weights in ((idle, (5.0, 5.0, 5.0, 5.0)), (busy, (2.5, 5.0, 3.0, 4.2))):
        infos = tuple(WorkerInfo(f"v{i}", kind="big", weight=w) for i, w in enumerate(weights))
        d.handle(1.0, EndpointsChanged(Scope.FULL, infos))
        for i in range(20):
            ask(d, 2, f"r{i}", key=f"k{i}")
    orders = [
        [[w.name for w in affinity.order_workers(d.state, k, None)] for k in d.state.keys.values()]
        for d in (idle, busy)
    ]
    assert orders[0] == orders[1]


def test_a_class_that_fails_everywhere_is_still_tried() -> None:
    d = make()
    for i, w in enumerate(list(d.state.workers.values())):
        ask(d, i + 1, f"r{i}")
        outlier_detection.record_class_failure(d.state, w, FREE, 1.0, i + 1)
    assert sends(ask(d, 9, "again"))


def test_slow_handshakes_make_no_worker_cold_but_turned_down_connects_do() -> None:
    """Connects timed out while handshakes were slow; live workers were taken for dead (port's rough-2)."""
    d = make(2, ramp_ms=20000, initial_capacity_share=0.1)
    for name, took, dead in (("r1", 250.0, False), ("r2", 3.0, True)):
        (w,) = sends(ask(d, 1, name, key=name))
        d.handle(260, AttemptEnded(name, 0, w, Result.UNREACHABLE, took))
        assert d.state.workers[w].is_unreachable is dead
        (
            d.state.workers[w].is_unreachable,
            d.state.workers[w].failure_count,
            d.state.workers[w].ejected_until_ms,
        ) = False, 0.0, 0.0


def test_open_connections_are_preferred_while_new_ones_are_dear() -> None:
    d = make()
    (home,) = sends(ask(d, 1, "r0"))
    d.state.workers["w0"].pool.mean_service_time_ms = 500.0
    rank = ranking.rank(d.state, d.state.workers[home], d.state.unknown_class, 2)
    d.state.connection_cost_ms = 400.0
    assert ranking.rank(d.state, d.state.workers[home], d.state.unknown_class, 2) > rank + 0.5
    d.state.workers[home].open_connections, d.state.workers[home].last_sent_at_ms = 5, 2
    assert ranking.rank(d.state, d.state.workers[home], d.state.unknown_class, 2) == pytest.approx(
        rank, abs=0.2
    )


def test_a_hot_key_widens_where_own_counts_say_nothing() -> None:
    """With a hundred siblings own counts are 0 or 1 and no set ever widened (vc's big-1)."""
    d = make(40, scheduler_count=100)
    for i in range(60):
        name = f"r{i}"
        (w,) = sends(ask(d, i * 400, name, key="hot" if i % 3 == 0 else name))
        d.handle(i * 400 + 300, AttemptEnded(name, 0, w, Result.OK, 300, True))
    assert d.state.keys[("hot", None)].set_size > 5 and d.state.keys[("r1", None)].set_size == 1


def test_one_own_job_does_not_stand_for_a_hundred() -> None:
    d = make(40, scheduler_count=100)
    d.state.mean_worker_in_flight, d.state.fleet_mean_weight = 0.03, 0.95
    w = d.state.workers["w0"]
    w.in_flight, w.mean_in_flight.mean, w.mean_in_flight.updated_at_ms = 1, 0.3, 10.0
    assert load_estimate.estimate_load(d.state, w, 10) < 8  # not 1 + 99 * 0.3


def test_reports_stand_for_the_peers_part_and_fade() -> None:
    d = make(2, scheduler_count=100)
    a, b = d.state.workers["w0"], d.state.workers["w1"]
    a.pool.max_concurrency, a.pool.mean_reported_jobs, a.pool.mean_service_time_ms = 6, 4.0, 500.0
    a.reported_jobs, a.reported_at_ms, b.reported_jobs, b.reported_at_ms = 9.0, 100.0, 1.0, 100.0
    assert load_estimate.estimate_load(d.state, a, 100) > load_estimate.estimate_load(d.state, b, 100) + 5
    assert load_estimate.estimate_load(d.state, a, 5000) - load_estimate.estimate_load(d.state, b, 5000) < 0.1


def test_a_list_change_patches_the_orders() -> None:
    d = make(20)
    ask(d, 1, "r")
    key = d.state.keys[("k", None)]
    before = list(key.order.members)
    d.handle(2, EndpointsChanged(Scope.CHANGES, (WorkerInfo("new", kind="std"),)))
    assert [w for w in affinity.order_workers(d.state, key, None) if w.name != "new"] == before and len(
        key.order.members
    ) == 21
    assert key.order.positions == sorted(key.order.positions)


def test_larger_and_faster_workers_get_more_keys() -> None:
    """Slow nodes of the same size got the same share and queued (i0b3f4b)."""
    d = make(0)
    infos = [WorkerInfo(f"s{i}", kind="slow", weight=6) for i in range(5)]
    infos += [WorkerInfo(f"f{i}", kind="fast", weight=6) for i in range(5)]
    d.handle(1, EndpointsChanged(Scope.FULL, tuple(infos)))
    d.state.pools["slow"].hashed_service_time_ratio, d.state.pools["fast"].hashed_service_time_ratio = (
        1.5,
        0.75,
    )
    homes = []
    for i in range(400):
        ask(d, 2, f"r{i}", key=f"k{i}")
        homes.append(d.state.keys[(f"k{i}", None)].order.members[0].kind)
    assert 0.55 < homes.count("fast") / 400 < 0.78


def test_a_request_too_short_to_be_held_is_answered_at_once() -> None:
    """It was held past its end: rule 1 (i14098a)."""
    assert ask(make(0), 1, "r", "once", left=50) == [RejectRequest("r", 0.0)]


def test_a_request_before_any_list_is_answered_and_the_list_asked_for() -> None:
    d = Dispatcher(Settings((FREE,), must_subscribe=True), seed=1)
    timers = [a for a in d.handle(1, RequestReceived("r", "free", 300, "k")) if isinstance(a, SetTimer)]
    assert {t.tag for t in timers} == {0, 1}
    assert RejectRequest("r", 0.0) in [a for t in range(60, 300, 60) for a in d.handle(t, TimerFired(0))]


def test_one_off_keys_do_not_push_out_a_busy_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """The oldest key went first, however busy: its counts split in two."""
    monkeypatch.setattr("oxbowyard.decision.affinity.MAX_KEYS", 8)
    d = make()
    ask(d, 1, "r", key="busy")
    busy = d.state.keys[("busy", None)]
    for i in range(30):
        ask(d, 2 + i, f"r{i}", key=f"one-off{i}")
        ask(d, 2 + i, f"b{i}", key="busy")
    assert d.state.keys[("busy", None)] is busy and len(d.state.keys) <= 8


def test_a_worker_without_size_is_refused() -> None:
    with pytest.raises(ValueError, match="weight"):
        WorkerInfo("w", weight=0.0)


def test_one_reset_among_connections_that_hold_bars_no_worker() -> None:
    """Single resets barred workers that went on working (kushiro, wide+reset+stale)."""
    for others, barred in ((1, False), (0, True)):
        d = make()
        (home,) = sends(ask(d, 1, "r0"))
        for i in range(others):
            assert sends(ask(d, 2, f"o{i}")) == [home]
        d.handle(10, AttemptEnded("r0", 0, home, Result.RESET, 9, True))
        assert (d.state.workers[home].failure_count >= 1) is barred
        if others:  # the process died after all: its other connections tell
            d.handle(10, AttemptEnded("o0", 0, home, Result.RESET, 8, True))
            assert d.state.workers[home].failure_count >= 1


@pytest.mark.parametrize("most", [0.0, 50.0, 2000.0])
def test_a_refusal_says_when_to_come_back_as_far_as_clients_heed_it(most: float) -> None:
    d = make(1, max_retry_after_ms=most, max_attempts=1)
    (home,) = sends(ask(d, 1, "r"))
    (refusal,) = [
        a for a in d.handle(9, AttemptEnded("r", 0, home, Result.ERROR, 8)) if isinstance(a, RejectRequest)
    ]
    assert refusal.retry_after_ms == min(most, 200.0)  # half the aim, as long as such a job may wait


def test_a_job_that_needs_no_data_goes_where_it_ranks_lowest() -> None:
    """All such jobs once shared one key and so one home: two to four waited there while others were idle."""
    d = make()
    asked = [d.handle(1, RequestReceived(f"r{i}", "free", 5000.0)) for i in range(8)]
    assert sorted(w for actions in asked for w in sends(actions)) == sorted(["w0", "w1", "w2", "w3"] * 2)
    assert len({sends(ask(d, 2, f"k{i}"))[0] for i in range(3)}) == 1, "a key keeps its home"


def test_a_class_whose_aim_grows_with_its_work_may_wait_for_that_too() -> None:
    """By an aim of 80 ms alone a job of 200 ms was refused for a wait of 40 ms, with which it is in time."""
    short = JobClass(
        "short",
        latency_objective_ms=80,
        deadline_ms=5000,
        retry_safety=RetrySafety.IDEMPOTENT,
        objective_stretch=2.0,
    )
    flat = JobClass("flat", latency_objective_ms=80, deadline_ms=5000, retry_safety=RetrySafety.IDEMPOTENT)
    patience = {}
    for cls in (short, flat):
        d = make(classes=(cls,))
        d.state.service_times_ms.add(cls.name, 200.0)
        patience[cls.name] = admission.max_queue_wait_ms(d.state, cls)
    assert patience == {"short": 140.0, "flat": 40.0}

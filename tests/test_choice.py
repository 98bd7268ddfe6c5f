"""The decisions, one rule or step at a time."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from oxbowyard import Dispatcher, Settings
from oxbowyard.decision import interface as fw

ROOT = Path(__file__).parent.parent
FREE = fw.JobClass("free", aim=400, deadline=5000, repeat=fw.Repeat.FREE)
ONCE = fw.JobClass("once", aim=600, deadline=15000)
KEYED = fw.JobClass("keyed", aim=800, deadline=10000, repeat=fw.Repeat.GUARDED, group="cell", memory=3000)
PINNED = fw.JobClass("pinned", aim=400, deadline=5000, kind="big")


def make(workers: int = 4, **more: object) -> Dispatcher:
    values: dict[str, object] = {
        "classes": (FREE, ONCE, KEYED, PINNED),
        "max_attempts": 4,
        "tells_start": True,
        "may_cancel": True,
    }
    values.update(more)
    d = Dispatcher(Settings(**values), seed=1)  # type: ignore[arg-type]
    infos = tuple(fw.WorkerInfo(f"w{i}", kind="std", cell=i % 2) for i in range(workers))
    d.handle(0.0, fw.WorkerList(fw.Scope.RESTORED, infos))
    return d


def sends(actions: list[fw.Action]) -> list[str]:
    return [a.worker for a in actions if isinstance(a, fw.Send)]


def ask(
    d: Dispatcher, now: float, name: str, cls: str = "free", key: str = "k", left: float = 5000
) -> list[fw.Action]:
    actions = d.handle(now, fw.Request(name, cls, left, key))
    return [a for a in actions if not isinstance(a, fw.SetTimer)]


def test_a_key_keeps_to_one_worker_and_all_dispatchers_agree() -> None:
    a, b = make(), make()
    home = sends(ask(a, 1, "r1"))
    assert home == sends(ask(b, 1, "x1"))
    a.handle(300, fw.Outcome("r1", 0, home[0], fw.Result.OK, 299, True))
    assert sends(ask(a, 301, "r2")) == home


def test_a_full_home_spills_to_where_the_job_runs_at_once() -> None:
    d = make()
    seen = {sends(ask(d, 1, f"r{i}"))[0] for i in range(12)}
    assert len(seen) > 1


def test_an_overloaded_key_widens_its_set() -> None:
    d = make()
    for i in range(12):
        ask(d, 1, f"r{i}")
    assert d.keys[("k", None)].size > 1


@pytest.mark.parametrize(
    ("cls", "result", "again"),
    [
        ("free", fw.Result.ERROR, True),
        ("free", fw.Result.RESET, True),
        ("free", fw.Result.FULL, True),
        ("once", fw.Result.ERROR, False),
        ("once", fw.Result.RESET, False),
        ("once", fw.Result.CANCELLED, False),
        ("once", fw.Result.FULL, True),
        ("once", fw.Result.UNREACHABLE, True),
        ("once", fw.Result.NOT_SENT, True),
        ("unheard-of", fw.Result.RESET, False),
        ("unheard-of", fw.Result.FULL, True),
        ("keyed", fw.Result.RESET, True),
        ("free", fw.Result.TIMEOUT, False),
    ],
)
def test_what_may_go_out_again(cls: str, result: fw.Result, again: bool) -> None:
    d = make()
    (home,) = sends(ask(d, 1, "r", cls))
    actions = d.handle(50, fw.Outcome("r", 0, home, result, 49))
    assert bool(sends(actions)) is again
    if not again and cls != "free":
        assert actions == [fw.Fail("r")]


def test_a_keyed_repeat_stays_in_its_cell_and_within_memory() -> None:
    d = make(6)
    (home,) = sends(ask(d, 1, "r", "keyed"))
    (other,) = sends(d.handle(50, fw.Outcome("r", 0, home, fw.Result.RESET, 49)))
    assert int(other[1]) % 2 == int(home[1]) % 2
    assert d.handle(3100, fw.Outcome("r", 1, other, fw.Result.RESET, 3050)) == [fw.Fail("r")]


@pytest.mark.parametrize("state", [fw.Readiness.DRAINING, fw.Readiness.GONE])
def test_nothing_new_to_a_worker_that_drains(state: fw.Readiness) -> None:
    d = make(2)
    (home,) = sends(ask(d, 1, "r1"))
    d.handle(2, fw.WorkerList(fw.Scope.CHANGES, (fw.WorkerInfo(home, state, kind="std"),)))
    for i in range(20):
        assert home not in sends(ask(d, 3 + i, f"q{i}"))


def test_a_cold_worker_gets_no_more_than_its_part() -> None:
    d = make(1, cold_from=0.1, ramp=20000, siblings=2)
    d.handle(9999, fw.WorkerList(fw.Scope.CHANGES, (fw.WorkerInfo("w0", kind="std", online_since=10000),)))
    assert sends(ask(d, 10001, "r0")) == []
    sent = sum(len(sends(ask(d, 25000, f"r{i}"))) for i in range(1, 40))
    assert 0 < sent < 20


def test_no_worker_of_the_kind_is_refused_in_time() -> None:
    d = make()
    assert sends(ask(d, 1, "r", "pinned")) == []
    actions = [a for t in range(63, 600, 63) for a in d.handle(t, fw.TimerDue(0))]
    assert [a for a in actions if not isinstance(a, fw.SetTimer)] == [fw.Refuse("r", 0.0)]


def test_strange_events_are_ignored() -> None:
    d = make()
    (home,) = sends(ask(d, 1, "r"))
    ok = fw.Outcome("r", 0, home, fw.Result.OK, 9, True)
    assert d.handle(10, ok) == [] and d.handle(10, ok) == []
    assert d.handle(11, fw.Outcome("never", 0, "w9", fw.Result.RESET)) == []
    assert d.handle(11, fw.Started("r", 0, home)) == [] and d.handle(11, fw.ClientGone("r")) == []
    assert d.handle(11, fw.TimerDue(99)) == []
    assert not d.jobs and d.total == 0 and all(w.count == 0 and not w.waiting for w in d.workers.values())


def test_the_module_keeps_to_its_size() -> None:
    lines = (ROOT / "oxbowyard/decision/choice.py").read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 800
    for path in ROOT.glob("oxbowyard/**/*.py"):
        assert max(map(len, path.read_text().splitlines())) <= 110


def test_the_readme_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert code
    exec(compile(code[1], "README.md", "exec"), {})
    assert capsys.readouterr().out.strip() == code[1].strip().rpartition("# ")[2]


def test_waits_are_weighed_by_worth() -> None:
    """Long, cheap work filled the queues and dear, short work missed its aim (port's overload day)."""
    dear = fw.JobClass("dear", aim=400, deadline=5000, repeat=fw.Repeat.FREE, worth=5)
    cheap = fw.JobClass("cheap", aim=400, deadline=5000, worth=1)
    d = make(classes=(dear, cheap))
    d.holds.add("dear", 200.0)
    d.holds.add("cheap", 1000.0)
    assert d._patience(dear) > dear.aim * 0.5 > d._patience(cheap)


def test_refused_work_within_its_quota_is_asked_back_soon() -> None:
    """Asked back after the longest back-off it came too late to be in time (i5cf0ae, i33aa80)."""
    d = make(1, max_backoff=2000)
    for i in range(30):
        ask(d, 1, f"r{i}", "once")
    d.workers["w0"].pool.hold = 500.0
    (refusal,) = ask(d, 700, "late", "once")
    assert isinstance(refusal, fw.Refuse) and 0 < refusal.backoff < 600


def test_a_worker_that_errs_is_left_alone_for_a_moment() -> None:
    """Workers that failed fast drew work (i33aa80)."""
    d = make()
    (home,) = sends(ask(d, 1, "r0"))
    d.handle(10, fw.Outcome("r0", 0, home, fw.Result.ERROR, 9))
    assert home not in sends(ask(d, 20, "r1"))


def test_if_most_look_sick_the_dispatcher_doubts_itself() -> None:
    d = make(2)
    for i, w in enumerate(("w0", "w1")):
        d._strike(d.workers[w], 1.0, 1)
        assert d.workers[w].pool.sick == i + 1
    assert sends(ask(d, 2, "r"))


def test_a_free_job_that_does_not_start_moves() -> None:
    """Lookups stood behind long jobs that must not run twice (port's rough days)."""
    d = make()
    (home,) = sends(ask(d, 1, "first", "once"))
    d.rescues = 5.0
    ask(d, 2, "r", "free")
    actions = d.handle(400, fw.TimerDue(0))
    assert fw.Cancel("r", 0) in actions and fw.Cancel("first", 0) not in actions
    assert home not in sends(d.handle(405, fw.Outcome("r", 0, home, fw.Result.CANCELLED, 403)))


def test_a_failed_subscription_is_asked_for_again() -> None:
    d = make(must_subscribe=True)
    assert fw.Subscribe() in d.handle(1000, fw.TimerDue(1))
    again = d.handle(2000, fw.WorkerList(fw.Scope.FAILED))
    assert any(isinstance(a, fw.SetTimer) and a.tag == 1 for a in again)


def test_tenants_keep_to_their_quota_where_there_is_a_queue() -> None:
    d = make(1, tenants=(fw.Tenant("t", 2.0),), max_backoff=900)
    got = [d.handle(1, fw.Request(f"r{i}", "free", 5000, "k", "t"))[0] for i in range(20)]
    assert isinstance(got[0], fw.Send) and got[-1] == fw.Refuse("r19", 900)


def test_a_worker_back_after_failed_connects_is_presumed_cold() -> None:
    d = make(1, cold_from=0.1, ramp=20000)
    w = d.workers["w0"]
    ask(d, 1, "r")
    d.handle(5, fw.Outcome("r", 0, "w0", fw.Result.UNREACHABLE, 4))
    assert w.unreachable and d.warmth(w, 6) == 1
    d._praise(w, 5000)
    assert d.warmth(w, 5001) < 0.2 and not w.unreachable


def test_restarts_and_removals_keep_the_counts_right() -> None:
    d = make(2)
    (home,) = sends(ask(d, 1, "r"))
    other = "w1" if home == "w0" else "w0"
    d.handle(2, fw.WorkerList(fw.Scope.FULL, (fw.WorkerInfo(other, kind="std"),)))
    assert sends(ask(d, 3, "q")) == [other]
    d.handle(4, fw.Outcome("r", 0, home, fw.Result.OK, 3, True))
    d.handle(5, fw.WorkerList(fw.Scope.CHANGES, (fw.WorkerInfo(home, kind="std", online_since=4),)))
    assert d.workers[home].count == 0 and d.workers[home].since == 4 and d.total == 1
    assert len(d.ready) == 2


def test_a_request_whose_time_is_up_is_refused() -> None:
    assert ask(make(), 1, "r", left=0) == [fw.Refuse("r")]


def test_an_empty_list_holds_then_refuses_before_the_client_leaves() -> None:
    d = make(0)
    assert ask(d, 1, "r", "once", left=200) == []
    actions = [a for t in (63, 126, 189) for a in d.handle(t, fw.TimerDue(0))]
    assert fw.Refuse("r") in actions


@pytest.mark.parametrize("name", ["siblings", "max_attempts", "cold_from", "tip_after", "classes"])
def test_an_impossible_setting_is_named(name: str) -> None:
    values: dict[str, object] = {"classes": (FREE,), name: () if name == "classes" else 0}
    with pytest.raises(ValueError, match=name):
        Settings(**values)  # type: ignore[arg-type]


def test_a_class_that_a_worker_fails_is_kept_off_it_and_others_are_served() -> None:
    """Half the workers failed one class and served the rest (port's class_fail days)."""
    d = make()
    (home,) = sends(ask(d, 1, "r0"))
    d.handle(10, fw.Outcome("r0", 0, home, fw.Result.ERROR, 9))
    assert home not in sends(ask(d, 20, "r1")) and sends(ask(d, 21, "r2", "keyed")) == [home]


def test_what_must_not_run_twice_keeps_off_a_worker_that_failed_until_others_ended_well() -> None:
    """One error is seldom alone: accessions went on to workers that failed previews (kushiro, fleet 3)."""
    d = make()
    (home,) = sends(ask(d, 1, "r0", "keyed"))
    d.handle(10, fw.Outcome("r0", 0, home, fw.Result.ERROR, 9, True))
    assert home not in sends(ask(d, 20, "r1", "once"))
    for i in range(12):
        (at,) = sends(ask(d, 30 + i, f"p{i}"))
        d.handle(30.5 + i, fw.Outcome(f"p{i}", 0, at, fw.Result.OK, 0.5, True))
    assert sends(ask(d, 50, "r2", "once")) == [home]


def test_a_worker_that_stands_still_is_noticed_by_what_it_owes() -> None:
    """Started jobs that never end tell nothing by themselves (kushiro, wide 3: silent, then dead)."""
    d = make()
    now = 0.0
    home = ""
    for i in range(5):
        now += 1000
        (home,) = sends(ask(d, now, f"r{i}"))
        d.handle(now + 1, fw.Started(f"r{i}", 0, home))
        d.handle(now + 500, fw.Outcome(f"r{i}", 0, home, fw.Result.OK, 499, True))
    worker = d.workers[home]
    usual = d._rank(worker, FREE, now + 600)
    for i in range(3):
        (at,) = sends(ask(d, now + 700, f"s{i}"))
        assert at == home
        d.handle(now + 701, fw.Started(f"s{i}", 0, home))
    soon, late = d._rank(worker, FREE, now + 800), d._rank(worker, FREE, now + 4500)
    assert usual < soon < late - 1
    assert home not in sends(ask(d, now + 4500, "t"))


def test_a_key_keeps_its_worker_while_live_weights_change() -> None:
    """Schedulers that were told of a worker under load placed the keys unlike the others."""
    idle, busy = make(live_weights=True), make(live_weights=True)
    for d, weights in ((idle, (5.0, 5.0, 5.0, 5.0)), (busy, (2.5, 5.0, 3.0, 4.2))):
        infos = tuple(fw.WorkerInfo(f"v{i}", kind="big", weight=w) for i, w in enumerate(weights))
        d.handle(1.0, fw.WorkerList(fw.Scope.FULL, infos))
        for i in range(20):
            ask(d, 2, f"r{i}", key=f"k{i}")
    orders = [[[w.name for w in d._order(k, None)] for k in d.keys.values()] for d in (idle, busy)]
    assert orders[0] == orders[1]


def test_a_class_that_fails_everywhere_is_still_tried() -> None:
    d = make()
    for i, w in enumerate(list(d.workers.values())):
        ask(d, i + 1, f"r{i}")
        d._fault(w, FREE, i + 1, 1.0)
    assert sends(ask(d, 9, "again"))


def test_slow_handshakes_make_no_worker_cold_but_turned_down_connects_do() -> None:
    """Connects timed out while handshakes were slow; live workers were taken for dead (port's rough-2)."""
    d = make(2, ramp=20000, cold_from=0.1)
    for name, took, dead in (("r1", 250.0, False), ("r2", 3.0, True)):
        (w,) = sends(ask(d, 1, name, key=name))
        d.handle(260, fw.Outcome(name, 0, w, fw.Result.UNREACHABLE, took))
        assert d.workers[w].unreachable is dead
        d.workers[w].unreachable, d.workers[w].strikes, d.workers[w].barred_until = False, 0.0, 0.0


def test_open_connections_are_preferred_while_new_ones_are_dear() -> None:
    d = make()
    (home,) = sends(ask(d, 1, "r0"))
    d.workers["w0"].pool.hold = 500.0
    rank = d._rank(d.workers[home], d.unknown, 2)
    d.connect = 400.0
    assert d._rank(d.workers[home], d.unknown, 2) > rank + 0.5
    d.workers[home].connections, d.workers[home].used_at = 5, 2
    assert d._rank(d.workers[home], d.unknown, 2) == pytest.approx(rank, abs=0.2)


def test_a_hot_key_widens_where_own_counts_say_nothing() -> None:
    """With a hundred siblings own counts are 0 or 1 and no set ever widened (vc's big-1)."""
    d = make(40, siblings=100)
    for i in range(60):
        name = f"r{i}"
        (w,) = sends(ask(d, i * 400, name, key="hot" if i % 3 == 0 else name))
        d.handle(i * 400 + 300, fw.Outcome(name, 0, w, fw.Result.OK, 300, True))
    assert d.keys[("hot", None)].size > 5 and d.keys[("r1", None)].size == 1


def test_one_own_job_does_not_stand_for_a_hundred() -> None:
    d = make(40, siblings=100)
    d.fleet, d.prior = 0.03, 0.95
    w = d.workers["w0"]
    w.count, w.usual.mean, w.usual.at = 1, 0.3, 10.0
    assert d._load(w, 10) < 8  # not 1 + 99 * 0.3


def test_reports_stand_for_the_peers_part_and_fade() -> None:
    d = make(2, siblings=100)
    a, b = d.workers["w0"], d.workers["w1"]
    a.pool.most, a.pool.jobs, a.pool.hold = 6, 4.0, 500.0
    a.jobs, a.jobs_at, b.jobs, b.jobs_at = 9.0, 100.0, 1.0, 100.0
    assert d._load(a, 100) > d._load(b, 100) + 5
    assert d._load(a, 5000) - d._load(b, 5000) < 0.1


def test_a_list_change_patches_the_orders() -> None:
    d = make(20)
    ask(d, 1, "r")
    key = d.keys[("k", None)]
    before = list(key.order.items)
    d.handle(2, fw.WorkerList(fw.Scope.CHANGES, (fw.WorkerInfo("new", kind="std"),)))
    assert [w for w in d._order(key, None) if w.name != "new"] == before and len(key.order.items) == 21
    assert key.order.places == sorted(key.order.places)


def test_larger_and_faster_workers_get_more_keys() -> None:
    """Slow nodes of the same size got the same share and queued (i0b3f4b)."""
    d = make(0)
    infos = [fw.WorkerInfo(f"s{i}", kind="slow", weight=6) for i in range(5)]
    infos += [fw.WorkerInfo(f"f{i}", kind="fast", weight=6) for i in range(5)]
    d.handle(1, fw.WorkerList(fw.Scope.FULL, tuple(infos)))
    d.pools["slow"].weighed, d.pools["fast"].weighed = 1.5, 0.75
    homes = []
    for i in range(400):
        ask(d, 2, f"r{i}", key=f"k{i}")
        homes.append(d.keys[(f"k{i}", None)].order.items[0].kind)
    assert 0.55 < homes.count("fast") / 400 < 0.78


def test_a_request_too_short_to_be_held_is_answered_at_once() -> None:
    """It was held past its end: rule 1 (i14098a)."""
    assert ask(make(0), 1, "r", "once", left=50) == [fw.Refuse("r", 0.0)]


def test_a_request_before_any_list_is_answered_and_the_list_asked_for() -> None:
    d = Dispatcher(Settings((FREE,), must_subscribe=True), seed=1)
    timers = [a for a in d.handle(1, fw.Request("r", "free", 300, "k")) if isinstance(a, fw.SetTimer)]
    assert {t.tag for t in timers} == {0, 1}
    assert fw.Refuse("r", 0.0) in [a for t in range(60, 300, 60) for a in d.handle(t, fw.TimerDue(0))]


def test_one_off_keys_do_not_push_out_a_busy_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """The oldest key went first, however busy: its counts split in two."""
    monkeypatch.setattr("oxbowyard.decision.choice.LIVE_KEYS", 8)
    d = make()
    ask(d, 1, "r", key="busy")
    busy = d.keys[("busy", None)]
    for i in range(30):
        ask(d, 2 + i, f"r{i}", key=f"one-off{i}")
        ask(d, 2 + i, f"b{i}", key="busy")
    assert d.keys[("busy", None)] is busy and len(d.keys) <= 8


def test_a_worker_without_size_is_refused() -> None:
    with pytest.raises(ValueError, match="weight"):
        fw.WorkerInfo("w", weight=0.0)


def test_one_reset_among_connections_that_hold_bars_no_worker() -> None:
    """Single resets barred workers that went on working (kushiro, wide+reset+stale)."""
    for others, barred in ((1, False), (0, True)):
        d = make()
        (home,) = sends(ask(d, 1, "r0"))
        for i in range(others):
            assert sends(ask(d, 2, f"o{i}")) == [home]
        d.handle(10, fw.Outcome("r0", 0, home, fw.Result.RESET, 9, True))
        assert (d.workers[home].strikes >= 1) is barred
        if others:  # the process died after all: its other connections tell
            d.handle(10, fw.Outcome("o0", 0, home, fw.Result.RESET, 8, True))
            assert d.workers[home].strikes >= 1


@pytest.mark.parametrize("most", [0.0, 50.0, 2000.0])
def test_a_refusal_says_when_to_come_back_as_far_as_clients_heed_it(most: float) -> None:
    d = make(1, max_backoff=most, max_attempts=1)
    (home,) = sends(ask(d, 1, "r"))
    (refusal,) = [
        a for a in d.handle(9, fw.Outcome("r", 0, home, fw.Result.ERROR, 8)) if isinstance(a, fw.Refuse)
    ]
    assert refusal.backoff == min(most, 200.0)  # half the aim, as long as such a job may wait


def test_a_job_that_needs_no_data_goes_where_it_ranks_lowest() -> None:
    """All such jobs once shared one key and so one home: two to four waited there while others were idle."""
    d = make()
    asked = [d.handle(1, fw.Request(f"r{i}", "free", 5000.0)) for i in range(8)]
    assert sorted(w for actions in asked for w in sends(actions)) == sorted(["w0", "w1", "w2", "w3"] * 2)
    assert len({sends(ask(d, 2, f"k{i}"))[0] for i in range(3)}) == 1, "a key keeps its home"


def test_a_class_whose_aim_grows_with_its_work_may_wait_for_that_too() -> None:
    """By an aim of 80 ms alone a job of 200 ms was refused for a wait of 40 ms, with which it is in time."""
    short = fw.JobClass("short", aim=80, deadline=5000, repeat=fw.Repeat.FREE, stretch=2.0)
    flat = fw.JobClass("flat", aim=80, deadline=5000, repeat=fw.Repeat.FREE)
    patience = {}
    for cls in (short, flat):
        d = make(classes=(cls,))
        d.holds.add(cls.name, 200.0)
        patience[cls.name] = d._patience(cls)
    assert patience == {"short": 140.0, "flat": 40.0}

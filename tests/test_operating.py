"""Operating days without the wire: classes retuned live, workers out by hand, a second process beside."""

from __future__ import annotations

import asyncio
import os
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest
from test_core import FREE, ONCE, SETTINGS, Stage, lost

from oxbowyard.control.maintenance import Maintenance, MaintenanceFile
from oxbowyard.core.request import AnswerKind
from oxbowyard.core.settings_update import plan_settings_update, restart_only_changes
from oxbowyard.decision.facade import Readiness, WorkerInfo
from oxbowyard.decision.settings import JobClass, Repeat
from oxbowyard.discovery.registry import Change, Registry
from oxbowyard.handover.files import STALE, Marks
from oxbowyard.handover.steps import WAIT_MOST, Handover, Step
from oxbowyard.listeners.acceptor import Acceptor

NEW = JobClass("new", aim=500, deadline=4000, repeat=Repeat.FREE)


# ---- Retuning ----


def test_meanwhile_the_stricter_of_old_and_new_holds() -> None:
    loosened = replace(SETTINGS, classes=(replace(ONCE, repeat=Repeat.FREE), NEW), max_attempts=5)
    step = plan_settings_update(SETTINGS, loosened)
    meanwhile = {c.name: c for c in step.transition.classes}
    assert meanwhile["once"].repeat is Repeat.SINGLE_SHOT  # a client may still send it as it was
    assert "free" in meanwhile and "new" in meanwhile  # one that goes out is still taken meanwhile
    assert step.transition.max_attempts == 3
    after = {c.name: c for c in step.final.classes}
    assert after["once"].repeat is Repeat.FREE and "free" not in after and step.final.max_attempts == 5


def test_a_class_made_stricter_is_strict_at_once() -> None:
    step = plan_settings_update(
        SETTINGS, replace(SETTINGS, classes=(replace(FREE, repeat=Repeat.SINGLE_SHOT), ONCE))
    )
    assert {c.name: c.repeat for c in step.transition.classes}["free"] is Repeat.SINGLE_SHOT


def test_only_classes_and_attempts_change_live() -> None:
    assert restart_only_changes(SETTINGS, replace(SETTINGS, classes=(NEW,), max_attempts=1)) == ()
    assert restart_only_changes(SETTINGS, replace(SETTINGS, siblings=4)) == ("siblings",)


def test_a_request_open_at_a_settings_update_keeps_its_class() -> None:
    """Taken as one that must not run twice, it is never attempted again after its class turned harmless."""

    async def play() -> None:
        stage = Stage(lost)
        loosened = replace(SETTINGS, classes=(FREE, replace(ONCE, repeat=Repeat.FREE)))
        waiting = asyncio.ensure_future(stage.serve("once", patience=0.5))
        await asyncio.sleep(0)
        stage.scheduler.apply_settings(loosened)
        assert (await waiting).kind is AnswerKind.FAILED
        assert len(stage.attempts) == 1
        fresh = await stage.serve("once", patience=0.5, id_="r2")  # taken after: harmless now
        assert fresh.kind is AnswerKind.REJECTED and len(stage.attempts) > 2

    asyncio.run(play())


def test_a_new_class_is_counted_from_nothing() -> None:
    async def play() -> None:
        stage = Stage(lost)
        stage.scheduler.apply_settings(replace(SETTINGS, classes=(*SETTINGS.classes, NEW)))
        await stage.serve("new", patience=0.3)
        assert stage.measure.answers_by_class()["new"] == {AnswerKind.REJECTED: 1}

    asyncio.run(play())


# ---- Out of rotation by hand ----


def listing(*rows: tuple[str, Readiness]) -> Change:
    entries = tuple((f"10.0.0.{i}:80", WorkerInfo(uid, state)) for i, (uid, state) in enumerate(rows))
    return Change(1, True, entries)


class Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def test_one_out_by_hand_drains_whatever_discovery_says() -> None:
    clock = Clock()
    registry = Registry(clock, drain_grace=1000.0)
    registry.apply(listing(("w1", Readiness.READY), ("w2", Readiness.READY)))
    held = registry.put_out("w1")
    assert held is not None and held.readiness is Readiness.DRAINING
    assert registry.address("w1") is None  # the decisions are told at once: nothing new goes there
    _, told = registry.apply(listing(("w1", Readiness.READY), ("w2", Readiness.READY)))
    assert told[0].readiness is Readiness.DRAINING and registry.address("w1") is None
    assert (registry.listed, registry.out_by_hand) == (2, 1)
    back = registry.put_back("w1")
    assert back is not None and back.readiness is Readiness.READY and registry.address("w1") is not None
    assert registry.put_out("w9") is None and registry.put_back("w9") is None


def test_calls_out_twice_and_one_back() -> None:
    registry = Registry(Clock(), drain_grace=1000.0)
    registry.apply(listing(("w1", Readiness.READY)))
    registry.put_out("w1")
    registry.put_out("w1")
    registry.put_back("w1")
    assert registry.by_hand == set() and registry.out_by_hand == 0


def test_a_process_beside_keeps_and_takes_the_calls(tmp_path: Path) -> None:
    """Old and new process of one scheduler, each with its registry, one file between them."""
    path = tmp_path / "out.json"
    told: list[tuple[str, list[WorkerInfo]]] = []
    sides = []
    for name in ("old", "new"):
        registry = Registry(Clock(), drain_grace=1000.0)
        registry.apply(listing(("w1", Readiness.READY), ("w2", Readiness.READY)))
        learn = lambda scope, infos, name=name: told.append((name, list(infos)))  # noqa: E731
        sides.append((registry, Maintenance(registry, learn, MaintenanceFile(path))))
    (old, old_rotation), (new, new_rotation) = sides
    assert old_rotation.out("w1")
    assert new_rotation.out("w2")  # before it has read the other's call: both stay
    new_rotation.follow()
    old_rotation.follow()
    assert old.by_hand == new.by_hand == {"w1", "w2"}
    assert new_rotation.back("w1")
    old_rotation.follow()
    assert old.by_hand == {"w2"} and old.address("w1") is not None
    assert ("old", [WorkerInfo("w1", Readiness.READY)]) in told
    assert not old_rotation.out("w9")


def test_a_start_reads_what_was_put_out_before_any_list(tmp_path: Path) -> None:
    path = tmp_path / "out.json"
    path.write_text('["w1"]')
    registry = Registry(Clock(), drain_grace=1000.0)
    Maintenance(registry, lambda scope, infos: None, MaintenanceFile(path)).follow()
    _, told = registry.apply(listing(("w1", Readiness.READY)))
    assert told[0].readiness is Readiness.DRAINING and registry.address("w1") is None


def _as_a_folder(path: Path) -> None:
    path.unlink()
    path.mkdir()


def _disk_as_a_file(path: Path) -> None:
    path.unlink()
    path.parent.rmdir()
    path.parent.write_text("")


BREAKS: dict[str, Callable[[Path], object]] = {
    "cut short": lambda path: path.write_text('["w1'),
    "empty": lambda path: path.write_text(""),
    "not ours": lambda path: path.write_text('{"w1": true}'),
    "a folder": _as_a_folder,
    "the disk is gone": lambda path: path.parent.rename(path.parent.with_name("gone")),
    "the disk is a file": _disk_as_a_file,
}


@pytest.mark.parametrize("how", BREAKS)
def test_a_file_that_cannot_tell_changes_nobody(tmp_path: Path, how: str) -> None:
    """Whoever is out stays out, who is in stays in, and the next call keeps what is in hand."""
    path = tmp_path / "disk" / "out.json"
    path.parent.mkdir()
    registry = Registry(Clock(), drain_grace=1000.0)
    registry.apply(listing(("w1", Readiness.READY), ("w2", Readiness.READY)))
    maintenance = Maintenance(registry, lambda scope, infos: None, MaintenanceFile(path))
    maintenance.out("w1")
    BREAKS[how](path)
    for _ in range(3):
        maintenance.follow()
        assert registry.by_hand == {"w1"} and registry.address("w2") is not None
    assert maintenance.out("w2")
    maintenance.follow()
    assert registry.by_hand == {"w1", "w2"}
    fresh = Registry(Clock(), drain_grace=1000.0)
    Maintenance(fresh, lambda scope, infos: None, MaintenanceFile(path)).follow()
    assert fresh.by_hand in ({"w1", "w2"}, set()), "all are on record, or it can't be written"
    assert fresh.by_hand or not path.is_file()


def test_a_file_not_ours_puts_nobody_out_and_one_taken_away_puts_all_back(tmp_path: Path) -> None:
    path = tmp_path / "out.json"
    path.write_text('{"w1": tru')
    registry = Registry(Clock(), drain_grace=1000.0)
    maintenance = Maintenance(registry, lambda scope, infos: None, MaintenanceFile(path))
    maintenance.follow()
    assert registry.by_hand == set()
    path.write_text('["w1"]')
    maintenance.follow()
    assert registry.by_hand == {"w1"}
    path.unlink()
    maintenance.follow()
    assert registry.by_hand == set()


# ---- A second process on the same address ----


def test_two_listeners_share_the_clients_address() -> None:
    async def play() -> None:
        first = Acceptor("http", "127.0.0.1", 0, _NoSessions(), shared=True)
        port = first._listener.getsockname()[1]
        second = Acceptor("http", "127.0.0.1", port, _NoSessions(), shared=True)
        first.close()
        second.close()
        alone = Acceptor("http", "127.0.0.1", 0, _NoSessions())
        try:
            Acceptor("http", "127.0.0.1", alone._listener.getsockname()[1], _NoSessions(), shared=True)
        except OSError:
            pass
        else:
            raise AssertionError("one not shared was bound beside")
        finally:
            alone.close()

    asyncio.run(play())


class _NoSessions:
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.free = 0

    def evict_idle_connection(self) -> bool:
        return False

    def make_connection(self) -> asyncio.Protocol:
        raise AssertionError


# ---- Handing over at a replacement ----


def sides(folder: Path) -> tuple[Handover, Handover]:
    return Handover(Marks(folder, "n1", 100), 0.0), Handover(Marks(folder, "n1", 200), 10.0)


def test_a_lone_process_takes_over_at_once(tmp_path: Path) -> None:
    alone, _ = sides(tmp_path)
    alone.start()
    assert alone.may_say_yes and alone.files.named(alone.files.serving) == 100


def test_the_yes_waits_until_the_old_process_holds_nothing(tmp_path: Path) -> None:
    old, new = sides(tmp_path)
    old.start()
    new.start()
    assert not new.may_say_yes
    assert old.look(1.0, holds=3) is Step.HAND_OVER and not old.may_say_yes
    assert old.look(1.2, holds=1) is Step.NOTHING
    assert new.look(10.2, holds=0) is Step.NOTHING and not new.may_say_yes
    assert old.look(1.4, holds=0) is Step.NOTHING
    assert new.look(10.4, holds=0) is Step.TAKE_OVER and new.may_say_yes
    assert old.look(1.6, holds=0) is Step.NOTHING  # the clients are the new one's: no taking them back
    old.end()
    assert new.files.named(new.files.serving) == 200


def test_the_yes_comes_in_time_whatever_the_old_process_holds(tmp_path: Path) -> None:
    old, new = sides(tmp_path)
    old.start()
    new.start()
    old.look(1.0, holds=9)
    assert new.look(10.0 + WAIT_MOST - 0.1, holds=0) is Step.NOTHING
    assert new.look(10.0 + WAIT_MOST, holds=0) is Step.TAKE_OVER


def test_the_old_process_listens_again_when_the_new_one_went(tmp_path: Path) -> None:
    old, new = sides(tmp_path)
    old.start()
    new.start()
    assert old.look(1.0, holds=2) is Step.HAND_OVER
    stale = time.time() - STALE - 1
    os.utime(new.files.successor, (stale, stale))  # killed: nobody touches its file
    assert old.look(1.2, holds=2) is Step.RESUME and old.may_say_yes


def test_a_file_left_by_a_killed_process_is_not_waited_for(tmp_path: Path) -> None:
    old, new = sides(tmp_path)
    old.start()
    stale = time.time() - STALE - 1
    os.utime(old.files.serving, (stale, stale))
    new.start()
    assert new.may_say_yes

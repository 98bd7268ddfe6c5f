"""Operations without network traffic: live settings updates, cordoned workers, and the handover between two
processes of one scheduler.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest
from test_core import FREE, ONCE, SETTINGS, Stage, reset_connection

from oxbowyard.control.cordon_file import CordonFile
from oxbowyard.control.maintenance import Maintenance
from oxbowyard.core.request import AnswerKind
from oxbowyard.core.settings_update import plan_settings_update, restart_only_changes
from oxbowyard.decision.facade import Readiness, WorkerInfo
from oxbowyard.decision.settings import JobClass, RetrySafety
from oxbowyard.discovery.endpoint_list import ListedEndpoint, WatchEvent
from oxbowyard.discovery.registry import Registry
from oxbowyard.handover.pid_files import STALE_AFTER_S, PidFiles
from oxbowyard.handover.protocol import MAX_WAIT_S, Action, Handover
from oxbowyard.listeners.acceptor import Acceptor

NEW_CLASS = JobClass("new", latency_objective_ms=500, deadline_ms=4000, retry_safety=RetrySafety.IDEMPOTENT)


# ---- Live settings updates ----


def test_the_stricter_class_settings_apply_during_an_update() -> None:
    loosened = replace(
        SETTINGS, classes=(replace(ONCE, retry_safety=RetrySafety.IDEMPOTENT), NEW_CLASS), max_attempts=5
    )
    update = plan_settings_update(SETTINGS, loosened)
    during = {c.name: c for c in update.transition.classes}
    assert (
        during["once"].retry_safety is RetrySafety.NOT_IDEMPOTENT
    )  # a client may still submit under the old settings
    assert "free" in during and "new" in during  # a removed class is still accepted during the update
    assert update.transition.max_attempts == 3
    after = {c.name: c for c in update.final.classes}
    assert (
        after["once"].retry_safety is RetrySafety.IDEMPOTENT
        and "free" not in after
        and update.final.max_attempts == 5
    )


def test_a_class_made_stricter_takes_effect_at_once() -> None:
    update = plan_settings_update(
        SETTINGS, replace(SETTINGS, classes=(replace(FREE, retry_safety=RetrySafety.NOT_IDEMPOTENT), ONCE))
    )
    assert {c.name: c.retry_safety for c in update.transition.classes}["free"] is RetrySafety.NOT_IDEMPOTENT


def test_only_classes_and_max_attempts_change_without_a_restart() -> None:
    assert restart_only_changes(SETTINGS, replace(SETTINGS, classes=(NEW_CLASS,), max_attempts=1)) == ()
    assert restart_only_changes(SETTINGS, replace(SETTINGS, scheduler_count=4)) == ("scheduler_count",)


def test_a_request_open_at_a_settings_update_keeps_its_class() -> None:
    """A request accepted as not idempotent is not retried, even if its class becomes idempotent meanwhile."""

    async def play() -> None:
        stage = Stage(reset_connection)
        loosened = replace(SETTINGS, classes=(FREE, replace(ONCE, retry_safety=RetrySafety.IDEMPOTENT)))
        waiting = asyncio.ensure_future(stage.serve("once", timeout_s=0.5))
        await asyncio.sleep(0)
        stage.scheduler.apply_settings(loosened)
        assert (await waiting).kind is AnswerKind.FAILED
        assert len(stage.attempts) == 1
        fresh = await stage.serve("once", timeout_s=0.5, id_="r2")  # accepted after the update: idempotent
        assert fresh.kind is AnswerKind.REJECTED and len(stage.attempts) > 2

    asyncio.run(play())


def test_answer_counts_of_a_new_class_start_at_zero() -> None:
    async def play() -> None:
        stage = Stage(reset_connection)
        stage.scheduler.apply_settings(replace(SETTINGS, classes=(*SETTINGS.classes, NEW_CLASS)))
        await stage.serve("new", timeout_s=0.3)
        assert stage.measure.answers_by_class()["new"] == {AnswerKind.REJECTED: 1}

    asyncio.run(play())


# ---- Maintenance mode ----


def listing(*rows: tuple[str, Readiness]) -> WatchEvent:
    endpoints = tuple(
        ListedEndpoint(f"10.0.0.{i}:80", WorkerInfo(uid, state)) for i, (uid, state) in enumerate(rows)
    )
    return WatchEvent(1, True, endpoints)


class Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def test_a_cordoned_endpoint_drains_even_if_discovery_lists_it_as_ready() -> None:
    clock = Clock()
    registry = Registry(clock, drain_grace_ms=1000.0)
    registry.apply(listing(("w1", Readiness.READY), ("w2", Readiness.READY)))
    cordoned = registry.cordon("w1")
    assert cordoned is not None and cordoned.readiness is Readiness.DRAINING
    assert registry.address("w1") is None  # applied at once: no new request goes there
    _, updates = registry.apply(listing(("w1", Readiness.READY), ("w2", Readiness.READY)))
    assert updates[0].readiness is Readiness.DRAINING and registry.address("w1") is None
    assert (registry.listed_count, registry.cordoned_count) == (2, 1)
    restored = registry.uncordon("w1")
    assert (
        restored is not None and restored.readiness is Readiness.READY and registry.address("w1") is not None
    )
    assert registry.cordon("w9") is None and registry.uncordon("w9") is None


def test_one_uncordon_undoes_two_cordons() -> None:
    registry = Registry(Clock(), drain_grace_ms=1000.0)
    registry.apply(listing(("w1", Readiness.READY)))
    registry.cordon("w1")
    registry.cordon("w1")
    registry.uncordon("w1")
    assert registry.cordoned == set() and registry.cordoned_count == 0


def test_two_processes_share_cordons_through_the_cordon_file(tmp_path: Path) -> None:
    """The old and the new process of one scheduler have a registry each and share the cordon file."""
    path = tmp_path / "out.json"
    notified: list[tuple[str, list[WorkerInfo]]] = []
    processes = []
    for name in ("old", "new"):
        registry = Registry(Clock(), drain_grace_ms=1000.0)
        registry.apply(listing(("w1", Readiness.READY), ("w2", Readiness.READY)))
        notify = lambda scope, infos, name=name: notified.append((name, list(infos)))  # noqa: E731
        processes.append((registry, Maintenance(registry, notify, CordonFile(path))))
    (old, old_maintenance), (new, new_maintenance) = processes
    assert old_maintenance.cordon("w1")
    assert new_maintenance.cordon("w2")  # before it has read the other process's cordon: both remain
    new_maintenance.sync_from_file()
    old_maintenance.sync_from_file()
    assert old.cordoned == new.cordoned == {"w1", "w2"}
    assert new_maintenance.uncordon("w1")
    old_maintenance.sync_from_file()
    assert old.cordoned == {"w2"} and old.address("w1") is not None
    assert ("old", [WorkerInfo("w1", Readiness.READY)]) in notified
    assert not old_maintenance.cordon("w9")


def test_cordons_are_restored_from_the_file_before_the_first_list(tmp_path: Path) -> None:
    path = tmp_path / "out.json"
    path.write_text('["w1"]')
    registry = Registry(Clock(), drain_grace_ms=1000.0)
    Maintenance(registry, lambda scope, infos: None, CordonFile(path)).sync_from_file()
    _, updates = registry.apply(listing(("w1", Readiness.READY)))
    assert updates[0].readiness is Readiness.DRAINING and registry.address("w1") is None


def _replace_by_directory(path: Path) -> None:
    path.unlink()
    path.mkdir()


def _replace_parent_by_file(path: Path) -> None:
    path.unlink()
    path.parent.rmdir()
    path.parent.write_text("")


FILE_FAULTS: dict[str, Callable[[Path], object]] = {
    "truncated": lambda path: path.write_text('["w1'),
    "empty": lambda path: path.write_text(""),
    "wrong document type": lambda path: path.write_text('{"w1": true}'),
    "a directory": _replace_by_directory,
    "parent directory missing": lambda path: path.parent.rename(path.parent.with_name("gone")),
    "parent directory is a file": _replace_parent_by_file,
}


@pytest.mark.parametrize("fault", FILE_FAULTS)
def test_an_unreadable_cordon_file_leaves_the_cordons_unchanged(tmp_path: Path, fault: str) -> None:
    """Cordoned workers remain cordoned, the others stay in service, and the next cordon adds to the cordons
    in memory.
    """
    path = tmp_path / "disk" / "out.json"
    path.parent.mkdir()
    registry = Registry(Clock(), drain_grace_ms=1000.0)
    registry.apply(listing(("w1", Readiness.READY), ("w2", Readiness.READY)))
    maintenance = Maintenance(registry, lambda scope, infos: None, CordonFile(path))
    maintenance.cordon("w1")
    FILE_FAULTS[fault](path)
    for _ in range(3):
        maintenance.sync_from_file()
        assert registry.cordoned == {"w1"} and registry.address("w2") is not None
    assert maintenance.cordon("w2")
    maintenance.sync_from_file()
    assert registry.cordoned == {"w1", "w2"}
    fresh = Registry(Clock(), drain_grace_ms=1000.0)
    Maintenance(fresh, lambda scope, infos: None, CordonFile(path)).sync_from_file()
    assert fresh.cordoned in ({"w1", "w2"}, set()), "the file holds all cordons, or it cannot be written"
    assert fresh.cordoned or not path.is_file()


def test_an_invalid_cordon_file_cordons_nothing_and_a_removed_one_uncordons_all(tmp_path: Path) -> None:
    path = tmp_path / "out.json"
    path.write_text('{"w1": tru')
    registry = Registry(Clock(), drain_grace_ms=1000.0)
    maintenance = Maintenance(registry, lambda scope, infos: None, CordonFile(path))
    maintenance.sync_from_file()
    assert registry.cordoned == set()
    path.write_text('["w1"]')
    maintenance.sync_from_file()
    assert registry.cordoned == {"w1"}
    path.unlink()
    maintenance.sync_from_file()
    assert registry.cordoned == set()


# ---- Two processes on the same address ----


def test_two_shared_acceptors_bind_the_same_address() -> None:
    async def play() -> None:
        first = Acceptor("http", "127.0.0.1", 0, _NoClients(), reuse_port=True)
        port = first._listener.getsockname()[1]
        second = Acceptor("http", "127.0.0.1", port, _NoClients(), reuse_port=True)
        first.close()
        second.close()
        alone = Acceptor("http", "127.0.0.1", 0, _NoClients())
        try:
            Acceptor("http", "127.0.0.1", alone._listener.getsockname()[1], _NoClients(), reuse_port=True)
        except OSError:
            pass
        else:
            raise AssertionError("an address that is not shared was bound twice")
        finally:
            alone.close()

    asyncio.run(play())


class _NoClients:
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.available_connections = 0

    def evict_idle_connection(self) -> bool:
        return False

    def make_connection(self) -> asyncio.Protocol:
        raise AssertionError


# ---- Handover to a successor ----


def make_handovers(folder: Path) -> tuple[Handover, Handover]:
    return Handover(PidFiles(folder, "n1", 100), 0.0), Handover(PidFiles(folder, "n1", 200), 10.0)


def test_a_process_without_a_predecessor_is_ready_at_once(tmp_path: Path) -> None:
    alone, _ = make_handovers(tmp_path)
    alone.start()
    assert alone.may_report_ready and alone.files.read_pid(alone.files.serving) == 100


def test_readiness_waits_until_the_old_process_has_no_request_in_flight(tmp_path: Path) -> None:
    old, new = make_handovers(tmp_path)
    old.start()
    new.start()
    assert not new.may_report_ready
    assert old.poll(1.0, in_flight=3) is Action.HAND_OVER and not old.may_report_ready
    assert old.poll(1.2, in_flight=1) is Action.NONE
    assert new.poll(10.2, in_flight=0) is Action.NONE and not new.may_report_ready
    assert old.poll(1.4, in_flight=0) is Action.NONE
    assert new.poll(10.4, in_flight=0) is Action.TAKE_OVER and new.may_report_ready
    assert old.poll(1.6, in_flight=0) is Action.NONE  # the clients stay with the successor
    old.end()
    assert new.files.read_pid(new.files.serving) == 200


def test_readiness_is_reported_after_max_wait_despite_requests_in_flight(tmp_path: Path) -> None:
    old, new = make_handovers(tmp_path)
    old.start()
    new.start()
    old.poll(1.0, in_flight=9)
    assert new.poll(10.0 + MAX_WAIT_S - 0.1, in_flight=0) is Action.NONE
    assert new.poll(10.0 + MAX_WAIT_S, in_flight=0) is Action.TAKE_OVER


def test_the_old_process_resumes_when_its_successor_dies(tmp_path: Path) -> None:
    old, new = make_handovers(tmp_path)
    old.start()
    new.start()
    assert old.poll(1.0, in_flight=2) is Action.HAND_OVER
    stale = time.time() - STALE_AFTER_S - 1
    os.utime(new.files.successor, (stale, stale))  # killed: its file is no longer touched
    assert old.poll(1.2, in_flight=2) is Action.RESUME and old.may_report_ready


def test_a_stale_pid_file_of_a_killed_process_does_not_delay_readiness(tmp_path: Path) -> None:
    old, new = make_handovers(tmp_path)
    old.start()
    stale = time.time() - STALE_AFTER_S - 1
    os.utime(old.files.serving, (stale, stale))
    new.start()
    assert new.may_report_ready

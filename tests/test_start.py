"""How schedulers start: cached lists by source and age, the list on disk, admission, and whole groups."""

from __future__ import annotations

import asyncio
import json
import math
import os
import re
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random
from typing import Any

import pytest

from benchmarks.faults.processes import ROOT, Fleet, Member, fleet, wait_until
from benchmarks.faults.service import ListService, ListServiceThread, worker_entries
from oxbowyard.start.component import StartComponent
from oxbowyard.start.dependencies import ServiceList, StartDependencies
from oxbowyard.start.fetch_admission import FetchAdmission, rank, round_start_s
from oxbowyard.start.snapshot_file import read_snapshot, write_snapshot
from oxbowyard.start.snapshots import (
    Snapshot,
    Source,
    UnusableSnapshot,
    choose_best,
    is_worth_replacing,
    parse_snapshot,
)
from oxbowyard.start.table import StartSettings

DAY = 86400.0
CONFIG: dict[str, Any] = json.loads((ROOT / "examples/config.json").read_text())
ASKED = json.loads((ROOT / "tests/settings_asked.json").read_text())


def one(source: Source, age: float) -> Snapshot:
    return parse_snapshot(source, age, {"rev": 1, "targets": worker_entries(2)}, 10)


# ---- Lists ----


def test_the_youngest_list_is_served_from_and_one_of_unknown_age_last() -> None:
    config, old, day = one(Source.CONFIG, math.inf), one(Source.DISK, 500.0), one(Source.DISK, 2 * DAY)
    peer = one(Source.PEER, 3.0)
    assert choose_best([config, old, peer], DAY) is peer
    assert choose_best([config, old], DAY) is old
    assert choose_best([config, day], DAY) is config, "a list that is too old is none"
    assert choose_best([day], DAY) is None and choose_best([], DAY) is None
    assert (
        is_worth_replacing(peer, old) and is_worth_replacing(old, None) and not is_worth_replacing(old, peer)
    )
    assert not is_worth_replacing(one(Source.PEER, 4.6), one(Source.PEER, 5.0)), (
        "it would move the work for nothing"
    )


@pytest.mark.parametrize(("document", "why"), [
    (None, "no list"), ([], "no list"), ({"rev": "1", "targets": []}, "absurd version"),
    ({"rev": -1, "targets": worker_entries(1)}, "absurd version"),
    ({"rev": True, "targets": []}, "absurd version"),
    ({"rev": 1 << 70, "targets": worker_entries(1)}, "absurd version"),
    ({"rev": 1, "targets": "x"}, "no list of targets"), ({"rev": 1, "targets": [1]}, "no list of targets"),
    ({"rev": 1, "targets": []}, "empty"), ({"rev": 1, "targets": worker_entries(11)}, "11 entries, over 10"),
    ({"rev": 1, "targets": worker_entries(2) + worker_entries(1)}, "named twice"),
    ({"rev": 1, "targets": [{}]}, "not at all"),
])  # fmt: skip
def test_what_is_no_list_is_told_in_a_few_words(document: object, why: str) -> None:
    with pytest.raises(UnusableSnapshot, match=why):
        parse_snapshot(Source.PEER, 1.0, document, 10)


# ---- The list on disk ----


def kept(path: Path, site: str = "a", now: float = 1000.0, most: int = 10) -> Snapshot:
    return read_snapshot(path, site, now, DAY, most, 1 << 16)


def test_what_is_written_is_read_with_its_age(tmp_path: Path) -> None:
    path = tmp_path / "list"
    write_snapshot(path, "a", 900.0, 7, worker_entries(3))
    found = kept(path)
    assert (found.age_s, found.revision, len(found.targets), found.source) == (100.0, 7, 3, Source.DISK)
    write_snapshot(path, "a", 990.0, 8, worker_entries(2))
    assert kept(path).revision == 8 and os.listdir(tmp_path) == ["list"]


def test_every_single_byte_that_is_wrong_or_missing_is_noticed(tmp_path: Path) -> None:
    path = tmp_path / "list"
    write_snapshot(path, "a", 900.0, 7, worker_entries(2))
    whole = path.read_bytes()
    for at in range(len(whole)):
        path.write_bytes(whole[:at])
        with pytest.raises(UnusableSnapshot, match="damaged"):
            kept(path)
        path.write_bytes(whole[:at] + bytes([whole[at] ^ 1]) + whole[at + 1 :])
        with pytest.raises(UnusableSnapshot, match="damaged"):
            kept(path)


def test_a_list_that_is_not_to_be_used_says_why(tmp_path: Path) -> None:
    path = tmp_path / "list"
    for told_at, site, count, why in (
        (900.0, "b", 2, "another site"), (1100.0, "a", 2, "from the future"), (900.0, "a", 0, "empty"),
        (900.0 - DAY, "a", 2, "86500 s old"), (900.0, "a", 11, "over 10"), (math.nan, "a", 2, "damaged"),
    ):  # fmt: skip
        write_snapshot(path, site, told_at, 7, worker_entries(count))
        with pytest.raises(UnusableSnapshot, match=why):
            kept(path)
    with pytest.raises(UnusableSnapshot, match="not there"):
        kept(tmp_path / "none")
    with pytest.raises(UnusableSnapshot, match="can't be read"):
        kept(tmp_path)
    path.write_bytes(b"x" * (1 << 17))
    with pytest.raises(UnusableSnapshot, match="over 65536 bytes"):
        kept(path)


def test_a_write_that_fails_leaves_the_one_before(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "list"
    write_snapshot(path, "a", 900.0, 7, worker_entries(2))

    def full(number: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", full)
    with pytest.raises(OSError, match="No space"):
        write_snapshot(path, "a", 950.0, 8, worker_entries(2))
    assert kept(path).revision == 7 and os.listdir(tmp_path) == ["list"]


# ---- Admission ----


def test_the_few_go_first_and_everybody_has_a_rank() -> None:
    names = [f"m{i}" for i in range(300)]
    due_at = {n: FetchAdmission(n, 3, 2.0, Random(n), 0.0).due_at(set(names) - {n}, 1) for n in names}
    assert sorted(rank(n, names) for n in names) == list(range(300))
    assert sum(due == 0.0 for due in due_at.values()) == 3
    for second in (10, 100, 1000):  # of a service that answers nobody: at most three in each turn
        begun = sum(round_start_s(number, 2.0) < second for number in range(99))
        assert sum(due < second for due in due_at.values()) <= 3 * (2 + begun)
    assert max(due_at.values()) <= round_start_s(99, 2.0) + 1.0


def test_if_the_few_are_dead_the_next_round_begins() -> None:
    names = sorted((f"m{i}" for i in range(30)), key=lambda n: rank(n, [f"m{i}" for i in range(30)]))
    dead = set(names[:3])
    after = min(
        FetchAdmission(n, 3, 2.0, Random(1), 0.0).due_at(set(names) - {n}, 1) for n in names if n not in dead
    )
    assert 2.0 <= after <= 3.0, "they are still in the view"
    gone = min(
        FetchAdmission(n, 3, 2.0, Random(1), 0.0).due_at(set(names) - dead - {n}, 1) for n in names[3:]
    )
    assert gone == 0.0, "found dead, they leave their places"


def test_one_that_knows_nobody_goes_by_the_configured_number() -> None:
    dues = [FetchAdmission("m0", 3, 2.0, Random(seed), 5.0).due_at([], 200) for seed in range(200)]
    assert max(dues) < 5.0 + 200 * 2.0 / 3 and 40 < sum(due < 5.0 + 40.0 for due in dues) < 80
    assert FetchAdmission("m0", 3, 2.0, Random(1), 5.0).due_at([], 1) == 5.0


# ---- Groups of processes ----


@pytest.fixture
def service() -> Iterator[ListServiceThread]:
    thread = ListServiceThread(ListService(worker_entries(12)))
    yield thread
    thread.close()


@contextmanager
def group(tmp_path: Path, service: ListServiceThread, size: int, **start: Any) -> Iterator[Fleet]:
    """Processes with [start] and [membership], not started yet."""
    config = CONFIG | {"discovery": service.address, "settings": ASKED | {"siblings": size}}
    with fleet(tmp_path, config) as processes:
        processes.other_tables["start"] = {"keep_every_s": 0.3, **start}
        processes.stores_snapshots = True
        processes.add(size)
        yield processes


def kept_rev(member: Member) -> int:
    """The version of the list in its file, 0 if there is none of late."""
    try:
        return read_snapshot(member.folder / "list", "default", time.time(), 60.0, 99, 1 << 20).revision
    except UnusableSnapshot:
        return 0


def figures(members: list[Member], name: str) -> set[int]:
    """A figure at each one's door."""
    return {json.loads(m.call("GET", "/control/counters")[1])[name] for m in members}


def ready(members: list[Member]) -> bool:
    return all(m.call("GET", "/control/ready")[0] == 200 for m in members)


def told(members: list[Member]) -> bool:
    return all("list service answered" in m.log() for m in members)


def test_many_at_once_ask_for_few_whole_lists(tmp_path: Path, service: ListServiceThread) -> None:
    with group(tmp_path, service, 14) as processes:
        members = list(processes)
        for member in members:
            member.start()
        wait_until(lambda: members[0].call("PUT", "/control/scan-workers/w1/offline")[0] == 200, "it is told")
        wait_until(lambda: told(members) and ready(members), "all have the service's list")
        wait_until(lambda: figures(members, "out_of_rotation") == {1}, "a drain told meanwhile holds at all")
        assert service.service.count("whole") <= 4
        assert service.service.count("refused") == 0
        assert any("serving a cached list: source=peer" in m.log() for m in members)


def test_with_the_service_down_all_serve_from_their_disks_until_it_speaks(
    tmp_path: Path, service: ListServiceThread
) -> None:
    with group(tmp_path, service, 6) as processes:
        members = list(processes)
        service.service.is_down = True
        for number, member in enumerate(members):
            site = "other" if number == 5 else "default"
            write_snapshot(member.folder / "list", site, time.time() - 300.0, 3, worker_entries(9))
            member.start()
        wait_until(lambda: ready(members[:5]), "those with a list of their site serve")
        said = r"serving a cached list: source=disk origin=list age_s=3\d\d workers=9 all_cold=yes"
        assert re.search(said, members[0].log()), members[0].log()
        wait_until(lambda: "of another site" in members[5].log(), "the one with another site's list says so")
        answered = wait_until(lambda: members[5].call("GET", "/control/ready")[0], "its admin API answers")
        assert answered == 503, "it has no list to serve from"
        service.service.is_down = False
        wait_until(lambda: told(members) and ready(members), "the service's list is everywhere", 60)
        assert figures(members, "registry_entries") == {12}, "it replaced the old ones"
        wait_until(lambda: all(kept_rev(m) == 10 for m in members), "and is kept")


def test_answers_cut_short_and_a_disk_that_takes_nothing_do_no_harm(
    tmp_path: Path, service: ListServiceThread
) -> None:
    service.service.truncates_answers = True
    with group(tmp_path, service, 3) as processes:
        members = list(processes)
        processes.other_tables["start"]["path"] = str(tmp_path / "no such folder" / "list")
        for member in members:
            processes.write_config_files(member)
            member.start()
        wait_until(lambda: any("discovery unavailable" in m.log() for m in members), "it was asked")
        assert not any(ready([m]) for m in members)
        service.service.truncates_answers = False
        wait_until(lambda: told(members) and ready(members), "all serve")
        wait_until(lambda: all("cached list cannot be written" in m.log() for m in members), "it is said")
        service.publish(targets=worker_entries(13))
        wait_until(lambda: figures(members, "registry_entries") == {13}, "a change is taken")
        assert all(m.log().count("cached list cannot be written") == 1 for m in members)


# ---- One component, without processes ----


class Desk:
    """A component whose program only notes what it is asked."""

    def __init__(self, known: object = None, **settings: Any) -> None:
        self.adopted: list[tuple[int, bool, bool]] = []
        self.list: ServiceList | None = None
        dependencies = StartDependencies(
            name="m0",
            configured=4,
            is_shared_service=True,
            random=Random(1),
            known=known,
            adopt=self._adopt,
            service_list=lambda: self.list,
            wall_clock=lambda: 1000.0,
        )
        self.component = StartComponent(StartSettings(**settings), dependencies)

    def _adopt(self, document: Any, cold: bool, newer: bool) -> bool:
        self.adopted.append((document["rev"], cold, newer))
        return True


def body(rev: int, age: object, count: int = 2, site: str = "default") -> bytes:
    return json.dumps({"rev": rev, "targets": worker_entries(count), "age": age, "site": site}).encode()


def test_a_peers_list_is_an_aged_one_and_a_young_one_admits() -> None:
    async def play() -> None:
        desk = Desk({"rev": 2, "targets": worker_entries(2)}, fresh_s=60.0, same_service_s=600.0)
        desk.component._served.adopt_best()
        assert desk.adopted == [(2, True, False)], "of unknown age: cold, and nothing newer is asked for"
        desk.component._receive("m1", body(5, 5000.0))
        assert desk.adopted[-1] == (5, True, False) and not desk.component._admitted.is_set()
        desk.component._receive("m2", body(4, 5000.0))
        assert len(desk.adopted) == 2, "one that is hardly younger moves the work for nothing"
        desk.component._receive("m2", body(9, 3.0))
        assert desk.adopted[-1] == (9, False, True) and desk.component._admitted.is_set()
        desk.component.service_answered()
        desk.component._receive("m3", body(99, 0.0))
        assert len(desk.adopted) == 3, "the service has spoken"

    asyncio.run(play())


@pytest.mark.parametrize(("offer", "why"), [
    (b"\xff", "reason="), (b"[]", "another site"), (body(5, 1.0, site="x"), "another site"),
    (body(5, None), "no age"), (body(5, True), "no age"), (body(5, -3.0), "absurd age"),
    (body(5, math.nan), "reason="),
    (body(5, 1e9), "s old"), (body(-5, 1.0), "absurd version"), (body(5, 1.0, 0), "empty"),
    (body(5, 1.0, 99), "over 50"),
])  # fmt: skip
def test_a_peers_list_that_is_absurd_is_named_and_not_used(
    offer: bytes, why: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def play() -> None:
        desk = Desk(max_entries=50)
        desk.component._receive("m7", offer)
        assert not desk.adopted and not desk.component._admitted.is_set()

    asyncio.run(play())
    assert "cached list not used: source=peer origin=m7 reason=" in caplog.text and why in caplog.text


def test_only_what_the_service_told_is_given_to_peers_with_its_age() -> None:
    async def play() -> None:
        desk = Desk()
        desk.list = ServiceList(7, worker_entries(3))
        assert desk.component._answer_peer() is None, "an aged list is not handed on: its age would get lost"
        desk.component.service_answered()
        given = json.loads(desk.component._answer_peer() or b"")
        assert given["rev"] == 7 and 0 <= given["age"] < 1.0 and len(given["targets"]) == 3
        desk.list = ServiceList(8, worker_entries(99999))
        assert desk.component._answer_peer() is None

    asyncio.run(play())

"""Start of schedulers: cached endpoint lists by source and age, the snapshot file, fetch admission, and
groups of processes.
"""

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
    UnusableSnapshotError,
    choose_best,
    is_worth_replacing,
    parse_snapshot,
)
from oxbowyard.start.table import StartSettings

DAY_S = 86400.0
CONFIG: dict[str, Any] = json.loads((ROOT / "examples/config.json").read_text())
SUBSCRIBING_SETTINGS = json.loads((ROOT / "tests/settings_asked.json").read_text())


def make_snapshot(source: Source, age_s: float) -> Snapshot:
    return parse_snapshot(source, age_s, {"rev": 1, "targets": worker_entries(2)}, 10)


# ---- Choice of a cached list ----


def test_choose_best_prefers_the_youngest_usable_snapshot() -> None:
    config, old, day = (
        make_snapshot(Source.CONFIG, math.inf),
        make_snapshot(Source.DISK, 500.0),
        make_snapshot(Source.DISK, 2 * DAY_S),
    )
    peer = make_snapshot(Source.PEER, 3.0)
    assert choose_best([config, old, peer], DAY_S) is peer
    assert choose_best([config, old], DAY_S) is old
    assert choose_best([config, day], DAY_S) is config, "a list over the age limit is not used"
    assert choose_best([day], DAY_S) is None and choose_best([], DAY_S) is None
    assert (
        is_worth_replacing(peer, old) and is_worth_replacing(old, None) and not is_worth_replacing(old, peer)
    )
    assert not is_worth_replacing(make_snapshot(Source.PEER, 4.6), make_snapshot(Source.PEER, 5.0)), (
        "a list that is hardly younger would move requests between workers without benefit"
    )


@pytest.mark.parametrize(("document", "why"), [
    (None, "expected an object, found NoneType"), ([], "expected an object, found list"),
    ({"rev": "1", "targets": []}, "field rev: expected an integer from 0 to .*, found '1'"),
    ({"rev": -1, "targets": worker_entries(1)}, "field rev: expected an integer from 0 to .*, found -1"),
    ({"rev": True, "targets": []}, "field rev: expected an integer from 0 to .*, found True"),
    ({"rev": 1 << 70, "targets": worker_entries(1)},
     "field rev: expected an integer from 0 to .*, found 11805"),
    ({"rev": 1, "targets": "x"}, "field targets: expected a list of objects"),
    ({"rev": 1, "targets": [1]}, "field targets: expected a list of objects"),
    ({"rev": 1, "targets": []}, "field targets: empty"),
    ({"rev": 1, "targets": worker_entries(11)}, "field targets: 11 entries, the limit is 10"),
    ({"rev": 1, "targets": worker_entries(2) + worker_entries(1)},
     "field targets: 3 entries have 2 different uid values"),
    ({"rev": 1, "targets": [{}]}, "field targets: 1 entries have 0 different uid values"),
])  # fmt: skip
def test_an_invalid_list_is_rejected_with_the_field_and_the_value(document: object, why: str) -> None:
    with pytest.raises(UnusableSnapshotError, match=why):
        parse_snapshot(Source.PEER, 1.0, document, 10)


# ---- The snapshot file ----


def read_stored(path: Path, site: str = "a", now: float = 1000.0, max_entries: int = 10) -> Snapshot:
    return read_snapshot(path, site, now, DAY_S, max_entries, 1 << 16)


def test_a_written_snapshot_is_read_back_with_its_age(tmp_path: Path) -> None:
    path = tmp_path / "list"
    write_snapshot(path, "a", 900.0, 7, worker_entries(3))
    found = read_stored(path)
    assert (found.age_s, found.revision, len(found.targets), found.source) == (100.0, 7, 3, Source.DISK)
    write_snapshot(path, "a", 990.0, 8, worker_entries(2))
    assert read_stored(path).revision == 8 and os.listdir(tmp_path) == ["list"]


def test_a_snapshot_truncated_or_corrupted_at_any_byte_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "list"
    write_snapshot(path, "a", 900.0, 7, worker_entries(2))
    whole = path.read_bytes()
    for at in range(len(whole)):
        path.write_bytes(whole[:at])
        with pytest.raises(UnusableSnapshotError, match="checksum mismatch"):
            read_stored(path)
        path.write_bytes(whole[:at] + bytes([whole[at] ^ 1]) + whole[at + 1 :])
        with pytest.raises(UnusableSnapshotError, match="checksum mismatch"):
            read_stored(path)


def test_an_unusable_snapshot_file_is_rejected_with_the_reason(tmp_path: Path) -> None:
    path = tmp_path / "list"
    for told_at, site, count, why in (
        (900.0, "b", 2, "list of site 'b', expected site 'a'"),
        (1100.0, "a", 2, "told_at: 100 s ahead of the clock, the limit is 60 s"),
        (900.0, "a", 0, "targets: empty"), (900.0 - DAY_S, "a", 2, "86500 s old, the limit is 86400 s"),
        (900.0, "a", 11, "11 entries, the limit is 10"),
        (math.nan, "a", 2, "told_at: expected a Unix time in seconds, found None"),
    ):  # fmt: skip
        write_snapshot(path, site, told_at, 7, worker_entries(count))
        with pytest.raises(UnusableSnapshotError, match=why):
            read_stored(path)
    with pytest.raises(UnusableSnapshotError, match=r"^file not found$"):
        read_stored(tmp_path / "none")
    with pytest.raises(UnusableSnapshotError, match=f"{tmp_path.name} cannot be read: Is a directory"):
        read_stored(tmp_path)
    path.write_bytes(b"x" * (1 << 17))
    with pytest.raises(UnusableSnapshotError, match="list is over 65536 bytes"):
        read_stored(path)


def test_a_failed_write_keeps_the_previous_snapshot(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "list"
    write_snapshot(path, "a", 900.0, 7, worker_entries(2))

    def raise_disk_full(descriptor: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", raise_disk_full)
    with pytest.raises(OSError, match="No space"):
        write_snapshot(path, "a", 950.0, 8, worker_entries(2))
    assert read_stored(path).revision == 7 and os.listdir(tmp_path) == ["list"]


# ---- Admission ----


def test_few_members_fetch_first_and_the_others_are_staggered_by_rank() -> None:
    names = [f"m{i}" for i in range(300)]
    due_at = {n: FetchAdmission(n, 3, 2.0, Random(n), 0.0).due_at(set(names) - {n}, 1) for n in names}
    assert sorted(rank(n, names) for n in names) == list(range(300))
    assert sum(due == 0.0 for due in due_at.values()) == 3
    for second in (10, 100, 1000):  # without any answer: at most three members fetch in each round
        begun = sum(round_start_s(number, 2.0) < second for number in range(99))
        assert sum(due < second for due in due_at.values()) <= 3 * (2 + begun)
    assert max(due_at.values()) <= round_start_s(99, 2.0) + 1.0


def test_the_next_fetch_round_begins_when_the_first_members_are_dead() -> None:
    names = sorted((f"m{i}" for i in range(30)), key=lambda n: rank(n, [f"m{i}" for i in range(30)]))
    dead = set(names[:3])
    earliest_due = min(
        FetchAdmission(n, 3, 2.0, Random(1), 0.0).due_at(set(names) - {n}, 1) for n in names if n not in dead
    )
    assert 2.0 <= earliest_due <= 3.0, "the dead members are still in the membership view"
    due_after_removal = min(
        FetchAdmission(n, 3, 2.0, Random(1), 0.0).due_at(set(names) - dead - {n}, 1) for n in names[3:]
    )
    assert due_after_removal == 0.0, "members found dead no longer take a place in the first round"


def test_a_member_without_known_peers_uses_the_configured_group_size() -> None:
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
def scheduler_group(tmp_path: Path, service: ListServiceThread, size: int, **start: Any) -> Iterator[Fleet]:
    """Prepare processes with the tables [start] and [membership], without starting them."""
    config = CONFIG | {"discovery": service.address, "settings": SUBSCRIBING_SETTINGS | {"siblings": size}}
    with fleet(tmp_path, config) as schedulers:
        schedulers.other_tables["start"] = {"keep_every_s": 0.3, **start}
        schedulers.stores_snapshots = True
        schedulers.add(size)
        yield schedulers


def stored_revision(member: Member) -> int:
    """Return the revision of the member's snapshot file, or 0 if none was written within the last 60 s."""
    try:
        return read_snapshot(member.folder / "list", "default", time.time(), 60.0, 99, 1 << 20).revision
    except UnusableSnapshotError:
        return 0


def counter_values(members: list[Member], name: str) -> set[int]:
    """Return the distinct values of a counter, read from each member's admin API."""
    return {json.loads(m.call("GET", "/control/counters")[1])[name] for m in members}


def are_ready(members: list[Member]) -> bool:
    return all(m.call("GET", "/control/ready")[0] == 200 for m in members)


def have_discovery_list(members: list[Member]) -> bool:
    return all("list service answered" in m.log() for m in members)


def test_a_group_that_starts_at_once_fetches_few_full_lists(
    tmp_path: Path, service: ListServiceThread
) -> None:
    with scheduler_group(tmp_path, service, 14) as schedulers:
        members = list(schedulers)
        for member in members:
            member.start()
        wait_until(
            lambda: members[0].call("PUT", "/control/scan-workers/w1/offline")[0] == 200,
            "the first member accepts the cordon",
        )
        wait_until(
            lambda: have_discovery_list(members) and are_ready(members),
            "all members have the list from discovery",
        )
        wait_until(
            lambda: counter_values(members, "out_of_rotation") == {1}, "the drain applies at all members"
        )
        assert service.service.count("whole") <= 4
        assert service.service.count("refused") == 0
        assert any("serving a cached list: source=peer" in m.log() for m in members)


def test_schedulers_serve_from_disk_snapshots_while_discovery_is_down(
    tmp_path: Path, service: ListServiceThread
) -> None:
    with scheduler_group(tmp_path, service, 6) as schedulers:
        members = list(schedulers)
        service.service.is_down = True
        for number, member in enumerate(members):
            site = "other" if number == 5 else "default"
            write_snapshot(member.folder / "list", site, time.time() - 300.0, 3, worker_entries(9))
            member.start()
        wait_until(lambda: are_ready(members[:5]), "the members with a snapshot of their own site are ready")
        said = r"serving a cached list: source=disk origin=list age_s=3\d\d workers=9 all_cold=yes"
        assert re.search(said, members[0].log()), members[0].log()
        wait_until(
            lambda: "list of site 'other', expected site 'default'" in members[5].log(),
            "the one with another site's list says so",
        )
        answered = wait_until(lambda: members[5].call("GET", "/control/ready")[0], "its admin API answers")
        assert answered == 503, "it is not ready, since its snapshot belongs to another site"
        service.service.is_down = False
        wait_until(
            lambda: have_discovery_list(members) and are_ready(members),
            "all members have the list from discovery",
            60,
        )
        assert counter_values(members, "registry_entries") == {12}, (
            "the list from discovery replaced the snapshots"
        )
        wait_until(
            lambda: all(stored_revision(m) == 10 for m in members),
            "the snapshot files hold the list from discovery",
        )


def test_truncated_answers_and_an_unwritable_snapshot_path_do_no_harm(
    tmp_path: Path, service: ListServiceThread
) -> None:
    service.service.truncates_answers = True
    with scheduler_group(tmp_path, service, 3) as schedulers:
        members = list(schedulers)
        schedulers.other_tables["start"]["path"] = str(tmp_path / "no such folder" / "list")
        for member in members:
            schedulers.write_config_files(member)
            member.start()
        wait_until(
            lambda: any("discovery unavailable" in m.log() for m in members), "a member has polled discovery"
        )
        assert not any(are_ready([member]) for member in members)
        service.service.truncates_answers = False
        wait_until(lambda: have_discovery_list(members) and are_ready(members), "all members are ready")
        wait_until(
            lambda: all("cached list cannot be written" in m.log() for m in members),
            "all members log the failed write",
        )
        service.publish(targets=worker_entries(13))
        wait_until(
            lambda: counter_values(members, "registry_entries") == {13},
            "all members apply a change of the list",
        )
        assert all(m.log().count("cached list cannot be written") == 1 for m in members)


# ---- One start component, without processes ----


class StartHarness:
    """A start component with a fake program that records the lists adopted."""

    def __init__(self, known: object = None, **settings: Any) -> None:
        self.adopted: list[tuple[int, bool, bool]] = []
        self.list: ServiceList | None = None
        dependencies = StartDependencies(
            name="m0",
            configured_count=4,
            is_shared_service=True,
            random=Random(1),
            known_endpoints=known,
            adopt=self._adopt,
            service_list=lambda: self.list,
            wall_clock=lambda: 1000.0,
        )
        self.component = StartComponent(StartSettings(**settings), dependencies)

    def _adopt(self, document: Any, is_cold: bool, may_resume: bool) -> bool:
        self.adopted.append((document["rev"], is_cold, may_resume))
        return True


def peer_list(rev: int, age: object, count: int = 2, site: str = "default") -> bytes:
    return json.dumps({"rev": rev, "targets": worker_entries(count), "age": age, "site": site}).encode()


def test_an_old_peer_snapshot_is_adopted_cold_and_a_young_one_admits() -> None:
    async def play() -> None:
        harness = StartHarness({"rev": 2, "targets": worker_entries(2)}, fresh_s=60.0, same_service_s=600.0)
        harness.component._served.adopt_best()
        assert harness.adopted == [(2, True, False)], (
            "of unknown age: all workers are cold, and the watch may not resume from it"
        )
        harness.component._receive("m1", peer_list(5, 5000.0))
        assert harness.adopted[-1] == (5, True, False) and not harness.component._admitted.is_set()
        harness.component._receive("m2", peer_list(4, 5000.0))
        assert len(harness.adopted) == 2, "a list that is hardly younger is not adopted"
        harness.component._receive("m2", peer_list(9, 3.0))
        assert harness.adopted[-1] == (9, False, True) and harness.component._admitted.is_set()
        harness.component.service_answered()
        harness.component._receive("m3", peer_list(99, 0.0))
        assert len(harness.adopted) == 3, "discovery has answered, so lists of peers are ignored"

    asyncio.run(play())


@pytest.mark.parametrize(("offer", "why"), [
    (b"\xff", "reason="), (b"[]", "not a list of site 'default'"),
    (peer_list(5, 1.0, site="x"), "not a list of site 'default'"),
    (peer_list(5, None), "field age: expected a number of seconds, found None"),
    (peer_list(5, True), "field age: expected a number of seconds, found True"),
    (peer_list(5, -3.0), "expected an age of 0 s or more, found -3.0 s"),
    (peer_list(5, math.nan), "reason="),
    (peer_list(5, 1e9), "1000000000 s old, the limit is 86400 s"),
    (peer_list(-5, 1.0), "field rev: expected an integer from 0 to 4611686018427387903, found -5"),
    (peer_list(5, 1.0, 0), "field targets: empty"), (peer_list(5, 1.0, 99), "99 entries, the limit is 50"),
])  # fmt: skip
def test_an_invalid_peer_snapshot_is_logged_and_not_adopted(
    offer: bytes, why: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def play() -> None:
        harness = StartHarness(max_entries=50)
        harness.component._receive("m7", offer)
        assert not harness.adopted and not harness.component._admitted.is_set()

    asyncio.run(play())
    assert "cached list not used: source=peer origin=m7 reason=" in caplog.text and why in caplog.text


def test_peers_get_only_a_list_confirmed_by_discovery_with_its_age() -> None:
    async def play() -> None:
        harness = StartHarness()
        harness.list = ServiceList(7, worker_entries(3))
        assert harness.component._answer_peer() is None, (
            "a cached list is not passed on, because its age would be lost"
        )
        harness.component.service_answered()
        given = json.loads(harness.component._answer_peer() or b"")
        assert given["rev"] == 7 and 0 <= given["age"] < 1.0 and len(given["targets"]) == 3
        harness.list = ServiceList(8, worker_entries(99999))
        assert harness.component._answer_peer() is None

    asyncio.run(play())

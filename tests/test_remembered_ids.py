"""The memory of request ids: its limit, its times, and the files that the processes of a scheduler share."""

from __future__ import annotations

import logging
import math
import threading
from pathlib import Path

import pytest

from oxbowyard.core.memory_budget import Holder, MemoryBudget
from oxbowyard.core.repeats import (
    ID_BYTES,
    MIN_IDS,
    MIN_REMEMBER_S,
    REMEMBER_S,
    RememberedIds,
    SentId,
    UnsharedIds,
)
from oxbowyard.handover.shared_ids import MAX_RECORDS, SharedIdFiles, _IdFile

NEVER = None  # the window of a class that must not run twice


class Clock:
    now = 1000.0

    def __call__(self) -> float:
        return self.now


def _ids(clock: Clock, limit_bytes: int = 0) -> tuple[RememberedIds, MemoryBudget]:
    memory = MemoryBudget(limit_bytes)
    return RememberedIds(memory, clock, UnsharedIds()), memory


def _files(folder: Path) -> SharedIdFiles:
    files = SharedIdFiles(folder, "n1")
    files.open()
    return files


def _sent(number: int) -> SentId:
    return SentId(number.to_bytes(16, "little"), 1.0, -math.inf)


def test_ids_under_ever_new_names_take_bounded_memory() -> None:
    # Guards against memory that grows with every new id (issue 56).
    clock = Clock()
    ids, memory = _ids(clock)
    for number in range(3 * MIN_IDS):
        clock.now += 2 * MIN_REMEMBER_S / MIN_IDS
        assert ids.has_space() and ids.claim(f"id{number}", NEVER)
    assert ids.count == MIN_IDS
    assert memory.used_by[Holder.IDS] == MIN_IDS * ID_BYTES
    assert ids.find("id0") is None and ids.find(f"id{3 * MIN_IDS - 1}") is not None


def test_young_ids_are_kept_and_further_work_is_refused_instead() -> None:
    # Guards against a burst of ids that makes the process forget what ran a moment ago (issue 56).
    clock = Clock()
    ids, _ = _ids(clock)
    for number in range(MIN_IDS):
        assert ids.claim(f"id{number}", NEVER)
    assert not ids.has_space() and ids.find("id0") is not None
    clock.now += MIN_REMEMBER_S
    assert ids.has_space()


def test_id_is_remembered_for_as_long_as_a_client_may_wait() -> None:
    clock = Clock()
    ids, memory = _ids(clock)
    ids.claim("a", 4.0)
    ids.claim("b", math.inf)  # a repeat never does harm
    ids.claim("c", NEVER)
    ids.discard("c")  # it certainly did not run
    assert ids.count == 1
    found = ids.find("a")
    assert found is not None and found.repeat_deadline == clock.now + 4.0
    clock.now += REMEMBER_S
    assert ids.find("a") is None and memory.used_bytes == 0


def test_each_id_is_claimed_once_by_processes_at_the_same_time(tmp_path: Path) -> None:
    # Guards against two processes that both take an id for new (issue 56). Several files are filled.
    count = 3 * MAX_RECORDS
    claimed: list[list[int]] = [[], []]
    start = threading.Barrier(2)

    def claim_all(files: SharedIdFiles, mine: list[int]) -> None:
        seen: set[bytes] = set()
        start.wait()
        for number in range(count):
            sent = _sent(number)
            is_first = files.claim(sent)
            seen |= {other.digest for other in files.read_new()}
            if is_first and sent.digest not in seen:
                mine.append(number)

    processes = [
        threading.Thread(target=claim_all, args=(_files(tmp_path), claimed[number])) for number in range(2)
    ]
    for process in processes:
        process.start()
    for process in processes:
        process.join(60)
    both = set(claimed[0]) & set(claimed[1])
    assert not both
    assert len(claimed[0]) + len(claimed[1]) > 0.9 * count
    assert sum(path.stat().st_size for path in tmp_path.iterdir()) < 4 * MAX_RECORDS * 32


def test_later_process_reads_what_an_earlier_one_sent(tmp_path: Path) -> None:
    earlier = _files(tmp_path)
    assert all(earlier.claim(_sent(number)) for number in range(10))
    later = _files(tmp_path)
    assert [sent.digest for sent in later.read_new()] == [_sent(number).digest for number in range(10)]
    assert earlier.claim(_sent(11)) and [sent.digest for sent in later.read_new()] == [_sent(11).digest]


def test_ids_of_before_a_restart_of_the_machine_are_ignored(tmp_path: Path) -> None:
    # Guards against ids that are remembered for days, because the monotonic clock began anew.
    _files(tmp_path).claim(SentId(b"x" * 16, 1e9, -math.inf))
    clock = Clock()
    ids = RememberedIds(MemoryBudget(0), clock, _files(tmp_path))
    ids.find("a")
    assert ids.count == 0


@pytest.mark.parametrize("fault", ["no folder", "full", "unreadable"])
def test_folder_that_fails_is_logged_once_and_stops_no_request(
    tmp_path: Path, fault: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against a broken $TMPDIR that fails all requests which must not run twice.
    folder = tmp_path / "absent" if fault == "no folder" else tmp_path
    files = SharedIdFiles(folder, "n1")

    def fail(*arguments: object) -> int:
        raise OSError(28, "No space left on device")

    if fault == "full":
        monkeypatch.setattr("os.write", fail)
    if fault == "unreadable":
        monkeypatch.setattr("os.pread", fail)
    with caplog.at_level(logging.ERROR):
        files.open()
        assert all(files.claim(_sent(number)) for number in range(5))
        assert list(files.read_new()) == []
    assert len([record for record in caplog.records if "not shared" in record.message]) == 1


def test_one_of_two_processes_that_claim_an_id_at_the_same_time_sends_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a request that neither process sends, because each sees the other's record.
    first, second = (RememberedIds(MemoryBudget(0), Clock(), _files(tmp_path)) for _ in range(2))
    append = _IdFile.append
    claims: list[bool] = []

    def append_beside_another(file: _IdFile, sent: SentId) -> int:
        offset = append(file, sent)
        monkeypatch.setattr(_IdFile, "append", append)
        claims.append(second.claim("both", NEVER))  # between the other's record and its look at the file
        return offset

    monkeypatch.setattr(_IdFile, "append", append_beside_another)
    claims.append(first.claim("both", NEVER))
    assert claims == [False, True]
    assert not first.claim("both", NEVER) and not second.claim("both", NEVER)

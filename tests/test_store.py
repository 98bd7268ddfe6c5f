"""The job store: its guarantees under disk errors, concurrent programs and crashes."""

from __future__ import annotations

import asyncio
import os
import signal
import sqlite3
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from oxbowyard.store.__main__ import main as command
from oxbowyard.store.backup import check, restore, snapshot
from oxbowyard.store.database import Database, connect
from oxbowyard.store.record import (
    Change,
    JobAccepted,
    JobEnded,
    JobStateChanged,
    Lease,
    StoredState,
    StoreError,
    StoreFailure,
)
from oxbowyard.store.writer import StoreHealth, Writer

FAULTS = {
    "full": (sqlite3.SQLITE_FULL, StoreFailure.FULL),
    "fsync": (sqlite3.SQLITE_IOERR_FSYNC, StoreFailure.FAILED),
    "damaged": (sqlite3.SQLITE_CORRUPT, StoreFailure.DAMAGED),
    "read only": (sqlite3.SQLITE_READONLY, StoreFailure.READ_ONLY),
}


def job_accepted(number: int, **changes: Any) -> JobAccepted:
    fields: dict[str, Any] = {
        "number": number,
        "id": f"j{number}",
        "job_class": "once",
        "tenant": "",
        "idempotency_key": "",
        "fingerprint": b"",
        "accepted_at": 1e9,
        "max_wait_s": 60.0,
        "delay_s": 0.0,
        "wait_for_idle": False,
        "priority": None,
        "dependencies": b"[]",
        "request": b"{}",
        "payload": b"sheet",
    }
    return JobAccepted(**(fields | changes))


def job_ended(number: int, at: float = 1e9, by: str = "") -> JobEnded:
    return JobEnded(number, "served", "yes", "", b"made", 0.0, at, by)


def pragma(path: Path, text: str) -> None:
    raw = sqlite3.connect(path)
    raw.execute(f"PRAGMA {text}")
    raw.close()


class FailingConnection:
    """A connection whose n-th write fails, or each write from the n-th on if `lasting`."""

    def __init__(self, path: Path, code: int, at: int, lasting: bool = False) -> None:
        self._db = connect(path)
        self.code, self.at, self.lasting, self.writes = code, at, lasting, 0

    def execute(self, query: str, values: Any = ()) -> Any:
        keyword = query.split(None, 1)[0].upper()
        if keyword in ("INSERT", "UPDATE", "DELETE", "COMMIT", "BEGIN"):
            self.writes += 1
            if self.writes == self.at or (self.lasting and self.writes > self.at):
                fault = sqlite3.OperationalError("injected")
                fault.sqlite_errorcode = self.code
                raise fault
        return self._db.execute(query, values)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._db, name)


def test_applied_changes_are_read_back_after_reopening(tmp_path: Path) -> None:
    path = tmp_path / "jobs.db"
    db = Database(path)
    lease = Lease("secret", "w1", 1e9)
    first_job = job_accepted(1, idempotency_key="k", payload=b"\0\xff", priority=0.5, wait_for_idle=True)
    db.apply([first_job, job_accepted(2), job_accepted(3)])
    db.apply(
        [
            JobStateChanged(1, StoredState.GRANTED, 1, lease),
            JobStateChanged(1, StoredState.STARTED, 1),
            job_ended(2, by="Aiko"),
        ]
    )
    db.apply(
        [
            JobStateChanged(1, StoredState.INDETERMINATE, 1),
            job_ended(2, at=5.0),
            JobStateChanged(2, StoredState.WAITING, 9),
        ]
    )  # changes after the first end are ignored
    db.close()
    db = Database(path)
    first, second = db.find("j1"), db.find("j2")
    assert first is not None and second is not None
    assert (first.state, first.lease, first.accepted.payload) == (StoredState.INDETERMINATE, lease, b"\0\xff")
    assert first.accepted.wait_for_idle is True and db.find_by_idempotency_key("", "k") == first
    assert second.ended == job_ended(2, by="Aiko") and second.accepted.payload == b""
    assert [job.accepted.id for job in db.unfinished_jobs(0, 9)] == ["j1", "j3"]
    assert db.unfinished_jobs(1, 9)[0].accepted.id == "j3" and db.last_number() == 3
    assert db.count_by_state() == {StoredState.INDETERMINATE: 1, StoredState.ENDED: 1, StoredState.WAITING: 1}
    db.close()


@pytest.mark.parametrize("name", FAULTS)
def test_fault_at_any_write_leaves_batch_atomic(name: str, tmp_path: Path) -> None:
    code, failure = FAULTS[name]
    changes: list[Change] = [
        job_accepted(2),
        JobStateChanged(1, StoredState.GRANTED, 1, Lease("s", "w", 1.0)),
        job_ended(1),
    ]
    for at in range(1, 6):  # BEGIN, three changes, COMMIT
        path = tmp_path / f"{at}.db"
        db = Database(path, connect=lambda path: FailingConnection(path, code, 1 << 30))
        db.apply([job_accepted(1)])
        db._db.at = db._db.writes + at
        with pytest.raises(StoreError) as caught:
            db.apply(changes)
        assert caught.value.failure is failure
        assert [job.accepted.id for job in db.unfinished_jobs(0, 9)] == ["j1"]
        db.apply(changes)  # the disk works again
        assert [job.accepted.id for job in db.unfinished_jobs(0, 9)] == ["j2"]
        db.close()
        assert check(path) == 2


def test_store_has_one_owner_and_fenced_owner_cannot_write(tmp_path: Path) -> None:
    path = tmp_path / "jobs.db"
    old = Database(path)
    old.apply([job_accepted(1)])
    with pytest.raises(StoreError, match="another program") as caught:
        Database(path)
    assert caught.value.failure is StoreFailure.LOCKED
    new = Database(path, take_over=True)  # the old owner was stopped and is presumed dead
    with pytest.raises(StoreError) as caught:
        old.apply([job_ended(1)])
    assert caught.value.failure is StoreFailure.FENCED
    new.apply([JobStateChanged(1, StoredState.INDETERMINATE, 1)])
    assert new.count_by_state() == {StoredState.INDETERMINATE: 1}
    with pytest.raises(StoreError, match="another program"):
        Database(path)  # the new owner holds its own lock
    new.close()
    old.close()


@pytest.mark.parametrize(
    ("spoil", "failure"),
    [
        (
            lambda p: p.write_bytes(b"no database at all, but long enough to look at" * 20),
            StoreFailure.FOREIGN,
        ),
        (lambda p: pragma(p, "user_version = 99"), StoreFailure.NEWER),
        (lambda p: pragma(p, "application_id = 7"), StoreFailure.FOREIGN),
        (
            lambda p: p.write_bytes(p.read_bytes()[:4096] + b"x" * (p.stat().st_size - 4096)),
            StoreFailure.DAMAGED,
        ),
        (lambda p: (p.unlink(), p.mkdir()), StoreFailure.READ_ONLY),
    ],
)
def test_unusable_store_is_reported_when_opened(spoil: Any, failure: StoreFailure, tmp_path: Path) -> None:
    path = tmp_path / "jobs.db"
    db = Database(path)
    db.apply([job_accepted(n) for n in range(1, 50)])
    db.close()
    spoil(path)
    with pytest.raises(StoreError) as caught:
        Database(path)
    assert caught.value.failure is failure
    assert isinstance(caught.value, StoreError) and "\n" not in str(caught.value)


def test_older_schema_version_is_migrated(tmp_path: Path) -> None:
    path = tmp_path / "jobs.db"
    db = Database(path)
    db.apply([job_accepted(1), job_ended(1)])
    db.close()
    raw = sqlite3.connect(path)
    raw.execute("ALTER TABLE jobs DROP COLUMN resolved_by")
    raw.close()
    pragma(path, "user_version = 1")
    db = Database(path)
    db.apply([job_accepted(2), job_ended(2, by="Aiko")])
    found = db.find("j2")
    assert found is not None and found.ended is not None and found.ended.resolved_by == "Aiko"
    db.close()


def test_torn_wal_loses_only_unacknowledged_changes(tmp_path: Path) -> None:
    path = tmp_path / "jobs.db"
    db = Database(path)
    db.apply([job_accepted(1)])
    committed_size = path.with_name("jobs.db-wal").stat().st_size
    db.apply([job_accepted(2)])
    copy = tmp_path / "after" / "jobs.db"
    copy.parent.mkdir()
    copy.write_bytes(path.read_bytes())
    wal = path.with_name("jobs.db-wal").read_bytes()
    for size in range(committed_size, len(wal), 997):  # the crash interrupts the second commit
        copy.with_name("jobs.db-wal").write_bytes(wal[:size] + b"\0" * 100)
        copy.with_name("jobs.db-shm").unlink(missing_ok=True)
        torn = Database(copy)
        assert [job.accepted.id for job in torn.unfinished_jobs(0, 9)] == ["j1"]
        torn._db.close()  # without a checkpoint of the WAL
        torn._lock.release()
        copy.write_bytes(path.read_bytes())
    db.close()


def test_prune_deletes_results_by_age_and_count_in_bounded_steps(tmp_path: Path) -> None:
    db = Database(tmp_path / "jobs.db")
    db.apply([job_accepted(n) for n in range(1, 21)] + [job_ended(n, at=float(n)) for n in range(1, 20)])
    assert db.prune(ended_before=6.0, max_results=100, max_deletions=3) == 3
    assert db.prune(ended_before=6.0, max_results=100, max_deletions=30) == 2
    assert db.prune(ended_before=0.0, max_results=10, max_deletions=30) == 4
    assert db.count_by_state() == {StoredState.ENDED: 10, StoredState.WAITING: 1} and db.find("j9") is None
    db.close()


def test_snapshot_is_checked_and_restored(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    path, copy = tmp_path / "jobs.db", tmp_path / "copy.db"
    db = Database(path)
    db.apply([job_accepted(n) for n in range(1, 200)])
    assert snapshot(path, copy) == 199  # while the store is in use
    db.apply([job_ended(1)])
    with pytest.raises(StoreError, match="another program"):
        restore(copy, path)
    db.close()
    assert restore(copy, path) == 199
    db = Database(path)
    assert db.count_by_state() == {StoredState.WAITING: 199}
    db.close()
    copy.write_bytes(copy.read_bytes()[:8192] + b"\xff" * 20_000 + copy.read_bytes()[28_192:])
    with pytest.raises(StoreError) as caught:
        restore(copy, path)
    assert caught.value.failure is StoreFailure.DAMAGED and check(path) == 199
    monkeypatch.setattr("sys.argv", ["store", "check", str(copy)])
    assert command() == 1 and "damaged" in capsys.readouterr().err
    monkeypatch.setattr("sys.argv", ["store", "snapshot", str(path), str(tmp_path / "other.db")])
    assert command() == 0 and "ok, 199 jobs" in capsys.readouterr().out


def test_store_at_max_bytes_is_reported_as_full(tmp_path: Path) -> None:
    db = Database(tmp_path / "jobs.db", max_bytes=64 * 4096)
    with pytest.raises(StoreError) as caught:
        for n in range(1, 1000):
            db.apply([job_accepted(n, payload=b"x" * 4000)])
    assert caught.value.failure is StoreFailure.FULL
    db.close()


# ---- The writer thread ----


async def until(condition: Any) -> None:
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.002)


def test_changes_share_commits_and_are_reported_durable_only_afterwards(tmp_path: Path) -> None:
    async def scene() -> None:
        writer = Writer(Database(tmp_path / "jobs.db"))
        notified: list[int] = []
        for n in range(1, 501):
            writer.put(job_accepted(n))
            writer.when_durable(lambda n=n: notified.append(n))  # type: ignore[misc]
        assert notified == []
        await until(lambda: len(notified) == 500)
        assert notified == list(range(1, 501)) and writer.commits < 100
        assert (await writer.read(lambda db: db.last_number())) == 500
        await writer.close()
        with pytest.raises(StoreError):
            await writer.read(lambda db: db.last_number())

    asyncio.run(scene())


@pytest.mark.parametrize(
    ("name", "lasting", "last"),
    [("full", False, StoreHealth.SERVING), ("fsync", False, StoreHealth.SERVING),
     ("damaged", False, StoreHealth.BROKEN), ("fsync", True, StoreHealth.BROKEN)],
)  # fmt: skip
def test_failing_disk_stalls_store_and_acknowledges_nothing(
    name: str, lasting: bool, last: StoreHealth, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("oxbowyard.store.writer.RETRY_INTERVAL_S", 0.02)
    opened: list[FailingConnection] = []

    def open_(path: Path) -> FailingConnection:
        at = opened[0].at if opened and lasting else 1 << 30
        opened.append(FailingConnection(path, FAULTS[name][0], 1 if at < 1 << 30 else at, lasting))
        return opened[-1]

    async def scene() -> None:
        states: list[StoreHealth] = []
        database = Database(tmp_path / "jobs.db", connect=open_)
        writer = Writer(database, states.append)
        notified: list[str] = []
        opened[0].at = opened[0].writes + 2
        writer.put(job_accepted(1))
        writer.when_durable(lambda: notified.append("safe"))
        await until(lambda: last in states if last is StoreHealth.BROKEN else "safe" in notified)
        assert bool(notified) == (last is StoreHealth.SERVING)
        if last is StoreHealth.SERVING:
            assert states == [StoreHealth.STALLED, StoreHealth.SERVING]
            assert await writer.read(lambda db: db.last_number()) == 1
        await writer.close()

    asyncio.run(scene())


def test_resumed_process_is_fenced_after_takeover(tmp_path: Path) -> None:
    """Stop a real process with SIGSTOP, take its store over, and continue the process."""
    path = tmp_path / "jobs.db"
    code = f"""
import sys; sys.path.insert(0, {str(Path(__file__).parent)!r})
from pathlib import Path
from test_store import Database, StoreError, job_accepted, time
db = Database(Path({str(path)!r}))
for n in range(1, 1_000_000):
    try:
        db.apply([job_accepted(n)])
    except StoreError as fault:
        print(n, fault.failure.value, flush=True)
        break
    print(n, flush=True)
    time.sleep(0.02)  # most of its time it is between transactions
"""
    root = str(Path(__file__).parent.parent)
    process = subprocess.Popen(
        [sys.executable, "-c", code], stdout=subprocess.PIPE, text=True, env=os.environ | {"PYTHONPATH": root}
    )
    try:
        assert process.stdout
        for _ in range(20):
            process.stdout.readline()
        process.send_signal(signal.SIGSTOP)
        time.sleep(0.05)
        for _ in range(50):  # stopped within a transaction, it keeps the database locked
            try:
                successor = Database(path, take_over=True)
                break
            except StoreError as fault:
                assert fault.failure is StoreFailure.LOCKED
                process.send_signal(signal.SIGCONT)
                time.sleep(0.01)
                process.send_signal(signal.SIGSTOP)
                time.sleep(0.02)
        known = successor.last_number()
        process.send_signal(signal.SIGCONT)
        *acknowledged, last = process.stdout.read().split("\n")[:-1]
        assert last.split()[1] == "fenced"
        assert successor.last_number() == known and all(int(n) <= known for n in acknowledged)
        successor.close()
    finally:
        process.kill()
        process.wait(10)
        if process.stdout:
            process.stdout.close()

"""The store's writer thread: after any failure it continues or reports itself broken, and no caller hangs."""

from __future__ import annotations

import asyncio
import contextlib
import sqlite3
import threading
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from test_store import job_accepted, job_ended

from oxbowyard.store.committer import PruneLimits
from oxbowyard.store.database import Database, connect
from oxbowyard.store.record import Change, StoredState, StoreError
from oxbowyard.store.writer import StoreHealth, Writer

WAIT_S = 5.0  # an operation that takes longer is taken as hanging
KEEP_ALL = PruneLimits(ended_before=0.0, max_results=1_000, max_deletions=100)
KEEP_NONE = PruneLimits(ended_before=2e9, max_results=1_000, max_deletions=100)


def sqlite_error(code: int) -> sqlite3.OperationalError:
    error = sqlite3.OperationalError("injected")
    error.sqlite_errorcode = code
    return error


class HookedConnection:
    """A connection that passes each statement to a hook, which may raise."""

    def __init__(self, path: Path, hook: Callable[[str], None]) -> None:
        self._db = connect(path)
        self._hook = hook

    @classmethod
    def over(cls, db: Any, hook: Hook) -> HookedConnection:
        """Wrap a connection that is already open."""
        hooked = cls.__new__(cls)
        hooked._db = db
        hooked._hook = lambda query: hook.check(query)
        return hooked

    def execute(self, query: str, values: Any = ()) -> Any:
        self._hook(query)
        return self._db.execute(query, values)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._db, name)


class Hook:
    """The check that the connections of a store run before each statement; does nothing until set."""

    def __init__(self) -> None:
        self.check: Callable[[str], None] = lambda query: None
        self.opened = 0

    def connect(self, path: Path) -> HookedConnection:
        self.opened += 1
        return HookedConnection(path, lambda query: self.check(query))


def play(scene: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(3 * WAIT_S):
            await scene()

    asyncio.run(bounded())


async def until(condition: Callable[[], Any]) -> None:
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.002)


async def wait_until_committed(writer: Writer, change: Change) -> None:
    """Put a change and wait until it is on disk."""
    durable = asyncio.Event()
    writer.put(change)
    writer.when_durable(durable.set)
    async with asyncio.timeout(WAIT_S):
        await durable.wait()


async def last_number(writer: Writer) -> int:
    async with asyncio.timeout(WAIT_S):
        return await writer.read(lambda database: database.last_number())


async def hold_thread(writer: Writer) -> threading.Event:
    """Block the thread in a query until the returned event is set.

    Items that are queued meanwhile form its next batch.
    """
    entered, release = threading.Event(), threading.Event()

    def wait(database: Database) -> None:
        entered.set()
        release.wait(WAIT_S)

    task = asyncio.create_task(writer.read(wait))
    await until(entered.is_set)
    task.add_done_callback(lambda done: done.cancelled() or done.exception())
    return release


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("oxbowyard.store.writer.PRUNE_INTERVAL_S", 0.02)
    monkeypatch.setattr("oxbowyard.store.writer.RETRY_INTERVAL_S", 0.02)


def test_error_while_counting_old_results_is_retried(tmp_path: Path) -> None:
    # Guards against a store whose health is "serving" after one disk error has ended its thread.
    hook = Hook()
    failures: list[str] = []

    def fail_once(query: str) -> None:
        if "count(*)" in query and not failures:
            failures.append(query)
            raise sqlite_error(sqlite3.SQLITE_IOERR_READ)

    async def scene() -> None:
        writer = Writer(Database(tmp_path / "jobs.db", connect=hook.connect), prune_limits=lambda: KEEP_ALL)
        await wait_until_committed(writer, job_accepted(1))
        hook.check = fail_once
        await until(lambda: failures)
        await wait_until_committed(writer, job_accepted(2))
        assert await last_number(writer) == 2 and writer.health is StoreHealth.SERVING
        await writer.close()

    play(scene)


@pytest.mark.parametrize("error", [ValueError("a fault of ours"), MemoryError(), SystemExit(1)])
def test_unexpected_error_is_logged_and_reported_as_broken_store(
    error: BaseException, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against a thread that ends while the store's health is "serving".
    hook = Hook()

    def fail(query: str) -> None:
        if query.startswith("INSERT"):
            raise error

    async def scene() -> None:
        states: list[StoreHealth] = []
        writer = Writer(Database(tmp_path / "jobs.db", connect=hook.connect), states.append)
        hook.check = fail
        release = await hold_thread(writer)
        writer.put(job_accepted(1))
        in_batch = asyncio.create_task(last_number(writer))
        await asyncio.sleep(0)
        release.set()
        with pytest.raises(StoreError, match="the store is broken"):
            await in_batch
        await until(lambda: StoreHealth.BROKEN in states)
        with pytest.raises(StoreError, match="the store is broken"):
            await last_number(writer)
        await writer.close()

    play(scene)
    assert "store health=broken: " in caplog.text and repr(error) in caplog.text


def test_reads_batched_with_permanently_failing_commit_raise(tmp_path: Path) -> None:
    # Guards against a query that is dropped with its batch, so that its caller waits for ever.
    hook = Hook()

    def fail(query: str) -> None:
        if query.startswith("INSERT"):
            raise sqlite_error(sqlite3.SQLITE_CORRUPT)

    async def scene() -> None:
        writer = Writer(Database(tmp_path / "jobs.db", connect=hook.connect))
        hook.check = fail
        release = await hold_thread(writer)
        before = asyncio.create_task(last_number(writer))
        await asyncio.sleep(0)
        writer.put(job_accepted(1))
        after = asyncio.create_task(last_number(writer))
        await asyncio.sleep(0)
        release.set()
        for read in (before, after):
            with pytest.raises(StoreError, match="the store is broken"):
                await read
        await writer.close()

    play(scene)


def test_read_queued_while_thread_ends_raises(tmp_path: Path) -> None:
    # Guards against a query that is queued after the check of the store's health and before the thread ends.
    async def scene() -> None:
        writer = Writer(Database(tmp_path / "jobs.db"))
        await writer.close()
        writer.health = StoreHealth.SERVING  # as seen by a caller that checked it before the close
        with pytest.raises(StoreError):
            await last_number(writer)

    play(scene)


def test_cancelled_read_does_not_end_the_thread(tmp_path: Path) -> None:
    # Guards against setting the result of a cancelled query, which raises in the thread and ends it.
    async def scene() -> None:
        writer = Writer(Database(tmp_path / "jobs.db"))
        release = await hold_thread(writer)
        cancelled_read = asyncio.create_task(last_number(writer))
        await asyncio.sleep(0)
        cancelled_read.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await cancelled_read
        release.set()
        await wait_until_committed(writer, job_accepted(1))
        assert await last_number(writer) == 1
        await writer.close()

    play(scene)


def test_closing_reports_closed_health(tmp_path: Path) -> None:
    async def scene() -> None:
        states: list[StoreHealth] = []
        writer = Writer(Database(tmp_path / "jobs.db"), states.append)
        await wait_until_committed(writer, job_accepted(1))
        await writer.close()
        await until(lambda: StoreHealth.CLOSED in states)

    play(scene)


def test_thread_that_outlives_event_loop_closes_the_store(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a thread that raises when it reports to a closed event loop and leaves the store locked.
    raised: list[object] = []
    monkeypatch.setattr(threading, "excepthook", raised.append)
    path, hook, writers = tmp_path / "jobs.db", Hook(), []
    release: list[threading.Event] = []

    def fail(query: str) -> None:
        if query.startswith("INSERT"):
            raise sqlite_error(sqlite3.SQLITE_CORRUPT)

    async def scene() -> None:
        writer = Writer(Database(path, connect=hook.connect))
        hook.check = fail
        release.append(await hold_thread(writer))
        writer.put(job_accepted(1))
        writers.append(writer)

    play(scene)
    release[0].set()
    writers[0]._thread.join(WAIT_S)
    assert not writers[0]._thread.is_alive() and raised == []
    Database(path).close()


def test_changes_queued_while_disk_fails_do_not_use_up_retries(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a busy store that uses up its retries within milliseconds because each queued item ends
    # the pause between them.
    monkeypatch.setattr("oxbowyard.store.writer.RETRY_INTERVAL_S", 60.0)
    hook = Hook()
    failed: list[float] = []

    def fail(query: str) -> None:
        if query.startswith("INSERT"):
            failed.append(time.monotonic())
            raise sqlite_error(sqlite3.SQLITE_IOERR_FSYNC)

    async def scene() -> None:
        states: list[StoreHealth] = []
        writer = Writer(Database(tmp_path / "jobs.db", connect=hook.connect), states.append)
        hook.check = fail
        writer.put(job_accepted(1))
        await until(lambda: StoreHealth.STALLED in states)
        for number in range(2, 40):
            writer.put(job_accepted(number))
            await asyncio.sleep(0.005)
        assert len(failed) == 1 and writer.health is StoreHealth.STALLED
        await writer.close()  # returns at once, without waiting for the disk
        assert states[-1] is StoreHealth.BROKEN

    play(scene)


def test_old_results_are_deleted_under_steady_load(tmp_path: Path) -> None:
    # Guards against a store that prunes only when idle, and so grows under load until it is full.
    async def scene() -> None:
        writer = Writer(Database(tmp_path / "jobs.db"), prune_limits=lambda: KEEP_NONE)
        stop = time.monotonic() + WAIT_S
        number = 0
        while time.monotonic() < stop:
            number += 1
            writer.put(job_accepted(number))
            await wait_until_committed(writer, job_ended(number))
            counts = await writer.read(lambda database: database.count_by_state())
            if counts.get(StoredState.ENDED, 0) < number:
                break
        else:
            pytest.fail("no ended job was deleted under load")
        await writer.close()

    play(scene)


def test_full_store_recovers_by_deleting_expired_results(tmp_path: Path) -> None:
    # Guards against a store that stays stalled because it deletes only when it has nothing to write.
    async def scene() -> None:
        limits = [KEEP_ALL]
        writer = Writer(Database(tmp_path / "jobs.db", max_bytes=64 * 4096), prune_limits=lambda: limits[0])
        number = 0
        while writer.health is StoreHealth.SERVING:
            number += 1
            writer.put(job_accepted(number))
            writer.put(replace(job_ended(number), result=b"x" * 2000))
            await asyncio.sleep(0.001)
        assert writer.health is StoreHealth.STALLED
        limits[0] = KEEP_NONE
        await until(lambda: writer.health is StoreHealth.SERVING)
        await writer.close()

    play(scene)


def test_a_fenced_store_deletes_nothing(tmp_path: Path) -> None:
    # Guards against a process that was presumed dead and deletes results of its successor.
    async def scene() -> None:
        states: list[StoreHealth] = []
        path = tmp_path / "jobs.db"
        limits = [KEEP_ALL]
        writer = Writer(Database(path), states.append, prune_limits=lambda: limits[0])
        writer.put(job_accepted(1))
        await wait_until_committed(writer, job_ended(1))
        successor = Database(path, take_over=True)
        limits[0] = KEEP_NONE
        await until(lambda: StoreHealth.FENCED in states)
        assert successor.find("j1") is not None
        await writer.close()
        successor.close()

    play(scene)

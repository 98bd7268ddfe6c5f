"""Each SQLite call of a run fails in turn: no caller hangs and no acknowledged job is lost."""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Awaitable
from pathlib import Path
from typing import Any

import pytest
from test_durable import DurableHarness, play
from test_job_queue import answer_ok
from test_store_thread import Hook, HookedConnection, sqlite_error

from oxbowyard.store.database import Database
from oxbowyard.store.writer import LOST_STATES, StoreHealth, Writer
from oxbowyard.waiting.job import JobOutcome, JobRejectedError

WAIT_S = 5.0
CALLS = 80  # upper bound of the SQLite calls that one run makes
ERRORS = {
    "i/o error": sqlite3.SQLITE_IOERR_READ,
    "full": sqlite3.SQLITE_FULL,
    "locked": sqlite3.SQLITE_BUSY,
    "damaged": sqlite3.SQLITE_CORRUPT,
}


class FailingCalls:
    """Counts the calls; fails call number `at`, or each call from there on if `lasting`."""

    def __init__(self, at: int, code: int, lasting: bool) -> None:
        self.at, self.code, self.lasting, self.calls = at, code, lasting, 0

    def check(self, query: str) -> None:
        self.calls += 1
        if self.calls == self.at or (self.lasting and self.calls > self.at):
            raise sqlite_error(self.code)


async def within_timeout(work: Awaitable[Any]) -> Any:
    """Return the result of the awaitable, or None if the store rejects it; fail if it hangs."""
    async with asyncio.timeout(WAIT_S):
        try:
            return await work
        except JobRejectedError:
            return None


def install_failing_calls(harness: DurableHarness, calls: FailingCalls) -> Writer:
    """Route the SQLite calls of the store through `calls`."""
    writer = harness.durable_store._writer
    hook = Hook()
    hook.check = calls.check
    database = writer._database
    database._connect = hook.connect
    database._db = HookedConnection.over(database._db, hook)
    return writer


async def run_with_fault(path: Path, calls: FailingCalls) -> list[str]:
    """Run a store with one fault and return the ids of the acknowledged jobs."""
    harness = DurableHarness(path, answer_ok)
    writer = install_failing_calls(harness, calls)
    acknowledged = []
    recovery = asyncio.create_task(harness.recovery.run())  # concurrent with submissions, as in the daemon
    for id_, delay_s in (("a", 0.0), ("b", 60.0), ("c", 60.0)):
        if await within_timeout(acknowledge(harness, id_, delay_s)):
            acknowledged.append(id_)
    harness.job_queue.cancel("b")
    await within_timeout(harness.job_queue.find_record("c"))
    await within_timeout(harness.job_queue.find_record("unknown"))
    await asyncio.sleep(0.05)  # the writer prunes old results meanwhile
    assert writer._thread.is_alive() or writer.health in LOST_STATES
    if not calls.lasting:  # a stalled store may reject a job, but it must recover from a single error
        await within_timeout(harness.until(lambda: writer.health is not StoreHealth.STALLED))
    if await within_timeout(acknowledge(harness, "last", 60.0)):
        acknowledged.append("last")
        if "a" in acknowledged:
            await harness.until(
                lambda: harness.state("a") is JobOutcome.SERVED or writer.health in LOST_STATES
            )
    else:
        assert writer.health is not StoreHealth.SERVING
    async with asyncio.timeout(WAIT_S):
        await harness.durable_store.close()
        await recovery
    return acknowledged


async def acknowledge(harness: DurableHarness, id_: str, delay_s: float) -> bool:
    await harness.submit(id_, delay_s=delay_s)
    return True


@pytest.mark.parametrize(
    ("error", "lasting"),
    [*((error, False) for error in ERRORS), *((error, True) for error in ERRORS if error != "full")],
)
def test_failing_sqlite_call_blocks_no_caller_and_loses_no_acknowledged_job(
    error: str, lasting: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a failing SQLite call that stops the store without an error being reported.
    monkeypatch.setattr("oxbowyard.store.writer.PRUNE_INTERVAL_S", 0.02)
    monkeypatch.setattr("oxbowyard.store.writer.RETRY_INTERVAL_S", 0.005)
    monkeypatch.setattr("oxbowyard.durable.recovery.READ_RETRY_INTERVAL_S", 0.005, raising=False)

    async def scene() -> None:
        for at in range(1, CALLS):
            path = tmp_path / f"{at}.db"
            calls = FailingCalls(at, ERRORS[error], lasting)
            acknowledged = await run_with_fault(path, calls)
            if not lasting and error != "damaged":
                assert "last" in acknowledged, f"call {at}: the store did not recover"
            successor = Database(path, take_over=True)
            missing = [id_ for id_ in acknowledged if successor.find(id_) is None]
            successor.close()
            assert not missing, f"call {at}: acknowledged jobs were lost"
            if calls.calls < at:
                return
        assert calls.calls < CALLS

    play(scene)


def test_permanently_full_disk_stalls_store_until_closed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a client that waits for ever: a full store stays stalled and retries until it is closed.
    monkeypatch.setattr("oxbowyard.store.writer.RETRY_INTERVAL_S", 0.005)

    async def scene() -> None:
        harness = DurableHarness(tmp_path / "jobs.db", answer_ok)
        writer = install_failing_calls(harness, FailingCalls(1, sqlite3.SQLITE_FULL, lasting=True))
        waiting = asyncio.ensure_future(harness.submit("a", delay_s=60.0))
        await harness.until(lambda: writer.health is StoreHealth.STALLED)
        with pytest.raises(JobRejectedError, match="full or failing"):
            await harness.submit("b", delay_s=60.0)
        await harness.durable_store.close()
        with pytest.raises(JobRejectedError):
            await waiting

    play(scene)

"""Recovery of jobs of earlier runs while reads from the disk fail."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from test_durable import DurableHarness, play
from test_job_queue import answer_ok, hang

from oxbowyard.store.database import Database
from oxbowyard.store.record import StoreError, StoreFailure
from oxbowyard.waiting.job import Dependency, JobRejectedError, JobState, RejectionCode

JOBS = 20
PAGE = 6


@pytest.fixture(autouse=True)
def short_interval(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("oxbowyard.durable.recovery.READ_RETRY_INTERVAL_S", 0.01, raising=False)


async def successor(path: Path) -> DurableHarness:
    """Return a scheduler on the store of an earlier one, which left waiting jobs."""
    harness = DurableHarness(path, hang)
    for number in range(JOBS):
        await harness.submit(f"j{number}", delay_s=60.0)
    harness.job_queue.stop()
    await harness.durable_store.close()
    new = DurableHarness(path, answer_ok)
    new.recovery._page_size = PAGE
    return new


def failing(
    query: Callable[..., Any], at: int, failure: StoreFailure, lasting: bool = False
) -> Callable[..., Any]:
    """Return the query with call number `at` failing, or each call from there on if `lasting`."""
    calls = [0]

    def call(*arguments: Any) -> Any:
        calls[0] += 1
        if calls[0] == at or (lasting and calls[0] > at):
            raise StoreError(failure, "injected")
        return query(*arguments)

    return call


@pytest.mark.parametrize(
    ("query", "at"), [("last_number", 1), *(("unfinished_jobs", n) for n in range(1, 6))]
)
@pytest.mark.parametrize("failure", [StoreFailure.FAILED, StoreFailure.LOCKED])
def test_recovery_read_that_fails_once_loses_no_job(
    failure: StoreFailure, query: str, at: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a recovery that takes an unreadable page for the end of the jobs.
    async def scene() -> None:
        new = await successor(tmp_path / "jobs.db")
        monkeypatch.setattr(Database, query, failing(getattr(Database, query), at, failure))
        await new.recovery.run()
        assert [new.state(f"j{number}") for number in range(JOBS)] == [JobState.SCHEDULED] * JOBS
        new.queue_harness.submit("child", dependencies=(Dependency("j19"),))
        with pytest.raises(JobRejectedError) as caught:
            new.queue_harness.submit("other", dependencies=(Dependency("unknown"),))
        assert caught.value.code is not RejectionCode.RECOVERING
        await new.durable_store.close()

    play(scene)


@pytest.mark.parametrize(
    ("query", "at"), [("last_number", 1), ("unfinished_jobs", 1), ("unfinished_jobs", 2)]
)
def test_recovery_stops_on_damaged_store_and_dependents_stay_rejected(
    query: str, at: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against resolving dependencies when some jobs were never recovered.
    async def scene() -> None:
        new = await successor(tmp_path / "jobs.db")
        damaged = failing(getattr(Database, query), at, StoreFailure.DAMAGED, lasting=True)
        monkeypatch.setattr(Database, query, damaged)
        async with asyncio.timeout(5.0):
            await new.recovery.run()
        assert "recovery of earlier jobs stopped: damaged" in caplog.text
        with pytest.raises(JobRejectedError) as caught:
            new.queue_harness.submit("child", dependencies=(Dependency("j19"),))
        assert caught.value.code is RejectionCode.RECOVERING
        await new.durable_store.close()

    play(scene)

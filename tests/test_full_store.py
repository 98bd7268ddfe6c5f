"""A full store: jobs that were accepted go on, further ones are rejected at once, and reads are answered."""

from __future__ import annotations

import asyncio
import math
import sqlite3
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from test_durable import DurableHarness, play
from test_job_queue import answer_ok
from test_store_faults import install_failing_calls
from test_store_thread import sqlite_error

from benchmarks.full_store import LABEL_CHECKS, measure
from oxbowyard.core.request import AttemptContext, AttemptOutcome, Request
from oxbowyard.decision.facade import Result
from oxbowyard.store.writer import StoreHealth
from oxbowyard.waiting.job import JobOutcome, JobRejectedError, RejectionCode

STORE_BYTES = 4 << 20
LARGE_PAYLOAD = b"x" * 60_000
LARGE_RESULT = b"y" * 60_000
REJECTED_WITHIN_S = 1.0
MAX_LABEL_CHECK_DELAY_S = 4.0  # their class has a deadline of 5 s


def run_with_limit(path: Path, max_bytes: int, attempt: Any = answer_ok, **more: Any) -> DurableHarness:
    """Return a scheduler whose store has a size limit."""
    return DurableHarness(path, attempt, max_store_bytes=max_bytes, **more)


async def submit(run: DurableHarness, id_: str, payload: bytes, **wait: Any) -> bool:
    """Submit a job; return whether it was acknowledged. A rejection must come soon."""
    began = time.monotonic()
    rejection: JobRejectedError | None = None
    try:
        await run.submit(id_, "free", payload=payload, **wait)
    except JobRejectedError as error:
        rejection = error
    if rejection is None:
        return True
    assert rejection.code is RejectionCode.STORE_UNAVAILABLE and rejection.retry_after_s > 0
    assert time.monotonic() - began < REJECTED_WITHIN_S
    return False


async def answer_large(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    return AttemptOutcome(Result.OK, LARGE_RESULT)


def test_keyed_results_are_kept_and_later_jobs_rejected(tmp_path: Path) -> None:
    # Guards against a job that runs twice because its key was forgotten to make space.
    async def scene() -> None:
        run = run_with_limit(tmp_path / "jobs.db", 1 << 20, answer_large, max_ended=1)
        limits = run.durable_store._prune_limits()
        run.durable_store._writer._committer._prune_limits = lambda: replace(
            limits, evictable_before=math.inf
        )
        accepted = []
        for number in range(30):
            id_ = f"job{number}"
            if await submit(run, id_, b"small", idempotency_key=f"key{number}"):
                accepted.append(id_)
            await run.until(lambda: all(id_ in run.queue_harness.results for id_ in accepted))
        assert 5 < len(accepted) < 20, "the store is full of results with a key"
        await asyncio.sleep(2.5)  # the store's thread deletes old results every second
        for id_ in accepted:
            assert await run.find_outcome(id_) is JobOutcome.SERVED
        await run.durable_store.close()

    play(scene)


@pytest.mark.parametrize("burst", [200, 2_000])
def test_accepted_jobs_go_on_while_a_burst_fills_the_store(burst: int, tmp_path: Path) -> None:
    # Guards against a store in which what was accepted waits behind submissions that do not fit.
    async def scene() -> None:
        run = run_with_limit(tmp_path / "jobs.db", STORE_BYTES)
        early = [f"early{number}" for number in range(3)]
        for id_ in early:
            assert await submit(run, id_, b"label", delay_s=0.3)
        ids = [f"job{number}" for number in range(burst)]
        accepted = await asyncio.gather(*(submit(run, id_, LARGE_PAYLOAD) for id_ in ids))
        assert 10 < sum(accepted) < burst
        acknowledged = early + [id_ for id_, is_accepted in zip(ids, accepted, strict=True) if is_accepted]
        await run.until(lambda: all(id_ in run.queue_harness.results for id_ in acknowledged))
        outcomes = [run.queue_harness.results[id_].outcome for id_ in acknowledged]
        assert outcomes == [JobOutcome.SERVED] * len(acknowledged)
        assert len(run.sent) == len(set(run.sent)) == len(acknowledged)
        assert await submit(run, "later", LARGE_PAYLOAD), "a store that has drained accepts jobs again"
        assert run.durable_store._writer.health is StoreHealth.SERVING
        await run.durable_store.close()

    play(scene)


def test_results_that_fill_the_store_give_way_to_later_ones(tmp_path: Path) -> None:
    async def scene() -> None:
        run = run_with_limit(tmp_path / "jobs.db", 1 << 20, answer_large)
        ids = [f"job{number}" for number in range(60)]
        accepted = [id_ for id_ in ids if await submit(run, id_, b"small")]
        await run.until(lambda: all(id_ in run.queue_harness.results for id_ in accepted))
        assert len(accepted) >= 10 and run.durable_store._writer.health is StoreHealth.SERVING
        await run.durable_store.close()
        again = run_with_limit(tmp_path / "jobs.db", 1 << 20)
        await again.recovery.run()
        assert await again.find_outcome(accepted[-1]) is JobOutcome.SERVED, "the latest result is kept"
        await again.durable_store.close()

    play(scene)


def test_store_that_is_full_at_the_start_accepts_no_jobs(tmp_path: Path) -> None:
    async def scene() -> None:
        run = run_with_limit(tmp_path / "jobs.db", 1 << 20)
        number = 0
        for _ in range(2):  # what is in use is known exactly a second after the latest commit
            while await submit(run, f"job{number}", LARGE_PAYLOAD, delay_s=60.0):
                number += 1
            await asyncio.sleep(1.2)
        again = run_with_limit(tmp_path / "jobs.db", 1 << 20)
        assert not await submit(again, "first", LARGE_PAYLOAD)
        await again.durable_store.close()

    play(scene)


def test_small_jobs_with_large_results_all_end(tmp_path: Path) -> None:
    # Guards against results that find no space because small jobs were accepted up to the limit.
    async def scene() -> None:
        run = run_with_limit(tmp_path / "jobs.db", 1 << 20, answer_large)
        ids = [f"job{number}" for number in range(60)]
        accepted = [id_ for id_ in ids if await submit(run, id_, b"small", delay_s=1.0)]
        await run.until(lambda: all(id_ in run.queue_harness.results for id_ in accepted))
        assert len(accepted) == 60
        assert {run.queue_harness.results[id_].outcome for id_ in accepted} == {JobOutcome.SERVED}
        await run.durable_store.close()

    play(scene)


def test_reads_are_answered_while_the_disk_is_full(tmp_path: Path) -> None:
    # Guards against a status query that waits for changes which cannot be committed.
    class FullDisk:
        is_full = False

        def check(self, query: str) -> None:
            if self.is_full and query == "COMMIT":
                raise sqlite_error(sqlite3.SQLITE_FULL)

    async def scene() -> None:
        run = run_with_limit(tmp_path / "jobs.db", STORE_BYTES)
        disk = FullDisk()
        writer = install_failing_calls(run, disk)  # type: ignore[arg-type]
        assert await submit(run, "kept", b"label", delay_s=60.0)
        assert await submit(run, "due", b"label", delay_s=0.2)
        disk.is_full = True
        await run.until(lambda: writer.health is StoreHealth.STALLED)
        for id_ in ("kept", "unknown"):
            async with asyncio.timeout(1.0):
                await run.durable_store.journal.find_record(id_)
        assert not await submit(run, "refused", b"label")
        disk.is_full = False
        await run.until(lambda: "due" in run.queue_harness.results)
        assert await submit(run, "again", b"label")
        await run.durable_store.close()

    play(scene)


def test_daemon_rejects_a_burst_that_does_not_fit_and_runs_all_that_it_accepted(tmp_path: Path) -> None:
    # The review's case, with real processes: label checks are accepted, then a burst comes.
    found = asyncio.run(measure(200, 4, tmp_path))
    assert found.burst.reasons == {"503 not_kept"} and len(found.burst.rejected_s) > 50
    assert len(found.run_ids) == len(set(found.run_ids)) == len(found.burst.accepted_s) + LABEL_CHECKS
    assert found.latest_start_s < MAX_LABEL_CHECK_DELAY_S and not found.has_stalled

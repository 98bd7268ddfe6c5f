"""Durable jobs that may run twice only for a while: no send of such a job comes too late, over every restart.

A crash is simulated by a successor that takes over the store; the time that the scheduler is away, by a step
of its wall clock.
"""

from __future__ import annotations

import asyncio
import json
import sqlite3
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from test_durable import DurableHarness, play
from test_job_queue import FREE, ONCE, Attempt, answer_ok, hang

from oxbowyard.core.request import AttemptContext, AttemptOutcome, Request
from oxbowyard.decision.facade import Result
from oxbowyard.decision.settings import JobClass, RetrySafety
from oxbowyard.waiting.job import Dependency, DependencyCondition, JobOutcome, JobState

WINDOW_S = 7.5
IN_TIME_S, TOO_LATE_S = 4.0, 9.0
GUARDED = replace(
    FREE,
    name="job",
    retry_safety=RetrySafety.DEDUPLICATED,
    dedup_scope="all",
    dedup_window_ms=WINDOW_S * 1000,
)
BY_ZONE = replace(GUARDED, dedup_scope="zone")
SHORT = replace(GUARDED, dedup_window_ms=1000.0)
ALWAYS = replace(FREE, name="job")
NEVER = replace(ONCE, name="job")


def run_of(path: Path, away_s: float = 0.0, job_class: JobClass = GUARDED, **more: Any) -> DurableHarness:
    """Return a run of the scheduler that begins when earlier ones have been away for a time."""
    attempt = more.pop("attempt", answer_ok)
    harness = DurableHarness(path, attempt, classes=(job_class,), **more)
    harness.stepped = away_s
    return harness


async def sent_before_crash(
    path: Path, job_class: JobClass = GUARDED, attempt: Attempt = hang, **wait: Any
) -> DurableHarness:
    """Return a scheduler that crashes after it has sent the job `a`."""
    old = run_of(path, job_class=job_class, attempt=attempt)
    await old.submit("a", "job", **wait)
    await old.until(lambda: old.sent and old.state("a") is JobState.STARTED)
    await old.job_queue.intake.wait_until_durable()
    return old


async def recovered_state(run: DurableHarness) -> JobState | JobOutcome | None:
    """Recover the job `a`, and return its state once it is in doubt or has ended."""
    await run.recovery.run()
    await run.until(lambda: run.state("a") is JobState.INDETERMINATE or "a" in run.job_queue._driver.results)
    return run.state("a")


async def reject_as_unsent(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
    return AttemptOutcome(Result.FULL)


def silent_first(answered: list[str]) -> Any:
    """Return an attempt that says nothing the first time, and answers a repeat."""

    async def attempt(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        answered.append(request.id)
        return await (hang if len(answered) == 1 else answer_ok)(backend, request, context)

    return attempt


@pytest.mark.parametrize("restarts", [1, 2])
def test_job_is_not_sent_again_after_its_repeat_window(restarts: int, tmp_path: Path) -> None:
    # Guards against a keyed job that runs twice: sent, crash, and sent again once workers forgot its key.
    leases: list[str] = []

    async def note_lease(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        leases.append(request.lease)
        return await hang(backend, request, context)

    async def scene() -> None:
        path = tmp_path / "jobs.db"
        await sent_before_crash(path, attempt=note_lease, idempotency_key="k", fingerprint=b"p")
        for _ in range(restarts):
            new = run_of(path, TOO_LATE_S)
            assert await recovered_state(new) is JobState.INDETERMINATE
            assert new.sent == []
        record = await new.job_queue.find_record("a")
        assert record is not None and "it was granted to w" in record.job.reason
        assert new.job_queue.deliver_late_result(
            "a", leases[0], JobOutcome.SERVED, b"filed"
        )  # its worker's word
        await new.until(lambda: new.state("a") is JobOutcome.SERVED)
        await new.durable_store.close()

    play(scene)


def test_job_is_repeated_under_its_id_within_its_repeat_window(tmp_path: Path) -> None:
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        await sent_before_crash(path, idempotency_key="k", fingerprint=b"p")
        new = run_of(path, IN_TIME_S)
        assert await recovered_state(new) is JobOutcome.SERVED
        assert new.sent == ["a"]  # a worker may know the first one by its id alone
        await new.durable_store.close()

    play(scene)


def test_repeat_window_counts_from_the_first_of_several_sends(tmp_path: Path) -> None:
    # Guards against a window that begins anew with each run of the program.
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        await sent_before_crash(path)
        second = run_of(path, IN_TIME_S, attempt=hang)
        await second.recovery.run()
        await second.until(lambda: second.sent == ["a"])
        third = run_of(path, TOO_LATE_S)
        assert await recovered_state(third) is JobState.INDETERMINATE and third.sent == []
        await third.durable_store.close()

    play(scene)


@pytest.mark.parametrize(
    ("before", "after", "away_s", "expected"),
    [
        (GUARDED, SHORT, 2.0, JobState.INDETERMINATE),
        (SHORT, GUARDED, 2.0, JobState.INDETERMINATE),
        (GUARDED, ALWAYS, IN_TIME_S, JobOutcome.SERVED),
        (GUARDED, ALWAYS, TOO_LATE_S, JobState.INDETERMINATE),
        (GUARDED, BY_ZONE, IN_TIME_S, JobState.INDETERMINATE),
        (GUARDED, NEVER, IN_TIME_S, JobState.INDETERMINATE),
        (BY_ZONE, GUARDED, IN_TIME_S, JobState.INDETERMINATE),
        (NEVER, GUARDED, IN_TIME_S, JobState.INDETERMINATE),
        (NEVER, ALWAYS, IN_TIME_S, JobState.INDETERMINATE),
        (ALWAYS, GUARDED, IN_TIME_S, JobState.INDETERMINATE),
        (ALWAYS, NEVER, IN_TIME_S, JobState.INDETERMINATE),
        (ALWAYS, ALWAYS, TOO_LATE_S, JobOutcome.SERVED),
    ],
)
def test_stricter_of_both_settings_holds_for_a_job_that_was_sent(
    before: JobClass, after: JobClass, away_s: float, expected: JobState | JobOutcome, tmp_path: Path
) -> None:
    # Guards against a repeat that the settings of the first run, or those of this run, forbid.
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        await sent_before_crash(path, before)
        new = run_of(path, away_s, after)
        assert await recovered_state(new) is expected
        assert new.sent == (["a"] if expected is JobOutcome.SERVED else [])
        await new.durable_store.close()

    play(scene)


def test_job_sent_in_a_run_that_recorded_no_grants_is_in_doubt_in_the_next(tmp_path: Path) -> None:
    # Guards against settings that change twice: a middle run sends the job without a record.
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        first = run_of(path, job_class=NEVER)
        await first.submit("a", "job", delay_s=60.0)
        middle = run_of(path, 61.0, ALWAYS, attempt=hang)
        await middle.recovery.run()
        await middle.until(lambda: middle.sent == ["a"])
        last = run_of(path, 62.0, NEVER)
        assert await recovered_state(last) is JobState.INDETERMINATE and last.sent == []
        await last.durable_store.close()

    play(scene)


def test_job_that_was_never_due_is_kept_when_its_class_becomes_stricter(tmp_path: Path) -> None:
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        first = run_of(path, job_class=ALWAYS)
        await first.submit("a", "job", delay_s=60.0)
        new = run_of(path, 1.0, NEVER)
        await new.recovery.run()
        assert new.state("a") is JobState.SCHEDULED
        await new.durable_store.close()

    play(scene)


def make_store_of_earlier_release(path: Path) -> None:
    """Remove what earlier releases did not record."""
    database = sqlite3.connect(path)
    for number, request in database.execute("SELECT number, req FROM jobs").fetchall():
        fields = {name: value for name, value in json.loads(request).items() if name != "grants"}
        database.execute(
            "UPDATE jobs SET req = ?, kept = 'waiting', asks = 0, lease = NULL, backend = NULL, "
            "granted_at = NULL, reason = NULL WHERE number = ?",
            (json.dumps(fields).encode(), number),
        )
    database.commit()
    database.close()


@pytest.mark.parametrize(
    ("job_class", "away_s", "expected"),
    [
        (GUARDED, TOO_LATE_S, JobState.INDETERMINATE),
        (GUARDED, -3600.0, JobState.INDETERMINATE),
        (GUARDED, IN_TIME_S, JobOutcome.SERVED),
        (NEVER, TOO_LATE_S, JobOutcome.SERVED),  # no grant was recorded, so it never ran
        (ALWAYS, TOO_LATE_S, JobOutcome.SERVED),
    ],
)
def test_store_of_earlier_release_tells_which_jobs_may_have_run(
    job_class: JobClass, away_s: float, expected: JobState | JobOutcome, tmp_path: Path
) -> None:
    # Guards against an upgrade that repeats what the earlier release sent without a record.
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        old = await sent_before_crash(path, job_class)
        await old.durable_store.close()
        make_store_of_earlier_release(path)
        new = run_of(path, away_s, job_class)
        assert await recovered_state(new) is expected
        await new.durable_store.close()

    play(scene)


@pytest.mark.parametrize("earlier_release", [True, False])
def test_repeat_that_was_sent_itself_keeps_the_first_window(earlier_release: bool, tmp_path: Path) -> None:
    # Guards against a window that begins anew because the first send has no grant or its class changed.
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        old = await sent_before_crash(path)
        await old.durable_store.close()
        if earlier_release:
            make_store_of_earlier_release(path)
        job_class = GUARDED if earlier_release else ALWAYS
        sent: list[str] = []
        second = run_of(path, WINDOW_S - 0.6, job_class, attempt=silent_first(sent), lease_s=0.8)
        assert await recovered_state(second) is JobState.INDETERMINATE
        assert sent == ["a"] and second.sent == ["a"]
        third = run_of(path, TOO_LATE_S, job_class)
        assert await recovered_state(third) is JobState.INDETERMINATE and third.sent == []
        await third.durable_store.close()

    play(scene)


def test_child_that_waits_for_any_end_leaves_the_record_of_the_first_send(tmp_path: Path) -> None:
    # Guards against a release that is recorded in place of the grant of an earlier run.
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        await sent_before_crash(path)
        second = run_of(path, IN_TIME_S, ALWAYS, attempt=hang)
        await second.recovery.run()
        await second.until(lambda: second.state("a") is JobState.STARTED)
        await second.submit("b", "job", dependencies=(Dependency("a", DependencyCondition.ENDED),))
        third = run_of(path, TOO_LATE_S, ALWAYS)
        assert await recovered_state(third) is JobState.INDETERMINATE
        assert third.state("b") is JobState.BLOCKED
        await third.durable_store.close()

    play(scene)


@pytest.mark.parametrize("restarts", [1, 2])
@pytest.mark.parametrize(
    ("away_s", "expected"), [(IN_TIME_S, JobOutcome.SERVED), (TOO_LATE_S, JobState.INDETERMINATE)]
)
def test_job_that_an_earlier_release_may_have_sent_in_between_is_not_taken_as_unsent(
    away_s: float, expected: JobState | JobOutcome, restarts: int, tmp_path: Path
) -> None:
    # Guards against an upgrade, a way back and a second upgrade: the release between recorded no sends.
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        first = run_of(path, workers=0)
        await first.submit("a", "job")
        await first.durable_store.close()
        database = sqlite3.connect(path)
        database.execute("UPDATE meta SET value = value + 1 WHERE key = 'epoch'")  # it opened the store
        database.commit()
        database.close()
        for _ in range(restarts - 1):
            unsent = run_of(path, 1.0, workers=0)
            await unsent.recovery.run()
            await unsent.job_queue.intake.wait_until_durable()
        new = run_of(path, away_s)
        found = await recovered_state(new)
        assert found is (expected if restarts == 1 else JobState.INDETERMINATE)
        assert new.sent == (["a"] if found is JobOutcome.SERVED else [])
        await new.durable_store.close()

    play(scene)


@pytest.mark.parametrize("change", ["clock stepped back", "machine restarted", "uptime went back"])
def test_time_away_that_no_clock_tells_allows_no_repeat(
    change: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a repeat allowed by a clock that was set back.
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        window = replace(GUARDED, dedup_window_ms=200.0) if change == "clock stepped back" else GUARDED
        await sent_before_crash(path, window)
        if change == "clock stepped back":
            await asyncio.sleep(0.25)
        elif change == "machine restarted":
            monkeypatch.setattr("oxbowyard.durable.machine_clock._read_boot_id", lambda: "another")
        else:
            monkeypatch.setattr("time.clock_gettime", lambda clock: 0.0)
        new = run_of(path, -3600.0 if change == "clock stepped back" else 0.1, window)
        assert await recovered_state(new) is JobState.INDETERMINATE and new.sent == []
        await new.durable_store.close()

    play(scene)


@pytest.mark.parametrize("workers", ["none", "full"])
def test_recovered_job_that_finds_no_worker_in_its_window_is_in_doubt(workers: str, tmp_path: Path) -> None:
    # Guards against "expired, it never ran" and "refused" for a job that may have run.
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        await sent_before_crash(path)
        new = run_of(path, WINDOW_S - 0.5, workers=0 if workers == "none" else 4, attempt=reject_as_unsent)
        assert await recovered_state(new) is JobState.INDETERMINATE
        job = new.job_queue.find("a")
        assert job is not None and "look whether it was done" in job.reason
        await new.durable_store.close()

    play(scene)


@pytest.mark.parametrize(("lease_s", "window_s"), [(0.2, 5.0), (0.3, 0.2)])
def test_silent_worker_lets_a_job_be_repeated_only_within_its_window(
    lease_s: float, window_s: float, tmp_path: Path
) -> None:
    # Guards against a lease that expires later than the workers remember the job.
    async def scene() -> None:
        sent: list[str] = []
        window = replace(GUARDED, dedup_window_ms=window_s * 1000)
        run = run_of(tmp_path / "jobs.db", 0.0, window, attempt=silent_first(sent), lease_s=lease_s)
        await run.submit("a", "job")
        if lease_s < window_s:
            await run.until(lambda: run.state("a") is JobOutcome.SERVED)
            assert sent == ["a", "a"]
        else:
            await run.until(lambda: run.state("a") is JobState.INDETERMINATE)
            assert sent == ["a"]
        await run.durable_store.close()

    play(scene)


def test_crash_after_a_lease_expired_keeps_the_first_send(tmp_path: Path) -> None:
    # Guards against a job that waits to be repeated and is recorded as one that never ran.
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        old = run_of(path, attempt=silent_first([]), lease_s=0.1, retry_first_s=60.0, retry_most_s=60.0)
        await old.submit("a", "job")
        await old.until(lambda: old.state("a") is JobState.SCHEDULED)
        await old.job_queue.intake.wait_until_durable()
        new = run_of(path, TOO_LATE_S)
        assert await recovered_state(new) is JobState.INDETERMINATE and new.sent == []
        await new.durable_store.close()

    play(scene)


@pytest.mark.parametrize(
    ("job_class", "expected"), [(GUARDED, JobOutcome.REJECTED), (NEVER, JobState.INDETERMINATE)]
)
def test_deadline_without_an_end_ends_a_job_that_workers_deduplicate(
    job_class: JobClass, expected: JobState | JobOutcome, tmp_path: Path
) -> None:
    async def scene() -> None:
        brief = replace(job_class, deadline_ms=200.0)
        run = run_of(tmp_path / "jobs.db", job_class=brief, attempt=hang)
        await run.submit("a", "job")
        await run.until(lambda: run.state("a") is expected)
        job = run.job_queue.find("a")
        assert job is not None and job.run_state.value == "open" and run.sent == ["a"]
        await run.durable_store.close()

    play(scene)


def test_shutdown_leaves_an_interrupted_job_to_the_next_run(tmp_path: Path) -> None:
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        old = run_of(path, attempt=hang, lease_s=0.3)
        await old.submit("a", "job")
        await old.until(lambda: old.state("a") is JobState.STARTED)
        old.job_queue.stop()
        async with asyncio.timeout(5.0):
            await old.job_queue.wait_until_idle()
        assert old.state("a") is JobState.SCHEDULED
        await old.durable_store.close()
        new = run_of(path, IN_TIME_S)
        assert await recovered_state(new) is JobOutcome.SERVED and new.sent == ["a"]
        await new.durable_store.close()

    play(scene)


def test_cancelled_job_that_waits_to_be_repeated_says_that_it_may_run(tmp_path: Path) -> None:
    async def scene() -> None:
        old = run_of(tmp_path / "jobs.db", attempt=hang, lease_s=0.1, retry_first_s=60.0, retry_most_s=60.0)
        await old.submit("a", "job")
        await old.until(lambda: old.state("a") is JobState.SCHEDULED)
        old.job_queue.cancel("a")
        await old.until(lambda: "a" in old.job_queue._driver.results)
        assert old.job_queue._driver.results["a"].run_state.value == "open"
        await old.durable_store.close()

    play(scene)


def test_proof_that_a_recovered_job_never_ran_outlives_the_next_restart(tmp_path: Path) -> None:
    # Guards against an acknowledged "never ran" that is forgotten, so that the job is in doubt again.
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        await sent_before_crash(path)
        second = run_of(path, TOO_LATE_S, workers=0)
        assert await recovered_state(second) is JobState.INDETERMINATE
        assert second.job_queue.resolve("a", "Aiko", None)
        await second.job_queue.intake.wait_until_durable()
        third = run_of(path, 2 * TOO_LATE_S)
        assert await recovered_state(third) is JobOutcome.SERVED
        await third.durable_store.close()

    play(scene)

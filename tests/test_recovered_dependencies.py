"""Jobs that wait for others, recovered after a crash: none runs before its dependencies allow it.

A crash is simulated by a successor that takes over the store; the time that the scheduler is away, by a step
of its wall clock.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from test_durable import DurableHarness, play
from test_job_queue import FREE, ONCE, answer_ok, hang

from oxbowyard.core.request import AttemptContext, AttemptOutcome, Request, RunState
from oxbowyard.decision.facade import Result
from oxbowyard.durable.recovery import Recovery
from oxbowyard.waiting.job import Dependency, DependencyCondition, JobOutcome, JobState

SERVED, ENDED = DependencyCondition.SERVED, DependencyCondition.ENDED
OTHER = replace(FREE, name="other")
PAGE_SIZES = (1, 2, 500)
PARENT_WAIT_S, AWAY_S = 5.0, 8.0


def run_of(path: Path, away_s: float = 0.0, page_size: int = 500, **more: Any) -> DurableHarness:
    """Return a run of the scheduler that begins when earlier ones have been away for a time."""
    attempt = more.pop("attempt", answer_ok)
    harness = DurableHarness(path, attempt, **more)
    harness.stepped = away_s
    harness.recovery._page_size = page_size
    return harness


async def submit_timed(run: DurableHarness, id_: str, job_class: str = "free", **wait: Any) -> None:
    """Submit a job that is not due before the crash."""
    await run.submit(id_, job_class, **{"delay_s": 3.0, "max_wait_s": PARENT_WAIT_S} | wait)


async def submit_after(run: DurableHarness, id_: str, *after: str, condition: Any = SERVED) -> None:
    """Submit a job that waits for others, longer than the scheduler is away."""
    await run.submit(
        id_, "once", dependencies=tuple(Dependency(a, condition) for a in after), max_wait_s=600.0
    )


async def ends(run: DurableHarness, *ids: str) -> list[Any]:
    """Return the outcomes of these jobs once all have ended."""
    await run.until(lambda: all(id_ in run.job_queue._driver.results for id_ in ids))
    return [run.state(id_) for id_ in ids]


@pytest.mark.parametrize("page_size", PAGE_SIZES)
def test_child_of_a_parent_that_expired_while_away_never_runs(page_size: int, tmp_path: Path) -> None:
    # Guards against an accession that runs after a crash though its label check never did.
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        old = run_of(path)
        await submit_timed(old, "parent")
        await submit_after(old, "child", "parent")
        await submit_after(old, "grandchild", "child")
        await submit_timed(old, "timed", max_wait_s=600.0)
        await submit_after(old, "mixed", "timed", "parent")
        new = run_of(path, AWAY_S, page_size)
        await new.recovery.run()
        assert await ends(new, "parent", "child", "grandchild", "timed", "mixed") == [
            JobOutcome.WAIT_EXPIRED,
            JobOutcome.DEPENDENCY_FAILED,
            JobOutcome.DEPENDENCY_FAILED,
            JobOutcome.SERVED,
            JobOutcome.DEPENDENCY_FAILED,
        ]
        assert new.sent == ["timed"] and new.recovery.counts.dependency_failed == 3
        assert new.job_queue._driver.results["child"].reason.startswith("parent ")
        await new.durable_store.close()

    play(scene)


@pytest.mark.parametrize("page_size", PAGE_SIZES)
def test_child_that_waits_for_any_end_runs_after_a_parent_that_expired(
    page_size: int, tmp_path: Path
) -> None:
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        old = run_of(path)
        await submit_timed(old, "parent")
        await submit_after(old, "child", "parent", condition=ENDED)
        await submit_after(old, "failed", "parent")
        await submit_after(old, "grandchild", "failed", condition=ENDED)
        new = run_of(path, AWAY_S, page_size)
        await new.recovery.run()
        assert await ends(new, "child", "failed", "grandchild") == [
            JobOutcome.SERVED,
            JobOutcome.DEPENDENCY_FAILED,
            JobOutcome.SERVED,
        ]
        await new.durable_store.close()

    play(scene)


def test_second_crash_just_after_the_recovery_releases_no_child(tmp_path: Path) -> None:
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        old = run_of(path)
        for number in range(30):
            await submit_timed(old, f"parent{number}")
            await submit_after(old, f"child{number}", f"parent{number}")
        for restart in range(4):  # each crashes in the middle of its recovery
            run = run_of(path, AWAY_S + restart, 4, workers=0)
            recovery = asyncio.create_task(run.recovery.run())
            while run.state(f"child{restart * 6}") is None:
                await asyncio.sleep(0.001)
            recovery.cancel()
        last = run_of(path, AWAY_S + 5.0)
        await last.recovery.run()
        children = [await last.find_outcome(f"child{number}") for number in range(30)]
        assert children == [JobOutcome.DEPENDENCY_FAILED] * 30 and last.sent == []
        await last.durable_store.close()

    play(scene)


def test_child_of_a_parent_whose_class_is_gone_waits_for_it(tmp_path: Path) -> None:
    # Guards against a child that runs because its parent is left in the store.
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        old = run_of(path, classes=(FREE, ONCE, OTHER))
        await submit_timed(old, "parent", "other", max_wait_s=600.0)
        await submit_after(old, "child", "parent")
        await submit_after(old, "grandchild", "child")
        await old.submit("brief", "once", dependencies=(Dependency("parent"),), max_wait_s=1.5)
        without = run_of(path, 1.0, classes=(FREE, ONCE))
        await without.recovery.run()
        assert await ends(without, "brief") == [JobOutcome.WAIT_EXPIRED]  # in time, and it never ran
        assert without.state("child") is JobState.BLOCKED and without.state("grandchild") is JobState.BLOCKED
        assert without.sent == []
        again = run_of(path, AWAY_S, classes=(FREE, ONCE, OTHER))
        await again.recovery.run()
        assert await ends(again, "parent", "child", "grandchild") == [JobOutcome.SERVED] * 3
        assert again.sent == ["parent", "child", "grandchild"]
        await again.durable_store.close()

    play(scene)


def test_child_is_orphaned_by_a_parent_that_left_memory_during_the_recovery(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a child judged by what the store said before its parent ended.
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        old = run_of(path)
        await old.submit("parent", "free", delay_s=60.0, max_wait_s=0.6)
        await submit_after(old, "child", "parent")
        new = run_of(path, 0.2, 1, keep_ended_s=0.01)
        read_page = Recovery._read_page

        async def read_then_wait(recovery: Recovery, after: int, last: int) -> Any:
            page = await read_page(recovery, after, last)
            if page and page[0].stored.accepted.id == "child":
                await new.until(lambda: new.job_queue.find("parent") is None)
            return page

        monkeypatch.setattr(Recovery, "_read_page", read_then_wait)
        await new.recovery.run()
        await new.job_queue.intake.wait_until_durable()
        assert await new.find_outcome("child") is JobOutcome.DEPENDENCY_FAILED and new.sent == []
        await new.durable_store.close()

    play(scene)


def test_child_waits_for_a_parent_that_was_sent_before_the_crash(tmp_path: Path) -> None:
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        old = run_of(path, attempt=hang)
        await old.submit("parent", "once")
        await old.until(lambda: old.state("parent") is JobState.STARTED)
        await submit_after(old, "child", "parent", condition=ENDED)
        for away_s in (1.0, 2.0):
            new = run_of(path, away_s)
            await new.recovery.run()
            assert new.state("parent") is JobState.INDETERMINATE and new.state("child") is JobState.BLOCKED
        assert new.job_queue.resolve("parent", "Aiko", JobOutcome.FAILED)
        assert await ends(new, "child") == [JobOutcome.SERVED]
        await new.durable_store.close()

    play(scene)


@pytest.mark.parametrize("handed_in", ["before the parent is sent", "while it runs", "after a restart"])
@pytest.mark.parametrize("end", ["expired", "cancelled"])
def test_child_is_orphaned_by_a_repeatable_parent_that_may_still_run(
    handed_in: str, end: str, tmp_path: Path
) -> None:
    # Guards against a child that waits for any end and runs beside its parent, which outlived the scheduler.
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        run = run_of(path, attempt=hang)
        await run.submit("parent", "free", delay_s=0.2, max_wait_s=PARENT_WAIT_S)
        if handed_in == "before the parent is sent":
            await submit_after(run, "child", "parent", condition=ENDED)
        await run.until(lambda: run.state("parent") is JobState.STARTED)
        if handed_in == "while it runs":
            await submit_after(run, "child", "parent", condition=ENDED)
        elif handed_in == "after a restart":
            run = run_of(path, 1.0, attempt=hang)
            await run.recovery.run()
            await run.until(lambda: run.state("parent") is JobState.STARTED)
            await submit_after(run, "child", "parent", condition=ENDED)
        new = run_of(path, AWAY_S if end == "expired" else 2.0, 1, workers=0)
        await new.recovery.run()
        new.job_queue.cancel("parent")
        parent, child = await ends(new, "parent", "child")
        assert parent is (JobOutcome.WAIT_EXPIRED if end == "expired" else JobOutcome.CANCELLED)
        assert child is JobOutcome.DEPENDENCY_FAILED
        assert new.job_queue._driver.results["parent"].run_state is RunState.MAY_BE_RUNNING
        await new.durable_store.close()

    play(scene)


def test_parent_that_was_rejected_before_the_crash_never_ran(tmp_path: Path) -> None:
    async def reject(backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        return AttemptOutcome(Result.FULL)

    async def scene() -> None:
        path = tmp_path / "jobs.db"
        old = run_of(path, attempt=reject, retry_first_s=4.0)
        await old.submit("parent", "free", delay_s=0.1, max_wait_s=PARENT_WAIT_S)
        await submit_after(old, "child", "parent", condition=ENDED)
        await old.until(lambda: old.sent and old.state("parent") is JobState.SCHEDULED)
        await old.job_queue.intake.wait_until_durable()
        new = run_of(path, AWAY_S)
        await new.recovery.run()
        assert await ends(new, "parent", "child") == [JobOutcome.WAIT_EXPIRED, JobOutcome.SERVED]
        assert new.job_queue._driver.results["parent"].run_state is RunState.NEVER_RAN
        await new.durable_store.close()

    play(scene)


async def delete_answers(run: DurableHarness) -> None:
    await run.durable_store._writer.read(lambda database: database.prune(math.inf, 0, 100))


@pytest.mark.parametrize("restarts", [1, 3])
def test_child_outlives_the_deletion_of_its_parents_answer(restarts: int, tmp_path: Path) -> None:
    # Guards against a child that is orphaned after a restart though its parent was served.
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        run = run_of(path)
        await run.submit("parent", "free")
        await run.submit("timed", "free", delay_s=50.0, max_wait_s=600.0)
        await submit_after(run, "child", "parent", "timed")
        assert await ends(run, "parent") == [JobOutcome.SERVED]
        for restart in range(restarts):
            await run.job_queue.intake.wait_until_durable()
            await delete_answers(run)
            run = run_of(path, 1.0 + restart)
            await run.recovery.run()
            assert run.state("child") is JobState.BLOCKED
        await delete_answers(run)
        last = run_of(path, 60.0)
        await last.recovery.run()
        assert await ends(last, "timed", "child") == [JobOutcome.SERVED, JobOutcome.SERVED]
        await last.durable_store.close()

    play(scene)


def test_child_submitted_after_the_end_of_its_parent_outlives_the_deletion_of_the_answer(
    tmp_path: Path,
) -> None:
    # Guards against a child that is orphaned after a restart though its parent was served before it came.
    async def scene() -> None:
        path = tmp_path / "jobs.db"
        run = run_of(path)
        await run.submit("parent", "free")
        await run.submit("timed", "free", delay_s=50.0, max_wait_s=600.0)
        assert await ends(run, "parent") == [JobOutcome.SERVED]
        await submit_after(run, "child", "parent", "timed")
        await run.submit(
            "delayed", "once", dependencies=(Dependency("parent"),), delay_s=50.0, max_wait_s=600.0
        )
        await delete_answers(run)
        last = run_of(path, 1.0)
        await last.recovery.run()
        assert last.state("child") is JobState.BLOCKED and last.state("delayed") is JobState.SCHEDULED
        await last.durable_store.close()

    play(scene)

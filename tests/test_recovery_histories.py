"""Random histories of durable jobs over several crashes: what must hold for every one of them.

Each history has several runs of the scheduler on one store. A run begins after a time away, by a step of the
wall clock, with workers that serve, reject, lose or hang. Then it is cut off.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import pytest
from test_durable import DurableHarness, play
from test_job_queue import FREE, ONCE, answer_ok, hang

from oxbowyard.core.request import AttemptContext, AttemptOutcome, Request, RunState, reason_not_to_send
from oxbowyard.decision.facade import Result
from oxbowyard.decision.settings import RetrySafety
from oxbowyard.waiting.dependencies import is_satisfied
from oxbowyard.waiting.job import Dependency, DependencyCondition, JobOutcome, JobState

SEEDS = range(12)
RUNS = 5
JOBS_PER_RUN = 6
WINDOW_S = 7.5
SLACK_S = 0.1  # a send follows its record, which has the time
AWAY_S = (0.5, 2.0, 4.0, 9.0)
PATIENCE_S = (3.0, 10.0, 600.0)
DELAYS_S = (0.0, 0.0, 0.05, 3.0)
GUARDED = replace(
    FREE,
    name="guarded",
    retry_safety=RetrySafety.DEDUPLICATED,
    dedup_scope="all",
    dedup_window_ms=WINDOW_S * 1000,
)
CLASSES = (FREE, ONCE, GUARDED)


@dataclass
class Worker:
    """The workers as one run of the scheduler reaches them. A run that was cut off may still be sending."""

    history: History
    only_serves: bool
    run: DurableHarness = field(init=False)

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        if reason_not_to_send(request, context):  # as each transport asks
            return AttemptOutcome(Result.NOT_SENT)
        job_id = request.id.partition("~")[0]
        kinds = ("serve",) if self.only_serves else ("serve", "reject", "lose", "hang")
        kind = self.history.random.choice(kinds)
        await self.history.check_send(self.run, job_id, may_run=kind != "reject")
        if kind == "reject":
            return AttemptOutcome(Result.FULL)
        if kind == "lose":
            context.is_last_byte_written = True
            return AttemptOutcome(Result.RESET)
        return await (answer_ok if kind == "serve" else hang)(backend, request, context)


@dataclass
class History:
    """What the workers and the clients saw."""

    random: random.Random
    path: Path
    now_s: float = 0.0  # steps of the wall clock so far
    classes: dict[str, str] = field(default_factory=dict)
    dependencies: dict[str, tuple[Dependency, ...]] = field(default_factory=dict)
    ended: dict[str, tuple[JobOutcome, RunState]] = field(default_factory=dict)  # as recorded, by job
    first_run_s: dict[str, float] = field(
        default_factory=dict
    )  # wall clock of the first possible run, by job
    violations: list[str] = field(default_factory=list)
    run: DurableHarness = field(init=False)

    def begin_run(self, is_last: bool) -> None:
        self.now_s += self.random.choice(AWAY_S)
        worker = Worker(self, only_serves=is_last)
        lease_s = self.random.choice((None, 0.05))
        settings: dict[str, Any] = {"keep_ended_s": self.random.choice((0.01, 600.0))}
        self.run = worker.run = DurableHarness(
            self.path, worker.attempt, lease_s, classes=CLASSES, **settings
        )
        self.run.stepped = self.now_s
        self.run.recovery._page_size = self.random.choice((1, 3, 500))

    async def check_send(self, run: DurableHarness, job_id: str, may_run: bool) -> None:
        """Check the rules at a send, by the clock and the queue of the run that sends."""
        now_s = run.wall()
        first_s = self.first_run_s.get(job_id)
        if first_s is not None:
            limit_s = {"free": float("inf"), "guarded": WINDOW_S + SLACK_S, "once": -1.0}
            if now_s - first_s > limit_s[self.classes[job_id]]:
                self.violations.append(f"{job_id} sent again after {now_s - first_s:.2f} s")
        elif may_run:
            self.first_run_s[job_id] = now_s
        for dependency in self.dependencies[job_id]:
            end = self.end_of(dependency.id) or await self.recorded_end(dependency.id)
            if end is None or not is_satisfied(*end, dependency.condition):
                self.violations.append(f"{job_id} sent, {dependency.id} is {end}")

    def end_of(self, job_id: str) -> tuple[JobOutcome, RunState] | None:
        job = self.run.job_queue.find(job_id)
        if job is not None and job.outcome is not None:
            return job.outcome, job.run_state
        return self.ended.get(job_id)

    async def recorded_end(self, job_id: str) -> tuple[JobOutcome, RunState] | None:
        record = await self.run.job_queue.find_record(job_id)
        return (record.result.outcome, record.result.run_state) if record and record.result else None

    async def submit(self) -> None:
        known = [id_ for id_ in self.dependencies if self.run.job_queue.find(id_) is not None]
        parents = self.random.sample(known, min(len(known), self.random.choice((0, 0, 1, 2))))
        dependencies = tuple(
            Dependency(id_, self.random.choice(list(DependencyCondition)))
            for id_ in parents
            if self.end_of(id_) is None
        )
        job_id = f"j{len(self.dependencies)}"
        self.classes[job_id] = self.random.choice(("free", "once", "guarded"))
        self.dependencies[job_id] = dependencies
        await self.run.submit(
            job_id,
            self.classes[job_id],
            dependencies=dependencies,
            delay_s=self.random.choice(DELAYS_S),
            max_wait_s=self.random.choice(PATIENCE_S),
        )

    async def play_run(self, is_last: bool) -> None:
        self.begin_run(is_last)
        recovery = asyncio.create_task(self.run.recovery.run())
        if self.random.random() < 0.8 or is_last:
            await recovery
            for _ in range(JOBS_PER_RUN):
                await self.submit()
                if self.random.random() < 0.2:
                    self.run.job_queue.cancel(self.random.choice(list(self.dependencies)))
        await asyncio.sleep(self.random.choice((0.0, 0.02, 0.15)))
        recovery.cancel()
        await self.run.job_queue.intake.wait_until_durable()
        await self.note_ends()

    async def note_ends(self) -> None:
        """Note the recorded ends, none of which may change."""
        for job_id in self.dependencies:
            end = await self.recorded_end(job_id)
            if end is not None and self.ended.setdefault(job_id, end) != end:
                self.violations.append(f"{job_id} ended {self.ended[job_id]}, later {end}")

    async def settle(self) -> None:
        """Wait until every job has ended, is in doubt, or waits for one that is."""
        unsettled = {JobState.SCHEDULED, JobState.READY, JobState.SUBMITTED, JobState.STARTED}
        await self.run.until(lambda: not any(self.run.state(id_) in unsettled for id_ in self.dependencies))


@pytest.mark.parametrize("seed", SEEDS)
def test_no_history_repeats_too_late_or_runs_before_dependencies(seed: int, tmp_path: Path) -> None:
    # Guards against any order of crash, absence, rejection, silence and cancel that breaks these rules.
    history = History(random.Random(seed), tmp_path / "jobs.db")

    async def scene() -> None:
        for number in range(RUNS):
            await history.play_run(is_last=number == RUNS - 1)
        await history.settle()
        await history.note_ends()
        await history.run.durable_store.close()

    play(scene)
    assert history.violations == []
    assert history.ended

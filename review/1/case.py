"""A keyed job that may have run is sent again after a crash, when the workers have long forgotten its key."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import aiohttp
from harness import TROUBLE, CannotRunError, Client, Run, Stage, job_class, run_case

MEMORY_S = 7.5  # `lanes[].memorySpan`
AWAY_S = 9.0  # from the kill to the start of the next process
SLACK_S = 0.5  # the pages give 50 ms, and 150 ms to a scheduler that is held up
JOBS = 4
RUN_S = 0.5

OPERATOR = """
[waiting]

[durable]
path = "{store}"
"""


async def play(stage: Stage) -> list[str]:
    """Hand keyed jobs in, kill the scheduler while they run, and start it again."""
    fleet = await stage.fleet(["w1", "w2"], RUN_S, MEMORY_S)
    all_begun = asyncio.Event()

    async def note_run(run: Run) -> None:
        if len(fleet.runs) >= JOBS:
            all_begun.set()

    fleet.on_run = note_run
    lanes = [
        job_class("consulta", 5000.0, "free"),
        job_class("permiso", 12000.0, "single_shot"),
        job_class("reporte", 5000.0, "guarded", group="all", memorySpan=MEMORY_S * 1000),
    ]
    operator = OPERATOR.format(store=stage.folder / "jobs.db")
    scheduler = await stage.scheduler(fleet, lanes, operator)
    async with aiohttp.ClientSession() as session:
        client = Client(stage.record, scheduler, session)
        jobs = [
            await client.hand_in({"class": "reporte", "payload": f"report {n}"}, key=f"folio-{n}")
            for n in range(JOBS)
        ]
        if TROUBLE:
            try:
                await asyncio.wait_for(all_begun.wait(), 10.0)
            except TimeoutError:
                raise CannotRunError("the jobs did not begin") from None
            await scheduler.kill()
            await asyncio.sleep(AWAY_S)
            await scheduler.start()
        for job in jobs:
            await client.wait_for_end(job, 15.0)
    return [text for n in range(JOBS) if (text := _break_of(fleet.runs, f"folio-{n}"))]


def _break_of(runs: list[Run], key: str) -> str:
    """Return how the rule was broken for a key: sent again after the window, and run again."""
    times = [run for run in runs if run.key == key]
    for run in times[1:]:
        late_s = run.at - times[0].at - MEMORY_S
        if late_s > SLACK_S and not run.was_dropped:
            return (
                f"{key}: may have run at {times[0].at:.2f} s, sent again and run at {run.at:.2f} s, "
                f"{late_s:.2f} s after its window of {MEMORY_S} s"
            )
    return ""


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent))

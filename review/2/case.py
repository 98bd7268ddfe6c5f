"""A job whose parent ran out of time during a crash is released, though the parent never ran."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import aiohttp
from harness import TROUBLE, Client, Stage, job_class, run_case

PARENT_DELAY_S = 3.0
PARENT_PATIENCE_S = 5.0
KILL_AFTER_S = 1.0
AWAY_S = 7.0
PAIRS = 3

OPERATOR = """
[waiting]

[durable]
path = "{store}"
"""


async def play(stage: Stage) -> list[str]:
    """Hand in label checks and accessions that wait for them; kill the scheduler before any is due."""
    fleet = await stage.fleet(["w1", "w2"], run_s=0.5)
    lanes = [
        job_class("preview", 10000.0, "free"),
        job_class("label-check", 5000.0, "free"),
        job_class("accession", 25000.0, "single_shot"),
    ]
    operator = OPERATOR.format(store=stage.folder / "jobs.db")
    scheduler = await stage.scheduler(fleet, lanes, operator)
    async with aiohttp.ClientSession() as session:
        client = Client(stage.record, scheduler, session)
        pairs = []
        for number in range(PAIRS):
            parent = await client.hand_in(
                {
                    "class": "label-check",
                    "payload": f"label {number}",
                    "delay_s": PARENT_DELAY_S,
                    "patience_s": PARENT_PATIENCE_S,
                }
            )
            child = await client.hand_in(
                {"class": "accession", "payload": f"sheet {number}", "after": [parent], "patience_s": 600.0}
            )
            pairs.append((parent, child))
        if TROUBLE:
            await asyncio.sleep(KILL_AFTER_S)
            await scheduler.kill()
            await asyncio.sleep(AWAY_S)
            await scheduler.start()
        breaks = []
        for parent, child in pairs:
            parent_view = await client.wait_for_end(parent, 10.0)
            child_view = await client.wait_for_end(child, 10.0)
            parent_runs = [run for run in fleet.runs if run.job_id.partition("~")[0] == parent]
            child_runs = [run for run in fleet.runs if run.job_id.partition("~")[0] == child]
            has_run = any(run.has_ended and (run.at < child_runs[0].at) for run in parent_runs if child_runs)
            if child_runs and not has_run:
                breaks.append(
                    f"accession {child} ran at {child_runs[0].at:.2f} s and ended "
                    f"{child_view.get('end')}; its label check {parent} ran {len(parent_runs)} times and "
                    f"ended {parent_view.get('end')}, ran {parent_view.get('ran')}"
                )
    return breaks


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent))

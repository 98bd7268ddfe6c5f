"""A burst of hand-ins fills the store, and no acknowledged job is run or answered any more."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import aiohttp
from harness import TROUBLE, Client, Scheduler, Stage, job_class, run_case

STORE_BYTES = 4 << 20
JOBS = 3
DELAY_S = 2.0
PATIENCE_S = 10.0
DEADLINE_S = 5.0  # of their class
JUDGED_AFTER_S = 45.0  # their clients give up after PATIENCE_S + DEADLINE_S
BURST = 200
BURST_BODY_BYTES = 60_000  # a body holds 64 KiB at most
BURST_WITHIN_S = 20.0

OPERATOR = """
[waiting]

[durable]
path = "{store}"
max_store_bytes = {bytes}
"""


async def play(stage: Stage) -> list[str]:
    """Hand in label checks due in 2 s; meanwhile another client hands in hundreds of jobs at once."""
    fleet = await stage.fleet(["w1", "w2"], run_s=0.3)
    lanes = [
        job_class("preview", 10000.0, "free"),
        job_class("label-check", DEADLINE_S * 1000, "free"),
        job_class("accession", 25000.0, "single_shot"),
    ]
    operator = OPERATOR.format(store=stage.folder / "jobs.db", bytes=STORE_BYTES)
    scheduler = await stage.scheduler(fleet, lanes, operator)
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        client = Client(stage.record, scheduler, session)
        job = {"class": "label-check", "delay_s": DELAY_S, "patience_s": PATIENCE_S}
        jobs = [await client.hand_in({**job, "payload": f"label {n}"}) for n in range(JOBS)]
        handed_in_at = stage.record.now()
        if TROUBLE:
            await _burst(stage, scheduler, session)
        breaks = []
        for job_id in jobs:
            left_s = max(handed_in_at + JUDGED_AFTER_S - stage.record.now(), 1.0)
            view = await client.wait_for_end(job_id, left_s)
            if view.get("state") != "ended":
                breaks.append(
                    f"label check {job_id}, acknowledged, patience {PATIENCE_S:g} s and deadline "
                    f"{DEADLINE_S:g} s, has no answer after {stage.record.now() - handed_in_at:.0f} s: "
                    f"state {view.get('state')!r}"
                )
        stage.record(f"workers have begun {len(fleet.runs)} jobs")
        if TROUBLE:  # for the record, not judged
            await scheduler.kill()
            await scheduler.start()
            await asyncio.sleep(15.0)
            stage.record(f"workers have begun {len(fleet.runs)} jobs, 15 s after another start")
    return breaks


async def _burst(stage: Stage, scheduler: Scheduler, session: aiohttp.ClientSession) -> None:
    answers: Counter[str] = Counter()

    async def hand_in() -> None:
        try:
            async with (
                asyncio.timeout(BURST_WITHIN_S),
                session.post(f"{scheduler.url}/jobs/preview", data=b"x" * BURST_BODY_BYTES) as answer,
            ):
                await answer.read()
                answers[str(answer.status)] += 1
        except TimeoutError:
            answers[f"none in {BURST_WITHIN_S:g} s"] += 1
        except (aiohttp.ClientError, OSError):
            answers["closed"] += 1

    stage.record(f"other client: {BURST} hand-ins of {BURST_BODY_BYTES} bytes at once")
    await asyncio.gather(*(hand_in() for _ in range(BURST)))
    stage.record(f"other client: answers {dict(answers)}")


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent))

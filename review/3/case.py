"""After a crash, a Gearman client gets the result of another client's job, under a handle given twice."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from gearman_peers import GearmanWorker, ask_status, submit_foreground
from harness import HOST, TROUBLE, CannotRunError, Stage, free_port, job_class, run_case

RUN_S = 5.0
KILL_AFTER_S = 1.0
DEADLINE_S = 25.0

GEARMAN = """
listen = "{host}:{port}"

[functions.file_specimen]
class = "accession"
deadline_ms = 25000
"""


async def play(stage: Stage) -> list[str]:
    """File one specimen, kill the scheduler meanwhile, and file another with the next process."""
    fleet = await stage.fleet([], run_s=0.5)
    port = free_port()
    lanes = [job_class("preview", 10000.0, "free"), job_class("accession", 25000.0, "single_shot")]
    scheduler = await stage.scheduler(fleet, lanes, gearman=GEARMAN.format(host=HOST, port=port))
    worker = GearmanWorker(stage.record, port, "file_specimen", RUN_S)
    worker.start()
    try:
        await asyncio.sleep(0.5)
        first = asyncio.create_task(
            submit_foreground(stage.record, port, "file_specimen", "sheet A", DEADLINE_S)
        )
        for _ in range(100):
            if worker.runs:
                break
            await asyncio.sleep(0.05)
        else:
            raise CannotRunError("the first job did not begin")
        await asyncio.sleep(KILL_AFTER_S)
        if TROUBLE:
            await scheduler.kill()
            await scheduler.start()
        next_job = asyncio.create_task(
            submit_foreground(stage.record, port, "file_specimen", "sheet B", DEADLINE_S)
        )
        if TROUBLE:
            lost = await first
            await asyncio.sleep(0.5)
            await ask_status(stage.record, port, lost.handle)  # for the record, not judged
        second = await next_job
        await first
        await asyncio.sleep(1.0)
    finally:
        await worker.stop()
    if second.end == "complete" and second.result != "filed sheet B":
        return [f"the client of 'sheet B' ({second.handle}) was served with {second.result!r}"]
    return []


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent))

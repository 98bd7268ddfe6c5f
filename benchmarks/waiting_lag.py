"""Measures how long the event loop is blocked while dependent jobs are cancelled, released or stopped.

    python -m benchmarks.waiting_lag [--jobs 10000] [--rounds 5]

The cases are a chain and a fan-out whose first job fails, a fan-out whose first job is served, and a stop
while all jobs wait. The figure is the longest time between two iterations of the loop, which is otherwise
idle.
"""

from __future__ import annotations

import argparse
import asyncio
import time

from oxbowyard.core.clock import make_unix_ms_clock
from oxbowyard.core.request import AttemptContext, AttemptOutcome, Request
from oxbowyard.core.scheduler import Limits, Scheduler
from oxbowyard.core.service_measure import ServiceMeasure
from oxbowyard.daemon.garbage_collection import disable_full_passes
from oxbowyard.decision.facade import Facade, Result, Scope, WorkerInfo
from oxbowyard.decision.settings import JobClass, Settings
from oxbowyard.waiting.job import Dependency, JobResult, JobState, WaitOptions
from oxbowyard.waiting.job_queue import JobQueue
from oxbowyard.waiting.settings import WaitingSettings

CLASSES = (JobClass("once", latency_objective_ms=1000, deadline_ms=5000),)


class Worker:
    """A backend that ends the first job with a given result, once it may finish."""

    def __init__(self) -> None:
        self.may_finish = asyncio.Event()
        self.result = Result.OK

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        """Wait until the job may finish."""
        context.is_last_byte_written = True
        context.on_started()
        await self.may_finish.wait()
        if request.id != "j0":  # children are released; running them is not measured
            await asyncio.Event().wait()
        return AttemptOutcome(self.result)


async def measure_case(shape: str, event: str, jobs: int) -> tuple[float, float, int]:
    """Return the longest blocking and the total time in ms, and the number of ended jobs."""
    clock, worker = make_unix_ms_clock(), Worker()
    settings = Settings(classes=CLASSES, reports_starts=True)
    measure = ServiceMeasure(CLASSES)
    scheduler = Scheduler(settings, Facade(settings, 1, clock), worker, clock, measure, Limits())
    limit = 2 * jobs
    limits = WaitingSettings(max_jobs=limit, max_jobs_per_class=limit, max_ended=limit, max_children=limit)
    job_queue = JobQueue(limits, CLASSES, scheduler, clock)
    scheduler.update_endpoints(Scope.FULL, (WorkerInfo("w"),))
    ends = 0

    def count_end(final: JobResult) -> None:
        nonlocal ends
        ends += 1

    for i in range(jobs + 1):
        parent = i - 1 if shape == "chain" else 0
        after = (Dependency(f"j{parent}"),) if i else ()
        job_queue.submit([(Request(f"j{i}", "once", 5.0), WaitOptions(dependencies=after))], count_end)
    await asyncio.sleep(0.05)
    worker.result = Result.ERROR if event == "fails" else Result.OK
    start = last = time.perf_counter()
    longest = 0.0
    worker.may_finish.set()
    if event == "stops":
        job_queue.stop()
    while (job_queue.held.by_state[JobState.BLOCKED] if event == "is served" else jobs + 1 - ends) > 0:
        await asyncio.sleep(0)
        now = time.perf_counter()
        longest, last = max(longest, now - last), now
    for i in range(jobs + 1):
        job_queue.cancel(f"j{i}")
    await job_queue.wait_until_idle()
    return longest * 1000, (last - start) * 1000, ends


def main() -> None:
    """Print a line for each case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=10_000)
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    disable_full_passes()  # as the daemon does when waiting jobs are configured
    cases = (("chain", "fails"), ("fan-out", "fails"), ("fan-out", "is served"), ("fan-out", "stops"))
    for shape, event in cases:
        rounds = [asyncio.run(measure_case(shape, event, options.jobs)) for _ in range(options.rounds)]
        worst, total = max(figures[0] for figures in rounds), max(figures[1] for figures in rounds)
        print(f"{options.jobs:,} in a {shape}, the first {event}: the loop is blocked for {worst:.1f} ms "
              f"at most, all done in {total:.0f} ms", flush=True)  # fmt: skip


if __name__ == "__main__":
    main()

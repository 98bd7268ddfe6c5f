"""How long the loop stands still while families of waiting jobs end, are freed, or are stopped.

    python -m benchmarks.waiting_lag [--jobs 10000] [--rounds 5]

A chain and a fan-out whose first job fails, a fan-out whose first job is served, and a stop with all of them
waiting. The stand-still is the longest time between two turns of the loop, which does nothing else.
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
    """Ends each job as it is told, when it is told."""

    def __init__(self) -> None:
        self.go = asyncio.Event()
        self.result = Result.OK

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        """Wait for the word."""
        context.is_last_byte_written = True
        context.on_started()
        await self.go.wait()
        if request.id != "j0":  # children are freed; running them is not measured here
            await asyncio.Event().wait()
        return AttemptOutcome(self.result)


async def one(shape: str, how: str, jobs: int) -> tuple[float, float, int]:
    """Longest stand-still and the whole, in ms, and how many ended."""
    clock, worker = make_unix_ms_clock(), Worker()
    settings = Settings(classes=CLASSES, reports_starts=True)
    measure = ServiceMeasure(CLASSES)
    scheduler = Scheduler(settings, Facade(settings, 1, clock), worker, clock, measure, Limits())
    most = 2 * jobs
    limits = WaitingSettings(max_jobs=most, max_jobs_per_class=most, max_ended=most, max_children=most)
    room = JobQueue(limits, CLASSES, scheduler, clock)
    scheduler.update_endpoints(Scope.FULL, (WorkerInfo("w"),))
    ends = 0

    def ended(final: JobResult) -> None:
        nonlocal ends
        ends += 1

    for i in range(jobs + 1):
        parent = i - 1 if shape == "chain" else 0
        after = (Dependency(f"j{parent}"),) if i else ()
        room.submit([(Request(f"j{i}", "once", 5.0), WaitOptions(dependencies=after))], ended)
    await asyncio.sleep(0.05)
    worker.result = Result.ERROR if how == "fails" else Result.OK
    start = last = time.perf_counter()
    longest = 0.0
    worker.go.set()
    if how == "stops":
        room.stop()
    while (room.held.by_state[JobState.BLOCKED] if how == "is served" else jobs + 1 - ends) > 0:
        await asyncio.sleep(0)
        now = time.perf_counter()
        longest, last = max(longest, now - last), now
    for i in range(jobs + 1):
        room.cancel(f"j{i}")
    await room.wait_until_idle()
    return longest * 1000, (last - start) * 1000, ends


def main() -> None:
    """Print a line a case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=10_000)
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    disable_full_passes()  # as the daemon does with waiting jobs
    cases = (("chain", "fails"), ("fan-out", "fails"), ("fan-out", "is served"), ("fan-out", "stops"))
    for shape, how in cases:
        rounds = [asyncio.run(one(shape, how, options.jobs)) for _ in range(options.rounds)]
        worst, whole = max(r[0] for r in rounds), max(r[1] for r in rounds)
        print(f"{options.jobs:,} in a {shape}, the first {how}: the loop stands still for {worst:.1f} ms "
              f"at most, all done in {whole:.0f} ms", flush=True)  # fmt: skip


if __name__ == "__main__":
    main()

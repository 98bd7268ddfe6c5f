"""Measures the cost of a waiting job in the policy, at 100 to 1,000,000 jobs: time per operation, and memory.

    python -m benchmarks.waiting_policy [--sizes 100,10000,1000000]

Each size runs in a separate process, so that its memory can be measured. Garbage collection is on, as in the
daemon.
"""

from __future__ import annotations

import argparse
import json
import resource
import subprocess
import sys
import time

from oxbowyard.waiting.job import JobSubmission, SubmitJob
from oxbowyard.waiting.policy import WaitingPolicy
from oxbowyard.waiting.release_rate import FleetCapacity
from oxbowyard.waiting.settings import WaitingSettings

OPERATIONS = 2_000  # timed at each size, with that many jobs waiting
MAX_WAIT_MS = 3_600_000.0
FULL_CAPACITY, FREE_CAPACITY = FleetCapacity(4, 0.0, 1), FleetCapacity(4, 1e9, 0)


def memory_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize()


def warm_up() -> None:
    """Work for half a second, because a cold interpreter would slow down the small sizes only."""
    end = time.perf_counter() + 0.5
    while time.perf_counter() < end:
        measure(100)


def measure(size: int) -> dict[str, float]:
    """Return the microseconds per operation, those of the slowest one, and the bytes per job."""
    limit = 2 * size + 2 * OPERATIONS
    settings = WaitingSettings(
        max_jobs=limit, max_jobs_per_class=limit, max_jobs_per_tenant=limit, max_ended=1,
        max_window=1_000_000, first_window=1_000_000,
    )  # fmt: skip
    capacity = [FULL_CAPACITY]
    policy = WaitingPolicy(settings, {"light": 1.0, "heavy": 8.0}, lambda name: capacity[0])
    before, now = memory_bytes(), 0.0
    for i in range(size):
        now += 0.01
        policy.submit(now, [_submission(i)])
        policy.take_actions()
    bytes_each = (memory_bytes() - before) / size
    submit, worst_submit = _timed(lambda i: policy.submit(now, [_submission(size + i)]), policy)
    cancel, worst_cancel = _timed(lambda i: policy.cancel(now, f"job-{size + i}"), policy)
    capacity[0] = FREE_CAPACITY
    released = 0
    start = time.perf_counter()
    while released < min(size, OPERATIONS):
        policy.tick(now)
        released += sum(isinstance(action, SubmitJob) for action in policy.take_actions())
    release = (time.perf_counter() - start) / released
    worst = max(worst_submit, worst_cancel)
    return {"submit": submit * 1e6, "cancel": cancel * 1e6, "release": release * 1e6,
            "worst": worst * 1e6, "bytes": bytes_each}  # fmt: skip


def _submission(i: int) -> JobSubmission:
    return JobSubmission(f"job-{i}", "light" if i % 2 else "heavy", MAX_WAIT_MS)


def _timed(operation: object, policy: WaitingPolicy) -> tuple[float, float]:
    assert callable(operation)
    worst = total = 0.0
    for i in range(OPERATIONS):
        start = time.perf_counter()
        operation(i)
        policy.take_actions()
        taken = time.perf_counter() - start
        total, worst = total + taken, max(worst, taken)
    return total / OPERATIONS, worst


def main() -> None:
    """Print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="100,10000,1000000")
    parser.add_argument("--one", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.one:
        warm_up()
        print(json.dumps(measure(options.one)))
        return
    rows = []
    for size in map(int, options.sizes.split(",")):
        command = [sys.executable, "-m", "benchmarks.waiting_policy", "--one", str(size)]
        rows.append((size, json.loads(subprocess.run(command, check=True, stdout=subprocess.PIPE).stdout)))
    print(f"{'waiting':>9}  {'submit':>8}  {'cancel':>8}  {'release':>8}  {'worst':>8}  {'bytes/job':>11}")
    for size, row in rows:
        figures = "  ".join(f"{row[name]:5.1f} us" for name in ("submit", "cancel", "release"))
        print(f"{size:9,}  {figures}  {row['worst'] / 1000:5.2f} ms  {row['bytes']:11,.0f}")
    for name in ("submit", "cancel", "release"):
        print(
            f"{name}: {rows[-1][1][name] / rows[0][1][name]:.2f} times from the smallest to the largest size"
        )


if __name__ == "__main__":
    main()

"""What a waiting job costs in the policy, at 100 to 1,000,000 jobs: hand-in, cancel, release, and memory.

    python -m benchmarks.waiting_policy [--sizes 100,10000,1000000]

Each size is a process of its own, so that its memory is its own. Garbage collection is on, as in service.
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

PROBES = 2_000  # operations timed at each size, on top of what waits
PATIENCE = 3_600_000.0
SHUT, OPEN = FleetCapacity(4, 0.0, 1), FleetCapacity(4, 1e9, 0)


def memory() -> int:
    """Bytes of this process that are in memory."""
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize()


def warm_up() -> None:
    """Half a second of the same work: a cold interpreter would count for the small sizes alone."""
    end = time.perf_counter() + 0.5
    while time.perf_counter() < end:
        measure(100)


def measure(size: int) -> dict[str, float]:
    """One size: microseconds an operation, the worst single one, and bytes a job."""
    most = 2 * size + 2 * PROBES
    settings = WaitingSettings(
        max_jobs=most, max_jobs_per_class=most, max_jobs_per_tenant=most, max_ended=1, max_window=1_000_000,
        first_window=1_000_000,
    )  # fmt: skip
    room = [SHUT]
    policy = WaitingPolicy(settings, {"light": 1.0, "heavy": 8.0}, lambda name: room[0])
    before, now = memory(), 0.0
    for i in range(size):
        now += 0.01
        policy.submit(now, [_order(i)])
        policy.take_actions()
    bytes_each = (memory() - before) / size
    hand_in, worst_in = _timed(lambda i: policy.submit(now, [_order(size + i)]), policy)
    cancel, worst_cancel = _timed(lambda i: policy.cancel(now, f"job-{size + i}"), policy)
    room[0] = OPEN
    released = 0
    start = time.perf_counter()
    while released < min(size, PROBES):
        policy.tick(now)
        released += sum(isinstance(action, SubmitJob) for action in policy.take_actions())
    release = (time.perf_counter() - start) / released
    worst = max(worst_in, worst_cancel)
    return {"hand-in": hand_in * 1e6, "cancel": cancel * 1e6, "release": release * 1e6,
            "worst": worst * 1e6, "bytes": bytes_each}  # fmt: skip


def _order(i: int) -> JobSubmission:
    return JobSubmission(f"job-{i}", "light" if i % 2 else "heavy", PATIENCE)


def _timed(operation: object, policy: WaitingPolicy) -> tuple[float, float]:
    assert callable(operation)
    worst = total = 0.0
    for i in range(PROBES):
        start = time.perf_counter()
        operation(i)
        policy.take_actions()
        taken = time.perf_counter() - start
        total, worst = total + taken, max(worst, taken)
    return total / PROBES, worst


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
    print(f"{'waiting':>9}  {'hand-in':>8}  {'cancel':>8}  {'release':>8}  {'worst':>8}  {'bytes a job':>11}")
    for size, row in rows:
        figures = "  ".join(f"{row[name]:5.1f} us" for name in ("hand-in", "cancel", "release"))
        print(f"{size:9,}  {figures}  {row['worst'] / 1000:5.2f} ms  {row['bytes']:11,.0f}")
    for name in ("hand-in", "cancel", "release"):
        print(f"{name}: {rows[-1][1][name] / rows[0][1][name]:.2f} times from end to end")


if __name__ == "__main__":
    main()

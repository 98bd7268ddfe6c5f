"""Measures the CPU time of the decisions for a job: `python -m benchmarks.decision_cost [--against TREE]`.

Jobs arrive at one scheduler through the simulator's wire, in fleets of several sizes; each is submitted,
started and ended. With `--against`, another checkout is measured alternately with this one, each in a process
of its own, so that both run under the same conditions.
"""

from __future__ import annotations

import argparse
import heapq
import os
import subprocess
import sys
import time
from pathlib import Path
from random import Random
from statistics import median
from typing import Any

import orjson

from oxbowyard.simhost import SimulatorSession

ROOT = Path(__file__).parent.parent
FLEET_SIZES = (12, 200, 1100)
JOBS = 4000
WARM_UP_JOBS = 1000
SLOTS = 4
LOAD = 0.5  # share of the workers' slots in use, by all schedulers
MEAN_SERVICE_TIME_MS = 300.0
KEYS = 200
ROUNDS = 5


def settings(workers: int) -> dict[str, Any]:
    """Return the settings of a scheduler in a fleet with this number of workers."""
    lanes = [
        {"name": "short", "semantics": "free", "aim": 1000.0, "deadline": 10_000.0, "worth": 1.0},
        {"name": "once", "semantics": "single_shot", "aim": 3000.0, "deadline": 12_000.0, "worth": 8.0},
    ]
    return {
        "siblings": scheduler_count(workers),
        "lanes": lanes,
        "myZone": "a",
        "familyInfo": {"tellsStart": True, "reportX0": "free slots"},
        "policyLimits": {"maxAttempts": 3, "mayCancel": True, "retryAfter": True, "maxRetryAfter": 2000.0},
        "rules": {"coldFrom": 0.15, "rampTime": 9000.0, "tipAfter": 1500.0, "tipMultiple": 2.5},
    }


def scheduler_count(workers: int) -> int:
    """Return the number of schedulers: one for every four workers."""
    return max(workers // 4, 1)


def cost_us(workers: int) -> float:
    """Return the microseconds of CPU time per job, for its request, start and end together."""
    random, session = Random(workers), SimulatorSession()
    session.handle_line(0.0, ["born", 0, 1, settings(workers)])
    rows = [[f"w{i}", "ab"[i % 2], "m", i % 3, "Ready", 1.0, None] for i in range(workers)]
    session.handle_line(0.0, ["inventory", 0, rows])
    session.handle_line(0.0, ["membership", 0, "restored", 1, 0])
    rate = LOAD * workers * SLOTS / MEAN_SERVICE_TIME_MS / scheduler_count(workers)
    queue: list[tuple[float, int, list[Any]]] = []
    sequence = spent = 0
    now, arrived = 0.0, 0
    heapq.heappush(queue, (0.0, 0, ["arrival"]))
    while queue:
        now, _, message = heapq.heappop(queue)
        if message[0] == "arrival":
            if arrived == JOBS + WARM_UP_JOBS:
                continue
            name, key = f"r{arrived}", f"{random.randrange(KEYS):016x}"
            job_class = "once" if arrived % 3 == 0 else "short"
            arrived += 1
            sequence += 1
            heapq.heappush(queue, (now + random.expovariate(rate), sequence, ["arrival"]))
            message = ["submit", 0, name, None, job_class, None, False, False, 10_000.0, 1, False, None, key]
        begin = time.process_time_ns()
        replies = session.handle_line(now, message)
        if arrived > WARM_UP_JOBS:
            spent += time.process_time_ns() - begin
        for reply in replies:
            line = orjson.loads(reply)
            sequence += 2
            if line[0] == "passOn":
                service_time_ms = random.gammavariate(2.0, MEAN_SERVICE_TIME_MS / 2)
                start = ["notice", 0, line[2], 1, line[3], None, 0]
                end = ["outcome", 0, line[2], 0, line[3], "GOOD", service_time_ms, True, None, None]
                heapq.heappush(queue, (now + 2.0, sequence - 1, start))
                heapq.heappush(queue, (now + 2.0 + service_time_ms, sequence, end))
            elif line[0] == "defer":
                heapq.heappush(queue, (now + line[3], sequence, ["reminder", 0, line[2]]))
    return spent / JOBS / 1000


def measure(tree: Path, workers: int) -> float:
    """Return the cost of the decisions of a checkout, measured in a separate process."""
    command = [sys.executable, str(Path(__file__).resolve()), "--workers", str(workers)]
    environment = {**os.environ, "PYTHONPATH": str(tree)}
    done = subprocess.run(command, env=environment, cwd=tree, capture_output=True, text=True, check=True)
    return float(done.stdout)


def main() -> int:
    """Print a line for each fleet size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--against", type=Path, help="another checkout, measured alternately with this one")
    parser.add_argument("--workers", type=int, help="measure this process alone, and print the figure")
    arguments = parser.parse_args()
    if arguments.workers:
        print(cost_us(arguments.workers))
        return 0
    trees = [ROOT, *([arguments.against] if arguments.against else [])]
    for workers in FLEET_SIZES:
        costs_us: dict[Path, list[float]] = {tree: [] for tree in trees}
        for _ in range(ROUNDS):
            for tree in trees:
                costs_us[tree].append(measure(tree, workers))
        texts = [
            f"{median(costs_us[tree]):.1f} us per job (least {min(costs_us[tree]):.1f})" for tree in trees
        ]
        print(f"{workers:5} workers: {', against '.join(texts)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())

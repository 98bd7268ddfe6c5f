"""Measures a burst of submissions against stores of several sizes: rejections, accepted jobs and the drain.

    python -m benchmarks.full_store [--bursts 200 2000 20000] [--store-mib 4 64 1024]

Before each burst some label checks are accepted that are due a second later. A line says how many jobs of
the burst were accepted and rejected, the longest time to a rejection and to an acceptance, how late the last
label check began to run, and how long it took until all accepted jobs had run.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from .daemon_process import run_daemon
from .stand_in_fleet import StandInFleet

MIB = 1 << 20
WORKERS, SLOTS = 8, 4
RUN_TIMES_S = {"label-check": 0.02, "preview": 0.02}
LABEL_CHECKS, LABEL_DELAY_S = 20, 1.0
BODY = b"x" * 60_000
CONNECTIONS = 200
DRAIN_TIMEOUT_S = 600.0
STATUS_ACCEPTED = 202
LIMITS = {"cores": 1.0, "memory_mb": 8192, "sockets": 1024}  # so that the store is the limit
OPERATOR = """[waiting]
max_jobs = 100000
max_jobs_per_class = 100000
max_held_bytes = 2147483648

[durable]
path = "{path}"
max_store_bytes = {size}
"""


@dataclass(slots=True)
class Burst:
    """The answers to the submissions of one burst, in seconds from each submission."""

    accepted_s: list[float] = field(default_factory=list)
    rejected_s: list[float] = field(default_factory=list)
    reasons: set[str] = field(default_factory=set)

    async def submit(self, session: aiohttp.ClientSession, url: str, count: int) -> None:
        """Submit so many jobs, over all connections at once."""
        numbers = iter(range(count))

        async def client() -> None:
            for _ in numbers:
                began = time.perf_counter()
                async with session.post(f"{url}/jobs/preview", data=BODY) as response:
                    body = await response.read()
                took_s = time.perf_counter() - began
                if response.status == STATUS_ACCEPTED:
                    self.accepted_s.append(took_s)
                else:
                    self.rejected_s.append(took_s)
                    self.reasons.add(f"{response.status} {json.loads(body).get('error', body[:60])}")

        await asyncio.gather(*(client() for _ in range(CONNECTIONS)))


async def submit_label_checks(session: aiohttp.ClientSession, url: str) -> None:
    """Submit jobs that are due in a second; all must be accepted."""
    for _ in range(LABEL_CHECKS):
        headers = {"Wait-Delay": f"{LABEL_DELAY_S * 1000:.0f}m"}
        async with session.post(f"{url}/jobs/label-check", data=b"label", headers=headers) as response:
            assert response.status == STATUS_ACCEPTED, await response.text()


@dataclass(slots=True, frozen=True)
class Measurement:
    """The result of one case. Times are seconds, from the first submission."""

    burst: Burst
    burst_s: float  # until the last answer to the burst
    drained_s: float  # until all accepted jobs had run
    latest_start_s: float  # of a label check, after it was due
    run_ids: list[str]  # of all jobs that ran, in the order of their ends
    has_stalled: bool

    def describe(self) -> str:
        """Return the result as one line."""
        burst = self.burst
        state = "stalled" if self.has_stalled else "never stalled"
        return (
            f"accepted {len(burst.accepted_s)} in {max(burst.accepted_s, default=0.0):.2f} s at most, "
            f"rejected {len(burst.rejected_s)} in {max(burst.rejected_s, default=0.0):.2f} s at most, "
            f"burst over after {self.burst_s:.1f} s, "
            f"last label check began {self.latest_start_s:.2f} s late, "
            f"all had run after {self.drained_s:.1f} s, {state}; {burst.reasons}"
        )


async def measure(burst_size: int, store_mib: int, folder: Path) -> Measurement:
    """Run one case in a folder, which keeps the store."""
    fleet = StandInFleet(WORKERS, SLOTS, RUN_TIMES_S)
    discovery = await fleet.start()
    operator = OPERATOR.format(path=folder / f"{burst_size}-{store_mib}.db", size=store_mib * MIB)
    loop = asyncio.get_running_loop()
    with run_daemon(operator, discovery, limits=LIMITS) as daemon:
        host, port = daemon.address("http")
        await asyncio.to_thread(daemon.wait_for, "state starting -> serving")
        url, burst = f"http://{host}:{port}", Burst()
        began = loop.time()
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=CONNECTIONS)) as session:
            await submit_label_checks(session, url)
            await burst.submit(session, url, burst_size)
        burst_s = loop.time() - began
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            while len(fleet.runs) < len(burst.accepted_s) + LABEL_CHECKS:
                await asyncio.sleep(0.05)
        drained_s = loop.time() - began
        has_stalled = "health=stalled" in daemon.log()
    fleet.close()
    starts = [run.started_at - began for run in fleet.runs if run.job_class == "label-check"]
    run_ids = [run.id for run in fleet.runs]
    return Measurement(burst, burst_s, drained_s, max(starts) - LABEL_DELAY_S, run_ids, has_stalled)


def main() -> None:
    """Print a line for each case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bursts", type=int, nargs="+", default=[200, 2_000, 20_000])
    parser.add_argument("--store-mib", type=int, nargs="+", default=[4, 64, 1024])
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=".") as folder:
        for store_mib in options.store_mib:
            for burst_size in options.bursts:
                found = asyncio.run(measure(burst_size, store_mib, Path(folder)))
                print(f"{burst_size:6} jobs, {store_mib:5} MiB: {found.describe()}", flush=True)


if __name__ == "__main__":
    main()

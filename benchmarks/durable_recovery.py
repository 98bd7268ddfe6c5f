"""Measures how soon a scheduler serves again with a given number of jobs in its store, and its memory.

    python -m benchmarks.durable_recovery [--sizes 0,10000,1000000]

The store is filled beforehand. Times count from the start of the process: until /up answers 200, until a job
submitted after that is served, and until all jobs that fit into memory (max_jobs) are recovered.
"""

from __future__ import annotations

import argparse
import asyncio
import re
import tempfile
import time
from pathlib import Path

import aiohttp

from oxbowyard.store.database import Database
from oxbowyard.store.record import JobAccepted

from .daemon_process import DaemonProcess, run_daemon
from .stand_in_fleet import StandInFleet

OPERATOR = """
[waiting]
max_jobs = 10000
max_jobs_per_class = 10000
max_patience_s = 86400.0
[durable]
path = "{path}"
"""


def waiting_job(number: int, now: float) -> JobAccepted:
    """Return a job that is due in an hour."""
    return JobAccepted(
        number + 1,
        f"old.{number:x}",
        "preview",
        tenant="",
        idempotency_key="",
        fingerprint=b"",
        accepted_at=now,
        max_wait_s=80_000.0,
        delay_s=3_600.0,
        wait_for_idle=False,
        priority=None,
        dependencies=b"[]",
        request=b'{"target":"/preview","key":null,"slots":1,"extras":{}}',
        payload=b"x" * 200,
    )


def fill_store(path: Path, size: int) -> None:
    """Fill a store with jobs that are due in an hour."""
    database = Database(path)
    now = time.time()
    for start in range(0, size, 5_000):
        jobs = [waiting_job(number, now) for number in range(start, min(start + 5_000, size))]
        database.apply(jobs)
    database.close()


def memory_mb(process: DaemonProcess) -> float:
    """Return the resident memory of the daemon in megabytes."""
    status = Path(f"/proc/{process.process.pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+)", status)
    return int(found[1]) / 1024 if found else 0.0


async def measure(size: int) -> None:
    """Measure one size and print its line."""
    fleet = StandInFleet(2, 4, {"preview": 0.01})
    discovery = await fleet.start()
    with tempfile.TemporaryDirectory(dir=".") as folder:
        path = Path(folder) / "jobs.db"
        await asyncio.to_thread(fill_store, path, size)
        start = time.perf_counter()
        with run_daemon(OPERATOR.format(path=path), discovery) as process:
            host, port = await asyncio.to_thread(process.address, "http")
            async with aiohttp.ClientSession(f"http://{host}:{port}") as session:
                await _wait_until_up(session)
                up_s = time.perf_counter() - start
                headers = {"Req-Id": "now", "Req-Kind": "preview", "Req-Deadline": "9000m"}
                async with session.post("/preview", data=b"x", headers=headers) as response:
                    assert response.status == 200, await response.text()
                served_s = time.perf_counter() - start
                expected = min(size, 10_000)
                while expected and len(await _fetch_page(session, expected - 1)) < 1:
                    await asyncio.sleep(0.02)
                recovered_s = time.perf_counter() - start
            print(f"{size:9,} jobs: up after {up_s:.2f} s, a job served after {served_s:.2f} s, {expected:,} "
                  f"recovered after {recovered_s:.2f} s, {memory_mb(process):.0f} MB",
                  flush=True)  # fmt: skip
    fleet.close()


async def _wait_until_up(session: aiohttp.ClientSession) -> None:
    while True:
        async with session.get("/up") as response:
            if response.status == 200:
                return
        await asyncio.sleep(0.01)


async def _fetch_page(session: aiohttp.ClientSession, after: int) -> list[object]:
    async with session.get(f"/jobs?limit=1&after={after}") as response:
        return list((await response.json())["jobs"])


def main() -> None:
    """Print a line for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="0,10000,1000000")
    for size in map(int, parser.parse_args().sizes.split(",")):
        asyncio.run(measure(size))


if __name__ == "__main__":
    main()

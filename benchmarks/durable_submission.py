"""Measures job submissions per second over HTTP, durable and in memory, and those of the store alone.

    python -m benchmarks.durable_submission [--seconds 4]

Each client submits jobs that are due in an hour, one after another, on its own connection. The clients run in
a separate process.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from .daemon_process import run_daemon
from .store_commits import measure_clients as measure_store

CLIENT_COUNTS = (1, 16, 256)
WAITING_TABLE = "[waiting]\nmax_jobs = 1000000\nmax_jobs_per_class = 1000000\n"
REQUEST = (
    b"POST /jobs/preview?obj=7 HTTP/1.1\r\nHost: api\r\nWait-Delay: 3600000m\r\nContent-Length: 200\r\n\r\n"
    + b"x" * 200
)


async def client(host: str, port: int, end: float, times: list[float]) -> None:
    """Run one client. Its requests are prepared bytes, so that the client itself takes little time."""
    reader, writer = await asyncio.open_connection(host, port)
    while (start := time.perf_counter()) < end:
        writer.write(REQUEST)
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 202"), head
        size = head.lower().partition(b"content-length: ")[2].split(b"\r")[0]
        await reader.readexactly(int(size))
        times.append(time.perf_counter() - start)
    writer.close()


async def load(host: str, port: int, client_count: int, seconds: float) -> list[float]:
    """Run several clients at once; return how long each submission took, sorted."""
    times: list[float] = []
    end = time.perf_counter() + seconds
    await asyncio.gather(*(client(host, port, end, times) for _ in range(client_count)))
    return sorted(times)


def measure(operator: str, client_count: int, seconds: float) -> list[float]:
    """Run a daemon, and the clients in another process; return the times of the submissions."""
    with run_daemon(operator) as process:
        host, port = process.address("http")
        command = [
            sys.executable,
            "-m",
            "benchmarks.durable_submission",
            "--load",
            host,
            str(port),
            str(client_count),
        ]
        done = subprocess.run([*command, "--seconds", str(seconds)], check=True, stdout=subprocess.PIPE)
    return list(json.loads(done.stdout))


def main() -> None:
    """Print a line for each case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--load", nargs=3, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.load:
        host, port, client_count = options.load
        print(json.dumps(asyncio.run(load(host, int(port), int(client_count), options.seconds))))
        return
    with tempfile.TemporaryDirectory(dir=".") as name:
        for client_count in CLIENT_COUNTS:
            rates = {}
            for kind in ("memory", "durable"):
                path = Path(name) / f"{kind}-{client_count}.db"
                table = f'[durable]\npath = "{path}"\n' if kind == "durable" else ""
                times = measure(WAITING_TABLE + table, client_count, options.seconds)
                rates[kind] = len(times) / options.seconds
                p50, p99 = times[len(times) // 2] * 1000, times[int(len(times) * 0.99)] * 1000
                print(f"{client_count:4} clients, {kind:7}: {rates[kind]:6.0f} submissions/s, "
                      f"p50 {p50:.2f} ms, p99 {p99:.2f} ms", flush=True)  # fmt: skip
            store, _ = asyncio.run(measure_store(Path(name), client_count, options.seconds))
            share = rates["durable"] / rates["memory"]
            print(
                f"{client_count:4} clients: durable {share:.2f} of memory; store alone {store:.0f}/s",
                flush=True,
            )


if __name__ == "__main__":
    main()

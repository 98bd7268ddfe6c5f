"""Hand-ins a second over HTTP, durable and not, beside the store alone, in one run.

    python -m benchmarks.durable_submission [--seconds 4]

Each client hands in jobs that are due in an hour, one after the other, on a connection of its own. The client
side is a process of its own.
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
from .store_commits import clients as store_alone

GROUPS = (1, 16, 256)
WAITING = "[waiting]\nmax_jobs = 1000000\nmax_jobs_per_class = 1000000\n"
ORDER = (
    b"POST /jobs/preview?obj=7 HTTP/1.1\r\nHost: api\r\nWait-Delay: 3600000m\r\nContent-Length: 200\r\n\r\n"
    + b"x" * 200
)


async def client(host: str, port: int, end: float, times: list[float]) -> None:
    """One client; its requests are written as bytes, so that little of the time is its own."""
    reader, writer = await asyncio.open_connection(host, port)
    while (begun := time.perf_counter()) < end:
        writer.write(ORDER)
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 202"), head
        size = head.lower().partition(b"content-length: ")[2].split(b"\r")[0]
        await reader.readexactly(int(size))
        times.append(time.perf_counter() - begun)
    writer.close()


async def load(host: str, port: int, many: int, seconds: float) -> list[float]:
    """So many clients at once; how long each hand-in took."""
    times: list[float] = []
    end = time.perf_counter() + seconds
    await asyncio.gather(*(client(host, port, end, times) for _ in range(many)))
    return sorted(times)


def measure(operator: str, many: int, seconds: float) -> list[float]:
    """A daemon of its own, and the clients in another process."""
    with run_daemon(operator) as process:
        host, port = process.address("http")
        command = [
            sys.executable,
            "-m",
            "benchmarks.durable_submission",
            "--load",
            host,
            str(port),
            str(many),
        ]
        done = subprocess.run([*command, "--seconds", str(seconds)], check=True, stdout=subprocess.PIPE)
    return list(json.loads(done.stdout))


def main() -> None:
    """A line a case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--load", nargs=3, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.load:
        host, port, many = options.load
        print(json.dumps(asyncio.run(load(host, int(port), int(many), options.seconds))))
        return
    with tempfile.TemporaryDirectory(dir=".") as name:
        for many in GROUPS:
            found = {}
            for kind in ("memory", "durable"):
                path = Path(name) / f"{kind}-{many}.db"
                table = f'[durable]\npath = "{path}"\n' if kind == "durable" else ""
                times = measure(WAITING + table, many, options.seconds)
                found[kind] = len(times) / options.seconds
                p50, p99 = times[len(times) // 2] * 1000, times[int(len(times) * 0.99)] * 1000
                print(f"{many:4} clients, {kind:7}: {found[kind]:6.0f} hand-ins/s, p50 {p50:.2f} ms, "
                      f"p99 {p99:.2f} ms", flush=True)  # fmt: skip
            store, _ = asyncio.run(store_alone(Path(name), many, options.seconds))
            share = found["durable"] / found["memory"]
            print(f"{many:4} clients: durable {share:.2f} of memory; store alone {store:.0f}/s", flush=True)


if __name__ == "__main__":
    main()

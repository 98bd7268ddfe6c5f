"""Measures the cost of a commit to SQLite, LMDB and an append-only log, with one and with many changes.

    pip install -r benchmarks/requirements-store.txt
    python -m benchmarks.store_commits [--seconds 2] [--folder .]

All three sync each commit to disk before it counts. The line "bare" is a write and a sync of as many bytes,
which is the limit of the disk. The last lines are the store as the daemon uses it, with clients that each
wait until a change is committed before they submit the next.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

from oxbowyard.store.database import Database
from oxbowyard.store.record import JobAccepted
from oxbowyard.store.writer import Writer

PAYLOAD = b"x" * 200
GROUP_SIZES = (1, 16, 256)
Commit = Callable[[list[JobAccepted]], None]


def make_change(number: int) -> JobAccepted:
    """Return a job as it is stored when it is accepted."""
    return JobAccepted(
        number,
        f"n1.18c.{number:x}",
        "accession",
        tenant="",
        idempotency_key="",
        fingerprint=b"",
        accepted_at=1e9,
        max_wait_s=3600.0,
        delay_s=0.0,
        wait_for_idle=False,
        priority=None,
        dependencies=b"[]",
        request=b'{"target":"/accession?obj=7f"}',
        payload=PAYLOAD,
    )


def sqlite(folder: Path) -> Commit:
    """Commit to the daemon's own store."""
    return Database(folder / "jobs.db").apply


def log(folder: Path) -> Commit:
    """Commit by appending lines to a file."""
    file = os.open(folder / "jobs.log", os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def commit(changes: list[JobAccepted]) -> None:
        lines = (
            json.dumps([job.number, job.id, job.job_class, job.accepted_at, job.payload.hex()])
            for job in changes
        )
        os.write(file, ("\n".join(lines) + "\n").encode())
        os.fsync(file)

    return commit


def bare(folder: Path) -> Commit:
    """Commit by overwriting as many bytes in place: the file does not grow and nothing is encoded."""
    file = os.open(folder / "bare", os.O_RDWR | os.O_CREAT, 0o600)
    os.pwrite(file, b"\0" * 4096 * 64, 0)
    os.fsync(file)

    def commit(changes: list[JobAccepted]) -> None:
        os.pwrite(file, b"\1" * min(4096 * max(len(changes) // 8, 1), 4096 * 64), 0)
        os.fdatasync(file)

    return commit


def lmdb(folder: Path) -> Commit:
    """Commit to LMDB, a memory-mapped tree; needs the library `lmdb`."""
    import lmdb as lmdb_library  # type: ignore[import-not-found,import-untyped,unused-ignore]

    environment = lmdb_library.open(str(folder / "lmdb"), map_size=1 << 30)

    def commit(changes: list[JobAccepted]) -> None:
        with environment.begin(write=True) as transaction:
            for job in changes:
                value = json.dumps([job.id, job.job_class, job.accepted_at, job.payload.hex()]).encode()
                transaction.put(job.number.to_bytes(8, "big"), value)

    return commit


def rate(commit: Commit, group: int, seconds: float) -> tuple[float, float]:
    """Return the commits and the changes per second."""
    number, commits, start = 0, 0, time.perf_counter()
    while time.perf_counter() - start < seconds:
        commit([make_change(number + i + 1) for i in range(group)])
        number, commits = number + group, commits + 1
    taken = time.perf_counter() - start
    return commits / taken, number / taken


async def measure_clients(folder: Path, client_count: int, seconds: float) -> tuple[float, list[float]]:
    """Return the changes per second of several clients, and how long each change took, sorted."""
    writer = Writer(Database(folder / f"clients-{client_count}.db"))
    loop, number, times = asyncio.get_running_loop(), 0, []
    end = loop.time() + seconds

    async def run_client() -> None:
        nonlocal number
        while (start := loop.time()) < end:
            number += 1
            committed: asyncio.Future[None] = loop.create_future()
            writer.put(make_change(number))
            writer.when_durable(partial(committed.set_result, None))
            await committed
            times.append(loop.time() - start)

    await asyncio.gather(*(run_client() for _ in range(client_count)))
    await writer.close()
    return len(times) / seconds, sorted(times)


def main() -> None:
    """Print a line for each case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--folder", type=Path, default=Path("."))
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=options.folder) as name:
        folder = Path(name)
        rates = {}
        for make in (bare, log, lmdb, sqlite):
            for group in GROUP_SIZES:
                case_folder = folder / f"{make.__name__}-{group}"
                case_folder.mkdir()
                commits, changes = rate(make(case_folder), group, options.seconds)
                rates[make.__name__, group] = changes
                print(f"{make.__name__:7} {group:4} per commit: {commits:7.0f} commits/s, "
                      f"{changes:8.0f} changes/s", flush=True)  # fmt: skip
        for client_count in GROUP_SIZES:
            reached, times = asyncio.run(measure_clients(folder, client_count, options.seconds))
            p50, p99 = times[len(times) // 2] * 1000, times[int(len(times) * 0.99)] * 1000
            share = reached / rates["sqlite", client_count]
            print(f"store, {client_count:4} clients: {reached:7.0f} submissions/s, "
                  f"p50 {p50:.2f} ms, p99 {p99:.2f} ms, "
                  f"{share:.2f} of its group commit, {reached / rates['bare', 1]:.2f} per bare commit",
                  flush=True)  # fmt: skip


if __name__ == "__main__":
    main()

"""What a commit costs: SQLite, LMDB and an append-only log, one change a commit and many, on this disk.

    pip install -r benchmarks/requirements-store.txt
    python -m benchmarks.store_commits [--seconds 2] [--folder .]

All three sync each commit to disk before it counts. The bare line is a write and a sync of as many bytes:
what the disk itself allows. The last lines are the store as the program uses it, with so many clients that
each wait for their change before they hand in the next.
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
GROUPS = (1, 16, 256)
Commit = Callable[[list[JobAccepted]], None]


def change(number: int) -> JobAccepted:
    """A job as it is handed in."""
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
    """The store itself."""
    return Database(folder / "jobs.db").apply


def log(folder: Path) -> Commit:
    """Lines appended to a file."""
    file = os.open(folder / "jobs.log", os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def commit(changes: list[JobAccepted]) -> None:
        lines = (json.dumps([c.number, c.id, c.job_class, c.accepted_at, c.payload.hex()]) for c in changes)
        os.write(file, ("\n".join(lines) + "\n").encode())
        os.fsync(file)

    return commit


def bare(folder: Path) -> Commit:
    """As many bytes, written over in place: no file grows, nothing is worded."""
    file = os.open(folder / "bare", os.O_RDWR | os.O_CREAT, 0o600)
    os.pwrite(file, b"\0" * 4096 * 64, 0)
    os.fsync(file)

    def commit(changes: list[JobAccepted]) -> None:
        os.pwrite(file, b"\1" * min(4096 * max(len(changes) // 8, 1), 4096 * 64), 0)
        os.fdatasync(file)

    return commit


def lmdb(folder: Path) -> Commit:
    """A memory-mapped tree; not there if the library is not."""
    import lmdb as library  # type: ignore[import-not-found,import-untyped,unused-ignore]

    environment = library.open(str(folder / "lmdb"), map_size=1 << 30)

    def commit(changes: list[JobAccepted]) -> None:
        with environment.begin(write=True) as transaction:
            for c in changes:
                value = json.dumps([c.id, c.job_class, c.accepted_at, c.payload.hex()]).encode()
                transaction.put(c.number.to_bytes(8, "big"), value)

    return commit


def rate(commit: Commit, group: int, seconds: float) -> tuple[float, float]:
    """Commits and changes a second."""
    number, commits, start = 0, 0, time.perf_counter()
    while time.perf_counter() - start < seconds:
        commit([change(number + i + 1) for i in range(group)])
        number, commits = number + group, commits + 1
    taken = time.perf_counter() - start
    return commits / taken, number / taken


async def clients(folder: Path, many: int, seconds: float) -> tuple[float, list[float]]:
    """Changes a second, and how long each took, with so many that wait for theirs."""
    writer = Writer(Database(folder / f"clients-{many}.db"))
    loop, number, times = asyncio.get_running_loop(), 0, []
    end = loop.time() + seconds

    async def one() -> None:
        nonlocal number
        while (begun := loop.time()) < end:
            number += 1
            safe: asyncio.Future[None] = loop.create_future()
            writer.put(change(number))
            writer.when_durable(partial(safe.set_result, None))
            await safe
            times.append(loop.time() - begun)

    await asyncio.gather(*(one() for _ in range(many)))
    await writer.close()
    return len(times) / seconds, sorted(times)


def main() -> None:
    """Print a line a case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--folder", type=Path, default=Path("."))
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=options.folder) as name:
        folder = Path(name)
        limits = {}
        for make in (bare, log, lmdb, sqlite):
            for group in GROUPS:
                place = folder / f"{make.__name__}-{group}"
                place.mkdir()
                commits, changes = rate(make(place), group, options.seconds)
                limits[make.__name__, group] = changes
                print(f"{make.__name__:7} {group:4} a commit: {commits:7.0f} commits/s, "
                      f"{changes:8.0f} changes/s", flush=True)  # fmt: skip
        for many in GROUPS:
            found, times = asyncio.run(clients(folder, many, options.seconds))
            p50, p99 = times[len(times) // 2] * 1000, times[int(len(times) * 0.99)] * 1000
            share = found / limits["sqlite", many]
            print(f"store, {many:4} clients: {found:7.0f} hand-ins/s, p50 {p50:.2f} ms, p99 {p99:.2f} ms, "
                  f"{share:.2f} of its group commit, {found / limits['bare', 1]:.2f} per bare commit",
                  flush=True)  # fmt: skip


if __name__ == "__main__":
    main()

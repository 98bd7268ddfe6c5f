"""Kills schedulers and workers at random; checks that no accession runs twice, and no job is lost.

    python -m benchmarks.durable_crash [--runs 100] [--seed 1] [--broken] [--parallel 4]

Each run has one store. Jobs are submitted over HTTP and as Gearman background jobs. The scheduler is killed
with SIGKILL several times, at random or at a named point, and so are the workers, each of which is a process.
Then nothing is killed any more until no job is open. Before a worker runs a job, it writes a line to a file.
With `--broken` the grant is committed only after the job was sent: the audit must then find a double run.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Mapping
from concurrent.futures import ProcessPoolExecutor, as_completed
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from oxbowyard.gearman.codec import encode
from oxbowyard.gearman.packet_types import PacketType

from .daemon_process import ROOT
from .stand_in_fleet import serve_discovery

POINTS = (
    "taken", "before grant", "before record", "granted", "written", "started", "answered", "recovering", "",
)  # fmt: skip
JOBS = 8  # per front and run
KILLS = 3
RUN_TIMEOUT_S = 60.0
FIRST_PORT, PORTS_PER_RUN, PORT_BLOCKS = (
    10_000,
    5,
    4_400,
)  # below the ephemeral ports; runs use disjoint blocks
RUNS_PER_BATCH = 10  # that one process of the pool plays in a row
OPERATOR = """
[waiting]
max_patience_s = 600.0
default_patience_s = 600.0
[waiting.classes.preview]
queueing = true
[waiting.classes.accession]
queueing = true
[durable]
path = "{path}"
read_at_once = 5
[gearman]
listen = "127.0.0.1:{port}"
[gearman.functions.file_specimen]
class = "accession"
deadline_ms = 2000
queueing = true
[gearman.functions.render_preview]
class = "preview"
deadline_ms = 2000
queueing = true
"""


@dataclass(slots=True)
class Audit:
    """What the workers and clients of one run observed."""

    starts: Counter[str] = field(default_factory=Counter)  # number of starts by payload, which names the job
    submitted: dict[str, str] = field(default_factory=dict)  # job id by payload, of acknowledged jobs
    ends: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)


class ForkServer:
    """The process that forks schedulers and workers (benchmarks.crash_points)."""

    def __init__(self) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.crash_points"],
            cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        )  # fmt: skip

    def start(self, order: Mapping[str, object]) -> int:
        """Fork a scheduler or worker; return its process id."""
        assert self._process.stdin and self._process.stdout
        self._process.stdin.write(json.dumps(order) + "\n")
        self._process.stdin.flush()
        return int(self._process.stdout.readline())

    def close(self) -> None:
        """End the process; its children go on."""
        assert self._process.stdin and self._process.stdout
        self._process.stdin.close()
        self._process.stdout.close()
        self._process.wait(10)


def process_exists(pid: int) -> bool:
    """Return whether a process exists; the fork server leaves no zombies."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def kill(pid: int) -> None:
    """Kill a process and wait until it no longer exists."""
    while process_exists(pid):
        with suppress(ProcessLookupError):  # it has died meanwhile
            os.kill(pid, signal.SIGKILL)
        time.sleep(0.001)


class Workers:
    """Three HTTP workers with discovery and two Gearman workers. Dead ones are replaced after a moment."""

    def __init__(self, fork_server: ForkServer, folder: Path, rng: random.Random, port: int) -> None:
        self._fork_server = fork_server
        self._folder = folder
        self._rng = rng
        self._alive: dict[int, int] = {}  # port by process id; 0 is a Gearman worker
        self._list: asyncio.Server | None = None
        self._ports = [port, port + 1, port + 2]
        self.deaths = 0

    async def start(self) -> str:
        """Start the workers and discovery; return discovery's address."""
        self._list = await asyncio.start_server(self._discover, "127.0.0.1", 0)
        for port in (*self._ports, 0, 0):
            self._spawn(port)
        return f"127.0.0.1:{self._list.sockets[0].getsockname()[1]}"

    def _spawn(self, port: int) -> None:
        order = {"folder": str(self._folder), "port": port, "seed": self._rng.getrandbits(32)}
        self._alive[self._fork_server.start(order)] = port

    async def replace(self) -> None:
        """Replace workers that have died, until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.01, 0.1))
            for pid in [pid for pid in self._alive if not process_exists(pid)]:
                self.deaths += 1
                self._spawn(self._alive.pop(pid))

    async def _discover(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await serve_discovery(reader, writer, self._ports)

    def close(self) -> None:
        """Kill all workers and close discovery."""
        if self._list is not None:
            self._list.close()
        for pid in self._alive:
            kill(pid)


class Scheduler:
    """One process of the scheduler under test."""

    def __init__(
        self,
        fork_server: ForkServer,
        folder: Path,
        discovery: str,
        port: int,
        point: str,
        nth: int,
        broken: bool,
    ) -> None:
        config = json.loads((ROOT / "examples/config.json").read_text())
        config |= {"listen": f"127.0.0.1:{port}", "discovery": discovery}
        (folder / "config.json").write_text(json.dumps(config))
        (folder / "operator.toml").write_text(OPERATOR.format(path=folder / "jobs.db", port=port + 1))
        self._log = folder / f"log-{time.monotonic_ns()}"
        self._log.touch()
        self._pid = fork_server.start({
            "arguments": ["--operator", str(folder / "operator.toml")], "log": str(self._log), "at": point,
            "env": {"LB_CONFIG": str(folder / "config.json")}, "nth": nth, "broken": broken,
        })  # fmt: skip

    @property
    def is_running(self) -> bool:
        """Whether the process still exists."""
        return process_exists(self._pid)

    async def address(self, front: str) -> tuple[str, int]:
        """Wait until a front listens; return its host and port. Raise OSError if the process died before."""
        while self.is_running:
            if found := re.search(rf"{front} listens on ([\d.]+):(\d+)", self._log.read_text()):
                return found[1], int(found[2])
            await asyncio.sleep(0.01)
        raise OSError(f"the scheduler died before {front} listened: {self._log.read_text()[-1500:]}")

    def kill(self) -> None:
        """Kill the process, unless it has already killed itself at its point."""
        kill(self._pid)

    def log(self) -> str:
        """Return its log."""
        return self._log.read_text()


async def submit_jobs(scheduler: Scheduler, audit: Audit, names: list[str]) -> None:
    """Submit jobs over both fronts, with idempotency keys, since unacknowledged ones are submitted again."""
    try:
        host, port = await scheduler.address("http")
        gearman = asyncio.create_task(submit_gearman_jobs(scheduler, audit, [n for n in names if "-g" in n]))
        async with aiohttp.ClientSession() as session:
            for name in [n for n in names if "-h" in n]:
                job_class = name.partition("-")[0]
                headers = {"Idempotency-Key": name}
                url = f"http://{host}:{port}/jobs/{job_class}"
                async with session.post(url, data=name.encode(), headers=headers) as response:
                    if response.status == 202:
                        audit.submitted[name] = (await response.json())["id"]
                await asyncio.sleep(0.01)
        await gearman
    except (OSError, aiohttp.ClientError, asyncio.IncompleteReadError):
        pass  # the scheduler was killed; jobs not acknowledged are submitted again


async def submit_gearman_jobs(scheduler: Scheduler, audit: Audit, names: list[str]) -> None:
    """Submit Gearman background jobs; by its unique id a job that is still open is not created twice."""
    try:
        reader, writer = await asyncio.open_connection(*await scheduler.address("gearman"))
        for name in names:
            function = b"file_specimen" if name.startswith("accession") else b"render_preview"
            writer.write(
                encode(PacketType.SUBMIT_JOB_BG, function, name.encode(), name.encode(), magic=b"\0REQ")
            )
            head = await reader.readexactly(12)
            data = await reader.readexactly(int.from_bytes(head[8:], "big"))
            if int.from_bytes(head[4:8], "big") == PacketType.JOB_CREATED:
                audit.submitted[name] = data.decode()
            await asyncio.sleep(0.01)
        writer.close()
    except (OSError, asyncio.IncompleteReadError):
        pass


async def fetch_open_jobs(scheduler: Scheduler) -> list[dict[str, object]]:
    """Return all open jobs."""
    host, port = await scheduler.address("http")
    async with aiohttp.ClientSession() as session:
        states = "&".join(
            f"state={state}" for state in ("held", "timed", "quiet", "ready", "asked", "started")
        )
        async with session.get(f"http://{host}:{port}/jobs?limit=500&{states}") as response:
            return list((await response.json())["jobs"])


async def check_answers(scheduler: Scheduler, audit: Audit, seen: dict[str, str]) -> None:
    """Fetch the answer of each acknowledged job; report jobs that are lost or whose answer has changed."""
    host, port = await scheduler.address("http")
    async with aiohttp.ClientSession() as session:
        for name, id_ in audit.submitted.items():
            async with session.get(f"http://{host}:{port}/jobs/{id_}") as response:
                view = await response.json()
            if response.status != 200:
                audit.faults.append(f"{name} is lost: {view}")
                continue
            answer = str(view.get("end") or view["state"])
            if name in seen and seen[name] != answer and seen[name] != "doubt" and "end" in view:
                audit.faults.append(f"{name} had the answer {seen[name]}, and now {answer}")
            if "end" in view or answer == "doubt":
                seen[name] = answer


async def run(
    fork_server: ForkServer, folder: Path, seed: int, broken: bool
) -> tuple[Audit, dict[str, str], list[str]]:
    """Play one run; return the audit, the answer of each job, and the points of the kills."""
    rng, audit = random.Random(seed), Audit()
    port = FIRST_PORT + seed % PORT_BLOCKS * PORTS_PER_RUN
    workers = Workers(fork_server, folder, rng, port)
    discovery = await workers.start()
    replacing = asyncio.create_task(workers.replace())
    names = [
        f"{job_class}-{f}{i}-{seed}"
        for i in range(JOBS // 2)
        for job_class in ("accession", "preview")
        for f in "hg"
    ]
    rng.shuffle(names)
    seen: dict[str, str] = {}
    points = []
    try:
        for life in range(KILLS + 1):
            last = life == KILLS
            point = "" if last else rng.choice(POINTS)
            points.append(point or ("end" if last else "random"))
            if last:
                (folder / "calm").touch()
            scheduler = Scheduler(fork_server, folder, discovery, port + 3, point, rng.randint(1, 8), broken)
            left = [name for name in names if name not in audit.submitted]
            clients = asyncio.create_task(submit_jobs(scheduler, audit, left))
            address_task = asyncio.create_task(write_gearman_address(scheduler, folder))
            try:
                if last:
                    await clients
                    await wait_until_settled(scheduler, audit, seen)
                    if not scheduler.is_running:
                        audit.faults.append("the scheduler died without being killed")
                else:
                    await asyncio.wait({clients}, timeout=rng.uniform(0.1, 0.5))
                    if point == "":
                        await asyncio.sleep(rng.uniform(0, 0.15))
            finally:
                scheduler.kill()
                if "decision fault" in scheduler.log() or "Traceback" in scheduler.log():
                    audit.faults.append("internal error of the scheduler: " + scheduler.log()[-1500:])
                await asyncio.gather(clients, address_task, return_exceptions=True)
    finally:
        replacing.cancel()
        workers.close()
    points += ["worker"] * workers.deaths
    audit.starts.update((folder / "starts").read_text().split())
    check_run(names, audit, seen)
    return audit, seen, points


async def write_gearman_address(scheduler: Scheduler, folder: Path) -> None:
    """Write the scheduler's address to the file in which the Gearman workers look it up."""
    with suppress(OSError):
        host, port = await scheduler.address("gearman")
        (folder / "gearman").write_text(f"{host} {port}")


async def wait_until_settled(scheduler: Scheduler, audit: Audit, seen: dict[str, str]) -> None:
    """Wait until no job is open except those whose result is indeterminate."""
    end = time.monotonic() + RUN_TIMEOUT_S
    while time.monotonic() < end and scheduler.is_running:
        if not await fetch_open_jobs(scheduler):
            # Ask for each by id as well: some may not have been recovered yet.
            await check_answers(scheduler, audit, seen)
            if len(seen) == len(audit.submitted) or audit.faults:
                return
        await asyncio.sleep(0.05)


def check_run(names: list[str], audit: Audit, seen: dict[str, str]) -> None:
    """Check the invariants of a run and add what breaks them to the faults."""
    for name in names:
        if name not in audit.submitted:
            audit.faults.append(f"{name} was never acknowledged")
        elif name not in seen:
            audit.faults.append(f"{name} has no answer")
        starts, end = audit.starts[name], seen.get(name)
        if name.startswith("accession") and starts > 1:
            audit.faults.append(f"{name} ran {starts} times")
        if end == "served" and not starts:
            audit.faults.append(f"{name} was served, but no worker started it")
        if name.startswith("accession") and end in ("refused", "expired") and starts:
            audit.faults.append(f"{name} ended {end}, although it had run")
        if end:
            audit.ends[f"{name.partition('-')[0]} {end}"] += 1


Totals = tuple[int, Counter[str], Counter[str], list[str]]


async def play(runs: int, seed: int, broken: bool) -> Totals:
    """Play some runs; return the number of jobs, their ends, the points of the kills, and the faults."""
    jobs, ends, points, faults = 0, Counter[str](), Counter[str](), []
    fork_server = ForkServer()
    try:
        for number in range(runs):
            with tempfile.TemporaryDirectory() as folder:
                audit, seen, at = await run(fork_server, Path(folder), seed + number, broken)
            jobs += len(seen)
            ends += audit.ends
            points.update(at)
            faults += [f"run {seed + number}: {fault}" for fault in audit.faults]
    finally:
        fork_server.close()
    return jobs, ends, points, faults


def play_in_new_loop(runs: int, seed: int, broken: bool) -> Totals:
    """Play some runs in an event loop of their own, for a process of the pool."""
    return asyncio.run(play(runs, seed, broken))


def play_all(runs: int, seed: int, broken: bool, parallel: int) -> Totals:
    """Play all runs in parallel processes and print the progress."""
    starts = range(seed, seed + runs, RUNS_PER_BATCH)
    jobs, ends, points = 0, Counter[str](), Counter[str]()
    faults: list[str] = []
    with ProcessPoolExecutor(parallel) as pool:
        batches = [
            pool.submit(play_in_new_loop, min(RUNS_PER_BATCH, seed + runs - start), start, broken)
            for start in starts
        ]
        for done, batch in enumerate(as_completed(batches), 1):
            totals = batch.result()
            jobs, ends, points = jobs + totals[0], ends + totals[1], points + totals[2]
            faults += totals[3]
            progress = f"{min(done * RUNS_PER_BATCH, runs)} runs, {jobs} jobs, {len(faults)} faults"
            print(progress, *totals[3], flush=True)
    return jobs, ends, points, faults


def main() -> None:
    """Print the totals; exit with 1 if the audit found a fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=100)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--broken", action="store_true")
    parser.add_argument("--parallel", type=int, default=4)
    options = parser.parse_args()
    jobs, ends, points, faults = play_all(options.runs, options.seed, options.broken, options.parallel)
    print(f"{options.runs} runs, {jobs} jobs: " + ", ".join(f"{k} {n}" for k, n in sorted(ends.items())))
    print("killed at: " + ", ".join(f"{k} {n}" for k, n in sorted(points.items())))
    for fault in faults:
        print(fault)
    print(f"{len(faults)} faults")
    sys.exit(bool(faults))


if __name__ == "__main__":
    main()

"""Kills schedulers and workers at random and counts: no accession twice, one answer a job, none lost.

    python -m benchmarks.durable_crash [--runs 100] [--seed 1] [--broken] [--parallel 4]

A run is one store: jobs are handed in over HTTP and as Gearman background jobs, the scheduler is killed with
SIGKILL a few times, at random or at a named point, and so are the workers, each a process; in the end all is
left alone until nothing is open. Each start of a job is a line in a file that its worker wrote first.
`--broken` has the grant's commit come after the send: the audit must then find a double run.
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
JOBS = 8  # of each front in a run
KILLS = 3
RUN_WITHIN = 60.0
FIRST_PORT, PORTS, SLOTS = 10_000, 5, 4_400  # below those that the system gives out: no run meets another's
AT_ONCE = 10  # runs in one batch of a process
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
    """What the workers and clients saw."""

    starts: Counter[str] = field(default_factory=Counter)  # by payload: which names the job
    handed_in: dict[str, str] = field(default_factory=dict)  # id by payload, once acknowledged
    ends: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)


class Nursery:
    """The process that forks schedulers."""

    def __init__(self) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.crash_points"],
            cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        )  # fmt: skip

    def start(self, order: Mapping[str, object]) -> int:
        """Start one; returns its number."""
        assert self._process.stdin and self._process.stdout
        self._process.stdin.write(json.dumps(order) + "\n")
        self._process.stdin.flush()
        return int(self._process.stdout.readline())

    def close(self) -> None:
        """No more of them."""
        assert self._process.stdin and self._process.stdout
        self._process.stdin.close()
        self._process.stdout.close()
        self._process.wait(10)


def alive(pid: int) -> bool:
    """Whether a process has not died; the nursery leaves nobody as a zombie."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def kill(pid: int) -> None:
    """SIGKILL, and wait until it is gone."""
    while alive(pid):
        with suppress(ProcessLookupError):  # it died meanwhile
            os.kill(pid, signal.SIGKILL)
        time.sleep(0.001)


class Workers:
    """Three HTTP workers with their list and two Gearman workers; whoever dies is replaced a moment later."""

    def __init__(self, nursery: Nursery, folder: Path, dice: random.Random, port: int) -> None:
        self._nursery = nursery
        self._folder = folder
        self._dice = dice
        self._alive: dict[int, int] = {}  # port of each process; 0: a Gearman worker
        self._list: asyncio.Server | None = None
        self._ports = [port, port + 1, port + 2]
        self.deaths = 0

    async def start(self) -> str:
        """Begin; returns discovery's address."""
        self._list = await asyncio.start_server(self._discover, "127.0.0.1", 0)
        for port in (*self._ports, 0, 0):
            self._spawn(port)
        return f"127.0.0.1:{self._list.sockets[0].getsockname()[1]}"

    def _spawn(self, port: int) -> None:
        order = {"folder": str(self._folder), "port": port, "seed": self._dice.getrandbits(32)}
        self._alive[self._nursery.start(order)] = port

    async def replace(self) -> None:
        """Look after them, for ever."""
        while True:
            await asyncio.sleep(self._dice.uniform(0.01, 0.1))
            for pid in [pid for pid in self._alive if not alive(pid)]:
                self.deaths += 1
                self._spawn(self._alive.pop(pid))

    async def _discover(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await serve_discovery(reader, writer, self._ports)

    def close(self) -> None:
        """End all."""
        if self._list is not None:
            self._list.close()
        for pid in self._alive:
            kill(pid)


class Scheduler:
    """One life of the scheduler under test."""

    def __init__(
        self, nursery: Nursery, folder: Path, discovery: str, port: int, point: str, nth: int, broken: bool
    ) -> None:
        config = json.loads((ROOT / "examples/config.json").read_text())
        config |= {"listen": f"127.0.0.1:{port}", "discovery": discovery}
        (folder / "config.json").write_text(json.dumps(config))
        (folder / "operator.toml").write_text(OPERATOR.format(path=folder / "jobs.db", port=port + 1))
        self._log = folder / f"log-{time.monotonic_ns()}"
        self._log.touch()
        self._pid = nursery.start({
            "arguments": ["--operator", str(folder / "operator.toml")], "log": str(self._log), "at": point,
            "env": {"LB_CONFIG": str(folder / "config.json")}, "nth": nth, "broken": broken,
        })  # fmt: skip

    @property
    def lives(self) -> bool:
        """It has not died."""
        return alive(self._pid)

    async def address(self, front: str) -> tuple[str, int]:
        """Where a front listens; raises OSError if it died before."""
        while self.lives:
            if found := re.search(rf"{front} listens on ([\d.]+):(\d+)", self._log.read_text()):
                return found[1], int(found[2])
            await asyncio.sleep(0.01)
        raise OSError(f"it has died: {self._log.read_text()[-1500:]}")

    def kill(self) -> None:
        """SIGKILL, if it has not come to it by itself."""
        kill(self._pid)

    def log(self) -> str:
        """What it said."""
        return self._log.read_text()


async def hand_in(started: Scheduler, audit: Audit, names: list[str]) -> None:
    """The clients: each job is handed in until it is acknowledged, with its idempotency key."""
    try:
        host, port = await started.address("http")
        gearman = asyncio.create_task(hand_in_gearman(started, audit, [n for n in names if "-g" in n]))
        async with aiohttp.ClientSession() as session:
            for name in [n for n in names if "-h" in n]:
                job_class = name.partition("-")[0]
                headers = {"Idempotency-Key": name}
                url = f"http://{host}:{port}/jobs/{job_class}"
                async with session.post(url, data=name.encode(), headers=headers) as response:
                    if response.status == 202:
                        audit.handed_in[name] = (await response.json())["id"]
                await asyncio.sleep(0.01)
        await gearman
    except (OSError, aiohttp.ClientError, asyncio.IncompleteReadError):
        pass  # it was killed: what is not acknowledged comes again


async def hand_in_gearman(started: Scheduler, audit: Audit, names: list[str]) -> None:
    """The same by background jobs; unique ids make a job that is still open the same one."""
    try:
        reader, writer = await asyncio.open_connection(*await started.address("gearman"))
        for name in names:
            function = b"file_specimen" if name.startswith("accession") else b"render_preview"
            writer.write(
                encode(PacketType.SUBMIT_JOB_BG, function, name.encode(), name.encode(), magic=b"\0REQ")
            )
            head = await reader.readexactly(12)
            data = await reader.readexactly(int.from_bytes(head[8:], "big"))
            if int.from_bytes(head[4:8], "big") == PacketType.JOB_CREATED:
                audit.handed_in[name] = data.decode()
            await asyncio.sleep(0.01)
        writer.close()
    except (OSError, asyncio.IncompleteReadError):
        pass


async def look(started: Scheduler) -> list[dict[str, object]]:
    """All jobs that are open."""
    host, port = await started.address("http")
    async with aiohttp.ClientSession() as session:
        states = "&".join(f"state={s}" for s in ("held", "timed", "quiet", "ready", "asked", "started"))
        async with session.get(f"http://{host}:{port}/jobs?limit=500&{states}") as response:
            return list((await response.json())["jobs"])


async def answers(started: Scheduler, audit: Audit, seen: dict[str, str]) -> None:
    """Each job's answer as its client finds it; one that was found before must be the same."""
    host, port = await started.address("http")
    async with aiohttp.ClientSession() as session:
        for name, id_ in audit.handed_in.items():
            async with session.get(f"http://{host}:{port}/jobs/{id_}") as response:
                view = await response.json()
            if response.status != 200:
                audit.faults.append(f"{name} is lost: {view}")
                continue
            told = str(view.get("end") or view["state"])
            if name in seen and seen[name] != told and seen[name] != "doubt" and "end" in view:
                audit.faults.append(f"{name} had the answer {seen[name]}, and now {told}")
            if "end" in view or told == "doubt":
                seen[name] = told


async def run(
    nursery: Nursery, folder: Path, seed: int, broken: bool
) -> tuple[Audit, dict[str, str], list[str]]:
    """One run; returns the audit, each job's answer, and the points at which it was killed."""
    dice, audit = random.Random(seed), Audit()
    port = FIRST_PORT + seed % SLOTS * PORTS
    workers = Workers(nursery, folder, dice, port)
    discovery = await workers.start()
    replacing = asyncio.create_task(workers.replace())
    names = [f"{c}-{f}{i}-{seed}" for i in range(JOBS // 2) for c in ("accession", "preview") for f in "hg"]
    dice.shuffle(names)
    seen: dict[str, str] = {}
    points = []
    try:
        for life in range(KILLS + 1):
            last = life == KILLS
            point = "" if last else dice.choice(POINTS)
            points.append(point or ("end" if last else "random"))
            if last:
                (folder / "calm").touch()
            started = Scheduler(nursery, folder, discovery, port + 3, point, dice.randint(1, 8), broken)
            left = [name for name in names if name not in audit.handed_in]
            clients = asyncio.create_task(hand_in(started, audit, left))
            telling = asyncio.create_task(tell_gearman(started, folder))
            try:
                if last:
                    await clients
                    await settle(started, audit, seen)
                    if not started.lives:
                        audit.faults.append("it died by itself")
                else:
                    await asyncio.wait({clients}, timeout=dice.uniform(0.1, 0.5))
                    if point == "":
                        await asyncio.sleep(dice.uniform(0, 0.15))
            finally:
                started.kill()
                if "decision fault" in started.log() or "Traceback" in started.log():
                    audit.faults.append("a fault of ours: " + started.log()[-1500:])
                await asyncio.gather(clients, telling, return_exceptions=True)
    finally:
        replacing.cancel()
        workers.close()
    points += ["worker"] * workers.deaths
    audit.starts.update((folder / "starts").read_text().split())
    judge(names, audit, seen)
    return audit, seen, points


async def tell_gearman(started: Scheduler, folder: Path) -> None:
    """The Gearman workers find each scheduler by a file."""
    with suppress(OSError):
        host, port = await started.address("gearman")
        (folder / "gearman").write_text(f"{host} {port}")


async def settle(started: Scheduler, audit: Audit, seen: dict[str, str]) -> None:
    """Until nothing is open but what is in doubt."""
    end = time.monotonic() + RUN_WITHIN
    while time.monotonic() < end and started.lives:
        if not await look(started):  # and once more by name: some may not have been read back yet
            await answers(started, audit, seen)
            if len(seen) == len(audit.handed_in) or audit.faults:
                return
        await asyncio.sleep(0.05)


def judge(names: list[str], audit: Audit, seen: dict[str, str]) -> None:
    """What must hold."""
    for name in names:
        if name not in audit.handed_in:
            audit.faults.append(f"{name} was never acknowledged")
        elif name not in seen:
            audit.faults.append(f"{name} has no answer")
        starts, end = audit.starts[name], seen.get(name)
        if name.startswith("accession") and starts > 1:
            audit.faults.append(f"{name} ran {starts} times")
        if end == "served" and not starts:
            audit.faults.append(f"{name} was served by nobody")
        if name.startswith("accession") and end in ("refused", "expired") and starts:
            audit.faults.append(f"{name} ended {end}, and had run")
        if end:
            audit.ends[f"{name.partition('-')[0]} {end}"] += 1


Found = tuple[int, Counter[str], Counter[str], list[str]]


async def play(runs: int, seed: int, broken: bool) -> Found:
    """So many runs: jobs, their ends, the points, the faults."""
    jobs, ends, points, faults = 0, Counter[str](), Counter[str](), []
    nursery = Nursery()
    try:
        for number in range(runs):
            with tempfile.TemporaryDirectory() as folder:
                audit, seen, at = await run(nursery, Path(folder), seed + number, broken)
            jobs += len(seen)
            ends += audit.ends
            points.update(at)
            faults += [f"run {seed + number}: {fault}" for fault in audit.faults]
    finally:
        nursery.close()
    return jobs, ends, points, faults


def play_some(runs: int, seed: int, broken: bool) -> Found:
    """The same in a process of its own."""
    return asyncio.run(play(runs, seed, broken))


def play_all(runs: int, seed: int, broken: bool, parallel: int) -> Found:
    """All runs, so many at once; the count goes on while they do."""
    starts = range(seed, seed + runs, AT_ONCE)
    jobs, ends, points = 0, Counter[str](), Counter[str]()
    faults: list[str] = []
    with ProcessPoolExecutor(parallel) as pool:
        batches = [pool.submit(play_some, min(AT_ONCE, seed + runs - s), s, broken) for s in starts]
        for done, batch in enumerate(as_completed(batches), 1):
            more = batch.result()
            jobs, ends, points = jobs + more[0], ends + more[1], points + more[2]
            faults += more[3]
            said = f"{min(done * AT_ONCE, runs)} runs, {jobs} jobs, {len(faults)} faults"
            print(said, *more[3], flush=True)
    return jobs, ends, points, faults


def main() -> None:
    """Print the counts; exit 1 if the audit found anything."""
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

"""Kills schedulers and workers at random and counts: no accession twice, one answer a job, none lost.

    python -m benchmarks.durable_crash [--runs 100] [--seed 1] [--broken]

A run is one store: jobs are handed in over HTTP and as Gearman background jobs, the scheduler is killed with
SIGKILL a few times, at random or at a named point, workers drop connections, and in the end all is left
alone until nothing is open. The workers write down each start of a job, outside of all that is killed.
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
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from oxbowyard.gearman.packet import Decoder, Packet, Type, encode

from .standin import HEAD_END
from .started import ROOT

POINTS = ("taken", "before grant", "granted", "written", "started", "answered", "recovering", "")
JOBS = 12  # of each front in a run
KILLS = 3
RUN_WITHIN = 60.0
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
listen = "127.0.0.1:0"
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


class Workers:
    """HTTP workers with their list, and Gearman workers; some drop connections before, in or after a job."""

    def __init__(self, audit: Audit, dice: random.Random) -> None:
        self._audit = audit
        self._dice = dice
        self.calm = False
        self._servers: list[asyncio.Server] = []
        self._ports: list[int] = []

    async def start(self) -> str:
        """Listen; returns discovery's address."""
        for _ in range(3):
            self._ports.append(await self._listen(self._work))
        return f"127.0.0.1:{await self._listen(self._discover)}"

    async def _listen(self, handler: object) -> int:
        server = await asyncio.start_server(handler, "127.0.0.1", 0)  # type: ignore[arg-type]
        self._servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    async def _discover(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        entry = {"az": "a", "model": "m", "state": "ready", "boot_ms": 0}
        targets = [{"uid": f"w{i}", "endpoint": f"127.0.0.1:{p}", **entry} for i, p in enumerate(self._ports)]
        try:
            while head := await reader.readuntil(HEAD_END):
                whole = b"after=" not in head
                if not whole:
                    await asyncio.sleep(20)
                body = json.dumps({"rev": 1, "all": whole, "targets": targets if whole else []}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            writer.close()

    async def _work(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(HEAD_END)).decode("latin-1")
            size = re.search(r"(?i)content-length: (\d+)", head)
            payload = (await reader.readexactly(int(size[1]) if size else 0)).decode()
            id_ = (re.search(r"(?i)req-id: (\S+)", head) or ["", ""])[1]
            if self._trouble(0.05):
                return
            self._audit.starts[payload] += 1  # its last byte is here: it runs, whatever comes now
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n")
            _line(writer, {"id": id_, "state": "started"})
            await asyncio.sleep(self._dice.uniform(0, 0.05))
            if self._trouble(0.1):
                return
            _line(writer, {"id": id_, "state": "done", "result": f"made {payload}"})
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    def _trouble(self, chance: float) -> bool:
        return not self.calm and self._dice.random() < chance

    async def gearman(self, where: asyncio.Future[tuple[str, int]]) -> None:
        """One Gearman worker on one scheduler, until that is gone."""
        try:
            reader, writer = await asyncio.open_connection(*await where)
        except OSError:
            return
        decoder = Decoder(1 << 20, magic=b"\0RES")
        for name in (b"file_specimen", b"render_preview"):
            writer.write(encode(Type.CAN_DO, name, magic=b"\0REQ"))
        writer.write(encode(Type.GRAB_JOB, magic=b"\0REQ"))
        try:
            while data := await reader.read(65536):
                for packet in decoder.feed(data):
                    assert isinstance(packet, Packet)
                    await self._gearman_packet(packet, writer)
        except OSError:
            pass
        finally:
            writer.close()

    async def _gearman_packet(self, packet: Packet, writer: asyncio.StreamWriter) -> None:
        if packet.type == Type.NO_JOB:
            writer.write(encode(Type.PRE_SLEEP, magic=b"\0REQ"))
        elif packet.type == Type.NOOP:
            writer.write(encode(Type.GRAB_JOB, magic=b"\0REQ"))
        elif packet.type == Type.JOB_ASSIGN:
            handle, _, payload = packet.data.split(b"\0", 2)
            self._audit.starts[payload.decode()] += 1
            await asyncio.sleep(self._dice.uniform(0, 0.05))
            if self._trouble(0.1):
                writer.transport.abort()
                return
            writer.write(encode(Type.WORK_COMPLETE, handle, b"made " + payload, magic=b"\0REQ"))
            writer.write(encode(Type.GRAB_JOB, magic=b"\0REQ"))

    def close(self) -> None:
        """Listen no more."""
        for server in self._servers:
            server.close()


def _line(writer: asyncio.StreamWriter, event: dict[str, str]) -> None:
    data = json.dumps(event).encode() + b"\n"
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))


class Scheduler:
    """One life of the scheduler under test."""

    def __init__(self, folder: Path, discovery: str, point: str, nth: int, broken: bool) -> None:
        config = json.loads((ROOT / "examples/config.json").read_text())
        config |= {"listen": "127.0.0.1:0", "discovery": discovery}
        (folder / "config.json").write_text(json.dumps(config))
        (folder / "operator.toml").write_text(OPERATOR.format(path=folder / "jobs.db"))
        self._log = folder / f"log-{time.monotonic_ns()}"
        crash = {"CRASH_AT": point, "CRASH_NTH": str(nth), "CRASH_BROKEN": "1" if broken else ""}
        env = os.environ | {"LB_CONFIG": str(folder / "config.json")} | crash
        with self._log.open("w") as log:
            command = [sys.executable, "-m", "benchmarks.crash_points", "--operator"]
            self.process = subprocess.Popen(
                [*command, str(folder / "operator.toml")], cwd=ROOT, stderr=log, env=env
            )

    async def address(self, front: str) -> tuple[str, int]:
        """Where a front listens; raises OSError if it died before."""
        while self.process.poll() is None:
            if found := re.search(rf"{front} listens on ([\d.]+):(\d+)", self._log.read_text()):
                return found[1], int(found[2])
            await asyncio.sleep(0.01)
        raise OSError(f"it has died: {self._log.read_text()[-1500:]}")

    def kill(self) -> None:
        """SIGKILL, if it has not come to it by itself."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait(10)

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
            writer.write(encode(Type.SUBMIT_JOB_BG, function, name.encode(), name.encode(), magic=b"\0REQ"))
            head = await reader.readexactly(12)
            data = await reader.readexactly(int.from_bytes(head[8:], "big"))
            if int.from_bytes(head[4:8], "big") == Type.JOB_CREATED:
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


async def run(folder: Path, seed: int, broken: bool) -> tuple[Audit, dict[str, str], list[str]]:
    """One run; returns the audit, each job's answer, and the points at which it was killed."""
    dice, audit = random.Random(seed), Audit()
    workers = Workers(audit, dice)
    discovery = await workers.start()
    names = [f"{c}-{f}{i}" for i in range(JOBS // 2) for c in ("accession", "preview") for f in "hg"]
    dice.shuffle(names)
    seen: dict[str, str] = {}
    points = []
    try:
        for life in range(KILLS + 1):
            last = life == KILLS
            point = "" if last else dice.choice(POINTS)
            points.append(point or ("end" if last else "random"))
            started = Scheduler(folder, discovery, point, dice.randint(1, 8), broken)
            workers.calm = last
            where: asyncio.Future[tuple[str, int]] = asyncio.ensure_future(started.address("gearman"))
            helpers = [asyncio.create_task(workers.gearman(where)) for _ in range(2)]
            left = [name for name in names if name not in audit.handed_in]
            clients = asyncio.create_task(hand_in(started, audit, left))
            try:
                if last:
                    await clients
                    await settle(started, helpers, workers, where, audit, seen)
                    if started.process.poll() is not None:
                        audit.faults.append("it died by itself")
                else:
                    await asyncio.wait({clients}, timeout=dice.uniform(0.4, 1.2))
                    if point == "":
                        await asyncio.sleep(dice.uniform(0, 0.3))
            finally:
                started.kill()
                if "decision fault" in started.log() or "Traceback" in started.log():
                    audit.faults.append("a fault of ours: " + started.log()[-1500:])
                await asyncio.gather(clients, *helpers, return_exceptions=True)
    finally:
        workers.close()
    judge(names, audit, seen)
    return audit, seen, points


async def settle(
    started: Scheduler,
    helpers: list[asyncio.Task[None]],
    workers: Workers,
    where: asyncio.Future[tuple[str, int]],
    audit: Audit,
    seen: dict[str, str],
) -> None:
    """Until nothing is open but what is in doubt; Gearman workers that were dropped come back."""
    end = time.monotonic() + RUN_WITHIN
    while time.monotonic() < end:
        for i, helper in enumerate(helpers):
            if helper.done():
                helpers[i] = asyncio.create_task(workers.gearman(where))
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


async def play(runs: int, seed: int, broken: bool) -> tuple[int, Counter[str], Counter[str], list[str]]:
    """So many runs: jobs, their ends, the points, the faults."""
    jobs, ends, points, faults = 0, Counter[str](), Counter[str](), []
    for number in range(runs):
        with tempfile.TemporaryDirectory() as folder:
            audit, seen, at = await run(Path(folder), seed + number, broken)
        jobs += len(seen)
        ends += audit.ends
        points.update(at)
        faults += [f"run {seed + number}: {fault}" for fault in audit.faults]
    return jobs, ends, points, faults


def main() -> None:
    """Print the counts; exit 1 if the audit found anything."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=100)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--broken", action="store_true")
    options = parser.parse_args()
    jobs, ends, points, faults = asyncio.run(play(options.runs, options.seed, options.broken))
    print(f"{options.runs} runs, {jobs} jobs: " + ", ".join(f"{k} {n}" for k, n in sorted(ends.items())))
    print("killed at: " + ", ".join(f"{k} {n}" for k, n in sorted(points.items())))
    for fault in faults:
        print(fault)
    print(f"{len(faults)} faults")
    sys.exit(bool(faults))


if __name__ == "__main__":
    main()

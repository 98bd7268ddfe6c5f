"""Stand-ins and a process harness for the cases 6 to 10: discovery, scan workers, Gearman peers, a client.

They follow the operators' PROTOCOL page and the published Gearman protocol. All addresses are loopback
addresses on free ports, and the program under test runs with the `run` command of `deploy/balancer.toml`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
RUN_LIMIT_S = 110.0  # of a whole case
NIGHT_BATCH = 1000  # jobs of one hand-in
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CouldNotRunError(Exception):
    """The case could not be set up, so that it says nothing about the rule."""


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, by time."""

    def __init__(self, folder: Path) -> None:
        self._started = time.monotonic()
        self._file = (folder / "record.txt").open("w", buffering=1)
        self.note(f"trouble={'yes' if TROUBLE else 'no'}")

    def note(self, text: str) -> None:
        """Write one line."""
        line = f"{time.monotonic() - self._started:8.3f} {text}"
        self._file.write(line + "\n")
        print(line, flush=True)

    def log_tail(self, name: str, text: str, lines: int = 60) -> None:
        """Append the last lines of a program's log."""
        self._file.write(f"--- log of {name}, last lines\n")
        for line in text.splitlines()[-lines:]:
            self._file.write(f"    {line}\n")


# ---- HTTP ----


@dataclass
class HttpMessage:
    """A request or an answer that was read whole."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first_line.split()[1])

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first_line.split()[1]

    def document(self) -> Any:
        """Return the JSON body."""
        return json.loads(self.body)


async def read_head(reader: asyncio.StreamReader) -> HttpMessage | None:
    """Read a head; None at the end of the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = text[:-4].split("\r\n")
    return HttpMessage(first, {k.strip().lower(): v.strip() for k, _, v in (r.partition(":") for r in rest)})


async def read_http(reader: asyncio.StreamReader) -> HttpMessage | None:
    """Read a whole message; None at the end of the connection."""
    message = await read_head(reader)
    if message is None:
        return None
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readline(), 16):
            message.body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    return message


async def call(
    port: int,
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
) -> HttpMessage:
    """Make one call on a new connection. Raises OSError if there is no answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            lines = [f"{method} {target} HTTP/1.1", "Host: api.internal", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            answer = await read_http(reader)
            if answer is None:
                raise ConnectionResetError("closed without an answer")
            return answer
        finally:
            writer.close()


# ---- Discovery ----


class Discovery:
    """The agent of a scheduler's machine: the whole list, and long polls for changes."""

    def __init__(self) -> None:
        self.port = free_port()
        self._revision = 1
        self._entries: dict[str, tuple[int, dict[str, object]]] = {}
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def tell(self, uid: str, port: int, state: str, boot_ms: int = 0) -> None:
        """Change one entry of the list."""
        async with self._changed:
            self._revision += 1
            entry = {"uid": uid, "endpoint": f"127.0.0.1:{port}", "az": "a", "model": "m", "pod_group": 0}
            entry |= {"state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}
            self._entries[uid] = (self._revision, entry)
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_http(reader)) is not None:
                body = json.dumps(await self._answer(request.target)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, target: str) -> dict[str, object]:
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if "=" in part)
        if "after" not in query:
            rows = [e for _, e in self._entries.values() if e["state"] != "gone"]
            return {"rev": self._revision, "all": True, "targets": rows}
        after, wait_s = int(query["after"]), int(query.get("wait_ms", "0")) / 1000
        async with self._changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(lambda: self._revision > after)
            rows = [e for revision, e in self._entries.values() if revision > after]
            return {"rev": self._revision, "all": False, "targets": rows}

    def close(self) -> None:
        """Stop."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


# ---- Scan workers ----


class WorkerJob:
    """One request at a scan worker, and the lines that answer it."""

    def __init__(self, worker: ScanWorker, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        self.worker = worker
        self.request = request
        self.id = request.headers.get("req-id", "")
        self.lease = request.headers.get("job-lease", "")
        self._writer = writer
        self._has_head = False

    def line(self, state: str, **fields: object) -> None:
        """Send one line of the answer, after its head."""
        if not self._has_head:
            self._has_head = True
            self._writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        document = {"id": self.id, "from": self.worker.uid, "state": state, **fields}
        data = json.dumps(document).encode() + b"\n"
        self._writer.write(b"%x\r\n" % len(data) + data + b"\r\n")

    def end(self) -> None:
        """End the answer."""
        self._writer.write(b"0\r\n\r\n")


Behaviour = Callable[[WorkerJob], Awaitable[None]]


class ScanWorker:
    """A scan worker that is one process: `die` resets its connections and refuses new ones."""

    def __init__(self, uid: str, behaviour: Behaviour) -> None:
        self.uid = uid
        self.port = free_port()
        self.behaviour = behaviour
        self._server: asyncio.Server | None = None
        self._tasks: dict[asyncio.Task[None], asyncio.StreamWriter] = {}

    async def start(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks[task] = writer
        work: asyncio.Future[None] | None = None
        try:
            while (request := await read_http(reader)) is not None:
                job = WorkerJob(self, request, writer)
                gone = asyncio.ensure_future(reader.read(1))
                work = asyncio.ensure_future(self.behaviour(job))
                await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():  # the scheduler gave the attempt up: the work stops
                    break
                gone.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await gone
                job.end()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if work is not None:
                work.cancel()
            self._tasks.pop(task, None)
            writer.close()

    def die(self) -> None:
        """End like a process that is killed: its connections are reset and new ones are refused."""
        if self._server is not None:
            self._server.close()
        for task, writer in list(self._tasks.items()):
            writer.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
            task.cancel()


# ---- Gearman ----

RECONNECT_S = 0.05  # between two tries of a peer to connect again
GEARMAN_HEADER = struct.Struct(">4sII")
CAN_DO, PRE_SLEEP, NOOP, SUBMIT_JOB, JOB_CREATED, GRAB_JOB, NO_JOB = 1, 4, 6, 7, 8, 9, 10
JOB_ASSIGN, WORK_STATUS, WORK_COMPLETE, WORK_FAIL, GET_STATUS, SUBMIT_JOB_BG = 11, 12, 13, 14, 15, 18
ERROR, STATUS_RES, CAN_DO_TIMEOUT, WORK_WARNING, GRAB_JOB_UNIQ, JOB_ASSIGN_UNIQ = 19, 20, 23, 29, 30, 31


class GearmanPeer:
    """One connection of a Gearman client or worker."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @staticmethod
    async def connect(port: int) -> GearmanPeer:
        """Connect. Raises OSError."""
        return GearmanPeer(*await asyncio.open_connection("127.0.0.1", port))

    def send(self, packet_type: int, *arguments: bytes) -> None:
        """Send one packet."""
        data = b"\0".join(arguments)
        self._writer.write(GEARMAN_HEADER.pack(b"\0REQ", packet_type, len(data)) + data)

    async def receive(self) -> tuple[int, bytes]:
        """Return the type and the data of the next packet. Raises ConnectionError."""
        try:
            _, packet_type, size = GEARMAN_HEADER.unpack(await self._reader.readexactly(GEARMAN_HEADER.size))
            return packet_type, await self._reader.readexactly(size)
        except asyncio.IncompleteReadError:
            raise ConnectionResetError("closed") from None

    async def next_job(
        self, before_grab: Callable[[], Awaitable[None]] | None = None
    ) -> tuple[bytes, bytes, bytes]:
        """Wait, as a worker, for a job; return its handle, unique id and workload."""
        self.send(GRAB_JOB_UNIQ)
        while True:
            packet_type, data = await self.receive()
            if packet_type == NO_JOB:
                self.send(PRE_SLEEP)
            elif packet_type == NOOP:
                if before_grab is not None:
                    await before_grab()
                self.send(GRAB_JOB_UNIQ)
            elif packet_type == JOB_ASSIGN_UNIQ:
                handle, _, unique, workload = data.split(b"\0", 3)
                return handle, unique, workload

    async def submit(self, packet_type: int, function: bytes, unique: bytes, workload: bytes) -> bytes:
        """Submit a job and return its handle. Raises CouldNotRunError if it is not taken."""
        self.send(packet_type, function, unique, workload)
        answer, data = await self.receive()
        if answer != JOB_CREATED:
            raise CouldNotRunError(f"job not taken: packet {answer} {data!r}")
        return data

    async def is_known(self, handle: bytes) -> bool:
        """Ask with GET_STATUS whether the server still has the job."""
        self.send(GET_STATUS, handle)
        _, data = await self.receive()
        return data.split(b"\0")[1] == b"1"

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def connect_again(port: int) -> GearmanPeer:
    """Connect to the Gearman front, as often as it takes."""
    while True:
        try:
            return await GearmanPeer.connect(port)
        except OSError:
            await asyncio.sleep(RECONNECT_S)


async def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    deadline = time.monotonic() + timeout_s
    while True:
        if condition():
            return True
        if time.monotonic() >= deadline:
            return False
        await asyncio.sleep(0.1)


# ---- The program under test ----

# Durable jobs, and Gearman with the accession of `deploy/operator.toml`.
DURABLE_TABLES = """
[waiting]
[durable]
path = "{store}"
"""
GEARMAN_TABLES = """
[gearman]
listen = "127.0.0.1:{port}"
[gearman.functions.file_specimen]
class = "accession"
deadline_ms = {deadline_ms}
worth = 8.0
"""


@dataclass
class Daemon:
    """One process of the scheduler, started by the `run` command of the deploy file."""

    process: asyncio.subprocess.Process
    log_path: Path

    @property
    def pid(self) -> int:
        """Return the process id; `run` replaces its shell by the program."""
        return self.process.pid

    @property
    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process.returncode is not None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it has not ended."""
        if not self.has_ended:
            self.process.send_signal(number)

    async def wait(self, timeout_s: float) -> int | None:
        """Wait for the end of the process; None if it goes on."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                return await self.process.wait()
        return None

    def log(self) -> str:
        """Return what the process has logged."""
        return self.log_path.read_text(errors="replace")


@dataclass
class Case:
    """The folder, the record and the processes of one case."""

    folder: Path
    record: Record
    tmp: Path
    discovery: Discovery = field(default_factory=Discovery)
    port: int = field(default_factory=free_port)
    daemons: list[Daemon] = field(default_factory=list)
    workers: list[ScanWorker] = field(default_factory=list)

    def write_config(self, change: Callable[[dict[str, Any]], None] = lambda document: None) -> Path:
        """Write the configuration: that of `examples/config.json` with this case's addresses."""
        document = json.loads((ROOT / "examples" / "config.json").read_text())
        document |= {"listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{self.discovery.port}"}
        change(document)
        path = self.tmp / "config.json"
        path.write_text(json.dumps(document))
        return path

    def write_operator_file(self, gearman_port: int = 0, deadline_ms: int = 25000) -> str:
        """Write the operator's file: durable jobs, and Gearman if there is a port for it."""
        tables = DURABLE_TABLES.format(store=self.tmp / "jobs.db")
        if gearman_port:
            tables += GEARMAN_TABLES.format(port=gearman_port, deadline_ms=deadline_ms)
        path = self.tmp / "operator.toml"
        path.write_text(tables)
        return str(path)

    async def hand_in_night_jobs(self, count: int) -> None:
        """Hand in previews and label checks that wait for the next night."""
        for number in range(count // NIGHT_BATCH):
            job_class = "preview" if number % 2 else "label-check"
            jobs = [{"class": job_class, "delay_s": 50000, "patience_s": 80000} for _ in range(NIGHT_BATCH)]
            answer = await call(self.port, "POST", "/jobs", json.dumps({"jobs": jobs}).encode())
            if answer.status != 202:
                raise CouldNotRunError(f"a batch was answered {answer.status} {answer.body[:200]!r}")
        self.record.note(f"client handed in {count} jobs that are due in 50000 s")

    async def start_daemon(self, config: Path, *options: str) -> Daemon:
        """Start one process of the scheduler."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        folder = self.tmp / "tmpdir"
        folder.mkdir(exist_ok=True)
        log_path = self.tmp / f"daemon-{len(self.daemons)}.log"
        with log_path.open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                " ".join([run, *options]),
                cwd=ROOT,
                env=os.environ | {"LB_CONFIG": str(config), "TMPDIR": str(folder)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        daemon = Daemon(process, log_path)
        self.daemons.append(daemon)
        self.record.note(f"scheduler started: process {len(self.daemons)}")
        return daemon

    async def wait_until_up(self, daemon: Daemon, timeout_s: float = 20.0) -> None:
        """Wait until `/up` answers 200. Raises CouldNotRunError."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, TimeoutError):
                if (await call(self.port, "GET", "/up", timeout_s=1.0)).status == 200:
                    self.record.note("scheduler is up")
                    return
            if daemon.has_ended:
                raise CouldNotRunError(f"the scheduler ended with {daemon.process.returncode}")
            await asyncio.sleep(0.05)
        raise CouldNotRunError("the scheduler did not get up")

    async def add_worker(self, uid: str, behaviour: Behaviour, boot_ms: int = 0) -> ScanWorker:
        """Start a scan worker and list it."""
        worker = ScanWorker(uid, behaviour)
        await worker.start()
        self.workers.append(worker)
        await self.discovery.tell(uid, worker.port, "ready", boot_ms)
        return worker

    async def close(self) -> None:
        """End everything that was started."""
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
            await daemon.process.wait()
        for number, daemon in enumerate(self.daemons, 1):
            self.record.log_tail(f"process {number}", daemon.log().replace(str(self.tmp), "TMP"))
        for worker in self.workers:
            worker.die()
        self.discovery.close()


async def _run(folder: Path, body: Callable[[Case], Awaitable[int]]) -> int:
    tmp = Path(tempfile.mkdtemp(prefix="review-"))
    case = Case(folder, Record(folder), tmp)
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):  # what was started is ended in this case too
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(RUN_LIMIT_S):
            await case.discovery.start()
            result = await body(case)
    except (Exception, asyncio.CancelledError) as error:  # also a fault of the case's own
        case.record.note(f"could not run: {type(error).__name__} {error}".replace(str(tmp), "TMP"))
        result = COULD_NOT_RUN
    finally:
        await case.close()
        shutil.rmtree(tmp, ignore_errors=True)
    verdict = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", COULD_NOT_RUN: "the case could not run"}
    case.record.note(f"exit {result}: {verdict[result]}")
    return result


def main(file: str, body: Callable[[Case], Awaitable[int]]) -> None:
    """Run a case from its file and exit with its result."""
    sys.exit(asyncio.run(_run(Path(file).resolve().parent, body)))

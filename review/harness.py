"""What the cases share: the scheduler as a process, and stand-ins for discovery, scan workers and clients.

The stand-ins follow PROTOCOL. Everything runs on loopback addresses and free ports, in a temporary folder,
and is ended by process id. `TROUBLE=0` in the environment leaves the disruption out.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes
MAX_CASE_S = 110.0
READY_WITHIN_S = 20.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Record:
    """Writes `record.txt`: what was sent, answered and run, with seconds since the begin."""

    def __init__(self, path: Path) -> None:
        """Begin the file anew."""
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()
        self(f"trouble={'yes' if TROUBLE else 'no'}")

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def now(self) -> float:
        """Return the seconds since the begin."""
        return time.monotonic() - self._started_at


# ---- Scan workers and discovery ----


@dataclass(slots=True)
class Run:
    """One request that came whole to a scan worker."""

    job_id: str
    job_class: str
    body: str
    worker: str
    key: str
    at: float  # seconds since the begin, when its last byte had come
    was_dropped: bool = False  # a repeat that the workers still remembered: nothing was done
    has_ended: bool = False


@dataclass(slots=True)
class Fleet:
    """Scan workers that run each job for `run_s`, and the list service that names them.

    A job with an Idempotency-Key that any worker has seen within `memory_s` is dropped: the worker answers
    with the result of the first one. Work stops when its connection ends.
    """

    record: Record
    names: tuple[str, ...]
    run_s: float
    memory_s: float = 0.0
    runs: list[Run] = field(default_factory=list)
    states: dict[str, str] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)
    discovery_port: int = 0
    on_run: Callable[[Run], Awaitable[None]] | None = None
    # Returns the state in which a worker ends a request at once, instead of running it; None: it runs it.
    end_at_once: Callable[[Run], str | None] = lambda run: None
    leases: dict[str, str] = field(default_factory=dict)  # by job id
    _seen_at: dict[str, float] = field(default_factory=dict)  # by Idempotency-Key
    _revision: int = 1
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _runners: list[web.AppRunner] = field(default_factory=list)

    async def start(self) -> None:
        """Listen."""
        for name in self.names:
            self.states[name] = "ready"
            self.ports[name] = await self._serve(web.post("/{job_class}", self._handler(name)))
        self.discovery_port = await self._serve(web.get("/discovery/hosts", self._hosts))

    async def stop(self) -> None:
        """Close all listeners and connections."""
        for runner in self._runners:
            await runner.cleanup()

    def set_state(self, name: str, state: str) -> None:
        """Change the state of a worker in the list, and tell all watches."""
        self.record(f"discovery: {name} is {state}")
        self.states[name] = state
        self._revision += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, route: web.RouteDef) -> int:
        app = web.Application()
        app.add_routes([route])
        runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, HOST, 0).start()
        return int(runner.addresses[0][1])

    async def _hosts(self, request: web.Request) -> web.Response:
        after = request.query.get("after")
        if after is not None and int(after) >= self._revision:
            with contextlib.suppress(TimeoutError):
                wait_s = int(request.query.get("wait_ms", "0")) / 1000
                await asyncio.wait_for(self._changed.wait(), wait_s)
        if after is not None and int(after) >= self._revision:
            return web.json_response({"rev": self._revision, "all": False, "targets": []})
        targets = [
            {
                "uid": name,
                "endpoint": f"{HOST}:{self.ports[name]}",
                "az": "a",
                "model": "m",
                "pod_group": 0,
                "state": self.states[name],
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for name in self.names
        ]
        return web.json_response({"rev": self._revision, "all": True, "targets": targets})

    def _handler(self, worker: str) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        async def handle(request: web.Request) -> web.StreamResponse:
            body = (await request.read()).decode()
            key = request.headers.get("Idempotency-Key", "")
            run = Run(
                request.headers["Req-Id"], request.headers["Req-Kind"], body, worker, key, self.record.now()
            )
            self.leases[run.job_id.partition("~")[0]] = request.headers.get("Job-Lease", "")
            seen_at = self._seen_at.get(key) if key else None
            run.was_dropped = seen_at is not None and run.at - seen_at < self.memory_s
            if key and not run.was_dropped:
                self._seen_at[key] = run.at
            self.runs.append(run)
            what = "dropped as a repeat" if run.was_dropped else "begun"
            self.record(f"{worker}: {run.job_class} id={run.job_id} key={key or '-'} body={body!r} {what}")
            response = web.StreamResponse()
            response.enable_chunked_encoding()
            await response.prepare(request)
            try:
                async for line in self._answer(run):
                    await response.write(json.dumps(line).encode() + b"\n")
                await response.write_eof()
            except (asyncio.CancelledError, ConnectionError):
                self.record(f"{worker}: id={run.job_id} stopped, its connection ended")
                raise
            return response

        return handle

    async def _answer(self, run: Run) -> AsyncIterator[dict[str, str]]:
        common = {"id": run.job_id, "from": run.worker}
        state = self.end_at_once(run)
        if state is not None:
            self.record(f"{run.worker}: id={run.job_id} {state}")
            yield {**common, "state": state}
            return
        if not run.was_dropped:
            yield {**common, "state": "started"}
            if self.on_run is not None:
                await self.on_run(run)
            await asyncio.sleep(self.run_s)
        run.has_ended = True
        self.record(f"{run.worker}: id={run.job_id} done")
        yield {**common, "state": "done", "result": f"done: {run.body}"}


# ---- The scheduler ----


def job_class(name: str, deadline_ms: float, semantics: str, **more: object) -> dict[str, object]:
    """Return an entry of `settings.lanes`."""
    return {
        "name": name,
        "aim": 1000.0,
        "deadline": deadline_ms,
        "semantics": semantics,
        "group": "all",
        "memorySpan": 7500.0,
        "worth": 1.0,
        **more,
    }


@dataclass(slots=True)
class Scheduler:
    """The program of the deploy file as a process, started with its command `run`."""

    record: Record
    folder: Path
    lanes: list[dict[str, object]]
    discovery_port: int
    operator: str = ""  # the text of the operator's file; empty: none
    gearman: str = ""  # the text of the Gearman file; empty: none
    port: int = field(default_factory=free_port)
    starts: int = 0
    process: asyncio.subprocess.Process | None = None

    @property
    def url(self) -> str:
        """The address for clients."""
        return f"http://{HOST}:{self.port}"

    async def start(self) -> None:
        """Start the program and wait until `/up` says 200."""
        self.starts += 1
        temporary = self.folder / f"tmp{self.starts}"  # empty at each start
        temporary.mkdir()
        config = self.folder / "config.json"
        config.write_text(json.dumps(self._config()))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        command = run + self._option("operator", self.operator) + self._option("gearman", self.gearman)
        environment = os.environ | {"LB_CONFIG": str(config), "TMPDIR": str(temporary)}
        log_path = self.folder / f"scheduler{self.starts}.log"
        with log_path.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        try:
            await self._wait_until_up()
        except CannotRunError:
            self.record("log of the scheduler: " + log_path.read_text()[-1500:])
            raise
        self.record(f"scheduler: start {self.starts} is up")

    def _option(self, name: str, text: str) -> str:
        if not text:
            return ""
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        return f" --{name} {path}"

    async def _wait_until_up(self) -> None:
        assert self.process is not None
        until = time.monotonic() + READY_WITHIN_S
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < until:
                if self.process.returncode is not None:
                    raise CannotRunError(f"the scheduler ended with {self.process.returncode}")
                with contextlib.suppress(aiohttp.ClientError, OSError):
                    async with session.get(f"{self.url}/up") as answer:
                        if answer.status == 200:
                            return
                await asyncio.sleep(0.05)
        raise CannotRunError("the scheduler was not up in time")

    async def kill(self) -> None:
        """End the program with SIGKILL."""
        self.record(f"scheduler: SIGKILL to start {self.starts}")
        await self._end(signal.SIGKILL)

    async def terminate(self) -> None:
        """End the program with SIGTERM, and wait until it has ended."""
        self.record(f"scheduler: SIGTERM to start {self.starts}")
        await self._end(signal.SIGTERM)

    async def _end(self, number: int) -> None:
        process = self.process
        if process is not None and process.returncode is None:
            process.send_signal(number)
            try:
                await asyncio.wait_for(process.wait(), 40.0)
            except TimeoutError:
                process.kill()
                await process.wait()
            self.record(f"scheduler: ended with {process.returncode}")

    def _config(self) -> dict[str, object]:
        return {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.discovery_port}",
            "seed": f"{self.starts:x}f",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": {
                "siblings": 1,
                "discovery": "push",
                "worthBy": "request",
                "myZone": "a",
                "zones": ["a"],
                "kinds": ["m"],
                "familyInfo": {"tellsStart": True, "queueOrder": "fifo"},
                "lanes": self.lanes,
                "loadReport": {"names": [], "via": "silent"},
                "policyLimits": {
                    "connIdle": 15000.0,
                    "connectTimeout": 250.0,
                    "maxAttempts": 3,
                    "maxRetryAfter": 2000.0,
                    "mayCancel": True,
                    "mostHeld": 20000,
                    "retryAfter": True,
                    "secondCopies": False,
                },
                "rules": {
                    "answerSlack": 16.0,
                    "coldFrom": 0.15,
                    "rampTime": 22000.0,
                    "stopSendingWithin": 1000.0,
                    "tipAfter": 3000.0,
                    "tipMultiple": 2.5,
                },
            },
        }


# ---- Clients ----


@dataclass(slots=True)
class Client:
    """A client of `/jobs`, which asks again where the scheduler is away."""

    record: Record
    scheduler: Scheduler
    session: aiohttp.ClientSession

    async def call(self, method: str, path: str, **options: Any) -> tuple[int, Any]:
        """Make one call and return the status and the decoded answer."""
        url = self.scheduler.url + path
        async with self.session.request(method, url, **options) as answer:
            text = await answer.text()
        self.record(f"client: {method} {path} {options.get('json', '')} -> {answer.status} {text.strip()}")
        try:
            return answer.status, json.loads(text)
        except ValueError:
            return answer.status, text

    async def hand_in(self, job: dict[str, object], key: str = "") -> str:
        """Hand a job in, and return its id. It has to be acknowledged."""
        headers = {"Idempotency-Key": key} if key else {}
        status, view = await self.call("POST", "/jobs", json=job, headers=headers)
        if status != 202:
            raise CannotRunError(f"a job was not taken: {status}")
        return str(view["id"])

    async def wait_for_end(self, job_id: str, within_s: float) -> dict[str, Any]:
        """Ask until the job has ended or the time is over; return the last view of it."""
        until = time.monotonic() + within_s
        view: dict[str, Any] = {}
        while time.monotonic() < until:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                url = f"{self.scheduler.url}/jobs/{job_id}"
                async with self.session.get(url, params={"wait_ms": "1000"}) as answer:
                    view = await answer.json()
                if view.get("state") == "ended":
                    break
            await asyncio.sleep(0.1)
        self.record(f"client: job {job_id} at the end: {json.dumps(view)}")
        return view


# ---- Playing a case ----


@dataclass(slots=True)
class Stage:
    """The parts of one case. The case adds its schedulers, which are ended with it."""

    record: Record
    folder: Path
    schedulers: list[Scheduler] = field(default_factory=list)
    fleets: list[Fleet] = field(default_factory=list)

    async def fleet(self, names: Iterable[str], run_s: float, memory_s: float = 0.0) -> Fleet:
        """Start scan workers and discovery."""
        fleet = Fleet(self.record, tuple(names), run_s, memory_s)
        self.fleets.append(fleet)
        await fleet.start()
        return fleet

    async def scheduler(
        self, fleet: Fleet, lanes: list[dict[str, object]], operator: str = "", gearman: str = ""
    ) -> Scheduler:
        """Start a scheduler of this fleet."""
        scheduler = Scheduler(self.record, self.folder, lanes, fleet.discovery_port, operator, gearman)
        self.schedulers.append(scheduler)
        await scheduler.start()
        return scheduler

    async def close(self) -> None:
        """End everything that was started."""
        for scheduler in self.schedulers:
            if scheduler.process is not None and scheduler.process.returncode is None:
                scheduler.process.kill()
                await scheduler.process.wait()
        for fleet in self.fleets:
            await fleet.stop()


Play = Callable[[Stage], Awaitable[list[str]]]


async def _play(play: Play, record: Record) -> list[str]:
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        stage = Stage(record, Path(folder))
        try:
            async with asyncio.timeout(MAX_CASE_S):
                return await play(stage)
        finally:
            await stage.close()


def run_case(play: Play, folder: Path) -> int:
    """Play a case; it returns the breaks of the rule. Return the exit code."""
    record = Record(folder / "record.txt")
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # asyncio then ends what was started
    try:
        breaks = asyncio.run(_play(play, record))
    except (CannotRunError, TimeoutError, OSError, aiohttp.ClientError, KeyboardInterrupt) as error:
        record(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return NOT_RUN
    for text in [f"BROKEN: {text}" for text in breaks] or ["HELD"]:
        record(text)
        print(text)
    return BROKEN if breaks else HELD

"""Runs one plan: starts the stand-ins and the daemon, injects the faults, stops the daemon, audits."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..daemon_process import ROOT
from ..hostile.forms import FORMS
from .audit import Violation, audit
from .clients import NEW_CONNECTIONS_AFTER_TERM_S, Address, Client, bad_client, call, submit_deferred_job
from .discovery import Discovery
from .gearman import function_tables, stand_ins
from .plan import (
    CROWD_CONNECTIONS,
    HOSTILE_CONNECTIONS,
    HOSTILE_S,
    LOAD_S,
    SOCKETS,
    DiscoveryFaultAt,
    Ending,
    FaultAt,
    Plan,
    Reload,
    WorkerFault,
)
from .program import Program
from .records import Observation
from .workers import HOST, Worker

SHORTEST_STOP_S = 3.0  # PROTOCOL: SIGKILL follows SIGTERM after the longest deadline, at least this,
KILL_MARGIN_S = 0.7  # plus this margin
CROWD_S = 1.5
CROWD_TAIL_S = 0.5  # how long the crowd's closed connections still count
SUCCESSOR_LIVES_S = 0.6
LAG_CHECK_S = 0.02
SUBMISSION_PAUSE_S = 0.08
RESULT_WAIT_S = 6.0  # for jobs that run when the load ends
BAD_CLIENTS = 2


@dataclass(slots=True, frozen=True)
class Verdict:
    """The result of one seed."""

    plan: Plan
    observation: Observation
    violations: list[Violation]


class SoakRun:
    """One run of a plan."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._observation = Observation()
        self._workers = [
            Worker(f"w{i}", plan.slots, self._observation, plan.seed + i) for i in range(plan.workers)
        ]
        self._discovery = Discovery(self._workers, self._observation)
        self._stop = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._programs: list[Program] = []  # the processes that are audited
        self._started: list[Program] = []
        self._http: Address = (HOST, _free_port())
        self._attempts = plan.max_attempts
        self._loosened = False

    async def play(self) -> Observation:
        """Run the plan; return the observations."""
        try:
            return await self._play()
        finally:
            for program in self._started:
                program.kill()

    async def _play(self) -> Observation:
        for worker in self._workers:
            await worker.start()
        await self._discovery.start()
        lag = self._spawn(self._watch_lag())
        program = await self._start("first")
        await program.wait_ready(self._http, "/up")
        clients = [
            Client(n, self._plan, self._observation, lambda: self._http, self._stop)
            for n in range(self._plan.clients)
        ]
        client_tasks = [self._spawn(client.run()) for client in clients]
        faults = self._schedule()
        if self._plan.gearman:
            address = await program.address("gearman")
            client_tasks += [
                self._spawn(work) for work in stand_ins(self._plan, self._observation, address, self._stop)
            ]
        await asyncio.sleep(LOAD_S)
        await self._end(program, clients)
        await asyncio.wait(client_tasks)
        for task in (*faults, lag):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._discovery.fault = None
        if self._plan.durable:
            await self._check_acknowledged_jobs()
        self._discovery.close()
        for worker in self._workers:
            worker.die()
        self._observation.processes = [program.record for program in self._programs]
        return self._observation

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.append(task)
        return task

    # ---- The daemon ----

    async def _start(self, name: str) -> Program:
        program = Program(self._folder, name, self._config(), self._operator(name))
        self._programs.append(program)
        self._started.append(program)
        await program.address("http")
        return program

    def _config(self) -> dict[str, object]:
        return {
            "name": "n1", "listen": f"{HOST}:{self._http[1]}", "admin": f"{HOST}:0",
            "discovery": self._discovery.address, "seed": f"{self._plan.seed:x}",
            "settings": self._plan.platform_settings(self._attempts, self._loosened),
            "limits": {"cores": 1.0, "memory_mb": self._plan.memory_mb, "sockets": SOCKETS},
        }  # fmt: skip

    def _operator(self, name: str) -> str:
        tables = ""
        if self._plan.durable:
            tables += (
                f"[waiting]\n[waiting.classes.peek]\nqueueing = true\n[durable]\n"
                f'path = "{self._folder / "jobs.db"}"\nmax_store_bytes = {self._plan.max_store_bytes}\n'
            )
        if self._plan.gearman:
            tables += f'[gearman]\nlisten = "{HOST}:0"\n{function_tables(self._plan.classes)}'
        if self._plan.membership:
            tables += f'[membership]\nlisten = "{HOST}:{_free_port()}"\n'
        return tables

    # ---- Faults ----

    def _schedule(self) -> list[asyncio.Task[None]]:
        plan = self._plan
        tasks = [self._spawn(self._inject_worker_fault(fault)) for fault in plan.worker_faults]
        tasks += [self._spawn(self._inject_discovery_fault(fault)) for fault in plan.discovery_faults]
        tasks += [self._spawn(self._reload_at(item.at_s, item.reload)) for item in plan.reloads]
        for number in range(BAD_CLIENTS):
            self._spawn(bad_client(self._http, self._observation, random.Random(plan.seed + number)))
        if plan.crowd:
            tasks.append(self._spawn(self._crowd()))
        if plan.hostile_form:
            tasks.append(self._spawn(self._play_hostile_peers(plan.hostile_form)))
        if plan.durable:
            tasks.append(self._spawn(self._submit_deferred_jobs()))
        return tasks

    async def _inject_worker_fault(self, item: FaultAt) -> None:
        await asyncio.sleep(item.at_s)
        worker = self._workers[item.worker]
        if worker.fault is not None:
            return
        if item.fault is WorkerFault.DRAIN:
            self._discovery.drain(worker)
            await asyncio.sleep(item.length_s)
            self._discovery.end_drain(worker)
            return
        worker.fault = item.fault
        if item.fault is WorkerFault.DIE:
            worker.die()
        await asyncio.sleep(item.length_s)
        if item.fault is WorkerFault.DIE:
            worker.boot_unix_s = time.time()
            await worker.start()
            self._discovery.notify_change(worker)
        worker.fault = None

    async def _inject_discovery_fault(self, item: DiscoveryFaultAt) -> None:
        await asyncio.sleep(item.at_s)
        self._discovery.fault = item.fault
        await asyncio.sleep(item.length_s)
        self._discovery.fault = None

    async def _reload_at(self, at_s: float, reload: Reload) -> None:
        await asyncio.sleep(at_s)
        self._reload(reload)

    def _reload(self, reload: Reload) -> None:
        """Write the config and send SIGHUP. With deferred jobs the classes stay, so none is loosened."""
        program = self._programs[0]
        if reload is Reload.ATTEMPTS:
            self._attempts = self._attempts % 4 + 1
        elif reload is Reload.LOOSENED and not self._plan.durable and not self._loosened:
            self._loosened = True
            self._observation.loosened_at = asyncio.get_running_loop().time()
        text = json.dumps(self._config())
        program.write_config(text[: len(text) // 2] if reload is Reload.BROKEN else text)
        program.send(signal.SIGHUP)

    async def _crowd(self) -> None:
        """Open idle connections until the descriptors run out."""
        await asyncio.sleep(LOAD_S / 2)
        loop = asyncio.get_running_loop()
        begin = loop.time()
        opened = await asyncio.gather(
            *(asyncio.open_connection(*self._http) for _ in range(CROWD_CONNECTIONS)), return_exceptions=True
        )
        await asyncio.sleep(CROWD_S)
        for connection in opened:
            if not isinstance(connection, BaseException):
                connection[1].close()
        self._observation.crowded.append((begin, loop.time() + CROWD_TAIL_S))

    async def _play_hostile_peers(self, form: str) -> None:
        """Run misbehaving peers in a process of their own for a while."""
        await asyncio.sleep(LOAD_S / 3)
        host, port = await self._programs[0].address(FORMS[form].front.value)
        peers = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "benchmarks.hostile.peers", f"{host}:{port}", form,
            "--connections", str(HOSTILE_CONNECTIONS), "--seconds", str(HOSTILE_S),
            cwd=ROOT, stdout=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        try:
            await peers.wait()
        finally:
            if peers.returncode is None:
                peers.kill()

    async def _submit_deferred_jobs(self) -> None:
        """Submit deferred jobs, one after another."""
        loop = asyncio.get_running_loop()
        for number in range(1_000):
            id_, job_class = f"d{number}", random.Random(number).choice(("peek", "file"))
            if await submit_deferred_job(self._http, id_, job_class):
                self._observation.acknowledged_jobs[id_] = loop.time()
            await asyncio.sleep(SUBMISSION_PAUSE_S)

    async def _watch_lag(self) -> None:
        """Record the largest lag of this process's event loop, because its records are late by as much."""
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LAG_CHECK_S
            await asyncio.sleep(LAG_CHECK_S)
            self._observation.max_lag_s = max(self._observation.max_lag_s, loop.time() - due)

    # ---- The end ----

    async def _end(self, program: Program, clients: list[Client]) -> None:
        match self._plan.ending:
            case Ending.KILL:
                program.send(signal.SIGKILL)
                self._stop.set()
                await program.wait_exit(SHORTEST_STOP_S)
            case Ending.REPLACED:
                await self._replace(program, clients)
            case Ending.SUCCESSOR_DIES:
                successor = await self._start("second")
                await asyncio.sleep(SUCCESSOR_LIVES_S)
                successor.send(signal.SIGKILL)
                await successor.wait_exit(SHORTEST_STOP_S)
                await asyncio.sleep(2 * SUCCESSOR_LIVES_S)
                await self._terminate(program, clients, Ending.TERM)
            case ending:
                await self._terminate(program, clients, ending)

    async def _terminate(self, program: Program, clients: list[Client], ending: Ending) -> None:
        """Send SIGTERM. Clients go on using their connections until the time of SIGKILL."""
        if ending is Ending.HUP_TERM:
            self._reload(Reload.ATTEMPTS)
        program.send(signal.SIGTERM)
        if ending is Ending.TERM_TWICE:
            await asyncio.sleep(0.1)
            program.send(signal.SIGTERM)
        asyncio.get_running_loop().call_later(NEW_CONNECTIONS_AFTER_TERM_S, _stop_connecting, clients)
        await program.wait_exit(self._kill_after_s())
        self._stop.set()

    def _kill_after_s(self) -> float:
        return max(self._plan.longest_deadline_s, SHORTEST_STOP_S) + KILL_MARGIN_S

    async def _replace(self, old: Program, clients: list[Client]) -> None:
        loop = asyncio.get_running_loop()
        begin = loop.time()
        new = await self._start("second")
        await new.wait_ready(await new.address("control"), "/control/ready")
        old.send(signal.SIGTERM)
        await old.wait_exit(self._kill_after_s())
        # Connections may be closed unread while both processes share the address (DAYS).
        self._observation.crowded.append((begin, loop.time()))
        await self._terminate(new, clients, Ending.TERM)

    async def _check_acknowledged_jobs(self) -> None:
        """Restart the daemon on its store and check that it knows every acknowledged job."""
        if not self._observation.acknowledged_jobs:
            return
        program = await self._start("after")
        await program.wait_ready(self._http, "/up")
        for id_ in self._observation.acknowledged_jobs:
            if await call(self._http, "GET", f"/jobs/{id_}") != 200:
                self._observation.forgotten_jobs.append(id_)
        program.send(signal.SIGTERM)
        await program.wait_exit(RESULT_WAIT_S)


def _stop_connecting(clients: list[Client]) -> None:
    for client in clients:
        client.may_connect = False


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def play(plan: Plan) -> Verdict:
    """Run a plan and audit it."""
    with tempfile.TemporaryDirectory() as folder:

        async def run_plan() -> Observation:
            return await SoakRun(plan, Path(folder)).play()

        observation = asyncio.run(run_plan())
    return Verdict(plan, observation, audit(plan, observation))

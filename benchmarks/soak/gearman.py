"""Stand-in Gearman clients and workers, which record what they observe, as those over HTTP do."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Coroutine
from random import Random
from typing import Any

from oxbowyard.gearman.codec import HEADER, REQUEST_MAGIC, encode
from oxbowyard.gearman.packet_types import PacketType

from .clients import LAST_WAIT_S, MAX_PAUSE_S, Address
from .plan import JobClass, Plan
from .records import Arrival, Exchange, Observation

SERVED, REFUSED, FAILED = 200, 503, 500  # the audit judges by HTTP status
WORKERS = 2
CLIENTS = 2
MEAN_RUN_S = 0.03
LOSS_SHARE = 0.05  # of jobs during which the worker closes its connection
FAILURE_SHARE = 0.05

Packet = tuple[int, list[bytes]]


def _request(packet_type: PacketType, *arguments: bytes) -> bytes:
    return encode(packet_type, *arguments, magic=REQUEST_MAGIC)


async def _read(reader: asyncio.StreamReader) -> Packet:
    _, packet_type, size = HEADER.unpack(await reader.readexactly(HEADER.size))
    return packet_type, (await reader.readexactly(size)).split(b"\0")


class GearmanClient:
    """Submits one job after the other on one connection."""

    def __init__(
        self, number: int, plan: Plan, observation: Observation, address: Address, stop: asyncio.Event
    ) -> None:
        self._name = f"g{number}"
        self._plan = plan
        self._observation = observation
        self._address = address
        self._stop = stop
        self._random = Random(plan.seed * 2000 + number)

    async def run(self) -> None:
        """Submit until stopped, rejected at the end, or disconnected."""
        try:
            reader, writer = await asyncio.open_connection(*self._address)
        except OSError:
            return
        for number in itertools.count():
            await asyncio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))
            if self._stop.is_set():
                break
            job_class = self._random.choice(self._plan.classes)
            exchange = Exchange(
                f"{self._name}-{number}", job_class.name, job_class.deadline_s, number == 0, self._now()
            )
            try:
                if not await self._submit(reader, writer, exchange):
                    break
            except (OSError, asyncio.IncompleteReadError):
                exchange.closed_at = self._now()
                break
        writer.close()

    async def _submit(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, exchange: Exchange
    ) -> bool:
        """Submit one job and await its end; return False if it was rejected or did not end in time."""
        id_ = exchange.id.encode()
        writer.write(_request(PacketType.SUBMIT_JOB, exchange.job_class.encode(), id_, id_))
        packet_type, _ = await _read(reader)
        if packet_type != PacketType.JOB_CREATED:
            return False
        exchange.sent_at = self._now()
        self._observation.exchanges.append(exchange)
        status = FAILED
        try:
            async with asyncio.timeout(exchange.deadline_s + LAST_WAIT_S):
                while True:
                    packet_type, arguments = await _read(reader)
                    if packet_type == PacketType.WORK_WARNING and arguments[-1].startswith(b"refused"):
                        status = REFUSED
                    if packet_type == PacketType.WORK_COMPLETE:
                        status, exchange.body = SERVED, arguments[1]
                    if packet_type in (PacketType.WORK_COMPLETE, PacketType.WORK_FAIL):
                        break
        except TimeoutError:
            return False
        exchange.answered_at, exchange.status, exchange.answers = self._now(), status, 1
        return True

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


class GearmanWorker:
    """Grabs jobs; some fail, and with some the worker closes its connection."""

    def __init__(self, number: int, plan: Plan, observation: Observation, address: Address) -> None:
        self._name = f"gearman{number}"
        self._functions = [job_class.name.encode() for job_class in plan.classes]
        self._observation = observation
        self._address = address
        self._random = Random(plan.seed * 3000 + number)

    async def run(self) -> None:
        """Work until no connection can be opened."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self._address)
            except OSError:
                return
            try:
                await self._work(reader, writer)
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.transport.abort()

    async def _work(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"".join(_request(PacketType.CAN_DO, name) for name in self._functions))
        while True:
            writer.write(_request(PacketType.GRAB_JOB))
            packet_type, arguments = await _read(reader)
            if packet_type == PacketType.JOB_ASSIGN:
                if not await self._run_job(writer, *arguments):
                    return
            elif packet_type == PacketType.NO_JOB:
                writer.write(_request(PacketType.PRE_SLEEP))
                await _read(reader)

    async def _run_job(self, writer: asyncio.StreamWriter, handle: bytes, _: bytes, workload: bytes) -> bool:
        loop = asyncio.get_running_loop()
        arrival = Arrival(workload.decode(), self._name, loop.time(), loop.time(), ran=True)
        self._observation.arrivals.append(arrival)
        await asyncio.sleep(self._random.expovariate(1 / MEAN_RUN_S))
        arrival.ended_at = loop.time()
        chance = self._random.random()
        if chance < LOSS_SHARE:
            return False
        if chance < LOSS_SHARE + FAILURE_SHARE:
            writer.write(_request(PacketType.WORK_FAIL, handle))
            return True
        arrival.result = workload + b" made by " + self._name.encode()
        writer.write(_request(PacketType.WORK_COMPLETE, handle, arrival.result))
        return True


def function_tables(classes: tuple[JobClass, ...]) -> str:
    """Return the operator file's tables of functions: one for each class, under its name."""
    return "".join(
        f'[gearman.functions.{job_class.name}]\nclass = "{job_class.name}"\n'
        f"deadline_ms = {job_class.deadline_s * 1000:.0f}\n"
        for job_class in classes
    )


def stand_ins(
    plan: Plan, observation: Observation, address: Address, stop: asyncio.Event
) -> list[Coroutine[Any, Any, None]]:
    """Return the coroutines of all clients and workers; they run until stopped or disconnected."""
    workers = [GearmanWorker(number, plan, observation, address).run() for number in range(WORKERS)]
    return [*workers, *(GearmanClient(n, plan, observation, address, stop).run() for n in range(CLIENTS))]

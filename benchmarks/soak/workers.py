"""Stand-in workers, which record the attempts that reach them and inject faults on request."""

from __future__ import annotations

import asyncio
import json
import re
from random import Random

from .plan import WorkerFault
from .records import Arrival, Observation

HEAD_END = b"\r\n\r\n"
HOST = "127.0.0.1"
SECOND_ANSWER_AFTER_S = 0.005
MEAN_RUN_S = 0.03
SHORTEST_RUN_S = 0.005


class Worker:
    """A worker whose address stays the same when it dies and returns."""

    def __init__(self, name: str, slots: int, observation: Observation, seed: int) -> None:
        self.name = name
        self.address = ""
        self.boot_unix_s = 0.0
        self.fault: WorkerFault | None = None
        self._slots = asyncio.Semaphore(slots)
        self._observation = observation
        self._random = Random(seed)
        self._port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start listening, after a restart on the same port as before."""
        self._server = await asyncio.start_server(self._serve, HOST, self._port, reuse_address=True)
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{self._port}"

    def die(self) -> None:
        """Reset all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._attempt(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the scheduler gave up, or this worker died
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _attempt(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        received = await reader.read(1)
        if not received:
            return
        arrival = Arrival("", self.name, loop.time())
        head = (received + await reader.readuntil(HEAD_END)).decode("latin-1")
        arrival.id = _header(head, "Req-Id")
        self._observation.arrivals.append(arrival)
        closed = None
        try:
            await reader.readexactly(int(_header(head, "Content-Length") or 0))
            arrival.received_at = loop.time()
            closed = asyncio.ensure_future(self._watch(reader, arrival))
            await self._answer(arrival, writer)
        finally:
            if arrival.received_at is None or self.fault is WorkerFault.DIE:
                arrival.ended_at = loop.time()
            if closed is not None:
                await asyncio.wait({closed}, timeout=None if arrival.ended_at is None else 0)
                closed.cancel()

    async def _watch(self, reader: asyncio.StreamReader, arrival: Arrival) -> None:
        """Record when the scheduler closes the connection."""
        try:
            while await reader.read(1 << 16):
                pass
        except OSError:
            pass
        arrival.closed_at = asyncio.get_running_loop().time()

    async def _answer(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        fault = self.fault
        if fault is WorkerFault.DECLINE:
            arrival.ended_at = loop.time()
            writer.write(
                b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            )
            return
        arrival.ran = True
        if fault is WorkerFault.HANG:
            return
        if fault is WorkerFault.RESET:
            arrival.ended_at = loop.time()
            writer.transport.abort()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n")
        async with self._slots:
            _write_line(writer, {"id": arrival.id, "state": "started"})
            await asyncio.sleep(SHORTEST_RUN_S + self._random.expovariate(1 / MEAN_RUN_S))
        arrival.ended_at = loop.time()
        if fault is WorkerFault.FAIL:
            _write_line(writer, {"id": arrival.id, "state": "failed"})
        else:
            arrival.result = f"{arrival.id} made by {self.name}".encode()
            done = {"id": arrival.id, "state": "done", "result": arrival.result.decode()}
            _write_line(writer, done)
            if fault is WorkerFault.TWICE:
                await asyncio.sleep(SECOND_ANSWER_AFTER_S)
                _write_line(writer, done | {"result": "a second answer"})
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def _header(head: str, name: str) -> str:
    found = re.search(rf"(?im)^{name}: *(\S*)", head)
    return found[1] if found else ""


def _write_line(writer: asyncio.StreamWriter, event: dict[str, str]) -> None:
    line = json.dumps(event).encode() + b"\n"
    writer.write(b"%x\r\n%s\r\n" % (len(line), line))

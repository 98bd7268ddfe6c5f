"""Stand-ins for Gearman clients and workers, in the published binary protocol."""

from __future__ import annotations

import asyncio
import contextlib
import struct
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from harness import HOST, CannotRunError, Record

HEADER = struct.Struct(">4sII")
CAN_DO, PRE_SLEEP, NOOP, SUBMIT_JOB, JOB_CREATED = 1, 4, 6, 7, 8
GRAB_JOB, NO_JOB, JOB_ASSIGN, WORK_COMPLETE, WORK_FAIL = 9, 10, 11, 13, 14
GET_STATUS, ERROR, STATUS_RES = 15, 19, 20
RECONNECT_S = 0.1


def request(packet_type: int, *arguments: bytes) -> bytes:
    """Return a packet to the scheduler."""
    data = b"\0".join(arguments)
    return HEADER.pack(b"\0REQ", packet_type, len(data)) + data


async def read_packet(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Read one packet; raises IncompleteReadError or OSError when the connection has ended."""
    magic, packet_type, size = HEADER.unpack(await reader.readexactly(HEADER.size))
    if magic != b"\0RES":
        raise CannotRunError(f"not an answer of the protocol: {magic!r}")
    return packet_type, await reader.readexactly(size)


@dataclass(slots=True)
class GearmanRun:
    """One job that a worker was given."""

    handle: str
    workload: str
    at: float
    ended_at: float | None = None


@dataclass(slots=True)
class GearmanWorker:
    """A worker with `slots` threads and one connection, which it opens again when it has ended.

    A thread that runs a job finishes it, whatever becomes of the connection, and the worker reports its end
    under the handle that it was given, as it would have on the first connection.
    """

    record: Record
    port: int
    function: str
    run_s: float
    slots: int = 2
    runs: list[GearmanRun] = field(default_factory=list)
    _busy: int = 0
    _writer: asyncio.StreamWriter | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _unreported: list[bytes] = field(default_factory=list)
    _is_grabbing: bool = False

    def start(self) -> None:
        """Connect, and stay connected until `stop`."""
        self._spawn(self._stay_connected())

    async def stop(self) -> None:
        """End all threads and the connection."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _stay_connected(self) -> None:
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, self._writer = await asyncio.open_connection(HOST, self.port)
                try:
                    await self._serve(reader)
                finally:
                    self._writer.close()
                    self._writer = None
                    self.record("gearman worker: connection ended")
            await asyncio.sleep(RECONNECT_S)

    async def _serve(self, reader: asyncio.StreamReader) -> None:
        self.record("gearman worker: connected")
        self._send(request(CAN_DO, self.function.encode()))
        for packet in self._unreported:
            self._send(packet)
        self._unreported.clear()
        self._is_grabbing = False
        self._grab_if_free()
        while True:
            packet_type, data = await read_packet(reader)
            if packet_type == NOOP:
                self._grab_if_free()
            elif packet_type == NO_JOB:
                self._is_grabbing = False
                self._send(request(PRE_SLEEP))
            elif packet_type == JOB_ASSIGN:
                self._is_grabbing = False
                handle, _, workload = data.split(b"\0", 2)
                self._busy += 1
                self._spawn(self._run(handle, workload))
                self._grab_if_free()

    def _grab_if_free(self) -> None:
        if self._busy < self.slots and not self._is_grabbing:
            self._is_grabbing = True
            self._send(request(GRAB_JOB))

    def _send(self, packet: bytes) -> bool:
        if self._writer is None or self._writer.is_closing():
            return False
        self._writer.write(packet)
        return True

    async def _run(self, handle: bytes, workload: bytes) -> None:
        run = GearmanRun(handle.decode(), workload.decode(), self.record.now())
        self.runs.append(run)
        self.record(f"gearman worker: {run.handle} begun, workload {run.workload!r}")
        await asyncio.sleep(self.run_s)
        self._busy -= 1
        run.ended_at = self.record.now()
        packet = request(WORK_COMPLETE, handle, b"filed " + workload)
        has_sent = self._send(packet)
        if not has_sent:
            self._unreported.append(packet)
        self.record(f"gearman worker: WORK_COMPLETE {run.handle} 'filed {run.workload}' sent={has_sent}")
        self._grab_if_free()


@dataclass(slots=True, frozen=True)
class GearmanAnswer:
    """How a foreground job ended for its client."""

    handle: str
    end: str  # complete, fail or lost (the connection ended)
    result: str = ""


async def submit_foreground(
    record: Record, port: int, function: str, workload: str, within_s: float
) -> GearmanAnswer:
    """Submit a job and wait for its end."""
    reader, writer = await asyncio.open_connection(HOST, port)
    handle = ""
    try:
        writer.write(request(SUBMIT_JOB, function.encode(), b"", workload.encode()))
        async with asyncio.timeout(within_s):
            while True:
                packet_type, data = await read_packet(reader)
                parts = data.split(b"\0", 1)
                if packet_type == JOB_CREATED:
                    handle = data.decode()
                    record(f"gearman client: {workload!r} is {handle}")
                elif packet_type == ERROR:
                    raise CannotRunError(f"not taken: {data!r}")
                elif packet_type == WORK_COMPLETE:
                    answer = GearmanAnswer(handle, "complete", parts[1].decode())
                    break
                elif packet_type == WORK_FAIL:
                    answer = GearmanAnswer(handle, "fail")
                    break
    except (OSError, asyncio.IncompleteReadError):
        answer = GearmanAnswer(handle, "lost")
    except TimeoutError:
        answer = GearmanAnswer(handle, "unanswered")
    finally:
        writer.close()
    record(f"gearman client: {workload!r} ({handle}) ended: {answer.end} {answer.result!r}")
    return answer


async def ask_status(record: Record, port: int, handle: str) -> str:
    """Ask what is known of a handle; return `known` or `unknown`, and whether it runs."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(request(GET_STATUS, handle.encode()))
        async with asyncio.timeout(5.0):
            packet_type, data = await read_packet(reader)
    finally:
        writer.close()
    _, known, running, *_ = data.split(b"\0")
    text = f"{'known' if known == b'1' else 'unknown'}, {'running' if running == b'1' else 'not running'}"
    record(f"gearman client: GET_STATUS {handle} -> packet {packet_type}, {text}")
    return text

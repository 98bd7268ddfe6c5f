"""Stand-in workers and discovery for benchmarks, on loopback. They implement only part of the protocol."""

from __future__ import annotations

import asyncio
import json
import re
from dataclasses import dataclass, field

HEAD_END = b"\r\n\r\n"


@dataclass(slots=True)
class JobRun:
    """One run of a job at a worker."""

    id: str
    job_class: str
    started_at: float
    ended_at: float


async def serve_discovery(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ports: list[int]
) -> None:
    """Serve discovery on one connection: workers on these ports, in a list that never changes."""
    entry = {"az": "a", "model": "m", "state": "ready", "boot_ms": 0}
    targets = [{"uid": f"w{i}", "endpoint": f"127.0.0.1:{port}", **entry} for i, port in enumerate(ports)]
    try:
        while head := await reader.readuntil(HEAD_END):
            is_full = b"after=" not in head
            if not is_full:  # a watch
                await asyncio.sleep(int((re.search(rb"wait_ms=(\d+)", head) or [b"", b"0"])[1]) / 1000)
            body = json.dumps({"rev": 1, "all": is_full, "targets": targets if is_full else []}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):  # CancelledError: the fleet closes
        writer.close()


@dataclass(slots=True)
class StandInFleet:
    """Workers with slots, which serve jobs in order of arrival, and their discovery service."""

    workers: int
    slots: int
    run_time_s: dict[str, float]  # by class of jobs
    runs: list[JobRun] = field(default_factory=list)
    most_waiting: int = 0
    _ports: list[int] = field(default_factory=list)
    _servers: list[asyncio.Server] = field(default_factory=list)

    async def start(self) -> str:
        """Start the workers and discovery; return discovery's address."""
        for _ in range(self.workers):
            slots_free = asyncio.Semaphore(self.slots)
            self._ports.append(
                await self._listen(lambda r, w, slots_free=slots_free: self._work(r, w, slots_free))
            )
        return f"127.0.0.1:{await self._listen(self._discover)}"

    async def _listen(self, handler: object) -> int:
        server = await asyncio.start_server(handler, "127.0.0.1", 0)  # type: ignore[arg-type]
        self._servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    async def _discover(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await serve_discovery(reader, writer, self._ports)

    async def _work(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, slots_free: asyncio.Semaphore
    ) -> None:
        try:
            head = (await reader.readuntil(HEAD_END)).decode("latin-1")
            size = re.search(r"(?i)content-length: (\d+)", head)
            await reader.readexactly(int(size[1]) if size else 0)
            id_ = (re.search(r"(?i)req-id: (\S+)", head) or ["", ""])[1]
            kind = (re.search(r"(?i)req-kind: (\S+)", head) or ["", ""])[1]
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n")
            async with slots_free:
                if not writer.is_closing():
                    await self._run(id_, kind, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _run(self, id_: str, kind: str, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        _write_line(writer, {"id": id_, "state": "started"})
        await asyncio.sleep(self.run_time_s[kind])
        self.runs.append(JobRun(id_, kind, started_at, loop.time()))
        _write_line(writer, {"id": id_, "state": "done", "result": "made"})
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def _write_line(writer: asyncio.StreamWriter, event: dict[str, str]) -> None:
    data = json.dumps(event).encode() + b"\n"
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))

"""A stand-in for discovery: the agent on the scheduler's machine, with a list that changes."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Sequence

from .plan import DRAIN_GRACE_S, DiscoveryFault
from .records import Drain, Observation
from .workers import HEAD_END, HOST, Worker

NOTIFIED_WITHIN_S = 6.0  # a change counts as notified this long after the service has it (PROTOCOL)
SOCKET_SLACK_S = 0.05
SLOW_S = 0.4
POLL_S = 0.005


class Discovery:
    """Serves the list of workers and its changes."""

    def __init__(self, workers: Sequence[Worker], observation: Observation) -> None:
        self.address = ""
        self.fault: DiscoveryFault | None = None
        self._workers = workers
        self._observation = observation
        self._revision = 1
        self._changed: dict[str, int] = {}  # revision of the last change, by worker
        self._draining: dict[str, Drain] = {}
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def notify_change(self, worker: Worker) -> None:
        """Publish a changed entry, such as a worker that has restarted."""
        self._revision += 1
        self._changed[worker.name] = self._revision

    def drain(self, worker: Worker) -> None:
        """Mark the worker as draining. It is enforced a grace after the notification or its time limit."""
        if worker.name in self._draining:
            return
        now = asyncio.get_running_loop().time()
        enforced_from = now + NOTIFIED_WITHIN_S + DRAIN_GRACE_S + SOCKET_SLACK_S
        drain = self._draining[worker.name] = Drain(worker.name, enforced_from)
        self._observation.drains.append(drain)
        self.notify_change(worker)

    def end_drain(self, worker: Worker) -> None:
        """Mark the worker as ready again."""
        drain = self._draining.pop(worker.name, None)
        if drain is not None:
            drain.until = asyncio.get_running_loop().time()
            self.notify_change(worker)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(HEAD_END)
                await self._answer(head, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        after = _number(head, rb"after=(\d+)")
        if after is not None:
            await self._wait_for_change(after, (_number(head, rb"wait_ms=(\d+)") or 0) / 1000)
        while self.fault is DiscoveryFault.SILENT:
            await asyncio.sleep(POLL_S)
        if self.fault is DiscoveryFault.SLOW:
            await asyncio.sleep(SLOW_S)
        if self.fault is DiscoveryFault.REFUSE:
            writer.write(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
            return
        body = self._list(after)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        self._note_notified()

    async def _wait_for_change(self, after: int, wait_s: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while self._revision <= after and loop.time() < until:
            await asyncio.sleep(POLL_S)

    def _list(self, after: int | None) -> bytes:
        rows = [
            {
                "uid": worker.name, "endpoint": worker.address, "az": "a", "model": "m",
                "state": "draining" if worker.name in self._draining else "ready",
                "boot_ms": int(worker.boot_unix_s * 1000),
            }
            for worker in self._workers
            if after is None or self._changed.get(worker.name, 0) > after
        ]  # fmt: skip
        return json.dumps({"rev": self._revision, "all": after is None, "targets": rows}).encode()

    def _note_notified(self) -> None:
        """Count all current drains as notified, because the answer has been written."""
        enforced_from = asyncio.get_running_loop().time() + DRAIN_GRACE_S + SOCKET_SLACK_S
        for drain in self._draining.values():
            drain.enforced_from = min(drain.enforced_from, enforced_from)


def _number(head: bytes, pattern: bytes) -> int | None:
    found = re.search(pattern, head)
    return int(found[1]) if found else None

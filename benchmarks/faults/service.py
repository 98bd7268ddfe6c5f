"""A list service of fixed capacity, which serves calls in turn and rejects those that would wait too long."""

from __future__ import annotations

import asyncio
import json
import re
from dataclasses import dataclass, field
from typing import Any

from .loops import LoopThread

HEAD_END = b"\r\n\r\n"


@dataclass
class ListService:
    """The list of workers, the cost of a call, the injected faults, and a record of the calls."""

    targets: list[dict[str, Any]]
    revision: int = 10
    full_list_cost_s: float = 0.1  # processing time of a call for the complete list
    changes_cost_s: float = 0.05  # of a call for the changes after a revision
    max_wait_s: float = 2.0
    is_down: bool = False  # connections are closed without an answer
    slowdown: float = 1.0  # factor on both costs
    truncates_answers: bool = False  # sends half of each answer, then closes the connection
    calls: list[tuple[float, str]] = field(default_factory=list)  # time, and kind: whole, newer or refused
    _free_at: float = 0.0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def count(self, kind: str) -> int:
        """Return the number of calls of a kind."""
        return sum(what == kind for _, what in self.calls)

    def longest_overload_s(self) -> float:
        """Return the longest time over which calls were rejected with no gap of more than a second."""
        refused = [when for when, what in self.calls if what == "refused"]
        longest = begin = 0.0
        for before, when in zip([-10.0, *refused], refused, strict=False):
            begin = when if when - before > 1.0 else begin
            longest = max(longest, when - begin)
        return longest

    def publish(self, **changed: Any) -> None:
        """Change attributes, such as the targets, and publish the list as a new revision."""
        for name, value in changed.items():
            setattr(self, name, value)
        self.revision += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the calls of one connection."""
        loop = asyncio.get_running_loop()
        try:
            while not self.is_down:
                head = await reader.readuntil(HEAD_END)
                if self.is_down:
                    break
                after = re.search(rb"after=(\d+)", head)
                wait = re.search(rb"wait_ms=(\d+)", head)
                cost = (self.changes_cost_s if after else self.full_list_cost_s) * self.slowdown
                now = loop.time()
                if max(self._free_at - now, 0.0) + cost > self.max_wait_s:
                    self.calls.append((now, "refused"))
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.calls.append((now, "newer" if after else "whole"))
                self._free_at = max(self._free_at, now) + cost
                await asyncio.sleep(self._free_at - now)
                if after and int(after[1]) >= self.revision and wait:
                    try:
                        async with asyncio.timeout(int(wait[1]) / 1000):
                            await self._changed.wait()
                    except TimeoutError:
                        pass
                self._answer(writer, int(after[1]) if after else None)
        except (
            asyncio.IncompleteReadError,
            OSError,
            asyncio.CancelledError,
        ):  # CancelledError: the service closes
            pass
        finally:
            writer.close()

    def _answer(self, writer: asyncio.StreamWriter, after: int | None) -> None:
        known = after is not None and after == self.revision
        document = {"rev": self.revision, "all": not known, "targets": [] if known else self.targets}
        body = json.dumps(document).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        writer.write(body[: len(body) // 2] if self.truncates_answers else body)
        if self.truncates_answers:
            writer.close()


class ListServiceThread:
    """A list service on a background thread."""

    def __init__(self, service: ListService) -> None:
        self.service = service
        self._loop = LoopThread()
        listen = asyncio.start_server(service.serve, "127.79.0.2", 0, backlog=1000)
        self._server = self._loop.run(listen)
        self.address = f"127.79.0.2:{self._server.sockets[0].getsockname()[1]}"

    def publish(self, **changed: Any) -> None:
        """See ListService.publish."""
        self._loop.call(lambda: self.service.publish(**changed))

    def close(self) -> None:
        """Close the service and its thread."""
        self._loop.call(self._server.close)
        self._loop.close()


def worker_entries(count: int, host: str = "127.0.0.1", state: str = "ready") -> list[dict[str, Any]]:
    """Return entries of a list; no worker has to listen at their endpoints."""
    return [
        {"uid": f"w{i}", "endpoint": f"{host}:{20000 + i}", "state": state, "az": "a", "model": "m",
         "pod_group": 0, "capacity_hint": 1.0, "boot_ms": 0}
        for i in range(count)
    ]  # fmt: skip

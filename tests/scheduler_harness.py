"""The scheduler's subsystems on real sockets in the test's own process, under a loop that the test controls.

Races are forced rather than left to chance: a test performs the actions of two peers between two iterations
of the event loop, so that the loop sees both in the same iteration, in the order of the actions. Connections
to workers are established only when the test allows them.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from virtual_loop import VirtualLoop

from oxbowyard.clients.client_connections import ClientConnections
from oxbowyard.daemon.composition import compose
from oxbowyard.daemon.config import load
from oxbowyard.discovery.endpoint_list import parse_endpoint_list
from oxbowyard.gearman import config as gearman
from oxbowyard.listeners.acceptor import Acceptor
from oxbowyard.waiting.settings import WaitingSettings

TESTS_FOLDER = Path(__file__).parent
SETTINGS: dict[str, Any] = json.loads((TESTS_FOLDER / "settings.json").read_text())
ANSWER = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SCENARIO_TIMEOUT_S = 120.0


class GatedConnectLoop(VirtualLoop):
    """Delay outgoing connections until `connects_allowed` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.connects_allowed = asyncio.Event()
        self.connects_allowed.set()
        self.connect_count = 0

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        self.connect_count += 1
        await self.connects_allowed.wait()
        await super().sock_connect(sock, address)


async def run_loop_iterations(count: int = 60) -> None:
    """Let the loop process everything that is ready; the virtual clock stands still meanwhile."""
    for _ in range(count):
        await asyncio.sleep(0)


def disconnect(client: socket.socket, manner: str) -> None:
    """End a connection in the given manner: "close", "half" (half-close) or "reset"."""
    if manner == "half":
        client.shutdown(socket.SHUT_WR)
        return
    if manner == "reset":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


class FakeScanWorker:
    """A scan worker that records the bytes it receives and answers as the test configures it."""

    def __init__(self) -> None:
        self.received: list[bytearray] = []  # the bytes of each connection
        self.writers: list[asyncio.StreamWriter] = []
        self.remaining_rejections = 0  # how many of the next requests are rejected unstarted
        self.on_rejection: list[Any] = []  # a callback, called once upon the next rejection
        self.answers_requests = True

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received = bytearray()
        number = len(self.received)
        self.received.append(received)
        self.writers.append(writer)
        while piece := await reader.read(1 << 16):
            received += piece
            if not is_complete_request(received):
                continue
            if self.remaining_rejections:
                self.remaining_rejections -= 1
                writer.write(b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
                for call in self.on_rejection[:1]:
                    self.on_rejection.clear()
                    call()
            elif self.answers_requests:
                self.respond(number)
        writer.close()

    def respond(self, number: int) -> None:
        """Send the successful answer to the request of a connection."""
        id_ = bytes(self.received[number]).partition(b"Req-Id: ")[2].split(b"\r")[0].decode()
        line = json.dumps({"id": id_, "state": "done", "result": "yes"}) + "\n"
        text = ANSWER + f"{len(line):x}\r\n{line}\r\n0\r\n\r\n"
        self.writers[number].write(text.encode())

    @property
    def received_bytes(self) -> int:
        """Return the number of bytes received on all connections."""
        return sum(map(len, self.received))

    @property
    def complete_requests(self) -> int:
        """Return the number of connections that received a complete request, rejected ones included."""
        return sum(is_complete_request(received) for received in self.received)


def is_complete_request(received: bytes | bytearray) -> bool:
    """Return whether the bytes hold a head and a body of its Content-Length."""
    head, end, body = bytes(received).partition(b"\r\n\r\n")
    size = int(head.lower().partition(b"content-length: ")[2].split(b"\r")[0] or 0)
    return bool(end) and len(body) >= size


class SchedulerHarness:
    """A scheduler with its HTTP and Gearman fronts, one fake worker, and clients as plain sockets."""

    def __init__(self, folder: Path, waiting: WaitingSettings | None = None, **changes: Any) -> None:
        path = folder / "config.json"
        settings = {**SETTINGS, **changes}
        path.write_text(json.dumps({
            "name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings,
        }))  # fmt: skip
        loop = asyncio.get_running_loop()
        assert isinstance(loop, GatedConnectLoop)
        self.loop = loop
        self.config = load({"LB_CONFIG": str(path)})
        text = (TESTS_FOLDER.parent / "deploy/gearman.toml").read_text().replace(":4730", ":0")
        document = tomllib.loads(text)
        if waiting is not None:  # a rejected job is deferred and submitted again
            document["functions"]["file_specimen"]["queueing"] = True
        packets = gearman.parse(document, self.config.settings.classes)
        self.subsystems = compose(self.config, packets, waiting=waiting, clock=lambda: loop.time() * 1000)
        self.scheduler = self.subsystems.scheduler
        self.client_connections = ClientConnections(
            self.scheduler,
            self.subsystems.classes,
            lambda: True,
            64,
            self.subsystems.memory,
            self.subsystems.input_queue,
        )
        self.acceptor = Acceptor("http", "127.0.0.1", 0, self.client_connections)
        self.worker = FakeScanWorker()
        self._server: asyncio.Server | None = None
        self.clients: list[socket.socket] = []

    def move_endpoint(self, name: str, address: str) -> None:
        """Change an endpoint's address in the registry without a discovery event."""
        endpoints = self.subsystems.registry.endpoints
        endpoints[name] = endpoints[name]._replace(address=address)

    async def start(self, listed: bool = True, names: tuple[str, ...] = ("w1",)) -> None:
        """Start both fronts and the worker, and, if `listed`, publish the worker under each of the names."""
        self._server = await asyncio.start_server(self.worker.serve, "127.0.0.1", 0)
        self.acceptor.open()
        assert self.subsystems.gearman
        self.subsystems.gearman.listen()
        if listed:
            self.publish_endpoints(names)

    def publish_endpoints(self, names: tuple[str, ...] = ("w1",)) -> None:
        """Apply an endpoint list that names the worker once under each of the names."""
        assert self._server
        host, port = self._server.sockets[0].getsockname()[:2]
        row = {"endpoint": f"{host}:{port}", "az": "a", "model": "m", "state": "ready"}
        rows = [{"uid": name, **row} for name in names]
        change = parse_endpoint_list({"rev": 1, "all": True, "targets": rows})
        self.scheduler.update_endpoints(*self.subsystems.registry.apply(change))

    def connect(self, front: str = "http") -> socket.socket:
        """Connect a new client: the kernel accepts it, and the event loop has not seen it yet."""
        acceptor = self.acceptor if front == "http" else self.subsystems.gearman._acceptor  # type: ignore[union-attr]
        where = acceptor._listener.getsockname()  # type: ignore[union-attr]
        self.clients.append(socket.create_connection(where, 5.0))
        return self.clients[-1]

    async def read_available(self, client: socket.socket) -> bytes:
        """Return the bytes that have arrived at a client."""
        await run_loop_iterations()
        client.setblocking(False)
        try:
            return client.recv(1 << 20)
        except BlockingIOError:
            return b""

    async def close(self) -> None:
        """Close the clients, the fronts and the worker."""
        for client in self.clients:
            client.close()
        self.acceptor.close()
        await self.client_connections.close(1.0)
        assert self.subsystems.gearman and self._server
        self.subsystems.gearman.start_draining()
        await self.subsystems.close()
        self._server.close()


def run_scenario(
    tmp_path: Path,
    scenario: Callable[[SchedulerHarness], Awaitable[None]],
    waiting: WaitingSettings | None = None,
    starts: bool = False,
    **changes: Any,
) -> None:
    """Run a scenario on a scheduler of its own, which is started before if `starts` is set."""

    async def run() -> None:
        harness = SchedulerHarness(tmp_path, waiting, **changes)
        try:
            async with asyncio.timeout(SCENARIO_TIMEOUT_S):
                if starts:
                    await harness.start()
                await scenario(harness)
        finally:
            await harness.close()

    with asyncio.Runner(loop_factory=GatedConnectLoop) as runner:
        runner.run(run())


def request_bytes(job_class: str, id_: str = "a1", body: str = "hello", deadline_s: float = 9.0) -> bytes:
    """Return an HTTP request with the headers that clients send."""
    head = [f"POST /{job_class} HTTP/1.1", "Host: api", f"Req-Id: {id_}", f"Req-Kind: {job_class}"]
    head += [f"Req-Deadline: {deadline_s * 1000:.0f}m", f"Content-Length: {len(body)}"]
    return ("\r\n".join(head) + "\r\n\r\n" + body).encode()

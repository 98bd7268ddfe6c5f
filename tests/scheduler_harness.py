"""The scheduler's subsystems on real sockets in one process, the loop in the test's hand.

A crossing is forced: what two peers do is done between two turns of the loop, so that it learns of both at
once, in the order in which they were done. Connections to workers come up when the test lets them.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import tomllib
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


class GatedConnectLoop(VirtualLoop):
    """New connections come up once `way` is open."""

    def __init__(self) -> None:
        super().__init__()
        self.way = asyncio.Event()
        self.way.set()
        self.connecting = 0

    async def sock_connect(self, sock: socket.socket, address: Any) -> None:
        self.connecting += 1
        await self.way.wait()
        await super().sock_connect(sock, address)


async def turns(count: int = 60) -> None:
    """Let the loop do all that can be done now; no time passes while there is something to do."""
    for _ in range(count):
        await asyncio.sleep(0)


def leave(client: socket.socket, manner: str) -> None:
    """Close, half-close or reset."""
    if manner == "half":
        client.shutdown(socket.SHUT_WR)
        return
    if manner == "reset":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


class Worker:
    """A scan worker that keeps what it gets, and answers what the test says."""

    def __init__(self) -> None:
        self.got: list[bytearray] = []  # of each connection
        self.writers: list[asyncio.StreamWriter] = []
        self.decline = 0  # so many whole requests are turned away unstarted
        self.on_decline: list[Any] = []  # called, once, in the moment that one is turned away
        self.answer = True

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        got = bytearray()
        number = len(self.got)
        self.got.append(got)
        self.writers.append(writer)
        while piece := await reader.read(1 << 16):
            got += piece
            if not whole(got):
                continue
            if self.decline:
                self.decline -= 1
                writer.write(b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
                for call in self.on_decline[:1]:
                    self.on_decline.clear()
                    call()
            elif self.answer:
                self.end(number)
        writer.close()

    def end(self, number: int) -> None:
        """Serve the request of a connection."""
        id_ = bytes(self.got[number]).partition(b"Req-Id: ")[2].split(b"\r")[0].decode()
        line = json.dumps({"id": id_, "state": "done", "result": "yes"}) + "\n"
        text = ANSWER + f"{len(line):x}\r\n{line}\r\n0\r\n\r\n"
        self.writers[number].write(text.encode())

    @property
    def bytes_got(self) -> int:
        """Bytes that came on all connections so far."""
        return sum(map(len, self.got))

    @property
    def ran(self) -> int:
        """Requests whose last byte came, but those that were turned away."""
        return sum(whole(got) for got in self.got)


def whole(got: bytes | bytearray) -> bool:
    """A head and as many bytes as it says."""
    head, end, body = bytes(got).partition(b"\r\n\r\n")
    size = int(head.lower().partition(b"content-length: ")[2].split(b"\r")[0] or 0)
    return bool(end) and len(body) >= size


class SchedulerHarness:
    """One scheduler with both fronts, one worker, and the test's clients as bare sockets."""

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
        if waiting is not None:  # a job that is refused waits, and is asked again
            document["functions"]["file_specimen"]["queueing"] = True
        packets = gearman.parse(document, self.config.settings.classes)
        self.subsystems = compose(self.config, packets, waiting=waiting, clock=lambda: loop.time() * 1000)
        self.scheduler = self.subsystems.scheduler
        self.sessions = ClientConnections(self.scheduler, self.subsystems.classes, lambda: True, 64, 1 << 24)
        self.acceptor = Acceptor("http", "127.0.0.1", 0, self.sessions)
        self.worker = Worker()
        self._server: asyncio.Server | None = None
        self.clients: list[socket.socket] = []

    def move_endpoint(self, name: str, address: str) -> None:
        """The worker listens elsewhere, and no watch event has said so."""
        endpoints = self.subsystems.registry.endpoints
        endpoints[name] = endpoints[name]._replace(address=address)

    async def begin(self, listed: bool = True, names: tuple[str, ...] = ("w1",)) -> None:
        """Both fronts and the worker listen; the list names it, perhaps several times."""
        self._server = await asyncio.start_server(self.worker.serve, "127.0.0.1", 0)
        self.acceptor.open()
        assert self.subsystems.gearman
        self.subsystems.gearman.listen()
        if listed:
            self.list(names)

    def list(self, names: tuple[str, ...] = ("w1",)) -> None:
        """Discovery names the worker, under each of these names."""
        assert self._server
        host, port = self._server.sockets[0].getsockname()[:2]
        row = {"endpoint": f"{host}:{port}", "az": "a", "model": "m", "state": "ready"}
        rows = [{"uid": name, **row} for name in names]
        change = parse_endpoint_list({"rev": 1, "all": True, "targets": rows})
        self.scheduler.update_endpoints(*self.subsystems.registry.apply(change))

    def client(self, front: str = "http") -> socket.socket:
        """A new connection; the system takes it, the loop has not seen it yet."""
        acceptor = self.acceptor if front == "http" else self.subsystems.gearman._acceptor  # type: ignore[union-attr]
        where = acceptor._listener.getsockname()  # type: ignore[union-attr]
        self.clients.append(socket.create_connection(where, 5.0))
        return self.clients[-1]

    async def read(self, client: socket.socket) -> bytes:
        """What has come for a client by now."""
        await turns()
        client.setblocking(False)
        try:
            return client.recv(1 << 20)
        except BlockingIOError:
            return b""

    async def end(self) -> None:
        """Close all."""
        for client in self.clients:
            client.close()
        self.acceptor.close()
        await self.sessions.close(1.0)
        assert self.subsystems.gearman and self._server
        self.subsystems.gearman.start_draining()
        await self.subsystems.close()
        self._server.close()


def request_bytes(job_class: str, id_: str = "a1", body: str = "hello", deadline_s: float = 9.0) -> bytes:
    """A request as clients send it."""
    head = [f"POST /{job_class} HTTP/1.1", "Host: api", f"Req-Id: {id_}", f"Req-Kind: {job_class}"]
    head += [f"Req-Deadline: {deadline_s * 1000:.0f}m", f"Content-Length: {len(body)}"]
    return ("\r\n".join(head) + "\r\n\r\n" + body).encode()

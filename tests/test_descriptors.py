"""Idle clients occupy as many descriptors as they can: discovery is polled again and requests are served."""

from __future__ import annotations

import json
import resource
import socket
import threading
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

import pytest
from exchange_player import SETTINGS, TIMEOUT_S, SchedulerProcess
from scheduler_harness import request_bytes
from test_replacement import ThreadedServer, free_port, get_status, wait_until

from oxbowyard.daemon.descriptors import DescriptorBudget
from oxbowyard.discovery.poll_schedule import NOTIFIED_WITHIN_S

LIMIT = 96
BUDGET = DescriptorBudget.allocate(LIMIT, 20_000)
IDLE_CLIENT_BYTES = {
    "silent": b"",
    "keep-alive": b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n",
    "unfinished head": b"POST /preview HTTP/1.1\r\nHost: a\r\nReq-Id: u1\r\n",
}


class HeldWorker(ThreadedServer):
    """A fake worker that holds each job until `may_end` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.running = 0
        self.may_end = threading.Event()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            received = b""
            while not received.endswith(b"hello"):
                received += connection.recv(4096)
            self.running += 1
            self.may_end.wait(TIMEOUT_S)
            request_id = received.partition(b"Req-Id: ")[2].split(b"\r")[0].decode()
            line = json.dumps({"id": request_id, "state": "done", "result": "made"}).encode() + b"\n"
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(line)
            connection.sendall(head + line)


class LateDiscovery:
    """A fake discovery service whose address refuses connections until `start`."""

    def __init__(self, listing: dict[str, object]) -> None:
        self.port = free_port()
        self.listing = listing
        self.polls = 0

    def start(self) -> socket.socket:
        listener = socket.create_server(("127.0.0.1", self.port))
        threading.Thread(target=self._serve, args=(listener,), daemon=True).start()
        return listener

    def _serve(self, listener: socket.socket) -> None:
        body = json.dumps(self.listing).encode()
        try:
            while True:
                connection, _ = listener.accept()
                connection.recv(4096)
                self.polls += 1
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        except OSError:
            return


def _connect_and_send(stack: ExitStack, address: tuple[str, int], data: bytes) -> socket.socket:
    client = stack.enter_context(socket.create_connection(address, TIMEOUT_S))
    client.sendall(data)
    return client


@contextmanager
def _program(tmp_path: Path, worker: HeldWorker, discovery: LateDiscovery) -> Iterator[SchedulerProcess]:
    program = SchedulerProcess({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": f"127.0.0.1:{discovery.port}", "seed": "1f",
        "admin": "127.0.0.1:0", "settings": SETTINGS, "known": discovery.listing,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": LIMIT},
    }, tmp_path, [])  # fmt: skip
    resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (LIMIT, LIMIT))
    try:
        yield program
    finally:
        program.end()
        worker.listener.close()


@pytest.mark.parametrize("behaviour", IDLE_CLIENT_BYTES)
def test_idle_connections_leave_descriptors_for_other_traffic(tmp_path: Path, behaviour: str) -> None:
    """Discovery is down meanwhile, and as many jobs as may be open hold a connection to the worker each."""
    worker = HeldWorker()
    worker.start()
    entry = {"uid": "w1", "endpoint": worker.address, "az": "a", "model": "m", "state": "ready", "boot_ms": 0}
    discovery = LateDiscovery({"rev": 2, "all": True, "targets": [entry]})
    with ExitStack() as stack:
        program = stack.enter_context(_program(tmp_path, worker, discovery))
        clients, admin = program.address("http"), program.address("control")
        program.wait_for("-> serving")
        requests = [
            _connect_and_send(stack, clients, request_bytes("preview", f"a{i}", deadline_s=TIMEOUT_S))
            for i in range(BUDGET.requests)
        ]
        wait_until(lambda: worker.running >= 4, TIMEOUT_S)
        for _ in range(LIMIT):
            _connect_and_send(stack, clients, IDLE_CLIENT_BYTES[behaviour])
            _connect_and_send(stack, admin, b"")
        descriptor_folder = Path(f"/proc/{program.process.pid}/fd")
        wait_until(lambda: len(list(descriptor_folder.iterdir())) > LIMIT // 2, TIMEOUT_S)
        stack.enter_context(discovery.start())
        wait_until(lambda: discovery.polls >= 1, NOTIFIED_WITHIN_S)
        program.wait_for("endpoint list applied: revision=2 scope=full")
        assert get_status(admin, "/control/ready") == 200, (
            "the admin API answers despite the idle connections"
        )
        worker.may_end.set()
        for client in requests[:4]:
            client.settimeout(TIMEOUT_S)
            assert b" 200 OK" in client.recv(4096)
        last = _connect_and_send(stack, clients, request_bytes("preview", "last"))
        last.settimeout(TIMEOUT_S)
        assert b" 200 OK" in last.recv(4096)
        assert not [line for line in program.lines if "Too many open files" in line or "Traceback" in line]

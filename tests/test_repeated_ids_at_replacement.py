"""An id that the old process of a replacement has sent to a worker does not run again at the new one."""

from __future__ import annotations

import http.client
import signal
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import pytest
from exchange_player import SETTINGS, SchedulerProcess
from test_replacement import FakeDiscovery, FakeWorker, free_port, get_status, wait_until

IDS = 10
ANSWER_TIMEOUT_S = 8.0


@dataclass
class Replacement:
    """An old process that serves, and what is needed to start its successor."""

    old: SchedulerProcess
    worker: FakeWorker
    config: dict[str, object]
    port: int
    folder: Path
    new: SchedulerProcess | None = None

    def replace(self) -> None:
        """Start the successor; return once it alone accepts clients."""
        self.new = SchedulerProcess(self.config, self.folder, [])
        admin = self.new.address("control")
        self.old.wait_for("serving -> handing over")
        wait_until(lambda: get_status(admin, "/control/ready") == 200, 8)

    def send(self, request_id: str) -> int:
        """Send one request of a class that must not run twice on a new connection; return its status."""
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=ANSWER_TIMEOUT_S)
        headers = {"Req-Id": request_id, "Req-Kind": "accession", "Req-Deadline": "7000m"}
        try:
            connection.request("POST", "/accession?obj=1", b"x", headers)
            return connection.getresponse().status
        finally:
            connection.close()

    def send_and_leave(self, request_id: str) -> None:
        """Send one request, and reset the connection once the worker has it."""
        text = (
            f"POST /accession?obj=1 HTTP/1.1\r\nHost: a\r\nReq-Id: {request_id}\r\nReq-Kind: accession\r\n"
            "Req-Deadline: 7000m\r\nContent-Length: 1\r\n\r\nx"
        )
        self.worker.job_started.clear()
        with socket.create_connection(("127.0.0.1", self.port)) as connection:
            connection.sendall(text.encode())
            assert self.worker.job_started.wait(5)


class CountingWorker(FakeWorker):
    """A worker that answers at once, and counts how often each id has come."""

    def __init__(self) -> None:
        super().__init__()
        self.runs: dict[str, int] = {}
        self.answers = True

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            head = b""
            while b"\r\n\r\n" not in head:
                piece = connection.recv(4096)
                if not piece:
                    return
                head += piece
            id_ = head.partition(b"Req-Id: ")[2].split(b"\r")[0]
            body = head.partition(b"\r\n\r\n")[2]
            if not body and not connection.recv(1):
                return
            self.runs[id_.decode()] = self.runs.get(id_.decode(), 0) + 1
            self.job_started.set()
            if not self.answers:
                time.sleep(0.5)
                return
            line = b'{"id":"%s","state":"done","result":"made"}\n' % id_
            chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(line), line)
            connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk)


@contextmanager
def replacement(folder: Path) -> Iterator[Replacement]:
    worker = CountingWorker()
    worker.start()
    entry = {"uid": "w1", "endpoint": worker.address, "az": "a", "model": "m", "state": "ready", "boot_ms": 0}
    discovery = FakeDiscovery({"rev": 1, "all": True, "targets": [entry]})
    discovery.start()
    port = free_port()
    config: dict[str, object] = {
        "name": "n1", "listen": f"127.0.0.1:{port}", "discovery": discovery.address, "seed": "1f",
        "admin": "127.0.0.1:0", "settings": SETTINGS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    }  # fmt: skip
    stage = Replacement(SchedulerProcess(config, folder, []), worker, config, port, folder)
    try:
        admin = stage.old.address("control")
        wait_until(lambda: get_status(admin, "/control/ready") == 200, 10)
        yield stage
    finally:
        stage.old.end()
        if stage.new is not None:
            stage.new.end()
        worker.listener.close()
        discovery.listener.close()


@pytest.mark.parametrize("left", [False, True])
def test_id_does_not_run_again_at_the_second_process(tmp_path: Path, left: bool) -> None:
    # Guards against an id that ran at the old process and runs again at the one that replaces it (issue 56).
    with replacement(tmp_path) as stage:
        assert isinstance(stage.worker, CountingWorker)
        stage.worker.answers = not left
        for number in range(IDS):
            if left:
                stage.send_and_leave(f"r{number}")
            else:
                assert stage.send(f"r{number}") == 200
        stage.replace()
        stage.worker.answers = True
        assert [stage.send(f"r{number}") for number in range(IDS)] == [502] * IDS
        assert set(stage.worker.runs.values()) == {1}
        assert stage.send("fresh") == 200
        stage.old.process.send_signal(signal.SIGTERM)
        assert stage.old.process.wait(8) == 0


def test_id_that_is_open_at_the_old_process_does_not_run_at_the_second(tmp_path: Path) -> None:
    # Guards against an id that runs at both processes at the same time (issue 56).
    with replacement(tmp_path) as stage:
        assert isinstance(stage.worker, CountingWorker)
        old_answers: list[int] = []
        stage.new = SchedulerProcess(stage.config, tmp_path, [])
        stage.new.wait_for("starting -> serving")
        threads = [
            threading.Thread(target=lambda: old_answers.append(stage.send("both"))) for _ in range(IDS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(ANSWER_TIMEOUT_S)
        assert stage.worker.runs == {"both": 1}, old_answers
        assert sorted(old_answers) == [200] + [502] * (IDS - 1)

"""Replacement of a process: the old one hands over, then the new one reports ready; no request is lost."""

from __future__ import annotations

import json
import re
import signal
import socket
import threading
import time
import urllib.error
import urllib.request
from pathlib import Path

from exchange_player import SETTINGS, SchedulerProcess

JOB_DURATION_S = 2.0  # of each job at the fake worker


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class ThreadedServer(threading.Thread):
    """A server that handles each connection in a thread of its own."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    def _serve(self, connection: socket.socket) -> None:
        raise NotImplementedError

    def run(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()


class FakeDiscovery(ThreadedServer):
    """A fake discovery service: it answers a full list immediately, and a watch after 1 s without changes."""

    def __init__(self, listing: dict[str, object]) -> None:
        super().__init__()
        self.listing = listing

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            while head := connection.recv(4096):
                is_watch = b"after=" in head
                if is_watch:
                    time.sleep(1.0)
                body = json.dumps(
                    {"rev": 1, "all": False, "targets": []} if is_watch else self.listing
                ).encode()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class FakeWorker(ThreadedServer):
    """A fake scan worker that answers each job after JOB_DURATION_S."""

    def __init__(self) -> None:
        super().__init__()
        self.job_started = threading.Event()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            head = b""
            while b"\r\n\r\n" not in head:
                head += connection.recv(4096)
            request_id = re.search(rb"Req-Id: (\S+)", head)
            assert request_id
            self.job_started.set()
            time.sleep(JOB_DURATION_S)
            line = b'{"id":"%s","state":"done","result":"made"}\n' % request_id[1]
            chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(line), line)
            connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk)


def get_status(address: tuple[str, int], path: str) -> int:
    try:
        with urllib.request.urlopen(f"http://{address[0]}:{address[1]}{path}", timeout=5) as answer:
            return int(answer.status)
    except urllib.error.HTTPError as error:
        return error.code


def wait_until(condition: object, timeout_s: float) -> float:
    start = time.monotonic()
    while not condition():  # type: ignore[operator]
        assert time.monotonic() - start < timeout_s, "condition not met in time"
        time.sleep(0.05)
    return time.monotonic() - start


def test_the_new_process_is_ready_only_after_the_old_one_has_handed_over(tmp_path: Path) -> None:
    worker = FakeWorker()
    worker.start()
    entry = {"uid": "w1", "endpoint": worker.address, "az": "a", "model": "m", "state": "ready", "boot_ms": 0}
    discovery = FakeDiscovery({"rev": 1, "all": True, "targets": [entry]})
    discovery.start()
    port = free_port()
    config = {
        "name": "n1", "listen": f"127.0.0.1:{port}", "discovery": discovery.address, "seed": "1f",
        "admin": "127.0.0.1:0", "settings": SETTINGS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    }  # fmt: skip
    old = SchedulerProcess(config, tmp_path, [])
    new: SchedulerProcess | None = None
    try:
        old_admin = old.address("control")
        wait_until(lambda: get_status(old_admin, "/control/ready") == 200, 10)
        answer: list[int] = []
        body = b"x"
        request = urllib.request.Request(
            f"http://127.0.0.1:{port}/accession?obj=1", body, method="POST",
            headers={"Req-Id": "a1", "Req-Kind": "accession", "Req-Deadline": "9000m"},
        )  # fmt: skip
        client = threading.Thread(target=lambda: answer.append(urllib.request.urlopen(request).status))
        client.start()
        assert worker.job_started.wait(5)  # the worker has the job
        new = SchedulerProcess(config, tmp_path, [])
        new_admin = new.address("control")
        new.wait_for("starting -> serving")
        old.wait_for("serving -> handing over")
        new.wait_for("adopted the previous process's estimates: workers=1")
        assert get_status(new_admin, "/control/ready") == 503  # the old process still has the job in flight
        assert get_status(old_admin, "/control/ready") == 503
        elapsed_s = wait_until(lambda: get_status(new_admin, "/control/ready") == 200, 6)
        client.join(5)
        assert answer == [200]
        new.wait_for("successor took over: handed_over=yes")
        assert elapsed_s < 4.0
        old.process.send_signal(signal.SIGTERM)
        assert old.process.wait(5) == 0
        assert get_status(("127.0.0.1", port), "/up") == 200  # only the new process listens now
    finally:
        old.end()
        if new is not None:
            new.end()
        worker.listener.close()
        discovery.listener.close()

"""A second process beside the first: the old one hands over, then the new one says yes; no req is lost."""

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

from player import SETTINGS, Program

RUNS_FOR = 2.0  # seconds that the stand-in worker takes for a job


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class ThreadedServer(threading.Thread):
    """A listener of the test's that serves each connection in a thread of its own."""

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


class Discovery(ThreadedServer):
    """Answers the whole list at once, and a watch after a while with no change."""

    def __init__(self, listing: dict[str, object]) -> None:
        super().__init__()
        self.listing = listing

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            while head := connection.recv(4096):
                watch = b"after=" in head
                if watch:
                    time.sleep(1.0)
                body = json.dumps({"rev": 1, "all": False, "targets": []} if watch else self.listing).encode()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class Worker(ThreadedServer):
    """A scan worker that answers each job after RUNS_FOR."""

    def __init__(self) -> None:
        super().__init__()
        self.began = threading.Event()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            head = b""
            while b"\r\n\r\n" not in head:
                head += connection.recv(4096)
            found = re.search(rb"Req-Id: (\S+)", head)
            assert found
            self.began.set()
            time.sleep(RUNS_FOR)
            line = b'{"id":"%s","state":"done","result":"made"}\n' % found[1]
            chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(line), line)
            connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk)


def get_status(address: tuple[str, int], path: str) -> int:
    try:
        with urllib.request.urlopen(f"http://{address[0]}:{address[1]}{path}", timeout=5) as answer:
            return int(answer.status)
    except urllib.error.HTTPError as refused:
        return refused.code


def wait_until(test: object, within: float) -> float:
    start = time.monotonic()
    while not test():  # type: ignore[operator]
        assert time.monotonic() - start < within, "not in time"
        time.sleep(0.05)
    return time.monotonic() - start


def test_the_new_process_is_ready_only_after_the_old_one_has_handed_over(tmp_path: Path) -> None:
    worker = Worker()
    worker.start()
    entry = {"uid": "w1", "endpoint": worker.address, "az": "a", "model": "m", "state": "ready", "boot_ms": 0}
    discovery = Discovery({"rev": 1, "all": True, "targets": [entry]})
    discovery.start()
    port = free_port()
    config = {
        "name": "n1", "listen": f"127.0.0.1:{port}", "discovery": discovery.address, "seed": "1f",
        "admin": "127.0.0.1:0", "settings": SETTINGS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    }  # fmt: skip
    old = Program(config, tmp_path, [])
    new: Program | None = None
    try:
        old_door = old.address("control")
        wait_until(lambda: get_status(old_door, "/control/ready") == 200, 10)
        answer: list[int] = []
        body = b"x"
        request = urllib.request.Request(
            f"http://127.0.0.1:{port}/accession?obj=1", body, method="POST",
            headers={"Req-Id": "a1", "Req-Kind": "accession", "Req-Deadline": "9000m"},
        )  # fmt: skip
        client = threading.Thread(target=lambda: answer.append(urllib.request.urlopen(request).status))
        client.start()
        assert worker.began.wait(5)  # the job is out at the worker
        new = Program(config, tmp_path, [])
        new_door = new.address("control")
        new.wait_for("starting -> serving")
        old.wait_for("serving -> handing over")
        new.wait_for("adopted the previous process's estimates: workers=1")
        assert get_status(new_door, "/control/ready") == 503  # the old one holds the accession
        assert get_status(old_door, "/control/ready") == 503
        taken = wait_until(lambda: get_status(new_door, "/control/ready") == 200, 6)
        client.join(5)
        assert answer == [200]
        new.wait_for("successor took over: handed_over=yes")
        assert taken < 4.0
        old.process.send_signal(signal.SIGTERM)
        assert old.process.wait(5) == 0
        assert get_status(("127.0.0.1", port), "/up") == 200  # the address is the new one's alone
    finally:
        old.end()
        if new is not None:
            new.end()
        worker.listener.close()
        discovery.listener.close()

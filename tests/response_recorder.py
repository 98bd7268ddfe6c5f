"""Drives a started program over its sockets alone and keeps, byte for byte, what it answers and stores.

The fixtures were made with it from the program as found (`fixtures/make_fixtures.py`), and the tests compare
what the program in the tree does in the same scenes. So it knows no name inside the program: only the wire,
the configuration, the operator's file and the files in `$TMPDIR`.
"""

from __future__ import annotations

import contextlib
import json
import os
import re
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Any

SETTINGS: dict[str, Any] = json.loads((Path(__file__).parent / "settings.json").read_text())
TIMEOUT_S = 10.0
POLL_S = 0.02
# In `$TMPDIR` for a moment: by what Python's `tempfile` tries the folder, and a file before it gets its name.
TRANSIENT_NAME = re.compile(r"[a-z0-9_]{8}|oxbowyard-.+\.\d+")
# A loopback address of this process's own: what another process binds or connects from is at another one.
HOST = f"127.{100 + (os.getpid() >> 16) % 100}.{(os.getpid() >> 8) & 255}.{os.getpid() & 255}"
HTTP_PORT, ADMIN_PORT, MEMBERSHIP_PORT = 18443, 18090, 17946

Address = tuple[str, int]


def until(condition: Callable[[], bool], what: str) -> None:
    """Wait until a condition holds."""
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, f"not within {TIMEOUT_S} s: {what}"
        time.sleep(POLL_S)


def call(address: Address, method: str, path: str, body: bytes = b"", headers: str = "") -> str:
    """One request on a connection of its own; the whole answer, but the date and the library's version."""
    head = f"{method} {path} HTTP/1.1\r\nHost: api\r\nConnection: close\r\n{headers}"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    answer = b""
    with socket.create_connection(address, TIMEOUT_S) as connection:
        connection.sendall(head.encode() + b"\r\n" + body)
        while piece := connection.recv(1 << 16):
            answer += piece
    return re.sub(r"(?m)^(Date|Server): .*\r$", "\\1: *\r", answer.decode("latin-1"))


class _Server(socketserver.ThreadingTCPServer):
    """Answers each connection on a thread of its own."""

    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, handler: type[socketserver.BaseRequestHandler]) -> None:
        super().__init__((HOST, 0), handler)
        threading.Thread(target=self.serve_forever, args=(POLL_S,), daemon=True).start()

    @property
    def endpoint(self) -> str:
        return "{}:{}".format(*self.server_address[:2])

    def stop(self) -> None:
        self.shutdown()
        self.server_close()


def _read_head(request: socketserver.StreamRequestHandler) -> list[str]:
    """The lines of a request's head; nothing at the connection's end."""
    lines: list[str] = []
    while (line := request.rfile.readline().decode().rstrip("\r\n")) or not lines:
        if not line:
            return []
        lines.append(line)
    return lines


class Discovery(_Server):
    """Tells one list of one worker, once it is told to; a watch waits for ever."""

    def __init__(self, worker: str) -> None:
        self.told = threading.Event()
        row = {"uid": "w1", "endpoint": worker, "az": "a", "model": "m", "state": "ready", "boot_ms": 0}
        self.body = json.dumps({"rev": 1, "all": True, "targets": [row]}).encode()
        super().__init__(_DiscoveryHandler)


class _DiscoveryHandler(socketserver.StreamRequestHandler):
    def handle(self) -> None:
        assert isinstance(self.server, Discovery)
        while head := _read_head(self):
            self.server.told.wait()
            if "after=" in head[0]:
                time.sleep(60.0)
            body = self.server.body
            self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


class Worker(_Server):
    """Serves every class but accession, whose requests end with a broken connection."""

    def __init__(self) -> None:
        super().__init__(_WorkerHandler)


class _WorkerHandler(socketserver.StreamRequestHandler):
    def handle(self) -> None:
        while head := _read_head(self):
            headers = dict(line.split(": ", 1) for line in head[1:])
            self.rfile.read(int(headers.get("Content-Length", 0)))
            if headers["Req-Kind"] == "accession":
                return
            line = json.dumps({"id": headers["Req-Id"], "state": "done", "result": "made"}) + "\n"
            self.wfile.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.wfile.write(f"{len(line):x}\r\n{line}\r\n0\r\n\r\n".encode())


class Scheduler:
    """One started program in a folder of its own; `root` is the release's folder."""

    def __init__(
        self, root: Path, folder: Path, operator: str = "", name: str = "n1", number: int = 0
    ) -> None:
        self.folder = folder
        self.http: Address = (HOST, HTTP_PORT + number)
        self.admin: Address = (HOST, ADMIN_PORT + number)
        self.worker = Worker()
        self.discovery = Discovery(self.worker.endpoint)
        config = {
            "name": name, "listen": "{}:{}".format(*self.http), "admin": "{}:{}".format(*self.admin),
            "discovery": self.discovery.endpoint, "seed": "1f", "settings": SETTINGS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        }  # fmt: skip
        options = []
        if operator:
            (folder / "operator.toml").write_text(operator)
            options = ["--operator", str(folder / "operator.toml")]
        (folder / "config.json").write_text(json.dumps(config))
        temporary = folder / "tmp"
        temporary.mkdir()
        env = {**os.environ, "LB_CONFIG": str(folder / "config.json"), "TMPDIR": str(temporary)}
        self._root, self._env = root, env
        self._log = (folder / "log.txt").open("w")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "oxbowyard", *options], cwd=root, env=env, stderr=self._log
        )

    def start_second(self) -> tuple[subprocess.Popen[bytes], Address]:
        """A second process beside this one, as at a replacement, and the address of its admin API."""
        config = json.loads((self.folder / "config.json").read_text())
        admin = (self.admin[0], self.admin[1] + 100)
        config["admin"] = "{}:{}".format(*admin)
        (self.folder / "second.json").write_text(json.dumps(config))
        env = {**self._env, "LB_CONFIG": str(self.folder / "second.json")}
        command = [sys.executable, "-m", "oxbowyard"]
        return subprocess.Popen(command, cwd=self._root, env=env, stderr=self._log), admin

    def __enter__(self) -> Scheduler:
        until(self._answers, f"it listens; {(self.folder / 'log.txt').read_text()}")
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait(TIMEOUT_S)
        self._log.close()
        self.discovery.told.set()
        self.discovery.stop()
        self.worker.stop()

    def _answers(self) -> bool:
        try:
            self.ask_admin("GET", "/control/ready")
            return True
        except OSError:
            return False

    def ask_admin(self, method: str, path: str, body: bytes = b"") -> str:
        """What the admin API answers."""
        return call(self.admin, method, path, body)

    def ask(self, method: str, path: str, body: bytes = b"", headers: str = "") -> str:
        """What the clients' front answers."""
        return call(self.http, method, path, body, headers)

    def tell_list(self) -> None:
        """Let discovery name the worker, and wait until the program serves."""
        self.discovery.told.set()
        until(lambda: " 200 " in self.ask_admin("GET", "/control/ready"), "it is ready")

    def post(self, job_class: str, id_: str, deadline: str = "9000m") -> str:
        """Hand one job in and wait for its answer."""
        headers = f"Req-Id: {id_}\r\nReq-Kind: {job_class}\r\nReq-Deadline: {deadline}\r\n"
        return self.ask("POST", f"/{job_class}?obj=7f3a9c21e0b4d655", b"sheet", headers)

    def files(self) -> dict[str, bytes]:
        """The files in `$TMPDIR`, but for those that are being written or are removed meanwhile."""
        files: dict[str, bytes] = {}
        for path in sorted((self.folder / "tmp").iterdir()):
            if not TRANSIENT_NAME.fullmatch(path.name):
                with contextlib.suppress(FileNotFoundError):
                    files[path.name] = path.read_bytes()
        return files

    def stop(self) -> int:
        """SIGTERM; the exit code."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(TIMEOUT_S)


def admin_answers(root: Path, folder: Path) -> dict[str, str]:
    """The calls of the admin API but the members', the answers that its figures count, and files."""
    told: dict[str, str] = {}
    with Scheduler(root, folder) as scheduler:

        def ask(method: str, path: str, note: str = "", body: bytes = b"") -> None:
            told[f"{method} {path}{note}"] = scheduler.ask_admin(method, path, body)

        ask("GET", "/control/ready", " before a list")
        ask("GET", "/control/counters", " before a list")
        scheduler.tell_list()
        ask("GET", "/control/ready")
        told["a job served"] = scheduler.post("preview", "p1")
        told["a job failed"] = scheduler.post("accession", "a1")
        ask("PUT", "/control/scan-workers/w1/offline")
        # Refused by the decisions or, some ms later, by the core in other words: the status is the same.
        told["a job refused"] = scheduler.post("preview", "p2", "930m").partition("\r\n")[0]
        ask("GET", "/control/counters", " with w1 out")
        files = scheduler.files()
        told["files"] = " ".join(files)
        told["file out by hand"] = files["oxbowyard-n1-out-by-hand.json"].decode()
        told["file serving"] = str(files["oxbowyard-n1-serving"] == str(scheduler.process.pid).encode())
        ask("PUT", "/control/scan-workers/w1/online")
        told["file out by hand, empty"] = scheduler.files()["oxbowyard-n1-out-by-hand.json"].decode()
        ask("GET", "/control/counters", " with w1 back")
        ask("HEAD", "/control/ready")
        ask("PUT", "/control/scan-workers/w9/offline")
        ask("GET", "/control/scan-workers/w1/offline")
        ask("PUT", "/control/scan-workers/w1/away")
        ask("PUT", "/control/ready")
        ask("GET", "/control/members")
        ask("GET", "/control/nothing")
        ask("GET", "/control/ready", " with a body", b"x" * 5000)
        told["exit code after SIGTERM"] = str(scheduler.stop())
    return told


def members_answers(root: Path, folder: Path) -> dict[str, str]:
    """The members' call at one of two schedulers; what differs from run to run is masked."""
    with ExitStack() as stack:
        schedulers = []
        for number, name in enumerate(("n1", "n2")):
            own = folder / name
            own.mkdir()
            ports = [f"{HOST}:{MEMBERSHIP_PORT + n}" for n in range(2)]
            operator = f'[membership]\nlisten = "{ports[number]}"\nseeds = {json.dumps(ports)}\n'
            schedulers.append(stack.enter_context(Scheduler(root, own, operator, name, number)))
        for scheduler in schedulers:
            scheduler.tell_list()
        first = schedulers[0]
        until(
            lambda: first.ask_admin("GET", "/control/members").count('"does":"serving"') == 2,
            "both are known to serve",
        )
        told = first.ask_admin("GET", "/control/members")
    for pattern, mask in (
        (r'"since_s":[\d.]+', '"since_s":0'), (r'"incarnation":\d+', '"incarnation":0'),
        (re.escape(HOST) + r":\d+", "HOST:PORT"), (r"Content-Length: \d+", "Content-Length: 0"),
        (r'"dropped":\{[^}]*\}', '"dropped":{}'), (r'"health":\d+', '"health":0'),
    ):  # fmt: skip
        told = re.sub(pattern, mask, told)
    return {"GET /control/members": told}


def shape(value: object) -> object:
    """The keys of a document, without its values."""
    if isinstance(value, dict):
        return {name: shape(item) for name, item in value.items()}
    return [shape(item) for item in value[:1]] if isinstance(value, list) else ""


def replacement_files(root: Path, folder: Path) -> dict[str, str]:
    """The files by which two processes of one scheduler find each other, and the form of the estimates."""
    names: set[str] = set()
    told: dict[str, str] = {}
    with Scheduler(root, folder) as old:
        old.tell_list()
        for number in range(10):
            old.post("preview", f"p{number}")
        new, admin = old.start_second()
        try:

            def has_file(name: str) -> bool:
                names.update(old.files())
                return f"oxbowyard-n1-{name}" in names

            until(lambda: has_file("successor"), "the second process says that it waits")
            os.kill(new.pid, signal.SIGSTOP)  # or it may take over, and remove the file, between two looks
            until(lambda: has_file("handed"), "the first one says that it has handed over")
            os.kill(new.pid, signal.SIGCONT)

            def taken_over() -> bool:
                names.update(old.files())
                try:
                    return " 200 " in call(admin, "GET", "/control/ready")
                except OSError:
                    return False

            until(taken_over, "the second process is ready")
            files = old.files()
            told["names"] = " ".join(sorted(names | files.keys()))
            told["serving"] = str(files["oxbowyard-n1-serving"] == str(new.pid).encode())
            told["old"] = old.ask_admin("GET", "/control/ready")
            header, _, body = files["oxbowyard-n1-learned"].partition(b"\n")
            told["learned"] = json.dumps([shape(json.loads(header)), shape(json.loads(body))])
            told["exit code of the old one"] = str(old.stop())
        finally:
            new.kill()
            new.wait(TIMEOUT_S)
    return told


JOB = {
    "class": "label-check", "id": "j1", "path": "/label-check?obj=7f", "payload": "sheet", "extra": "pages=3",
    "tenant": "archive", "priority": "high", "after": ["timed", {"id": "doubt", "when": "ended"}],
    "delay_s": 5.0, "not_before": 1.5, "quiet": True, "patience_s": 100.0, "deadline_s": 4.0,
}  # fmt: skip


def waiting_answers(root: Path, folder: Path, store: Path, ids: list[str]) -> dict[str, str]:
    """The waiting API over a store with a job in each state, read back; then hand-ins, ends and faults."""
    shutil.copy(store, folder / "jobs.db")
    operator = f'[waiting]\n[durable]\npath = "{folder / "jobs.db"}"\nresolve_over_http = true\n'
    told: dict[str, str] = {}
    with Scheduler(root, folder, operator) as scheduler:

        def ask(method: str, path: str, document: object = None, headers: str = "") -> str:
            body = b"" if document is None else json.dumps(document).encode()
            label = f"{method} {path}" + (f" {headers.strip()}" if headers else "")
            told[label if document is None else f"{label} {body.decode()}"] = answer = scheduler.ask(
                method, path, body, headers
            )
            return answer

        scheduler.tell_list()
        for id_ in ("ready", "quiet", "again", "asked"):  # these run: nothing holds them
            path = f"/jobs/{id_}"
            until(lambda path=path: '"end":"served"' in scheduler.ask("GET", path), path)  # type: ignore[misc]
        for id_ in ids:
            ask("GET", f"/jobs/{id_}")
            ask("GET", f"/jobs/{id_}/result")
        ask("GET", "/jobs")
        ask("GET", "/jobs?state=doubt&class=accession&limit=2")
        ask("GET", "/jobs?colour=red")
        ask("POST", "/jobs", JOB)
        ask("POST", "/jobs", JOB, "Idempotency-Key: k1\r\n")
        ask("POST", "/jobs", JOB | {"not_before": 4e9})
        ask("POST", "/jobs", JOB | {"id": "j4", "after": []}, "Idempotency-Key: k1\r\n")
        ask("POST", "/jobs", JOB | {"id": "j5", "after": []}, "Idempotency-Key: k1\r\n")
        ask("POST", "/jobs", {"jobs": [{"class": "accession", "id": "j2", "payload_base64": "c2hlZXQ=",
                                        "obj": "7f", "delay_s": 1000}]})  # fmt: skip
        ask("POST", "/jobs", {"class": "nothing"})
        ask("POST", "/jobs", {"class": "preview", "colour": "red"})
        ask("POST", "/jobs", {"class": "preview", "id": "j3", "after": ["nobody"]})
        ask("POST", "/jobs/doubt/end", {"lease": "guessed", "state": "done"})
        ask("POST", "/jobs/granted/end", {"lease": "lease-granted", "state": "done", "result": "filed"})
        ask("POST", "/jobs/started/end", {"lease": "lease-started", "state": "failed"})
        ask("POST", "/jobs/doubt/resolve", {"by": "Aiko", "end": "served", "reason": "seen", "result": "yes"})
        ask("GET", "/jobs/doubt/result")
        ask("DELETE", "/jobs/timed")
        ask("GET", "/jobs/j1")
        ask("DELETE", "/jobs/nobody")
        ask("PUT", "/jobs")
        told["exit code after SIGTERM"] = str(scheduler.stop())
    return told

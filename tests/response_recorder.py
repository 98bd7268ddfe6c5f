"""Run fixed scenarios against a started scheduler process and record, byte for byte, its answers and files.

The fixtures were recorded by this module from an earlier program (`fixtures/make_fixtures.py`), and the tests
compare the current program with them. Therefore it uses no name of the program's code: only the wire, the
configuration, the operator's file and the files in `$TMPDIR`.
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
# Transient files in `$TMPDIR`: those by which Python's `tempfile` probes the folder, and files that are still
# written and not yet renamed to their final name.
TRANSIENT_NAME = re.compile(r"[a-z0-9_]{8}|oxbowyard-.+\.\d+")
# A loopback address derived from the process id: a port that another process binds or connects from is at
# another address and cannot collide.
OWN_HOST = f"127.{100 + (os.getpid() >> 16) % 100}.{(os.getpid() >> 8) & 255}.{os.getpid() & 255}"
HTTP_PORT, ADMIN_PORT, MEMBERSHIP_PORT = 18443, 18090, 17946

Address = tuple[str, int]


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Wait until a condition holds; fail after TIMEOUT_S."""
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, f"not within {TIMEOUT_S} s: {description}"
        time.sleep(POLL_S)


def http_call(address: Address, method: str, path: str, body: bytes = b"", headers: str = "") -> str:
    """Send a request on a new connection; return the complete answer, Date and Server headers masked."""
    head = f"{method} {path} HTTP/1.1\r\nHost: api\r\nConnection: close\r\n{headers}"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    answer = b""
    with socket.create_connection(address, TIMEOUT_S) as connection:
        connection.sendall(head.encode() + b"\r\n" + body)
        while data := connection.recv(1 << 16):
            answer += data
    return re.sub(r"(?m)^(Date|Server): .*\r$", "\\1: *\r", answer.decode("latin-1"))


class _ThreadedServer(socketserver.ThreadingTCPServer):
    """Answers each connection on a thread of its own."""

    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, handler: type[socketserver.BaseRequestHandler]) -> None:
        super().__init__((OWN_HOST, 0), handler)
        threading.Thread(target=self.serve_forever, args=(POLL_S,), daemon=True).start()

    @property
    def endpoint(self) -> str:
        return "{}:{}".format(*self.server_address[:2])

    def stop(self) -> None:
        self.shutdown()
        self.server_close()


def _read_head(request: socketserver.StreamRequestHandler) -> list[str]:
    """Return the lines of a request's head, or none at the end of the connection."""
    lines: list[str] = []
    while (line := request.rfile.readline().decode().rstrip("\r\n")) or not lines:
        if not line:
            return []
        lines.append(line)
    return lines


class Discovery(_ThreadedServer):
    """Answers with a list of one worker once `list_released` is set; a watch gets no answer for 60 s."""

    def __init__(self, worker: str) -> None:
        self.list_released = threading.Event()
        row = {"uid": "w1", "endpoint": worker, "az": "a", "model": "m", "state": "ready", "boot_ms": 0}
        self.body = json.dumps({"rev": 1, "all": True, "targets": [row]}).encode()
        super().__init__(_DiscoveryHandler)


class _DiscoveryHandler(socketserver.StreamRequestHandler):
    def handle(self) -> None:
        assert isinstance(self.server, Discovery)
        while head := _read_head(self):
            self.server.list_released.wait()
            if "after=" in head[0]:
                time.sleep(60.0)
            body = self.server.body
            self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


class Worker(_ThreadedServer):
    """Serves requests of every class but accession, for which it closes the connection unanswered."""

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
    """A scheduler process with a folder of its own; `root` is the folder of the program's release."""

    def __init__(
        self, root: Path, folder: Path, operator: str = "", name: str = "n1", number: int = 0
    ) -> None:
        self.folder = folder
        self.http: Address = (OWN_HOST, HTTP_PORT + number)
        self.admin: Address = (OWN_HOST, ADMIN_PORT + number)
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
        """Start a replacement process beside this one; return it and the address of its admin API."""
        config = json.loads((self.folder / "config.json").read_text())
        admin = (self.admin[0], self.admin[1] + 100)
        config["admin"] = "{}:{}".format(*admin)
        (self.folder / "second.json").write_text(json.dumps(config))
        env = {**self._env, "LB_CONFIG": str(self.folder / "second.json")}
        command = [sys.executable, "-m", "oxbowyard"]
        return subprocess.Popen(command, cwd=self._root, env=env, stderr=self._log), admin

    def __enter__(self) -> Scheduler:
        wait_until(self._is_listening, f"the admin API listens; log: {(self.folder / 'log.txt').read_text()}")
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait(TIMEOUT_S)
        self._log.close()
        self.discovery.list_released.set()
        self.discovery.stop()
        self.worker.stop()

    def _is_listening(self) -> bool:
        try:
            self.call_admin("GET", "/control/ready")
            return True
        except OSError:
            return False

    def call_admin(self, method: str, path: str, body: bytes = b"") -> str:
        """Return the answer of the admin API."""
        return http_call(self.admin, method, path, body)

    def call_http(self, method: str, path: str, body: bytes = b"", headers: str = "") -> str:
        """Return the answer of the HTTP front."""
        return http_call(self.http, method, path, body, headers)

    def release_list(self) -> None:
        """Let discovery send its list, and wait until the program is ready."""
        self.discovery.list_released.set()
        wait_until(lambda: " 200 " in self.call_admin("GET", "/control/ready"), "the scheduler is ready")

    def submit_job(self, job_class: str, id_: str, deadline: str = "9000m") -> str:
        """Submit one job and return its answer."""
        headers = f"Req-Id: {id_}\r\nReq-Kind: {job_class}\r\nReq-Deadline: {deadline}\r\n"
        return self.call_http("POST", f"/{job_class}?obj=7f3a9c21e0b4d655", b"sheet", headers)

    def temporary_files(self) -> dict[str, bytes]:
        """Return the files in `$TMPDIR` except transient ones and those removed while they are read."""
        files: dict[str, bytes] = {}
        for path in sorted((self.folder / "tmp").iterdir()):
            if not TRANSIENT_NAME.fullmatch(path.name):
                with contextlib.suppress(FileNotFoundError):
                    files[path.name] = path.read_bytes()
        return files

    def stop(self) -> int:
        """Send SIGTERM, wait for the exit and return the exit code."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(TIMEOUT_S)


def admin_answers(root: Path, folder: Path) -> dict[str, str]:
    """Record the calls of the admin API except the members call, the job answers it counts, and the files."""
    answers: dict[str, str] = {}
    with Scheduler(root, folder) as scheduler:

        def record(method: str, path: str, note: str = "", body: bytes = b"") -> None:
            answers[f"{method} {path}{note}"] = scheduler.call_admin(method, path, body)

        record("GET", "/control/ready", " before a list")
        record("GET", "/control/counters", " before a list")
        scheduler.release_list()
        record("GET", "/control/ready")
        answers["a job served"] = scheduler.submit_job("preview", "p1")
        answers["a job failed"] = scheduler.submit_job("accession", "a1")
        record("PUT", "/control/scan-workers/w1/offline")
        # Rejected by the decisions or, a few milliseconds later, by the core with another text:
        # only the status is the same.
        answers["a job refused"] = scheduler.submit_job("preview", "p2", "930m").partition("\r\n")[0]
        record("GET", "/control/counters", " with w1 out")
        files = scheduler.temporary_files()
        answers["files"] = " ".join(files)
        answers["file out by hand"] = files["oxbowyard-n1-out-by-hand.json"].decode()
        answers["file serving"] = str(files["oxbowyard-n1-serving"] == str(scheduler.process.pid).encode())
        record("PUT", "/control/scan-workers/w1/online")
        answers["file out by hand, empty"] = scheduler.temporary_files()[
            "oxbowyard-n1-out-by-hand.json"
        ].decode()
        record("GET", "/control/counters", " with w1 back")
        record("HEAD", "/control/ready")
        record("PUT", "/control/scan-workers/w9/offline")
        record("GET", "/control/scan-workers/w1/offline")
        record("PUT", "/control/scan-workers/w1/away")
        record("PUT", "/control/ready")
        record("GET", "/control/members")
        record("GET", "/control/nothing")
        record("GET", "/control/ready", " with a body", b"x" * 5000)
        answers["exit code after SIGTERM"] = str(scheduler.stop())
    return answers


def members_answers(root: Path, folder: Path) -> dict[str, str]:
    """Record the members call at one of two schedulers, with the values masked that differ between runs."""
    with ExitStack() as stack:
        schedulers = []
        for number, name in enumerate(("n1", "n2")):
            own = folder / name
            own.mkdir()
            ports = [f"{OWN_HOST}:{MEMBERSHIP_PORT + n}" for n in range(2)]
            operator = f'[membership]\nlisten = "{ports[number]}"\nseeds = {json.dumps(ports)}\n'
            schedulers.append(stack.enter_context(Scheduler(root, own, operator, name, number)))
        for scheduler in schedulers:
            scheduler.release_list()
        first = schedulers[0]
        wait_until(
            lambda: first.call_admin("GET", "/control/members").count('"does":"serving"') == 2,
            "both members are listed as serving",
        )
        answer = first.call_admin("GET", "/control/members")
    for pattern, mask in (
        (r'"since_s":[\d.]+', '"since_s":0'), (r'"incarnation":\d+', '"incarnation":0'),
        (re.escape(OWN_HOST) + r":\d+", "HOST:PORT"), (r"Content-Length: \d+", "Content-Length: 0"),
        (r'"dropped":\{[^}]*\}', '"dropped":{}'), (r'"health":\d+', '"health":0'),
    ):  # fmt: skip
        answer = re.sub(pattern, mask, answer)
    return {"GET /control/members": answer}


def without_values(value: object) -> object:
    """Return a document with its keys, and its values left empty."""
    if isinstance(value, dict):
        return {name: without_values(item) for name, item in value.items()}
    return [without_values(item) for item in value[:1]] if isinstance(value, list) else ""


def replacement_files(root: Path, folder: Path) -> dict[str, str]:
    """Record the files by which two processes hand over, and the keys of the estimates file."""
    names: set[str] = set()
    answers: dict[str, str] = {}
    with Scheduler(root, folder) as old:
        old.release_list()
        for number in range(10):
            old.submit_job("preview", f"p{number}")
        new, admin = old.start_second()
        try:

            def has_file(name: str) -> bool:
                names.update(old.temporary_files())
                return f"oxbowyard-n1-{name}" in names

            wait_until(lambda: has_file("successor"), "the second process writes its successor file")
            os.kill(new.pid, signal.SIGSTOP)  # it could take over, and remove the file, between two polls
            wait_until(lambda: has_file("handed"), "the first process writes its handed file")
            os.kill(new.pid, signal.SIGCONT)

            def taken_over() -> bool:
                names.update(old.temporary_files())
                try:
                    return " 200 " in http_call(admin, "GET", "/control/ready")
                except OSError:
                    return False

            wait_until(taken_over, "the second process is ready")
            files = old.temporary_files()
            answers["names"] = " ".join(sorted(names | files.keys()))
            answers["serving"] = str(files["oxbowyard-n1-serving"] == str(new.pid).encode())
            answers["old"] = old.call_admin("GET", "/control/ready")
            header, _, body = files["oxbowyard-n1-learned"].partition(b"\n")
            answers["learned"] = json.dumps(
                [without_values(json.loads(header)), without_values(json.loads(body))]
            )
            answers["exit code of the old one"] = str(old.stop())
        finally:
            new.kill()
            new.wait(TIMEOUT_S)
    return answers


JOB = {
    "class": "label-check", "id": "j1", "path": "/label-check?obj=7f", "payload": "sheet", "extra": "pages=3",
    "tenant": "archive", "priority": "high", "after": ["timed", {"id": "doubt", "when": "ended"}],
    "delay_s": 5.0, "not_before": 1.5, "quiet": True, "patience_s": 100.0, "deadline_s": 4.0,
}  # fmt: skip


def waiting_answers(root: Path, folder: Path, store: Path, ids: list[str]) -> dict[str, str]:
    """Record the deferred jobs API over a store with jobs in each state: reads, submissions, ends, faults."""
    shutil.copy(store, folder / "jobs.db")
    operator = f'[waiting]\n[durable]\npath = "{folder / "jobs.db"}"\nresolve_over_http = true\n'
    answers: dict[str, str] = {}
    with Scheduler(root, folder, operator) as scheduler:

        def record(method: str, path: str, document: object = None, headers: str = "") -> str:
            body = b"" if document is None else json.dumps(document).encode()
            label = f"{method} {path}" + (f" {headers.strip()}" if headers else "")
            answers[label if document is None else f"{label} {body.decode()}"] = answer = scheduler.call_http(
                method, path, body, headers
            )
            return answer

        scheduler.release_list()
        for id_ in ("ready", "quiet", "again", "asked"):  # nothing blocks these jobs, so they run
            path = f"/jobs/{id_}"
            wait_until(lambda path=path: '"end":"served"' in scheduler.call_http("GET", path), path)  # type: ignore[misc]
        for id_ in ids:
            record("GET", f"/jobs/{id_}")
            record("GET", f"/jobs/{id_}/result")
        record("GET", "/jobs")
        record("GET", "/jobs?state=doubt&class=accession&limit=2")
        record("GET", "/jobs?colour=red")
        record("POST", "/jobs", JOB)
        record("POST", "/jobs", JOB, "Idempotency-Key: k1\r\n")
        record("POST", "/jobs", JOB | {"not_before": 4e9})
        record("POST", "/jobs", JOB | {"id": "j4", "after": []}, "Idempotency-Key: k1\r\n")
        record("POST", "/jobs", JOB | {"id": "j5", "after": []}, "Idempotency-Key: k1\r\n")
        record("POST", "/jobs", {"jobs": [{"class": "accession", "id": "j2", "payload_base64": "c2hlZXQ=",
                                        "obj": "7f", "delay_s": 1000}]})  # fmt: skip
        record("POST", "/jobs", {"class": "nothing"})
        record("POST", "/jobs", {"class": "preview", "colour": "red"})
        record("POST", "/jobs", {"class": "preview", "id": "j3", "after": ["nobody"]})
        record("POST", "/jobs/doubt/end", {"lease": "guessed", "state": "done"})
        record("POST", "/jobs/granted/end", {"lease": "lease-granted", "state": "done", "result": "filed"})
        record("POST", "/jobs/started/end", {"lease": "lease-started", "state": "failed"})
        record(
            "POST", "/jobs/doubt/resolve", {"by": "Aiko", "end": "served", "reason": "seen", "result": "yes"}
        )
        record("GET", "/jobs/doubt/result")
        record("DELETE", "/jobs/timed")
        record("GET", "/jobs/j1")
        record("DELETE", "/jobs/nobody")
        record("PUT", "/jobs")
        answers["exit code after SIGTERM"] = str(scheduler.stop())
    return answers

"""End-to-end tests of the examples: toy server, daemon, and the application with the middleware."""

from __future__ import annotations

import http.client
import json
import os
import re
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from exchange_player import ROOT, SchedulerProcess


@contextmanager
def run_program(pattern: str, *command: str, **env: str) -> Iterator[tuple[str, int]]:
    """Start a program, and yield the address that it prints."""
    process = subprocess.Popen(
        [sys.executable, *command], cwd=ROOT, env={**os.environ, "PYTHONPATH": str(ROOT), **env},
        stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    try:
        assert process.stdout
        found = next((m for line in process.stdout if (m := re.search(pattern, line))), None)
        assert found, "the program ended before it printed its address"
        yield found[1], int(found[2])
    finally:
        process.terminate()
        process.wait(10)
        if process.stdout:
            process.stdout.close()


def send_request(address: tuple[str, int], method: str, path: str, **headers: str) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection(*address, timeout=10)
    try:
        connection.request(method, path, b"12345", {k.replace("_", "-"): v for k, v in headers.items()})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def make_config(folder: Path, discovery: tuple[str, int]) -> dict[str, object]:
    document: dict[str, object] = json.loads((ROOT / "examples/config.json").read_text())
    return document | {"listen": "127.0.0.1:0", "discovery": f"{discovery[0]}:{discovery[1]}"}


def job_headers(id_: str) -> dict[str, str]:
    return {"Req_Id": id_, "Req_Kind": "preview", "Req_Deadline": "5000m"}


def test_example_daemon_serves_a_job(tmp_path: Path) -> None:
    with run_program(r"on ([\d.]+):(\d+)", "examples/toy_server.py", "--port", "0") as toy_server:
        program = SchedulerProcess(make_config(tmp_path, toy_server), tmp_path, [])
        try:
            program.wait_for("-> serving")
            address = program.address("http")
            assert send_request(address, "POST", "/preview?obj=1", **job_headers("e1")) == (
                200,
                b"5 bytes processed",
            )
        finally:
            program.end()


def test_example_application_serves_jobs_and_its_own_routes(tmp_path: Path) -> None:
    with run_program(r"on ([\d.]+):(\d+)", "examples/toy_server.py", "--port", "0") as toy_server:
        (tmp_path / "config.json").write_text(json.dumps(make_config(tmp_path, toy_server)))
        env = {"LB_CONFIG": str(tmp_path / "config.json"), "PYTHONUNBUFFERED": "1"}
        with run_program(r"http://([\d.]+):(\d+)", "examples/app.py", "--port", "0", **env) as app:
            assert send_request(app, "GET", "/") == (200, b"an application of its own\n")
            assert send_request(app, "POST", "/preview?obj=1", **job_headers("m1")) == (
                200,
                b"5 bytes processed",
            )
            status, text = send_request(app, "POST", "/preview", Req_Kind="preview", Req_Deadline="5000m")
            assert (status, text) == (400, b"Req-Id is missing or malformed\n")
            assert send_request(app, "GET", "/preview", **job_headers("m2"))[0] == 405
            assert send_request(app, "GET", "/elsewhere")[0] == 404

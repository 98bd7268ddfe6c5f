"""The example folder as a newcomer uses it: toy server, daemon, and the application with the middleware."""

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
def running(pattern: str, *command: str, **env: str) -> Iterator[tuple[str, int]]:
    """A program, once it has said where it listens."""
    process = subprocess.Popen(
        [sys.executable, *command], cwd=ROOT, env={**os.environ, "PYTHONPATH": str(ROOT), **env},
        stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    try:
        assert process.stdout
        found = next((m for line in process.stdout if (m := re.search(pattern, line))), None)
        assert found, "it ended without a word"
        yield found[1], int(found[2])
    finally:
        process.terminate()
        process.wait(10)
        if process.stdout:
            process.stdout.close()


def ask(address: tuple[str, int], method: str, path: str, **headers: str) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection(*address, timeout=10)
    try:
        connection.request(method, path, b"12345", {k.replace("_", "-"): v for k, v in headers.items()})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def config(folder: Path, discovery: tuple[str, int]) -> dict[str, object]:
    document: dict[str, object] = json.loads((ROOT / "examples/config.json").read_text())
    return document | {"listen": "127.0.0.1:0", "discovery": f"{discovery[0]}:{discovery[1]}"}


def job(id_: str) -> dict[str, str]:
    return {"Req_Id": id_, "Req_Kind": "preview", "Req_Deadline": "5000m"}


def test_the_example_daemon(tmp_path: Path) -> None:
    with running(r"on ([\d.]+):(\d+)", "examples/toy_server.py", "--port", "0") as toy:
        program = SchedulerProcess(config(tmp_path, toy), tmp_path, [])
        try:
            program.wait_for("-> serving")
            address = program.address("http")
            assert ask(address, "POST", "/preview?obj=1", **job("e1")) == (200, b"5 bytes processed")
        finally:
            program.end()


def test_the_example_application(tmp_path: Path) -> None:
    with running(r"on ([\d.]+):(\d+)", "examples/toy_server.py", "--port", "0") as toy:
        (tmp_path / "config.json").write_text(json.dumps(config(tmp_path, toy)))
        env = {"LB_CONFIG": str(tmp_path / "config.json"), "PYTHONUNBUFFERED": "1"}
        with running(r"http://([\d.]+):(\d+)", "examples/app.py", "--port", "0", **env) as app:
            assert ask(app, "GET", "/") == (200, b"an application of its own\n")
            assert ask(app, "POST", "/preview?obj=1", **job("m1")) == (200, b"5 bytes processed")
            status, text = ask(app, "POST", "/preview", Req_Kind="preview", Req_Deadline="5000m")
            assert (status, text) == (400, b"Req-Id is missing or malformed\n")
            assert ask(app, "GET", "/preview", **job("m2"))[0] == 405
            assert ask(app, "GET", "/elsewhere")[0] == 404

"""Runs a toy worker with its discovery service and the scheduler, and sends one job through them.

python examples/one_job.py
"""

from __future__ import annotations

import http.client
import json
import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).parent
ENV = {**os.environ, "PYTHONPATH": str(HERE.parent), "PYTHONUNBUFFERED": "1"}


def start_program(ready: str, pattern: str, *command: str, **env: str) -> tuple[subprocess.Popen[str], str]:
    """Start a program, wait for its line that holds `ready`; return it and the last match of the pattern."""
    process = subprocess.Popen(
        [sys.executable, *command], env=ENV | env, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    assert process.stdout
    found = ""
    for line in process.stdout:
        print(line, end="")
        if match := re.search(pattern, line):
            found = match[1]
        if found and ready in line:
            return process, found
    raise SystemExit(f"{command} exited before it printed {ready!r}")


def main() -> None:
    """Send one job and print its result."""
    toy, worker = start_program("toy server", r"on ([\d.]+:\d+)", str(HERE / "toy_server.py"), "--port", "0")
    with tempfile.TemporaryDirectory() as folder:
        config = json.loads((HERE / "config.json").read_text())
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config | {"listen": "127.0.0.1:0", "discovery": worker}))
        scheduler, address = start_program(
            "-> serving", r"http listens on (\S+)", "-m", "oxbowyard", LB_CONFIG=str(path)
        )
        try:
            client = http.client.HTTPConnection(address, timeout=10)
            headers = {"Req-Id": "job-1", "Req-Kind": "preview", "Req-Deadline": "5000m"}
            client.request("POST", "/preview?obj=7f3a", b"a sheet", headers)
            response = client.getresponse()
            print(f"job-1: {response.status} {response.read().decode()}")
        finally:
            for process in (scheduler, toy):
                process.terminate()
                process.wait(30)


if __name__ == "__main__":
    main()

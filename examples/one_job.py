"""The whole in one command: a toy worker with its list, the scheduler, and one job served through it.

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


def started(ready: str, pattern: str, *command: str, **env: str) -> tuple[subprocess.Popen[str], str]:
    """A program once it has said that it is ready, and what it has said by the pattern until then."""
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
    raise SystemExit("it ended without a word")


def main() -> None:
    """Serve one job."""
    toy, worker = started("toy server", r"on ([\d.]+:\d+)", str(HERE / "toy_server.py"), "--port", "0")
    with tempfile.TemporaryDirectory() as folder:
        config = json.loads((HERE / "config.json").read_text())
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config | {"listen": "127.0.0.1:0", "discovery": worker}))
        scheduler, address = started(
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

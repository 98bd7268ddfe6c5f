"""Starts the daemon for a benchmark, on loopback and with its own temporary files."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
LOG_TIMEOUT_S = 15.0  # for a line of the log to appear


class DaemonProcess:
    """A running daemon."""

    def __init__(self, folder: Path, config: dict[str, Any], operator: str | None) -> None:
        path, self._log = folder / "config.json", folder / "log"
        path.write_text(json.dumps(config))
        options: list[str] = []
        if operator is not None:
            (folder / "operator.toml").write_text(operator)
            options = ["--operator", str(folder / "operator.toml")]
        with self._log.open("w") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "oxbowyard", *options], cwd=ROOT, stderr=log,
                env={**os.environ, "LB_CONFIG": str(path), "TMPDIR": str(folder)},
            )  # fmt: skip

    def wait_for(self, pattern: str) -> re.Match[str]:
        """Wait until the log matches the pattern; return the first match."""
        end = time.monotonic() + LOG_TIMEOUT_S
        while time.monotonic() < end and self.process.poll() is None:
            if found := re.search(pattern, self._log.read_text()):
                return found
            time.sleep(0.02)
        raise RuntimeError(f"no match of {pattern!r} in the daemon's log:\n{self._log.read_text()}")

    def log(self) -> str:
        """Return the daemon's log so far."""
        return self._log.read_text(errors="replace")

    def address(self, front: str) -> tuple[str, int]:
        """Return the host and port on which a front listens."""
        found = self.wait_for(rf"{front} listens on ([\d.]+):(\d+)")
        return found[1], int(found[2])

    def stop_and_read_summary(self) -> str:
        """Stop the daemon and return the summary lines that it logs at its end."""
        self.process.terminate()
        self.process.wait(60)
        return "\n".join(line for line in self._log.read_text().splitlines() if " last: " in line)


@contextmanager
def run_daemon(
    operator: str | None, discovery: str = "127.0.0.1:1", **changes: Any
) -> Iterator[DaemonProcess]:
    """Run a daemon with the example's settings for the length of the block; `changes` replace config keys."""
    config = json.loads((ROOT / "examples/config.json").read_text())
    config |= {"listen": "127.0.0.1:0", "discovery": discovery} | changes
    with tempfile.TemporaryDirectory() as folder:
        started = DaemonProcess(Path(folder), config, operator)
        try:
            yield started
        finally:
            if started.process.poll() is None:
                started.process.kill()
                started.process.wait(10)

"""Runs daemon processes and samples the resources that they use."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path

from ..daemon_process import ROOT
from .clients import Address, call
from .records import Process

START_WITHIN_S = 15.0
POLL_S = 0.02
SAMPLE_S = 0.2


class Program:
    """One daemon process, from its start to its exit, with its log."""

    def __init__(self, folder: Path, name: str, config: dict[str, object], operator: str) -> None:
        self.record = Process(asyncio.get_running_loop().time())
        self._config_path = folder / f"{name}.json"
        self._log_path = folder / f"{name}.log"
        self.write_config(json.dumps(config))
        options = []
        if operator:
            path = folder / f"{name}.toml"
            path.write_text(operator)
            options = ["--operator", str(path)]
        environment = {**os.environ, "LB_CONFIG": str(self._config_path), "TMPDIR": str(folder)}
        with self._log_path.open("w") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "oxbowyard", *options],
                cwd=ROOT, env=environment, stdout=subprocess.DEVNULL, stderr=log,
            )  # fmt: skip
        self._sampling = asyncio.ensure_future(self._sample())

    @property
    def has_exited(self) -> bool:
        """Whether the process has ended."""
        return self._process.poll() is not None

    def write_config(self, text: str) -> None:
        """Write the config file, which the next SIGHUP reads."""
        self._config_path.write_text(text)

    def log(self) -> str:
        """Return its log so far."""
        return self._log_path.read_text(errors="replace")

    async def address(self, front: str) -> Address:
        """Wait until a front listens; return its host and port."""
        async with asyncio.timeout(START_WITHIN_S):
            while not (found := re.search(rf"{front} listens on ([\d.]+):(\d+)", self.log())):
                if self.has_exited:
                    raise RuntimeError(f"the daemon exited before {front} listened:\n{self.log()}")
                await asyncio.sleep(POLL_S)
        return found[1], int(found[2])

    async def wait_ready(self, address: Address, path: str) -> None:
        """Wait until a GET of the path is answered with 200."""
        async with asyncio.timeout(START_WITHIN_S):
            while await call(address, "GET", path) != 200:
                await asyncio.sleep(POLL_S)
        self.record.ready_at = asyncio.get_running_loop().time()

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        now = asyncio.get_running_loop().time()
        if number is signal.SIGTERM and self.record.terminated_at is None:
            self.record.terminated_at = now
        if number is signal.SIGKILL:
            self.record.killed_at = now
        if not self.has_exited:
            self._process.send_signal(number)

    async def wait_exit(self, within_s: float) -> None:
        """Wait for the exit; a process that exceeds the time is killed and recorded without an exit code."""
        loop = asyncio.get_running_loop()
        until = loop.time() + within_s
        while not self.has_exited and loop.time() < until:
            await asyncio.sleep(POLL_S)
        self.record.exited_at = loop.time()
        self.record.exit_code = self._process.poll()
        self._sampling.cancel()
        if not self.has_exited:
            self._process.kill()
        self._process.wait()
        self.record.log = self.log()

    def kill(self) -> None:
        """Kill the process if it still runs, for instance after a failed run."""
        if not self.has_exited:
            self._process.kill()
        self._process.wait()

    async def _sample(self) -> None:
        """Record the peak memory and descriptors, as /proc counts them."""
        folder = Path(f"/proc/{self._process.pid}")
        while True:
            try:
                peak = re.search(r"VmHWM:\s+(\d+)", (folder / "status").read_text())
                descriptors = len(os.listdir(folder / "fd"))
            except OSError:
                return
            if peak:
                self.record.peak_memory_mb = max(self.record.peak_memory_mb, int(peak[1]) / 1024)
            self.record.peak_descriptors = max(self.record.peak_descriptors, descriptors)
            await asyncio.sleep(SAMPLE_S)

"""Measures a daemon's peak memory, and its ordinary clients' answers, beside misbehaving peers.

python -m benchmarks.hostile.measure                                every form, with 192 MB
python -m benchmarks.hostile.measure --memory-mb 96 --form "half of a body" --seconds 5
"""

from __future__ import annotations

import argparse
import asyncio
import re
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from ..daemon_process import ROOT, DaemonProcess, run_daemon
from ..soak.clients import call
from .forms import FORMS, Front, job

SOCKETS = 1024
ORDINARY_CLIENTS = 4
ORDINARY_PAUSE_S = 0.1
ORDINARY_TIMEOUT_S = 3.0
SETTLE_S = 0.3
PEERS_END_WITHIN_S = 10.0
LAG_PATTERN = re.compile(r"event loop lag: lag_ms=(\d+)")
GEARMAN = (ROOT / "deploy" / "gearman.toml").read_text()


@dataclass(slots=True)
class Measurement:
    """What was seen of the daemon beside one form."""

    form: str
    memory_mb: int
    peak_mb: float = 0.0
    rest_mb: float = 0.0
    has_exited: bool = False
    lag_ms: int = 0
    waits_s: list[float] = field(default_factory=list)  # of the ordinary clients' served jobs
    refused: int = 0
    unanswered: int = 0
    log_lines: int = 0
    log: str = ""

    @property
    def slowest_s(self) -> float:
        """The slowest answer to an ordinary client."""
        return max(self.waits_s, default=0.0)

    def __str__(self) -> str:
        total = len(self.waits_s) + self.refused + self.unanswered
        return (
            f"{self.form:38} limit {self.memory_mb} MB: rest {self.rest_mb:.0f}, peak {self.peak_mb:.0f} MB"
            f"{' EXITED' if self.has_exited else ''}, lag {self.lag_ms} ms, served {len(self.waits_s)} "
            f"of {total} (refused {self.refused}), slowest {self.slowest_s:.2f} s, log {self.log_lines}"
        )


@contextmanager
def toy_worker() -> Iterator[str]:
    """Run the example's worker and list service; yield its address."""
    command = [sys.executable, str(ROOT / "examples" / "toy_server.py"), "--port", "0"]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        assert process.stdout is not None
        yield process.stdout.readline().split()[-1]
    finally:
        process.kill()
        process.wait()


def memory_of(pid: int, key: str = "VmHWM") -> float:
    """Return a figure of a process's memory in MB, as the kernel counts it; 0 once the process has ended."""
    try:
        found = re.search(rf"{key}:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())
    except OSError:
        return 0.0
    return int(found[1]) / 1024 if found else 0.0


async def _ordinary_client(address: tuple[str, int], until: float, result: Measurement) -> None:
    while time.monotonic() < until:
        started_at = time.monotonic()
        status = await _ordinary_job(address)
        wait_s = time.monotonic() - started_at
        if status == 200:
            result.waits_s.append(wait_s)
        elif status in (429, 503):
            result.refused += 1
        else:
            result.unanswered += 1
        await asyncio.sleep(ORDINARY_PAUSE_S)


async def _ordinary_job(address: tuple[str, int]) -> int:
    """Send one job on a new connection; return the status, or 0 if no answer came in time."""
    try:
        async with asyncio.timeout(ORDINARY_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(job(b"ordinary"))
                return int((await reader.readuntil(b"\r\n")).split()[1])
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, IndexError):
        return 0


async def _beside(daemon: DaemonProcess, result: Measurement, connections: int, duration_s: float) -> None:
    address = daemon.address("http")
    while await call(address, "GET", "/up") != 200:
        await asyncio.sleep(SETTLE_S)
    await asyncio.sleep(SETTLE_S)
    result.rest_mb = memory_of(daemon.process.pid, "VmRSS")
    host, port = daemon.address(FORMS[result.form].front.value)
    command = [
        sys.executable, "-m", "benchmarks.hostile.peers", f"{host}:{port}", result.form,
        "--connections", str(connections), "--seconds", str(duration_s),
    ]  # fmt: skip
    peers = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=subprocess.DEVNULL)
    try:
        until = time.monotonic() + duration_s
        clients = [_ordinary_client(address, until, result) for _ in range(ORDINARY_CLIENTS)]
        await asyncio.gather(*clients)
        async with asyncio.timeout(PEERS_END_WITHIN_S):
            await peers.wait()
    finally:
        if peers.returncode is None:
            peers.kill()
            await peers.wait()


def measure(form: str, memory_mb: int = 192, connections: int = 900, duration_s: float = 10.0) -> Measurement:
    """Measure one form against a daemon of its own."""
    result = Measurement(form, memory_mb)
    with toy_worker() as worker:
        gearman = GEARMAN.replace("4730", "0")
        operator = None
        if FORMS[form].front is Front.GEARMAN:
            operator = f"[gearman]\n{gearman.replace('[functions.', '[gearman.functions.')}"
        limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": SOCKETS}
        with run_daemon(operator, worker, limits=limits, admin="127.0.0.1:0") as daemon:
            asyncio.run(_beside(daemon, result, connections, duration_s))
            result.peak_mb = memory_of(daemon.process.pid)
            result.has_exited = daemon.process.poll() is not None
            result.log = daemon.log()
    result.lag_ms = max((int(lag) for lag in LAG_PATTERN.findall(result.log)), default=0)
    result.log_lines = result.log.count("\n")
    return result


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--form", choices=FORMS, action="append")
    parser.add_argument("--memory-mb", type=int, default=192)
    parser.add_argument("--connections", type=int, default=900)
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    for form in arguments.form or FORMS:
        result = measure(form, arguments.memory_mb, arguments.connections, arguments.seconds)
        print(result, flush=True)


if __name__ == "__main__":
    _main()

"""Submits 200 jobs at once with the `gear` client library to four workers: the use case of Gearman queueing.

    pip install -r benchmarks/requirements-gear.txt
    python -m benchmarks.gearman_queue [--runs 20] [--plain]

With `--plain` jobs are not deferred. The workers answer at once, as the example workers of gear do.
"""

from __future__ import annotations

import argparse
import statistics
import threading
import time
from collections import Counter

import gear  # type: ignore[import-not-found,import-untyped,unused-ignore]  # not installed in CI

from .daemon_process import ROOT, DaemonProcess, run_daemon

JOBS, WORKERS = 200, 4
RUN_TIMEOUT_S = 120.0
FUNCTION = "render_preview"


class Client(gear.Client):  # type: ignore[misc,unused-ignore]
    """A client that counts how its jobs end."""

    def __init__(self) -> None:
        super().__init__()
        self.ends: Counter[str] = Counter()
        self.ends_by_handle: Counter[bytes] = Counter()
        self.done = threading.Event()

    def _record_end(self, packet: gear.Packet, outcome: str) -> gear.Job:
        job = packet.getJob()
        self.ends_by_handle[job.handle] += 1
        self.ends[outcome] += 1
        if sum(self.ends.values()) >= JOBS:
            self.done.set()
        return job

    def handleWorkComplete(self, packet: gear.Packet) -> gear.Job:  # noqa: N802
        """Count a served job."""
        self._record_end(packet, "served")
        return super().handleWorkComplete(packet)

    def handleWorkFail(self, packet: gear.Packet) -> gear.Job:  # noqa: N802
        """Count a failed job."""
        self._record_end(packet, "failed")
        return super().handleWorkFail(packet)


def work(worker: gear.Worker) -> None:
    """Answer each job at once, until the worker is shut down."""
    while True:
        try:
            worker.getJob().sendWorkComplete(b"made")
        except (gear.InterruptedError, gear.GearmanError, OSError):
            return


def run(process: DaemonProcess) -> tuple[Counter[str], float]:
    """Run once; return how the jobs ended, and the seconds that they took."""
    host, port = process.address("gearman")
    workers = []
    for i in range(WORKERS):
        worker = gear.Worker(f"w{i}")
        worker.addServer(host, port)
        worker.waitForServer()
        worker.registerFunction(FUNCTION)
        threading.Thread(target=work, args=(worker,), daemon=True).start()
        workers.append(worker)
    client = Client()
    client.addServer(host, port)
    client.waitForServer()
    start = time.monotonic()
    for i in range(JOBS):
        client.submitJob(gear.Job(FUNCTION.encode(), b"sheet %d" % i))
    client.done.wait(RUN_TIMEOUT_S)
    taken = time.monotonic() - start
    assert set(client.ends_by_handle.values()) <= {1}, "a job ended twice"
    for worker in workers:
        worker.stopWaitingForJobs()
        worker.shutdown()
    client.shutdown()
    return client.ends, taken


def main() -> None:
    """Print a line for each run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--plain", action="store_true")
    options = parser.parse_args()
    text = (ROOT / "deploy/operator.toml").read_text().replace(":4730", ":0")
    if options.plain:
        lines = text.partition("[gearman]")[2].splitlines()
        text = "[gearman]" + "\n".join(x for x in lines if "patience" not in x and "queueing" not in x)
    complete_runs, rates = 0, []
    for number in range(options.runs):
        with run_daemon(text) as process:
            ends, taken = run(process)
        complete_runs += ends["served"] == JOBS
        rates.append(sum(ends.values()) / taken)
        print(f"run {number + 1}: {dict(ends)} in {taken:.2f} s, {rates[-1]:.0f} jobs/s", flush=True)
    rate = statistics.median(rates)
    print(f"{complete_runs} of {options.runs} runs served {JOBS} of {JOBS} jobs; {rate:.0f} jobs/s (median)")


if __name__ == "__main__":
    main()

"""Measures how soon groups of real processes detect a death, and what membership costs each member.

    python -m benchmarks.membership_processes [--sizes 8 32 100] [--minutes 2]

The processes communicate through a relay with fault injection. Detection times are read from the members'
logs. Bytes are those of datagrams and streams that pass the relay. CPU is the excess over a single idle
process without membership.
"""

from __future__ import annotations

import argparse
import json
import os
import re
import subprocess
import sys
import tempfile
import threading
import time
from datetime import datetime
from pathlib import Path
from random import Random

from benchmarks.faults.processes import ROOT, Fleet, Member, fleet, wait_until

CONFIG = json.loads((ROOT / "examples/config.json").read_text()) | {"discovery": "127.0.0.1:1"}
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SAMPLE_S = 15.0  # over which the costs are averaged
DIED = re.compile(r"^(\S+ \S+) .*member died: name=(\w+)")


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * 4096 / (1 << 20)


def detection_times(group: Fleet, name: str, since: float) -> list[float]:
    """Return the seconds from `since` until each of the others considered the member dead, sorted."""
    found = []
    for member in group:
        for line in member.log().splitlines():
            if (m := DIED.match(line)) and m[2] == name:
                after = datetime.strptime(m[1], "%Y-%m-%d %H:%M:%S,%f").timestamp() - since
                if after > 0:
                    found.append(after)
                    break
    return sorted(found)


def measure_group(size: int, minutes: float, idle: float) -> None:
    """Print the figures of one group."""
    with tempfile.TemporaryDirectory() as folder, fleet(Path(folder), CONFIG) as group:
        members = group.add(size, 3)
        began = time.monotonic()
        for member in members:
            member.start()
        wait_until(group.has_converged, "all have met", 120)
        converged_after = time.monotonic() - began
        time.sleep(5.0)
        pids = [m.process.pid for m in members if m.process]
        before, bytes_before = [cpu_seconds(pid) for pid in pids], group.relay.relay.counts["bytes"]
        time.sleep(SAMPLE_S)
        cpu_share = sum(cpu_seconds(pid) - b for pid, b in zip(pids, before, strict=True)) / size / SAMPLE_S
        bytes_per_s = (group.relay.relay.counts["bytes"] - bytes_before) / size / SAMPLE_S
        memory = memory_mb(pids[0])
        times = []
        for victim in members[-3:]:
            at = time.time()
            victim.kill()
            needed = int(0.99 * (size - 1))
            found: list[float] = wait_until(
                lambda name=victim.name, at=at, needed=needed: (  # type: ignore[misc]
                    known if len(known := detection_times(group, name, at)) >= needed else None
                ),
                "the death is known", 60,
            )  # fmt: skip
            times.append((found[0], found[needed - 1]))
            victim.start()
            wait_until(group.has_converged, "it is back", 120)
        detections = "; ".join(f"first {a:.1f} s, 99% {b:.1f} s" for a, b in times)
        print(
            f"{size} processes: converged after {converged_after:.1f} s; "
            f"{(cpu_share - idle) * 100:.2f}% of a core and {bytes_per_s:.0f} B/s per member; "
            f"{memory:.1f} MB; killed: {detections}",
            flush=True,
        )
        if minutes:
            print(f"{size} processes: {measure_under_faults(group, minutes)}", flush=True)


def measure_under_faults(group: Fleet, minutes: float) -> str:
    """Count false deaths at 30% loss, while a tenth of the members are paused repeatedly for up to 5 s."""
    members, random = group.running(), Random(1)
    log_starts = {m.name: len(m.log()) for m in members}
    paused = random.sample(members, max(len(members) // 10, 1))
    names = {m.name for m in paused}
    group.relay.set_fault(loss=0.3)
    end = time.monotonic() + minutes * 60

    def pause_repeatedly(member: Member, rng: Random) -> None:
        while time.monotonic() < end:
            time.sleep(rng.uniform(0.5, 5.0))
            member.pause()
            time.sleep(rng.uniform(0.5, 5.0))
            member.resume()

    threads = [threading.Thread(target=pause_repeatedly, args=(m, Random(i))) for i, m in enumerate(paused)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    group.relay.heal()
    false_deaths = {
        found[2] for m in members for line in m.log()[log_starts[m.name] :].splitlines()
        if (found := DIED.match(line)) and found[2] not in names
    }  # fmt: skip
    hours = (len(members) - len(paused)) * minutes / 60
    return f"30% loss, {len(paused)} paused: {len(false_deaths)} false deaths in {hours:.1f} member-hours"


def measure_idle() -> float:
    """Print the cost of an idle process without and with membership; return the share of a core without."""
    shares = []
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder)
        document = CONFIG | {"listen": "127.0.0.1:0"}
        (path / "config.json").write_text(json.dumps(document))
        (path / "operator.toml").write_text('[membership]\nlisten = "127.77.99.1:7946"\n')
        env = os.environ | {"LB_CONFIG": str(path / "config.json"), "TMPDIR": folder}
        for options in ([], ["--operator", str(path / "operator.toml")]):
            process = subprocess.Popen(
                [sys.executable, "-m", "oxbowyard", *options], cwd=ROOT, env=env, stderr=subprocess.DEVNULL
            )
            time.sleep(3.0)
            before = cpu_seconds(process.pid)
            time.sleep(SAMPLE_S)
            shares.append((cpu_seconds(process.pid) - before) / SAMPLE_S)
            label = "with" if options else "without"
            print(
                f"idle, {label} membership: {memory_mb(process.pid):.1f} MB, "
                f"{shares[-1] * 100:.2f}% of a core",
                flush=True,
            )
            process.terminate()
            process.wait()
    return shares[0]


def main() -> None:
    """Print the figures of each size."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", type=int, nargs="*", default=[8, 32, 100])
    parser.add_argument("--minutes", type=float, default=2.0)
    args = parser.parse_args()
    idle = measure_idle()
    for size in args.sizes:
        measure_group(size, args.minutes if size == 32 else 0.0, idle)


if __name__ == "__main__":
    main()

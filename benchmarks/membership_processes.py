"""Groups of real processes behind the relay: how soon a death is known, and what a member costs.

    python -m benchmarks.membership_processes [--sizes 8 32 100] [--minutes 2]

A death's times are read from the members' logs. Bytes are those that pass the relay, of datagrams and
streams; CPU is what a process takes more than one that is alone with membership off.
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
TICK = os.sysconf("SC_CLK_TCK")
CALM = 15.0  # seconds over which the costs are taken
DIED = re.compile(r"^(\S+ \S+) .*member died: name=(\w+)")


def cpu(pid: int) -> float:
    """Seconds of CPU so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def rss(pid: int) -> float:
    """Megabytes in use."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * 4096 / (1 << 20)


def deaths(group: Fleet, name: str, since: float) -> list[float]:
    """Seconds from then until each of the others took it for dead."""
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
    """One group's figures, printed."""
    with tempfile.TemporaryDirectory() as folder, fleet(Path(folder), CONFIG) as group:
        members = group.add(size, 3)
        began = time.monotonic()
        for member in members:
            member.start()
        wait_until(group.has_converged, "all have met", 120)
        met = time.monotonic() - began
        time.sleep(5.0)
        pids = [m.process.pid for m in members if m.process]
        before, bytes_before = [cpu(pid) for pid in pids], group.relay.relay.counts["bytes"]
        time.sleep(CALM)
        spent = sum(cpu(pid) - b for pid, b in zip(pids, before, strict=True)) / size / CALM
        sent = (group.relay.relay.counts["bytes"] - bytes_before) / size / CALM
        memory = rss(pids[0])
        times = []
        for victim in members[-3:]:
            at = time.time()
            victim.kill()
            needed = int(0.99 * (size - 1))
            found: list[float] = wait_until(
                lambda name=victim.name, at=at, needed=needed: (  # type: ignore[misc]
                    known if len(known := deaths(group, name, at)) >= needed else None
                ),
                "the death is known", 60,
            )  # fmt: skip
            times.append((found[0], found[needed - 1]))
            victim.start()
            wait_until(group.has_converged, "it is back", 120)
        told = "; ".join(f"first {a:.1f} s, 99% {b:.1f} s" for a, b in times)
        print(
            f"{size} processes: met after {met:.1f} s; {(spent - idle) * 100:.2f}% of a core and {sent:.0f} "
            f"B/s a member; {memory:.1f} MB; killed: {told}",
            flush=True,
        )
        if minutes:
            print(f"{size} processes: {troubled(group, minutes)}", flush=True)


def troubled(group: Fleet, minutes: float) -> str:
    """Wrongful deaths at 30% loss, a tenth of the members paused for up to 5 s again and again."""
    members, random = group.running(), Random(1)
    marks = {m.name: len(m.log()) for m in members}
    paused = random.sample(members, max(len(members) // 10, 1))
    names = {m.name for m in paused}
    group.relay.set_fault(loss=0.3)
    end = time.monotonic() + minutes * 60

    def play(member: Member, chance: Random) -> None:
        while time.monotonic() < end:
            time.sleep(chance.uniform(0.5, 5.0))
            member.pause()
            time.sleep(chance.uniform(0.5, 5.0))
            member.resume()

    threads = [threading.Thread(target=play, args=(m, Random(i))) for i, m in enumerate(paused)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    group.relay.heal()
    wrong = {
        found[2] for m in members for line in m.log()[marks[m.name] :].splitlines()
        if (found := DIED.match(line)) and found[2] not in names
    }  # fmt: skip
    hours = (len(members) - len(paused)) * minutes / 60
    return f"30% loss, {len(paused)} paused: {len(wrong)} thought dead wrongly in {hours:.1f} member-hours"


def at_rest() -> float:
    """Memory without and with it, alone, printed; returns the share of a core taken without."""
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
            before = cpu(process.pid)
            time.sleep(CALM)
            shares.append((cpu(process.pid) - before) / CALM)
            on = "with" if options else "without"
            print(f"at rest {on}: {rss(process.pid):.1f} MB, {shares[-1] * 100:.2f}% of a core", flush=True)
            process.terminate()
            process.wait()
    return shares[0]


def main() -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", type=int, nargs="*", default=[8, 32, 100])
    parser.add_argument("--minutes", type=float, default=2.0)
    args = parser.parse_args()
    idle = at_rest()
    for size in args.sizes:
        measure_group(size, args.minutes if size == 32 else 0.0, idle)


if __name__ == "__main__":
    main()

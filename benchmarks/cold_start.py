"""Many schedulers begin at once against a list service of fixed capacity.

    python -m benchmarks.cold_start [--sizes 24 100] [--virtual 300 1000 5000]

Real processes: with [start] and [membership], and as they are without them ("today"); then with the service
down and a list on each disk. Times are read from their logs, from the first process's begin. Virtual time:
the turns alone against a model of the service, beside exponential backoff with full jitter.
"""

from __future__ import annotations

import argparse
import contextlib
import heapq
import json
import re
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from random import Random

from benchmarks.faults.processes import ROOT, Fleet, fleet, wait_until
from benchmarks.faults.service import ListService, ListServiceThread, worker_entries
from oxbowyard.start.fetch_admission import FetchAdmission
from oxbowyard.start.snapshot_file import write_snapshot

CONFIG = json.loads((ROOT / "examples/config.json").read_text())
ASKED = json.loads((ROOT / "tests/settings_asked.json").read_text())
SERVES = re.compile(r"^(\S+ \S+) .*state starting -> serving", re.M)
TOLD = re.compile(r"^(\S+ \S+) .*discovery watch active: ", re.M)


def after(group: Fleet, line: re.Pattern[str], began: float) -> list[float]:
    """Seconds until each process said so; those that have not are left out."""
    found = [m for member in group if (m := line.search(member.log()))]
    stamps = [datetime.strptime(m[1], "%Y-%m-%d %H:%M:%S,%f").timestamp() for m in found]
    return sorted(stamp - began for stamp in stamps)


def shares(times: list[float], size: int) -> str:
    """When half, 99% and all had it."""
    told = []
    for share in (0.5, 0.99, 1.0):
        need = max(int(share * size + 0.999), 1)
        told.append(f"{times[need - 1]:.1f}" if len(times) >= need else "never")
    return " / ".join(told) + " s"


def measure_processes(size: int, kind: str, patience: float) -> str:
    """One group's cold start."""
    service = ListServiceThread(ListService(worker_entries(24)))
    config = CONFIG | {"discovery": service.address, "settings": ASKED | {"siblings": size}}
    try:
        with tempfile.TemporaryDirectory() as folder, fleet(Path(folder), config) as group:
            group.other_tables["start"], group.stores_snapshots = {}, True
            for member in group.add(size):
                if kind == "today":
                    (member.folder / "operator.toml").write_text("")
                if kind == "down":
                    write_snapshot(
                        member.folder / "list", "default", time.time() - 300, 3, worker_entries(24)
                    )
            service.service.is_down = kind == "down"
            began = time.time()
            for member in group:
                member.start()
            line = SERVES if kind == "down" else TOLD
            with contextlib.suppress(AssertionError):  # what is missing shows in the figures
                wait_until(lambda: len(after(group, line, began)) == size, "all have it", patience)
            lists, serve = after(group, TOLD, began), after(group, SERVES, began)
        s = service.service
        return (
            f"{size} processes, {kind}: whole lists {s.count('whole')}, newer {s.count('newer')}, turned "
            f"down {s.count('refused')}, overload at most {s.longest_overload_s():.1f} s; "
            f"told {shares(lists, size)}; serve {shares(serve, size)}"
        )
    finally:
        service.close()


@dataclass
class Model:
    """A service in virtual time: calls in turn, turned down when they would wait over two seconds."""

    cost: float
    free_at: float = 0.0
    whole: int = 0
    refused: list[float] = field(default_factory=list)

    def ask(self, now: float) -> float | None:
        """When the answer is there, or None."""
        if max(self.free_at - now, 0.0) + self.cost > 2.0:
            self.refused.append(now)
            return None
        self.whole += 1
        self.free_at = max(self.free_at, now) + self.cost
        return self.free_at


def virtual(size: int, kind: str, slow: float, seed: int) -> str:
    """The turns against the model; peers hand their list on."""
    random, model = Random(seed), Model(0.1 * slow)
    names = [f"m{i}" for i in range(size)]
    places = list(range(size))
    random.shuffle(places)  # a digest's order is as good as chance
    order = dict(zip(names, places, strict=True))
    has: dict[str, float] = {}
    events: list[tuple[float, int, Callable[[], None]]] = []
    count = 0
    now = 0.0

    def at(when: float, do: Callable[[], None]) -> None:
        nonlocal count
        count += 1
        heapq.heappush(events, (when, count, do))

    def call(name: str, tries: int) -> None:
        if name in has:
            return
        ready = model.ask(now)
        if ready is not None:
            at(ready, lambda: has.update({name: ready}) if name not in has else None)
        elif kind == "turns":
            at(now + random.uniform(0, 0.25 * size * 2 ** min(tries, 2)), lambda: call(name, tries + 1))
        else:
            at(now + random.uniform(0, min(0.1 * 2**tries, 60.0)), lambda: call(name, tries + 1))

    def ask_peers(name: str) -> None:
        if name in has:
            return
        if any(other in has and has[other] <= now for other in random.sample(names, 2)):
            has[name] = now + 0.01
            return
        at(now + 0.5 * random.uniform(0.5, 1.5), lambda: ask_peers(name))

    for name in names:
        if kind == "turns":
            admission = FetchAdmission(name, 3, 2.0, random, 1.0)
            at(admission.due_at_rank(order[name]), lambda name=name: call(name, 0))  # type: ignore[misc]
            at(1.0, lambda name=name: ask_peers(name))  # type: ignore[misc]
        else:
            at(random.uniform(0, 0.1), lambda name=name: call(name, 0))  # type: ignore[misc]
    while events and len(has) < size:
        now, _, do = heapq.heappop(events)
        do()
    times = sorted(has.values())
    runs = 0.0
    begin = last = -10.0
    for when in model.refused:
        begin = when if when - last > 1.0 else begin
        runs, last = max(runs, when - begin), when
    return (
        f"{size} in virtual time, {kind}, service {'at a tenth' if slow > 1 else 'well'}: whole lists "
        f"{model.whole}, turned down {len(model.refused)}, overload at most {runs:.1f} s; "
        f"told {shares(times, size)}"
    )


def main() -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", type=int, nargs="*", default=[24, 100])
    parser.add_argument("--virtual", type=int, nargs="*", default=[300, 1000, 5000])
    parser.add_argument("--patience", type=float, default=60.0)
    args = parser.parse_args()
    for size in args.virtual:
        for slow in (1.0, 10.0):
            for kind in ("turns", "backoff"):
                print(virtual(size, kind, slow, 1), flush=True)
    for size in args.sizes:
        for kind in ("start", "today", "down"):
            print(measure_processes(size, kind, args.patience), flush=True)


if __name__ == "__main__":
    main()

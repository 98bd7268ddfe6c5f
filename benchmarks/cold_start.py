"""Many schedulers start at once against a list service of fixed capacity.

    python -m benchmarks.cold_start [--sizes 24 100] [--virtual 300 1000 5000]

Real processes run with [start] and [membership] ("start"), without them ("today"), and with the service down
and a cached list on each disk ("down"). Times are read from their logs and count from the start of the first
process. In virtual time, fetch admission ("turns") is compared with exponential backoff with full jitter,
against a model of the service.
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
SERVING = re.compile(r"^(\S+ \S+) .*state starting -> serving", re.M)
LIST_RECEIVED = re.compile(r"^(\S+ \S+) .*discovery watch active: ", re.M)


def times_of(group: Fleet, line: re.Pattern[str], began: float) -> list[float]:
    """Return the seconds until each process logged the line, without those that have not logged it."""
    found = [m for member in group if (m := line.search(member.log()))]
    stamps = [datetime.strptime(m[1], "%Y-%m-%d %H:%M:%S,%f").timestamp() for m in found]
    return sorted(stamp - began for stamp in stamps)


def quantiles(times: list[float], size: int) -> str:
    """Return the times at which 50%, 99% and all of the processes had logged it, as text."""
    texts = []
    for share in (0.5, 0.99, 1.0):
        needed = max(int(share * size + 0.999), 1)
        texts.append(f"{times[needed - 1]:.1f}" if len(times) >= needed else "never")
    return " / ".join(texts) + " s"


def measure_processes(size: int, kind: str, patience: float) -> str:
    """Start a group of real processes and return its figures as text."""
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
            line = SERVING if kind == "down" else LIST_RECEIVED
            with contextlib.suppress(AssertionError):  # the figures show what is missing
                wait_until(lambda: len(times_of(group, line, began)) == size, "all have it", patience)
            lists, serve = times_of(group, LIST_RECEIVED, began), times_of(group, SERVING, began)
        list_service = service.service
        return (
            f"{size} processes, {kind}: full lists {list_service.count('whole')}, "
            f"changes {list_service.count('newer')}, "
            f"rejected {list_service.count('refused')}, "
            f"overload at most {list_service.longest_overload_s():.1f} s; "
            f"lists after {quantiles(lists, size)}; serving after {quantiles(serve, size)}"
        )
    finally:
        service.close()


@dataclass
class Model:
    """A list service in virtual time, which serves calls in turn and rejects those that wait over 2 s."""

    cost: float
    free_at: float = 0.0
    full_lists: int = 0
    rejected: list[float] = field(default_factory=list)

    def call(self, now: float) -> float | None:
        """Return the time of the answer, or None if the call is rejected."""
        if max(self.free_at - now, 0.0) + self.cost > 2.0:
            self.rejected.append(now)
            return None
        self.full_lists += 1
        self.free_at = max(self.free_at, now) + self.cost
        return self.free_at


def simulate(size: int, kind: str, slow: float, seed: int) -> str:
    """Simulate a start against the model and return its figures as text; peers pass on their lists."""
    random, model = Random(seed), Model(0.1 * slow)
    names = [f"m{i}" for i in range(size)]
    ranks = list(range(size))
    random.shuffle(ranks)  # ranks come from digests, so their order is as good as random
    rank_of = dict(zip(names, ranks, strict=True))
    received_at: dict[str, float] = {}
    events: list[tuple[float, int, Callable[[], None]]] = []
    count = 0
    now = 0.0

    def schedule(when: float, callback: Callable[[], None]) -> None:
        nonlocal count
        count += 1
        heapq.heappush(events, (when, count, callback))

    def fetch(name: str, retries: int) -> None:
        if name in received_at:
            return
        ready = model.call(now)
        if ready is not None:
            schedule(ready, lambda: received_at.update({name: ready}) if name not in received_at else None)
        elif kind == "turns":
            schedule(
                now + random.uniform(0, 0.25 * size * 2 ** min(retries, 2)), lambda: fetch(name, retries + 1)
            )
        else:
            schedule(now + random.uniform(0, min(0.1 * 2**retries, 60.0)), lambda: fetch(name, retries + 1))

    def ask_peers(name: str) -> None:
        if name in received_at:
            return
        if any(other in received_at and received_at[other] <= now for other in random.sample(names, 2)):
            received_at[name] = now + 0.01
            return
        schedule(now + 0.5 * random.uniform(0.5, 1.5), lambda: ask_peers(name))

    for name in names:
        if kind == "turns":
            admission = FetchAdmission(name, 3, 2.0, random, 1.0)
            schedule(admission.due_at_rank(rank_of[name]), lambda name=name: fetch(name, 0))  # type: ignore[misc]
            schedule(1.0, lambda name=name: ask_peers(name))  # type: ignore[misc]
        else:
            schedule(random.uniform(0, 0.1), lambda name=name: fetch(name, 0))  # type: ignore[misc]
    while events and len(received_at) < size:
        now, _, callback = heapq.heappop(events)
        callback()
    times = sorted(received_at.values())
    longest_overload = 0.0
    begin = last = -10.0
    for when in model.rejected:
        begin = when if when - last > 1.0 else begin
        longest_overload, last = max(longest_overload, when - begin), when
    return (
        f"{size} in virtual time, {kind}, service {'at a tenth of its capacity' if slow > 1 else 'healthy'}: "
        f"full lists {model.full_lists}, rejected {len(model.rejected)}, "
        f"overload at most {longest_overload:.1f} s; "
        f"lists after {quantiles(times, size)}"
    )


def main() -> None:
    """Print a line for each case."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", type=int, nargs="*", default=[24, 100])
    parser.add_argument("--virtual", type=int, nargs="*", default=[300, 1000, 5000])
    parser.add_argument("--patience", type=float, default=60.0)
    args = parser.parse_args()
    for size in args.virtual:
        for slow in (1.0, 10.0):
            for kind in ("turns", "backoff"):
                print(simulate(size, kind, slow, 1), flush=True)
    for size in args.sizes:
        for kind in ("start", "today", "down"):
            print(measure_processes(size, kind, args.patience), flush=True)


if __name__ == "__main__":
    main()

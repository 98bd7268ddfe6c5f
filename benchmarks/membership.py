"""Wrongful deaths and how soon a death is known, in virtual time, beside plain SWIM and heartbeats to all.

    python -m benchmarks.membership [--minutes 10] [--jobs 8] [--plot FILE]

Plain SWIM is the same program with one fixed suspicion, no health of its own and no question by stream.
All-to-all sends a heartbeat to everybody each period and declares dead after as long as plain SWIM suspects.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from random import Random

from benchmarks.faults.virtual_group import VirtualGroup
from oxbowyard.membership.protocol import Happened
from oxbowyard.membership.settings import GroupSettings

OURS = GroupSettings()
PLAIN = GroupSettings(most_health=0, confirmations=0, patience=1.0, by_stream=False)
KINDS = {"ours": OURS, "plain SWIM": PLAIN}
PAUSED = 0.1  # share of the members
SETTLE = 30.0
LARGE = 1000  # members that do not meet here: they know each other from the start


def episodes(deaths: set[tuple[str, float]]) -> int:
    """Deaths of one name within ten seconds are one, told at several."""
    last: dict[str, float] = {}
    found = 0
    for name, when in sorted(deaths, key=lambda death: death[1]):
        found += when - last.get(name, -100.0) > 10.0
        last[name] = when
    return found


def wrongful(
    kind: str, size: int, loss: float, paused: bool, minutes: float, seed: int
) -> tuple[float, float]:
    """Wrongful deaths a member-hour, of members that were not paused, and bytes a member sends a second."""
    group = VirtualGroup(size, seed, KINDS[kind])
    group.run(SETTLE)
    group.link.loss = loss
    group.measure_bytes = True
    random = Random(seed)
    troubled = set(random.sample(sorted(group.nodes), int(size * PAUSED))) if paused else set()
    end = SETTLE + minutes * 60
    for name in troubled:
        at = SETTLE + random.uniform(0, 5)
        while at < end:
            pause = random.uniform(0.5, 5.0)
            group.at(at, partial(group.stop, name, pause))
            at += pause + random.uniform(0.5, 5.0)
    group.run(end)
    events = episodes({(n.name, w) for w, _, n in group.notices(Happened.DIED) if n.name not in troubled})
    sent = sum(node.sent_bytes for node in group.nodes.values())
    return events / ((size - len(troubled)) * minutes / 60), sent / size / (minutes * 60)


def heartbeats(size: int, loss: float, minutes: float, seed: int) -> tuple[float, float]:
    """The same of all-to-all heartbeats."""
    random, s = Random(seed), OURS
    most = int(PLAIN.suspicion_lasts(size, 0) / s.period)
    wrong: set[tuple[str, float]] = set()
    for one in range(size):
        for other in range(size):
            missed = 0
            for beat in range(int(minutes * 60 / s.period)):
                missed = missed + 1 if random.random() < loss else 0
                if one != other and missed == most:
                    wrong.add((str(one), beat * s.period))
    return episodes(wrong) / (size * minutes / 60), (size - 1) * 60 / s.period


def detection(kind: str, size: int, seed: int) -> tuple[float, float, float, float]:
    """Seconds until a killed one is known dead to one and to 99%; CPU and bytes a member-second."""
    group = VirtualGroup(size, seed, KINDS[kind])
    if size >= LARGE:
        group.introduce()
        group.run(2.0)
    else:
        group.run(SETTLE)
    group.measure_bytes = True
    before = sum(node.sent_bytes for node in group.nodes.values())
    began = time.process_time()
    name = sorted(group.nodes)[size // 2]
    group.kill(name)
    at = group.now
    lasts = 40 if size < LARGE else 15
    group.run(at + lasts)
    known = sorted(when - at for when, _, n in group.notices(Happened.DIED) if n.name == name and when > at)
    ninety_nine = known[int(0.99 * (size - 1)) - 1] if len(known) >= 0.99 * (size - 1) else float("inf")
    share = (time.process_time() - began) / (lasts * size)
    sent = sum(node.sent_bytes for node in group.nodes.values()) - before
    return known[0], ninety_nine, share, sent / (lasts * size)


def plot(path: Path, lines: dict[str, list[float]], losses: Sequence[float], size: int) -> None:
    """Wrongful deaths against loss; needs the extra bench."""
    import matplotlib  # type: ignore[import-not-found,unused-ignore]

    matplotlib.use("Agg")
    from matplotlib import pyplot  # type: ignore[import-not-found,unused-ignore]

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for label, values in lines.items():
        axes.plot([loss * 100 for loss in losses], values, marker="o", label=label)
    axes.set_yscale("symlog", linthresh=0.01)
    axes.set_xlabel("datagrams lost, %")
    axes.set_ylabel("wrongful deaths a member-hour")
    axes.set_title(f"{size} members")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--minutes", type=float, default=10.0)
    parser.add_argument("--size", type=int, default=32)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--plot", type=Path)
    parser.add_argument("--sizes", type=int, nargs="*", default=[8, 32, 100, 1000])
    args = parser.parse_args()
    losses = (0.0, 0.1, 0.2, 0.3, 0.4, 0.5)
    with ProcessPoolExecutor(args.jobs) as pool:
        cells = {
            (kind, loss, paused): pool.submit(wrongful, kind, args.size, loss, paused, args.minutes, 1)
            for kind in KINDS for loss in losses for paused in (False, True)
        }  # fmt: skip
        beats = {loss: pool.submit(heartbeats, args.size, loss, args.minutes, 1) for loss in losses}
        times = {(kind, size): pool.submit(detection, kind, size, 1) for kind in KINDS for size in args.sizes}
        print(
            f"members thought dead wrongly, a member-hour, {args.size} members, {args.minutes:g} min; bytes/s"
        )
        lines: dict[str, list[float]] = {}
        for loss in losses:
            row = [f"loss {loss:.0%}"]
            for kind in KINDS:
                for paused in (False, True):
                    wrong, sent = cells[kind, loss, paused].result()
                    label = f"{kind}, a tenth paused" if paused else kind
                    row.append(f"{label} {wrong:.2f} ({sent:.0f})")
                    lines.setdefault(label, []).append(wrong)
            wrong, sent = beats[loss].result()
            lines.setdefault("heartbeats to all", []).append(wrong)
            print("; ".join([*row, f"heartbeats {wrong:.2f} ({sent:.0f})"]), flush=True)
        if args.plot:
            plot(args.plot, lines, losses, args.size)
        for (kind, size), cell in times.items():
            first, most, cpu, sent = cell.result()
            print(f"{kind}, {size}: dead known first after {first:.1f} s, to 99% after {most:.1f} s; "
                  f"{cpu * 1e6:.0f} us of CPU and {sent:.0f} bytes a member-second", flush=True)  # fmt: skip


if __name__ == "__main__":
    main()

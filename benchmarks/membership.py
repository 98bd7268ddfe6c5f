"""Compares false deaths and detection times with plain SWIM and all-to-all heartbeats, in virtual time.

    python -m benchmarks.membership [--plot FILE]
    python -m benchmarks.membership --alone --losses 0.3 --seeds 70 --sizes      # one cell, over many hours
    python -m benchmarks.membership --alone --losses --seeds 7 --sizes 100       # one size, repeatedly
    python -m benchmarks.membership --alone --losses --sizes 5000 --jobs 1       # takes minutes and 8 GB

Plain SWIM is the same code with a fixed suspicion timeout, without local health and without stream probes.
With all-to-all heartbeats each member sends one to every other per period, and a member is declared dead
after as long as plain SWIM suspects it.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import fields, replace
from functools import partial
from pathlib import Path
from random import Random

from benchmarks.faults.virtual_group import VirtualGroup
from oxbowyard.membership.instructions import MemberEventKind
from oxbowyard.membership.settings import ProtocolSettings

OURS = ProtocolSettings()
PLAIN_SWIM = ProtocolSettings(
    max_health_score=0, confirmation_count=0, max_suspicion_factor=1.0, stream_probe_enabled=False
)
PAUSED_SHARE = 0.1  # of the members
SETTLE_S = 30.0
LARGE_SIZE = 1000  # from this size on, members know each other from the start


def count_episodes(deaths: set[tuple[str, float]]) -> int:
    """Count deaths; those of one name within ten seconds are one death, reported by several members."""
    last: dict[str, float] = {}
    found = 0
    for name, when in sorted(deaths, key=lambda death: death[1]):
        found += when - last.get(name, -100.0) > 10.0
        last[name] = when
    return found


def false_death_rate(
    settings: ProtocolSettings, size: int, loss: float, paused: bool, minutes: float, seed: int
) -> tuple[float, float]:
    """Return false deaths per member-hour of members that were not paused, and bytes/s sent per member."""
    group = VirtualGroup(size, seed, settings)
    group.run(SETTLE_S)
    group.link.loss = loss
    group.counts_bytes = True
    random = Random(seed)
    troubled = set(random.sample(sorted(group.nodes), int(size * PAUSED_SHARE))) if paused else set()
    end = SETTLE_S + minutes * 60
    for name in troubled:
        at = SETTLE_S + random.uniform(0, 5)
        while at < end:
            pause = random.uniform(0.5, 5.0)
            group.schedule(at, partial(group.pause, name, pause))
            at += pause + random.uniform(0.5, 5.0)
    group.run(end)
    events = count_episodes(
        {(n.name, w) for w, _, n in group.events(MemberEventKind.DIED) if n.name not in troubled}
    )
    sent = sum(node.sent_bytes for node in group.nodes.values())
    return events / ((size - len(troubled)) * minutes / 60), sent / size / (minutes * 60)


def heartbeat_rate(size: int, loss: float, minutes: float, seed: int) -> tuple[float, float]:
    """Return the same for all-to-all heartbeats, which are taken to have 60 bytes each."""
    random, settings = Random(seed), OURS
    misses_until_dead = int(PLAIN_SWIM.suspicion_timeout_s(size, 0) / settings.probe_interval_s)
    false_deaths: set[tuple[str, float]] = set()
    for member in range(size):
        for observer in range(size):
            missed = 0
            for beat in range(int(minutes * 60 / settings.probe_interval_s)):
                missed = missed + 1 if random.random() < loss else 0
                if member != observer and missed == misses_until_dead:
                    false_deaths.add((str(member), beat * settings.probe_interval_s))
    return count_episodes(false_deaths) / (size * minutes / 60), (size - 1) * 60 / settings.probe_interval_s


def detection_times(settings: ProtocolSettings, size: int, seed: int) -> tuple[float, float, float, float]:
    """Return seconds until the first and 99% know of a death, and CPU seconds and bytes per member-second."""
    group = VirtualGroup(size, seed, settings)
    if size >= LARGE_SIZE:
        group.introduce_all()
        group.run(2.0)
    else:
        group.run(SETTLE_S)
    group.counts_bytes = True
    before = sum(node.sent_bytes for node in group.nodes.values())
    began = time.process_time()
    name = sorted(group.nodes)[size // 2]
    group.kill(name)
    at = group.now
    duration_s = 40 if size < LARGE_SIZE else 15
    group.run(at + duration_s)
    known = sorted(
        when - at for when, _, n in group.events(MemberEventKind.DIED) if n.name == name and when > at
    )
    ninety_nine = known[int(0.99 * (size - 1)) - 1] if len(known) >= 0.99 * (size - 1) else float("inf")
    share = (time.process_time() - began) / (duration_s * size)
    sent = sum(node.sent_bytes for node in group.nodes.values()) - before
    return known[0], ninety_nine, share, sent / (duration_s * size)


def plot(path: Path, lines: dict[str, list[float]], losses: Sequence[float], size: int) -> None:
    """Plot false deaths against loss; needs the extra `bench`."""
    import matplotlib  # type: ignore[import-not-found,unused-ignore]

    matplotlib.use("Agg")
    from matplotlib import pyplot  # type: ignore[import-not-found,unused-ignore]

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for label, values in lines.items():
        axes.plot([loss * 100 for loss in losses], values, marker="o", label=label)
    axes.set_yscale("symlog", linthresh=0.01)
    axes.set_xlabel("datagrams lost, %")
    axes.set_ylabel("false deaths per member-hour")
    axes.set_title(f"{size} members")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def settings_of(text: str) -> ProtocolSettings:
    """Return the default settings with changes such as `volunteer_count=0,max_suspicion_factor=4`."""
    parts = (part.partition("=") for part in text.split(",") if part)
    changed = {name: float(value) for name, _, value in parts}
    types = {f.name: type(getattr(OURS, f.name)) for f in fields(OURS)}
    return replace(OURS, **{name: types[name](value) for name, value in changed.items()})


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--minutes", type=float, default=10.0)
    parser.add_argument("--size", type=int, default=32)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--seeds", type=int, default=1, help="runs of each cell, whose mean is printed")
    parser.add_argument("--losses", type=float, nargs="*", default=[0.0, 0.1, 0.2, 0.3, 0.4, 0.5])
    parser.add_argument("--plot", type=Path)
    parser.add_argument("--sizes", type=int, nargs="*", default=[8, 32, 100, 1000])
    parser.add_argument(
        "--ours", default="", help="settings to change, such as volunteer_count=0,max_suspicion_factor=4"
    )
    parser.add_argument("--alone", action="store_true", help="without the baselines, and only with pauses")
    args = parser.parse_args()
    kinds = {"ours": settings_of(args.ours)} | ({} if args.alone else {"plain SWIM": PLAIN_SWIM})
    pauses, seeds = ((True,) if args.alone else (False, True)), range(1, args.seeds + 1)
    with ProcessPoolExecutor(args.jobs) as pool:
        cells = {
            (kind, loss, paused): [
                pool.submit(false_death_rate, own, args.size, loss, paused, args.minutes, seed)
                for seed in seeds
            ]
            for kind, own in kinds.items() for loss in args.losses for paused in pauses
        }  # fmt: skip
        beats = {
            loss: pool.submit(heartbeat_rate, args.size, loss, args.minutes, 1)
            for loss in args.losses if not args.alone
        }  # fmt: skip
        times = {
            (kind, size, seed): pool.submit(detection_times, own, size, seed)
            for kind, own in kinds.items() for size in args.sizes for seed in seeds
        }  # fmt: skip
        print(f"false deaths per member-hour, {args.size} members, "
              f"{args.seeds} times {args.minutes:g} min; bytes/s")  # fmt: skip
        lines: dict[str, list[float]] = {}
        for loss in args.losses:
            row = [f"loss {loss:.0%}"]
            for kind in kinds:
                for paused in pauses:
                    found = [cell.result() for cell in cells[kind, loss, paused]]
                    false_deaths, sent = (sum(column) / args.seeds for column in zip(*found, strict=True))
                    label = f"{kind}, a tenth paused" if paused else kind
                    row.append(f"{label} {false_deaths:.3f} ({sent:.0f})")
                    lines.setdefault(label, []).append(false_deaths)
            if loss in beats:
                false_deaths, sent = beats[loss].result()
                lines.setdefault("heartbeats to all", []).append(false_deaths)
                row.append(f"heartbeats {false_deaths:.2f} ({sent:.0f})")
            print("; ".join(row), flush=True)
        if args.plot:
            plot(args.plot, lines, args.losses, args.size)
        for (kind, size, seed), cell in times.items():
            first, ninety_nine, cpu, sent = cell.result()
            print(
                f"{kind}, {size}, seed {seed}: known to the first after {first:.1f} s, "
                f"to 99% after {ninety_nine:.1f} s; "
                f"{cpu * 1e6:.0f} us of CPU and {sent:.0f} bytes per member-second",
                flush=True,
            )


if __name__ == "__main__":
    main()

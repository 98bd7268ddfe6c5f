"""A daemon flooded with accessions and label checks at 1.5 times what its workers do, bulk previews waiting.

    python -m benchmarks.waiting_flood [--seconds 60] [--plot docs/design/waiting-waits.png]

Two runs: with ageing and without. For each: the longest wait of a preview until a worker began it, beside the
bound that follows from the settings; the service of the flood; pairs of a label check and the accession that
waits for it, and how many children began before their parent had ended. Load is open-loop, and a request's
time counts from when it was due.
"""

from __future__ import annotations

import argparse
import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from oxbowyard.waiting.settings import WaitingSettings

from .daemon_process import run_daemon
from .stand_in_fleet import StandInFleet

WORKERS, SLOTS = 4, 4
SECONDS = {"label-check": 0.1, "accession": 0.4, "preview": 0.2}
AIMS = {"label-check": 0.8 + 2.0 * 0.1, "accession": 4.0 + 2.0 * 0.4}  # aim and stretch, as in the example
WORTH = {"label-check": 5.0, "accession": 8.0}
DEADLINES = {"label-check": 5.0, "accession": 25.0}
OVERLOAD = 1.5
PREVIEWS, PAIRS_EVERY = 150, 1.0  # previews handed in over the first third; a pair every so many seconds
AGEING = WaitingSettings(max_jobs=400, age_limit_s=4.0, quiet_limit_s=8.0, aged_per_s=16.0)
NEVER = (1_000.0, 2_000.0, 0.0001)  # the same three, so long that nothing ages within a run


@dataclass(slots=True)
class Tally:
    """What came of one run."""

    asked: float = 0.0
    in_time: float = 0.0
    kinds: Counter[str] = field(default_factory=Counter)
    handed_in: dict[str, float] = field(default_factory=dict)  # previews
    pairs: list[tuple[str, str]] = field(default_factory=list)
    bad: int = 0


def operator(aged: bool) -> str:
    """The file of a run."""
    s = AGEING
    limits = (s.age_limit_s, s.quiet_limit_s, s.aged_per_s) if aged else NEVER
    names = ("age_limit_s", "quiet_limit_s", "aged_per_s")
    lines = [f"{name} = {value}" for name, value in zip(names, limits, strict=True)]
    return "\n".join(["[waiting]", f"max_jobs = {s.max_jobs}", *lines, "[waiting.classes.preview]",
                      "queueing = true", "quiet = true"])  # fmt: skip


async def flood(session: aiohttp.ClientSession, url: str, name: str, until: float, tally: Tally) -> None:
    """Open-loop requests of one class: half of the overload each."""
    loop, dice = asyncio.get_running_loop(), random.Random(name)
    rate = OVERLOAD * WORKERS * SLOTS / SECONDS[name] / 2
    due, number = loop.time(), 0
    tasks = []
    while (due := due + dice.expovariate(rate)) < until:
        await asyncio.sleep(max(due - loop.time(), 0.0))
        number += 1
        tasks.append(asyncio.create_task(ask(session, url, name, f"{name}-{number}", due, tally)))
    await asyncio.gather(*tasks)


async def ask(
    session: aiohttp.ClientSession, url: str, name: str, id_: str, due: float, tally: Tally
) -> None:
    """One request that waits for its answer."""
    loop = asyncio.get_running_loop()
    headers = {"Req-Id": id_, "Req-Kind": name, "Req-Deadline": f"{DEADLINES[name] * 1000:.0f}m"}
    tally.asked += WORTH[name]
    async with session.post(f"{url}/{name}", data=b"x", headers=headers) as response:
        await response.read()
    tally.kinds[f"{name} {response.status}"] += 1
    late = loop.time() - due
    tally.bad += late > DEADLINES[name] + 0.05
    if response.status == 200 and late <= AIMS[name]:
        tally.in_time += WORTH[name]


async def previews(session: aiohttp.ClientSession, url: str, span: float, tally: Tally) -> None:
    """Bulk previews, handed in to wait."""
    loop = asyncio.get_running_loop()
    for i in range(PREVIEWS):
        headers = {"Req-Id": f"bulk-{i}", "Wait-Patience": "3000000m"}
        async with session.post(f"{url}/jobs/preview", data=b"x", headers=headers) as response:
            assert response.status == 202, await response.text()
        tally.handed_in[f"bulk-{i}"] = loop.time()
        await asyncio.sleep(span / PREVIEWS)


async def pairs(session: aiohttp.ClientSession, url: str, until: float, tally: Tally) -> None:
    """Label checks and the accessions that wait for them."""
    loop = asyncio.get_running_loop()
    number = 0
    while loop.time() < until:
        number += 1
        parent, child = f"check-{number}", f"file-{number}"
        follows = {"class": "accession", "id": child, "after": [parent]}
        jobs = [follows, {"class": "label-check", "id": parent}]
        async with session.post(f"{url}/jobs", json={"jobs": jobs}) as response:
            assert response.status == 202, await response.text()
        tally.pairs.append((parent, child))
        await asyncio.sleep(PAIRS_EVERY)


async def run(aged: bool, seconds: float) -> tuple[Tally, StandInFleet, float, str]:
    """One flood; the fleet's clock is that of the waits."""
    fleet, tally = StandInFleet(WORKERS, SLOTS, SECONDS), Tally()
    discovery = await fleet.start()
    with run_daemon(operator(aged), discovery) as process:
        url = "http://{}:{}".format(*process.address("http"))
        await asyncio.to_thread(process.wait_for, "-> serving")
        connector = aiohttp.TCPConnector(limit=350)  # the daemon's share of descriptors for requests
        async with aiohttp.ClientSession(connector=connector) as session:
            loop = asyncio.get_running_loop()
            start = loop.time()
            until = start + seconds
            await asyncio.gather(
                flood(session, url, "label-check", until, tally),
                flood(session, url, "accession", until, tally),
                previews(session, url, seconds / 3, tally),
                pairs(session, url, until, tally),
            )
        last = await asyncio.to_thread(process.stop_and_read_summary)
    fleet.close()
    return tally, fleet, start, last


def report(
    aged: bool, tally: Tally, fleet: StandInFleet, seconds: float, start: float
) -> list[tuple[float, float]]:
    """Print the figures; returns each preview's hand-in time and wait."""
    began: dict[str, float] = {}
    ended: dict[str, float] = {}
    for r in sorted(fleet.runs, key=lambda r: r.began):
        began.setdefault(r.id.partition("~")[0], r.began)
        ended[r.id.partition("~")[0]] = r.ended
    end = start + seconds
    waits = [(t - start, min(began.get(id_, end), end) - t) for id_, t in tally.handed_in.items()]
    unbegun = sum(began.get(id_, end) >= end for id_ in tally.handed_in)
    early = sum(child in began and (parent not in ended or began[child] < ended[parent])
                for parent, child in tally.pairs)  # fmt: skip
    ran = sum(child in began for _, child in tally.pairs)
    print(f"{'with' if aged else 'without'} ageing: longest preview wait "
          f"{'' if not unbegun else 'over '}{max(w for _, w in waits):.1f} s, "
          f"{unbegun} of {PREVIEWS} not begun in {seconds:.0f} s; service of the flood "
          f"{tally.in_time / tally.asked:.3f}; {len(tally.pairs)} pairs, {ran} children ran, {early} early; "
          f"{tally.bad} answers late", flush=True)  # fmt: skip
    print("  " + ", ".join(f"{kind}: {n}" for kind, n in sorted(tally.kinds.items())), flush=True)
    return waits


def plot(path: Path, found: dict[bool, list[tuple[float, float]]], bound: float) -> None:
    """Waits over the time of hand-in."""
    import matplotlib  # type: ignore[import-not-found,unused-ignore]  # an extra

    matplotlib.use("Agg")
    from matplotlib import pyplot  # type: ignore[import-not-found,unused-ignore]

    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    for aged, mark in ((False, "x"), (True, "o")):
        label = "with ageing" if aged else "without ageing (cut off at the end of the flood)"
        axes.plot(*zip(*found[aged], strict=True), mark, markersize=4, label=label)
    axes.axhline(bound, color="black", linestyle="--", label=f"bound, {bound:.0f} s")
    axes.set(xlabel="handed in at (s)", ylabel="wait until a worker began it (s)", ylim=(0, None),
             title="Bulk previews under a flood of 1.5 times the capacity")  # fmt: skip
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main() -> None:
    """Both runs."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--plot", type=Path)
    options = parser.parse_args()
    bound = AGEING.max_release_wait_s(quiet=True)
    found = {}
    for aged in (True, False):
        tally, fleet, start, last = asyncio.run(run(aged, options.seconds))
        found[aged] = report(aged, tally, fleet, options.seconds, start)
        print("\n".join("  " + line.partition("last: ")[2] for line in last.splitlines()), flush=True)
    print(f"bound until a preview is asked: {bound:.1f} s, and its class's deadline of 10 s to be answered")
    if options.plot:
        plot(options.plot, found, bound)


if __name__ == "__main__":
    main()

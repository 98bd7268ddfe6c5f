"""Floods a daemon with accessions and label checks at 1.5 times its capacity, while bulk previews wait.

    python -m benchmarks.waiting_flood [--seconds 60] [--plot docs/design/waiting-waits.png]

There are two runs, with and without ageing. Each prints the longest wait of a preview until a worker started
it, to compare with the bound that follows from the settings; the share of the flood's worth that is served in
time; and, for pairs of a label check and an accession that depends on it, how many accessions started before
their label check had ended. The load is open-loop: a request's time counts from when it was due.
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
RUN_TIMES_S = {"label-check": 0.1, "accession": 0.4, "preview": 0.2}
OBJECTIVES_S = {
    "label-check": 0.8 + 2.0 * 0.1,
    "accession": 4.0 + 2.0 * 0.4,
}  # objective and stretch, as in the example
WORTH = {"label-check": 5.0, "accession": 8.0}
DEADLINES_S = {"label-check": 5.0, "accession": 25.0}
OVERLOAD = 1.5
PREVIEWS, PAIR_INTERVAL_S = 150, 1.0  # previews are submitted over the first third; one pair per interval
AGEING = WaitingSettings(max_jobs=400, age_limit_s=4.0, quiet_limit_s=8.0, aged_per_s=16.0)
NO_AGEING = (1_000.0, 2_000.0, 0.0001)  # the same settings, too long for anything to age within a run


@dataclass(slots=True)
class Tally:
    """The counts of one run."""

    worth_sent: float = 0.0
    worth_in_time: float = 0.0
    answers: Counter[str] = field(default_factory=Counter)
    submitted_at: dict[str, float] = field(default_factory=dict)  # time by id, of previews
    job_pairs: list[tuple[str, str]] = field(default_factory=list)
    late_answers: int = 0


def operator(aged: bool) -> str:
    """Return the operator file of a run."""
    s = AGEING
    limits = (s.age_limit_s, s.quiet_limit_s, s.aged_per_s) if aged else NO_AGEING
    names = ("age_limit_s", "quiet_limit_s", "aged_per_s")
    lines = [f"{name} = {value}" for name, value in zip(names, limits, strict=True)]
    return "\n".join(["[waiting]", f"max_jobs = {s.max_jobs}", *lines, "[waiting.classes.preview]",
                      "queueing = true", "quiet = true"])  # fmt: skip


async def send_flood(session: aiohttp.ClientSession, url: str, name: str, until: float, tally: Tally) -> None:
    """Send open-loop requests of one class, which make up half of the overload."""
    loop, rng = asyncio.get_running_loop(), random.Random(name)
    rate = OVERLOAD * WORKERS * SLOTS / RUN_TIMES_S[name] / 2
    due, number = loop.time(), 0
    tasks = []
    while (due := due + rng.expovariate(rate)) < until:
        await asyncio.sleep(max(due - loop.time(), 0.0))
        number += 1
        tasks.append(asyncio.create_task(send_request(session, url, name, f"{name}-{number}", due, tally)))
    await asyncio.gather(*tasks)


async def send_request(
    session: aiohttp.ClientSession, url: str, name: str, id_: str, due: float, tally: Tally
) -> None:
    """Send one request and await its answer."""
    loop = asyncio.get_running_loop()
    headers = {"Req-Id": id_, "Req-Kind": name, "Req-Deadline": f"{DEADLINES_S[name] * 1000:.0f}m"}
    tally.worth_sent += WORTH[name]
    async with session.post(f"{url}/{name}", data=b"x", headers=headers) as response:
        await response.read()
    tally.answers[f"{name} {response.status}"] += 1
    late = loop.time() - due
    tally.late_answers += late > DEADLINES_S[name] + 0.05
    if response.status == 200 and late <= OBJECTIVES_S[name]:
        tally.worth_in_time += WORTH[name]


async def submit_previews(session: aiohttp.ClientSession, url: str, span: float, tally: Tally) -> None:
    """Submit bulk previews as deferred jobs."""
    loop = asyncio.get_running_loop()
    for i in range(PREVIEWS):
        headers = {"Req-Id": f"bulk-{i}", "Wait-Patience": "3000000m"}
        async with session.post(f"{url}/jobs/preview", data=b"x", headers=headers) as response:
            assert response.status == 202, await response.text()
        tally.submitted_at[f"bulk-{i}"] = loop.time()
        await asyncio.sleep(span / PREVIEWS)


async def submit_job_pairs(session: aiohttp.ClientSession, url: str, until: float, tally: Tally) -> None:
    """Submit pairs of a label check and an accession that depends on it."""
    loop = asyncio.get_running_loop()
    number = 0
    while loop.time() < until:
        number += 1
        parent, child = f"check-{number}", f"file-{number}"
        follows = {"class": "accession", "id": child, "after": [parent]}
        jobs = [follows, {"class": "label-check", "id": parent}]
        async with session.post(f"{url}/jobs", json={"jobs": jobs}) as response:
            assert response.status == 202, await response.text()
        tally.job_pairs.append((parent, child))
        await asyncio.sleep(PAIR_INTERVAL_S)


async def run(aged: bool, seconds: float) -> tuple[Tally, StandInFleet, float, str]:
    """Run one flood; its times and those of the fleet are of the same clock."""
    fleet, tally = StandInFleet(WORKERS, SLOTS, RUN_TIMES_S), Tally()
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
                send_flood(session, url, "label-check", until, tally),
                send_flood(session, url, "accession", until, tally),
                submit_previews(session, url, seconds / 3, tally),
                submit_job_pairs(session, url, until, tally),
            )
        last = await asyncio.to_thread(process.stop_and_read_summary)
    fleet.close()
    return tally, fleet, start, last


def report(
    aged: bool, tally: Tally, fleet: StandInFleet, seconds: float, start: float
) -> list[tuple[float, float]]:
    """Print the figures; return the submission time and wait of each preview."""
    started_at: dict[str, float] = {}
    ended_at: dict[str, float] = {}
    for run_record in sorted(fleet.runs, key=lambda run_record: run_record.started_at):
        started_at.setdefault(run_record.id.partition("~")[0], run_record.started_at)
        ended_at[run_record.id.partition("~")[0]] = run_record.ended_at
    end = start + seconds
    waits = [(t - start, min(started_at.get(id_, end), end) - t) for id_, t in tally.submitted_at.items()]
    not_started = sum(started_at.get(id_, end) >= end for id_ in tally.submitted_at)
    early = sum(child in started_at and (parent not in ended_at or started_at[child] < ended_at[parent])
                for parent, child in tally.job_pairs)  # fmt: skip
    ran = sum(child in started_at for _, child in tally.job_pairs)
    print(f"{'with' if aged else 'without'} ageing: longest preview wait "
          f"{'' if not not_started else 'over '}{max(w for _, w in waits):.1f} s, "
          f"{not_started} of {PREVIEWS} not started in {seconds:.0f} s; service of the flood "
          f"{tally.worth_in_time / tally.worth_sent:.3f}; {len(tally.job_pairs)} pairs, "
          f"{ran} children ran, {early} early; "
          f"{tally.late_answers} answers late", flush=True)  # fmt: skip
    print("  " + ", ".join(f"{kind}: {n}" for kind, n in sorted(tally.answers.items())), flush=True)
    return waits


def plot(path: Path, waits: dict[bool, list[tuple[float, float]]], bound: float) -> None:
    """Plot the waits over the submission times."""
    import matplotlib  # type: ignore[import-not-found,unused-ignore]  # an extra

    matplotlib.use("Agg")
    from matplotlib import pyplot  # type: ignore[import-not-found,unused-ignore]

    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    for aged, mark in ((False, "x"), (True, "o")):
        label = "with ageing" if aged else "without ageing (cut off at the end of the flood)"
        axes.plot(*zip(*waits[aged], strict=True), mark, markersize=4, label=label)
    axes.axhline(bound, color="black", linestyle="--", label=f"bound, {bound:.0f} s")
    axes.set(xlabel="submitted at (s)", ylabel="wait until a worker started it (s)", ylim=(0, None),
             title="Bulk previews under a flood of 1.5 times the capacity")  # fmt: skip
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main() -> None:
    """Run with and without ageing, and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--plot", type=Path)
    options = parser.parse_args()
    bound = AGEING.max_release_wait_s(quiet=True)
    waits = {}
    for aged in (True, False):
        tally, fleet, start, last = asyncio.run(run(aged, options.seconds))
        waits[aged] = report(aged, tally, fleet, options.seconds, start)
        print("\n".join("  " + line.partition("last: ")[2] for line in last.splitlines()), flush=True)
    print(f"bound until a preview is sent: {bound:.1f} s, and its class's deadline of 10 s to be answered")
    if options.plot:
        plot(options.plot, waits, bound)


if __name__ == "__main__":
    main()

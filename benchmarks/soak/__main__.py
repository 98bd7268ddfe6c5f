"""Runs the soak test for some seeds and reports which of them broke a rule.

    python -m benchmarks.soak --seeds 50 [--first N] [--parallel P]
    python -m benchmarks.soak --seed N      # repeat one seed; prints its plan and the daemon's logs

The exit code is 1 if a seed failed. A run takes about 10 seconds; parallel runs need one free core each.
"""

from __future__ import annotations

import argparse
import sys
import time
from concurrent.futures import ProcessPoolExecutor

from .plan import draw_plan
from .run import Verdict, play

COMMAND = "python -m benchmarks.soak --seed"


def verdict_line(verdict: Verdict) -> str:
    """Return a line on a seed; if it failed, also its violations and the command that repeats it."""
    plan, observation = verdict.plan, verdict.observation
    answered = sum(exchange.answered_at is not None for exchange in observation.exchanges)
    peers = f"; {plan.hostile_form}" if plan.hostile_form else ""
    tables = [name for name in ("crowd", "durable", "membership", "gearman") if getattr(plan, name)]
    line = (
        f"seed {plan.seed}: {'FAILED' if verdict.violations else 'ok'}; {plan.ending.value}{peers}; "
        f"{len(observation.exchanges)} requests, {answered} answered, {len(observation.arrivals)} attempts"
        f"{''.join(f', {name}' for name in tables)}; lag {observation.max_lag_s:.3f} s"
        f", {max((p.peak_memory_mb for p in observation.processes), default=0.0):.0f} of {plan.memory_mb} MB"
    )
    if not verdict.violations:
        return line
    shown = [f"    {violation}" for violation in verdict.violations[:20]]
    return "\n".join([line, *shown, f"    again: {COMMAND} {plan.seed}"])


def play_seed(seed: int) -> tuple[bool, str]:
    """Run a seed; return whether it kept all rules, and the text to print."""
    try:
        verdict = play(draw_plan(seed))
    except Exception as error:  # the other seeds still run
        return (
            False,
            f"seed {seed}: FAILED\n    it could not be played: {error!r}\n    again: {COMMAND} {seed}",
        )
    return not verdict.violations, verdict_line(verdict)


def replay(seed: int) -> bool:
    """Run one seed, print its plan and logs, and return whether it kept all rules."""
    plan = draw_plan(seed)
    print(plan)
    verdict = play(plan)
    for process in verdict.observation.processes:
        print(process.log)
    print(verdict_line(verdict))
    return not verdict.violations


def play_seeds(first: int, count: int, parallel: int) -> bool:
    """Run several seeds and print each result; return whether all kept the rules."""
    begun_at = time.monotonic()
    failed = 0
    with ProcessPoolExecutor(parallel) as pool:
        for has_passed, text in pool.map(play_seed, range(first, first + count)):
            print(text, flush=True)
            failed += not has_passed
    print(f"{count} seeds, {failed} failed, {time.monotonic() - begun_at:.0f} s")
    return not failed


def main() -> None:
    """Run the command and exit."""
    parser = argparse.ArgumentParser(description="Seeded soak test of real daemon processes.")
    parser.add_argument("--seeds", type=int, default=50, help="how many seeds")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seed", type=int, help="repeat one seed, with its plan and logs")
    parser.add_argument("--parallel", type=int, default=1)
    arguments = parser.parse_args()
    if arguments.seed is not None:
        has_passed = replay(arguments.seed)
    else:
        has_passed = play_seeds(arguments.first, arguments.seeds, arguments.parallel)
    sys.exit(0 if has_passed else 1)


if __name__ == "__main__":
    main()

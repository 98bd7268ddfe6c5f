"""Plays seeds, each a real process under faults, and says which broke a rule.

    python -m benchmarks.soak --seeds 50 [--first N] [--parallel P]
    python -m benchmarks.soak --seed N      # one seed again, with its plan and the program's log

Exit code 1 if a seed failed. A run takes some 10 seconds; several at once need as many free cores.
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
    """One line on a seed that kept all rules, more on one that did not."""
    plan, observation = verdict.plan, verdict.observation
    answered = sum(exchange.answered_at is not None for exchange in observation.exchanges)
    tables = [name for name in ("crowd", "durable", "membership", "gearman") if getattr(plan, name)]
    line = (
        f"seed {plan.seed}: {'FAILED' if verdict.violations else 'ok'}; {plan.ending.value}; "
        f"{len(observation.exchanges)} requests, {answered} answered, {len(observation.arrivals)} attempts"
        f"{''.join(f', {name}' for name in tables)}; lag {observation.max_lag_s:.3f} s"
    )
    if not verdict.violations:
        return line
    shown = [f"    {violation}" for violation in verdict.violations[:20]]
    return "\n".join([line, *shown, f"    again: {COMMAND} {plan.seed}"])


def play_seed(seed: int) -> tuple[bool, str]:
    """Whether a seed kept all rules, and what to print of it."""
    try:
        verdict = play(draw_plan(seed))
    except Exception as error:  # the other seeds go on
        return (
            False,
            f"seed {seed}: FAILED\n    it could not be played: {error!r}\n    again: {COMMAND} {seed}",
        )
    return not verdict.violations, verdict_line(verdict)


def replay(seed: int) -> bool:
    """One seed with all that is known of it."""
    plan = draw_plan(seed)
    print(plan)
    verdict = play(plan)
    for process in verdict.observation.processes:
        print(process.log)
    print(verdict_line(verdict))
    return not verdict.violations


def play_seeds(first: int, count: int, parallel: int) -> bool:
    """Several seeds; prints each as it ends."""
    begun_at = time.monotonic()
    failed = 0
    with ProcessPoolExecutor(parallel) as pool:
        for has_passed, text in pool.map(play_seed, range(first, first + count)):
            print(text, flush=True)
            failed += not has_passed
    print(f"{count} seeds, {failed} failed, {time.monotonic() - begun_at:.0f} s")
    return not failed


def main() -> None:
    """The command."""
    parser = argparse.ArgumentParser(description="Seeded soak of real processes.")
    parser.add_argument("--seeds", type=int, default=50, help="how many seeds")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seed", type=int, help="one seed again")
    parser.add_argument("--parallel", type=int, default=1)
    arguments = parser.parse_args()
    if arguments.seed is not None:
        has_passed = replay(arguments.seed)
    else:
        has_passed = play_seeds(arguments.first, arguments.seeds, arguments.parallel)
    sys.exit(0 if has_passed else 1)


if __name__ == "__main__":
    main()

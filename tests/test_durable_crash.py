"""A short run of the crash audit in benchmarks/durable_crash.py: real processes, killed with SIGKILL."""

from __future__ import annotations

import asyncio

from benchmarks.durable_crash import JOBS, play


def test_no_non_idempotent_job_runs_twice_and_each_job_has_one_answer() -> None:
    jobs, ends, _, faults = asyncio.run(play(runs=2, seed=7, broken=False))
    assert faults == [] and jobs == 2 * 2 * JOBS == sum(ends.values())


def test_audit_detects_lease_recorded_after_send() -> None:
    for seed in range(100, 110):  # most seeds show the fault; which ones depends on the machine
        *_, faults = asyncio.run(play(runs=1, seed=seed, broken=True))
        if any("ran" in fault and "times" in fault for fault in faults):
            return
    raise AssertionError("the audit found no double run in ten runs with the fault")

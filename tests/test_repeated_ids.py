"""A request id that comes again: the work runs again only where its class allows that.

The scheduler's subsystems on real sockets with a virtual clock; the worker counts the requests that reach it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from scheduler_harness import (
    SETTINGS,
    SchedulerHarness,
    disconnect,
    request_bytes,
    run_loop_iterations,
    run_scenario,
)

Scenario = Callable[[SchedulerHarness], Awaitable[None]]
SINGLE_SHOT = "accession"
WINDOW_S = 4.0
LATER_S = 0.5


def _guarded_lanes() -> list[dict[str, object]]:
    """Return the test's classes with `accession` deduplicated by all workers for `WINDOW_S`."""
    guarded = {"semantics": "guarded", "group": "all", "memorySpan": WINDOW_S * 1000}
    return [lane | guarded if lane["name"] == SINGLE_SHOT else lane for lane in SETTINGS["lanes"]]


async def _send(harness: SchedulerHarness, job_class: str = SINGLE_SHOT) -> bytes:
    """Send the request `a1` on a new connection; return what arrives within a moment."""
    client = harness.connect()
    client.sendall(request_bytes(job_class))
    await run_loop_iterations()
    await asyncio.sleep(0.05)  # the last byte of a class that must not run twice is sent 10 ms later
    return await harness.read_available(client)


async def _send_and_leave(harness: SchedulerHarness, manner: str) -> None:
    """Send `a1`, and disconnect once the worker has it."""
    harness.worker.answers_requests = False
    assert await _send(harness) == b""
    assert harness.worker.complete_requests == 1
    disconnect(harness.clients[-1], manner)
    await run_loop_iterations()
    harness.worker.answers_requests = True


@pytest.mark.parametrize("manner", ["close", "half", "reset"])
@pytest.mark.parametrize("later_s", [0.0, LATER_S, 30.0])
def test_id_whose_client_left_does_not_run_again(tmp_path: Path, manner: str, later_s: float) -> None:
    # Guards against an id that runs twice when it comes again after its client has left (issue 56).
    async def scenario(harness: SchedulerHarness) -> None:
        await _send_and_leave(harness, manner)
        await asyncio.sleep(later_s)
        assert (await _send(harness)).startswith(b"HTTP/1.1 502")
        assert harness.worker.complete_requests == 1

    run_scenario(tmp_path, scenario, starts=True)


@pytest.mark.parametrize("later_s", [0.0, LATER_S, 30.0])
def test_id_that_was_answered_does_not_run_again(tmp_path: Path, later_s: float) -> None:
    # Guards against an id that runs twice when it comes again after its answer (issue 56).
    async def scenario(harness: SchedulerHarness) -> None:
        assert (await _send(harness)).startswith(b"HTTP/1.1 200")
        await asyncio.sleep(later_s)
        assert (await _send(harness)).startswith(b"HTTP/1.1 502")
        assert harness.worker.complete_requests == 1

    run_scenario(tmp_path, scenario, starts=True)


@pytest.mark.parametrize(("later_s", "runs"), [(LATER_S, 2), (WINDOW_S + LATER_S, 1)])
def test_id_of_a_deduplicated_class_runs_again_only_within_its_window(
    tmp_path: Path, later_s: float, runs: int
) -> None:
    # Guards against a repeat that the workers no longer recognize, and against a refusal of a harmless one.
    async def scenario(harness: SchedulerHarness) -> None:
        await _send_and_leave(harness, "close")
        await asyncio.sleep(later_s)
        status = b"200" if runs == 2 else b"502"
        assert (await _send(harness)).startswith(b"HTTP/1.1 " + status)
        assert harness.worker.complete_requests == runs

    run_scenario(tmp_path, scenario, starts=True, lanes=_guarded_lanes())


def test_id_of_an_idempotent_class_may_run_again(tmp_path: Path) -> None:
    # Guards against a harmless repeat that is refused.
    async def scenario(harness: SchedulerHarness) -> None:
        assert (await _send(harness, "preview")).startswith(b"HTTP/1.1 200")
        assert (await _send(harness, "preview")).startswith(b"HTTP/1.1 200")

    run_scenario(tmp_path, scenario, starts=True)


def test_id_that_never_ran_may_come_again(tmp_path: Path) -> None:
    # Guards against a harmless repeat that is refused.
    async def scenario(harness: SchedulerHarness) -> None:
        harness.worker.remaining_rejections = 100
        assert (await _send(harness))[:12] in (b"HTTP/1.1 503", b"")
        await asyncio.sleep(10.0)  # past the deadline of the first request
        harness.worker.remaining_rejections = 0
        assert (await _send(harness)).startswith(b"HTTP/1.1 200")

    run_scenario(tmp_path, scenario, starts=True)

"""What a client connection holds: while it waits, when others need the memory, and after its end."""

from __future__ import annotations

import asyncio
import gc
import socket
from pathlib import Path

import pytest
from scheduler_harness import SchedulerHarness, disconnect, request_bytes, run_loop_iterations, run_scenario

from oxbowyard.clients.connection import Connection
from oxbowyard.clients.limits import MAX_BODY_BYTES, MAX_PIPELINED_BYTES
from oxbowyard.clients.memory_costs import BODY_COPIES, OPEN_REQUEST_BYTES
from oxbowyard.core.memory_budget import Holder, MemoryBudget
from oxbowyard.daemon import memory
from oxbowyard.daemon.memory import MIN_BUDGET_BYTES, USABLE_SHARE, MemoryWatch, budget_bytes
from oxbowyard.daemon.units import BYTES_PER_MB

PIPELINED = request_bytes("preview") + b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n" * 6000
ENDINGS = {
    "answered": request_bytes("preview"),
    "malformed": b"GARBAGE\r\n\r\n",
    "incomplete": b"POST /pre",
    "pipelined": PIPELINED,
    "half a body": request_bytes("preview")[:-2],
}


async def _send(harness: SchedulerHarness, data: bytes) -> socket.socket:
    """Send data on a new connection for as long as the scheduler reads it."""
    client = harness.connect()
    client.setblocking(False)
    while data:
        try:
            data = data[client.send(data) :]
        except (BlockingIOError, ConnectionError):
            break
        await run_loop_iterations(20)
    await run_loop_iterations()
    return client


def _connections() -> list[Connection]:
    return [thing for thing in gc.get_objects() if type(thing) is Connection]


@pytest.mark.parametrize("answers", [True, False])
@pytest.mark.parametrize("stays_s", [0.0, 3.0])
@pytest.mark.parametrize("ending", ENDINGS)
def test_closed_connection_is_freed_without_the_garbage_collector(
    tmp_path: Path, ending: str, answers: bool, stays_s: float
) -> None:
    # Guards against closed connections that pile up until a full collection (issue 56).
    async def scenario(harness: SchedulerHarness) -> None:
        harness.worker.answers_requests = answers
        gc.collect()
        gc.disable()
        try:
            client = await _send(harness, ENDINGS[ending])
            await harness.read_available(client)
            await asyncio.sleep(stays_s)
            await run_loop_iterations()
            disconnect(client, "close")
            await run_loop_iterations()
            await asyncio.sleep(3.0)
            await run_loop_iterations()
            assert _connections() == []
            assert harness.subsystems.memory.used_by[Holder.CONNECTIONS] == 0
        finally:
            gc.enable()

    run_scenario(tmp_path, scenario, starts=True)


def test_requests_behind_one_that_is_answered_are_not_parsed(tmp_path: Path) -> None:
    # Guards against parsed requests that wait by the dozen on each connection (issue 56).
    async def scenario(harness: SchedulerHarness) -> None:
        harness.worker.answers_requests = False
        await _send(harness, PIPELINED[: MAX_PIPELINED_BYTES // 2])
        (connection,) = harness.client_connections._open
        assert len(connection._messages) == 0 and connection._request_count == 1
        held = harness.subsystems.memory.used_by[Holder.CONNECTIONS]
        assert MAX_PIPELINED_BYTES // 4 < held < MAX_PIPELINED_BYTES

    run_scenario(tmp_path, scenario, starts=True)


def test_client_that_costs_most_and_is_owed_nothing_gives_way(tmp_path: Path) -> None:
    # Guards against half-sent bodies that turn ordinary requests away or push out taken ones (issue 56).
    async def scenario(harness: SchedulerHarness) -> None:
        memory = harness.subsystems.memory
        harness.worker.answers_requests = False
        taken = await _send(harness, request_bytes("preview", "taken", "x" * MAX_BODY_BYTES))
        half = await _send(harness, request_bytes("preview", "half", "x" * MAX_BODY_BYTES)[:-9])
        assert memory.used_by[Holder.REQUESTS] == 2 * (OPEN_REQUEST_BYTES + BODY_COPIES * MAX_BODY_BYTES)
        memory.limit_bytes = memory.used_bytes
        harness.worker.answers_requests = True
        ordinary = await _send(harness, request_bytes("preview", "ordinary"))
        await asyncio.sleep(0.05)
        assert (await harness.read_available(ordinary)).startswith(b"HTTP/1.1 200")
        refusal = await harness.read_available(half)
        assert refusal.startswith(b"HTTP/1.1 503") and b"Retry-After" in refusal
        harness.worker.respond(0)
        assert (await harness.read_available(taken)).startswith(b"HTTP/1.1 200")
        assert harness.client_connections.counts["gave way for memory"] == 1

    run_scenario(tmp_path, scenario, starts=True)


@pytest.mark.parametrize("memory_mb", [40, 96, 192, 2048])
def test_budget_is_what_the_limit_leaves(memory_mb: int) -> None:
    rest, files = 39 * BYTES_PER_MB, 5 * BYTES_PER_MB
    alone = budget_bytes(memory_mb, rest, files)
    assert alone >= MIN_BUDGET_BYTES
    assert alone == MIN_BUDGET_BYTES or alone + rest + files <= USABLE_SHARE * memory_mb * BYTES_PER_MB
    beside = budget_bytes(memory_mb, rest, files, processes=2)
    assert (
        beside == MIN_BUDGET_BYTES or 2 * (beside + rest) + files <= USABLE_SHARE * memory_mb * BYTES_PER_MB
    )


def test_memory_is_logged_and_reported_before_it_is_critical(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a process that is killed for its memory without a line that says who held it (issue 56).
    resident = [40 * BYTES_PER_MB]
    monkeypatch.setattr(memory, "resident_bytes", lambda: resident[0])
    (tmp_path / "file").write_bytes(b"x" * BYTES_PER_MB)
    budget = MemoryBudget(BYTES_PER_MB)
    watch = MemoryWatch(100, budget, tmp_path, lambda: False)
    watch.check(0.0)
    assert budget.limit_bytes == budget_bytes(100, resident[0], BYTES_PER_MB)
    budget.open(Holder.ANSWERS).resize(5 * BYTES_PER_MB)
    for now, size_mb in ((1.0, 76), (2.0, 77), (12.0, 95)):
        resident[0] = size_mb * BYTES_PER_MB
        watch.check(now)
    lines = [(record.levelname, record.message) for record in caplog.records]
    assert [level for level, _ in lines] == ["WARNING", "CRITICAL"]
    assert all("answers 5.0" in text for _, text in lines)
    figures = watch.figures()
    assert figures["resident_bytes"] == 95 * BYTES_PER_MB and figures["held_bytes"] == 5 * BYTES_PER_MB


@pytest.mark.parametrize(("waited_s", "status"), [(0.0, b"200"), (3.0, b"200"), (9.5, b"503")])
def test_time_that_a_request_waits_to_be_parsed_is_the_clients(
    tmp_path: Path, waited_s: float, status: bytes
) -> None:
    # Guards against a deadline for the worker beyond what the client has left (issue 56).
    async def scenario(harness: SchedulerHarness) -> None:
        queue = harness.subsystems.input_queue
        submitted: list[Connection] = []
        submit = queue.submit
        queue.submit = submitted.append  # type: ignore[method-assign, assignment]
        client = await _send(harness, request_bytes("preview", deadline_s=9.0))
        await asyncio.sleep(waited_s)
        queue.submit = submit  # type: ignore[method-assign]
        queue.submit(submitted[0])
        await run_loop_iterations()
        assert (await harness.read_available(client))[9:12] == status
        if status == b"200":
            sent = bytes(harness.worker.received[0])
            assert int(sent.partition(b"Req-Deadline: ")[2].partition(b"m")[0]) <= 1000 * (9.0 - waited_s)

    run_scenario(tmp_path, scenario, starts=True)

"""A waiting request is not sent to a worker after its client has disconnected, on both fronts.

The disconnect and the event that lets the request proceed happen in the same iteration of the loop, as after
a stall: the loop could send the request before it reads the disconnect. With `ahead`, the client also sends
pipelined requests, up to more than the scheduler reads in advance.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from scheduler_harness import (
    SETTINGS,
    SchedulerHarness,
    disconnect,
    request_bytes,
    run_loop_iterations,
    run_scenario,
)

from oxbowyard.core.request import AttemptContext, Request
from oxbowyard.decision.facade import Result
from oxbowyard.gearman.codec import REQUEST_MAGIC, encode
from oxbowyard.gearman.packet_types import PacketType
from oxbowyard.waiting.settings import WaitingSettings

MANNERS = pytest.mark.parametrize("manner", ["close", "half", "reset"])
# Bytes of pipelined requests; 200 small requests pause reading.
AHEAD = pytest.mark.parametrize("ahead", [0, 200, 400_000])
CLASSES = pytest.mark.parametrize("job_class", ["preview", "accession"])
DETECT_DISCONNECT_S = 0.1  # the protocol's bound: no attempt may begin later than this after the close
LOOP_STALL_S = 0.05  # a stall of the loop within that bound; detection must need no more than the rest
SLOW_CONNECT_S = 1.5  # duration of a slow connect to a worker


async def _send_request(
    harness: SchedulerHarness, job_class: str, ahead: int
) -> tuple[object, Callable[[str], None]]:
    """Send a request and pipelined ones; return the client and a function that disconnects it."""
    client = harness.connect()
    client.setblocking(False)
    body = "x" * min(50_000, max(ahead // 200, 1))
    text = request_bytes(job_class) + request_bytes("preview", "b1", body) * (ahead // len(body))
    while text:
        try:
            text = text[client.send(text) :]
        except BlockingIOError:
            break  # the scheduler does not read any more
        await run_loop_iterations(20)
    await run_loop_iterations()
    return client, lambda manner: disconnect(client, manner)


async def _assert_not_sent(harness: SchedulerHarness, complete_requests: int = 0) -> None:
    """Assert that from the bound on the request is not open and no further byte reaches a worker."""
    await run_loop_iterations()
    await asyncio.sleep(DETECT_DISCONNECT_S - LOOP_STALL_S)
    await run_loop_iterations()
    assert harness.scheduler.open_request_count == 0, "the request is still open"
    sent = harness.worker.received_bytes
    await asyncio.sleep(3.0)
    await run_loop_iterations()
    assert harness.worker.complete_requests == complete_requests, (
        "a request was sent to a worker after its client had disconnected"
    )
    assert harness.worker.received_bytes == sent, "an attempt was begun or continued after the disconnect"


@MANNERS
@AHEAD
@CLASSES
def test_queued_request_is_dropped_when_its_client_disconnects(
    tmp_path: Path, manner: str, ahead: int, job_class: str
) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start(listed=False)
        _, disconnect_client = await _send_request(harness, job_class, ahead)
        assert harness.scheduler.open_request_count == 1
        disconnect_client(manner)
        harness.publish_endpoints()
        await _assert_not_sent(harness)

    run_scenario(tmp_path, scenario)


@MANNERS
@AHEAD
@CLASSES
def test_request_is_dropped_when_its_client_disconnects_during_connect(
    tmp_path: Path, manner: str, ahead: int, job_class: str
) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        harness.loop.connects_allowed.clear()
        _, disconnect_client = await _send_request(harness, job_class, ahead)
        assert harness.loop.connect_count == 1
        disconnect_client(manner)
        harness.loop.connects_allowed.set()
        await _assert_not_sent(harness)

    run_scenario(tmp_path, scenario)


@MANNERS
@AHEAD
@CLASSES
def test_rejected_request_is_not_retried_after_its_client_disconnects(
    tmp_path: Path, manner: str, ahead: int, job_class: str
) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        harness.worker.remaining_rejections = 1
        harness.loop.connects_allowed.clear()
        _, disconnect_client = await _send_request(harness, job_class, ahead)
        harness.worker.on_rejection.append(lambda: disconnect_client(manner))
        harness.loop.connects_allowed.set()
        await _assert_not_sent(harness, complete_requests=1)  # the rejected one

    run_scenario(tmp_path, scenario)


@MANNERS
@AHEAD
def test_non_idempotent_request_is_not_finished_if_its_client_disconnects_before_the_last_byte(
    tmp_path: Path, manner: str, ahead: int
) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        harness.loop.connects_allowed.clear()
        _, disconnect_client = await _send_request(harness, "accession", ahead)
        harness.loop.connects_allowed.set()
        while not harness.worker.received or not harness.worker.received[0].endswith(b"hell"):
            await asyncio.sleep(0)
        disconnect_client(manner)
        harness.loop._now += (
            0.3  # the loop stalls, so the last byte is due in the same iteration as the disconnect
        )
        await _assert_not_sent(harness)

    run_scenario(tmp_path, scenario)


@MANNERS
@CLASSES
def test_request_is_dropped_when_its_client_disconnects_before_accept(
    tmp_path: Path, manner: str, job_class: str
) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        client = harness.connect()
        client.sendall(request_bytes(job_class))
        disconnect(client, manner)
        await _assert_not_sent(harness)

    run_scenario(tmp_path, scenario)


REQUESTS_PER_MOVE = 6  # completed requests that allow the decisions to move one
SLOW_CONNECT_CHANGES: dict[str, Any] = {
    "policyLimits": {**SETTINGS["policyLimits"], "connectTimeout": 2000.0}
}


@MANNERS
@AHEAD
@CLASSES
def test_request_is_dropped_in_time_when_its_client_disconnects_during_a_slow_connect(
    tmp_path: Path, manner: str, ahead: int, job_class: str
) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        harness.loop.connects_allowed.clear()
        _, disconnect_client = await _send_request(harness, job_class, ahead)
        harness.loop.call_later(SLOW_CONNECT_S, harness.loop.connects_allowed.set)
        await asyncio.sleep(0.101)  # just after a check, if the connection were polled every 0.1 s
        disconnect_client(manner)
        await _assert_not_sent(harness)

    run_scenario(tmp_path, scenario, **SLOW_CONNECT_CHANGES)


@MANNERS
@AHEAD
@CLASSES
def test_retry_is_dropped_in_time_when_its_client_disconnects_during_a_slow_connect(
    tmp_path: Path, manner: str, ahead: int, job_class: str
) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start(names=("w1", "w2"))
        harness.worker.remaining_rejections = 1
        harness.worker.on_rejection.append(harness.loop.connects_allowed.clear)
        _, disconnect_client = await _send_request(harness, job_class, ahead)
        while harness.loop.connect_count < 2:
            await asyncio.sleep(0.001)
        harness.loop.call_later(SLOW_CONNECT_S, harness.loop.connects_allowed.set)
        disconnect_client(manner)
        await _assert_not_sent(harness, complete_requests=1)  # the rejected one

    run_scenario(tmp_path, scenario, **SLOW_CONNECT_CHANGES)


@MANNERS
@AHEAD
def test_moved_attempt_is_dropped_in_time_when_its_client_disconnects_during_a_slow_connect(
    tmp_path: Path, manner: str, ahead: int
) -> None:
    """The first worker does not start the request, so the decisions move it to the other one."""

    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start(names=("w1", "w2"))
        for number in range(REQUESTS_PER_MOVE):
            client = harness.connect()
            client.sendall(request_bytes("preview", f"c{number}"))
            assert b" 200 OK" in await harness.read_available(client)
        harness.worker.answers_requests = False
        _, disconnect_client = await _send_request(harness, "preview", ahead)
        harness.loop.connects_allowed.clear()
        while harness.loop.connect_count <= REQUESTS_PER_MOVE + 1:
            await asyncio.sleep(0.01)
        harness.loop.call_later(SLOW_CONNECT_S, harness.loop.connects_allowed.set)
        disconnect_client(manner)
        # The count includes the request that the first worker never started.
        await _assert_not_sent(harness, complete_requests=REQUESTS_PER_MOVE + 1)

    run_scenario(tmp_path, scenario, **SLOW_CONNECT_CHANGES)


@MANNERS
@AHEAD
def test_no_byte_of_a_non_idempotent_request_is_sent_if_its_client_disconnects_during_connect(
    tmp_path: Path, manner: str, ahead: int
) -> None:
    """The worker's connection opens in the iteration of the disconnect; not even a part may be sent."""

    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        harness.loop.connects_allowed.clear()
        _, disconnect_client = await _send_request(harness, "accession", ahead)
        disconnect_client(manner)
        harness.loop._now += DETECT_DISCONNECT_S
        harness.loop.connects_allowed.set()
        await _assert_not_sent(harness)
        assert harness.worker.received_bytes == 0, "a part of the request was sent"

    run_scenario(tmp_path, scenario)


@MANNERS
def test_idle_connection_is_closed_when_its_client_disconnects(tmp_path: Path, manner: str) -> None:
    """Guards against leaked descriptors of connections without a request, or whose last one was answered."""

    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        silent, keep_alive = harness.connect(), harness.connect()
        keep_alive.sendall(request_bytes("preview"))
        assert b" 200 OK" in await harness.read_available(keep_alive)
        assert len(harness.client_connections._open) == 2
        for client in (silent, keep_alive):
            disconnect(client, manner)
        await asyncio.sleep(DETECT_DISCONNECT_S - LOOP_STALL_S)
        assert not harness.client_connections._open

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("stays_connected", [True, False])
def test_attempt_is_sent_after_its_lease_is_recorded_only_if_its_client_is_connected(
    tmp_path: Path, stays_connected: bool
) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        connected, granted = [True], []
        context = AttemptContext(5.0, lambda: None)
        request = Request(
            "a1", "accession", 5.0, "/accession", b"hello",
            record_lease=lambda backend, then: granted.append(then), client_connected=lambda: connected[0],
        )  # fmt: skip
        attempt = asyncio.create_task(harness.subsystems.backends.attempt("w1", request, context))
        while not granted:
            await asyncio.sleep(0.001)
        connected[0] = stays_connected
        granted[0]()
        ending = await attempt
        assert ending.result is (Result.OK if stays_connected else Result.NOT_SENT)
        assert (
            harness.worker.complete_requests == stays_connected
            and context.is_last_byte_written is stays_connected
        )

    run_scenario(tmp_path, scenario)


@AHEAD
def test_client_that_stays_connected_is_served(tmp_path: Path, ahead: int) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        client, _ = await _send_request(harness, "accession", ahead)
        await asyncio.sleep(1.0)
        assert b" 200 OK" in await harness.read_available(client)  # type: ignore[arg-type]
        assert harness.worker.complete_requests >= 1

    run_scenario(tmp_path, scenario)


# ---- Gearman ----


def _packet(type_: PacketType, *arguments: bytes) -> bytes:
    return encode(type_, *arguments, magic=REQUEST_MAGIC)


@MANNERS
@pytest.mark.parametrize("asleep", [True, False])
@pytest.mark.parametrize("waiting", [None, WaitingSettings()])
def test_gearman_job_is_not_assigned_after_its_client_disconnects(
    tmp_path: Path, manner: str, asleep: bool, waiting: WaitingSettings | None
) -> None:
    """The worker requests a job in the iteration of the disconnect, and is read first."""

    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start(listed=False)
        worker, client = harness.connect("gearman"), harness.connect("gearman")
        worker.sendall(_packet(PacketType.CAN_DO, b"file_specimen") + _packet(PacketType.PRE_SLEEP))
        await run_loop_iterations()
        client.sendall(_packet(PacketType.SUBMIT_JOB, b"file_specimen", b"u1", b"sheet"))
        assert encode(PacketType.NOOP) in await harness.read_available(worker)
        if asleep:
            worker.sendall(_packet(PacketType.PRE_SLEEP))
            await harness.read_available(worker)
        worker.sendall(_packet(PacketType.GRAB_JOB))
        disconnect(client, manner)
        assert await harness.read_available(worker) == encode(PacketType.NO_JOB)
        await asyncio.sleep(1.0)
        assert harness.scheduler.open_request_count == 0

    run_scenario(tmp_path, scenario, waiting)


@MANNERS
def test_deferred_gearman_job_ends_when_its_client_disconnects(tmp_path: Path, manner: str) -> None:
    """The job waits for a first worker, which registers in the iteration of the disconnect."""

    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start(listed=False)
        worker, client = harness.connect("gearman"), harness.connect("gearman")
        await run_loop_iterations()
        client.sendall(_packet(PacketType.SUBMIT_JOB, b"file_specimen", b"u1", b"sheet"))
        await run_loop_iterations()
        worker.sendall(_packet(PacketType.CAN_DO, b"file_specimen") + _packet(PacketType.GRAB_JOB))
        disconnect(client, manner)
        got = await harness.read_available(worker)
        for _ in range(20):
            await asyncio.sleep(0.1)
            worker.setblocking(True)
            worker.sendall(_packet(PacketType.GRAB_JOB))
            got += await harness.read_available(worker)
        assert got == encode(PacketType.NO_JOB) * 21
        assert harness.scheduler.open_request_count == 0

    run_scenario(tmp_path, scenario, WaitingSettings())


@MANNERS
def test_background_gearman_job_is_assigned_after_its_client_disconnects(tmp_path: Path, manner: str) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start(listed=False)
        worker, client = harness.connect("gearman"), harness.connect("gearman")
        worker.sendall(_packet(PacketType.CAN_DO, b"file_specimen") + _packet(PacketType.PRE_SLEEP))
        await run_loop_iterations()
        client.sendall(_packet(PacketType.SUBMIT_JOB_BG, b"file_specimen", b"u1", b"sheet"))
        await harness.read_available(worker)
        worker.sendall(_packet(PacketType.GRAB_JOB))
        disconnect(client, manner)
        got = await harness.read_available(worker)
        assert got.startswith(b"\0RES\0\0\0\x0b") and got.endswith(b"sheet")
        handle = got[12:].split(b"\0")[0]
        worker.sendall(_packet(PacketType.WORK_COMPLETE, handle, b"filed"))
        await run_loop_iterations()

    run_scenario(tmp_path, scenario)

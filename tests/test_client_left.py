"""A request whose client left while it waited is not sent on, wherever it waits, on both fronts.

The client's end and what lets the request go on come in one turn of the loop, as on a loop that was held up:
the loop has not read the end when it could send. `ahead` has the client send more than may come ahead.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from scheduler_harness import SETTINGS, GatedConnectLoop, SchedulerHarness, leave, request_bytes, turns

from oxbowyard.core.request import AttemptContext, Request
from oxbowyard.decision.facade import Result
from oxbowyard.gearman.codec import REQUEST_MAGIC, encode
from oxbowyard.gearman.packet_types import PacketType
from oxbowyard.waiting.settings import WaitingSettings

MANNERS = pytest.mark.parametrize("manner", ["close", "half", "reset"])
AHEAD = pytest.mark.parametrize("ahead", [0, 200, 400_000])  # bytes; 200 small requests pause reading
CLASSES = pytest.mark.parametrize("job_class", ["preview", "accession"])
GONE_WITHIN_S = 0.1  # the protocol's bound: an attempt that begins later than this after the close is a fault
HELD_UP_S = 0.05  # of it, the loop may do something else: what is left has to do
LATE_CONNECT_S = 1.5  # so long a worker's connection may take to come up


def play(
    tmp_path: Path,
    scene: Callable[[SchedulerHarness], Awaitable[None]],
    waiting: WaitingSettings | None = None,
    **changes: Any,
) -> None:
    async def whole() -> None:
        stage = SchedulerHarness(tmp_path, waiting, **changes)
        try:
            async with asyncio.timeout(120.0):
                await scene(stage)
        finally:
            await stage.end()

    with asyncio.Runner(loop_factory=GatedConnectLoop) as runner:
        runner.run(whole())


async def _asked(stage: SchedulerHarness, job_class: str, ahead: int) -> tuple[object, Callable[[str], None]]:
    """A client whose request was taken, and perhaps more that it sent on at once."""
    client = stage.client()
    client.setblocking(False)
    body = "x" * min(50_000, max(ahead // 200, 1))
    text = request_bytes(job_class) + request_bytes("preview", "b1", body) * (ahead // len(body))
    while text:
        try:
            text = text[client.send(text) :]
        except BlockingIOError:
            break  # it is not read any more
        await turns(20)
    await turns()
    return client, lambda manner: leave(client, manner)


async def _nothing_runs(stage: SchedulerHarness, ran: int = 0) -> None:
    """From the bound on the request is not open any more, and no byte of it reaches the worker."""
    await turns()
    await asyncio.sleep(GONE_WITHIN_S - HELD_UP_S)
    await turns()
    assert stage.scheduler.open_request_count == 0, "it is still held"
    sent = stage.worker.bytes_got
    await asyncio.sleep(3.0)
    await turns()
    assert stage.worker.ran == ran, "sent on though its client had left"
    assert stage.worker.bytes_got == sent, "an attempt began, or went on"


@MANNERS
@AHEAD
@CLASSES
def test_queued_request_is_dropped_when_its_client_disconnects(
    tmp_path: Path, manner: str, ahead: int, job_class: str
) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin(listed=False)
        _, left = await _asked(stage, job_class, ahead)
        assert stage.scheduler.open_request_count == 1
        left(manner)
        stage.list()
        await _nothing_runs(stage)

    play(tmp_path, scene)


@MANNERS
@AHEAD
@CLASSES
def test_request_is_dropped_when_its_client_disconnects_during_connect(
    tmp_path: Path, manner: str, ahead: int, job_class: str
) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        stage.loop.way.clear()
        _, left = await _asked(stage, job_class, ahead)
        assert stage.loop.connecting == 1
        left(manner)
        stage.loop.way.set()
        await _nothing_runs(stage)

    play(tmp_path, scene)


@MANNERS
@AHEAD
@CLASSES
def test_rejected_request_is_not_retried_after_its_client_disconnects(
    tmp_path: Path, manner: str, ahead: int, job_class: str
) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        stage.worker.decline = 1
        stage.loop.way.clear()
        _, left = await _asked(stage, job_class, ahead)
        stage.worker.on_decline.append(lambda: left(manner))
        stage.loop.way.set()
        await _nothing_runs(stage, ran=1)  # the one that was turned away

    play(tmp_path, scene)


@MANNERS
@AHEAD
def test_non_idempotent_request_is_not_finished_if_its_client_disconnects_before_the_last_byte(
    tmp_path: Path, manner: str, ahead: int
) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        stage.loop.way.clear()
        _, left = await _asked(stage, "accession", ahead)
        stage.loop.way.set()
        while not stage.worker.got or not stage.worker.got[0].endswith(b"hell"):
            await asyncio.sleep(0)
        left(manner)
        stage.loop._now += 0.3  # the loop stands still: the time of the last byte comes with the end
        await _nothing_runs(stage)

    play(tmp_path, scene)


@MANNERS
@CLASSES
def test_request_is_dropped_when_its_client_disconnects_before_accept(
    tmp_path: Path, manner: str, job_class: str
) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        client = stage.client()
        client.sendall(request_bytes(job_class))
        leave(client, manner)
        await _nothing_runs(stage)

    play(tmp_path, scene)


MOVE_EARNED = 6  # requests after which the decisions may move one
SLOW_CONNECTS: dict[str, Any] = {"policyLimits": {**SETTINGS["policyLimits"], "connectTimeout": 2000.0}}


@MANNERS
@AHEAD
@CLASSES
def test_request_is_dropped_in_time_when_its_client_disconnects_during_a_slow_connect(
    tmp_path: Path, manner: str, ahead: int, job_class: str
) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        stage.loop.way.clear()
        _, left = await _asked(stage, job_class, ahead)
        stage.loop.call_later(LATE_CONNECT_S, stage.loop.way.set)
        await asyncio.sleep(0.101)  # just past a look that finds the client there, if one comes every 0.1 s
        left(manner)
        await _nothing_runs(stage)

    play(tmp_path, scene, **SLOW_CONNECTS)


@MANNERS
@AHEAD
@CLASSES
def test_retry_is_dropped_in_time_when_its_client_disconnects_during_a_slow_connect(
    tmp_path: Path, manner: str, ahead: int, job_class: str
) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin(names=("w1", "w2"))
        stage.worker.decline = 1
        stage.worker.on_decline.append(stage.loop.way.clear)
        _, left = await _asked(stage, job_class, ahead)
        while stage.loop.connecting < 2:
            await asyncio.sleep(0.001)
        stage.loop.call_later(LATE_CONNECT_S, stage.loop.way.set)
        left(manner)
        await _nothing_runs(stage, ran=1)  # the one that was turned away

    play(tmp_path, scene, **SLOW_CONNECTS)


@MANNERS
@AHEAD
def test_moved_attempt_is_dropped_in_time_when_its_client_disconnects_during_a_slow_connect(
    tmp_path: Path, manner: str, ahead: int
) -> None:
    """The first worker never begins it, so that the decisions move it to the other one."""

    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin(names=("w1", "w2"))
        for number in range(MOVE_EARNED):
            client = stage.client()
            client.sendall(request_bytes("preview", f"c{number}"))
            assert b" 200 OK" in await stage.read(client)
        stage.worker.answer = False
        _, left = await _asked(stage, "preview", ahead)
        stage.loop.way.clear()
        while stage.loop.connecting <= MOVE_EARNED + 1:
            await asyncio.sleep(0.01)
        stage.loop.call_later(LATE_CONNECT_S, stage.loop.way.set)
        left(manner)
        await _nothing_runs(stage, ran=MOVE_EARNED + 1)  # one that never began among them

    play(tmp_path, scene, **SLOW_CONNECTS)


@MANNERS
@AHEAD
def test_no_byte_of_a_non_idempotent_request_is_sent_if_its_client_disconnects_during_connect(
    tmp_path: Path, manner: str, ahead: int
) -> None:
    """Its connection comes up in the turn in which the client leaves: not even a part of it is sent."""

    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        stage.loop.way.clear()
        _, left = await _asked(stage, "accession", ahead)
        left(manner)
        stage.loop._now += GONE_WITHIN_S
        stage.loop.way.set()
        await _nothing_runs(stage)
        assert stage.worker.bytes_got == 0, "a part of it was sent"

    play(tmp_path, scene)


@MANNERS
def test_idle_connection_is_closed_when_its_client_disconnects(tmp_path: Path, manner: str) -> None:
    """Nothing was asked on it, or its last request was answered: it holds no descriptor any longer."""

    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        silent, kept = stage.client(), stage.client()
        kept.sendall(request_bytes("preview"))
        assert b" 200 OK" in await stage.read(kept)
        assert len(stage.sessions._open) == 2
        for client in (silent, kept):
            leave(client, manner)
        await asyncio.sleep(GONE_WITHIN_S - HELD_UP_S)
        assert not stage.sessions._open

    play(tmp_path, scene)


@pytest.mark.parametrize("stays", [True, False])
def test_attempt_is_sent_after_its_lease_is_recorded_only_if_its_client_is_connected(
    tmp_path: Path, stays: bool
) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        there, granted = [True], []
        context = AttemptContext(5.0, lambda: None)
        request = Request(
            "a1", "accession", 5.0, "/accession", b"hello",
            record_lease=lambda backend, then: granted.append(then), client_connected=lambda: there[0],
        )  # fmt: skip
        attempt = asyncio.create_task(stage.subsystems.backends.attempt("w1", request, context))
        while not granted:
            await asyncio.sleep(0.001)
        there[0] = stays
        granted[0]()
        ending = await attempt
        assert ending.result is (Result.OK if stays else Result.NOT_SENT)
        assert stage.worker.ran == stays and context.is_last_byte_written is stays

    play(tmp_path, scene)


@AHEAD
def test_client_that_stays_connected_is_served(tmp_path: Path, ahead: int) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        client, _ = await _asked(stage, "accession", ahead)
        await asyncio.sleep(1.0)
        assert b" 200 OK" in await stage.read(client)  # type: ignore[arg-type]
        assert stage.worker.ran >= 1

    play(tmp_path, scene)


# ---- Gearman ----


def _packet(type_: PacketType, *arguments: bytes) -> bytes:
    return encode(type_, *arguments, magic=REQUEST_MAGIC)


@MANNERS
@pytest.mark.parametrize("asleep", [True, False])
@pytest.mark.parametrize("room", [None, WaitingSettings()])
def test_gearman_job_is_not_assigned_after_its_client_disconnects(
    tmp_path: Path, manner: str, asleep: bool, room: WaitingSettings | None
) -> None:
    """The worker asks for it in the very turn in which its client leaves, and is read first."""

    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin(listed=False)
        worker, client = stage.client("gearman"), stage.client("gearman")
        worker.sendall(_packet(PacketType.CAN_DO, b"file_specimen") + _packet(PacketType.PRE_SLEEP))
        await turns()
        client.sendall(_packet(PacketType.SUBMIT_JOB, b"file_specimen", b"u1", b"sheet"))
        assert encode(PacketType.NOOP) in await stage.read(worker)
        if asleep:
            worker.sendall(_packet(PacketType.PRE_SLEEP))
            await stage.read(worker)
        worker.sendall(_packet(PacketType.GRAB_JOB))
        leave(client, manner)
        assert await stage.read(worker) == encode(PacketType.NO_JOB)
        await asyncio.sleep(1.0)
        assert stage.scheduler.open_request_count == 0

    play(tmp_path, scene, room)


@MANNERS
def test_deferred_gearman_job_ends_when_its_client_disconnects(tmp_path: Path, manner: str) -> None:
    """It waits for any worker at all; one comes in the turn in which its client leaves."""

    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin(listed=False)
        worker, client = stage.client("gearman"), stage.client("gearman")
        await turns()
        client.sendall(_packet(PacketType.SUBMIT_JOB, b"file_specimen", b"u1", b"sheet"))
        await turns()
        worker.sendall(_packet(PacketType.CAN_DO, b"file_specimen") + _packet(PacketType.GRAB_JOB))
        leave(client, manner)
        got = await stage.read(worker)
        for _ in range(20):
            await asyncio.sleep(0.1)
            worker.setblocking(True)
            worker.sendall(_packet(PacketType.GRAB_JOB))
            got += await stage.read(worker)
        assert got == encode(PacketType.NO_JOB) * 21
        assert stage.scheduler.open_request_count == 0

    play(tmp_path, scene, WaitingSettings())


@MANNERS
def test_background_gearman_job_is_assigned_after_its_client_disconnects(tmp_path: Path, manner: str) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin(listed=False)
        worker, client = stage.client("gearman"), stage.client("gearman")
        worker.sendall(_packet(PacketType.CAN_DO, b"file_specimen") + _packet(PacketType.PRE_SLEEP))
        await turns()
        client.sendall(_packet(PacketType.SUBMIT_JOB_BG, b"file_specimen", b"u1", b"sheet"))
        await stage.read(worker)
        worker.sendall(_packet(PacketType.GRAB_JOB))
        leave(client, manner)
        got = await stage.read(worker)
        assert got.startswith(b"\0RES\0\0\0\x0b") and got.endswith(b"sheet")
        handle = got[12:].split(b"\0")[0]
        worker.sendall(_packet(PacketType.WORK_COMPLETE, handle, b"filed"))
        await turns()

    play(tmp_path, scene)

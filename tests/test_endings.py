"""What is still owed in the instant that something ends: gates, connections, the program, settings, answers.

On real sockets; the crossing is forced between two turns of the loop (see stage.py), never hoped for.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from scheduler_harness import SETTINGS, GatedConnectLoop, SchedulerHarness, leave, request_bytes, turns

from oxbowyard.clients.connection import Connection, Phase
from oxbowyard.core.request import AttemptContext, AttemptOutcome, Request
from oxbowyard.daemon import composition
from oxbowyard.daemon.loading import LoadedConfiguration
from oxbowyard.daemon.program import Program
from oxbowyard.daemon.reload import SETTLE_S
from oxbowyard.decision.facade import Result
from oxbowyard.decision.settings import RetrySafety
from oxbowyard.discovery.endpoint_list import parse_endpoint_list
from oxbowyard.gearman.codec import REQUEST_MAGIC, encode
from oxbowyard.gearman.packet_types import PacketType
from oxbowyard.listeners.acceptor import Acceptor


def play(tmp_path: Path, scene: Callable[[SchedulerHarness], Awaitable[None]], **changes: Any) -> None:
    async def whole() -> None:
        stage = SchedulerHarness(tmp_path, **changes)
        try:
            async with asyncio.timeout(120.0):
                await scene(stage)
        finally:
            await stage.end()

    with asyncio.Runner(loop_factory=GatedConnectLoop) as runner:
        runner.run(whole())


async def _leave(stage: SchedulerHarness) -> None:
    """As the program leaves, from when it accepts nothing more."""
    stage.sessions.start_draining()
    await stage.acceptor.close_and_wait()
    await stage.sessions.close(30.0)


# ---- Exit ----


@pytest.mark.parametrize("between", range(8))  # turns of the loop from the connect to the acceptor's end
@pytest.mark.parametrize("room", [True, False])
def test_client_connected_before_the_listener_closed_is_answered(
    tmp_path: Path, between: int, room: bool
) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        if not room:
            stage.sessions._max_connections = 0  # it waits in the system's queue for a place
        clients = [stage.client() for _ in range(3)]
        for number, client in enumerate(clients):
            client.sendall(request_bytes("preview", f"a{number}"))
        await turns(between)
        stage.sessions._max_connections = 64
        await _leave(stage)
        for client in clients:
            assert b" 200 OK" in await stage.read(client)

    play(tmp_path, scene)


def test_connections_accepted_while_the_listener_closes_stay_within_the_limit(tmp_path: Path) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        stage.sessions._max_connections = 8
        silent = [stage.client() for _ in range(4)]
        await turns()
        await asyncio.sleep(0.5)  # these have had their time, and make room
        clients = [stage.client() for _ in range(40)]
        for number, client in enumerate(clients):
            client.sendall(request_bytes("preview", f"a{number}"))
        stage.acceptor.close()
        await turns(4)
        assert 4 <= len(stage.sessions._open) <= 9
        await _leave(stage)
        answered = [c for c in clients if _answered(await _tried(stage, c))]
        assert 8 <= len(answered) <= 9 and answered == clients[: len(answered)]
        assert [await _tried(stage, c) for c in silent] == [b""] * 4

    play(tmp_path, scene)


async def _tried(stage: SchedulerHarness, client: socket.socket) -> bytes:
    try:
        return await stage.read(client)
    except ConnectionError:
        return b""


def _answered(got: bytes) -> bool:
    return got.startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))


@pytest.mark.parametrize("between", range(6))
def test_request_unread_when_shutdown_closes_its_connection_is_answered(tmp_path: Path, between: int) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        client = stage.client()
        client.sendall(request_bytes("preview", "a1"))
        await asyncio.sleep(1.0)
        assert b" 200 OK" in await stage.read(client)
        client.setblocking(True)
        client.sendall(request_bytes("accession", "a2"))
        await turns(between)
        await _leave(stage)
        got = await stage.read(client)
        assert b" 200 OK" in got and b"Connection: close" in got

    play(tmp_path, scene)


@pytest.mark.parametrize("cut", [1, 40, -3])  # bytes: within the request line, the head, the body
def test_partially_received_request_at_shutdown_is_answered(tmp_path: Path, cut: int) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        client = stage.client()
        client.sendall(request_bytes("accession")[:cut])
        await turns()
        end = asyncio.create_task(_leave(stage))
        await asyncio.sleep(0.5)
        client.setblocking(True)
        client.sendall(request_bytes("accession")[cut:])
        await end
        assert b" 200 OK" in await stage.read(client)

    play(tmp_path, scene)


def test_shutdown_waits_briefly_for_a_new_connection_and_closes_idle_ones(tmp_path: Path) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        late, silent = stage.client(), stage.client()
        await turns()
        end = asyncio.create_task(_leave(stage))
        await asyncio.sleep(0.1)
        late.sendall(request_bytes("preview"))
        began = stage.loop.time()
        await end
        assert stage.loop.time() - began < 1.0
        assert b" 200 OK" in await stage.read(late)
        assert await stage.read(silent) == b"" and stage.sessions._open == {}

    play(tmp_path, scene)


def test_response_prepared_before_shutdown_does_not_keep_its_connection_open(tmp_path: Path) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        stage.worker.answer = False
        client = stage.client()
        client.sendall(request_bytes("accession"))
        while not stage.worker.ran:
            await asyncio.sleep(0.001)
        end = asyncio.create_task(stage.sessions.close(30.0))  # with no start_draining before it
        await turns()
        stage.worker.end(0)
        await end
        assert b" 200 OK" in await stage.read(client) and stage.loop.time() < 10.0

    play(tmp_path, scene)


@pytest.mark.parametrize("first", ["answer", "time"])
@pytest.mark.parametrize("job_class", ["preview", "accession"])
def test_deadline_in_the_same_iteration_as_the_last_line_gives_one_outcome(
    tmp_path: Path, first: str, job_class: str
) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        stage.worker.answer = False
        client = stage.client()
        client.sendall(request_bytes(job_class))
        while not stage.worker.ran:
            await asyncio.sleep(0.001)
        (entry,) = stage.scheduler._admission._open.values()
        if first == "answer":
            stage.worker.end(0)
            await turns(2)  # it lies with the loop, and may be read by now
            stage.scheduler._lifecycle._deadlines._expire(entry)
        else:
            stage.scheduler._lifecycle._deadlines._expire(entry)
            stage.worker.end(0)
        await asyncio.sleep(1.0)
        assert sum(stage.subsystems.measure.answers.values()) == 1
        got = await stage.read(client)
        assert got.count(b"HTTP/1.1 ") == 1 and stage.scheduler.open_request_count == 0
        if job_class == "accession":  # it ran: nobody is told that it did not
            assert b" 200 OK" in got or (b"HTTP/1.1 50" in got and b" 503 " not in got)

    play(tmp_path, scene)


@pytest.mark.parametrize("cut", [0, 1, 40])  # bytes that had come before: none, some of the head
def test_request_unread_when_its_connection_times_out_is_answered(tmp_path: Path, cut: int) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        client = stage.client()
        client.sendall(request_bytes("preview")[:cut])
        await turns()
        (connection,) = stage.sessions._open
        assert connection.phase is (Phase.READING if cut else Phase.SILENT)
        client.sendall(request_bytes("preview")[cut:])
        connection._on_timeout()  # the alarm of this turn, before the loop has read what came in it
        await asyncio.sleep(1.0)
        assert b" 200 OK" in await stage.read(client)

    play(tmp_path, scene)


def test_request_unread_when_its_keep_alive_connection_times_out_is_answered(tmp_path: Path) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        client = stage.client()
        client.sendall(request_bytes("preview"))
        await asyncio.sleep(1.0)
        assert b" 200 OK" in await stage.read(client)
        (connection,) = stage.sessions._open
        assert connection.phase is Phase.KEEP_ALIVE
        client.setblocking(True)
        client.sendall(request_bytes("preview", "a2"))
        connection._on_timeout()
        await asyncio.sleep(1.0)
        assert b" 200 OK" in await stage.read(client)
        connection._on_timeout()
        assert await stage.read(client) == b"" and not stage.sessions._open, "nothing came: closed"

    play(tmp_path, scene)


def test_client_that_sends_its_head_slowly_past_the_timeout_gets_408(tmp_path: Path) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        client = stage.client()
        client.sendall(b"POST /preview HTTP/1.1\r\n")
        await turns()
        (connection,) = stage.sessions._open
        for _ in range(3):  # something lies unread each time that its time is over
            if connection.phase is Phase.READING:
                client.sendall(b"X-More: 1\r\n")
                connection._on_timeout()
                await turns()
        assert b" 408 " in await stage.read(client)

    play(tmp_path, scene)


def test_eviction_spares_a_connection_with_an_unread_request(tmp_path: Path) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        asks, silent = stage.client(), stage.client()
        await turns()
        await asyncio.sleep(0.5)
        asks.sendall(request_bytes("preview"))  # the longest silent one, and it lies unread
        stage.sessions.evict_idle_connection()
        await asyncio.sleep(1.0)
        assert b" 200 OK" in await stage.read(asks)
        assert stage.sessions.evict_idle_connection() and await stage.read(silent) == b""

    play(tmp_path, scene)


@pytest.mark.parametrize("waits", [False, True])  # for its body, which comes in the turn of the crossing
def test_eviction_spares_a_request_completed_in_the_same_iteration(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, waits: bool
) -> None:
    read = Connection.data_received

    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        client = stage.client()
        cut = -3 if waits else 40
        client.sendall(request_bytes("accession")[:cut])
        await turns()
        await asyncio.sleep(1.5)  # it has had its time

        def and_evict(connection: Connection, data: bytes) -> None:
            read(connection, data)
            assert not stage.sessions.evict_idle_connection()

        monkeypatch.setattr(Connection, "data_received", and_evict)
        client.sendall(request_bytes("accession")[cut:])
        await asyncio.sleep(1.0)
        assert b" 200 OK" in await stage.read(client)

    play(tmp_path, scene)


def test_eviction_spares_a_gearman_peer_with_an_unread_first_packet(tmp_path: Path) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        gearman = stage.subsystems.gearman
        assert gearman
        peer = stage.client("gearman")
        await turns()
        peer.sendall(encode(PacketType.ECHO_REQ, b"here", magic=REQUEST_MAGIC))
        assert not gearman.evict_idle_connection()
        assert await stage.read(peer) == encode(PacketType.ECHO_RES, b"here")
        silent = stage.client("gearman")
        await turns()
        assert gearman.evict_idle_connection() and b"CLOSED_FOR_ROOM" in await stage.read(silent)

    play(tmp_path, scene)


@pytest.mark.parametrize("sends_on", [False, True])  # closed over what it sends, it would be reset
def test_gearman_client_receives_its_result_before_its_connection_closes(
    tmp_path: Path, sends_on: bool
) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin(listed=False)
        worker, client = stage.client("gearman"), stage.client("gearman")
        worker.sendall(encode(PacketType.CAN_DO, b"file_specimen", magic=REQUEST_MAGIC))
        await turns()
        client.sendall(encode(PacketType.SUBMIT_JOB, b"file_specimen", b"u", b"sheet", magic=REQUEST_MAGIC))
        await stage.read(client)
        assert stage.subsystems.gearman
        for connection in stage.subsystems.gearman._connections:  # the system holds little for a slow reader
            connection._transport.get_extra_info("socket").setsockopt(  # type: ignore[union-attr]
                socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
            )
        worker.sendall(encode(PacketType.GRAB_JOB, magic=REQUEST_MAGIC))
        handle = (await stage.read(worker))[12:].split(b"\0")[0]
        worker.setblocking(True)
        worker.sendall(encode(PacketType.WORK_COMPLETE, handle, b"x" * 262_000, magic=REQUEST_MAGIC))
        end = asyncio.create_task(stage.subsystems.close())
        await asyncio.sleep(0.5)
        assert not end.done(), "it has not read its answer yet"
        if sends_on:
            client.setblocking(True)
            client.sendall(encode(PacketType.ECHO_REQ, b"y" * 1000, magic=REQUEST_MAGIC))
        got = b""
        while piece := await stage.read(client):
            got += piece
            await asyncio.sleep(0.001)
        assert got.endswith(b"x" * 262_000)
        began = stage.loop.time()
        client.close()
        worker.close()
        await end
        assert stage.loop.time() - began < 0.1, "nobody is left to wait for"

    play(tmp_path, scene)


@pytest.mark.parametrize("first", ["answer", "leave"])
@pytest.mark.parametrize("manner", ["close", "reset"])
def test_answer_and_client_disconnect_in_the_same_iteration_give_one_outcome(
    tmp_path: Path, first: str, manner: str
) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        stage.worker.answer = False
        client = stage.client()
        client.sendall(request_bytes("accession"))
        while not stage.worker.ran:
            await asyncio.sleep(0.001)
        for what in (first, "leave" if first == "answer" else "answer"):
            if what == "answer":
                stage.worker.end(0)
            else:
                leave(client, manner)
        await turns()
        await asyncio.sleep(1.0)
        assert sum(stage.subsystems.measure.answers.values()) == 1
        assert stage.scheduler.open_request_count == 0 and stage.worker.ran == 1

    play(tmp_path, scene)


def test_shutdown_waits_for_a_request_with_a_deadline_longer_than_its_class(tmp_path: Path) -> None:
    async def scene() -> None:
        lanes = [{**lane, "aim": 100.0, "deadline": 500.0} for lane in SETTINGS["lanes"]]
        stage = SchedulerHarness(tmp_path, lanes=lanes)
        program = Program(lambda: LoadedConfiguration(stage.config))
        await program.start()
        assert program.context.acceptor
        worker = await asyncio.start_server(stage.worker.serve, "127.0.0.1", 0)
        client = socket.create_connection(program.context.acceptor._listener.getsockname(), 5.0)
        client.sendall(request_bytes("accession", deadline_s=9.0))
        stage.worker.answer = False
        where = "{}:{}".format(*worker.sockets[0].getsockname()[:2])
        entry = {"uid": "w1", "endpoint": where, "state": "ready"}
        change = parse_endpoint_list({"rev": 1, "all": True, "targets": [entry]})
        subsystems = program.context.subsystems
        subsystems.scheduler.update_endpoints(*subsystems.registry.apply(change))
        while not stage.worker.ran:
            await asyncio.sleep(0.001)
        leaving = asyncio.create_task(program.shut_down())
        await asyncio.sleep(4.0)
        assert not leaving.done()
        stage.worker.end(0)
        await leaving
        assert b" 200 OK" in await stage.read(client)
        client.close()
        worker.close()
        stage.acceptor.close()

    with asyncio.Runner(loop_factory=GatedConnectLoop) as runner:
        runner.run(scene())


def test_process_stops_when_its_successor_dies_and_its_address_is_in_use(tmp_path: Path) -> None:
    """The old process can't take clients again: it ends, rather than stay with nobody to serve."""

    async def scene() -> None:
        config = SchedulerHarness(tmp_path).config
        program = Program(lambda: LoadedConfiguration(config))

        def taken() -> Acceptor:
            raise OSError("address in use")

        program.context.bind_clients = taken  # type: ignore[method-assign]
        await program.hot_restart.resume()
        assert program.context.stop_requested.is_set()

    with asyncio.Runner(loop_factory=GatedConnectLoop) as runner:
        runner.run(scene())


# ---- Windows ----


def _guarded(window: float) -> list[dict[str, object]]:
    return [
        {**lane, "semantics": "guarded", "group": "all", "memorySpan": window} for lane in SETTINGS["lanes"]
    ]


@pytest.mark.parametrize("reset_at", [0.5, 0.9])  # of a window of 1 s
def test_retry_whose_connection_opens_after_the_deduplication_window_is_not_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, reset_at: float
) -> None:
    """The window was looked at when the worker was chosen; the last byte went once the connection was up."""

    async def scene() -> None:
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(composition, "make_unix_ms_clock", lambda: lambda: loop.time() * 1000)
        stage = SchedulerHarness(tmp_path, lanes=_guarded(1000.0))
        await stage.begin()
        stage.worker.answer = False
        client = stage.client()
        client.sendall(request_bytes("accession"))
        while not stage.worker.ran:
            await asyncio.sleep(0.001)
        sent = stage.loop.time()
        await asyncio.sleep(reset_at - 0.01)
        stage.loop.way.clear()
        stage.worker.writers[0].transport.abort()
        await turns()
        again = None
        while stage.loop.time() < sent + 3.0:
            if stage.loop.time() > sent + reset_at + 0.2:  # what was chosen by now connected all this time
                stage.loop.way.set()
            await asyncio.sleep(0.005)
            if again is None and stage.worker.ran == 2:
                again = stage.loop.time() - sent
        await stage.end()
        assert again is None if reset_at > 0.7 else again is not None and again < 1.0

    with asyncio.Runner(loop_factory=GatedConnectLoop) as runner:
        runner.run(scene())


@pytest.mark.parametrize("late", [False, True])
def test_retry_is_not_assigned_to_a_gearman_worker_after_the_deduplication_window(
    tmp_path: Path, late: bool
) -> None:
    async def scene() -> None:
        stage = SchedulerHarness(tmp_path, lanes=_guarded(1000.0))
        await stage.begin(listed=False)
        first, second, client = (stage.client("gearman") for _ in range(3))
        can_do = encode(PacketType.CAN_DO, b"file_specimen", magic=REQUEST_MAGIC)
        first.sendall(can_do)
        await turns()
        client.sendall(encode(PacketType.SUBMIT_JOB, b"file_specimen", b"u1", b"sheet", magic=REQUEST_MAGIC))
        await turns()
        first.sendall(encode(PacketType.GRAB_JOB, magic=REQUEST_MAGIC))
        assert (await stage.read(first)).endswith(b"sheet")
        second.sendall(can_do)
        await turns()
        first.close()  # it may have run
        await asyncio.sleep(1.2 if late else 0.5)
        second.sendall(encode(PacketType.GRAB_JOB, magic=REQUEST_MAGIC))
        got = await stage.read(second)
        assert got == encode(PacketType.NO_JOB) if late else got.endswith(b"sheet")
        await stage.end()

    with asyncio.Runner(loop_factory=GatedConnectLoop) as runner:
        runner.run(scene())


# ---- Settings ----


@pytest.mark.parametrize("wait", [0.0, SETTLE_S / 2])
def test_second_reload_that_reverts_the_first_cancels_its_pending_step(tmp_path: Path, wait: float) -> None:
    """The first one's later step made a class repeatable that the second says must never run twice."""

    async def scene() -> None:
        config = SchedulerHarness(tmp_path).config
        lanes = {c.name: c for c in config.settings.classes}
        loose = replace(lanes["accession"], retry_safety=RetrySafety.IDEMPOTENT)
        loosened = replace(config.settings, classes=tuple({**lanes, "accession": loose}.values()))
        read = [config, replace(config, settings=loosened), config]
        program = Program(lambda: LoadedConfiguration(read.pop(0) if read else config))
        program.reloader.reload()
        await asyncio.sleep(wait)
        program.reloader.reload()
        await asyncio.sleep(2 * SETTLE_S)
        in_force = {c.name: c.retry_safety for c in program.reloader.settings.classes}
        assert in_force["accession"] is RetrySafety.NOT_IDEMPOTENT

    with asyncio.Runner(loop_factory=GatedConnectLoop) as runner:
        runner.run(scene())


# ---- Answers ----

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
STARTED = b'{"id":"a1","state":"started"}\n'
DONE = b'{"id":"a1","state":"done","result":"yes"}\n'


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


ANSWERS = {
    "lines of another request": (HEAD + chunk(b'{"id":"zz"}\n' * 200), None, Result.RESET),
    "lines without an end": (HEAD + chunk(b"\n" * 20_000), None, Result.RESET),
    "a line without an end": (HEAD, chunk(b"x" * 60_000), Result.RESET),
    "a head without an end": (b"HTTP/1.1 200 OK\r\n", b"X-More: " + b"x" * 1000 + b"\r\n", Result.RESET),
    "a status line without an end": (b"HTTP/1.1 ", b"2" * 5000, Result.RESET),
    "progress without an end": (HEAD, chunk(STARTED * 900), Result.RESET),
    "no number of bytes": (HEAD + b"zz\r\n", None, Result.RESET),
    "cut within the last line": (HEAD + chunk(DONE[:30]), None, Result.RESET),
    "done twice": (HEAD + chunk(DONE) + chunk(DONE) + chunk(DONE), None, Result.OK),
    "two answers": ((HEAD + chunk(DONE) + b"0\r\n\r\n") * 2, None, Result.OK),
    "done, and then without an end": (HEAD + chunk(DONE), chunk(b"x" * 60_000), Result.OK),
}  # fmt: skip


@pytest.mark.parametrize("name", ANSWERS)
def test_malformed_worker_answer_gives_one_outcome_within_bounds(tmp_path: Path, name: str) -> None:
    """Each has one ending, in time, and nothing of it reaches the next request."""
    first, rest, wanted = ANSWERS[name]

    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        sent = 0

        async def spoil(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal sent
            await reader.readuntil(b"hello")
            writer.write(first)
            try:
                while rest is not None and sent < 40_000_000:
                    writer.write(rest)
                    sent += len(rest)
                    await writer.drain()
                if wanted is Result.RESET:
                    await asyncio.sleep(1.0)
            except ConnectionError:
                pass
            writer.close()

        server = await asyncio.start_server(spoil, "127.0.0.1", 0)
        where = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        stage.move_endpoint("w1", where)
        context = AttemptContext(30.0, lambda: None)
        request = Request("a1", "preview", 30.0, "/preview", b"hello")
        endings: list[AttemptOutcome] = [await stage.subsystems.backends.attempt("w1", request, context)]
        assert [e.result for e in endings] == [wanted], endings
        await asyncio.sleep(2.0)
        assert sent < 12_000_000, "cut off, not read on"
        server.close()

    play(tmp_path, scene)


def test_backend_that_moves_during_connect_is_not_sent_to_at_its_old_address(tmp_path: Path) -> None:
    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin()
        stage.loop.way.clear()
        request = Request("a1", "preview", 30.0, "/preview", b"hello")
        attempt = asyncio.create_task(
            stage.subsystems.backends.attempt("w1", request, AttemptContext(30.0, lambda: None))
        )
        await turns()
        stage.move_endpoint("w1", "127.0.0.1:9")
        stage.loop.way.set()
        assert (await attempt).result is Result.NOT_SENT and stage.worker.ran == 0

    play(tmp_path, scene)


@pytest.mark.parametrize("attempt", ["first", "further"])
def test_attempt_after_a_slow_connect_sends_the_remaining_deadline(tmp_path: Path, attempt: str) -> None:
    """It used to tell the time that was left when its connection was asked for."""
    patience, late = 6.0, 1.5

    async def scene(stage: SchedulerHarness) -> None:
        await stage.begin(names=("w1", "w2"))
        if attempt == "further":
            stage.worker.decline = 1
            stage.worker.on_decline.append(stage.loop.way.clear)
        else:
            stage.loop.way.clear()
        client = stage.client()
        client.sendall(request_bytes("preview", deadline_s=patience))
        asked_at = stage.loop.time()
        while stage.loop.connecting < (2 if attempt == "further" else 1):
            await asyncio.sleep(0.001)
        stage.loop.call_later(late, stage.loop.way.set)
        while b" 200 OK" not in await stage.read(client):
            await asyncio.sleep(0.01)
        told = re.search(rb"Req-Deadline: (\d+)m", stage.worker.got[-1])
        assert told and late <= stage.loop.time() - asked_at
        assert patience - 2 * late < int(told[1]) / 1000 <= patience - late

    play(tmp_path, scene, policyLimits={**SETTINGS["policyLimits"], "connectTimeout": 2000.0})

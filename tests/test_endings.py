"""Races at the end of something: a listener, a connection, the process, a time window, a setting, an answer.

The tests use real sockets and force each race between two iterations of the loop (see scheduler_harness.py).
"""

from __future__ import annotations

import asyncio
import re
import socket
from dataclasses import replace
from pathlib import Path

import pytest
from scheduler_harness import (
    SETTINGS,
    GatedConnectLoop,
    SchedulerHarness,
    disconnect,
    request_bytes,
    run_loop_iterations,
    run_scenario,
)

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


async def _shut_down(harness: SchedulerHarness) -> None:
    """Shut down in the program's order, beginning with the stop of accepting."""
    harness.client_connections.start_draining()
    await harness.acceptor.close_and_wait()
    await harness.client_connections.close(30.0)


# ---- Shutdown ----


@pytest.mark.parametrize("iterations", range(8))  # of the loop, from the connect to the shutdown
@pytest.mark.parametrize("has_capacity", [True, False])
def test_client_connected_before_the_listener_closed_is_answered(
    tmp_path: Path, iterations: int, has_capacity: bool
) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        if not has_capacity:
            harness.client_connections._max_connections = 0  # it waits in the kernel's accept queue
        clients = [harness.connect() for _ in range(3)]
        for number, client in enumerate(clients):
            client.sendall(request_bytes("preview", f"a{number}"))
        await run_loop_iterations(iterations)
        harness.client_connections._max_connections = 64
        await _shut_down(harness)
        for client in clients:
            assert b" 200 OK" in await harness.read_available(client)

    run_scenario(tmp_path, scenario)


def test_connections_accepted_while_the_listener_closes_stay_within_the_limit(tmp_path: Path) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        harness.client_connections._max_connections = 8
        silent = [harness.connect() for _ in range(4)]
        await run_loop_iterations()
        await asyncio.sleep(0.5)  # the silent connections have reached the minimum age for eviction
        clients = [harness.connect() for _ in range(40)]
        for number, client in enumerate(clients):
            client.sendall(request_bytes("preview", f"a{number}"))
        harness.acceptor.close()
        await run_loop_iterations(4)
        assert 4 <= len(harness.client_connections._open) <= 9
        await _shut_down(harness)
        answered = [c for c in clients if _has_response(await _read_or_reset(harness, c))]
        assert 8 <= len(answered) <= 9 and answered == clients[: len(answered)]
        assert [await _read_or_reset(harness, c) for c in silent] == [b""] * 4

    run_scenario(tmp_path, scenario)


async def _read_or_reset(harness: SchedulerHarness, client: socket.socket) -> bytes:
    try:
        return await harness.read_available(client)
    except ConnectionError:
        return b""


def _has_response(got: bytes) -> bool:
    return got.startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))


@pytest.mark.parametrize("iterations", range(6))
def test_request_unread_when_shutdown_closes_its_connection_is_answered(
    tmp_path: Path, iterations: int
) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        client = harness.connect()
        client.sendall(request_bytes("preview", "a1"))
        await asyncio.sleep(1.0)
        assert b" 200 OK" in await harness.read_available(client)
        client.setblocking(True)
        client.sendall(request_bytes("accession", "a2"))
        await run_loop_iterations(iterations)
        await _shut_down(harness)
        got = await harness.read_available(client)
        assert b" 200 OK" in got and b"Connection: close" in got

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("cut", [1, 40, -3])  # bytes sent first: within the request line, head, body
def test_partially_received_request_at_shutdown_is_answered(tmp_path: Path, cut: int) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        client = harness.connect()
        client.sendall(request_bytes("accession")[:cut])
        await run_loop_iterations()
        end = asyncio.create_task(_shut_down(harness))
        await asyncio.sleep(0.5)
        client.setblocking(True)
        client.sendall(request_bytes("accession")[cut:])
        await end
        assert b" 200 OK" in await harness.read_available(client)

    run_scenario(tmp_path, scenario)


def test_shutdown_waits_briefly_for_a_new_connection_and_closes_idle_ones(tmp_path: Path) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        newcomer, silent = harness.connect(), harness.connect()
        await run_loop_iterations()
        end = asyncio.create_task(_shut_down(harness))
        await asyncio.sleep(0.1)
        newcomer.sendall(request_bytes("preview"))
        began = harness.loop.time()
        await end
        assert harness.loop.time() - began < 1.0
        assert b" 200 OK" in await harness.read_available(newcomer)
        assert await harness.read_available(silent) == b"" and harness.client_connections._open == {}

    run_scenario(tmp_path, scenario)


def test_response_prepared_before_shutdown_does_not_keep_its_connection_open(tmp_path: Path) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        harness.worker.answers_requests = False
        client = harness.connect()
        client.sendall(request_bytes("accession"))
        while not harness.worker.complete_requests:
            await asyncio.sleep(0.001)
        end = asyncio.create_task(harness.client_connections.close(30.0))  # without start_draining before it
        await run_loop_iterations()
        harness.worker.respond(0)
        await end
        assert b" 200 OK" in await harness.read_available(client) and harness.loop.time() < 10.0

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("first", ["answer", "time"])
@pytest.mark.parametrize("job_class", ["preview", "accession"])
def test_deadline_in_the_same_iteration_as_the_last_line_gives_one_outcome(
    tmp_path: Path, first: str, job_class: str
) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        harness.worker.answers_requests = False
        client = harness.connect()
        client.sendall(request_bytes(job_class))
        while not harness.worker.complete_requests:
            await asyncio.sleep(0.001)
        (entry,) = harness.scheduler._admission._open.values()
        if first == "answer":
            harness.worker.respond(0)
            await run_loop_iterations(2)  # it is ready for the loop, which may have read it
            harness.scheduler._lifecycle._deadlines._expire(entry)
        else:
            harness.scheduler._lifecycle._deadlines._expire(entry)
            harness.worker.respond(0)
        await asyncio.sleep(1.0)
        assert sum(harness.subsystems.measure.answers.values()) == 1
        got = await harness.read_available(client)
        assert got.count(b"HTTP/1.1 ") == 1 and harness.scheduler.open_request_count == 0
        if job_class == "accession":  # it ran, so its answer must not say that it did not
            assert b" 200 OK" in got or (b"HTTP/1.1 50" in got and b" 503 " not in got)

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("cut", [0, 1, 40])  # bytes received before: none, or a part of the head
def test_request_unread_when_its_connection_times_out_is_answered(tmp_path: Path, cut: int) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        client = harness.connect()
        client.sendall(request_bytes("preview")[:cut])
        await run_loop_iterations()
        (connection,) = harness.client_connections._open
        assert connection.phase is (Phase.READING if cut else Phase.SILENT)
        client.sendall(request_bytes("preview")[cut:])
        connection._on_timeout()  # the timer fires before the loop reads the bytes of this iteration
        await asyncio.sleep(1.0)
        assert b" 200 OK" in await harness.read_available(client)

    run_scenario(tmp_path, scenario)


def test_request_unread_when_its_keep_alive_connection_times_out_is_answered(tmp_path: Path) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        client = harness.connect()
        client.sendall(request_bytes("preview"))
        await asyncio.sleep(1.0)
        assert b" 200 OK" in await harness.read_available(client)
        (connection,) = harness.client_connections._open
        assert connection.phase is Phase.KEEP_ALIVE
        client.setblocking(True)
        client.sendall(request_bytes("preview", "a2"))
        connection._on_timeout()
        await asyncio.sleep(1.0)
        assert b" 200 OK" in await harness.read_available(client)
        connection._on_timeout()
        assert await harness.read_available(client) == b"" and not harness.client_connections._open, (
            "an idle connection is closed at its timeout"
        )

    run_scenario(tmp_path, scenario)


def test_client_that_sends_its_head_slowly_past_the_timeout_gets_408(tmp_path: Path) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        client = harness.connect()
        client.sendall(b"POST /preview HTTP/1.1\r\n")
        await run_loop_iterations()
        (connection,) = harness.client_connections._open
        for _ in range(3):  # unread bytes are pending at each timeout
            if connection.phase is Phase.READING:
                client.sendall(b"X-More: 1\r\n")
                connection._on_timeout()
                await run_loop_iterations()
        assert b" 408 " in await harness.read_available(client)

    run_scenario(tmp_path, scenario)


def test_eviction_spares_a_connection_with_an_unread_request(tmp_path: Path) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        requesting, silent = harness.connect(), harness.connect()
        await run_loop_iterations()
        await asyncio.sleep(0.5)
        # The connection that was silent longest now has an unread request.
        requesting.sendall(request_bytes("preview"))
        harness.client_connections.evict_idle_connection()
        await asyncio.sleep(1.0)
        assert b" 200 OK" in await harness.read_available(requesting)
        assert (
            harness.client_connections.evict_idle_connection() and await harness.read_available(silent) == b""
        )

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("awaits_body", [False, True])  # False: a part of the head is missing, too
def test_eviction_spares_a_request_completed_in_the_same_iteration(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, awaits_body: bool
) -> None:
    receive = Connection.data_received

    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        client = harness.connect()
        cut = -3 if awaits_body else 40
        client.sendall(request_bytes("accession")[:cut])
        await run_loop_iterations()
        await asyncio.sleep(1.5)  # the connection has reached the minimum age for eviction

        def receive_and_evict(connection: Connection, data: bytes) -> None:
            receive(connection, data)
            assert not harness.client_connections.evict_idle_connection()

        monkeypatch.setattr(Connection, "data_received", receive_and_evict)
        client.sendall(request_bytes("accession")[cut:])
        await asyncio.sleep(1.0)
        assert b" 200 OK" in await harness.read_available(client)

    run_scenario(tmp_path, scenario)


def test_eviction_spares_a_gearman_peer_with_an_unread_first_packet(tmp_path: Path) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        gearman = harness.subsystems.gearman
        assert gearman
        peer = harness.connect("gearman")
        await run_loop_iterations()
        peer.sendall(encode(PacketType.ECHO_REQ, b"here", magic=REQUEST_MAGIC))
        assert not gearman.evict_idle_connection()
        assert await harness.read_available(peer) == encode(PacketType.ECHO_RES, b"here")
        silent = harness.connect("gearman")
        await run_loop_iterations()
        assert gearman.evict_idle_connection() and b"CLOSED_FOR_ROOM" in await harness.read_available(silent)

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("sends_on", [False, True])  # closing with unread input would reset the connection
def test_gearman_client_receives_its_result_before_its_connection_closes(
    tmp_path: Path, sends_on: bool
) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start(listed=False)
        worker, client = harness.connect("gearman"), harness.connect("gearman")
        worker.sendall(encode(PacketType.CAN_DO, b"file_specimen", magic=REQUEST_MAGIC))
        await run_loop_iterations()
        client.sendall(encode(PacketType.SUBMIT_JOB, b"file_specimen", b"u", b"sheet", magic=REQUEST_MAGIC))
        await harness.read_available(client)
        assert harness.subsystems.gearman
        for connection in harness.subsystems.gearman._connections:  # a small kernel buffer
            connection._transport.get_extra_info("socket").setsockopt(  # type: ignore[union-attr]
                socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
            )
        worker.sendall(encode(PacketType.GRAB_JOB, magic=REQUEST_MAGIC))
        handle = (await harness.read_available(worker))[12:].split(b"\0")[0]
        worker.setblocking(True)
        worker.sendall(encode(PacketType.WORK_COMPLETE, handle, b"x" * 262_000, magic=REQUEST_MAGIC))
        end = asyncio.create_task(harness.subsystems.close())
        await asyncio.sleep(0.5)
        assert not end.done(), "close must wait until the client has read its answer"
        if sends_on:
            client.setblocking(True)
            client.sendall(encode(PacketType.ECHO_REQ, b"y" * 1000, magic=REQUEST_MAGIC))
        got = b""
        while piece := await harness.read_available(client):
            got += piece
            await asyncio.sleep(0.001)
        assert got.endswith(b"x" * 262_000)
        began = harness.loop.time()
        client.close()
        worker.close()
        await end
        assert harness.loop.time() - began < 0.1, "close must not wait once both peers have disconnected"

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("first", ["answer", "leave"])
@pytest.mark.parametrize("manner", ["close", "reset"])
def test_answer_and_client_disconnect_in_the_same_iteration_give_one_outcome(
    tmp_path: Path, first: str, manner: str
) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        harness.worker.answers_requests = False
        client = harness.connect()
        client.sendall(request_bytes("accession"))
        while not harness.worker.complete_requests:
            await asyncio.sleep(0.001)
        for what in (first, "leave" if first == "answer" else "answer"):
            if what == "answer":
                harness.worker.respond(0)
            else:
                disconnect(client, manner)
        await run_loop_iterations()
        await asyncio.sleep(1.0)
        assert sum(harness.subsystems.measure.answers.values()) == 1
        assert harness.scheduler.open_request_count == 0 and harness.worker.complete_requests == 1

    run_scenario(tmp_path, scenario)


def test_shutdown_waits_for_a_request_with_a_deadline_longer_than_its_class(tmp_path: Path) -> None:
    async def scenario() -> None:
        lanes = [{**lane, "aim": 100.0, "deadline": 500.0} for lane in SETTINGS["lanes"]]
        harness = SchedulerHarness(tmp_path, lanes=lanes)
        program = Program(lambda: LoadedConfiguration(harness.config))
        await program.start()
        assert program.context.acceptor
        worker = await asyncio.start_server(harness.worker.serve, "127.0.0.1", 0)
        client = socket.create_connection(program.context.acceptor._listener.getsockname(), 5.0)
        client.sendall(request_bytes("accession", deadline_s=9.0))
        harness.worker.answers_requests = False
        address = "{}:{}".format(*worker.sockets[0].getsockname()[:2])
        entry = {"uid": "w1", "endpoint": address, "state": "ready"}
        change = parse_endpoint_list({"rev": 1, "all": True, "targets": [entry]})
        subsystems = program.context.subsystems
        subsystems.scheduler.update_endpoints(*subsystems.registry.apply(change))
        while not harness.worker.complete_requests:
            await asyncio.sleep(0.001)
        leaving = asyncio.create_task(program.shut_down())
        await asyncio.sleep(4.0)
        assert not leaving.done()
        harness.worker.respond(0)
        await leaving
        assert b" 200 OK" in await harness.read_available(client)
        client.close()
        worker.close()
        harness.acceptor.close()

    with asyncio.Runner(loop_factory=GatedConnectLoop) as runner:
        runner.run(scenario())


def test_process_stops_when_its_successor_dies_and_its_address_is_in_use(tmp_path: Path) -> None:
    """The old process cannot bind its address again, so it stops instead of running without a listener."""

    async def scenario() -> None:
        config = SchedulerHarness(tmp_path).config
        program = Program(lambda: LoadedConfiguration(config))

        def raise_address_in_use() -> Acceptor:
            raise OSError("address in use")

        program.context.bind_clients = raise_address_in_use  # type: ignore[method-assign]
        await program.hot_restart.resume()
        assert program.context.stop_requested.is_set()

    with asyncio.Runner(loop_factory=GatedConnectLoop) as runner:
        runner.run(scenario())


# ---- Windows ----


def _guarded_lanes(window: float) -> list[dict[str, object]]:
    return [
        {**lane, "semantics": "guarded", "group": "all", "memorySpan": window} for lane in SETTINGS["lanes"]
    ]


@pytest.mark.parametrize("reset_at", [0.5, 0.9])  # within a window of 1 s
def test_retry_whose_connection_opens_after_the_deduplication_window_is_not_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, reset_at: float
) -> None:
    """Guards against checking the window only when the worker is chosen, before a slow connect."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(composition, "make_unix_ms_clock", lambda: lambda: loop.time() * 1000)
        harness = SchedulerHarness(tmp_path, lanes=_guarded_lanes(1000.0))
        await harness.start()
        harness.worker.answers_requests = False
        client = harness.connect()
        client.sendall(request_bytes("accession"))
        while not harness.worker.complete_requests:
            await asyncio.sleep(0.001)
        sent = harness.loop.time()
        await asyncio.sleep(reset_at - 0.01)
        harness.loop.connects_allowed.clear()
        harness.worker.writers[0].transport.abort()
        await run_loop_iterations()
        retried_at = None
        while harness.loop.time() < sent + 3.0:
            # An attempt that was chosen by now has been connecting all this time.
            if harness.loop.time() > sent + reset_at + 0.2:
                harness.loop.connects_allowed.set()
            await asyncio.sleep(0.005)
            if retried_at is None and harness.worker.complete_requests == 2:
                retried_at = harness.loop.time() - sent
        await harness.close()
        assert retried_at is None if reset_at > 0.7 else retried_at is not None and retried_at < 1.0

    with asyncio.Runner(loop_factory=GatedConnectLoop) as runner:
        runner.run(scenario())


@pytest.mark.parametrize("after_window", [False, True])
def test_retry_is_not_assigned_to_a_gearman_worker_after_the_deduplication_window(
    tmp_path: Path, after_window: bool
) -> None:
    async def scenario() -> None:
        harness = SchedulerHarness(tmp_path, lanes=_guarded_lanes(1000.0))
        await harness.start(listed=False)
        first, second, client = (harness.connect("gearman") for _ in range(3))
        can_do = encode(PacketType.CAN_DO, b"file_specimen", magic=REQUEST_MAGIC)
        first.sendall(can_do)
        await run_loop_iterations()
        client.sendall(encode(PacketType.SUBMIT_JOB, b"file_specimen", b"u1", b"sheet", magic=REQUEST_MAGIC))
        await run_loop_iterations()
        first.sendall(encode(PacketType.GRAB_JOB, magic=REQUEST_MAGIC))
        assert (await harness.read_available(first)).endswith(b"sheet")
        second.sendall(can_do)
        await run_loop_iterations()
        first.close()  # the job may have run
        await asyncio.sleep(1.2 if after_window else 0.5)
        second.sendall(encode(PacketType.GRAB_JOB, magic=REQUEST_MAGIC))
        got = await harness.read_available(second)
        assert got == encode(PacketType.NO_JOB) if after_window else got.endswith(b"sheet")
        await harness.close()

    with asyncio.Runner(loop_factory=GatedConnectLoop) as runner:
        runner.run(scenario())


# ---- Settings ----


@pytest.mark.parametrize("wait", [0.0, SETTLE_S / 2])
def test_second_reload_that_reverts_the_first_cancels_its_pending_step(tmp_path: Path, wait: float) -> None:
    """The delayed step of the first reload would mark a class as idempotent that the second does not."""

    async def scenario() -> None:
        config = SchedulerHarness(tmp_path).config
        lanes = {c.name: c for c in config.settings.classes}
        idempotent = replace(lanes["accession"], retry_safety=RetrySafety.IDEMPOTENT)
        relaxed_settings = replace(
            config.settings, classes=tuple({**lanes, "accession": idempotent}.values())
        )
        documents = [config, replace(config, settings=relaxed_settings), config]
        program = Program(lambda: LoadedConfiguration(documents.pop(0) if documents else config))
        program.reloader.reload()
        await asyncio.sleep(wait)
        program.reloader.reload()
        await asyncio.sleep(2 * SETTLE_S)
        in_force = {c.name: c.retry_safety for c in program.reloader.settings.classes}
        assert in_force["accession"] is RetrySafety.NOT_IDEMPOTENT

    with asyncio.Runner(loop_factory=GatedConnectLoop) as runner:
        runner.run(scenario())


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
    """Each answer gives exactly one outcome, and the scheduler stops reading an endless one."""
    first, rest, expected = ANSWERS[name]

    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        sent = 0

        async def answer_malformed(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal sent
            await reader.readuntil(b"hello")
            writer.write(first)
            try:
                while rest is not None and sent < 40_000_000:
                    writer.write(rest)
                    sent += len(rest)
                    await writer.drain()
                if expected is Result.RESET:
                    await asyncio.sleep(1.0)
            except ConnectionError:
                pass
            writer.close()

        server = await asyncio.start_server(answer_malformed, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        harness.move_endpoint("w1", address)
        context = AttemptContext(30.0, lambda: None)
        request = Request("a1", "preview", 30.0, "/preview", b"hello")
        endings: list[AttemptOutcome] = [await harness.subsystems.backends.attempt("w1", request, context)]
        assert [e.result for e in endings] == [expected], endings
        await asyncio.sleep(2.0)
        assert sent < 12_000_000, "an endless answer must be cut off"
        server.close()

    run_scenario(tmp_path, scenario)


def test_backend_that_moves_during_connect_is_not_sent_to_at_its_old_address(tmp_path: Path) -> None:
    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start()
        harness.loop.connects_allowed.clear()
        request = Request("a1", "preview", 30.0, "/preview", b"hello")
        attempt = asyncio.create_task(
            harness.subsystems.backends.attempt("w1", request, AttemptContext(30.0, lambda: None))
        )
        await run_loop_iterations()
        harness.move_endpoint("w1", "127.0.0.1:9")
        harness.loop.connects_allowed.set()
        assert (await attempt).result is Result.NOT_SENT and harness.worker.complete_requests == 0

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("attempt", ["first", "further"])
def test_attempt_after_a_slow_connect_sends_the_remaining_deadline(tmp_path: Path, attempt: str) -> None:
    """Guards against sending the time that was left when the connect began instead of when it was done."""
    patience, connect_delay_s = 6.0, 1.5

    async def scenario(harness: SchedulerHarness) -> None:
        await harness.start(names=("w1", "w2"))
        if attempt == "further":
            harness.worker.remaining_rejections = 1
            harness.worker.on_rejection.append(harness.loop.connects_allowed.clear)
        else:
            harness.loop.connects_allowed.clear()
        client = harness.connect()
        client.sendall(request_bytes("preview", deadline_s=patience))
        asked_at = harness.loop.time()
        while harness.loop.connect_count < (2 if attempt == "further" else 1):
            await asyncio.sleep(0.001)
        harness.loop.call_later(connect_delay_s, harness.loop.connects_allowed.set)
        while b" 200 OK" not in await harness.read_available(client):
            await asyncio.sleep(0.01)
        sent_deadline = re.search(rb"Req-Deadline: (\d+)m", harness.worker.received[-1])
        assert sent_deadline and connect_delay_s <= harness.loop.time() - asked_at
        assert patience - 2 * connect_delay_s < int(sent_deadline[1]) / 1000 <= patience - connect_delay_s

    run_scenario(tmp_path, scenario, policyLimits={**SETTINGS["policyLimits"], "connectTimeout": 2000.0})

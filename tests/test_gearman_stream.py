"""Gearman byte streams that end in a protocol error, received in segments of different sizes."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from scheduler_harness import GatedConnectLoop, SchedulerHarness
from test_gearman_chaos import packet
from test_job_queue import FREE, ONCE

from oxbowyard.core.memory_budget import Holder, MemoryBudget
from oxbowyard.gearman.codec import Packet, TextCommand
from oxbowyard.gearman.config import parse
from oxbowyard.gearman.connection import Connection
from oxbowyard.gearman.errors import ErrorCode
from oxbowyard.gearman.packet_input import CONNECTION_BYTES, SLICE_PACKETS
from oxbowyard.gearman.packet_types import PacketType
from oxbowyard.gearman.submission import parse_submission
from oxbowyard.listeners.disconnects import half_close
from oxbowyard.listeners.fair_queue import FairQueue

CONFIG = parse({"listen": "127.0.0.1:0", "functions": {"f": {"class": "free"}}}, (FREE, ONCE))
ECHO, SUBMIT_BACKGROUND = 16, 18


class Owner:
    def __init__(self) -> None:
        self.errors: list[ErrorCode] = []

    def admit(self, connection: Connection) -> bool:
        return True

    def may_buffer(self, additional_bytes: int) -> bool:
        return True

    def count_error(self, code: ErrorCode) -> None:
        self.errors.append(code)

    def count_unread(self) -> None:
        pass

    def release(self, connection: Connection) -> None:
        pass

    def on_draining(self, connection: Connection) -> None:
        pass

    def on_closed(self, connection: Connection) -> None:
        pass


class Handler:
    """Records the items; may pause the input at the first one, as a job that is being stored does."""

    def __init__(self, connection: Connection, pauses: bool) -> None:
        self.items: list[Packet | TextCommand] = []
        self.connection, self.pauses = connection, pauses

    def handle(self, item: Packet | TextCommand) -> None:
        self.items.append(item)
        if self.pauses and len(self.items) == 1:
            self.connection.pause_input()

    def disconnect(self) -> None:
        pass


class Transport(asyncio.Transport):
    def __init__(self) -> None:
        super().__init__()
        self.sent = b""

    def write(self, data: object) -> None:
        self.sent += bytes(data)  # type: ignore[call-overload]

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def can_write_eof(self) -> bool:
        return False

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass


GOOD = packet(ECHO, b"one") + packet(SUBMIT_BACKGROUND, b"f", b"u", b"sheet")
BAD = {
    "magic": (b"\0BAD" + b"\0" * 8, ErrorCode.INVALID_MAGIC),
    "large": (b"\0REQ" + (16).to_bytes(4, "big") + b"\xff" * 4, ErrorCode.PACKET_TOO_LARGE),
}


@pytest.mark.parametrize("pauses", [False, True])
@pytest.mark.parametrize("fault", BAD)
@pytest.mark.parametrize("piece", [1, 7, 20, 1000])
def test_complete_packets_before_an_error_are_handled_for_any_segmentation(
    piece: int, fault: str, pauses: bool
) -> None:
    # Guards against jobs that are dropped because a later byte of the same segment is invalid.
    async def scene() -> None:
        bad, code = BAD[fault]
        data = GOOD + bad
        handlers: list[Handler] = []
        owner = Owner()

        def make(connection: Connection) -> Handler:
            handlers.append(Handler(connection, pauses))
            return handlers[-1]

        connection = Connection(CONFIG, owner, make, MemoryBudget(1 << 26), FairQueue())
        connection.connection_made(Transport())
        for start in range(0, len(data), piece):
            connection.data_received(data[start : start + piece])
            await asyncio.sleep(0)
        if pauses:
            assert len(handlers[0].items) == 1 and owner.errors == []
            connection.resume_input()
        for _ in range(100):  # the connection handles its input in slices
            await asyncio.sleep(0)
        assert [item.type for item in handlers[0].items if isinstance(item, Packet)] == [
            ECHO,
            SUBMIT_BACKGROUND,
        ]
        assert owner.errors == [code]
        connection.connection_lost(None)

    asyncio.run(scene())


def test_workload_with_nul_as_its_own_unique_id_is_not_split() -> None:
    # Guards against a worker that receives a part of the unique id as its workload.
    workload = b"first\0second"
    submission = parse_submission(PacketType.SUBMIT_JOB, [b"f", b"-", workload], CONFIG.functions, False)
    assert submission.workload == workload and b"\0" not in submission.unique
    other = parse_submission(PacketType.SUBMIT_JOB, [b"f", b"-", b"first\0other"], CONFIG.functions, False)
    assert other.unique != submission.unique
    plain = parse_submission(PacketType.SUBMIT_JOB, [b"f", b"-", b"sheet"], CONFIG.functions, False)
    assert plain.unique == b"sheet"


def test_peer_that_does_not_read_has_no_further_packets_handled() -> None:
    # Guards against responses that pile up for peers which read none of them (issue 56).
    async def scene() -> None:
        handlers: list[Handler] = []

        def make(connection: Connection) -> Handler:
            handlers.append(Handler(connection, False))
            return handlers[-1]

        memory = MemoryBudget(1 << 26)
        connection = Connection(CONFIG, Owner(), make, memory, FairQueue())
        connection.connection_made(Transport())
        connection.pause_writing()
        connection.data_received(GOOD)
        for _ in range(100):
            await asyncio.sleep(0)
        assert handlers[0].items == [] and memory.used_by[Holder.GEARMAN] == CONNECTION_BYTES + len(GOOD)
        connection.resume_writing()
        for _ in range(100):
            await asyncio.sleep(0)
        assert len(handlers[0].items) == 2
        connection.connection_lost(None)
        assert memory.used_bytes == 0

    asyncio.run(scene())


def test_one_peer_handles_a_few_packets_at_a_time() -> None:
    # Guards against one connection that holds the event loop for thousands of packets (issue 56).
    async def scene() -> None:
        handlers: list[Handler] = []

        def make(connection: Connection) -> Handler:
            handlers.append(Handler(connection, False))
            return handlers[-1]

        connection = Connection(CONFIG, Owner(), make, MemoryBudget(1 << 26), FairQueue())
        connection.connection_made(Transport())
        connection.data_received(packet(ECHO, b"") * 5000)
        assert len(handlers[0].items) == SLICE_PACKETS
        connection.connection_lost(None)

    asyncio.run(scene())


class ResetTransport(Transport):
    """A transport whose peer has reset the connection, which the event loop has not seen yet."""

    def __init__(self) -> None:
        super().__init__()
        self.is_aborted = False

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        raise OSError(107, "Transport endpoint is not connected")

    def abort(self) -> None:
        self.is_aborted = True


def test_half_close_of_a_reset_connection_aborts_it() -> None:
    # Guards against an error in a callback that leaves the connection open for good (issue 56, soak seed 25).
    transport = ResetTransport()
    half_close(transport)
    assert transport.is_aborted


def test_connections_that_drain_count_against_the_limit(tmp_path: Path) -> None:
    # Guards against more descriptors than configured, while peers are ended and come again (issue 56, soak).
    async def scene() -> None:
        harness = SchedulerHarness(tmp_path)
        front = harness.subsystems.gearman
        assert front is not None
        transports: list[ClosingTransport] = []
        for _ in range(3 * front.config.max_connections):
            connection = front.make_connection()
            transports.append(ClosingTransport(connection))
            connection.connection_made(transports[-1])
            connection.data_received(b"\0BAD" + b"\0" * 8)
            await asyncio.sleep(0)
            assert len(front._connections) + len(front._draining) <= front.config.max_connections
        still_open = [transport for transport in transports if not transport.is_closing()]
        assert len(still_open) <= front.config.max_connections

    with asyncio.Runner(loop_factory=GatedConnectLoop) as runner:
        runner.run(scene())


class ClosingTransport(Transport):
    """A transport that tells its protocol of its close."""

    def __init__(self, protocol: asyncio.BaseProtocol) -> None:
        super().__init__()
        self._protocol, self._is_closed = protocol, False

    def is_closing(self) -> bool:
        return self._is_closed

    def close(self) -> None:
        if not self._is_closed:
            self._is_closed = True
            self._protocol.connection_lost(None)

"""Unit tests of the HTTP backend transport and the registry of addresses."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from oxbowyard.backends.http import HttpBackends
from oxbowyard.core.memory_budget import MemoryBudget
from oxbowyard.core.request import AttemptContext, AttemptOutcome, Request
from oxbowyard.decision.facade import Result
from oxbowyard.discovery.endpoint_list import parse_endpoint_list
from oxbowyard.discovery.registry import DRAIN_MARGIN_MS, Registry


def apply_entry(registry: Registry, port: int, state: str) -> None:
    row = {"uid": "w", "endpoint": f"127.0.0.1:{port}", "state": state}
    registry.apply(parse_endpoint_list({"rev": 1, "all": True, "targets": [row]}))


def test_request_is_not_sent_when_drain_grace_ends_while_connecting() -> None:
    """A slow connect may outlast the drain grace, within which the first byte has to be sent."""
    received: list[bytes] = []
    clock = [0.0]

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received.append(await reader.read())
        writer.close()

    async def scenario() -> AttemptOutcome:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        registry = Registry(lambda: clock[0], 1000.0)
        backends = HttpBackends(registry, {}, 250.0)
        port = server.sockets[0].getsockname()[1]
        apply_entry(registry, port, "draining")
        lookup = registry.address

        def address(uid: str) -> str | None:  # the first lookup precedes the connect, which is slow
            found = lookup(uid)
            clock[0] = 1000.0 - DRAIN_MARGIN_MS
            return found

        registry.address = address  # type: ignore[method-assign]
        context = AttemptContext(1.0, lambda: None)
        outcome = await backends.attempt("w", Request("r", "preview", 1.0, "/preview", b"body"), context)
        assert not context.is_last_byte_written
        await backends.close()
        server.close()
        await server.wait_closed()
        await asyncio.sleep(0)
        return outcome

    outcome = asyncio.run(scenario())
    assert outcome.result is Result.NOT_SENT and "left while connecting" in outcome.reason
    assert b"".join(received) == b""


def test_backend_that_left_and_returned_has_its_new_address() -> None:
    registry = Registry(lambda: 5000.0, 1000.0)
    apply_entry(registry, 1, "gone")
    assert registry.address("w") == "127.0.0.1:1"  # within the drain grace of one second
    apply_entry(registry, 2, "ready")
    assert registry.address("w") == "127.0.0.1:2" and registry.address("x") is None


@pytest.mark.parametrize(
    ("job_class", "is_complete", "result"),
    [
        ("accession", False, Result.UNREACHABLE),  # reset before the last byte: the job never ran
        ("accession", True, Result.RESET),
        ("preview", True, Result.RESET),
    ],
)
def test_reset_counts_as_unreachable_only_before_the_last_request_byte(
    job_class: str, is_complete: bool, result: Result
) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(5 if is_complete else 4)
        writer.transport.abort()

    async def scenario() -> AttemptOutcome:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        registry = Registry(lambda: 0.0, 1000.0)
        apply_entry(registry, server.sockets[0].getsockname()[1], "ready")
        backends = HttpBackends(registry, {}, 250.0, {"accession"})
        request = Request("r", job_class, 1.0, "/x", b"sheet")
        outcome = await backends.attempt("w", request, AttemptContext(1.0, lambda: None))
        await backends.close()
        server.close()
        return outcome

    assert asyncio.run(scenario()).result is result


def test_each_attempt_opens_a_new_connection() -> None:
    """A reused connection may already be closed without notice: a request written to it ends as a reset."""
    ports: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ports.append(writer.get_extra_info("peername")[1])
        line = b'{"id":"r","state":"done","result":"made"}'
        with contextlib.suppress(asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(line) + line)
        writer.close()

    async def scenario() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        registry = Registry(lambda: 0.0, 1000.0)
        apply_entry(registry, server.sockets[0].getsockname()[1], "ready")
        backends = HttpBackends(registry, {}, 250.0)
        for _ in range(3):
            context = AttemptContext(1.0, lambda: None)
            assert (
                await backends.attempt("w", Request("r", "preview", 1.0, "/x"), context)
            ).result is Result.OK
        await backends.close()
        server.close()

    asyncio.run(scenario())
    assert len(ports) == len(set(ports)) == 3


def _answer_memory(answer: bytes, attempts: int, limit_bytes: int) -> tuple[list[AttemptOutcome], int]:
    """Make attempts at once at a worker that sends this answer; return the outcomes and the peak memory."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n\r\n" + answer)
            await writer.drain()
            await reader.read()
        writer.close()

    async def scenario() -> tuple[list[AttemptOutcome], int]:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        registry = Registry(lambda: 0.0, 1000.0)
        apply_entry(registry, server.sockets[0].getsockname()[1], "ready")
        memory = MemoryBudget(limit_bytes)
        backends = HttpBackends(registry, {}, 250.0, memory=memory)
        request = Request("r", "preview", 3.0, "/x")
        pending = [
            asyncio.wait_for(backends.attempt("w", request, AttemptContext(3.0, lambda: None)), 3.0)
            for _ in range(attempts)
        ]
        outcomes = await asyncio.gather(*pending)
        await backends.close()
        server.close()
        assert memory.used_bytes == 0
        return outcomes, memory.peak_bytes

    return asyncio.run(scenario())


def test_answers_without_an_end_are_read_within_the_memory_budget() -> None:
    # Guards against worker answers that fill the memory, each up to its own limit (issue 56).
    limit_bytes = 1 << 20
    outcomes, peak_bytes = _answer_memory(b"x" * 3_000_000, 20, limit_bytes)
    assert {outcome.result for outcome in outcomes} == {Result.RESET}
    assert peak_bytes <= limit_bytes


def test_largest_result_of_the_protocol_is_read() -> None:
    # Guards against a limit that rejects 64 KiB which JSON has escaped.
    result = "\\u0001" * 65536
    line = f'{{"id":"r","state":"started"}}\n{{"id":"r","state":"done","result":"{result}"}}\n'.encode()
    ((outcome,), _) = _answer_memory(line, 1, 16 << 20)
    assert outcome.result is Result.OK and outcome.body == b"\x01" * 65536

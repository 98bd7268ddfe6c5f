"""The HTTP transport alone."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from oxbowyard.backends.http import HttpBackends
from oxbowyard.core.request import AttemptContext, AttemptOutcome, Request
from oxbowyard.decision.facade import Result
from oxbowyard.discovery.endpoint_list import parse_endpoint_list
from oxbowyard.discovery.registry import DRAIN_MARGIN_MS, Registry


def listed(registry: Registry, port: int, state: str) -> None:
    row = {"uid": "w", "endpoint": f"127.0.0.1:{port}", "state": state}
    registry.apply(parse_endpoint_list({"rev": 1, "all": True, "targets": [row]}))


def test_nothing_is_sent_once_the_drain_second_has_passed_while_connecting() -> None:
    """A slow connect may outlast it, and the second counts to the first byte sent."""
    got: list[bytes] = []
    clock = [0.0]

    async def taken(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        got.append(await reader.read())
        writer.close()

    async def play() -> AttemptOutcome:
        server = await asyncio.start_server(taken, "127.0.0.1", 0)
        registry = Registry(lambda: clock[0], 1000.0)
        backends = HttpBackends(registry, {}, 250.0)
        port = server.sockets[0].getsockname()[1]
        listed(registry, port, "draining")
        looked = registry.address

        def address(uid: str) -> str | None:  # the first look is before the connect, which takes long
            found = looked(uid)
            clock[0] = 1000.0 - DRAIN_MARGIN_MS
            return found

        registry.address = address  # type: ignore[method-assign]
        context = AttemptContext(1.0, lambda: None)
        ending = await backends.attempt("w", Request("r", "preview", 1.0, "/preview", b"body"), context)
        assert not context.is_last_byte_written
        await backends.close()
        server.close()
        await server.wait_closed()
        await asyncio.sleep(0)
        return ending

    ending = asyncio.run(play())
    assert ending.result is Result.NOT_SENT and "left while connecting" in ending.reason
    assert b"".join(got) == b""


def test_a_backend_that_left_and_came_back_is_sent_to() -> None:
    registry = Registry(lambda: 5000.0, 1000.0)
    listed(registry, 1, "gone")
    assert registry.address("w") == "127.0.0.1:1"  # within the second
    listed(registry, 2, "ready")
    assert registry.address("w") == "127.0.0.1:2" and registry.address("x") is None


@pytest.mark.parametrize(
    ("job_class", "whole", "result"),
    [
        ("accession", False, Result.UNREACHABLE),  # reset before its last byte: it never ran
        ("accession", True, Result.RESET),
        ("preview", True, Result.RESET),
    ],
)
def test_a_reset_before_the_last_byte_proves_that_the_job_never_ran(
    job_class: str, whole: bool, result: Result
) -> None:
    async def taken(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(5 if whole else 4)
        writer.transport.abort()

    async def play() -> AttemptOutcome:
        server = await asyncio.start_server(taken, "127.0.0.1", 0)
        registry = Registry(lambda: 0.0, 1000.0)
        listed(registry, server.sockets[0].getsockname()[1], "ready")
        backends = HttpBackends(registry, {}, 250.0, {"accession"})
        request = Request("r", job_class, 1.0, "/x", b"sheet")
        ending = await backends.attempt("w", request, AttemptContext(1.0, lambda: None))
        await backends.close()
        server.close()
        return ending

    assert asyncio.run(play()).result is result


def test_each_attempt_has_a_connection_of_its_own() -> None:
    """A kept one may be closed by then, unseen: what is written to it ends as a reset."""
    ports: list[int] = []

    async def taken(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ports.append(writer.get_extra_info("peername")[1])
        line = b'{"id":"r","state":"done","result":"made"}'
        with contextlib.suppress(asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(line) + line)
        writer.close()

    async def play() -> None:
        server = await asyncio.start_server(taken, "127.0.0.1", 0)
        registry = Registry(lambda: 0.0, 1000.0)
        listed(registry, server.sockets[0].getsockname()[1], "ready")
        backends = HttpBackends(registry, {}, 250.0)
        for _ in range(3):
            context = AttemptContext(1.0, lambda: None)
            assert (
                await backends.attempt("w", Request("r", "preview", 1.0, "/x"), context)
            ).result is Result.OK
        await backends.close()
        server.close()

    asyncio.run(play())
    assert len(ports) == len(set(ports)) == 3

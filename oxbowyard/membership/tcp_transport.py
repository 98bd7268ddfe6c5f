"""Requests between members over TCP: one connection for each request, with at most one reply.

Request and reply are one frame each: the length in four bytes, big-endian, followed by a message.
"""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable

from .drops import DropCounter, DropReason

FRAME_LENGTH = struct.Struct(">I")
MAX_OPEN_REQUESTS = 16  # requests of this member that are open at once
READ_BUFFER_BYTES = 1 << 16
ANY_HOST = "0.0.0.0"

RequestHandler = Callable[[bytes], bytes | None]  # takes a request's frame, returns the reply's or None


class TcpTransport:
    """Answers the requests of other members, and sends this member's own."""

    def __init__(
        self,
        host: str,
        max_connections: int,
        max_frame_bytes: int,
        timeout_s: float,
        on_request: RequestHandler,
        drops: DropCounter,
    ) -> None:
        self._host = host
        self._max_connections = max_connections
        self._max_frame_bytes = max_frame_bytes
        self._timeout_s = timeout_s  # for a complete request and its reply
        self._on_request = on_request
        self._drops = drops
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._requests: set[asyncio.Task[None]] = set()

    async def listen(self, port: int) -> int:
        """Start to accept connections; return the port. Raises OSError."""
        self._server = await asyncio.start_server(self._serve, self._host, port, limit=READ_BUFFER_BYTES)
        bound_port: int = self._server.sockets[0].getsockname()[1]
        return bound_port

    def request(self, address: str, frame: bytes, on_reply: Callable[[bytes], object]) -> None:
        """Send a request; `on_reply` is called if a reply arrives."""
        if len(self._requests) >= MAX_OPEN_REQUESTS:
            self._drops.add(DropReason.REQUEST_LIMIT)
            return
        task = asyncio.get_running_loop().create_task(self._request(address, frame, on_reply))
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)

    async def close(self) -> None:
        """Close every connection and cancel the open requests."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()
        for task in self._requests:
            task.cancel()
        await asyncio.gather(*self._requests, return_exceptions=True)

    async def _request(self, address: str, frame: bytes, on_reply: Callable[[bytes], object]) -> None:
        writer = None
        try:
            async with asyncio.timeout(self._timeout_s):
                reader, writer = await self._connect(address)
                writer.write(FRAME_LENGTH.pack(len(frame)) + frame)
                reply = await self._read_frame(reader)
            if reply is not None:
                on_reply(reply)
        except (OSError, ValueError, OverflowError, EOFError):
            self._drops.add(DropReason.REQUEST_FAILED)
        finally:
            if writer is not None:
                writer.transport.abort()  # nothing is expected after the reply

    async def _connect(self, address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect from the host that this member listens on, because the others know it by that address."""
        host, _, port = address.rpartition(":")
        local_address = None if self._host == ANY_HOST else (self._host, 0)
        return await asyncio.open_connection(
            host, int(port), local_addr=local_address, limit=READ_BUFFER_BYTES
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._connections) >= self._max_connections:
            self._drops.add(DropReason.STREAM_LIMIT)
            writer.transport.abort()
            return
        self._connections.add(writer)
        try:
            async with asyncio.timeout(self._timeout_s):
                await self._reply(reader, writer)
        except (OSError, EOFError):
            self._drops.add(DropReason.STREAM_BROKEN)
        finally:
            self._connections.discard(writer)
            writer.transport.abort()

    async def _reply(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await self._read_frame(reader)
        reply = None if request is None else self._on_request(request)
        if reply is None:
            return
        writer.write(FRAME_LENGTH.pack(len(reply)) + reply)
        await writer.drain()
        await reader.read(1)  # wait until the requester has read and closed: a reset could overtake the reply

    async def _read_frame(self, reader: asyncio.StreamReader) -> bytes | None:
        """Read a frame; return None if the other side closes without sending one.

        Raises EOFError for a truncated frame, and for one over the limit, whose content is not read.
        """
        try:
            head = await reader.readexactly(FRAME_LENGTH.size)
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise
            return None
        (length,) = FRAME_LENGTH.unpack(head)
        if length > self._max_frame_bytes:
            self._drops.add(DropReason.FRAME_TOO_LONG)
            raise EOFError
        return await reader.readexactly(length)

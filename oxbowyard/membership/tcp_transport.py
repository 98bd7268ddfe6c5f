"""Questions by TCP: a connection for each, a frame there and at most one back. A frame is its length in four
bytes, then a message."""

from __future__ import annotations

import asyncio
import struct
from collections import Counter
from collections.abc import Callable

LENGTH = struct.Struct(">I")
MOST_ASKED = 16  # questions of our own open at once; past it a question is not asked, and that is counted

Answer = Callable[[bytes], bytes | None]  # a question's frame to its answer's, if there is one


class Streams:
    """Answers the others' questions, and asks ours."""

    def __init__(
        self, host: str, most_streams: int, most_bytes: int, within: float, answer: Answer,
        counts: Counter[str],
    ) -> None:  # fmt: skip
        self._host = host
        self._most_streams = most_streams
        self._most_bytes = most_bytes
        self._within = within
        self._answer = answer
        self._counts = counts
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._asked: set[asyncio.Task[None]] = set()

    async def listen(self, port: int) -> int:
        """Take the others' connections from now on; raises OSError. Returns the port."""
        self._server = await asyncio.start_server(self._serve, self._host, port, limit=1 << 16)
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def ask(self, address: str, question: bytes, take: Callable[[bytes], object]) -> None:
        """Ask, and take the answer if one comes."""
        if len(self._asked) >= MOST_ASKED:
            self._counts["question not asked"] += 1
            return
        task = asyncio.get_running_loop().create_task(self._ask(address, question, take))
        self._asked.add(task)
        task.add_done_callback(self._asked.discard)

    async def close(self) -> None:
        """End every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            writer.transport.abort()
        for task in self._asked:
            task.cancel()
        await asyncio.gather(*self._asked, return_exceptions=True)

    async def _ask(self, address: str, question: bytes, take: Callable[[bytes], object]) -> None:
        host, _, port = address.rpartition(":")
        own = None if self._host == "0.0.0.0" else (self._host, 0)
        writer = None
        try:
            async with asyncio.timeout(self._within):
                reader, writer = await asyncio.open_connection(host, int(port), local_addr=own, limit=1 << 16)
                writer.write(LENGTH.pack(len(question)) + question)
                answer = await self._frame(reader)
            if answer is not None:
                take(answer)
        except (OSError, ValueError, OverflowError, EOFError):
            self._counts["question unanswered"] += 1
        finally:
            if writer is not None:
                writer.transport.abort()  # the answer is in: nothing else is expected

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._open) >= self._most_streams:
            self._counts["stream turned away"] += 1
            writer.transport.abort()
            return
        self._open.add(writer)
        try:
            async with asyncio.timeout(self._within):
                question = await self._frame(reader)
                answer = None if question is None else self._answer(question)
                if answer is not None:
                    writer.write(LENGTH.pack(len(answer)) + answer)
                    await writer.drain()
                    await reader.read(1)  # it closes once it has read: no reset overtakes the answer
        except (OSError, EOFError):
            self._counts["stream broke off"] += 1
        finally:
            self._open.discard(writer)
            writer.transport.abort()

    async def _frame(self, reader: asyncio.StreamReader) -> bytes | None:
        """A frame, or None where the other side sends none; a length past the limit is not waited for."""
        try:
            head = await reader.readexactly(LENGTH.size)
        except asyncio.IncompleteReadError as broken:
            if broken.partial:
                raise
            return None
        (length,) = LENGTH.unpack(head)
        if length > self._most_bytes:
            self._counts["frame too long"] += 1
            raise EOFError
        return await reader.readexactly(length)

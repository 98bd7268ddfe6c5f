"""Reads the lines of an answer with bounded memory, which counts against the budget of the process."""

from __future__ import annotations

import aiohttp

from ..core.memory_budget import Allocation
from .answer_tail import AnswerTooLongError

MAX_LINE_BYTES = 1 << 19  # 64 KiB may grow sixfold in JSON
BUFFER_COPIES = 2  # of a line: as it grows, and decoded
LINE_END = b"\n"


class AnswerMemoryFullError(ValueError):
    """There is no memory for the rest of an answer."""

    def __init__(self) -> None:
        super().__init__("no memory for the rest of the answer")


class LineReader:
    """Reads one answer line by line.

    Args:
        response: The response whose body is read.
        allocation: The memory that the answer takes; the caller releases it.
    """

    def __init__(self, response: aiohttp.ClientResponse, allocation: Allocation) -> None:
        self._content = response.content
        self._allocation = allocation
        self._buffer = bytearray()
        self._searched_to = 0  # no line ends before this offset in the buffer

    async def read_line(self) -> bytes:
        """Return the next line with its end; the rest without one at the end of the answer, then b"".

        Raises:
            AnswerTooLongError: The line has no end.
            AnswerMemoryFullError: The budget of the process has no space for the line.
        """
        while True:
            end = self._buffer.find(LINE_END, self._searched_to) + 1
            if end:
                return self._take(end)
            self._searched_to = len(self._buffer)
            if len(self._buffer) > MAX_LINE_BYTES:
                raise AnswerTooLongError
            data = await self._content.readany()
            if not data:
                return self._take(len(self._buffer))
            if not self._allocation.try_resize_owed(BUFFER_COPIES * (len(self._buffer) + len(data))):
                raise AnswerMemoryFullError
            self._buffer += data

    def _take(self, size: int) -> bytes:
        line = bytes(self._buffer[:size])
        del self._buffer[:size]
        self._searched_to = 0
        return line

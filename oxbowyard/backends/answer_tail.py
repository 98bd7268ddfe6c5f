"""Reading of the rest of an answer after its last line, so that its connection is not closed by a reset."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError

TAIL_TIMEOUT_S = 0.25  # for the chunks that follow the last line
MAX_TAIL_BYTES = 1 << 16
# Raised while reading an answer that is interrupted or malformed. ValueError covers a line that is too long
# and AnswerTooLongError.
ANSWER_READ_ERRORS = (aiohttp.ClientError, OSError, HttpProcessingError, ValueError)


class AnswerTooLongError(ValueError):
    """An answer exceeds the limit on its bytes or lines."""

    def __init__(self) -> None:
        super().__init__("answer without an end")


class TailReader:
    """Reads the rest of answers whose outcome is known, for a limited number of them at once.

    Args:
        max_tails: Maximum number of connections being read; a further one is closed immediately.
    """

    def __init__(self, max_tails: int) -> None:
        self._max_tails = max_tails
        self._tasks: set[asyncio.Task[None]] = set()

    def read(self, response: aiohttp.ClientResponse) -> None:
        """Read the rest of this answer in the background, then release its connection."""
        if response.content.at_eof():
            response.release()
            return
        if len(self._tasks) >= self._max_tails:
            response.close()
            return
        task = asyncio.create_task(_read_tail(response))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Close the connections that are being read."""
        for task in self._tasks:
            task.cancel()


async def _read_tail(response: aiohttp.ClientResponse) -> None:
    try:
        size = 0
        async with asyncio.timeout(TAIL_TIMEOUT_S):
            while size <= MAX_TAIL_BYTES and (chunk := await response.content.readany()):
                size += len(chunk)
        if size > MAX_TAIL_BYTES:
            raise AnswerTooLongError
        response.release()
    except (TimeoutError, *ANSWER_READ_ERRORS):
        response.close()
    except asyncio.CancelledError:
        response.close()
        raise

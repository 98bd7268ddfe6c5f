"""The connections of the admin API, on aiohttp's low-level server. Each serves a single request."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web
from aiohttp.web_request import BaseRequest

from ..clients.connection import Phase
from ..clients.connection_set import ConnectionSet
from ..core.memory_budget import MemoryBudget
from ..listeners.fair_queue import FairQueue

log = logging.getLogger("oxbowyard.control")

MAX_CONNECTIONS = 32  # default; beyond it the longest silent connection is evicted
MIN_SILENCE_S = 0.2  # minimum silence before a connection may be evicted
MAX_BODY_BYTES = 4096  # no request needs a body; larger ones are rejected without being read


@dataclass(slots=True, frozen=True)
class AdminResponse:
    """The response to one admin request."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain"


AdminHandler = Callable[[str, str], AdminResponse]  # from method and path


class AdminConnections(ConnectionSet):
    """The open connections of the admin API. Each is closed after its response."""

    def __init__(
        self,
        handler: AdminHandler,
        memory: MemoryBudget,
        input_queue: FairQueue,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        """Create an empty set of at most `max_connections` connections, whose requests `handler` answers."""
        super().__init__(self._handle, max_connections, memory, input_queue)
        self._handler = handler

    def evict_idle_connection(self) -> bool:
        """Close the connection that has been silent longest. Return whether one was closed."""
        now = asyncio.get_running_loop().time()
        silent = [c for c in self._open if c.phase in (Phase.SILENT, Phase.READING)]
        longest = min(silent, key=lambda connection: connection.phase_started_at, default=None)
        if longest is None or now - longest.phase_started_at < MIN_SILENCE_S:
            return False
        self._evict(longest)
        return True

    async def close(self) -> None:
        """Close every connection."""
        for connection in list(self._open):
            connection.force_close()

    async def _handle(self, request: BaseRequest) -> web.StreamResponse:
        answer = self._answer(request)
        response = web.Response(status=answer.status, body=answer.body, content_type=answer.content_type)
        response.force_close()
        return response

    def _answer(self, request: BaseRequest) -> AdminResponse:
        try:
            if _has_oversized_body(request):  # the body is discarded when the connection closes
                return AdminResponse(413, b"a call has no body\n")
            return self._handler(request.method, request.path)
        except Exception:  # an internal error must not leave the request unanswered
            log.exception(
                "internal error while answering the admin API: method=%s path=%s",
                request.method,
                request.path,
            )
            return AdminResponse(500, b"internal fault\n")


def _has_oversized_body(request: BaseRequest) -> bool:
    is_too_long = (request.content_length or 0) > MAX_BODY_BYTES
    return is_too_long or bool(request.headers.get("Transfer-Encoding"))

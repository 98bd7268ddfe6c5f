"""The admin API's connections, on aiohttp's low-level server: one request each, answered at once."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web
from aiohttp.web_request import BaseRequest

from ..clients.connection import Phase
from ..clients.connection_set import ConnectionSet

log = logging.getLogger("oxbowyard.control")

MAX_CONNECTIONS = 32  # by default; past it the connection that is silent longest is evicted for a new one
MIN_SILENCE_S = 0.2  # before a silent connection may be evicted
MAX_BODY_BYTES = 4096  # requests need no body; one with a larger body is rejected unread


@dataclass(slots=True, frozen=True)
class AdminResponse:
    """The answer to one request."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain"


AdminHandler = Callable[[str, str], AdminResponse]  # method and path to a response


class AdminConnections(ConnectionSet):
    """The open connections of the admin API. Each answer closes its connection."""

    def __init__(self, handler: AdminHandler, max_connections: int = MAX_CONNECTIONS) -> None:
        """`handler` answers every request; `max_connections` may be open at once."""
        super().__init__(self._handle, max_connections)
        self._handler = handler

    def evict_idle_connection(self) -> bool:
        """Close the connection that is silent longest; returns whether there was one to close."""
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
            if _has_body(request):  # it is not read: it goes with the connection
                return AdminResponse(413, b"a call has no body\n")
            return self._handler(request.method, request.path)
        except Exception:  # guards the admin API: an error of ours is answered too
            log.exception(
                "internal error while answering the admin API: method=%s path=%s",
                request.method,
                request.path,
            )
            return AdminResponse(500, b"internal fault\n")


def _has_body(request: BaseRequest) -> bool:
    too_long = (request.content_length or 0) > MAX_BODY_BYTES
    return too_long or bool(request.headers.get("Transfer-Encoding"))

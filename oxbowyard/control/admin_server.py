"""The operators' door on aiohttp's low-level server: one call a connection, each answered at once."""

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

MAX_CALLERS = 32  # connections held at once by default; past it the one silent longest is closed for room
SILENT_FOR = 0.2  # seconds a silent caller may stay when another needs its room
MOST_CALL_BODY = 4096  # bytes: the calls have no body; a large one is no call of ours, and is not read


@dataclass(slots=True, frozen=True)
class Reply:
    """What a call is answered with: a status and a body."""

    status: int
    body: bytes = b""
    kind: str = "text/plain"


Ask = Callable[[str, str], Reply]  # method and path to a reply; raises nothing


class AdminSessions(ConnectionSet):
    """Holds the callers' connections. Each answer closes its connection: one call to one connection."""

    def __init__(self, ask: Ask, most: int = MAX_CALLERS) -> None:
        super().__init__(self._handle, most)
        self._ask = ask

    def evict_idle_connection(self) -> bool:
        """Close the caller silent longest: one that says nothing holds a place for nothing."""
        now = asyncio.get_running_loop().time()
        silent = [c for c in self._open if c.phase in (Phase.SILENT, Phase.UNFINISHED)]
        least = min(silent, key=lambda c: c.since, default=None)
        if least is None or now - least.since < SILENT_FOR:
            return False
        self._evict(least)
        return True

    async def close(self) -> None:
        """End every caller's connection."""
        for connection in list(self._open):
            connection.force_close()

    async def _handle(self, request: BaseRequest) -> web.StreamResponse:
        # No body is read: the calls have none, and what a caller sends on goes with the connection.
        try:
            if (request.content_length or 0) > MOST_CALL_BODY or request.headers.get("Transfer-Encoding"):
                reply = Reply(413, b"a call has no body\n")
            else:
                reply = self._ask(request.method, request.path)
        except Exception:  # guards the door: a fault of ours is a no, never a silence
            log.exception("fault while answering %s %s", request.method, request.path)
            reply = Reply(500, b"internal fault\n")
        response = web.Response(status=reply.status, body=reply.body, content_type=reply.kind)
        response.force_close()
        return response

"""The connections that one listener's owner holds: how many there are, and how many more may come."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.web_request import BaseRequest

from .connection import Connection

Handler = Callable[[BaseRequest], Awaitable[web.StreamResponse]]


class ConnectionSet:
    """Open connections, oldest first, each served by aiohttp's low-level server with `handler`."""

    def __init__(self, handler: Handler, most: int) -> None:
        self._most = most
        self._open: dict[Connection, None] = {}
        self.counts: Counter[str] = Counter()  # of what no line is logged for
        # A client that goes ends the wait for its answer.
        self.server = web.Server(handler, handler_cancellation=True)

    def make_connection(self) -> asyncio.Protocol:
        """For a new connection; `free` said that there is room for it."""
        connection = Connection(self.server, self)
        self._open[connection] = None
        return connection

    def left(self, connection: Connection) -> None:
        """A connection has ended."""
        self._open.pop(connection, None)

    @property
    def free(self) -> int:
        """How many more connections may come."""
        return max(self._most - len(self._open), 0)

    def _evict(self, connection: Connection) -> None:
        """Close one for another; its descriptor is free a moment later."""
        self.counts["closed for room"] += 1
        connection.yield_place()
        self.left(connection)

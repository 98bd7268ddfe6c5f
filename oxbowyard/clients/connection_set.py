"""The open connections of one listener, up to a maximum."""

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

    def __init__(self, handler: Handler, max_connections: int) -> None:
        """`handler` answers every request; `max_connections` may be open at once."""
        self._max_connections = max_connections
        self._open: dict[Connection, None] = {}
        self.counts: Counter[str] = Counter()  # of events that have no log line of their own
        # A disconnect cancels the handler.
        self.server = web.Server(handler, handler_cancellation=True)

    def make_connection(self) -> asyncio.Protocol:
        """The protocol of a new connection; `available_connections` says whether one may be accepted."""
        connection = Connection(self.server, self)
        self._open[connection] = None
        return connection

    def on_connection_lost(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        self._open.pop(connection, None)

    @property
    def available_connections(self) -> int:
        """How many more connections may be accepted."""
        return max(self._max_connections - len(self._open), 0)

    def _evict(self, connection: Connection) -> None:
        """Close one for a new one; its descriptor is free a moment later."""
        self.counts["evicted"] += 1
        connection.evict()
        self.on_connection_lost(connection)

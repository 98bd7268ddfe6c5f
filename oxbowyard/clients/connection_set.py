"""The open connections of one listener, limited in number."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.web_request import BaseRequest

from .connection import Connection

Handler = Callable[[BaseRequest], Awaitable[web.StreamResponse]]


class ConnectionSet:
    """The open connections, oldest first, served by aiohttp's low-level server."""

    def __init__(self, handler: Handler, max_connections: int) -> None:
        """Create an empty set of at most `max_connections` connections, whose requests `handler` answers."""
        self._max_connections = max_connections
        self._open: dict[Connection, None] = {}
        self.counts: Counter[str] = Counter()  # events that are counted instead of logged one by one
        # A disconnect of the client cancels the handler.
        self.server = web.Server(handler, handler_cancellation=True)

    def make_connection(self) -> asyncio.Protocol:
        """Create the protocol of a new connection. The caller has checked `available_connections`."""
        connection = Connection(self.server, self)
        self._open[connection] = None
        return connection

    def on_connection_lost(self, connection: Connection) -> None:
        """Remove a closed connection from the set."""
        self._open.pop(connection, None)

    @property
    def available_connections(self) -> int:
        """The number of further connections that may be accepted."""
        return max(self._max_connections - len(self._open), 0)

    def _evict(self, connection: Connection) -> None:
        """Close a connection to free its file descriptor for a new one."""
        self.counts["evicted"] += 1
        connection.evict()
        self.on_connection_lost(connection)

"""The open connections of one listener, limited in number."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.web_request import BaseRequest

from ..core.memory_budget import MemoryBudget
from ..listeners.fair_queue import FairQueue
from .connection import Connection
from .limits import MAX_CONNECTIONS_MEMORY_SHARE
from .memory_costs import CONNECTION_BYTES
from .request_input import RequestInput

Handler = Callable[[BaseRequest], Awaitable[web.StreamResponse]]


class ConnectionSet:
    """The open connections, oldest first, served by aiohttp's low-level server."""

    def __init__(
        self, handler: Handler, max_connections: int, memory: MemoryBudget, input_queue: FairQueue
    ) -> None:
        """Create an empty set of connections.

        Args:
            handler: Answers the requests.
            max_connections: The maximum number of open connections.
            memory: The budget that the connections draw from, which may allow fewer of them.
            input_queue: Shares the event loop's time between the connections.
        """
        self._max_connections = max_connections
        self._memory = memory
        self._input_queue = input_queue
        self._open: dict[Connection, None] = {}
        self.counts: Counter[str] = Counter()  # events that are counted instead of logged one by one
        # A disconnect of the client cancels the handler.
        self.server = web.Server(handler, handler_cancellation=True)

    def make_connection(self) -> asyncio.Protocol:
        """Create the protocol of a new connection. The caller has checked `available_connections`."""
        connection = Connection(self.server, self, self._memory, self._input_queue)
        self._open[connection] = None
        return connection

    def on_connection_lost(self, connection: RequestInput) -> None:
        """Remove a closed connection from the set."""
        if isinstance(connection, Connection):
            self._open.pop(connection, None)

    @property
    def available_connections(self) -> int:
        """The number of further connections that may be accepted."""
        return max(self._connection_limit - len(self._open), 0)

    @property
    def _connection_limit(self) -> int:
        affordable = int(self._memory.limit_bytes * MAX_CONNECTIONS_MEMORY_SHARE) // CONNECTION_BYTES
        return min(self._max_connections, affordable)

    def _evict(self, connection: Connection) -> None:
        """Close a connection to free its file descriptor for a new one."""
        self.counts["evicted"] += 1
        connection.evict()
        self.on_connection_lost(connection)

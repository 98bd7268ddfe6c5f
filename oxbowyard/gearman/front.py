"""The Gearman front: its listener and all of its connections."""

from __future__ import annotations

import asyncio
from collections import Counter

from ..core.memory_budget import MemoryBudget
from ..listeners.acceptor import Acceptor
from ..listeners.fair_queue import FairQueue
from .config import GearmanConfig
from .connection import Connection
from .errors import ErrorCode
from .jobs import Jobs
from .peer import Peer
from .stale_updates import StaleUpdates
from .text_commands import TextCommands
from .worker_transport import WorkerTransport

FLUSH_TIMEOUT_S = 2.0  # at the end of the program, for peers to read the last responses


class GearmanFront:
    """Listens for Gearman peers, and owns and limits their connections.

    Args:
        config: The configuration, whose `max_connections` limits the connections.
        jobs: Serves the clients.
        transport: Serves the workers.
        memory: The budget that the connections draw from.
        input_queue: Shares the event loop's time between the connections.
    """

    def __init__(
        self,
        config: GearmanConfig,
        jobs: Jobs,
        transport: WorkerTransport,
        memory: MemoryBudget,
        input_queue: FairQueue,
    ) -> None:
        self.config = config
        self._memory = memory
        self._input_queue = input_queue
        memory.reclaimers.append(self._reclaim)
        self._jobs = jobs
        self._transport = transport
        self._commands = TextCommands(config, jobs, transport.workers)
        self._connections: dict[Connection, None] = {}  # oldest first
        self._draining: dict[Connection, None] = {}  # ended and not closed yet; oldest first
        self._acceptor: Acceptor | None = None
        self._all_ended: asyncio.Future[None] | None = None  # during `close`, done when no connection is left
        self.counts: Counter[str] = Counter()  # errors that are counted instead of logged one by one
        self._stale_updates = StaleUpdates(self.counts)
        transport.unfinished_runs.counts = self.counts

    def listen(self) -> None:
        """Start accepting connections."""
        self._acceptor = Acceptor("gearman", self.config.host, self.config.port, self)
        self._acceptor.open()

    def start_draining(self) -> None:
        """Stop accepting connections and jobs. Accepted jobs that somebody needs continue."""
        self._jobs.start_draining()
        if self._acceptor is not None:
            self._acceptor.close()

    async def close(self) -> None:
        """Close all connections, after each submission was answered and the peers had time to read."""
        await self._jobs.finish_submissions(FLUSH_TIMEOUT_S)
        for connection in list(self._connections):
            connection.finish()
        if self._connections:
            self._all_ended = asyncio.get_running_loop().create_future()
            await asyncio.wait({self._all_ended}, timeout=FLUSH_TIMEOUT_S)
        for connection in list(self._connections):
            connection.close()

    # ---- For the acceptor ----

    @property
    def available_connections(self) -> int:
        """The number of further connections to accept; at least 1, because excess ones are sent an error."""
        return max(self.config.max_connections - len(self._connections) - len(self._draining), 1)

    def make_connection(self) -> asyncio.Protocol:
        """Create the protocol of a new connection."""
        return Connection(self.config, self, self._make_peer, self._memory, self._input_queue)

    def _make_peer(self, connection: Connection) -> Peer:
        return Peer(connection, self._jobs, self._transport, self._commands, self._stale_updates)

    def evict_idle_connection(self) -> bool:
        """Close the oldest connection that has not sent a complete packet. Return False if there is none."""
        idle = next((c for c in self._connections if c.is_silent and not c.has_unread_data), None)
        if idle is None:
            return False
        idle.end(ErrorCode.EVICTED, "others need the connection")
        idle.close()
        return True

    # ---- For the connections ----

    def admit(self, connection: Connection) -> bool:
        """Add a new connection, if necessary in place of an idle one. Return False if there are too many."""
        self._close_draining(self.config.max_connections - len(self._connections) - 1)
        if len(self._connections) >= self.config.max_connections and not self.evict_idle_connection():
            return False
        self._connections[connection] = None
        return True

    def _close_draining(self, max_draining: int) -> None:
        """Close the oldest draining connections, so that all descriptors together stay within the limit."""
        while len(self._draining) > max(max_draining, 0):
            oldest = next(iter(self._draining))
            del self._draining[oldest]
            oldest.close()

    def on_draining(self, connection: Connection) -> None:
        """Count a connection that has ended and is not closed yet, since it has a descriptor."""
        self._draining[connection] = None

    def on_closed(self, connection: Connection) -> None:
        """Remove a connection whose descriptor is free again."""
        self._draining.pop(connection, None)

    def may_buffer(self, additional_bytes: int) -> bool:
        """Return whether all connections together may buffer `additional_bytes` of incomplete packets."""
        if additional_bytes <= 0:
            return True
        return sum(c.buffered_bytes for c in self._connections) <= self.config.max_buffered_bytes

    def count_unread(self) -> None:
        """Count a connection that is aborted because its peer does not read."""
        self.counts["not reading"] += 1

    def _reclaim(self, size_bytes: int) -> None:
        """Release about `size_bytes` of memory, from the connections that hold most and are owed nothing."""
        candidates = [c for c in self._connections if c.may_give_way]
        candidates.sort(key=lambda connection: connection.cost_bytes, reverse=True)
        for connection in candidates:
            if size_bytes <= 0:
                return
            size_bytes -= connection.cost_bytes
            connection.give_way()

    def count_error(self, code: ErrorCode) -> None:
        """Count an error that ends a connection."""
        self.counts[code.value.lower().replace("_", " ")] += 1

    def release(self, connection: Connection) -> None:
        """Remove a connection that has ended."""
        self._connections.pop(connection, None)
        if not self._connections and self._all_ended is not None and not self._all_ended.done():
            self._all_ended.set_result(None)

"""Client connections on aiohttp's low-level server, which pass requests on to the scheduler core."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Collection

from aiohttp import web
from aiohttp.web_request import BaseRequest

from ..core.memory_budget import MemoryBudget
from ..core.scheduler import Scheduler
from ..listeners.fair_queue import FairQueue
from .connection import Phase
from .connection_set import ConnectionSet
from .errors import MethodNotAllowedError, RequestError
from .eviction import select_connection_to_evict, select_connections_to_give_way, select_connections_to_retire
from .request_handler import serve_request
from .request_input import RequestInput
from .responses import error_response

log = logging.getLogger("oxbowyard.clients")

READINESS_PATH = "/up"
JOBS_PATH = "/jobs"  # served only where deferred jobs are enabled

# Answers a request under JOBS_PATH. May raise RequestError.
JobsHandler = Callable[[BaseRequest, MemoryBudget | None], Awaitable[web.StreamResponse]]


def is_jobs_path(target: str) -> bool:
    """Return whether the request target belongs to the deferred-job API."""
    path = target.partition("?")[0]
    return path == JOBS_PATH or path.startswith(JOBS_PATH + "/")


class ClientConnections(ConnectionSet):
    """Reads requests from client connections and answers them."""

    def __init__(
        self,
        scheduler: Scheduler,
        classes: Collection[str],
        is_up: Callable[[], bool],
        max_connections: int,
        memory: MemoryBudget,
        input_queue: FairQueue,
        jobs_handler: JobsHandler | None = None,
    ) -> None:
        """Create the connection set of one listener.

        Args:
            scheduler: The scheduler core, which answers the requests.
            classes: The job classes that clients may name. A change of settings replaces them.
            is_up: Returns whether the scheduler is ready for clients.
            max_connections: The maximum number of open connections.
            memory: The budget that the connections and their requests draw from.
            input_queue: Shares the event loop's time between the connections.
            jobs_handler: Answers requests under `/jobs`; None if deferred jobs are disabled.
        """
        super().__init__(self._handle, max_connections, memory, input_queue)
        memory.reclaimers.append(self._reclaim)
        self._scheduler = scheduler
        self.classes = classes
        self._is_up = is_up
        self._jobs_handler = jobs_handler
        self._is_draining = False
        self._all_closed: asyncio.Future[None] | None = None  # awaited by `close`

    def on_connection_lost(self, connection: RequestInput) -> None:
        """Remove a closed connection from the set."""
        super().on_connection_lost(connection)
        if not self._open and self._all_closed is not None and not self._all_closed.done():
            self._all_closed.set_result(None)

    def evict_idle_connection(self) -> bool:
        """Close the connection that `clients.eviction` selects, to free its file descriptor.

        Returns:
            Whether there was a connection that may be closed.
        """
        now = asyncio.get_running_loop().time()
        evicted = select_connection_to_evict(self._open, self._connection_limit, now)
        if evicted is None:
            for connection in select_connections_to_retire(self._open):
                connection.close_after_response()
            return False
        self._evict(evicted)
        return True

    def _reclaim(self, size_bytes: int) -> None:
        """Release about `size_bytes` of memory, from the clients that `clients.eviction` selects."""
        for connection in select_connections_to_give_way(self._open, size_bytes):
            connection.give_way()

    def start_draining(self) -> None:
        """Close each connection after its next response."""
        self._is_draining = True

    def stop_draining(self) -> None:
        """Keep connections open after their responses again."""
        self._is_draining = False

    def close_idle(self) -> None:
        """Close the keep-alive connections on which no unread request has arrived.

        HTTP allows a server to close an idle connection: a client whose request crosses the close retries it.
        """
        idle = [c for c in self._open if c.phase is Phase.KEEP_ALIVE and not c.has_unread_request]
        for connection in idle:
            connection.force_close()

    async def close(self, timeout_s: float) -> None:
        """Close every connection as soon as no response is pending on it, and all of them after `timeout_s`.

        Requests that have arrived unread are read and answered first. The listener must be closed by now.
        """
        for connection in list(self._open):
            connection.close_when_idle()
        try:
            async with asyncio.timeout(timeout_s):
                while self._open:
                    self._all_closed = asyncio.get_running_loop().create_future()
                    await self._all_closed
        except TimeoutError:
            log.error("connections closed with a response pending: count=%d", len(self._open))
            for connection in list(self._open):
                connection.force_close()

    async def _handle(self, request: BaseRequest) -> web.StreamResponse:
        try:
            response = await self._respond(request)
        except RequestError as error:
            response = error_response(request, error)
        except Exception:
            log.exception("internal error while answering a client: path=%s", request.path)
            response = web.Response(status=500, text="internal fault\n")
        if self._is_draining:
            response.force_close()
        return response

    async def _respond(self, request: BaseRequest) -> web.StreamResponse:
        target = request.raw_path
        if target.partition("?")[0] == READINESS_PATH:
            return self._readiness(request)
        if self._jobs_handler is not None and is_jobs_path(target):
            return await self._jobs_handler(request, self._memory)
        return await serve_request(request, self._scheduler, self.classes, self._memory)

    def _readiness(self, request: BaseRequest) -> web.StreamResponse:
        if request.method not in ("GET", "HEAD"):
            raise MethodNotAllowedError("ask with GET")
        up = self._is_up() and not self._is_draining
        return web.Response(status=200 if up else 503, text="up\n" if up else "not up\n")

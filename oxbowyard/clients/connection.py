"""An HTTP connection of a client: its current phase, and the time limit of each phase."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from aiohttp import web
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse

from ..core.memory_budget import MemoryBudget
from ..listeners.disconnects import half_close, is_readable, peer_disconnected
from ..listeners.fair_queue import FairQueue
from .limits import (
    DRAIN_TIMEOUT_S,
    KEEP_ALIVE_TIMEOUT_S,
    MIN_SILENT_AGE_S,
    READ_CHUNK_BYTES,
    REQUEST_TIMEOUT_S,
    RESPONSE_READ_TIMEOUT_S,
)
from .request_input import ConnectionOwner, RequestInput, abort_body
from .responses import KeepAliveResponse, empty_response
from .sliced_parser import Phase

__all__ = ["Connection", "Phase"]

READ_RETRY_S = 0.02  # from a timeout with unread data to the final check, so that the data is read first
HALF_CLOSE_DELAY_S = 0.02  # until a half-close between requests counts as a disconnect


# When one of these phases times out, unread bytes are read before the connection closes, because closing a
# socket with unread data sends a reset to the client.
READ_BEFORE_CLOSE = (Phase.SILENT, Phase.READING, Phase.KEEP_ALIVE)


def _must_close(request: BaseRequest, response: StreamResponse) -> bool:
    """Return whether the connection must close, because the next bytes may not begin a new request."""
    is_client_error = 400 <= response.status < 500 and not isinstance(response, KeepAliveResponse)
    return is_client_error or not request.content.is_eof()


class Connection(RequestInput):
    """A client connection with its phases and their time limits.

    A client that half-closes in the middle of a body is sent an error; any other half-close is a disconnect.

    Attributes:
        phase_started_at: The event loop time at which the phase began, in seconds.
        request_deadline: The event loop time by which the request being read must be complete.
        is_half_closed: Whether the client has closed its sending side.
        has_sent_request: Whether a complete job request has been received.
    """

    __slots__ = (
        "_closes_when_idle",
        "_drained",
        "_has_checked_unread",
        "_timer",
        "has_sent_request",
        "is_half_closed",
        "phase_started_at",
        "request_deadline",
    )

    def __init__(
        self, manager: web.Server, owner: ConnectionOwner, memory: MemoryBudget, input_queue: FairQueue
    ) -> None:
        super().__init__(manager, owner, memory, input_queue)
        self._timer: asyncio.TimerHandle | None = None
        self._drained: asyncio.Event | None = None
        self._has_checked_unread = False  # the phase timed out once while data was unread
        self._closes_when_idle = False
        self.is_half_closed = False
        self.has_sent_request = False
        self.phase_started_at = self._loop.time()
        self.request_deadline = self.phase_started_at + REQUEST_TIMEOUT_S

    # ---- Phases ----

    def _enter_phase(self, phase: Phase, timeout_at: float | None = None) -> None:
        self.phase = phase
        self.phase_started_at = self._loop.time()
        self._has_checked_unread = False
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None if timeout_at is None else self._loop.call_at(timeout_at, self._on_timeout)

    def on_request_complete(self) -> None:
        """Start waiting for the response, without a time limit: the request has been read completely."""
        self.has_sent_request = True
        self._enter_phase(Phase.RESPONDING)
        self._limit_pipelined()
        self._update_reading()

    def is_client_connected(self) -> bool:
        """Return whether the kernel reports the client as connected; on a disconnect, schedule the close."""
        if self.transport is None or self.is_half_closed:
            return False
        if peer_disconnected(self.transport):
            self.is_half_closed = True
            self._loop.call_soon(self._close_after_disconnect)
        return not self.is_half_closed

    def _on_timeout(self) -> None:
        self._timer = None
        if self.transport is None:
            return
        if self.phase is Phase.READING and self._is_response_pending:
            return  # `read_body` enforces the same deadline
        if self.phase is Phase.READING and self._input:  # the client is not late, this process is
            self._timer = self._loop.call_later(READ_RETRY_S, self._on_timeout)
            return
        if self.phase in READ_BEFORE_CLOSE and not self._has_checked_unread and is_readable(self.transport):
            self._has_checked_unread = True  # only once, so that a client that keeps sending is closed too
            self._timer = self._loop.call_later(READ_RETRY_S, self._on_timeout)
            return
        self._owner.counts[f"timed out while {self.phase.value}"] += self.phase is not Phase.KEEP_ALIVE
        self._close_on_timeout()

    def _close_on_timeout(self) -> None:
        if self.phase is Phase.READING and not self._is_response_pending:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        elif self.phase is Phase.RESPONDING and self.transport is not None:
            self.transport.abort()  # the client does not read: no error can be sent after the response
        else:
            self.force_close()

    def close_when_idle(self) -> None:
        """Close as soon as no response is pending. A request that has arrived, even unread, is answered."""
        self._closes_when_idle = True
        is_new = self.phase is Phase.SILENT and self._loop.time() < self.phase_started_at + MIN_SILENT_AGE_S
        if self.phase not in (Phase.SILENT, Phase.KEEP_ALIVE) or self.transport is None:
            return  # closed already, or its response or its timeout closes it
        if is_new or self.has_unread_request:
            self._loop.call_later(READ_RETRY_S, self.close_when_idle)
        else:
            self.force_close()

    def evict(self) -> None:
        """Close at once, because the file descriptor is needed for a new connection."""
        if self.phase is Phase.READING and not self._is_response_pending and self.transport is not None:
            self.transport.write(empty_response(HTTPStatus.REQUEST_TIMEOUT))
        self.force_close()

    # ---- Callbacks of the transport ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout of the first request, `REQUEST_TIMEOUT_S`."""
        # The transport's default is four times as large: one client could block the event loop for longer.
        transport.max_size = READ_CHUNK_BYTES  # type: ignore[attr-defined]
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=0)  # a response is written out before the next one is made
        super().connection_made(transport)
        self._enter_phase(Phase.SILENT, self.request_deadline)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release the connection; `exc` is None after an orderly close."""
        if self._timer is not None:
            self._timer.cancel()
        if self._drained is not None:
            self._drained.set()
        self._owner.on_connection_lost(self)
        super().connection_lost(exc)
        self._release_input()

    def eof_received(self) -> bool | None:  # type: ignore[override]
        """Handle a half-close by the client. Return whether our side stays open for a response."""
        if self.phase is Phase.DRAINING:
            if self._drained is not None:
                self._drained.set()
            return False
        # Our side stays open to send a 400. The half-close may be read together with the head, before the
        # handler starts to read the body. If no body is read a moment later, the client has disconnected.
        self.is_half_closed = True
        if not abort_body(self.body):
            self._loop.call_later(HALF_CLOSE_DELAY_S, self._close_after_disconnect)
        return True

    def _close_after_disconnect(self) -> None:
        if self.body is None and self.transport is not None and self.phase is not Phase.DRAINING:
            self.transport.close()

    # ---- Responses ----

    async def finish_response(
        self, request: BaseRequest, resp: StreamResponse, start_time: float | None
    ) -> tuple[StreamResponse, bool]:
        """Write a response. After an error, discard further input until the connection closes."""
        must_close = _must_close(request, resp)
        if self._is_last_request:
            self._limit_pipelined()
        if must_close or self._discards_input:  # what follows may not be a request, or was discarded
            resp.force_close()
            self._owner.counts["bad requests" if must_close else "too much sent ahead"] += 1
        self._enter_phase(Phase.RESPONDING, self._loop.time() + RESPONSE_READ_TIMEOUT_S)
        result = await super().finish_response(request, resp, start_time)
        self._response_count += 1
        self._payload = None
        if (must_close or self._discards_input) and self.transport is not None and not self.is_half_closed:
            self._drained = asyncio.Event()
            self._drain()
            await self._drained.wait()
        elif resp.keep_alive:
            self._prepare_next_request()
        return result

    def _prepare_next_request(self) -> None:
        if self._input:
            self._on_first_byte()
        else:
            self._enter_phase(Phase.KEEP_ALIVE, self._loop.time() + KEEP_ALIVE_TIMEOUT_S)
            if self._closes_when_idle:  # the shutdown began after this response was created
                self._loop.call_soon(self.close_when_idle)
        self._update_cost()
        self._input_queue.submit(self)  # the parser may have kept the next request
        self._update_reading()

    def _on_first_byte(self) -> None:
        if self.phase is not Phase.SILENT:  # the time of a first request counts from connecting
            self.request_deadline = self._loop.time() + REQUEST_TIMEOUT_S
        self._enter_phase(Phase.READING, self.request_deadline)

    def _reject(self, status: HTTPStatus) -> None:
        """Send an error for input that aiohttp has not parsed into a request."""
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(empty_response(status))
        self._drain()

    def _drain(self) -> None:
        """Half-close after an error, because a full close would reset a client that is still sending."""
        assert self.transport is not None
        self._enter_phase(Phase.DRAINING, self._loop.time() + DRAIN_TIMEOUT_S)
        half_close(self.transport)
        self._stop_parsing()

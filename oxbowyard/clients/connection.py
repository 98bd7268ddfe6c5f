"""An HTTP connection of a client: its current phase, and the time limit of each phase."""

from __future__ import annotations

import asyncio
from collections import Counter
from enum import Enum
from http import HTTPStatus
from typing import Protocol

from aiohttp import StreamReader, web
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse

from ..listeners.disconnects import is_readable, peer_disconnected, unread_bytes
from .limits import (
    DRAIN_TIMEOUT_S,
    KEEP_ALIVE_TIMEOUT_S,
    MAX_HEAD_BYTES,
    MAX_HEADER_BYTES,
    MAX_HEADERS,
    MAX_PIPELINED_BYTES,
    MAX_UNREAD_BYTES,
    MIN_SILENT_AGE_S,
    READ_CHUNK_BYTES,
    REQUEST_TIMEOUT_S,
    RESPONSE_READ_TIMEOUT_S,
)
from .responses import KeepAliveResponse, empty_response

READ_RETRY_S = 0.02  # from a timeout with unread data to the final check, so that the data is read first
DISCONNECT_POLL_S = 0.025  # interval of disconnect checks while reading is paused
HALF_CLOSE_DELAY_S = 0.02  # until a half-close between requests counts as a disconnect


class Phase(Enum):
    """The phases of a connection. The values appear in the log."""

    SILENT = "silent"  # connected, no data received yet
    READING = "reading"  # a request has been received in part
    RESPONDING = "responding"  # a complete request was received; its response is pending or being written
    KEEP_ALIVE = "keep-alive"  # between requests
    DRAINING = "draining"  # an error was sent; further input is discarded


# When one of these phases times out, unread bytes are read before the connection closes, because closing a
# socket with unread data sends a reset to the client.
READ_BEFORE_CLOSE = (Phase.SILENT, Phase.READING, Phase.KEEP_ALIVE)


class ConnectionOwner(Protocol):
    """The owner of a listener's connections."""

    counts: Counter[str]  # events that are counted instead of logged one by one

    def on_connection_lost(self, connection: Connection) -> None:
        """Handle the loss or close of `connection`."""


def abort_body(body: StreamReader | None) -> bool:
    """Make reads of the body fail, since the rest will not arrive. Return False if the body is complete."""
    if body is None or body.is_eof():
        return False
    body.set_exception(web.RequestPayloadError("ended within its body"))
    return True


def _must_close(request: BaseRequest, response: StreamResponse) -> bool:
    """Return whether the connection must close, because the next bytes may not begin a new request."""
    is_client_error = 400 <= response.status < 500 and not isinstance(response, KeepAliveResponse)
    return is_client_error or not request.content.is_eof()


class Connection(RequestHandler):
    """aiohttp's request handler with the limits of this program.

    A client that half-closes in the middle of a body is sent an error; any other half-close is a disconnect.

    Attributes:
        phase: The current phase.
        phase_started_at: The event loop time at which the phase began, in seconds.
        request_deadline: The event loop time by which the request being read must be complete.
        body: The body that a handler is reading; None while no body is read.
        is_half_closed: Whether the client has closed its sending side.
        has_sent_request: Whether a complete job request has been received.
    """

    __slots__ = (
        "_closes_when_idle",
        "_discards_input",
        "_drained",
        "_has_checked_unread",
        "_head_bytes",
        "_owner",
        "_pipelined_bytes",
        "_response_count",
        "_timer",
        "body",
        "has_sent_request",
        "is_half_closed",
        "phase",
        "phase_started_at",
        "request_deadline",
    )

    def __init__(self, manager: web.Server, owner: ConnectionOwner) -> None:
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            access_log=None,  # type: ignore[arg-type]  # documented: None disables the access log
            max_field_size=MAX_HEADER_BYTES,
            max_headers=MAX_HEADERS,
            auto_decompress=False,  # bodies are forwarded unchanged
            lingering_time=0.0,  # `data_received` discards the rest of a body unparsed
        )
        self._owner = owner
        self._timer: asyncio.TimerHandle | None = None
        self._response_count = 0  # includes responses to malformed requests
        self._head_bytes = 0  # received of an incomplete head
        self._pipelined_bytes = 0  # received while a response was pending
        self._drained: asyncio.Event | None = None
        self._has_checked_unread = False  # the phase timed out once while data was unread
        self._closes_when_idle = False
        self._discards_input = False  # too much was pipelined: the connection closes after this response
        self.body: StreamReader | None = None
        self.is_half_closed = False
        self.has_sent_request = False
        self.phase = Phase.SILENT
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
        self._check_paused_reading()

    def is_client_connected(self) -> bool:
        """Return whether the kernel reports the client as connected; on a disconnect, schedule the close."""
        if self.transport is None or self.is_half_closed:
            return False
        if peer_disconnected(self.transport):
            self.is_half_closed = True
            self._loop.call_soon(self._close_after_disconnect)
        return not self.is_half_closed

    def _check_paused_reading(self, timer_fired: bool = False) -> None:
        """Check for a disconnect while aiohttp has paused reading because of pipelined requests."""
        if timer_fired:
            self._timer = None
        if self.transport is None or self.transport.is_reading() or self.phase is not Phase.RESPONDING:
            return
        if unread_bytes(self.transport) > MAX_UNREAD_BYTES:  # a disconnect is not visible behind unread data
            self._discards_input = True
            self.transport.resume_reading()
        elif self._timer is None and self.is_client_connected():
            self._timer = self._loop.call_later(DISCONNECT_POLL_S, self._check_paused_reading, True)

    def _on_timeout(self) -> None:
        self._timer = None
        if self.phase is Phase.READING and self._is_response_pending:
            return  # `read_body` enforces the same deadline
        if self.phase in READ_BEFORE_CLOSE and not self._has_checked_unread and is_readable(self.transport):
            self._has_checked_unread = True  # only once, so that a client that keeps sending is closed too
            self._timer = self._loop.call_later(READ_RETRY_S, self._on_timeout)
            return
        self._owner.counts[f"timed out while {self.phase.value}"] += self.phase is not Phase.KEEP_ALIVE
        self._close_on_timeout()

    @property
    def _is_response_pending(self) -> bool:
        """Whether a complete request head has been received that has no response yet."""
        return self._request_count > self._response_count

    @property
    def has_unread_request(self) -> bool:
        """Whether a complete request may have arrived that no handler has read yet."""
        if is_readable(self.transport):
            return True
        if not self._is_response_pending or self.phase is not Phase.READING:
            return False
        body = self.body or (self._messages[0][1] if self._messages else None)
        return body is None or body.is_eof()  # None: its handler has not started yet

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
        if is_new or is_readable(self.transport):
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

    def data_received(self, data: bytes) -> None:
        """Parse data from the client and reject what exceeds the limits in `clients.limits`."""
        if self.phase is Phase.DRAINING or self._discards_input:
            return
        if self.phase is Phase.SILENT:
            self._enter_phase(Phase.READING, self.request_deadline)
        elif self.phase is Phase.KEEP_ALIVE and data:  # aiohttp passes b"" to have its buffer parsed
            self.request_deadline = self._loop.time() + REQUEST_TIMEOUT_S
            self._enter_phase(Phase.READING, self.request_deadline)
        super().data_received(data)
        if self.phase is Phase.RESPONDING:
            self._pipelined_bytes += len(data)
            self._discards_input = self._pipelined_bytes > MAX_PIPELINED_BYTES
            self._check_paused_reading()
        if self.phase is not Phase.READING or self._is_response_pending:
            self._head_bytes = 0
            return
        self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_BYTES:
            self._owner.counts["head too long"] += 1
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

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
        if must_close or self._discards_input:  # what follows may not be a request, or was discarded
            resp.force_close()
            self._owner.counts["bad requests" if must_close else "too much sent ahead"] += 1
        self._enter_phase(Phase.RESPONDING, self._loop.time() + RESPONSE_READ_TIMEOUT_S)
        result = await super().finish_response(request, resp, start_time)
        self._response_count += 1
        if (must_close or self._discards_input) and self.transport is not None and not self.is_half_closed:
            self._drained = asyncio.Event()
            self._drain()
            await self._drained.wait()
        elif resp.keep_alive:
            self._prepare_next_request()
        return result

    def _prepare_next_request(self) -> None:
        self._pipelined_bytes = 0
        if self._is_response_pending:  # for a pipelined request
            self.request_deadline = self._loop.time() + REQUEST_TIMEOUT_S
            self._enter_phase(Phase.READING, self.request_deadline)
        else:
            self._enter_phase(Phase.KEEP_ALIVE, self._loop.time() + KEEP_ALIVE_TIMEOUT_S)
            if self._closes_when_idle:  # the shutdown began after this response was created
                self._loop.call_soon(self.close_when_idle)

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
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.transport.resume_reading()  # reading may be paused by a body that no handler reads any more

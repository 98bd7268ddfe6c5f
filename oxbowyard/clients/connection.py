"""One client's connection: what phase it is in, and how long it may stay there."""

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
    MAX_AHEAD_BYTES,
    MAX_FIELD_BYTES,
    MAX_FIELDS,
    MAX_HEAD_BYTES,
    MAX_UNREAD_BYTES,
    READ_CHUNK_BYTES,
    REQUEST_TIMEOUT_S,
    RESPONSE_READ_TIMEOUT_S,
    UNREAD_REQUEST_TIMEOUT_S,
)

LOOK_AGAIN = 0.02  # seconds until what lies unread has been read, or is looked at again
DISCONNECT_POLL_S = 0.025  # seconds between looks at a connection that is not read while its answer is owed
HALF_CLOSE_DELAY_S = 0.02  # seconds after which an end of the client's sending is taken for its leaving


class Phase(Enum):
    """What a connection is doing."""

    SILENT = "silent"  # connected, nothing has come
    UNFINISHED = "unfinished"  # a request has begun and is not whole
    OWED = "owed"  # a whole request came: its answer is owed, or on its way
    KEPT = "kept"  # between requests
    DRAINING = "draining"  # answered with an error: what still comes is dropped


# What has come by the end of its time in one of these is read first: closed over it, the peer would be reset.
HEARD_OUT = (Phase.SILENT, Phase.UNFINISHED, Phase.KEPT)


class Understood(web.Response):
    """A 4xx to a proper request, as one for which there is no room: its connection goes on."""


class Owner(Protocol):
    """What a connection needs of those who hold all of them."""

    counts: Counter[str]

    def left(self, connection: Connection) -> None:
        """The connection has ended."""


class Connection(RequestHandler):
    """The library's connection with limits of our own.

    One that ends within a body is told so; any other end means that the client went.
    """

    __slots__ = (
        "_ahead", "_alarm", "_answered", "_drained", "_head", "_looked", "_overrun", "_owner",
        "_winding_down", "ended", "finish_by", "has_asked", "phase", "reading", "since",
    )  # fmt: skip

    def __init__(self, manager: web.Server, owner: Owner) -> None:
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            access_log=None,  # type: ignore[arg-type]  # documented, and off is what it means
            max_field_size=MAX_FIELD_BYTES,
            max_headers=MAX_FIELDS,
            auto_decompress=False,  # a body passes on as it came
            lingering_time=0.0,  # what is left of a body is dropped here, not parsed
        )
        self._owner = owner
        self._alarm: asyncio.TimerHandle | None = None
        self._answered = 0  # requests, broken ones too, whose answer was written
        self._head = 0  # bytes of a head that has no end yet
        self._ahead = 0  # bytes that came before the answer that is owed
        self._drained: asyncio.Future[None] | None = None
        self._looked = False  # its time in this phase is over, and what lay unread then is being read
        self._winding_down = False
        self._overrun = False  # it sent too much ahead: what follows is dropped, and this answer is its last
        self.reading: StreamReader | None = None
        self.ended = False
        self.has_asked = False  # for a job: only whoever asks for no job at all is a stranger
        self.phase = Phase.SILENT
        self.since = self._loop.time()
        self.finish_by = self.since + REQUEST_TIMEOUT_S  # when the request that comes must be whole

    # ---- Phases ----

    def _enter(self, phase: Phase, alarm_at: float | None = None) -> None:
        self.phase = phase
        self.since = self._loop.time()
        self._looked = False
        if self._alarm is not None:
            self._alarm.cancel()
        self._alarm = None if alarm_at is None else self._loop.call_at(alarm_at, self._late)

    def whole(self) -> None:
        """The request that was read is whole: from here on its answer is owed, however long that takes."""
        self.has_asked = True
        self._enter(Phase.OWED)
        self._look_for_end()

    def stays(self) -> bool:
        """Whether the client is still there; an end that was not read yet is seen too, and acted on."""
        if self.transport is None or self.ended:
            return False
        if peer_disconnected(self.transport):
            self.ended = True
            self._loop.call_soon(self._went)
        return not self.ended

    def _look_for_end(self) -> None:
        """Whoever sent many requests ahead is not read for now. Its leaving is seen all the same, also where
        it stands behind more than the system holds for us."""
        if self.transport is None or self.transport.is_reading() or self.phase is not Phase.OWED:
            return
        if unread_bytes(self.transport) > MAX_UNREAD_BYTES:
            self._overrun = True
            self.transport.resume_reading()
        elif self._alarm is None and self.stays():
            self._alarm = self._loop.call_later(DISCONNECT_POLL_S, self._look_again)

    def _look_again(self) -> None:
        self._alarm = None
        self._look_for_end()

    @property
    def is_stranger(self) -> bool:
        """It has not asked for a job so far, and is asking for nothing now."""
        return self.phase is Phase.SILENT or (self.phase is Phase.KEPT and not self.has_asked)

    def _late(self) -> None:
        self._alarm = None
        if self.phase is Phase.UNFINISHED and self._pending:
            return  # its body has a timer of its own, set to the same moment
        if self.phase in HEARD_OUT and not self._looked and is_readable(self.transport):
            self._looked = True  # once: who sends on and on without an end is ended all the same
            self._alarm = self._loop.call_later(LOOK_AGAIN, self._late)
            return
        self._owner.counts[f"late while {self.phase.value}"] += self.phase is not Phase.KEPT
        self.dismiss()

    @property
    def _pending(self) -> bool:
        """A head that was whole has no answer yet."""
        return self._request_count > self._answered

    @property
    def unheard(self) -> bool:
        """What has come may be a whole request that nobody took yet: unread, or read in this very turn."""
        if is_readable(self.transport):
            return True
        if not self._pending or self.phase is not Phase.UNFINISHED:
            return False
        body = self.reading or (self._messages[0][1] if self._messages else None)
        return body is None or body.is_eof()  # none: it is being handed over

    def dismiss(self) -> None:
        """End the connection; a client in the middle of its request is told why."""
        if self.phase is Phase.UNFINISHED and not self._pending:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        elif self.phase is Phase.OWED and self.transport is not None:
            self.transport.abort()  # the answer was not read: nothing more can be said
        else:
            self.force_close()

    def wind_down(self) -> None:
        """Close as soon as nothing is owed: a request that has come, read or not, gets its answer first."""
        self._winding_down = True
        young = self.phase is Phase.SILENT and self._loop.time() < self.since + UNREAD_REQUEST_TIMEOUT_S
        if self.phase not in (Phase.SILENT, Phase.KEPT) or self.transport is None:
            return  # its answer closes it, or its own time; or it is closed
        if young or is_readable(self.transport):
            self._loop.call_later(LOOK_AGAIN, self.wind_down)
        else:
            self.force_close()

    def yield_place(self) -> None:
        """Close now, for another: its descriptor is wanted."""
        if self.phase is Phase.UNFINISHED and not self._pending and self.transport is not None:
            self.transport.write(_plain(HTTPStatus.REQUEST_TIMEOUT))
        self.force_close()

    # ---- What the transport tells ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A new connection has come up: its request is expected within `REQUEST_TIMEOUT_S` seconds."""
        # The transport's own size would let one client hold four times as much at a time, and the loop.
        transport.max_size = READ_CHUNK_BYTES  # type: ignore[attr-defined]
        super().connection_made(transport)
        self._enter(Phase.SILENT, self.finish_by)

    def connection_lost(self, exc: BaseException | None) -> None:
        """The connection has ended; `exc` is None after an orderly close."""
        if self._alarm is not None:
            self._alarm.cancel()
        self._end_drain()
        self._owner.left(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what the client sent; past the limits of `clients.limits` it is rejected."""
        if self.phase is Phase.DRAINING or self._overrun:
            return
        if self.phase is Phase.SILENT:
            self._enter(Phase.UNFINISHED, self.finish_by)
        elif self.phase is Phase.KEPT and data:  # the library may call this with none, to parse what waits
            self.finish_by = self._loop.time() + REQUEST_TIMEOUT_S
            self._enter(Phase.UNFINISHED, self.finish_by)
        super().data_received(data)
        if self.phase is Phase.OWED:
            self._ahead += len(data)
            self._overrun = self._ahead > MAX_AHEAD_BYTES  # not read on, its leaving could not be seen either
            self._look_for_end()
        if self.phase is not Phase.UNFINISHED or self._pending:
            self._head = 0
            return
        self._head += len(data)
        if self._head > MAX_HEAD_BYTES:
            self._owner.counts["head too long"] += 1
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def eof_received(self) -> bool | None:  # type: ignore[override]
        """The client has closed its side. Returns whether our side stays open for an answer."""
        if self.phase is Phase.DRAINING:
            self._end_drain()
            return False
        # The way back stays open for a 400. The end may come in one read with the head, before the handler
        # has seen that; a moment later, an end that broke no body off means that the client went.
        self.ended = True
        if not self.break_off():
            self._loop.call_later(HALF_CLOSE_DELAY_S, self._went)
        return True

    def break_off(self) -> bool:
        """Tell the reader of a body that the rest of it will not come."""
        if not self.ended or self.reading is None or self.reading.is_eof():
            return False
        self.reading.set_exception(web.RequestPayloadError("ended within its body"))
        return True

    def _went(self) -> None:
        if self.reading is None and self.transport is not None and self.phase is not Phase.DRAINING:
            self.transport.close()

    # ---- Answers ----

    async def finish_response(
        self, request: BaseRequest, resp: StreamResponse, start_time: float | None
    ) -> tuple[StreamResponse, bool]:
        """Write an answer; after an error, take what the client still sends before the connection closes."""
        faulty = 400 <= resp.status < 500 and not isinstance(resp, Understood)
        faulty = faulty or not request.content.is_eof()
        if faulty or self._overrun:  # whatever follows here can't be trusted to be a request, or was dropped
            resp.force_close()
            self._owner.counts["bad requests" if faulty else "too much sent ahead"] += 1
        self._enter(Phase.OWED, self._loop.time() + RESPONSE_READ_TIMEOUT_S)
        result = await super().finish_response(request, resp, start_time)
        self._answered += 1
        if (faulty or self._overrun) and self.transport is not None and not self.ended:
            self._drained = self._loop.create_future()
            self._drain()
            await self._drained
        elif resp.keep_alive:
            self._rest()
        return result

    def _rest(self) -> None:
        now = self._loop.time()
        self._ahead = 0
        if self._pending:  # the next request came before its turn
            self.finish_by = now + REQUEST_TIMEOUT_S
            self._enter(Phase.UNFINISHED, self.finish_by)
        else:
            self._enter(Phase.KEPT, now + KEEP_ALIVE_TIMEOUT_S)
            if self._winding_down:  # that answer was worded before the end began
                self._loop.call_soon(self.wind_down)

    def _reject(self, status: HTTPStatus) -> None:
        """An error for what never became a request, so that the library has nothing to answer."""
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(_plain(status))
        self._drain()

    def _drain(self) -> None:
        """Our side is closed after the error; closing both at once would reset a client that still sends."""
        assert self.transport is not None
        self._enter(Phase.DRAINING, self._loop.time() + DRAIN_TIMEOUT_S)
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.transport.resume_reading()  # it may stand still, for a body that nobody reads any more

    def _end_drain(self) -> None:
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)


def _plain(status: HTTPStatus) -> bytes:
    line = f"HTTP/1.1 {status.value} {status.phrase}"
    return f"{line}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode()

"""aiohttp's request handler with input that is parsed in slices, and never ahead of the request in progress.

Input waits unparsed until the request before it is answered: parsed, it would take several times as much
memory. Each slice is parsed in the connection's turn at the `FairQueue`.
"""

from __future__ import annotations

import asyncio
from enum import Enum

from aiohttp import StreamReader, web
from aiohttp.http import HttpRequestParser
from aiohttp.http_parser import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from ..listeners.fair_queue import NOTHING_MORE, FairQueue, RecentUse, SliceResult
from ..listeners.input_buffer import InputBuffer
from .limits import MAX_HEADER_BYTES, MAX_HEADERS, SLICE_BYTES
from .memory_costs import MAX_BUFFERED_BODY_BYTES


class Phase(Enum):
    """The phases of a connection. The values appear in the log."""

    SILENT = "silent"  # connected, no data received yet
    READING = "reading"  # a request has been received in part
    RESPONDING = "responding"  # a complete request was received; its response is pending or being written
    KEEP_ALIVE = "keep-alive"  # between requests
    DRAINING = "draining"  # an error was sent; further input is discarded


class SlicedRequestHandler(RequestHandler):
    """Parses the input of one connection.

    Attributes:
        phase: The current phase of the connection.
        recent_use: The processor time that the input has used lately.
    """

    __slots__ = (
        "_discards_input",
        "_input",
        "_input_queue",
        "_parser_has_tail",
        "_payload",
        "_response_count",
        "phase",
        "recent_use",
    )

    def __init__(self, manager: web.Server, input_queue: FairQueue) -> None:
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            access_log=None,  # type: ignore[arg-type]  # documented: None disables the access log
            auto_decompress=False,  # bodies are forwarded unchanged
            lingering_time=0.0,  # the rest of a body is discarded unparsed
        )
        self._parser = self._make_parser()
        self._input_queue = input_queue
        self._input = InputBuffer()  # received and not parsed
        self._parser_has_tail = False  # it may have kept the end of a slice unparsed
        self._payload: StreamReader | None = None  # the body of the request that was parsed last
        self._response_count = 0  # includes responses to malformed requests
        self._discards_input = False  # the connection closes after this response
        self.recent_use = RecentUse()
        self.phase = Phase.SILENT

    def _make_parser(self) -> HttpRequestParser:
        """Return a parser that stops after each request; aiohttp's default parses 32 of them ahead."""
        return HttpRequestParser(
            self,
            self._loop,
            MAX_BUFFERED_BODY_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            max_headers=MAX_HEADERS,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=1,
        )

    def _on_slice(self, piece: bytes, requests: int) -> None:
        """Handle a parsed piece of the input, in which the heads of so many requests ended."""
        raise NotImplementedError

    @property
    def _is_response_pending(self) -> bool:
        """Whether a complete request head has been received that has no response yet."""
        return self._request_count > self._response_count

    def process_slice(self) -> SliceResult:
        """Parse a slice of the input, at most up to the end of a request."""
        if not self._may_parse:
            return NOTHING_MORE
        piece = b"" if self._parser_has_tail else self._input.take(SLICE_BYTES)
        self._parser_has_tail = False
        requests = self._parse(piece)
        self._on_slice(piece, requests)
        self._update_reading()
        has_more = bool(self._input) or self._parser_has_tail
        return SliceResult(has_more and self._may_parse, requests)

    def _parse(self, piece: bytes) -> int:
        """Parse a piece of the input; return the number of requests whose head it completes."""
        count = self._request_count
        RequestHandler.data_received(self, piece)
        if self._request_count == count:
            return 0
        self._parser_has_tail = True  # the parser has stopped behind the request
        message, self._payload = self._messages[-1]
        if not isinstance(message, RawRequestMessage):  # an error, whose traceback refers to the connection
            message.exc.with_traceback(None)
        return self._request_count - count

    @property
    def _may_parse(self) -> bool:
        """Whether input may be parsed now: not while a request is answered or its handler has to read."""
        if self.transport is None or self.phase is Phase.DRAINING or self._discards_input:
            return False
        return not (self._is_answering or self._reading_paused)

    @property
    def _is_answering(self) -> bool:
        """Whether a complete request has no response yet."""
        return self._is_response_pending and (self._payload is None or self._payload.is_eof())

    # ---- Reading ----

    def _update_reading(self) -> None:
        """Pause or resume the transport, so that unparsed input stays within its limits."""
        if self.transport is None or self.transport.is_closing():
            return
        if self._may_read == self.transport.is_reading():
            return
        if self._may_read:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    @property
    def _may_read(self) -> bool:
        if self.phase is Phase.DRAINING or self._discards_input:
            return True
        if self.phase is Phase.RESPONDING:  # a disconnect is seen only behind the input before it
            return True
        return not self._input and not self._reading_paused

    def _pause_transport_reading(self) -> None:
        self._update_reading()

    def _resume_transport_reading(self) -> None:
        self._update_reading()

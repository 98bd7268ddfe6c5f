"""The receiving side of a client connection: limits on its heads, on pipelined input and on its memory."""

from __future__ import annotations

from collections import Counter
from http import HTTPStatus
from typing import Protocol

from aiohttp import StreamReader, web

from ..core.memory_budget import Allocation, Holder, MemoryBudget
from ..listeners.disconnects import is_readable
from ..listeners.fair_queue import FairQueue
from .limits import MAX_HEAD_BYTES, MAX_PIPELINED_BYTES
from .memory_costs import CONNECTION_BYTES, STREAM_BYTES, completed_head_cost, partial_head_cost
from .sliced_parser import Phase, SlicedRequestHandler


class ConnectionOwner(Protocol):
    """The owner of a listener's connections."""

    counts: Counter[str]  # events that are counted instead of logged one by one

    def on_connection_lost(self, connection: RequestInput) -> None:
        """Handle the loss or close of `connection`."""


def abort_body(body: StreamReader | None) -> bool:
    """Make reads of the body fail, since the rest will not arrive. Return False if the body is complete."""
    if body is None or body.is_eof():
        return False
    body.set_exception(web.RequestPayloadError("ended within its body"))
    return True


class RequestInput(SlicedRequestHandler):
    """Receives requests, with limits on what is held for the client.

    Attributes:
        body: The body that a handler is reading; None while no body is read.
        reservation: The memory of the request that a handler is reading or answering.
        gave_way: Whether the request was given up because others needed its memory.
    """

    __slots__ = (
        "_allocation",
        "_head_bytes",
        "_head_cost",
        "_head_lines",
        "_is_last_request",
        "_owner",
        "body",
        "gave_way",
        "reservation",
    )

    def __init__(
        self, manager: web.Server, owner: ConnectionOwner, memory: MemoryBudget, input_queue: FairQueue
    ) -> None:
        super().__init__(manager, input_queue)
        self._owner = owner
        self._allocation = memory.open(Holder.CONNECTIONS)
        self._allocation.resize(CONNECTION_BYTES)
        self._head_bytes = 0  # parsed of an incomplete head
        self._head_lines = 0
        self._head_cost = 0  # of the head that was parsed last, which the parser keeps until the next one
        self._is_last_request = False  # the connection closes after its response
        self.body: StreamReader | None = None
        self.reservation: Allocation | None = None
        self.gave_way = False

    # ---- Implemented by the connection ----

    def _on_first_byte(self) -> None:
        """Handle the first byte of a request."""
        raise NotImplementedError

    def _reject(self, status: HTTPStatus) -> None:
        """Send an error for input that aiohttp has not parsed into a request, and discard further input."""
        raise NotImplementedError

    # ---- State ----

    @property
    def has_unread_request(self) -> bool:
        """Whether a complete request may have arrived that no handler has read yet."""
        if self._input or self._parser_has_tail or is_readable(self.transport):
            return True
        if not self._is_response_pending or self.phase is not Phase.READING:
            return False
        body = self.body or (self._messages[0][1] if self._messages else None)
        return body is None or body.is_eof()  # None: its handler has not started yet

    @property
    def is_write_blocked(self) -> bool:
        """Whether the response waits for the client to read what it was sent before."""
        return self.phase is Phase.RESPONDING and self.writing_paused

    @property
    def sends_ahead(self) -> bool:
        """Whether the client has sent more behind a request that was taken or answered."""
        if not self._input or self._is_last_request or self._discards_input:
            return False
        return self._response_count > 0 or self.phase is Phase.RESPONDING

    def close_after_response(self) -> None:
        """Close after the next response, because others need the connection.

        The response says so to the client, which sends what it has pipelined on another connection.
        """
        self._is_last_request = True
        if self.phase is Phase.RESPONDING:
            self._limit_pipelined()
            self._update_reading()

    def data_received(self, data: bytes) -> None:
        """Receive data from the client; aiohttp passes b"" to have parsing resumed."""
        if self.phase is Phase.DRAINING or self._discards_input:
            return
        if data:
            self._input.append(data, self._loop.time())
            if self.phase in (Phase.SILENT, Phase.KEEP_ALIVE):
                self._on_first_byte()
            elif self.phase is Phase.RESPONDING:
                self._limit_pipelined()
        else:
            self._parser_has_tail = True
        self._input_queue.submit(self)
        self._update_reading()

    def _on_slice(self, piece: bytes, requests: int) -> None:
        if requests:
            self._head_cost = completed_head_cost(self._messages[-1][0])
            if self.phase is Phase.KEEP_ALIVE:
                self._on_first_byte()
        if self.phase is Phase.READING and not self._is_response_pending:
            self._limit_head(piece)
        else:
            self._head_bytes = self._head_lines = 0
        self._update_cost()

    def _limit_head(self, piece: bytes) -> None:
        self._head_bytes += len(piece)
        self._head_lines += piece.count(b"\n")
        self._head_cost = partial_head_cost(self._head_bytes, self._head_lines)
        if self._head_bytes > MAX_HEAD_BYTES:
            self._owner.counts["head too long"] += 1
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _limit_pipelined(self) -> None:
        """Discard the input behind a complete request, if that is the last one or the input is too large."""
        if self._is_last_request or self._input.size_bytes > MAX_PIPELINED_BYTES or not self._update_cost():
            self._discards_input = True
            self._input.clear()
            self._update_cost()

    @property
    def waited_s(self) -> float:
        """How long ago the last byte was received that has been parsed, in seconds."""
        return self._loop.time() - self._input.taken_received_at

    # ---- Memory ----

    @property
    def cost_bytes(self) -> int:
        """The memory that is held for this connection and its request."""
        reserved_bytes = 0 if self.reservation is None else self.reservation.size_bytes
        return self._allocation.size_bytes + reserved_bytes

    def _update_cost(self) -> bool:
        """Count what is held now. Return False if the budget has no space for more input."""
        if self.transport is None:
            return True
        cost = CONNECTION_BYTES + self._input.size_bytes + self._head_cost
        if self._payload is not None and not self._payload.is_eof():
            cost += STREAM_BYTES
        if self._is_response_pending or self.phase is not Phase.READING:
            has_space = self._allocation.try_resize(cost) if self._input else True
            self._allocation.resize(cost)
            return has_space
        if not self._allocation.try_resize(cost) and not self.gave_way:
            self.give_way()
        if self.gave_way:  # perhaps within `try_resize`, to make space for itself
            self._allocation.resize(CONNECTION_BYTES)
        return True

    @property
    def may_give_way(self) -> bool:
        """Whether something is held that the client is not owed: anything but a request that was taken."""
        if self.transport is None or self.gave_way:
            return False
        if self.phase is Phase.RESPONDING:
            return bool(self._input)
        if self._is_answering:
            return False
        if self.phase is Phase.KEEP_ALIVE:
            return not self.has_unread_request
        return self.phase is Phase.READING

    def give_way(self) -> None:
        """End the request that is being received, or close the idle connection, to release its memory.

        While a request is answered, what was sent behind it is discarded.
        """
        self._owner.counts["gave way for memory"] += 1
        if self.phase is Phase.RESPONDING:
            self.close_after_response()
            return
        self.gave_way = True
        self._input.clear()
        if self.reservation is not None:
            self.reservation.release()
        if self.phase is Phase.KEEP_ALIVE:
            self._allocation.resize(CONNECTION_BYTES)
            self.force_close()
        elif self._is_response_pending:
            abort_body(self._payload)  # its handler sends the error
            self._allocation.resize(CONNECTION_BYTES + self._head_cost)
        else:
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE)

    def _stop_parsing(self) -> None:
        """Release the memory of the input and of the parser; further input is discarded unparsed."""
        self._input.clear()
        self._parser = None
        self._head_cost = 0
        self._allocation.resize(CONNECTION_BYTES)
        self._update_reading()

    def _release_input(self) -> None:
        """Release everything at the end of the connection.

        What refers back to it would keep it in memory until the next full garbage collection.
        """
        self._input_queue.discard(self)
        self._input.clear()
        self._allocation.release()
        self._messages.clear()
        self._payload = self.body = None

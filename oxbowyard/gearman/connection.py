"""A connection of the Gearman front: its timers, and what is sent on it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from ..core.memory_budget import MemoryBudget
from ..listeners.disconnects import half_close, is_readable, peer_disconnected, unsent_bytes
from ..listeners.fair_queue import FairQueue
from .codec import encode_error
from .config import GearmanConfig
from .errors import ErrorCode
from .packet_input import CONNECTION_BYTES, PacketHandler, PacketInput

log = logging.getLogger("oxbowyard.gearman")

READ_CHUNK_BYTES = 16 * 1024
MAX_UNSENT_BYTES = 64 * 1024  # of responses that the peer does not read; then its packets wait
DRAIN_TIMEOUT_S = 2.0  # for further input from the peer after an error that ends the connection
MAX_UNREAD_PACKETS = 4  # of maximum size; a peer that leaves more unread is disconnected


class ConnectionOwner(Protocol):
    """The owner of all connections, which enforces the limits that they share."""

    def admit(self, connection: Connection) -> bool:
        """Add a new connection. Return False if there are too many."""

    def may_buffer(self, additional_bytes: int) -> bool:
        """Return whether `additional_bytes` of incomplete packets may be buffered."""

    def count_error(self, code: ErrorCode) -> None:
        """Count an error that ends a connection."""

    def count_unread(self) -> None:
        """Count a connection that is aborted because its peer does not read."""

    def release(self, connection: Connection) -> None:
        """Remove a connection that has ended. May be called twice."""

    def on_draining(self, connection: Connection) -> None:
        """Note that an ended connection stays open for a while, so that the peer reads its error."""

    def on_closed(self, connection: Connection) -> None:
        """Note that the socket of a connection is closed."""


class Connection(PacketInput):
    """The connection of a client, worker or operator. One connection may act in all three roles.

    Args:
        config: The front's configuration.
        owner: The owner of all connections.
        make_handler: Creates the handler of the connection's packets.
        memory: The budget that the connection draws from.
        input_queue: Shares the event loop's time between the connections.
    """

    def __init__(
        self,
        config: GearmanConfig,
        owner: ConnectionOwner,
        make_handler: Callable[[Connection], PacketHandler],
        memory: MemoryBudget,
        input_queue: FairQueue,
    ) -> None:
        super().__init__(config.max_packet_bytes, memory, input_queue)
        self._config = config
        self._owner = owner
        self._handler = make_handler(self)
        self._timer: asyncio.TimerHandle | None = None  # for the first packet and for incomplete ones
        self.accepts_exceptions = False
        self.address = "-"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up a new connection. The role of the peer becomes known with its packets."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # With the transport's default size, one peer could block the event loop for 20,000 packets.
        transport.max_size = READ_CHUNK_BYTES  # type: ignore[attr-defined]
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._allocation.resize(CONNECTION_BYTES)
        peer = transport.get_extra_info("peername")
        self.address = str(peer[0]) if peer else "-"
        self._start_timer()
        if not self._owner.admit(self):
            self.end(ErrorCode.TOO_MANY_CONNECTIONS, "this scheduler holds all the connections it may")

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the connection after it has ended."""
        self._transport = None
        self._stop_timer()
        self._release_input()
        self._release()
        self._owner.on_closed(self)

    def _check_incomplete(self, additional_bytes: int) -> None:
        """Limit the time and the memory of an incomplete packet."""
        if not self._decoder.buffered_bytes or not self._may_handle:
            return
        self._start_timer()
        if not self._owner.may_buffer(additional_bytes):
            text = "unfinished packets hold all the memory they may"
            self.end(ErrorCode.TOO_MUCH_UNFINISHED, text)

    @property
    def has_unread_data(self) -> bool:
        """Whether data from the peer has arrived that the event loop has not read yet."""
        return is_readable(self._transport)

    def is_connected(self) -> bool:
        """Return whether the peer is connected. A disconnect that has not been read yet is noticed too."""
        return not peer_disconnected(self._transport)

    # ---- Sending ----

    def send(self, data: bytes) -> None:
        """Send data to the peer. A peer that does not read is disconnected, to limit the memory for it."""
        if self._transport is None or self._transport.is_closing() or self._has_ended:
            return
        self._transport.write(data)
        unsent = self._transport.get_write_buffer_size()
        if unsent > MAX_UNREAD_PACKETS * self._config.max_packet_bytes:
            self._abort_unread()
        elif unsent:
            self._update_cost()

    def _abort_unread(self) -> None:
        self._owner.count_unread()
        if self._transport is not None:
            self._transport.abort()

    # ---- Ending ----

    def end(self, code: ErrorCode, text: str) -> None:
        """Send an error and end the connection.

        Only the sending side is closed at first: a full close would reset a peer that is still sending, which
        would then lose the error.
        """
        self._owner.count_error(code)
        self._decoder.clear()
        self._input.clear()
        self.send(encode_error(code, text))
        self._has_ended = True
        self._update_reading()
        if self._transport is not None:
            half_close(self._transport)
        self._stop_timer()
        self._timer = asyncio.get_running_loop().call_later(DRAIN_TIMEOUT_S, self._on_timeout)
        self._release()
        self._owner.on_draining(self)

    def finish(self) -> None:
        """Close once the peer has acknowledged all data, or has closed its side.

        A close while the peer is still sending would reset the connection and lose the unsent data.
        """
        if self._transport is None or self._transport.is_closing():
            return
        if not unsent_bytes(self._transport):
            self._transport.close()
            return
        self._has_ended = True
        half_close(self._transport)
        self._update_reading()

    def close(self) -> None:
        """Close after the buffered data has been written."""
        if self._transport is not None:
            self._transport.close()

    def _release(self) -> None:
        self._owner.release(self)
        self._handler.disconnect()

    # ---- Timers ----

    def _start_timer(self) -> None:
        """Start the timeout of the first packet, or of the rest of an incomplete one."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._config.packet_timeout_s, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        self._timer = None
        if self._input and not self._has_ended:  # the peer is not late, this process is
            self._start_timer()
        elif self._has_ended:
            self.close()
        else:
            self.end(ErrorCode.TOO_SLOW, "no whole packet came in time")

"""A connection of the Gearman front: buffers, timers and the order of responses."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterator
from typing import Protocol

from ..listeners.disconnects import is_readable, peer_disconnected, unsent_bytes
from .codec import Decoder, Packet, TextCommand, encode_error
from .config import GearmanConfig
from .errors import ErrorCode, StreamError

log = logging.getLogger("oxbowyard.gearman")

READ_CHUNK_BYTES = 16 * 1024  # about 1,300 packets, read from one peer before others are served
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

    def release(self, connection: Connection) -> None:
        """Remove a connection that has ended. May be called twice."""


class PacketHandler(Protocol):
    """Handles the packets and text commands of one connection."""

    def handle(self, item: Packet | TextCommand) -> None:
        """Handle one packet or command. Must not raise."""

    def disconnect(self) -> None:
        """Stop serving the peer. May be called twice."""


class Connection(asyncio.Protocol):
    """The connection of a client, worker or operator. One connection may act in all three roles.

    Args:
        config: The front's configuration.
        owner: The owner of all connections.
        make_handler: Creates the handler of the connection's packets.
    """

    def __init__(
        self,
        config: GearmanConfig,
        owner: ConnectionOwner,
        make_handler: Callable[[Connection], PacketHandler],
    ) -> None:
        self._config = config
        self._owner = owner
        self._handler = make_handler(self)
        self._decoder = Decoder(config.max_packet_bytes)
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None  # for the first packet and for incomplete ones
        self._has_ended = False  # nothing more is sent, and further input is discarded
        self._inbox: deque[Packet | TextCommand] = deque()
        self._stream_error: StreamError | None = None  # input after it cannot be decoded
        self._is_input_paused = False
        self.is_silent = True  # no complete packet or command received yet
        self.accepts_exceptions = False
        self.address = "-"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up a new connection. The role of the peer becomes known with its packets."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # With the transport's default size, one peer could block the event loop for 20,000 packets.
        transport.max_size = READ_CHUNK_BYTES  # type: ignore[attr-defined]
        peer = transport.get_extra_info("peername")
        self.address = str(peer[0]) if peer else "-"
        self._start_timer()
        if not self._owner.admit(self):
            self.end(ErrorCode.TOO_MANY_CONNECTIONS, "this scheduler holds all the connections it may")

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the connection after it has ended."""
        self._transport = None
        self._stop_timer()
        self._release()

    # ---- Receiving ----

    def data_received(self, data: bytes) -> None:
        """Decode data from the peer and handle the complete packets and commands."""
        if self._has_ended or self._stream_error is not None:
            return
        buffered_before = self._decoder.buffered_bytes
        for item in self._decode(data):
            self.is_silent = False
            self._stop_timer()
            self._inbox.append(item)
        self._handle_inbox()
        if self._decoder.buffered_bytes and not self._has_ended:
            self._start_timer()
            if not self._owner.may_buffer(self._decoder.buffered_bytes - buffered_before):
                text = "unfinished packets hold all the memory they may"
                self.end(ErrorCode.TOO_MUCH_UNFINISHED, text)

    def _decode(self, data: bytes) -> Iterator[Packet | TextCommand]:
        """Yield the completed items. A stream error is stored until they have been handled."""
        try:
            yield from self._decoder.feed(data)
        except StreamError as error:
            self._stream_error = error
            self._decoder.clear()

    def _handle_inbox(self) -> None:
        while (
            self._inbox and not self._is_input_paused and self._transport is not None and not self._has_ended
        ):
            self._handler.handle(self._inbox.popleft())
        if (
            self._stream_error is not None
            and not self._inbox
            and not self._is_input_paused
            and not self._has_ended
        ):
            self.end(self._stream_error.code, self._stream_error.text)

    def pause_input(self) -> None:
        """Stop handling input while a response is delayed, so that responses are sent in order."""
        self._is_input_paused = True
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_input(self) -> None:
        """Handle input again after the delayed response has been sent."""
        self._is_input_paused = False
        self._handle_inbox()
        if not self._is_input_paused and self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    @property
    def buffered_bytes(self) -> int:
        """The number of buffered bytes of an incomplete packet."""
        return self._decoder.buffered_bytes

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
        if self._transport.get_write_buffer_size() > MAX_UNREAD_PACKETS * self._config.max_packet_bytes:
            log.warning("connection aborted, the peer does not read: peer=%s", self.address)
            self._transport.abort()

    # ---- Ending ----

    def end(self, code: ErrorCode, text: str) -> None:
        """Send an error and end the connection.

        Only the sending side is closed at first: a full close would reset a peer that is still sending, which
        would then lose the error.
        """
        self._owner.count_error(code)
        self.send(encode_error(code, text))
        self._has_ended = True
        self._decoder.clear()
        if self._transport is not None and self._transport.can_write_eof():
            self._transport.write_eof()
        self._stop_timer()
        self._timer = asyncio.get_running_loop().call_later(DRAIN_TIMEOUT_S, self._on_timeout)
        self._release()

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
        self._transport.write_eof()
        self._transport.resume_reading()

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
        if self._has_ended:
            self.close()
        else:
            self.end(ErrorCode.TOO_SLOW, "no whole packet came in time")

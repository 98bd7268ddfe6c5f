"""A connection of the Gearman front: its buffers, its timers and the order of its answers."""

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

READ_CHUNK_BYTES = 16 * 1024  # from one peer before the others have their turn: some 1,300 packets
DRAIN_TIMEOUT_S = 2.0  # after an error that ends a connection, for what the peer still sends
MAX_UNREAD_PACKETS = 4  # of the largest size; a peer that leaves more unread is disconnected


class ConnectionOwner(Protocol):
    """Who holds all connections, and bounds them."""

    def admit(self, connection: Connection) -> bool:
        """Whether the connection may stay."""

    def may_buffer(self, additional_bytes: int) -> bool:
        """Whether so many more bytes of incomplete packets may be buffered."""

    def count_error(self, code: ErrorCode) -> None:
        """A connection ends with this error."""

    def release(self, connection: Connection) -> None:
        """The connection has ended; this may be told twice."""


class PacketHandler(Protocol):
    """What handles the packets and commands of one connection."""

    def handle(self, item: Packet | TextCommand) -> None:
        """Handle one item; raises nothing."""

    def disconnect(self) -> None:
        """The peer is served no more; this may be called twice."""


class Connection(asyncio.Protocol):
    """One client, worker or operator; a connection may be all of them.

    Args:
        config: The front's configuration.
        owner: Who holds all connections.
        make_handler: Makes the handler of what the peer sends.
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
        self._timer: asyncio.TimerHandle | None = None  # for the first packet, and each that has begun
        self._has_ended = False  # nothing is sent any more, and what still comes is dropped
        self._inbox: deque[Packet | TextCommand] = deque()
        self._stream_error: StreamError | None = None  # nothing after it can be decoded
        self._is_input_paused = False
        self.is_silent = True  # nothing complete has come from the peer
        self.accepts_exceptions = False
        self.address = "-"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop with a new connection; what the peer is, its packets will tell."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # With the transport's own size one peer could hold the loop for twenty thousand packets.
        transport.max_size = READ_CHUNK_BYTES  # type: ignore[attr-defined]
        peer = transport.get_extra_info("peername")
        self.address = str(peer[0]) if peer else "-"
        self._start_timer()
        if not self._owner.admit(self):
            self.end(ErrorCode.TOO_MANY_CONNECTIONS, "this scheduler holds all the connections it may")

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the loop when the connection has ended."""
        self._transport = None
        self._stop_timer()
        self._release()

    # ---- Receiving ----

    def data_received(self, data: bytes) -> None:
        """Called by the loop with bytes from the peer: decode them and handle what is complete."""
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
        """What the data completes; an error of the stream waits until that is handled."""
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
        """An answer has to wait, and so has what the peer sent after: answers keep their order."""
        self._is_input_paused = True
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_input(self) -> None:
        """The answer that the input waited for has been sent."""
        self._is_input_paused = False
        self._handle_inbox()
        if not self._is_input_paused and self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes of a packet that is not complete."""
        return self._decoder.buffered_bytes

    @property
    def has_unread_data(self) -> bool:
        """Whether something has come from the peer that the loop has not read yet."""
        return is_readable(self._transport)

    def is_connected(self) -> bool:
        """Whether the peer is still there, also where its disconnect was not read yet."""
        return not peer_disconnected(self._transport)

    # ---- Sending ----

    def send(self, data: bytes) -> None:
        """Write to the peer; one that does not read is disconnected before it fills the memory."""
        if self._transport is None or self._transport.is_closing() or self._has_ended:
            return
        self._transport.write(data)
        if self._transport.get_write_buffer_size() > MAX_UNREAD_PACKETS * self._config.max_packet_bytes:
            log.warning("connection aborted, the peer does not read: peer=%s", self.address)
            self._transport.abort()

    # ---- Ending ----

    def end(self, code: ErrorCode, text: str) -> None:
        """Send an error and end the connection.

        This side is closed first: closing both would reset a peer that still sends, and lose the error.
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
        """Close once the peer's system has all that was written, or the peer closes.

        Closed while the peer still sends, the connection would be reset, and the unsent rest lost.
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
        """Close once all is written."""
        if self._transport is not None:
            self._transport.close()

    def _release(self) -> None:
        self._owner.release(self)
        self._handler.disconnect()

    # ---- Timers ----

    def _start_timer(self) -> None:
        """A packet is due: the first one, or the rest of one that has begun."""
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

"""The receiving side of a Gearman connection.

Input is decoded and handled a few packets at a time, in the connection's turn at the `FairQueue`. A peer that
does not read its responses has no further packets handled until it does.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from ..core.memory_budget import Holder, MemoryBudget
from ..listeners.fair_queue import NOTHING_MORE, FairQueue, RecentUse, SliceResult
from ..listeners.input_buffer import InputBuffer
from .codec import Decoder, Packet, TextCommand
from .errors import ErrorCode, StreamError

SLICE_BYTES = 4 * 1024  # decoded at once
SLICE_PACKETS = 16  # handled at once
PACKET_SLICES = 4  # slices of a large packet that are appended at once
CONNECTION_BYTES = 12 * 1024  # transport, timers and peer of a connection without input


class PacketHandler(Protocol):
    """Handles the packets and text commands of one connection."""

    def handle(self, item: Packet | TextCommand) -> None:
        """Handle one packet or command. Must not raise."""

    def disconnect(self) -> None:
        """Stop serving the peer. May be called twice."""


class PacketInput(asyncio.Protocol):
    """Receives the packets of one connection and passes them to its handler.

    Args:
        max_packet_bytes: The maximum size of a packet's data.
        memory: The budget that the connection draws from.
        input_queue: Shares the event loop's time between the connections.
    """

    _handler: PacketHandler

    def __init__(self, max_packet_bytes: int, memory: MemoryBudget, input_queue: FairQueue) -> None:
        self._decoder = Decoder(max_packet_bytes)
        self._transport: asyncio.Transport | None = None
        self._has_ended = False  # nothing more is sent, and further input is discarded
        self._input = InputBuffer()  # received and not decoded
        self._input_queue = input_queue
        self._allocation = memory.open(Holder.GEARMAN)
        self._is_input_paused = False
        self._is_write_blocked = False
        self.recent_use = RecentUse()
        self.is_silent = True  # no complete packet or command received yet

    # ---- Implemented by the connection ----

    def end(self, code: ErrorCode, text: str) -> None:
        """Send an error and end the connection."""
        raise NotImplementedError

    def _stop_timer(self) -> None:
        """Stop the timeout of the first or of an incomplete packet, because a packet is complete."""
        raise NotImplementedError

    def _check_incomplete(self, additional_bytes: int) -> None:
        """Limit the time and the memory of an incomplete packet, which has grown by so many bytes."""
        raise NotImplementedError

    def _abort_unread(self) -> None:
        """Abort the connection, because its peer does not read."""
        raise NotImplementedError

    # ---- Receiving ----

    def data_received(self, data: bytes) -> None:
        """Receive data from the peer, to be handled in slices."""
        if self._has_ended:
            return
        self._input.append(data, asyncio.get_running_loop().time())
        self._update_cost()
        self._input_queue.submit(self)
        self._update_reading()

    def process_slice(self) -> SliceResult:
        """Decode some input, and handle a few of the packets and commands that it completes."""
        buffered_before = self._decoder.buffered_bytes
        try:
            handled = self._handle_items()
        except StreamError as error:
            self.end(error.code, error.text)
            return NOTHING_MORE
        if self._has_ended or self._transport is None:
            return NOTHING_MORE
        self._check_incomplete(self._decoder.buffered_bytes - buffered_before)
        self._update_cost()
        self._update_reading()
        return SliceResult(self._may_handle and (bool(self._input) or handled == SLICE_PACKETS))

    def _handle_items(self) -> int:
        """Handle up to `SLICE_PACKETS` complete items; return their number. Raises StreamError."""
        handled = appended = 0
        while handled < SLICE_PACKETS and self._may_handle:
            item = self._decoder.next_item()
            if item is not None:
                self.is_silent = False
                self._stop_timer()
                self._handler.handle(item)
                handled += 1
            elif self._input and appended < PACKET_SLICES:
                self._decoder.append(self._input.take(SLICE_BYTES))
                appended += 1
            else:
                break
        return handled

    @property
    def _may_handle(self) -> bool:
        is_paused = self._is_input_paused or self._is_write_blocked
        return not is_paused and not self._has_ended and self._transport is not None

    def _update_reading(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._has_ended or (self._may_handle and not self._input):
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def pause_input(self) -> None:
        """Stop handling input while a response is delayed, so that responses are sent in order."""
        self._is_input_paused = True
        self._update_reading()

    def resume_input(self) -> None:
        """Handle input again after the delayed response has been sent."""
        self._is_input_paused = False
        self._input_queue.submit(self)
        self._update_reading()

    def pause_writing(self) -> None:
        """Stop handling input, because the peer does not read its responses."""
        self._is_write_blocked = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Handle input again, now that the peer has read."""
        self._is_write_blocked = False
        self._input_queue.submit(self)
        self._update_reading()

    # ---- Memory ----

    @property
    def cost_bytes(self) -> int:
        """The memory that is held for this connection."""
        return self._allocation.size_bytes

    def _update_cost(self) -> None:
        """Count what is held now; end the connection if there is no memory for its incomplete packet."""
        if self._transport is None:
            return
        unsent = self._transport.get_write_buffer_size()
        cost = CONNECTION_BYTES + self._input.size_bytes + self._decoder.buffered_bytes + unsent
        if self._decoder.buffered_bytes and not self._allocation.try_resize(cost):
            self.give_way()
        else:  # `try_resize` may have ended this connection, to make space
            self._allocation.resize(CONNECTION_BYTES + unsent if self._has_ended else cost)

    @property
    def may_give_way(self) -> bool:
        """Whether the connection holds what nobody is owed: an incomplete packet, or unread responses."""
        return not self._has_ended and (self._decoder.buffered_bytes > 0 or self._is_write_blocked)

    def give_way(self) -> None:
        """End the connection, because others need its memory."""
        if self._is_write_blocked:
            self._abort_unread()
        else:
            self.end(ErrorCode.TOO_MUCH_UNFINISHED, "unfinished packets hold all the memory they may")
        self._allocation.resize(CONNECTION_BYTES)

    @property
    def buffered_bytes(self) -> int:
        """The number of buffered bytes of an incomplete packet."""
        return self._decoder.buffered_bytes

    def _release_input(self) -> None:
        """Release the memory of a connection that has ended."""
        self._input_queue.discard(self)
        self._input.clear()
        self._decoder.clear()
        self._allocation.release()

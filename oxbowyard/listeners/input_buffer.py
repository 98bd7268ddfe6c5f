"""Received bytes that wait to be processed, in the pieces in which they came.

One large buffer for each connection would be copied whenever it grows, and leave gaps in the heap that the
process keeps.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class _Piece:
    """Bytes that were received together."""

    data: bytes
    received_at: float


class InputBuffer:
    """A queue of bytes.

    Attributes:
        size_bytes: The number of bytes that were not taken yet.
        taken_received_at: When the bytes were received that were taken last; event loop time in seconds.
    """

    __slots__ = ("_offset", "_pieces", "size_bytes", "taken_received_at")

    def __init__(self) -> None:
        self._pieces: deque[_Piece] = deque()
        self._offset = 0  # of the first byte of the first piece that was not taken yet
        self.size_bytes = 0
        self.taken_received_at = 0.0

    def __bool__(self) -> bool:
        return self.size_bytes > 0

    def append(self, data: bytes, received_at: float) -> None:
        """Add bytes that were received at this event loop time."""
        self._pieces.append(_Piece(data, received_at))
        self.size_bytes += len(data)

    def take(self, max_bytes: int) -> bytes:
        """Remove and return up to `max_bytes` of the first bytes; fewer at the end of a piece."""
        if not self._pieces:
            return b""
        first = self._pieces[0]
        end = self._offset + max_bytes
        taken = first.data[self._offset : end]
        self.taken_received_at = first.received_at
        if end >= len(first.data):
            self._pieces.popleft()
            self._offset = 0
        else:
            self._offset = end
        self.size_bytes -= len(taken)
        return taken

    def clear(self) -> None:
        """Discard everything."""
        self._pieces.clear()
        self._offset = self.size_bytes = 0

"""Received bytes that wait to be processed, in the pieces in which they came.

One large buffer for each connection would be copied whenever it grows, and leave gaps in the heap that the
process keeps.
"""

from __future__ import annotations

from collections import deque


class InputBuffer:
    """A queue of bytes."""

    __slots__ = ("_offset", "_pieces", "size_bytes")

    def __init__(self) -> None:
        self._pieces: deque[bytes] = deque()
        self._offset = 0  # of the first byte of the first piece that was not taken yet
        self.size_bytes = 0  # that were not taken yet

    def __bool__(self) -> bool:
        return self.size_bytes > 0

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        self._pieces.append(data)
        self.size_bytes += len(data)

    def take(self, max_bytes: int) -> bytes:
        """Remove and return up to `max_bytes` of the first bytes; fewer at the end of a piece."""
        if not self._pieces:
            return b""
        first = self._pieces[0]
        end = self._offset + max_bytes
        taken = first[self._offset : end]
        if end >= len(first):
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

"""Bounds the memory that the bodies of all requests in progress take together."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from .errors import BodyMemoryFullError


class BodyMemory:
    """The bytes reserved for bodies, each from when it is announced until its request is answered."""

    def __init__(self, max_bytes: int) -> None:
        """At most `max_bytes` are reserved at a time."""
        self._max_bytes = max_bytes
        self._reserved_bytes = 0

    @contextmanager
    def reserve(self, size_bytes: int) -> Iterator[None]:
        """Reserve memory within the context.

        Raises:
            BodyMemoryFullError: The bound would be exceeded.
        """
        if self._reserved_bytes + size_bytes > self._max_bytes:
            raise BodyMemoryFullError("too much is held already")
        self._reserved_bytes += size_bytes
        try:
            yield
        finally:
            self._reserved_bytes -= size_bytes

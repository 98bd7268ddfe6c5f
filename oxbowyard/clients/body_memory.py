"""Limits the total memory held by the bodies of all requests in progress."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from .errors import BodyMemoryFullError


class BodyMemory:
    """A budget of bytes for request bodies. A reservation lasts until its request has been answered."""

    def __init__(self, max_bytes: int) -> None:
        """Create a budget of `max_bytes` bytes."""
        self._max_bytes = max_bytes
        self._reserved_bytes = 0

    @contextmanager
    def reserve(self, size_bytes: int) -> Iterator[None]:
        """Reserve `size_bytes` bytes for the duration of the context.

        Raises:
            BodyMemoryFullError: The reservation would exceed the budget.
        """
        if self._reserved_bytes + size_bytes > self._max_bytes:
            raise BodyMemoryFullError("too much is held already")
        self._reserved_bytes += size_bytes
        try:
            yield
        finally:
            self._reserved_bytes -= size_bytes

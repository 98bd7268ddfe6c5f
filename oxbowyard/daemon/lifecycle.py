"""The shape of a subsystem that the operators switch on, and the order in which several begin and end."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import Protocol

log = logging.getLogger("oxbowyard.daemon")


class Part(Protocol):
    """A subsystem. It is built only when its table is in the operator's file."""

    @property
    def name(self) -> str:
        """That of its table."""

    async def open(self) -> None:
        """Take what it needs of the machine: sockets, files; raises OSError. Once before each `start`."""

    def start(self) -> None:
        """Begin to work."""

    async def hand_over(self) -> None:
        """Let go of what another process of this name needs; `open` and `start` may come again."""

    async def close(self) -> None:
        """End, whatever state it is in."""


class Parts:
    """Parts in the order in which they begin; they end in the opposite order."""

    def __init__(self, parts: Iterable[Part] = ()) -> None:
        self._parts = tuple(parts)

    async def open(self) -> None:
        """Open all, or none: one that can't be opened closes those before it and raises."""
        for number, part in enumerate(self._parts):
            try:
                await part.open()
            except OSError:
                await _end(self._parts[:number])
                raise

    def start(self) -> None:
        """Let all begin."""
        for part in self._parts:
            part.start()

    async def hand_over(self) -> None:
        """Make room for the process that replaces this one."""
        for part in reversed(self._parts):
            try:
                await part.hand_over()
            except Exception:  # guards the hand-over itself: the other process serves without this part
                log.exception("%s did not let go", part.name)

    async def close(self) -> None:
        """End all; one that fails keeps none of the others open."""
        await _end(self._parts)


async def _end(parts: tuple[Part, ...]) -> None:
    for part in reversed(parts):
        try:
            await part.close()
        except Exception:  # guards the ends of the others
            log.exception("%s did not end as it should", part.name)

"""The interface of a component that the operator's file switches on, and the order of start and stop.

This module knows no component: which there are is decided in `operator_components`.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Sequence
from typing import Protocol

log = logging.getLogger("oxbowyard.daemon")


class Component(Protocol):
    """A subsystem that is built only when its table is in the operator's file."""

    @property
    def name(self) -> str:
        """The name of its table."""

    async def open(self) -> None:
        """Acquire sockets and files. Called once before each `start`; raises OSError."""

    def start(self) -> None:
        """Begin to work."""

    async def hand_over(self) -> None:
        """Release what a process that replaces this one needs; `open` and `start` may be called again."""

    async def close(self) -> None:
        """Stop, whatever state it is in."""


class Lifecycle:
    """Starts components in the order given, and stops them in the opposite order."""

    def __init__(self, components: Iterable[Component] = ()) -> None:
        self._components = tuple(components)

    async def open(self) -> None:
        """Open all components or none: when one fails, those opened before it are closed and OSError is
        raised."""
        for number, component in enumerate(self._components):
            try:
                await component.open()
            except OSError:
                await _close_all(self._components[:number])
                raise

    def start(self) -> None:
        """Start all components."""
        for component in self._components:
            component.start()

    async def hand_over(self) -> None:
        """Let all components release what the replacing process needs; a failure is logged."""
        for component in reversed(self._components):
            try:
                await component.hand_over()
            except Exception:  # the handover goes on: the other process can serve without this component
                log.exception("component failed to hand over: component=%s", component.name)

    async def close(self) -> None:
        """Close all components; a failure is logged and does not keep the others open."""
        await _close_all(self._components)


async def _close_all(components: Sequence[Component]) -> None:
    for component in reversed(components):
        try:
            await component.close()
        except Exception:  # the other components must still be closed
            log.exception("component failed to close: component=%s", component.name)

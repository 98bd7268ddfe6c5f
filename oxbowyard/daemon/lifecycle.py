"""The interface of a component that the operator's file enables, and the order of start and stop.

This module does not depend on any component; `operator_components` builds them.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Sequence
from typing import Protocol

log = logging.getLogger("oxbowyard.daemon")


class Component(Protocol):
    """A subsystem that is built only if its table is in the operator's file."""

    @property
    def name(self) -> str:
        """The name of the component's table."""

    async def open(self) -> None:
        """Acquire sockets and files. Called once before each `start`; raises OSError."""

    def start(self) -> None:
        """Start the component's work."""

    async def hand_over(self) -> None:
        """Release the sockets and files that a successor process needs. `open` and `start` may follow."""

    async def close(self) -> None:
        """Stop the component, in any state."""


class Lifecycle:
    """Starts components in the given order and stops them in reverse order."""

    def __init__(self, components: Iterable[Component] = ()) -> None:
        self._components = tuple(components)

    async def open(self) -> None:
        """Open all components or none: if one fails, those opened before it are closed and OSError is
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
        """Let all components release what a successor process needs. A failure is logged."""
        for component in reversed(self._components):
            try:
                await component.hand_over()
            except Exception:  # the handover continues: the successor can serve without this component
                log.exception("component failed to hand over: component=%s", component.name)

    async def close(self) -> None:
        """Close all components. A failure is logged, and the other components are closed all the same."""
        await _close_all(self._components)


async def _close_all(components: Sequence[Component]) -> None:
    for component in reversed(components):
        try:
            await component.close()
        except Exception:  # the other components must still be closed
            log.exception("component failed to close: component=%s", component.name)

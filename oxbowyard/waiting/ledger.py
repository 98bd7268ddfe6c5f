"""Where every change of a waiting job's state goes: the one seam for a store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .order import Changed


class Ledger(Protocol):
    """Keeps the changes of state, in order. An acknowledgement or a release waits until it is safe."""

    keeps: bool  # what waits outlives the program: at its stop it is left as it is

    def record(self, change: Changed) -> None:
        """Take one change."""

    def when_safe(self, then: Callable[[], None]) -> None:
        """Call once all that was recorded so far will outlive a crash, as far as this ledger goes."""


class Memory:
    """Keeps nothing: jobs live as long as the program."""

    keeps = False

    def record(self, change: Changed) -> None:
        """The policy's own memory is all there is."""

    def when_safe(self, then: Callable[[], None]) -> None:
        """At once."""
        then()

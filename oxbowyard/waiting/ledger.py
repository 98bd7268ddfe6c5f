"""Where every change of a waiting job's state goes: the one seam for a store."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from .order import Changed, Final, Job, Order


class Leases(Protocol):
    """Decides when a silent worker is given up; times in ms."""

    def begin(self, now: float, job: str) -> None:
        """A worker has the job from now on."""

    def heard(self, now: float, job: str) -> None:
        """It gave a sign of life."""

    def end(self, job: str) -> None:
        """It has the job no more."""

    def lapsed(self, now: float) -> list[str]:
        """Jobs whose workers have been silent for too long."""

    def next_due(self) -> float | None:
        """When the next one lapses."""


class Ledger(Protocol):
    """Keeps the changes of state, in order. Acknowledgements, grants and answers wait until it is safe."""

    keeps: bool  # what waits outlives the program: at its stop it is left as it is
    run: str  # tells this run of the program from earlier ones, in the ids of what it asks

    leases: Leases | None  # which workers went silent with a job, if that is to be noticed

    def refusal(self) -> str:
        """Why it takes no more work; empty: it does."""

    def lost(self) -> str:
        """Why nothing will be recorded any more; empty: it will."""

    def take(self, job: Job, order: Order) -> None:
        """A job is taken, with all that is needed to go on with it."""

    def record(self, change: Changed, final: Final | None) -> None:
        """A change of a job that was taken; `final` with its end."""

    def grant(self, job: Job, backend: str, lease: str) -> None:
        """A worker is about to have the job, by this lease: its end is known again by it."""

    def when_safe(self, then: Callable[[], None]) -> None:
        """Call once all that was recorded so far will outlive a crash, as far as this ledger goes."""

    async def known(self, orders: Sequence[Order]) -> Sequence[Recalled | None]:
        """For each order the job with its idempotency key or its id that the store knows."""

    async def recall(self, id_: str) -> Recalled | None:
        """A job that is no longer held in memory, or not yet."""


@dataclass(slots=True, frozen=True)
class Recalled:
    """A job as the store tells of it."""

    job: Job
    final: Final | None
    by_token: bool = False


class Memory:
    """Keeps nothing: jobs live as long as the program."""

    keeps = False
    run = ""
    leases: Leases | None = None

    def refusal(self) -> str:
        """It always takes work."""
        return ""

    def lost(self) -> str:
        """There is nothing to lose."""
        return ""

    def take(self, job: Job, order: Order) -> None:
        """The policy's own memory is all there is."""

    def record(self, change: Changed, final: Final | None) -> None:
        """Likewise."""

    def grant(self, job: Job, backend: str, lease: str) -> None:
        """Likewise."""

    def when_safe(self, then: Callable[[], None]) -> None:
        """At once."""
        then()

    async def known(self, orders: Sequence[Order]) -> Sequence[Recalled | None]:
        """Nothing."""
        return [None] * len(orders)

    async def recall(self, id_: str) -> Recalled | None:
        """Nothing."""
        return None

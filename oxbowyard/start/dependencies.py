"""What the start component needs of the program around it."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol


class Peers(Protocol):
    """The other schedulers, where they are known."""

    def names(self) -> list[str]:
        """Those that are alive."""

    def address(self, name: str) -> str:
        """Where one of them can be asked."""

    def ask(self, address: str, what: str, take: Callable[[bytes], None]) -> None:
        """Ask it for something; `take` is called with the answer, if one comes."""

    def offer(self, what: str, give: Callable[[], bytes | None]) -> None:
        """Answer such questions from now on with what `give` returns."""


@dataclass(slots=True, frozen=True)
class ServiceList:
    """What the list service's list says now, changes included."""

    revision: int
    targets: list[dict[str, Any]]


@dataclass(slots=True, frozen=True)
class StartDependencies:
    """What the program offers to this component."""

    name: str  # this scheduler's
    configured_count: int  # schedulers, as the settings say
    is_shared_service: bool  # one list service for all schedulers, not an agent on each machine
    random: Random
    known_endpoints: object  # the list in the configuration, if any
    adopt: Callable[[Mapping[str, Any], bool, bool], bool]  # a list; all are cold; newer may be asked for
    service_list: Callable[[], ServiceList | None]  # None: the service has not answered yet
    peers: Peers | None = None
    wall_clock: Callable[[], float] = time.time  # Unix time in seconds

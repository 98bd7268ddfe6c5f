"""The interface that the start component needs from the program."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol


class Peers(Protocol):
    """The other schedulers of the group."""

    def names(self) -> list[str]:
        """Return the names of the live peers."""

    def address(self, name: str) -> str:
        """Return the address of a peer."""

    def ask(self, address: str, topic: str, on_reply: Callable[[bytes], None]) -> None:
        """Request a document from a peer. `on_reply` is called with the answer, if there is one."""

    def offer(self, topic: str, provide: Callable[[], bytes | None]) -> None:
        """Answer requests for a topic with the document that `provide` returns; None: no answer."""


@dataclass(slots=True, frozen=True)
class ServiceList:
    """The current list of the list service, with all changes applied."""

    revision: int
    targets: list[dict[str, Any]]


@dataclass(slots=True, frozen=True)
class StartDependencies:
    """The data and functions that the program provides to the start component."""

    name: str  # of this scheduler
    configured_count: int  # number of schedulers in the settings
    is_shared_service: bool  # one list service for all schedulers; False: an agent on each machine
    random: Random
    known_endpoints: object  # the list in the configuration, or None
    # Parameters: the list, whether all its workers are cold, whether the service may be asked for changes
    # since it. Returns whether the list was adopted.
    adopt: Callable[[Mapping[str, Any], bool, bool], bool]
    service_list: Callable[[], ServiceList | None]  # returns None until the service has answered
    peers: Peers | None = None
    wall_clock: Callable[[], float] = time.time  # Unix time in seconds

"""A job of the Gearman front, its priority, and the clients that wait for it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Protocol

from ..waiting.job import HIGH_PRIORITY, LOW_PRIORITY
from .config import Function


class Priority(IntEnum):
    """The priority of a job, by the packet that submitted it. The numbers are stored with durable jobs."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


# The priorities of deferred jobs; None: by the weight of the job's class.
DEFERRED_PRIORITIES = {Priority.HIGH: HIGH_PRIORITY, Priority.NORMAL: None, Priority.LOW: LOW_PRIORITY}

# The names of a request's extra values that a job needs again at its worker or after a restart.
UNIQUE_EXTRA = "unique"
PRIORITY_EXTRA = "priority"
UNIQUE_ENCODING = "latin-1"  # a unique id is any bytes, an extra value is a text


class JobClient(Protocol):
    """A client's connection, as its jobs see it."""

    accepts_exceptions: bool  # whether it asked for WORK_EXCEPTION packets

    def send(self, data: bytes) -> None:
        """Write to the client."""

    def is_connected(self) -> bool:
        """Whether the client is still there."""

    def pause_input(self) -> None:
        """Handle nothing more from the client until `resume` is called."""

    def resume_input(self) -> None:
        """Handle what the client sends again."""


@dataclass(slots=True, frozen=True)
class Progress:
    """The progress of a job as its worker reported it last, as a fraction in decimal digits."""

    numerator: bytes = b"0"
    denominator: bytes = b"0"


@dataclass(slots=True, eq=False)
class Job:
    """One job that has not ended, and the clients that wait for it."""

    handle: bytes
    function: Function
    unique: bytes
    is_background: bool
    payload_bytes: int
    clients: dict[JobClient, None] = field(default_factory=dict)
    task: asyncio.Task[None] | None = None  # serves it, unless it is deferred
    durable: bool = False  # it is stored, or about to be
    running: bool = False
    progress: Progress = field(default_factory=Progress)

    @property
    def id(self) -> str:
        """The id of its request."""
        return self.handle.decode()

    def is_wanted(self) -> bool:
        """Whether it is a background job, or a client still waits for it."""
        return self.is_background or any(client.is_connected() for client in self.clients)

    def send(self, data: bytes) -> None:
        """Write to all clients that wait for it."""
        for client in list(self.clients):
            client.send(data)

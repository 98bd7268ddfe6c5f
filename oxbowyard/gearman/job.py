"""A job of the Gearman front, its priority and the clients that wait for it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Protocol

from ..waiting.job import HIGH_PRIORITY, LOW_PRIORITY
from .config import Function


class Priority(IntEnum):
    """The priority of a job, set by its submission. The numbers are stored with durable jobs."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


# The priorities of deferred jobs. None: the priority follows from the weight of the job's class.
DEFERRED_PRIORITIES = {Priority.HIGH: HIGH_PRIORITY, Priority.NORMAL: None, Priority.LOW: LOW_PRIORITY}

# The names of the extra values of a request that hold what a worker or a restart needs of the job.
UNIQUE_EXTRA = "unique"
PRIORITY_EXTRA = "priority"
UNIQUE_ENCODING = "latin-1"  # maps the arbitrary bytes of a unique id to text and back


class JobClient(Protocol):
    """The connection of a client, as jobs use it."""

    accepts_exceptions: bool  # whether the client asked for WORK_EXCEPTION packets

    def send(self, data: bytes) -> None:
        """Send data to the client."""

    def is_connected(self) -> bool:
        """Return whether the client is still connected."""

    def pause_input(self) -> None:
        """Stop handling input from the client until `resume_input` is called."""

    def resume_input(self) -> None:
        """Handle input from the client again."""


@dataclass(slots=True, frozen=True)
class Progress:
    """The progress that a job's worker has reported last, as a fraction of two decimal numbers."""

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
    task: asyncio.Task[None] | None = None  # serves the job, unless it is deferred
    is_durable: bool = False  # the job is stored, or is being stored
    is_running: bool = False
    progress: Progress = field(default_factory=Progress)

    @property
    def id(self) -> str:
        """The id of the job's request."""
        return self.handle.decode()

    @property
    def is_needed(self) -> bool:
        """Whether it is a background job or a client waits for it, whose disconnect may not be read yet."""
        return self.is_background or bool(self.clients)

    def is_wanted(self) -> bool:
        """Return whether the job is a background job or a connected client waits for it."""
        return self.is_background or any(client.is_connected() for client in self.clients)

    def send(self, data: bytes) -> None:
        """Send data to all clients that wait for the job."""
        for client in list(self.clients):
            client.send(data)

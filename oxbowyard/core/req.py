"""What a front hands in, what it gets back, and what a backend transport is."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from ..decision.facade import Result


class Kind(Enum):
    """How a req ended. Exactly one of these is counted for each req taken."""

    SERVED = "served"
    REFUSED = "refused"  # a new try does no harm
    FAILED = "failed"  # no promise about its effect
    LEFT = "left"  # the client went first


class Ran(Enum):
    """What is known of a req's run when it has its answer."""

    NEVER = "never"
    OPEN = "open"  # it may have begun, and may still run: no end of it was seen
    MAYBE = "maybe"  # it may have run, and is over
    YES = "yes"


class NoteKind(Enum):
    """What a backend may tell while a fetch goes on."""

    DATA = "data"
    WARNING = "warning"
    STATUS = "status"
    EXCEPTION = "exception"


@dataclass(slots=True, frozen=True)
class Note:
    """News of a running fetch for whoever waits; the body is passed on unread."""

    kind: NoteKind
    body: bytes = b""
    done: float = 0.0  # STATUS: so much of `total`
    total: float = 1.0


@dataclass(slots=True, frozen=True)
class Req:
    """One request. `target` and `payload` are the front's own and reach the backend unread."""

    id: str
    job_class: str
    patience: float  # seconds that the client waits from now
    target: str = ""
    payload: bytes = b""
    key: str | None = None
    tenant: str | None = None
    slots: int = 1
    is_retry: bool = False
    backend_class: str = ""  # the class as backends know it, if that is another
    extras: Mapping[str, str] = field(default_factory=dict)
    idempotency_key: str = ""  # a client's own name for the work: by it workers drop a repeat
    lease: str = ""  # told to the backend: by it a late end is known
    # Called with the backend just before the req may run there; it may only be sent once `then` is called.
    grant: Callable[[str, Callable[[], None]], None] | None = None
    on_running: Callable[[bool], None] | None = None  # told when a backend starts it, and when that ends
    on_note: Callable[[Note], None] | None = None  # told what a backend says before the end
    # Asked by a transport just before the last byte: whether somebody still waits for the answer. A front
    # sets it whose clients may leave; a job that was promised to outlive its client has none.
    client_connected: Callable[[], bool] | None = None


def is_client_connected(req: Req) -> bool:
    """Whether the req may still be sent on for its client."""
    return req.client_connected is None or req.client_connected()


def why_not_sent(req: Req, notes: FetchNotes) -> str:
    """Why the req's last byte may not be handed over any more, just before it is; empty if it may."""
    if not is_client_connected(req):  # a loop held up, or one that does not read, learns of it too late
        return "its client left"
    if asyncio.get_running_loop().time() > notes.not_after:
        return "too late for a repeat"
    return ""


async def granted(req: Req, backend: str) -> None:
    """Wait until the req may be sent to the backend; at once if nobody keeps a record of it."""
    if req.grant is not None:
        recorded: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        req.grant(backend, lambda: None if recorded.done() else recorded.set_result(None))
        await recorded


@dataclass(slots=True, frozen=True)
class Answer:
    """The one final answer to a req."""

    kind: Kind
    body: bytes = b""
    retry_after: float = 0.0  # seconds; 0: no advice
    reason: str = ""
    ran: Ran = Ran.NEVER


@dataclass(slots=True)
class FetchNotes:
    """What a transport notes of a fetch while it goes on, so that a cut one is judged rightly."""

    time_left: float  # seconds that the scheduler will wait
    on_began: Callable[[], None]
    on_note: Callable[[Note], None] = lambda note: None
    # Loop time until which the last byte may go: later nobody remembers an earlier run that may have been.
    not_after: float = math.inf
    written: bool = False  # the req's last byte was handed over: from here on it may run


@dataclass(slots=True, frozen=True)
class Ending:
    """How a fetch ended, as its transport saw it."""

    result: Result
    body: bytes = b""
    load: Mapping[str, float] = field(default_factory=dict)
    reason: str = ""


class BackendTransport(Protocol):
    """The way to the backends. When `fetch` is cancelled it must leave nothing running on its connection."""

    async def fetch(self, backend: str, req: Req, notes: FetchNotes) -> Ending:
        """Hand the req to the backend and wait until it has ended there."""
        ...


class RoutedTransport:
    """Several transports behind one: a backend whose name has a prefix goes its own way."""

    def __init__(self, otherwise: BackendTransport, by_prefix: Mapping[str, BackendTransport]) -> None:
        self._otherwise = otherwise
        self._by_prefix = by_prefix

    async def fetch(self, backend: str, req: Req, notes: FetchNotes) -> Ending:
        """Fetch by the transport that the backend's name tells."""
        prefix, sep, _ = backend.partition(":")
        way = self._by_prefix.get(prefix, self._otherwise) if sep else self._otherwise
        return await way.fetch(backend, req, notes)

"""A request, its attempts and its answer: the types between a front, the core and a backend transport.

A front makes a `Request` and awaits `Scheduler.serve`, which returns one `Answer`. The scheduler sends the
request to backends through a `BackendTransport`, one attempt at a time. The modules here know no wire format.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from ..decision.facade import Result


class AnswerKind(Enum):
    """How a request ended. Exactly one of these is counted for each request; the values are logged."""

    SERVED = "served"
    REJECTED = "refused"  # a new request for the same work does no harm
    FAILED = "failed"  # nothing is promised about its effect
    CLIENT_DISCONNECTED = "left"


class RunState(Enum):
    """What is known of a request's run on a backend; the values are stored, and sent on the waiting API."""

    NEVER_RAN = "never"
    MAY_BE_RUNNING = "open"  # it may have begun, and no end of it was seen
    MAY_HAVE_RUN = "maybe"  # it may have run, and is over
    HAS_RUN = "yes"


class UpdateKind(Enum):
    """What a backend may report while an attempt is in progress."""

    DATA = "data"
    WARNING = "warning"
    STATUS = "status"
    EXCEPTION = "exception"


@dataclass(slots=True, frozen=True)
class AttemptUpdate:
    """A report of a running attempt for whoever waits for the answer; the body is passed on unread."""

    kind: UpdateKind
    body: bytes = b""
    done: float = 0.0  # STATUS: so much of `total`
    total: float = 1.0


@dataclass(slots=True, frozen=True)
class Request:
    """One unit of work for a backend.

    `target` and `payload` belong to the front and reach the backend unread.
    """

    id: str
    job_class: str
    timeout_s: float  # how long the client waits for the answer from now on
    target: str = ""
    payload: bytes = b""
    key: str | None = None
    tenant: str | None = None
    slots: int = 1
    is_retry: bool = False
    backend_class: str = ""  # the class as backends know it, where that is another
    extras: Mapping[str, str] = field(default_factory=dict)
    idempotency_key: str = ""  # the client's own name for the work: workers drop a repeat by it
    lease: str = ""  # sent to the backend, which names it when it reports an end too late
    # Called with the backend just before the request may run there. It records the lease, and the request may
    # be sent only once the second argument is called. Set by fronts whose jobs outlive this process.
    record_lease: Callable[[str, Callable[[], None]], None] | None = None
    on_running: Callable[[bool], None] | None = None  # True when a backend starts it, False when that ends
    on_update: Callable[[AttemptUpdate], None] | None = None
    # Called with the final answer as soon as there is one: a cancellation of `Scheduler.serve` in the same
    # turn of the event loop hides it. Set by the queue of deferred jobs, which records how each ended.
    on_answer: Callable[[Answer], None] | None = None
    # Whether somebody still waits for the answer; a transport asks just before it sends the last byte. Unset
    # where the work is to be done whether or not the client stays.
    client_connected: Callable[[], bool] | None = None


@dataclass(slots=True, frozen=True)
class Answer:
    """The one final answer to a request."""

    kind: AnswerKind
    body: bytes = b""
    retry_after_s: float = 0.0  # 0: no advice
    reason: str = ""
    run_state: RunState = RunState.NEVER_RAN


@dataclass(slots=True)
class AttemptContext:
    """What the scheduler tells a transport of an attempt, and what the transport records while it goes on."""

    time_left_s: float  # how long the scheduler waits for the outcome
    on_started: Callable[[], None]
    on_update: Callable[[AttemptUpdate], None] = lambda update: None
    # Loop time until which the last byte may be sent: workers drop a repeat of an earlier attempt until then.
    send_deadline: float = math.inf
    # Whether the request has no answer yet, and was not cancelled.
    is_wanted: Callable[[], bool] = lambda: True
    is_last_byte_written: bool = (
        False  # the last byte was handed to the connection: from here on the request may run
    )


@dataclass(slots=True, frozen=True)
class AttemptOutcome:
    """How an attempt ended, as its transport saw it."""

    result: Result
    body: bytes = b""
    load: Mapping[str, float] = field(default_factory=dict)
    reason: str = ""


class BackendTransport(Protocol):
    """The way to the backends."""

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        """Send the request to the backend and wait for its outcome there.

        When it is cancelled it must leave nothing running on its connection.
        """
        ...


class RoutedTransport:
    """Chooses a transport by the prefix of the backend's name, as in `prefix:name`."""

    def __init__(self, default: BackendTransport, by_prefix: Mapping[str, BackendTransport]) -> None:
        self._default = default
        self._by_prefix = by_prefix

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        """Send the request through the transport of the backend's prefix, else through the default one."""
        prefix, separator, _ = backend.partition(":")
        transport = self._by_prefix.get(prefix, self._default) if separator else self._default
        return await transport.attempt(backend, request, context)


def is_client_connected(request: Request) -> bool:
    """Whether somebody still waits for the answer, as far as the front can tell."""
    return request.client_connected is None or request.client_connected()


def reason_not_to_send(request: Request, context: AttemptContext) -> str:
    """Why the request's last byte must not be sent any more, asked just before it is; empty if it may."""
    # Asked here again since a busy loop, or a connection that is not read, notices a disconnect too late.
    if not is_client_connected(request):
        return "its client left"
    if not context.is_wanted():
        return "cancelled"
    if asyncio.get_running_loop().time() > context.send_deadline:
        return "too late for a repeat"
    return ""


async def wait_for_lease_record(request: Request, backend: str) -> None:
    """Wait until the request's lease for the backend is recorded; at once where no lease is kept."""
    if request.record_lease is None:
        return
    recorded: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    request.record_lease(backend, lambda: None if recorded.done() else recorded.set_result(None))
    await recorded

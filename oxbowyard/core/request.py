"""A request, its attempts and its answer: the types between a front, the core and a backend transport.

A front makes a `Request` and awaits `Scheduler.serve`, which returns one `Answer`. The scheduler sends the
request to backends through a `BackendTransport`, one attempt at a time. The core is independent of any wire
format.
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
    """How a request ended. Exactly one of these is counted per request; the values are logged."""

    SERVED = "served"
    REJECTED = "refused"  # the client may safely send the same work again
    FAILED = "failed"  # no promise about whether the work was done
    CLIENT_DISCONNECTED = "left"


class RunState(Enum):
    """What is known about a request's run on a backend. The values are stored and sent to clients."""

    NEVER_RAN = "never"
    MAY_BE_RUNNING = "open"  # it may have started, and its end was not observed
    MAY_HAVE_RUN = "maybe"  # it may have run, and has ended
    HAS_RUN = "yes"


class UpdateKind(Enum):
    """The kinds of updates that a backend may send while an attempt is in progress."""

    DATA = "data"
    WARNING = "warning"
    STATUS = "status"
    EXCEPTION = "exception"


@dataclass(slots=True, frozen=True)
class AttemptUpdate:
    """An update from a running attempt for the client. Its body is passed on without being parsed."""

    kind: UpdateKind
    body: bytes = b""
    done: float = 0.0  # for STATUS: the part of `total` that is done
    total: float = 1.0


@dataclass(slots=True, frozen=True)
class Request:
    """One unit of work for a backend.

    `target` and `payload` are passed from the front to the backend without being parsed.
    """

    id: str
    job_class: str
    timeout_s: float  # how long the client waits for the answer, from its admission
    target: str = ""
    payload: bytes = b""
    key: str | None = None
    tenant: str | None = None
    slots: int = 1
    is_retry: bool = False
    backend_class: str = ""  # the class name used by the backends, if it differs
    extras: Mapping[str, str] = field(default_factory=dict)
    idempotency_key: str = ""  # set by the client; workers use it to drop a repeat
    lease: str = ""  # sent to the backend, which quotes it when it reports a result late
    # Called with the backend just before the request may run there. It records the lease and then calls its
    # second argument; the request may be sent only after that. Set by fronts whose jobs outlive this process.
    record_lease: Callable[[str, Callable[[], None]], None] | None = None
    # Called with True when a backend starts the request, and with False when that attempt ends.
    on_running: Callable[[bool], None] | None = None
    on_update: Callable[[AttemptUpdate], None] | None = None
    # Called with the final answer as soon as there is one, because a cancellation of `Scheduler.serve` in the
    # same iteration of the event loop would lose it. Set by the queue of deferred jobs, which records it.
    on_answer: Callable[[Answer], None] | None = None
    # Returns whether the client is still connected; a transport calls it just before it sends the last byte.
    # None if the work is to be done even if the client disconnects.
    client_connected: Callable[[], bool] | None = None
    # Loop time until which it may be sent, if an earlier request or process sent the same work, whose run may
    # not have ended; None if none did.
    repeat_deadline: float | None = None
    # Whether the client chose the id, and so may send it again. Other ids are unique.
    is_id_from_client: bool = False


@dataclass(slots=True, frozen=True)
class Answer:
    """The one final answer to a request."""

    kind: AnswerKind
    body: bytes = b""
    retry_after_s: float = 0.0  # 0: the client gets no retry delay
    reason: str = ""
    run_state: RunState = RunState.NEVER_RAN


@dataclass(slots=True)
class AttemptContext:
    """The parameters and callbacks of an attempt, and the state that its transport records."""

    time_left_s: float  # how long the scheduler waits for the outcome
    on_started: Callable[[], None]
    on_update: Callable[[AttemptUpdate], None] = lambda update: None
    # Loop time until which the last byte may be sent. After it workers no longer recognize a repeat of an
    # earlier attempt, and the work could be done twice.
    send_deadline: float = math.inf
    # Returns whether the request has no answer yet and was not cancelled.
    is_wanted: Callable[[], bool] = lambda: True
    # Called just before the last byte is sent. Returns False if that would repeat work that may have run.
    claim_run: Callable[[], bool] = lambda: True
    # Set when the last byte is passed to the connection: from then on the request may run.
    is_last_byte_written: bool = False


@dataclass(slots=True, frozen=True)
class AttemptOutcome:
    """How an attempt ended, as observed by its transport."""

    result: Result
    body: bytes = b""
    load: Mapping[str, float] = field(default_factory=dict)
    reason: str = ""


class BackendTransport(Protocol):
    """The interface through which the core sends requests to backends."""

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        """Send the request to the backend and wait for the outcome.

        When cancelled, it must leave nothing running on its connection.
        """
        ...


class RoutedTransport:
    """Chooses a transport by the prefix of the backend's name, as in `prefix:name`."""

    def __init__(self, default: BackendTransport, by_prefix: Mapping[str, BackendTransport]) -> None:
        self._default = default
        self._by_prefix = by_prefix

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        """Send the request through the transport for the backend's prefix, or through the default one."""
        prefix, separator, _ = backend.partition(":")
        transport = self._by_prefix.get(prefix, self._default) if separator else self._default
        return await transport.attempt(backend, request, context)


def is_client_connected(request: Request) -> bool:
    """Return whether the client still waits for the answer, as far as the front can tell."""
    return request.client_connected is None or request.client_connected()


def reason_not_to_send(request: Request, context: AttemptContext) -> str:
    """Return why the last byte of the request must not be sent now; empty if it may be sent."""
    # The connection is checked again because a disconnect is noticed too late if the event loop is busy or
    # reading is paused.
    if not is_client_connected(request):
        return "its client left"
    if not context.is_wanted():
        return "cancelled"
    if asyncio.get_running_loop().time() > context.send_deadline:
        return "too late for a repeat"
    return ""


async def wait_for_lease_record(request: Request, backend: str) -> None:
    """Wait until the request's lease for the backend is recorded; return at once if it needs none."""
    if request.record_lease is None:
        return
    recorded: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    request.record_lease(backend, lambda: None if recorded.done() else recorded.set_result(None))
    await recorded

"""The actions that a dispatcher returns. The caller carries them out in order. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send a request to a worker. The attempts of a request are numbered from 0 in the order of sending."""

    request_id: str
    attempt: int
    worker: str
    timeout_ms: float = 0.0  # 0: the attempt may take until the deadline of the client


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Answer the request finally: a retry is safe, because it never ran or because it may run twice."""

    request_id: str
    retry_after_ms: float = 0.0  # how long the client should wait before a retry; 0: unspecified


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Answer the request finally as failed: whether it had an effect is unknown."""

    request_id: str


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt. An AttemptEnded event for it still follows."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class QueueRequest:
    """Keep the request waiting: a later event decides about it."""

    request_id: str


@dataclass(slots=True, frozen=True)
class ProbeWorker:
    """Request a load report from a worker."""

    worker: str


@dataclass(slots=True, frozen=True)
class SubscribeEndpoints:
    """Subscribe to changes of the endpoint list."""


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a TimerFired event with this tag after this delay."""

    tag: int
    delay_ms: float


@dataclass(slots=True, frozen=True)
class LogMessage:
    """Write a message to the log."""

    text: str


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close the idle connections to a worker, so that the next attempt shows whether it is reachable."""

    worker: str


RequestAction = StartAttempt | RejectRequest | FailRequest | CancelAttempt | QueueRequest
Action = RequestAction | ProbeWorker | SubscribeEndpoints | SetTimer | LogMessage | CloseIdleConnections

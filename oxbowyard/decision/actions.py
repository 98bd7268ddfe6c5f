"""The actions that a dispatcher returns, to be carried out in order. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send a request to a worker. Its attempts are numbered from 0 in the order in which they start."""

    request_id: str
    attempt: int
    worker: str
    timeout_ms: float = 0.0  # 0: until the client gives up


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Final answer: the request surely never ran, or may safely run again; a retry does no harm."""

    request_id: str
    retry_after_ms: float = 0.0  # how long the client should wait; 0: no advice


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Final answer: failed, with no promise about its effect."""

    request_id: str


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop an attempt; its AttemptEnded still comes."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class QueueRequest:
    """No decision yet: a later call decides about the request."""

    request_id: str


@dataclass(slots=True, frozen=True)
class ProbeWorker:
    """Ask a worker for its load."""

    worker: str


@dataclass(slots=True, frozen=True)
class SubscribeEndpoints:
    """Subscribe to changes of the endpoint list."""


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a TimerFired with this tag after this delay."""

    tag: int
    delay_ms: float


@dataclass(slots=True, frozen=True)
class LogMessage:
    """A line for the operators' log."""

    text: str


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close own idle connections to a worker, so that the next send shows whether it can be reached."""

    worker: str


RequestAction = StartAttempt | RejectRequest | FailRequest | CancelAttempt | QueueRequest
Action = RequestAction | ProbeWorker | SubscribeEndpoints | SetTimer | LogMessage | CloseIdleConnections

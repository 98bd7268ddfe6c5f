"""What the stand-ins saw in one run. Times are seconds of one monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Exchange:
    """One request, as its client saw it."""

    id: str
    job_class: str
    deadline_s: float
    is_first: bool  # on its connection
    begun_at: float
    sent_at: float | None = None  # its last byte
    left_at: float | None = None  # the client closed the connection
    answered_at: float | None = None  # the answer's last byte
    status: int = 0
    body: bytes = b""
    answers: int = 0
    closed_at: float | None = None  # the connection ended without a whole answer
    follows_reloads: bool = True  # its class changes with a reload; a Gearman function's does not


@dataclass(slots=True)
class Arrival:
    """One attempt, as its worker saw it."""

    id: str
    worker: str
    first_byte_at: float
    received_at: float | None = None
    ended_at: float | None = None  # the worker gave its last line, or it died
    closed_at: float | None = None  # the scheduler closed the connection
    ran: bool = False  # the worker began it
    result: bytes = b""


@dataclass(slots=True)
class Drain:
    """A worker that drains: when the grace after the notification is over, and when it no longer drains."""

    worker: str
    enforced_from: float
    until: float = float("inf")


@dataclass(slots=True)
class Process:
    """One process of the program."""

    started_at: float
    ready_at: float | None = None
    terminated_at: float | None = None  # the first SIGTERM
    killed_at: float | None = None  # SIGKILL by plan, not for being late
    exited_at: float | None = None
    exit_code: int | None = None
    peak_memory_mb: float = 0.0
    peak_descriptors: int = 0
    log: str = ""


@dataclass(slots=True)
class Observation:
    """All of one run."""

    exchanges: list[Exchange] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    processes: list[Process] = field(default_factory=list)
    loosened_at: float | None = None  # the SIGHUP after which every class may run twice
    crowded: list[tuple[float, float]] = field(default_factory=list)  # when connections may be shut unread
    acknowledged_jobs: dict[str, float] = field(default_factory=dict)  # deferred jobs, and when
    forgotten_jobs: list[str] = field(default_factory=list)  # of these, after a restart
    bad_client_waits_s: list[float] = field(default_factory=list)  # until their error or close
    max_lag_s: float = 0.0  # of the stand-ins' own event loop

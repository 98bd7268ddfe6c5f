"""What the stand-ins observed in one run. Times are in seconds of one monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Exchange:
    """One request, as observed by its client."""

    id: str
    job_class: str
    deadline_s: float
    is_first: bool  # on its connection
    begun_at: float
    sent_at: float | None = None  # when its last byte was written
    left_at: float | None = None  # when the client closed the connection early
    answered_at: float | None = None  # when the last byte of the answer was read
    status: int = 0
    body: bytes = b""
    answers: int = 0
    closed_at: float | None = None  # when the connection ended without a complete answer


@dataclass(slots=True)
class Arrival:
    """One attempt, as observed by its worker."""

    id: str
    worker: str
    first_byte_at: float
    received_at: float | None = None
    ended_at: float | None = None  # when the worker sent its last line or died
    closed_at: float | None = None  # when the scheduler closed the connection
    ran: bool = False  # whether the worker started it
    result: bytes = b""


@dataclass(slots=True)
class Drain:
    """A drain of a worker: from when no attempt may begin (notification and grace), and until when."""

    worker: str
    enforced_from: float
    until: float = float("inf")


@dataclass(slots=True)
class Process:
    """One daemon process."""

    started_at: float
    ready_at: float | None = None
    terminated_at: float | None = None  # the first SIGTERM
    killed_at: float | None = None  # SIGKILL by plan, not for exceeding the time limit
    exited_at: float | None = None
    exit_code: int | None = None
    peak_memory_mb: float = 0.0
    peak_descriptors: int = 0
    log: str = ""


@dataclass(slots=True)
class Observation:
    """All observations of one run."""

    exchanges: list[Exchange] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    processes: list[Process] = field(default_factory=list)
    loosened_at: float | None = None  # when a SIGHUP allowed every class to run twice
    crowded: list[tuple[float, float]] = field(default_factory=list)  # when connections may close unread
    acknowledged_jobs: dict[str, float] = field(default_factory=dict)  # time by job id, of deferred jobs
    forgotten_jobs: list[str] = field(default_factory=list)  # acknowledged, but unknown after a restart
    bad_client_waits_s: list[float] = field(default_factory=list)  # until they got an error or a close
    max_lag_s: float = 0.0  # of the event loop that runs the stand-ins

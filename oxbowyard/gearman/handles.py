"""The handles by which workers know their attempts: `JOB.NUMBER`, or `JOB.NUMBER.LEASE` for a leased job."""

from __future__ import annotations

from dataclasses import dataclass

ATTEMPT_SEPARATOR = "~"  # in a request's id, before what the queue of deferred jobs appends to the job's id


@dataclass(slots=True, frozen=True)
class LeasedAttempt:
    """The job and the lease that a worker's handle names."""

    job_id: str
    lease: str


def attempt_handle(request_id: str, number: int, lease: str) -> bytes:
    """The handle of an attempt; the lease is empty where none is kept."""
    suffix = f".{lease}" if lease else ""
    return f"{request_id}.{number}{suffix}".encode()


def parse_leased_handle(handle: bytes) -> LeasedAttempt | None:
    """Parse the handle of a leased attempt; None if it cannot be one."""
    attempt, _, lease = handle.decode("latin-1").rpartition(".")
    if not attempt:
        return None
    request_id = attempt.rpartition(".")[0]
    return LeasedAttempt(request_id.partition(ATTEMPT_SEPARATOR)[0], lease)

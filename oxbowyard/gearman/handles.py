"""The handles that identify attempts to workers: `JOB.NUMBER`, or `JOB.NUMBER.LEASE` for a leased job."""

from __future__ import annotations

from dataclasses import dataclass

ATTEMPT_SEPARATOR = "~"  # in a request id, between the deferred job's id and the submission's suffix


@dataclass(slots=True, frozen=True)
class LeasedAttempt:
    """The job and the lease that the handle of an attempt names."""

    job_id: str
    lease: str


def attempt_handle(request_id: str, number: int, lease: str) -> bytes:
    """Return the handle of an attempt. The lease is empty for a job without one."""
    suffix = f".{lease}" if lease else ""
    return f"{request_id}.{number}{suffix}".encode()


def parse_leased_handle(handle: bytes) -> LeasedAttempt | None:
    """Parse the handle of a leased attempt. Return None if it does not have that form."""
    attempt, _, lease = handle.decode("latin-1").rpartition(".")
    if not attempt:
        return None
    request_id = attempt.rpartition(".")[0]
    return LeasedAttempt(request_id.partition(ATTEMPT_SEPARATOR)[0], lease)

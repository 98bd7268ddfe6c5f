"""Creates the requests to the scheduler core for Gearman jobs."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

from ..core.request import Request
from .job import PRIORITY_EXTRA, UNIQUE_ENCODING, UNIQUE_EXTRA, Job, Priority
from .job_results import send_update

KEY_BYTES = 16


def digest_key(data: bytes) -> str | None:
    """Return a short key for a unique id or a workload of any size; None if it is empty."""
    return hashlib.blake2b(data, digest_size=KEY_BYTES).hexdigest() if data else None


def build_request(
    job: Job, workload: bytes, priority: Priority, on_running: Callable[[Job, bool], None]
) -> Request:
    """Create the request for a job, which reports progress to the job's clients.

    `on_running` is called with True when a worker starts the job, and with False when that attempt ends.
    """
    extras = {UNIQUE_EXTRA: job.unique.decode(UNIQUE_ENCODING), PRIORITY_EXTRA: str(priority.value)}
    return Request(
        id=job.id,
        job_class=job.function.job_class.name,
        timeout_s=job.function.deadline_s,
        target=job.function.name,
        payload=workload,
        key=digest_key(job.unique),
        extras=extras,
        on_running=lambda running: on_running(job, running),
        on_update=lambda update: send_update(job, update),
        client_connected=job.is_wanted,
    )

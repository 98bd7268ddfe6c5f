"""The table `[waiting]` of the operator's file: every limit with its reason.

The attributes are the file's keys and keep their names: `quiet` is waiting for an idle fleet, `patience` the
longest wait, `parents` and `children` are dependencies and dependents.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

Count = Annotated[int, Meta(ge=1, le=10_000_000)]
Bytes = Annotated[int, Meta(ge=1, le=1 << 40)]
Seconds = Annotated[float, Meta(gt=0, le=10 * 365 * 86400)]
Share = Annotated[float, Meta(gt=0, le=1)]
Rate = Annotated[float, Meta(gt=0, le=100_000)]


class ClassSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """`[waiting.classes.NAME]`."""

    queueing: bool = False  # a rejected job waits and is submitted again
    quiet: bool = False  # all its jobs wait for an idle fleet, whether they ask for it or not
    max_jobs: Count | None = None  # in place of max_jobs_per_class


class WaitingSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """`[waiting]`."""

    classes: dict[str, ClassSettings] = field(default_factory=dict)

    # What may be held. A waiting job takes 1 KiB and its payload.
    max_jobs: Count = 10_000  # in all, submitted ones included: 10 MiB of a scheduler's 192
    max_jobs_per_class: Count = 5_000  # one class must not take all places
    max_jobs_per_tenant: Count = 5_000  # nor one tenant
    max_held_bytes: Bytes = 32 << 20  # payloads of all: few large jobs fill the memory before the places
    max_job_bytes: Bytes = 64 << 10  # of one payload: what the platform's protocol carries to a worker
    max_body_bytes: Bytes = 1 << 20  # of one request over HTTP, where a batch carries its payloads in JSON
    max_parents: Count = 64  # of one job: each is looked up when it is submitted
    max_depth: Count = 10_000  # of a chain of dependencies, counted when its last job is submitted
    max_batch: Count = 1_000  # jobs in one batch, which is accepted or rejected as a whole
    max_children: Count = 10_000  # of one job
    default_patience_s: Seconds = 3600.0  # of a job that names none
    max_patience_s: Seconds = 86400.0  # a job must not hold its place for ever
    max_delay_s: Seconds = 30 * 86400.0  # catches mistyped times

    # What is kept of ended jobs, so that their clients and children find them.
    keep_ended_s: Seconds = 600.0
    max_ended: Count = 10_000
    max_ended_bytes: Bytes = 32 << 20  # of their results

    # The order of release; docs/design/waiting.md has the bound that follows.
    age_limit_s: Seconds = 30.0  # after so long nothing newer passes a job, whatever its class
    quiet_limit_s: Seconds = (
        600.0  # after so long a job stops waiting for an idle fleet; not under age_limit_s
    )
    aged_per_s: Rate = 5.0  # of the jobs that have waited so long, this many a second go whatever comes

    # The rate of release.
    first_window: Count = 4  # submitted at once of one class at first
    max_window: Count = 256  # and at most: each holds a descriptor until it is answered
    fill_share: Annotated[float, Meta(gt=0, le=8)] = (
        1.5  # of the estimated slots, requests that are not deferred included
    )
    quiet_share: Share = 0.7  # the same for jobs that wait for an idle fleet
    calm_s: Seconds = 2.0  # after a rejection the fleet does not count as idle for so long
    start_within_ms: Annotated[float, Meta(gt=0, le=60_000)] = (
        200.0  # later starts show that too many jobs are submitted
    )
    retry_first_s: Seconds = 0.25  # backoff of a rejected class; doubled with each rejection
    retry_most_s: Seconds = 8.0

    # Clients that wait for a job's end.
    full_retry_after_s: Seconds = 5.0  # told to clients for which there is no room
    max_watchers: Count = 256  # long polls at once: each holds a descriptor
    max_poll_s: Seconds = 60.0  # of one long poll; proxies cut longer ones
    max_page: Count = 500  # jobs in one page of a listing: some 100 KiB

    def __post_init__(self) -> None:
        if self.quiet_limit_s < self.age_limit_s:
            raise ValueError("quiet_limit_s must not be under age_limit_s")
        if self.default_patience_s > self.max_patience_s:
            raise ValueError("default_patience_s must not be over max_patience_s")
        if self.retry_first_s > self.retry_most_s:
            raise ValueError("retry_first_s must not be over retry_most_s")

    def for_class(self, job_class: str) -> ClassSettings:
        """A class's own settings, or what holds for those without."""
        return self.classes.get(job_class, DEFAULT)

    def max_release_wait_s(self, quiet: bool = False) -> float:
        """The longest that a ready job waits to be submitted while a worker is listed for its class."""
        due_within = self.quiet_limit_s if quiet else self.age_limit_s
        return due_within + self.age_limit_s + self.max_jobs / self.aged_per_s


DEFAULT = ClassSettings()

"""The table `[waiting]` of the operator's file.

The attributes are the keys of the file, so their names must not change: `quiet` means waiting for an idle
fleet, `patience` is the maximum wait, `parents` and `children` are dependencies and dependents.
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

    queueing: bool = False  # a rejected job waits again and is resubmitted
    quiet: bool = False  # all jobs of the class wait for an idle fleet
    max_jobs: Count | None = None  # overrides max_jobs_per_class


class WaitingSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """`[waiting]`."""

    classes: dict[str, ClassSettings] = field(default_factory=dict)

    # Limits on the jobs in memory. A waiting job takes 1 KiB in addition to its payload.
    max_jobs: Count = 10_000  # in total, including submitted ones; takes 10 MiB of a scheduler's 192 MiB
    max_jobs_per_class: Count = 5_000  # prevents one class from filling the queue
    max_jobs_per_tenant: Count = 5_000  # prevents one tenant from filling the queue
    max_held_bytes: Bytes = 32 << 20  # payloads of all jobs, since a few large ones could fill the memory
    max_job_bytes: Bytes = 64 << 10  # payload of one job; the platform's protocol carries no more to a worker
    max_body_bytes: Bytes = 1 << 20  # one HTTP request body; a batch has its payloads in JSON
    max_parents: Count = 64  # dependencies of one job; each is looked up when the job is submitted
    max_depth: Count = 10_000  # length of a chain of dependencies, counted when its last job is submitted
    max_batch: Count = 1_000  # jobs in one batch, which is accepted or rejected atomically
    max_children: Count = 10_000  # dependents of one job
    default_patience_s: Seconds = 3600.0  # maximum wait of a job that sets none
    max_patience_s: Seconds = 86400.0  # bounds how long a job may occupy the queue
    max_delay_s: Seconds = 30 * 86400.0  # rejects times that were probably mistyped

    # Retention of ended jobs in memory, where their clients and dependents find them.
    keep_ended_s: Seconds = 600.0
    max_ended: Count = 10_000
    max_ended_bytes: Bytes = 32 << 20  # the results of all retained jobs

    # The order of release; docs/design/waiting.md derives the bound of `max_release_wait_s`.
    age_limit_s: Seconds = 30.0  # after this, jobs of any class that became ready later cannot overtake
    quiet_limit_s: Seconds = 600.0  # after this, a job stops waiting for an idle fleet; at least age_limit_s
    aged_per_s: Rate = 5.0  # guaranteed rate of release for overdue jobs, even without free capacity

    # The rate of release.
    first_window: Count = 4  # initial number of jobs of one class that are submitted at the same time
    max_window: Count = 256  # maximum of that number; each job holds a descriptor until it is answered
    fill_share: Annotated[float, Meta(gt=0, le=8)] = (
        1.5  # open requests per estimated slot, including requests that are not deferred
    )
    quiet_share: Share = 0.7  # the same limit for jobs that wait for an idle fleet
    calm_s: Seconds = 2.0  # time after a rejection in which the fleet does not count as idle
    start_within_ms: Annotated[float, Meta(gt=0, le=60_000)] = (
        200.0  # a later start means that too many jobs are submitted
    )
    retry_first_s: Seconds = 0.25  # first backoff of a rejected class; doubled with each rejection
    retry_most_s: Seconds = 8.0  # maximum backoff

    # Clients that wait for a result.
    full_retry_after_s: Seconds = 5.0  # the Retry-After that rejected clients get while a limit is reached
    max_watchers: Count = 256  # concurrent long polls; each holds a descriptor
    max_poll_s: Seconds = 60.0  # duration of one long poll; proxies abort longer ones
    max_page: Count = 500  # jobs in one page of a listing, which takes about 100 KiB

    def __post_init__(self) -> None:
        if self.quiet_limit_s < self.age_limit_s:
            raise ValueError("quiet_limit_s must not be under age_limit_s")
        if self.default_patience_s > self.max_patience_s:
            raise ValueError("default_patience_s must not be over max_patience_s")
        if self.retry_first_s > self.retry_most_s:
            raise ValueError("retry_first_s must not be over retry_most_s")

    def for_class(self, job_class: str) -> ClassSettings:
        """Return the settings of a class, or the defaults if it has none of its own."""
        return self.classes.get(job_class, DEFAULT_CLASS_SETTINGS)

    def max_release_wait_s(self, quiet: bool = False) -> float:
        """Return the longest wait of a ready job for its release, while its class has a listed worker."""
        due_within = self.quiet_limit_s if quiet else self.age_limit_s
        return due_within + self.age_limit_s + self.max_jobs / self.aged_per_s


DEFAULT_CLASS_SETTINGS = ClassSettings()

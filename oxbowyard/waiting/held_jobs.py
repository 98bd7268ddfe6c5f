"""Counts the jobs and results that are held in memory, and checks submissions against the limits."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

from .job import Job, JobRejectedError, JobState, JobSubmission, RejectionCode
from .settings import WaitingSettings


@dataclass(slots=True)
class HeldJobs:
    """Counters of the jobs that are held in memory, for the limits and for operators."""

    jobs: int = 0  # accepted and not ended
    bytes: int = 0  # payload bytes of the jobs that have not ended
    ended: int = 0  # ended and not purged
    ended_bytes: int = 0  # result bytes of the ended jobs
    by_class: Counter[str] = field(default_factory=Counter)
    by_tenant: Counter[str] = field(default_factory=Counter)
    by_state: Counter[JobState] = field(default_factory=Counter)

    def add(self, job: Job) -> None:
        """Count an accepted job."""
        self.jobs += 1
        self.bytes += job.payload_bytes
        self.by_class[job.job_class] += 1
        self.by_state[job.state] += 1
        if job.tenant:
            self.by_tenant[job.tenant] += 1

    def end(self, job: Job, result_bytes: int) -> None:
        """Count a job as ended; its result is retained."""
        self.jobs -= 1
        self.bytes -= job.payload_bytes
        self.by_class[job.job_class] -= 1
        if job.tenant:
            self.by_tenant[job.tenant] -= 1
            if not self.by_tenant[job.tenant]:  # bounds the counter to tenants that have jobs
                del self.by_tenant[job.tenant]
        self.ended += 1
        self.ended_bytes += result_bytes


def check_submissions(
    submissions: Sequence[JobSubmission],
    settings: WaitingSettings,
    classes: Collection[str],
    known_ids: Collection[str],
    held: HeldJobs,
) -> None:
    """Check the jobs of one submission against the limits. Raises JobRejectedError."""
    if len(submissions) > settings.max_batch:
        text = f"a hand-in holds {settings.max_batch} jobs at most"
        raise JobRejectedError(RejectionCode.BATCH_TOO_LARGE, text)
    ids: set[str] = set()
    for submission in submissions:
        _check_submission(submission, settings, classes)
        if submission.id in known_ids or submission.id in ids:
            raise JobRejectedError(RejectionCode.DUPLICATE_ID, f"there is a job {submission.id}")
        ids.add(submission.id)
    _check_capacity(submissions, settings, held)


def queue_full_error(settings: WaitingSettings, code: RejectionCode, text: str) -> JobRejectedError:
    """Return the error for a limit that may have room again when the client retries."""
    return JobRejectedError(code, text, settings.full_retry_after_s)


def _check_submission(submission: JobSubmission, settings: WaitingSettings, classes: Collection[str]) -> None:
    if submission.job_class not in classes:
        raise JobRejectedError(RejectionCode.UNKNOWN_CLASS, f"no class {submission.job_class}")
    if submission.payload_bytes > settings.max_job_bytes:
        text = f"a payload holds {settings.max_job_bytes} bytes at most"
        raise JobRejectedError(RejectionCode.TOO_LARGE, text)
    if not 0 < submission.max_wait_ms <= settings.max_patience_s * 1000:
        text = f"the patience is over 0 and at most {settings.max_patience_s:g} s"
        raise JobRejectedError(RejectionCode.INVALID_MAX_WAIT, text)
    if not 0 <= submission.delay_ms <= settings.max_delay_s * 1000:
        text = f"a job is due within {settings.max_delay_s:g} s at most"
        raise JobRejectedError(RejectionCode.INVALID_TIME, text)


def _check_capacity(submissions: Sequence[JobSubmission], settings: WaitingSettings, held: HeldJobs) -> None:
    if held.jobs + len(submissions) > settings.max_jobs:
        text = f"{settings.max_jobs} jobs wait already"
        raise queue_full_error(settings, RejectionCode.QUEUE_FULL, text)
    if held.bytes + sum(s.payload_bytes for s in submissions) > settings.max_held_bytes:
        text = "the payloads of those that wait hold all the memory they may"
        raise queue_full_error(settings, RejectionCode.BYTES_FULL, text)
    for name, count in _count_names(s.job_class for s in submissions).items():
        max_jobs = settings.for_class(name).max_jobs or settings.max_jobs_per_class
        if held.by_class[name] + count > max_jobs:
            text = f"{max_jobs} jobs of class {name} wait already"
            raise queue_full_error(settings, RejectionCode.CLASS_FULL, text)
    for name, count in _count_names(s.tenant for s in submissions).items():
        if name and held.by_tenant[name] + count > settings.max_jobs_per_tenant:
            text = f"{settings.max_jobs_per_tenant} jobs of {name} wait already"
            raise queue_full_error(settings, RejectionCode.TENANT_FULL, text)


def _count_names(names: Iterable[str]) -> dict[str, int]:
    """Return the number of times that each name occurs, in the order of first occurrence."""
    counts: dict[str, int] = {}
    for name in names:
        counts[name] = counts.get(name, 0) + 1
    return counts

"""Pagination of the listing of jobs."""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice

from sortedcontainers import SortedKeyList

from .job import Job

MAX_JOBS_EXAMINED = 5_000  # per page; takes about 2 ms of the event loop


def jobs_by_number() -> SortedKeyList[Job, int]:
    """Return an empty list that keeps jobs in the order of their numbers."""
    return SortedKeyList(key=_number)


def page_of(
    jobs: SortedKeyList[Job, int], after: int, limit: int, matches: Callable[[Job], bool]
) -> tuple[list[Job], int | None]:
    """Return up to `limit` matching jobs with numbers above `after`, and the number to continue after.

    The number is None on the last page. Any page may be short or empty, because a call examines a bounded
    number of jobs.
    """
    found: list[Job] = []
    examined: Job | None = None
    for job in islice(jobs.irange_key(min_key=after, inclusive=(False, True)), MAX_JOBS_EXAMINED):
        examined = job
        if matches(job):
            found.append(job)
        if len(found) == limit:
            break
    if examined is None or examined is jobs[-1]:
        return found, None
    return found, examined.number


def _number(job: Job) -> int:
    return job.number

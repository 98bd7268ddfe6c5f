"""Pages of a listing of jobs."""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice

from sortedcontainers import SortedKeyList

from .job import Job

MAX_JOBS_EXAMINED = 5_000  # for one page: some 2 ms


def jobs_by_number() -> SortedKeyList[Job, int]:
    """An empty list of jobs in the order of their numbers."""
    return SortedKeyList(key=_number)


def page_of(
    jobs: SortedKeyList[Job, int], after: int, limit: int, matches: Callable[[Job], bool]
) -> tuple[list[Job], int | None]:
    """The jobs, in the order of their numbers, that are above `after` and match; `limit` of them at most.

    Returns them and the number to continue from; None if that was all. A page may be short, or empty, with
    more to come: a call examines a bounded number of jobs.
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

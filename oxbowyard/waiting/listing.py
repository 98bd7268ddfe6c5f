"""Pages of a listing of jobs."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable
from itertools import islice

from .job import Job

MAX_JOBS_EXAMINED = 5_000  # for one page: some 2 ms


def page_of(
    jobs: list[Job], after: int, limit: int, matches: Callable[[Job], bool]
) -> tuple[list[Job], int | None]:
    """The jobs, in the order of their numbers, that are above `after` and match; `limit` of them at most.

    Returns them and the number to continue from; None if that was all. A page may be short, or empty, with
    more to come: a call examines a bounded number of jobs.
    """
    start = bisect_right(jobs, after, key=lambda job: job.number)
    found: list[Job] = []
    for job in islice(jobs, start, start + MAX_JOBS_EXAMINED):
        if matches(job):
            found.append(job)
        if len(found) == limit or job is jobs[-1]:
            return found, None if job is jobs[-1] else job.number
    end = start + MAX_JOBS_EXAMINED
    return found, jobs[end - 1].number if end <= len(jobs) else None

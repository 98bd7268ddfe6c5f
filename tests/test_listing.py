"""The job listing while jobs of an earlier run are recovered from the store."""

from __future__ import annotations

from itertools import pairwise

import pytest
from test_waiting_policy import NO_CAPACITY, PolicyHarness

from oxbowyard.waiting.job import Job, JobSubmission, RestoredJob

EARLIER = 7
LATER = 5


def list_all(harness: PolicyHarness, limit: int) -> list[Job]:
    """Return the jobs of all pages in order."""
    jobs: list[Job] = []
    after: int | None = 0
    while after is not None:
        page, after = harness.policy.page(after, limit, lambda job: True)
        jobs += page
    return jobs


@pytest.mark.parametrize("limit", [1, 2, 3, 50])
def test_listing_during_recovery_skips_no_job(limit: int) -> None:
    # Guards against a binary search in an unsorted list: recovery adds lower numbers after higher ones.
    harness = PolicyHarness(NO_CAPACITY)
    harness.policy.set_last_number(EARLIER)
    for number in range(LATER):
        harness.job(f"new{number}")
    for number in range(1, EARLIER + 1):
        old = JobSubmission(f"old{number}", "light", 60_000.0)
        harness.policy.restore(harness.now, RestoredJob(old, number, 0))
        harness.drain()
        listed = list_all(harness, limit)
        assert len(listed) == LATER + number
        assert all(one.number < other.number for one, other in pairwise(listed))


def test_purged_jobs_are_removed_from_listing() -> None:
    harness = PolicyHarness(NO_CAPACITY, keep_ended_s=1.0)
    for number in range(4):
        harness.job(f"j{number}")
    harness.policy.cancel(harness.now, "j1")
    harness.drain()
    harness.run(2000.0)
    assert [job.id for job in list_all(harness, 2)] == ["j0", "j2", "j3"]

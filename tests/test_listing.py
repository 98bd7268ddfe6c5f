"""The listing of jobs while those of an earlier run are read back."""

from __future__ import annotations

from itertools import pairwise

import pytest
from test_waiting_policy import SHUT, Stage

from oxbowyard.waiting.job import Job, JobSubmission

EARLIER = 7
LATER = 5


def everything(stage: Stage, limit: int) -> list[Job]:
    """All pages, one after the other."""
    jobs: list[Job] = []
    after: int | None = 0
    while after is not None:
        page, after = stage.policy.page(after, limit, lambda job: True)
        jobs += page
    return jobs


@pytest.mark.parametrize("limit", [1, 2, 3, 50])
def test_a_listing_beside_a_recovery_skips_no_job(limit: int) -> None:
    # Guards against a list that is bisected by number though a recovery adds lower numbers after higher ones.
    stage = Stage(SHUT)
    stage.policy.set_last_number(EARLIER)
    for number in range(LATER):
        stage.job(f"new{number}")
    for number in range(1, EARLIER + 1):
        stage.policy.restore(stage.now, JobSubmission(f"old{number}", "light", 60_000.0), number, 0)
        stage.drain()
        listed = everything(stage, limit)
        assert len(listed) == LATER + number
        assert all(one.number < other.number for one, other in pairwise(listed))


def test_jobs_that_are_purged_leave_the_listing() -> None:
    stage = Stage(SHUT, keep_ended_s=1.0)
    for number in range(4):
        stage.job(f"j{number}")
    stage.policy.cancel(stage.now, "j1")
    stage.drain()
    stage.run(2000.0)
    assert [job.id for job in everything(stage, 2)] == ["j0", "j2", "j3"]

"""`WaitingPolicy` in virtual time: individual cases, and a stateful model test with Hypothesis."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from oxbowyard.core.request import RunState
from oxbowyard.waiting.job import (
    AGED_CLASS_SUFFIX,
    Dependency,
    DependencyCondition,
    DependencySatisfied,
    Job,
    JobOutcome,
    JobRejectedError,
    JobState,
    JobSubmission,
    RejectionCode,
    StateChanged,
    SubmitJob,
)
from oxbowyard.waiting.policy import STEPS_PER_TICK, WaitingPolicy
from oxbowyard.waiting.release_rate import POLL_INTERVAL_MS, FleetCapacity
from oxbowyard.waiting.settings import ClassSettings, WaitingSettings

QUEUEING_CLASSES = {"light": ClassSettings(queueing=True)}
PRIORITY_WEIGHTS = {"light": 1.0, "heavy": 8.0}
SERVED, ENDED = DependencyCondition.SERVED, DependencyCondition.ENDED


class PolicyHarness:
    """A policy with a simulated clock and fleet capacity."""

    def __init__(self, capacity: FleetCapacity | None = None, **changes: Any) -> None:
        self.settings = WaitingSettings(**({"classes": QUEUEING_CLASSES} | changes))
        self.capacity = capacity or FleetCapacity(4, 16.0, 0)
        self.policy = WaitingPolicy(self.settings, PRIORITY_WEIGHTS, lambda name: self.capacity)
        self.now = 1000.0
        self.ends: Counter[str] = Counter()
        self.released: list[tuple[float, str, str]] = []
        self.max_actions_per_call = 0  # most actions returned by one call of the policy

    def submit(self, *submissions: JobSubmission) -> list[Job]:
        try:
            return self.policy.submit(self.now, submissions)
        finally:
            self.drain()

    def job(self, id_: str, job_class: str = "light", after: tuple[Dependency, ...] = (), **more: Any) -> Job:
        return self.submit(
            JobSubmission(id_, job_class, more.pop("max_wait_ms", 60_000.0), dependencies=after, **more)
        )[0]

    def drain(self) -> None:
        actions = self.policy.take_actions()
        self.max_actions_per_call = max(self.max_actions_per_call, len(actions))
        for action in actions:
            if isinstance(action, SubmitJob):
                self.released.append((self.now, action.job.id, action.job_class))
            elif isinstance(action, StateChanged) and action.state is JobState.ENDED:
                self.ends[action.job.id] += 1

    def run(self, ms: float) -> None:
        """Advance the time, running each tick that the policy schedules."""
        end = self.now + ms
        while (due := self.policy.next_tick_ms(self.now)) is not None and due <= end:
            self.now = max(due, self.now)
            self.policy.tick(self.now)
            self.drain()
        self.now = end

    def end(
        self, id_: str, end: JobOutcome = JobOutcome.SERVED, ran: RunState = RunState.HAS_RUN, size: int = 0
    ) -> None:
        job = self.policy.find(id_)
        assert job is not None
        self.policy.job_ended(self.now, job, end, ran, result_bytes=size)
        self.drain()

    def reject(self, id_: str, retry_after_ms: float = 0.0) -> None:
        job = self.policy.find(id_)
        assert job is not None
        may_resubmit = self.settings.for_class(job.job_class).queueing
        self.policy.job_rejected(self.now, job, retry_after_ms, may_resubmit)
        self.drain()

    def released_ids(self) -> list[str]:
        return [id_ for _, id_, _ in self.released]

    def state(self, id_: str) -> JobState | JobOutcome | None:
        job = self.policy.find(id_)
        return (job.outcome or job.state) if job else None

    def rejection_code(self, *submissions: JobSubmission) -> RejectionCode:
        held = str(self.policy.held)
        with pytest.raises(JobRejectedError) as caught:
            self.submit(*submissions)
        assert str(self.policy.held) == held, "a rejected submission was partly accepted"
        assert bool(caught.value.retry_after_s) == (caught.value.code.value.endswith("full"))
        return caught.value.code


NO_CAPACITY = FleetCapacity(4, 0.0, 100)


# ---- Release order and ageing ----


def test_higher_priority_class_is_released_first_until_a_light_job_has_aged() -> None:
    harness = PolicyHarness(NO_CAPACITY, age_limit_s=10.0)
    harness.job("light-old", "light")
    harness.run(9_000)
    harness.job("heavy-new", "heavy")
    harness.run(2_000)
    harness.job("heavy-newer", "heavy")
    harness.capacity = FleetCapacity(4, 16.0, 0)
    harness.run(100)
    assert harness.released_ids() == ["light-old", "heavy-new", "heavy-newer"]
    young = PolicyHarness(NO_CAPACITY, age_limit_s=10.0)
    young.job("light", "light")
    young.run(1_000)
    young.job("heavy", "heavy")
    young.capacity = FleetCapacity(4, 16.0, 0)
    young.run(100)
    assert young.released_ids() == ["heavy", "light"]


def test_job_close_to_max_wait_is_released_before_others() -> None:
    harness = PolicyHarness(NO_CAPACITY, age_limit_s=10.0)
    harness.job("patient", "light", max_wait_ms=100_000.0)
    harness.job("hurried", "light", max_wait_ms=10_500.0)
    harness.capacity = FleetCapacity(4, 16.0, 0)
    harness.run(100)
    assert harness.released_ids() == ["hurried", "patient"]


def test_priority_is_weight_per_mean_work() -> None:
    harness = PolicyHarness(NO_CAPACITY)
    harness.policy.priorities.set_mean_work("heavy", 16.0)  # 8 times the weight, 16 times the work
    harness.policy.priorities.set_mean_work("light", 1.0)
    harness.job("h", "heavy")
    harness.job("l", "light")
    harness.capacity = FleetCapacity(4, 16.0, 0)
    harness.run(100)
    assert harness.released_ids() == ["l", "h"]


def test_aged_jobs_are_released_at_aged_rate_without_capacity() -> None:
    harness = PolicyHarness(NO_CAPACITY, age_limit_s=1.0, aged_per_s=2.0)
    for i in range(6):
        harness.job(f"j{i}")
    harness.run(1_800)
    assert harness.released == []
    harness.run(3_300)
    times = [at for at, _, _ in harness.released]
    assert len(times) == 6 and all(name == "light" + AGED_CLASS_SUFFIX for _, _, name in harness.released)
    assert all(b - a >= 500 - POLL_INTERVAL_MS for a, b in pairwise(times))
    assert times[-1] - 1000 <= harness.settings.max_release_wait_s() * 1000


def test_repeatedly_rejected_jobs_do_not_starve_others() -> None:
    harness = PolicyHarness(NO_CAPACITY, age_limit_s=1.0, aged_per_s=2.0, retry_most_s=0.25)
    for i in range(3):
        harness.job(f"j{i}")
    for _ in range(40):
        before = len(harness.released)
        harness.run(100)
        for id_ in harness.released_ids()[before:]:
            harness.reject(id_)
    assert set(harness.released_ids()) == {"j0", "j1", "j2"}
    assert {"j0", "j1", "j2"} == set(harness.released_ids()[-3:])  # they take turns


def test_job_expires_unreleased_when_there_is_no_worker() -> None:
    harness = PolicyHarness(FleetCapacity(0, 0.0, 0), age_limit_s=1.0)
    harness.job("a", max_wait_ms=5_000.0)
    harness.run(4_900)
    assert harness.released == [] and harness.state("a") is JobState.READY
    harness.run(200)
    assert harness.state("a") is JobOutcome.WAIT_EXPIRED and harness.ends["a"] == 1


# ---- Parents ----


@pytest.mark.parametrize(
    ("end", "ran", "when", "is_released"),
    [
        (JobOutcome.SERVED, RunState.HAS_RUN, SERVED, True),
        (JobOutcome.SERVED, RunState.HAS_RUN, ENDED, True),
        (JobOutcome.FAILED, RunState.MAY_HAVE_RUN, SERVED, False),
        (JobOutcome.FAILED, RunState.MAY_HAVE_RUN, ENDED, True),
        (JobOutcome.REJECTED, RunState.NEVER_RAN, SERVED, False),
        (JobOutcome.REJECTED, RunState.NEVER_RAN, ENDED, True),
        (JobOutcome.CANCELLED, RunState.NEVER_RAN, SERVED, False),
        (JobOutcome.FAILED, RunState.MAY_BE_RUNNING, SERVED, False),
        (
            JobOutcome.FAILED,
            RunState.MAY_BE_RUNNING,
            ENDED,
            False,
        ),  # it may still run, so it does not count as ended
        (JobOutcome.CANCELLED, RunState.MAY_BE_RUNNING, ENDED, False),
    ],
)
def test_dependent_follows_outcome_of_its_parent(
    end: JobOutcome, ran: RunState, when: DependencyCondition, is_released: bool
) -> None:
    harness = PolicyHarness()
    harness.job("p")
    harness.job("c", after=(Dependency("p", when),))
    assert harness.state("c") is JobState.BLOCKED and harness.released_ids() == ["p"]
    harness.end("p", end, ran)
    harness.run(50)
    assert harness.released_ids() == (["p", "c"] if is_released else ["p"])
    assert harness.state("c") is (JobState.SUBMITTED if is_released else JobOutcome.DEPENDENCY_FAILED)
    late = JobSubmission(
        "late", "light", 1000.0, dependencies=(Dependency("p", when),)
    )  # submitted after its parent ended
    if is_released:
        harness.submit(late)
        assert harness.state("late") is JobState.SUBMITTED
    else:
        assert harness.rejection_code(late) is RejectionCode.DEPENDENCY_NOT_SERVED


def test_dependent_waits_for_all_parents() -> None:
    harness = PolicyHarness()
    harness.job("p1")
    harness.job("p2")
    harness.job("c", after=(Dependency("p1"), Dependency("p2", ENDED)))
    harness.end("p1")
    harness.run(50)
    assert harness.state("c") is JobState.BLOCKED
    harness.end("p2", JobOutcome.FAILED, RunState.MAY_HAVE_RUN)
    harness.run(50)
    assert harness.state("c") is JobState.SUBMITTED


def test_cancelling_parent_fails_dependents_transitively() -> None:
    harness = PolicyHarness(NO_CAPACITY)
    harness.job("p")
    harness.job("c", after=(Dependency("p"),))
    harness.job("g", after=(Dependency("c"),))
    harness.job("either", after=(Dependency("c", ENDED),))
    harness.policy.cancel(harness.now, "p")
    harness.run(10)
    assert [harness.state(x) for x in "pcg"] == [
        JobOutcome.CANCELLED,
        JobOutcome.DEPENDENCY_FAILED,
        JobOutcome.DEPENDENCY_FAILED,
    ]
    assert harness.state("either") is JobState.READY  # its parent has ended and never ran


@pytest.mark.parametrize("shape", ["chain", "fan"])
def test_ten_thousand_dependents_fail_in_bounded_steps(shape: str) -> None:
    harness = PolicyHarness(max_jobs=20_000, max_jobs_per_class=20_000, max_ended=20_000)
    harness.job("j0")
    for i in range(1, 10_001):
        harness.job(f"j{i}", after=(Dependency(f"j{i - 1}" if shape == "chain" else "j0"),))
    harness.max_actions_per_call = 0
    harness.end("j0", JobOutcome.FAILED, RunState.MAY_HAVE_RUN)
    harness.run(0)  # no time passes
    assert len(harness.ends) == 10_001 and set(harness.ends.values()) == {1}
    assert harness.max_actions_per_call <= 2 * STEPS_PER_TICK + 2  # each call does a bounded number of steps
    assert harness.policy.held.jobs == 0


def test_ten_thousand_dependents_are_unblocked_in_bounded_steps_and_paced() -> None:
    harness = PolicyHarness(max_jobs=20_000, max_jobs_per_class=20_000)
    harness.job("p")
    for i in range(10_000):
        harness.job(f"c{i}", after=(Dependency("p"),))
    harness.max_actions_per_call = 0
    harness.end("p")
    harness.run(1_000)
    assert (
        harness.max_actions_per_call <= 3 * STEPS_PER_TICK
        and len(harness.released) == 1 + harness.settings.first_window
    )
    assert harness.policy.held.by_state[JobState.READY] == 10_000 - harness.settings.first_window


def test_invalid_submissions_are_rejected() -> None:
    harness = PolicyHarness(
        NO_CAPACITY, max_depth=2, max_parents=2, keep_ended_s=1.0, max_job_bytes=10, max_batch=3
    )
    harness.job("known")

    def submission(id_: str, *after: str, **more: Any) -> JobSubmission:
        job_class, max_wait_ms = more.pop("job_class", "light"), more.pop("max_wait_ms", 1000.0)
        dependencies = tuple(Dependency(p) for p in after)
        return JobSubmission(id_, job_class, max_wait_ms, dependencies=dependencies, **more)

    assert harness.rejection_code(submission("known")) is RejectionCode.DUPLICATE_ID
    assert harness.rejection_code(submission("a"), submission("a")) is RejectionCode.DUPLICATE_ID
    assert harness.rejection_code(submission("a", "known", "known")) is RejectionCode.DUPLICATE_ID
    assert harness.rejection_code(submission("a", "a")) is RejectionCode.SELF_DEPENDENCY
    assert harness.rejection_code(submission("a", "nobody")) is RejectionCode.UNKNOWN_DEPENDENCY
    assert (
        harness.rejection_code(submission("x"), submission("a", "b"), submission("b", "a"))
        is RejectionCode.CYCLE
    )
    assert harness.rejection_code(submission("a", "known", "x", "y")) is RejectionCode.TOO_MANY_DEPENDENCIES
    assert harness.rejection_code(submission("a", job_class="none")) is RejectionCode.UNKNOWN_CLASS
    assert harness.rejection_code(submission("a", payload_bytes=11)) is RejectionCode.TOO_LARGE
    assert harness.rejection_code(submission("a", max_wait_ms=0.0)) is RejectionCode.INVALID_MAX_WAIT
    assert harness.rejection_code(submission("a", delay_ms=1e15)) is RejectionCode.INVALID_TIME
    assert harness.rejection_code(*(submission(x) for x in "abcd")) is RejectionCode.BATCH_TOO_LARGE
    harness.submit(submission("c", "b"), submission("b", "known"))  # a batch may list dependents first
    assert harness.rejection_code(submission("d", "c")) is RejectionCode.TOO_DEEP
    harness.policy.cancel(harness.now, "known")
    harness.run(2_000)
    assert harness.rejection_code(submission("d", "known")) is RejectionCode.UNKNOWN_DEPENDENCY  # purged
    harness.policy.stop(harness.now)
    with pytest.raises(JobRejectedError, match="no more"):
        harness.submit(submission("e"))


def test_idempotency_key_returns_existing_job_until_it_is_purged() -> None:
    harness = PolicyHarness(NO_CAPACITY, keep_ended_s=1.0)
    first = harness.job("a", idempotency_key="k", fingerprint=b"1")
    assert harness.job("b", idempotency_key="k", fingerprint=b"1") is first and harness.policy.held.jobs == 1
    assert (
        harness.rejection_code(JobSubmission("c", "light", 1.0, idempotency_key="k", fingerprint=b"2"))
        is RejectionCode.CONFLICT
    )
    assert harness.job("d", idempotency_key="k", fingerprint=b"2", tenant="other") is not first
    harness.policy.cancel(harness.now, "a")
    harness.run(1_500)
    assert (
        harness.job("e", idempotency_key="k", fingerprint=b"3").id == "e"
    )  # the job and its key were purged


# ---- Time ----


def test_thousand_jobs_due_together_are_released_within_the_window() -> None:
    harness = PolicyHarness(FleetCapacity(4, 4.0, 0))
    for i in range(1_000):
        harness.job(f"j{i}", delay_ms=5_000.0)
    harness.run(4_999)
    assert harness.released == []
    harness.run(100)
    assert len(harness.released) == harness.settings.first_window
    done = 0
    while done < len(harness.released) and harness.now < 60_000:
        id_ = harness.released[done][1]
        job = harness.policy.find(id_)
        assert job is not None
        harness.policy.job_started(harness.now, job, 1.0)
        harness.end(id_)
        done += 1
        harness.run(1)
        assert len(harness.released) - done <= harness.settings.max_window
    assert done == 1_000


def test_scheduled_job_waits_while_workers_hang() -> None:
    harness = PolicyHarness(
        FleetCapacity(4, 4.0, 6), age_limit_s=10.0
    )  # jobs hang on the workers: no slot becomes free
    harness.job("timed", delay_ms=1_000.0, max_wait_ms=5_000.0)
    harness.run(4_000)
    assert harness.released == []
    harness.capacity = FleetCapacity(4, 4.0, 0)
    harness.run(100)
    assert harness.released_ids() == ["timed"]


# ---- Capacity, idle-only jobs, rejections ----


def test_full_queue_rejects_new_jobs_and_retains_queued_ones() -> None:
    harness = PolicyHarness(
        NO_CAPACITY, max_jobs=4, max_jobs_per_class=3, max_jobs_per_tenant=2, max_held_bytes=100
    )
    harness.job("a", tenant="t", payload_bytes=40)
    harness.job("b", tenant="t", payload_bytes=40)
    assert harness.rejection_code(JobSubmission("c", "light", 1.0, tenant="t")) is RejectionCode.TENANT_FULL
    assert harness.rejection_code(JobSubmission("c", "light", 1.0, 30)) is RejectionCode.BYTES_FULL
    harness.job("c", payload_bytes=20)
    assert harness.rejection_code(JobSubmission("d", "light", 1.0)) is RejectionCode.CLASS_FULL
    harness.job("d", "heavy")
    assert harness.rejection_code(JobSubmission("e", "heavy", 1.0)) is RejectionCode.QUEUE_FULL
    assert [harness.state(x) for x in "abcd"] == [JobState.READY] * 4
    harness.policy.cancel(harness.now, "a")
    harness.job("e", tenant="t", payload_bytes=40)


def test_rejected_queueing_job_is_resubmitted_with_a_smaller_window() -> None:
    harness = PolicyHarness(FleetCapacity(4, 16.0, 0), first_window=4, retry_first_s=0.5)
    for i in range(8):
        harness.job(f"j{i}", max_wait_ms=10_000.0)
    assert len(harness.released) == 4
    window = harness.policy.rate.window("light")
    for i in range(4):
        harness.reject(f"j{i}", retry_after_ms=1_000.0)
    assert window.limit == 2.0 and harness.state("j0") is JobState.SCHEDULED  # halved once, not four times
    harness.run(900)
    assert len(harness.released) == 4
    harness.run(200)
    assert harness.released_ids()[4:] == [
        "j0",
        "j1",
    ]  # they keep their place in the queue; the window is two now
    for id_ in ("j0", "j1"):
        harness.end(id_)
    harness.run(100)
    assert harness.released_ids()[6:8] == ["j2", "j3"]


def test_rejected_job_of_non_queueing_class_ends_rejected() -> None:
    harness = PolicyHarness()
    harness.job("h", "heavy")
    harness.reject("h")
    assert harness.state("h") is JobOutcome.REJECTED and harness.ends["h"] == 1


def test_rejected_job_is_not_resubmitted_past_its_max_wait() -> None:
    harness = PolicyHarness()
    harness.job("a", max_wait_ms=400.0)
    harness.reject("a", retry_after_ms=500.0)
    assert harness.state("a") is JobOutcome.REJECTED


def test_idle_only_job_waits_for_spare_capacity_and_no_rejections() -> None:
    harness = PolicyHarness(
        FleetCapacity(4, 10.0, 7), quiet_limit_s=60.0, age_limit_s=5.0, quiet_share=0.7, calm_s=2.0
    )
    harness.job("bulk", wait_for_idle=True)
    harness.run(1_000)
    assert harness.released == []  # 7 of 10 slots are in use
    harness.capacity = FleetCapacity(4, 10.0, 6, since_rejection_ms=1_000.0)
    harness.run(1_000)
    assert harness.released == []  # a request was rejected one second ago
    harness.capacity = FleetCapacity(4, 10.0, 6, since_rejection_ms=2_500.0)
    harness.run(100)
    assert harness.released_ids() == ["bulk"]


def test_idle_only_job_is_aged_after_its_limit() -> None:
    harness = PolicyHarness(
        FleetCapacity(4, 10.0, 14, since_rejection_ms=0.0), quiet_limit_s=20.0, age_limit_s=5.0
    )
    harness.job("bulk", wait_for_idle=True, max_wait_ms=1e6)
    harness.run(19_900)
    assert harness.state("bulk") is JobState.AWAITING_IDLE
    harness.run(200)
    assert harness.released[0][1:] == ("bulk", "light" + AGED_CLASS_SUFFIX)


def test_window_grows_on_prompt_starts_and_shrinks_on_late_ones() -> None:
    harness = PolicyHarness(FleetCapacity(4, 100.0, 0), first_window=4, start_within_ms=100.0)
    window = harness.policy.rate.window("light")
    for i in range(40):
        harness.job(f"j{i}")
    for i in range(8):
        job = harness.policy.find(f"j{i}")
        assert job is not None
        harness.policy.job_started(harness.now, job, 10.0)
        harness.end(f"j{i}")
    widened = window.limit
    assert widened > 5
    job = harness.policy.find("j8")
    assert job is not None
    harness.policy.job_started(harness.now, job, 500.0)
    assert window.limit < widened


# ---- Retention, shutdown, listing ----


def test_ended_jobs_are_retained_within_limits() -> None:
    harness = PolicyHarness(keep_ended_s=10.0, max_ended=3, max_ended_bytes=100)
    for i in range(5):
        harness.job(f"j{i}", "heavy")
        harness.end(f"j{i}", size=10)
    assert [harness.state(f"j{i}") for i in range(5)] == [
        None,
        None,
        JobOutcome.SERVED,
        JobOutcome.SERVED,
        JobOutcome.SERVED,
    ]
    harness.job("big", "heavy")
    harness.end("big", size=95)
    assert harness.state("j4") is None and harness.state("big") is JobOutcome.SERVED
    harness.run(10_100)
    assert harness.state("big") is None and harness.policy.held.ended_bytes == 0


def test_stop_ends_waiting_jobs_and_leaves_submitted_ones() -> None:
    harness = PolicyHarness(FleetCapacity(4, 4.0, 0))
    for i in range(1_000):
        harness.job(f"j{i}", delay_ms=float(i % 3 and 5_000))
    submitted = len(harness.released)
    harness.policy.stop(harness.now)
    harness.drain()
    harness.run(0)
    assert len(harness.ends) == 1_000 - submitted and harness.policy.held.jobs == submitted
    ids = set(harness.released_ids())
    assert all(harness.state(f"j{i}") is JobOutcome.SHUT_DOWN for i in range(1_000) if f"j{i}" not in ids)
    harness.end(harness.released_ids()[0])
    harness.run(100)
    assert len(harness.released) == submitted


def test_listing_is_paginated_and_filtered() -> None:
    harness = PolicyHarness(NO_CAPACITY)
    for i in range(10):
        harness.job(f"j{i}", "heavy" if i % 2 else "light")
    first, more = harness.policy.page(0, 3, lambda job: job.job_class == "heavy")
    assert [job.id for job in first] == ["j1", "j3", "j5"] and more is not None
    rest, more = harness.policy.page(more, 3, lambda job: job.job_class == "heavy")
    assert [job.id for job in rest] == ["j7", "j9"] and more is None
    assert harness.policy.page(99, 3, lambda job: True) == ([], None)


# ---- Stateful model test ----

MODEL_SETTINGS = {
    "max_jobs": 12, "max_jobs_per_class": 12, "age_limit_s": 1.0, "quiet_limit_s": 3.0,
    "aged_per_s": 2.0, "first_window": 2, "max_ended": 1000, "retry_first_s": 0.1, "retry_most_s": 1.0,
}  # fmt: skip


class Model(RuleBasedStateMachine):
    """Random operations: parents end before their dependents are released, each job ends once, and no job
    waits in the queue longer than the bound.
    """

    @initialize()
    def begin(self) -> None:
        self.harness = PolicyHarness(FleetCapacity(2, 2.0, 0), **MODEL_SETTINGS)
        self.parents: dict[str, tuple[Dependency, ...]] = {}
        self.known: dict[str, Job] = {}
        self.ready_since: dict[str, float] = {}
        self.seen: list[str] = []
        inner = self.harness.drain

        def drain() -> None:
            for action in self.harness.policy._state.actions:
                assert not isinstance(action, DependencySatisfied)  # these jobs are not durable
                self._check(action)
            inner()

        self.harness.drain = drain  # type: ignore[method-assign]

    def _check(self, action: StateChanged | SubmitJob) -> None:
        job = action.job
        if isinstance(action, SubmitJob):
            self.ready_since.pop(job.id, None)
            for parent in self.parents[job.id]:
                known = self.known[parent.id]
                assert known.outcome is not None and known.run_state is not RunState.MAY_BE_RUNNING, (
                    "dependent was released before its parent ended"
                )
                assert known.outcome is JobOutcome.SERVED or parent.condition is ENDED
        elif action.state in (JobState.READY, JobState.AWAITING_IDLE):
            self.ready_since.setdefault(job.id, self.harness.now)
        else:
            self.ready_since.pop(job.id, None)

    @rule(
        job_class=st.sampled_from(["light", "heavy"]), wait_for_idle=st.booleans(), data=st.data(),
        delay=st.sampled_from([0.0, 0.0, 300.0]), max_wait_ms=st.sampled_from([2_000.0, 1e6]),
        priority=st.sampled_from([None, 0.0, 1.0]),
    )  # fmt: skip
    def submit(
        self, job_class: str, wait_for_idle: bool, data: Any, delay: float, max_wait_ms: float, priority: Any
    ) -> None:
        picked = data.draw(st.lists(st.sampled_from(self.seen), unique=True, max_size=3)) if self.seen else []
        after = tuple(Dependency(p, data.draw(st.sampled_from([SERVED, ENDED]))) for p in picked)
        id_ = f"j{len(self.parents)}"
        self.parents[id_] = after
        submission = JobSubmission(
            id_,
            job_class,
            max_wait_ms,
            dependencies=after,
            delay_ms=delay,
            wait_for_idle=wait_for_idle,
            priority=priority,
        )
        try:
            self.known[id_] = self.harness.submit(submission)[0]
            self.seen.append(id_)
        except JobRejectedError as fault:
            assert fault.code in (RejectionCode.QUEUE_FULL, RejectionCode.DEPENDENCY_NOT_SERVED)

    @rule(ms=st.sampled_from([1, 40, 700, 2_500, 11_000]))
    def time_passes(self, ms: float) -> None:
        self.harness.run(ms)

    @rule(open_=st.integers(0, 4), since_rejection_ms=st.sampled_from([0.0, 9e9]))
    def fleet(self, open_: int, since_rejection_ms: float) -> None:
        self.harness.capacity = FleetCapacity(2, 2.0, open_, since_rejection_ms)

    @precondition(lambda self: any(j.state is JobState.SUBMITTED for j in self.known.values()))
    @rule(data=st.data(), how=st.sampled_from(["served", "failed", "open", "refused"]))
    def answer(self, data: Any, how: str) -> None:
        submitted = sorted(j.id for j in self.known.values() if j.state is JobState.SUBMITTED)
        id_ = data.draw(st.sampled_from(submitted))
        if how == "refused":
            self.harness.reject(id_)
        else:
            ran = {
                "served": RunState.HAS_RUN,
                "failed": RunState.MAY_HAVE_RUN,
                "open": RunState.MAY_BE_RUNNING,
            }[how]
            self.harness.end(id_, JobOutcome.SERVED if how == "served" else JobOutcome.FAILED, ran)

    @precondition(lambda self: self.seen)
    @rule(data=st.data())
    def cancel(self, data: Any) -> None:
        self.harness.policy.cancel(self.harness.now, data.draw(st.sampled_from(self.seen)))
        self.harness.drain()

    @invariant()
    def each_job_ends_once_and_counts_match(self) -> None:
        if not hasattr(self, "harness"):
            return
        assert set(self.harness.ends.values()) <= {1}
        assert set(self.harness.ends) == {j.id for j in self.known.values() if j.outcome is not None}
        held = self.harness.policy.held
        assert held.jobs == sum(j.outcome is None for j in self.known.values())
        assert sum(held.by_class.values()) == held.jobs

    @invariant()
    def no_job_waits_longer_than_the_bound(self) -> None:
        if not hasattr(self, "harness"):
            return
        for id_, since in self.ready_since.items():
            bound = self.harness.settings.max_release_wait_s(self.known[id_].wait_for_idle) * 1000
            assert self.harness.now - since <= bound + POLL_INTERVAL_MS, (
                f"{id_} has waited longer than the bound"
            )


Model.TestCase.settings = settings(
    max_examples=60, stateful_step_count=60, deadline=None, derandomize=True,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
TestModel = Model.TestCase

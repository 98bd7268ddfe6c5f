"""The decisions about waiting jobs, in virtual time: each hard case, and a model that plays against them."""

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

QUEUES = {"light": ClassSettings(queueing=True)}
WORTH = {"light": 1.0, "heavy": 8.0}
SERVED, ENDED = DependencyCondition.SERVED, DependencyCondition.ENDED


class Stage:
    """A policy, its time and its fleet."""

    def __init__(self, room: FleetCapacity | None = None, **changes: Any) -> None:
        self.settings = WaitingSettings(**({"classes": QUEUES} | changes))
        self.room = room or FleetCapacity(4, 16.0, 0)
        self.policy = WaitingPolicy(self.settings, WORTH, lambda name: self.room)
        self.now = 1000.0
        self.ends: Counter[str] = Counter()
        self.released: list[tuple[float, str, str]] = []
        self.longest = 0  # actions of one call

    def submit(self, *orders: JobSubmission) -> list[Job]:
        try:
            return self.policy.submit(self.now, orders)
        finally:
            self.drain()

    def job(self, id_: str, job_class: str = "light", after: tuple[Dependency, ...] = (), **more: Any) -> Job:
        return self.submit(
            JobSubmission(id_, job_class, more.pop("max_wait_ms", 60_000.0), dependencies=after, **more)
        )[0]

    def drain(self) -> None:
        actions = self.policy.take_actions()
        self.longest = max(self.longest, len(actions))
        for action in actions:
            if isinstance(action, SubmitJob):
                self.released.append((self.now, action.job.id, action.job_class))
            elif action.state is JobState.ENDED:
                self.ends[action.job.id] += 1

    def run(self, ms: float) -> None:
        """Let time pass, with every tick that is asked for."""
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

    def refuse(self, id_: str, told: float = 0.0) -> None:
        job = self.policy.find(id_)
        assert job is not None
        again = self.settings.for_class(job.job_class).queueing
        self.policy.job_rejected(self.now, job, told, again)
        self.drain()

    def order(self) -> list[str]:
        return [id_ for _, id_, _ in self.released]

    def state(self, id_: str) -> JobState | JobOutcome | None:
        job = self.policy.find(id_)
        return (job.outcome or job.state) if job else None

    def code(self, *orders: JobSubmission) -> RejectionCode:
        held = str(self.policy.held)
        with pytest.raises(JobRejectedError) as caught:
            self.submit(*orders)
        assert str(self.policy.held) == held, "half taken"
        assert bool(caught.value.retry_after_s) == (caught.value.code.value.endswith("full"))
        return caught.value.code


SHUT = FleetCapacity(4, 0.0, 100)


# ---- Order and ageing ----


def test_heavier_classes_go_first_until_a_light_job_has_aged() -> None:
    stage = Stage(SHUT, age_limit_s=10.0)
    stage.job("light-old", "light")
    stage.run(9_000)
    stage.job("heavy-new", "heavy")
    stage.run(2_000)
    stage.job("heavy-newer", "heavy")
    stage.room = FleetCapacity(4, 16.0, 0)
    stage.run(100)
    assert stage.order() == ["light-old", "heavy-new", "heavy-newer"]
    young = Stage(SHUT, age_limit_s=10.0)
    young.job("light", "light")
    young.run(1_000)
    young.job("heavy", "heavy")
    young.room = FleetCapacity(4, 16.0, 0)
    young.run(100)
    assert young.order() == ["heavy", "light"]


def test_little_time_left_goes_before_worth() -> None:
    stage = Stage(SHUT, age_limit_s=10.0)
    stage.job("patient", "light", max_wait_ms=100_000.0)
    stage.job("hurried", "light", max_wait_ms=10_500.0)
    stage.room = FleetCapacity(4, 16.0, 0)
    stage.run(100)
    assert stage.order() == ["hurried", "patient"]


def test_a_class_learns_its_worth_for_work() -> None:
    stage = Stage(SHUT)
    stage.policy.priorities.set_mean_work("heavy", 16.0)  # eight times the worth for sixteen times the work
    stage.policy.priorities.set_mean_work("light", 1.0)
    stage.job("h", "heavy")
    stage.job("l", "light")
    stage.room = FleetCapacity(4, 16.0, 0)
    stage.run(100)
    assert stage.order() == ["l", "h"]


def test_overdue_jobs_go_at_their_rate_though_no_room_is_left() -> None:
    stage = Stage(SHUT, age_limit_s=1.0, aged_per_s=2.0)
    for i in range(6):
        stage.job(f"j{i}")
    stage.run(1_800)
    assert stage.released == []
    stage.run(3_300)
    times = [at for at, _, _ in stage.released]
    assert len(times) == 6 and all(name == "light" + AGED_CLASS_SUFFIX for _, _, name in stage.released)
    assert all(b - a >= 500 - POLL_INTERVAL_MS for a, b in pairwise(times))
    assert times[-1] - 1000 <= stage.settings.max_release_wait_s() * 1000


def test_jobs_that_are_refused_again_and_again_do_not_starve_others() -> None:
    stage = Stage(SHUT, age_limit_s=1.0, aged_per_s=2.0, retry_most_s=0.25)
    for i in range(3):
        stage.job(f"j{i}")
    for _ in range(40):
        before = len(stage.released)
        stage.run(100)
        for id_ in stage.order()[before:]:
            stage.refuse(id_)
    assert set(stage.order()) == {"j0", "j1", "j2"}
    assert {"j0", "j1", "j2"} == set(stage.order()[-3:])  # in turn


def test_without_a_worker_nothing_is_asked_and_patience_ends_it() -> None:
    stage = Stage(FleetCapacity(0, 0.0, 0), age_limit_s=1.0)
    stage.job("a", max_wait_ms=5_000.0)
    stage.run(4_900)
    assert stage.released == [] and stage.state("a") is JobState.READY
    stage.run(200)
    assert stage.state("a") is JobOutcome.WAIT_EXPIRED and stage.ends["a"] == 1


# ---- Parents ----


@pytest.mark.parametrize(
    ("end", "ran", "when", "goes_on"),
    [
        (JobOutcome.SERVED, RunState.HAS_RUN, SERVED, True),
        (JobOutcome.SERVED, RunState.HAS_RUN, ENDED, True),
        (JobOutcome.FAILED, RunState.MAY_HAVE_RUN, SERVED, False),
        (JobOutcome.FAILED, RunState.MAY_HAVE_RUN, ENDED, True),
        (JobOutcome.REJECTED, RunState.NEVER_RAN, SERVED, False),
        (JobOutcome.REJECTED, RunState.NEVER_RAN, ENDED, True),
        (JobOutcome.CANCELLED, RunState.NEVER_RAN, SERVED, False),
        (JobOutcome.FAILED, RunState.MAY_BE_RUNNING, SERVED, False),
        (JobOutcome.FAILED, RunState.MAY_BE_RUNNING, ENDED, False),  # it may still run: it has not ended
        (JobOutcome.CANCELLED, RunState.MAY_BE_RUNNING, ENDED, False),
    ],
)
def test_what_a_parents_end_means(
    end: JobOutcome, ran: RunState, when: DependencyCondition, goes_on: bool
) -> None:
    stage = Stage()
    stage.job("p")
    stage.job("c", after=(Dependency("p", when),))
    assert stage.state("c") is JobState.BLOCKED and stage.order() == ["p"]
    stage.end("p", end, ran)
    stage.run(50)
    assert stage.order() == (["p", "c"] if goes_on else ["p"])
    assert stage.state("c") is (JobState.SUBMITTED if goes_on else JobOutcome.DEPENDENCY_FAILED)
    late = JobSubmission(
        "late", "light", 1000.0, dependencies=(Dependency("p", when),)
    )  # handed in after its parent's end
    if goes_on:
        stage.submit(late)
        assert stage.state("late") is JobState.SUBMITTED
    else:
        assert stage.code(late) is RejectionCode.DEPENDENCY_NOT_SERVED


def test_a_child_waits_for_all_its_parents() -> None:
    stage = Stage()
    stage.job("p1")
    stage.job("p2")
    stage.job("c", after=(Dependency("p1"), Dependency("p2", ENDED)))
    stage.end("p1")
    stage.run(50)
    assert stage.state("c") is JobState.BLOCKED
    stage.end("p2", JobOutcome.FAILED, RunState.MAY_HAVE_RUN)
    stage.run(50)
    assert stage.state("c") is JobState.SUBMITTED


def test_a_cancelled_parent_takes_its_family_along() -> None:
    stage = Stage(SHUT)
    stage.job("p")
    stage.job("c", after=(Dependency("p"),))
    stage.job("g", after=(Dependency("c"),))
    stage.job("either", after=(Dependency("c", ENDED),))
    stage.policy.cancel(stage.now, "p")
    stage.run(10)
    assert [stage.state(x) for x in "pcg"] == [
        JobOutcome.CANCELLED,
        JobOutcome.DEPENDENCY_FAILED,
        JobOutcome.DEPENDENCY_FAILED,
    ]
    assert stage.state("either") is JobState.READY  # its parent has ended, and surely never ran


@pytest.mark.parametrize("shape", ["chain", "fan"])
def test_ten_thousand_dependents_end_at_once_in_slices(shape: str) -> None:
    stage = Stage(max_jobs=20_000, max_jobs_per_class=20_000, max_ended=20_000)
    stage.job("j0")
    for i in range(1, 10_001):
        stage.job(f"j{i}", after=(Dependency(f"j{i - 1}" if shape == "chain" else "j0"),))
    stage.longest = 0
    stage.end("j0", JobOutcome.FAILED, RunState.MAY_HAVE_RUN)
    stage.run(0)  # no time passes
    assert len(stage.ends) == 10_001 and set(stage.ends.values()) == {1}
    assert stage.longest <= 2 * STEPS_PER_TICK + 2  # what one call does is bounded
    assert stage.policy.held.jobs == 0


def test_ten_thousand_children_are_freed_in_slices_and_paced() -> None:
    stage = Stage(max_jobs=20_000, max_jobs_per_class=20_000)
    stage.job("p")
    for i in range(10_000):
        stage.job(f"c{i}", after=(Dependency("p"),))
    stage.longest = 0
    stage.end("p")
    stage.run(1_000)
    assert stage.longest <= 3 * STEPS_PER_TICK and len(stage.released) == 1 + stage.settings.first_window
    assert stage.policy.held.by_state[JobState.READY] == 10_000 - stage.settings.first_window


def test_hand_ins_that_make_no_sense_are_not_taken() -> None:
    stage = Stage(SHUT, max_depth=2, max_parents=2, keep_ended_s=1.0, max_job_bytes=10, max_batch=3)
    stage.job("known")

    def order(id_: str, *after: str, **more: Any) -> JobSubmission:
        job_class, max_wait_ms = more.pop("job_class", "light"), more.pop("max_wait_ms", 1000.0)
        dependencies = tuple(Dependency(p) for p in after)
        return JobSubmission(id_, job_class, max_wait_ms, dependencies=dependencies, **more)

    assert stage.code(order("known")) is RejectionCode.DUPLICATE_ID
    assert stage.code(order("a"), order("a")) is RejectionCode.DUPLICATE_ID
    assert stage.code(order("a", "known", "known")) is RejectionCode.DUPLICATE_ID
    assert stage.code(order("a", "a")) is RejectionCode.SELF_DEPENDENCY
    assert stage.code(order("a", "nobody")) is RejectionCode.UNKNOWN_DEPENDENCY
    assert stage.code(order("x"), order("a", "b"), order("b", "a")) is RejectionCode.CYCLE
    assert stage.code(order("a", "known", "x", "y")) is RejectionCode.TOO_MANY_DEPENDENCIES
    assert stage.code(order("a", job_class="none")) is RejectionCode.UNKNOWN_CLASS
    assert stage.code(order("a", payload_bytes=11)) is RejectionCode.TOO_LARGE
    assert stage.code(order("a", max_wait_ms=0.0)) is RejectionCode.INVALID_MAX_WAIT
    assert stage.code(order("a", delay_ms=1e15)) is RejectionCode.INVALID_TIME
    assert stage.code(*(order(x) for x in "abcd")) is RejectionCode.BATCH_TOO_LARGE
    stage.submit(order("c", "b"), order("b", "known"))  # children may come before their parents
    assert stage.code(order("d", "c")) is RejectionCode.TOO_DEEP
    stage.policy.cancel(stage.now, "known")
    stage.run(2_000)
    assert stage.code(order("d", "known")) is RejectionCode.UNKNOWN_DEPENDENCY  # forgotten
    stage.policy.stop(stage.now)
    with pytest.raises(JobRejectedError, match="no more"):
        stage.submit(order("e"))


def test_an_idempotency_key_stands_for_its_job() -> None:
    stage = Stage(SHUT, keep_ended_s=1.0)
    first = stage.job("a", idempotency_key="k", fingerprint=b"1")
    assert stage.job("b", idempotency_key="k", fingerprint=b"1") is first and stage.policy.held.jobs == 1
    assert (
        stage.code(JobSubmission("c", "light", 1.0, idempotency_key="k", fingerprint=b"2"))
        is RejectionCode.CONFLICT
    )
    assert stage.job("d", idempotency_key="k", fingerprint=b"2", tenant="other") is not first
    stage.policy.cancel(stage.now, "a")
    stage.run(1_500)
    assert stage.job("e", idempotency_key="k", fingerprint=b"3").id == "e"  # forgotten, and the key with it


# ---- Time ----


def test_a_thousand_due_together_are_asked_as_the_fleet_takes_them() -> None:
    stage = Stage(FleetCapacity(4, 4.0, 0))
    for i in range(1_000):
        stage.job(f"j{i}", delay_ms=5_000.0)
    stage.run(4_999)
    assert stage.released == []
    stage.run(100)
    assert len(stage.released) == stage.settings.first_window
    done = 0
    while done < len(stage.released) and stage.now < 60_000:
        id_ = stage.released[done][1]
        job = stage.policy.find(id_)
        assert job is not None
        stage.policy.job_started(stage.now, job, 1.0)
        stage.end(id_)
        done += 1
        stage.run(1)
        assert len(stage.released) - done <= stage.settings.max_window
    assert done == 1_000


def test_silent_workers_hold_timed_jobs_back() -> None:
    stage = Stage(FleetCapacity(4, 4.0, 6), age_limit_s=10.0)  # jobs hang on them: no slot comes free
    stage.job("timed", delay_ms=1_000.0, max_wait_ms=5_000.0)
    stage.run(4_000)
    assert stage.released == []
    stage.room = FleetCapacity(4, 4.0, 0)
    stage.run(100)
    assert stage.order() == ["timed"]


# ---- FleetCapacity, quiet, refusals ----


def test_a_full_queue_leaves_what_is_in_it_alone() -> None:
    stage = Stage(SHUT, max_jobs=4, max_jobs_per_class=3, max_jobs_per_tenant=2, max_held_bytes=100)
    stage.job("a", tenant="t", payload_bytes=40)
    stage.job("b", tenant="t", payload_bytes=40)
    assert stage.code(JobSubmission("c", "light", 1.0, tenant="t")) is RejectionCode.TENANT_FULL
    assert stage.code(JobSubmission("c", "light", 1.0, 30)) is RejectionCode.BYTES_FULL
    stage.job("c", payload_bytes=20)
    assert stage.code(JobSubmission("d", "light", 1.0)) is RejectionCode.CLASS_FULL
    stage.job("d", "heavy")
    assert stage.code(JobSubmission("e", "heavy", 1.0)) is RejectionCode.QUEUE_FULL
    assert [stage.state(x) for x in "abcd"] == [JobState.READY] * 4
    stage.policy.cancel(stage.now, "a")
    stage.job("e", tenant="t", payload_bytes=40)


def test_a_refused_job_that_queues_is_asked_again_with_care() -> None:
    stage = Stage(FleetCapacity(4, 16.0, 0), first_window=4, retry_first_s=0.5)
    for i in range(8):
        stage.job(f"j{i}", max_wait_ms=10_000.0)
    assert len(stage.released) == 4
    window = stage.policy.rate.window("light")
    for i in range(4):
        stage.refuse(f"j{i}", told=1_000.0)
    assert window.limit == 2.0 and stage.state("j0") is JobState.SCHEDULED  # cut once, not four times
    stage.run(900)
    assert len(stage.released) == 4
    stage.run(200)
    assert stage.order()[4:] == ["j0", "j1"]  # they have kept their places; two at a time now
    for id_ in ("j0", "j1"):
        stage.end(id_)
    stage.run(100)
    assert stage.order()[6:8] == ["j2", "j3"]


def test_a_refused_job_that_does_not_queue_ends_refused() -> None:
    stage = Stage()
    stage.job("h", "heavy")
    stage.refuse("h")
    assert stage.state("h") is JobOutcome.REJECTED and stage.ends["h"] == 1


def test_a_job_is_not_asked_again_past_its_patience() -> None:
    stage = Stage()
    stage.job("a", max_wait_ms=400.0)
    stage.refuse("a", told=500.0)
    assert stage.state("a") is JobOutcome.REJECTED


def test_quiet_jobs_take_only_what_urgent_work_leaves() -> None:
    stage = Stage(FleetCapacity(4, 10.0, 7), quiet_limit_s=60.0, age_limit_s=5.0, quiet_share=0.7, calm_s=2.0)
    stage.job("bulk", wait_for_idle=True)
    stage.run(1_000)
    assert stage.released == []  # seven of ten slots are in use
    stage.room = FleetCapacity(4, 10.0, 6, since_rejection_ms=1_000.0)
    stage.run(1_000)
    assert stage.released == []  # somebody was refused a second ago
    stage.room = FleetCapacity(4, 10.0, 6, since_rejection_ms=2_500.0)
    stage.run(100)
    assert stage.order() == ["bulk"]


def test_a_quiet_job_waits_like_others_after_its_limit() -> None:
    stage = Stage(FleetCapacity(4, 10.0, 14, since_rejection_ms=0.0), quiet_limit_s=20.0, age_limit_s=5.0)
    stage.job("bulk", wait_for_idle=True, max_wait_ms=1e6)
    stage.run(19_900)
    assert stage.state("bulk") is JobState.AWAITING_IDLE
    stage.run(200)
    assert stage.released[0][1:] == ("bulk", "light" + AGED_CLASS_SUFFIX)


def test_late_starts_shrink_the_window_and_prompt_ones_widen_it() -> None:
    stage = Stage(FleetCapacity(4, 100.0, 0), first_window=4, start_within_ms=100.0)
    window = stage.policy.rate.window("light")
    for i in range(40):
        stage.job(f"j{i}")
    for i in range(8):
        job = stage.policy.find(f"j{i}")
        assert job is not None
        stage.policy.job_started(stage.now, job, 10.0)
        stage.end(f"j{i}")
    widened = window.limit
    assert widened > 5
    job = stage.policy.find("j8")
    assert job is not None
    stage.policy.job_started(stage.now, job, 500.0)
    assert window.limit < widened


# ---- The end ----


def test_ended_jobs_are_kept_within_their_bounds() -> None:
    stage = Stage(keep_ended_s=10.0, max_ended=3, max_ended_bytes=100)
    for i in range(5):
        stage.job(f"j{i}", "heavy")
        stage.end(f"j{i}", size=10)
    assert [stage.state(f"j{i}") for i in range(5)] == [
        None,
        None,
        JobOutcome.SERVED,
        JobOutcome.SERVED,
        JobOutcome.SERVED,
    ]
    stage.job("big", "heavy")
    stage.end("big", size=95)
    assert stage.state("j4") is None and stage.state("big") is JobOutcome.SERVED
    stage.run(10_100)
    assert stage.state("big") is None and stage.policy.held.ended_bytes == 0


def test_stopping_ends_all_that_wait_and_leaves_what_is_asked() -> None:
    stage = Stage(FleetCapacity(4, 4.0, 0))
    for i in range(1_000):
        stage.job(f"j{i}", delay_ms=float(i % 3 and 5_000))
    asked = len(stage.released)
    stage.policy.stop(stage.now)
    stage.drain()
    stage.run(0)
    assert len(stage.ends) == 1_000 - asked and stage.policy.held.jobs == asked
    ids = set(stage.order())
    assert all(stage.state(f"j{i}") is JobOutcome.SHUT_DOWN for i in range(1_000) if f"j{i}" not in ids)
    stage.end(stage.order()[0])
    stage.run(100)
    assert len(stage.released) == asked


def test_pages_of_a_listing() -> None:
    stage = Stage(SHUT)
    for i in range(10):
        stage.job(f"j{i}", "heavy" if i % 2 else "light")
    first, more = stage.policy.page(0, 3, lambda job: job.job_class == "heavy")
    assert [job.id for job in first] == ["j1", "j3", "j5"] and more is not None
    rest, more = stage.policy.page(more, 3, lambda job: job.job_class == "heavy")
    assert [job.id for job in rest] == ["j7", "j9"] and more is None
    assert stage.policy.page(99, 3, lambda job: True) == ([], None)


# ---- A model against the policy ----

PACE = {"max_jobs": 12, "max_jobs_per_class": 12, "age_limit_s": 1.0, "quiet_limit_s": 3.0, "aged_per_s": 2.0,
        "first_window": 2, "max_ended": 1000, "retry_first_s": 0.1, "retry_most_s": 1.0}  # fmt: skip


class Model(RuleBasedStateMachine):
    """Whatever comes: parents go first, a job ends once, and none waits past the bound."""

    @initialize()
    def begin(self) -> None:
        self.stage = Stage(FleetCapacity(2, 2.0, 0), **PACE)
        self.parents: dict[str, tuple[Dependency, ...]] = {}
        self.known: dict[str, Job] = {}
        self.ready_since: dict[str, float] = {}
        self.seen: list[str] = []
        inner = self.stage.drain

        def drain() -> None:
            for action in self.stage.policy._state.actions:
                self._check(action)
            inner()

        self.stage.drain = drain  # type: ignore[method-assign]

    def _check(self, action: StateChanged | SubmitJob) -> None:
        job = action.job
        if isinstance(action, SubmitJob):
            self.ready_since.pop(job.id, None)
            for parent in self.parents[job.id]:
                known = self.known[parent.id]
                assert known.outcome is not None and known.run_state is not RunState.MAY_BE_RUNNING, (
                    "a child before its parent"
                )
                assert known.outcome is JobOutcome.SERVED or parent.condition is ENDED
        elif action.state in (JobState.READY, JobState.AWAITING_IDLE):
            self.ready_since.setdefault(job.id, self.stage.now)
        else:
            self.ready_since.pop(job.id, None)

    @rule(
        job_class=st.sampled_from(["light", "heavy"]), quiet=st.booleans(), data=st.data(),
        delay=st.sampled_from([0.0, 0.0, 300.0]), patience=st.sampled_from([2_000.0, 1e6]),
        lift=st.sampled_from([None, 0.0, 1.0]),
    )  # fmt: skip
    def submit(
        self, job_class: str, quiet: bool, data: Any, delay: float, patience: float, lift: Any
    ) -> None:
        picked = data.draw(st.lists(st.sampled_from(self.seen), unique=True, max_size=3)) if self.seen else []
        after = tuple(Dependency(p, data.draw(st.sampled_from([SERVED, ENDED]))) for p in picked)
        id_ = f"j{len(self.parents)}"
        self.parents[id_] = after
        order = JobSubmission(
            id_, job_class, patience, dependencies=after, delay_ms=delay, wait_for_idle=quiet, priority=lift
        )
        try:
            self.known[id_] = self.stage.submit(order)[0]
            self.seen.append(id_)
        except JobRejectedError as fault:
            assert fault.code in (RejectionCode.QUEUE_FULL, RejectionCode.DEPENDENCY_NOT_SERVED)

    @rule(ms=st.sampled_from([1, 40, 700, 2_500, 11_000]))
    def time_passes(self, ms: float) -> None:
        self.stage.run(ms)

    @rule(open_=st.integers(0, 4), since_rejection_ms=st.sampled_from([0.0, 9e9]))
    def fleet(self, open_: int, since_rejection_ms: float) -> None:
        self.stage.room = FleetCapacity(2, 2.0, open_, since_rejection_ms)

    @precondition(lambda self: any(j.state is JobState.SUBMITTED for j in self.known.values()))
    @rule(data=st.data(), how=st.sampled_from(["served", "failed", "open", "refused"]))
    def answer(self, data: Any, how: str) -> None:
        asked = sorted(j.id for j in self.known.values() if j.state is JobState.SUBMITTED)
        id_ = data.draw(st.sampled_from(asked))
        if how == "refused":
            self.stage.refuse(id_)
        else:
            ran = {
                "served": RunState.HAS_RUN,
                "failed": RunState.MAY_HAVE_RUN,
                "open": RunState.MAY_BE_RUNNING,
            }[how]
            self.stage.end(id_, JobOutcome.SERVED if how == "served" else JobOutcome.FAILED, ran)

    @precondition(lambda self: self.seen)
    @rule(data=st.data())
    def cancel(self, data: Any) -> None:
        self.stage.policy.cancel(self.stage.now, data.draw(st.sampled_from(self.seen)))
        self.stage.drain()

    @invariant()
    def one_end_each_and_the_counts_are_right(self) -> None:
        if not hasattr(self, "stage"):
            return
        assert set(self.stage.ends.values()) <= {1}
        assert set(self.stage.ends) == {j.id for j in self.known.values() if j.outcome is not None}
        held = self.stage.policy.held
        assert held.jobs == sum(j.outcome is None for j in self.known.values())
        assert sum(held.by_class.values()) == held.jobs

    @invariant()
    def nobody_waits_past_the_bound(self) -> None:
        if not hasattr(self, "stage"):
            return
        for id_, since in self.ready_since.items():
            bound = self.stage.settings.max_release_wait_s(self.known[id_].wait_for_idle) * 1000
            assert self.stage.now - since <= bound + POLL_INTERVAL_MS, f"{id_} waits"


Model.TestCase.settings = settings(
    max_examples=60, stateful_step_count=60, deadline=None, derandomize=True,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
TestModel = Model.TestCase

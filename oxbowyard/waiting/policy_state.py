"""The state of the waiting policy, and the state transitions of a single job. Has no I/O and no clock.

The other modules of the policy contain functions on a `PolicyState`. Times are milliseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from sortedcontainers import SortedList

from ..core.request import RunState
from .held_jobs import HeldJobs
from .job import Action, DependencyCondition, Job, JobOutcome, JobState, StateChanged
from .listing import jobs_by_number
from .release_queues import ClassPriorities, ReleaseQueues, release_due_ms
from .release_rate import CapacityOf, ReleaseRate
from .settings import WaitingSettings

NO_TIMER_MS = -1.0
REPEAT_EXPIRED_REASON = (
    "it may have run, and it is too late to repeat it: its end is not known, look whether it was done"
)


@dataclass(slots=True, eq=False)
class EndedDependency:
    """An ended job whose dependents are being notified, in bounded steps."""

    job: Job
    dependents: Iterator[tuple[Job, DependencyCondition]]


@dataclass(slots=True, frozen=True)
class RetainedResult:
    """An ended job whose result is retained until it is purged."""

    purge_at_ms: float
    job: Job
    result_bytes: int


class PolicyState:
    """The state of all waiting jobs of one scheduler."""

    def __init__(
        self, settings: WaitingSettings, weights: Mapping[str, float], capacity_of: CapacityOf
    ) -> None:
        self.settings = settings
        self.classes = frozenset(weights)
        self.priorities = ClassPriorities(weights)
        self.rate = ReleaseRate(settings, capacity_of)
        self.age_limit_ms = settings.age_limit_s * 1000
        self.idle_limit_ms = settings.quiet_limit_s * 1000
        self.jobs: dict[str, Job] = {}
        self.jobs_by_number = jobs_by_number()  # sorted: a recovery adds lower numbers after higher ones
        self.by_idempotency_key: dict[tuple[str, str], Job] = {}  # by tenant and key
        self.timers: SortedList[tuple[float, int, Job]] = SortedList()  # due time, number, job
        self.ready = ReleaseQueues()
        self.awaiting_idle = ReleaseQueues()
        self.ended_dependencies: deque[EndedDependency] = deque()
        self.retained: deque[RetainedResult] = deque()
        self.jobs_to_shut_down: Iterator[Job] | None = None  # set during a shutdown, which ends them
        self.is_stopping = False
        self.has_more_work = False  # the last call ran out of steps
        self.last_number = 0  # the number of the job that was accepted last
        self.actions: list[Action] = []
        self.held = HeldJobs()


def set_state(state: PolicyState, job: Job, new_state: JobState) -> None:
    """Move a job to a new state, update the counters and emit the change."""
    by_state = state.held.by_state
    by_state[job.state] -= 1
    by_state[new_state] += 1
    job.state = new_state
    state.actions.append(StateChanged(job, new_state))


def set_timer(state: PolicyState, job: Job, at_ms: float) -> None:
    """Set the timer of a job, or cancel it with NO_TIMER_MS."""
    if job.timer_at_ms >= 0:
        state.timers.remove((job.timer_at_ms, job.number, job))
    job.timer_at_ms = at_ms
    if at_ms >= 0:
        state.timers.add((at_ms, job.number, job))


def unblock(state: PolicyState, job: Job, now: float) -> None:
    """Move a job without unfinished dependencies to SCHEDULED if its start time is ahead, else to a queue."""
    job.depth = 0
    if job.not_before_ms > now:
        set_state(state, job, JobState.SCHEDULED)
        set_timer(state, job, min(job.not_before_ms, job.release_deadline_ms))
    else:
        make_ready(state, job, now)


def make_ready(state: PolicyState, job: Job, now: float) -> None:
    """Put a job into the queue for release. A job that was ready before keeps its due time."""
    if job.ready_at_ms < 0:
        job.ready_at_ms = now
        job.release_due_ms = _initial_due_ms(state, job, now)
    if job.wait_for_idle and job.release_due_ms > now:
        set_state(state, job, JobState.AWAITING_IDLE)
        state.awaiting_idle.add(job)
        set_timer(state, job, min(job.release_due_ms, job.release_deadline_ms))
    else:
        set_state(state, job, JobState.READY)
        state.ready.add(job)
        set_timer(state, job, job.release_deadline_ms)


def wait_again(state: PolicyState, job: Job, now: float, backoff_ms: float) -> None:
    """Let a submitted job wait for the end of its backoff, after which it is ready again."""
    # Due no earlier than jobs that become ready now, so that jobs that are rejected again and again do not
    # starve others.
    job.release_due_ms = max(job.release_due_ms, now)
    set_state(state, job, JobState.SCHEDULED)
    set_timer(state, job, min(now + backoff_ms, job.release_deadline_ms))


def _initial_due_ms(state: PolicyState, job: Job, now: float) -> float:
    if job.wait_for_idle:
        latest = job.release_deadline_ms - state.age_limit_ms
        return max(min(now + state.idle_limit_ms, latest), now)
    return release_due_ms(job, state.priorities.of_job(job), state.age_limit_ms)


def fire_timer(state: PolicyState, job: Job, now: float) -> None:
    """Handle a job's timer: end the job if its wait has expired, else make it ready."""
    job.timer_at_ms = NO_TIMER_MS
    if now >= job.release_deadline_ms:
        expire(state, job, now, "its patience for waiting is over")
        return
    if job.state is JobState.AWAITING_IDLE:  # the fleet was not idle in time: it becomes an ordinary job
        state.awaiting_idle.remove(job)
    make_ready(state, job, now)


def expire(state: PolicyState, job: Job, now: float, reason: str) -> None:
    """End a job that may no longer be released, or mark it as indeterminate if its outcome is unknown."""
    if job.has_unknown_outcome:
        mark_indeterminate(state, job, REPEAT_EXPIRED_REASON)
    else:
        end_job(state, job, now, JobOutcome.WAIT_EXPIRED, reason, job.run_state)


def end_job(
    state: PolicyState,
    job: Job,
    now: float,
    outcome: JobOutcome,
    reason: str,
    run_state: RunState = RunState.NEVER_RAN,
    result_bytes: int = 0,
) -> None:
    """End a job with its outcome. Its dependents are notified in later steps."""
    _dequeue(state, job)
    job.outcome = outcome
    job.run_state = run_state
    job.reason = reason
    job.request = None
    state.held.end(job, result_bytes)
    set_state(state, job, JobState.ENDED)
    purge_at_ms = now + state.settings.keep_ended_s * 1000
    state.retained.append(RetainedResult(purge_at_ms, job, result_bytes))
    if job.dependents:
        state.ended_dependencies.append(EndedDependency(job, iter(job.dependents)))
        job.dependents = None


def mark_indeterminate(state: PolicyState, job: Job, reason: str) -> None:
    """Mark a job that may have run and whose outcome is unknown; its dependents keep waiting."""
    _dequeue(state, job)
    job.run_state = RunState.MAY_BE_RUNNING
    job.reason = reason
    set_state(state, job, JobState.INDETERMINATE)


def _dequeue(state: PolicyState, job: Job) -> None:
    """Remove a job from its queue, and cancel its timer."""
    if job.state is JobState.READY:
        state.ready.remove(job)
    elif job.state is JobState.AWAITING_IDLE:
        state.awaiting_idle.remove(job)
    set_timer(state, job, NO_TIMER_MS)

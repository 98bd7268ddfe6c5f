"""The policy of waiting jobs: decides which are accepted, when each is submitted and which end without a run.

It has no I/O and no clock: each call is passed the time, in milliseconds on a clock that never goes back.
After each call the caller must carry out the actions of `take_actions` in order, and must call `tick` at
`next_tick_ms`. A call does a bounded number of steps; while more are due, `next_tick_ms` returns now.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence

from ..core.request import RunState
from .acceptance import accept_jobs, find_repeated, restore_job
from .job import Action, Job, JobOutcome, JobState, JobSubmission, RestoredJob
from .listing import page_of
from .policy_state import PolicyState, end_job, fire_timer, mark_indeterminate, set_state, unblock, wait_again
from .release import release_jobs
from .release_rate import POLL_INTERVAL_MS, CapacityOf
from .retention import end_for_shutdown, notify_dependents, purge_results
from .settings import WaitingSettings

STEPS_PER_TICK = 200  # takes about 3 ms of the event loop
STEPS_PER_CALL = 4  # in calls other than `tick`, many of which may come in one turn of the event loop
RELEASES_PER_CALL = 16  # each costs the core about 0.1 ms in the next turn of the event loop


class WaitingPolicy:
    """The waiting jobs of one scheduler, from acceptance to purging."""

    def __init__(
        self, settings: WaitingSettings, weights: Mapping[str, float], capacity_of: CapacityOf
    ) -> None:
        """`weights` are the priority weights by class; `capacity_of` is called for each release."""
        self._state = PolicyState(settings, weights, capacity_of)
        self.held = self._state.held
        self.priorities = self._state.priorities
        self.rate = self._state.rate

    # ---- Queries ----

    @property
    def last_number(self) -> int:
        """Return the number of the job that was accepted last."""
        return self._state.last_number

    def take_actions(self) -> list[Action]:
        """Remove and return the actions that are due to be carried out, in order."""
        actions = self._state.actions
        self._state.actions = []
        return actions

    def find(self, id_: str) -> Job | None:
        """Return a job; None if it is unknown or purged."""
        return self._state.jobs.get(id_)

    def page(self, after: int, limit: int, matches: Callable[[Job], bool]) -> tuple[list[Job], int | None]:
        """Return up to `limit` matching jobs with numbers above `after`, and the number to continue after.

        The number is None on the last page. Any page may be short or empty, because a call examines a bounded
        number of jobs.
        """
        return page_of(self._state.jobs_by_number, after, limit, matches)

    def position(self, job: Job) -> int:
        """Return how many jobs of its class are ahead of a job; 0 if it is not in a queue."""
        if job.state is JobState.READY:
            return self._state.ready.position(job)
        if job.state is JobState.AWAITING_IDLE:
            return self._state.awaiting_idle.position(job)
        return 0

    def next_tick_ms(self, now: float) -> float | None:
        """Return when to call `tick`; None if nothing is due."""
        state = self._state
        if state.has_more_work or state.ended_dependencies or state.jobs_to_shut_down is not None:
            return now
        times = []
        if state.timers:
            times.append(state.timers[0][0])
        if state.ready or state.awaiting_idle:
            times.append(now + POLL_INTERVAL_MS)
        if state.retained:
            times.append(state.retained[0].purge_at_ms)
        return max(min(times), now) if times else None

    # ---- Acceptance ----

    def submit(self, now: float, submissions: Sequence[JobSubmission]) -> list[Job]:
        """Accept all jobs or none of them; return the existing jobs if their idempotency keys are known.

        Raises JobRejectedError.
        """
        known = find_repeated(self._state, submissions)
        if known:
            return known
        accepted = accept_jobs(self._state, now, submissions)
        self._run_due_work(now, STEPS_PER_CALL)
        return accepted

    # ---- Recovery from a store ----

    def set_last_number(self, number: int) -> None:
        """Number new jobs above this number, which is the highest in the store."""
        self._state.last_number = max(self._state.last_number, number)

    def restore(self, now: float, restored: RestoredJob) -> Job:
        """Restore a job of an earlier run; see `acceptance.restore_job`."""
        return restore_job(self._state, now, restored)

    # ---- Events ----

    def cancel(self, now: float, id_: str, reason: str = "cancelled by its client") -> Job | None:
        """Cancel a waiting job and return it; None if it is unknown or not waiting.

        The caller must cancel the request of a job that was submitted.
        """
        job = self._state.jobs.get(id_)
        if job is None or not job.is_waiting:
            return None
        end_job(self._state, job, now, JobOutcome.CANCELLED, reason, job.run_state)
        self._run_due_work(now, STEPS_PER_CALL)
        return job

    def stop(self, now: float, keep_durable: bool = False) -> None:
        """Accept and release no more jobs, and end the waiting ones, except durable ones with `keep_durable`.

        Submitted jobs continue until they are answered.
        """
        state = self._state
        state.is_stopping = True
        jobs = list(state.jobs.values())
        state.jobs_to_shut_down = iter([job for job in jobs if not (keep_durable and job.durable)])
        self._run_due_work(now, STEPS_PER_CALL)

    def job_started(self, now: float, job: Job, delay_ms: float) -> None:
        """Handle the start of a submitted job on a worker, `delay_ms` after the job was submitted."""
        if job.state is JobState.SUBMITTED:
            set_state(self._state, job, JobState.STARTED)
        self.rate.record_start(job.job_class, delay_ms, now)

    def job_rejected(self, now: float, job: Job, retry_after_ms: float, may_retry: bool) -> None:
        """Handle the rejection of a submitted job by the scheduler; the job never ran."""
        backoff_ms = self.rate.record_rejection(job.job_class, now, retry_after_ms)
        self.rate.window(job.job_class).submitted -= 1
        state = self._state
        if not may_retry or state.is_stopping or now + backoff_ms >= job.wait_deadline_ms:
            end_job(state, job, now, JobOutcome.REJECTED, "refused", job.run_state)
        else:
            wait_again(state, job, now, backoff_ms)
        self._run_due_work(now, STEPS_PER_CALL)

    def job_ended(
        self,
        now: float,
        job: Job,
        outcome: JobOutcome,
        run_state: RunState,
        reason: str = "",
        result_bytes: int = 0,
    ) -> None:
        """Handle the answer to a submitted job."""
        window = self.rate.window(job.job_class)
        if outcome is JobOutcome.SERVED and job.state is JobState.SUBMITTED:  # its start was not reported
            window.record_prompt_start()
        window.submitted -= 1
        end_job(self._state, job, now, outcome, reason, run_state, result_bytes)
        self._run_due_work(now, STEPS_PER_CALL)

    def job_interrupted(self, now: float, job: Job, repeat_deadline_ms: float, reason: str) -> None:
        """Handle a submitted job that may have run and whose outcome is unknown.

        It waits to be repeated if a repeat is harmless until `repeat_deadline_ms`, and otherwise is
        indeterminate for this reason.
        """
        state = self._state
        self.rate.window(job.job_class).submitted -= 1
        job.run_state = RunState.MAY_BE_RUNNING
        job.repeat_deadline_ms = repeat_deadline_ms
        if now < job.release_deadline_ms:
            wait_again(state, job, now, self.rate.record_rejection(job.job_class, now, 0.0))
        elif job.has_unknown_outcome:
            mark_indeterminate(state, job, reason)
        else:
            end_job(state, job, now, JobOutcome.REJECTED, "refused", job.run_state)
        self._run_due_work(now, STEPS_PER_CALL)

    def resolve(
        self,
        now: float,
        job: Job,
        outcome: JobOutcome,
        run_state: RunState,
        reason: str,
        result_bytes: int = 0,
    ) -> bool:
        """End an indeterminate job with its proven outcome; return False if it is not indeterminate."""
        if job.state is not JobState.INDETERMINATE:
            return False
        end_job(self._state, job, now, outcome, reason, run_state, result_bytes)
        self._run_due_work(now, STEPS_PER_CALL)
        return True

    def resolve_never_ran(self, now: float, job: Job) -> bool:
        """Let an indeterminate job that is proven not to have run wait again, for the rest of its wait.

        Returns False if it is not indeterminate.
        """
        if job.state is not JobState.INDETERMINATE:
            return False
        job.run_state = RunState.NEVER_RAN
        job.repeat_deadline_ms = math.inf
        job.reason = ""
        if self._state.is_stopping or job.wait_deadline_ms <= now:
            reason = "it never ran, and its patience for waiting is over"
            end_job(self._state, job, now, JobOutcome.WAIT_EXPIRED, reason)
        else:
            unblock(self._state, job, now)
        self._run_due_work(now, STEPS_PER_CALL)
        return True

    # ---- Time ----

    def tick(self, now: float) -> None:
        """Do a bounded part of the due work."""
        self._run_due_work(now, STEPS_PER_TICK)

    def _run_due_work(self, now: float, steps: int) -> None:
        state = self._state
        steps = end_for_shutdown(state, now, steps)
        steps = notify_dependents(state, now, steps)
        while steps > 0 and state.timers and state.timers[0][0] <= now:
            _, _, job = state.timers.pop(0)
            fire_timer(state, job, now)
            steps -= 1
        steps = notify_dependents(state, now, steps)
        steps = purge_results(state, now, steps)
        if not state.is_stopping:
            steps = release_jobs(state, now, min(steps, RELEASES_PER_CALL))
        state.has_more_work = steps <= 0

"""Every decision about waiting jobs: what is accepted, when each is submitted, how it ends without a run.

No I/O and no clock: each call has the time, in milliseconds on a clock that never goes back. The caller
drains `take_actions` after each call, in order, and calls `tick` at `next_tick_ms`. A call does a number of
steps at most; while more is left, `next_tick_ms` is now.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from ..core.request import RunState
from .acceptance import accept_jobs, find_repeated, restore_indeterminate_job, restore_job
from .job import Action, Job, JobOutcome, JobState, JobSubmission
from .listing import page_of
from .policy_state import PolicyState, end_job, fire_timer, mark_indeterminate, set_state, set_timer, unblock
from .release import release_jobs
from .release_rate import POLL_INTERVAL_MS, CapacityOf
from .retention import end_for_shutdown, notify_dependents, purge_results
from .settings import WaitingSettings

STEPS_PER_TICK = 200  # some 3 ms
STEPS_PER_CALL = 4  # in any other call: many of these may come in one turn of the event loop
RELEASES_PER_CALL = 16  # each costs the core some 0.1 ms in the loop's next turn


class WaitingPolicy:
    """The waiting jobs of one scheduler, from accepted to purged."""

    def __init__(
        self, settings: WaitingSettings, weights: Mapping[str, float], capacity_of: CapacityOf
    ) -> None:
        """`weights` names the classes and their priority weights; `capacity_of` is asked at releases."""
        self._state = PolicyState(settings, weights, capacity_of)
        self.held = self._state.held  # what is held now
        self.priorities = self._state.priorities
        self.rate = self._state.rate

    # ---- Queries ----

    @property
    def last_number(self) -> int:
        """The number of the job that was accepted last."""
        return self._state.last_number

    def take_actions(self) -> list[Action]:
        """What is to be carried out since the last call, in order."""
        actions = self._state.actions
        self._state.actions = []
        return actions

    def find(self, id_: str) -> Job | None:
        """A job that is not purged."""
        return self._state.jobs.get(id_)

    def page(self, after: int, limit: int, matches: Callable[[Job], bool]) -> tuple[list[Job], int | None]:
        """Jobs with numbers above `after`, and the number to continue from; None if that was all.

        A page may be short, or empty, with more to come: a call examines a bounded number of jobs.
        """
        return page_of(self._state.jobs_by_number, after, limit, matches)

    def position(self, job: Job) -> int:
        """How many jobs of its class are before a job that is ready."""
        if job.state is JobState.READY:
            return self._state.ready.position(job)
        if job.state is JobState.AWAITING_IDLE:
            return self._state.awaiting_idle.position(job)
        return 0

    def next_tick_ms(self, now: float) -> float | None:
        """When to call `tick`; None if there is no need."""
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
        """Accept all jobs or none; a known idempotency key stands for its job. Raises JobRejectedError."""
        known = find_repeated(self._state, submissions)
        if known:
            return known
        accepted = accept_jobs(self._state, now, submissions)
        self._run_due_work(now, STEPS_PER_CALL)
        return accepted

    # ---- Recovery from a store ----

    def set_last_number(self, number: int) -> None:
        """Jobs accepted from now on have higher numbers than those that a store knows."""
        self._state.last_number = max(self._state.last_number, number)

    def restore(
        self,
        now: float,
        submission: JobSubmission,
        number: int,
        submission_count: int,
        failure: str = "",
        indeterminate: str = "",
    ) -> Job:
        """Take back a job of an earlier run: it never began, or `indeterminate` says why it may have run.

        See `acceptance.restore_job` and `acceptance.restore_indeterminate_job`.
        """
        if indeterminate:
            return restore_indeterminate_job(
                self._state, now, submission, number, submission_count, indeterminate
            )
        return restore_job(self._state, now, submission, number, submission_count, failure)

    # ---- Events ----

    def cancel(self, now: float, id_: str, reason: str = "cancelled by its client") -> Job | None:
        """End a job that waits. None if it is unknown or submitted: then the caller cancels its request."""
        job = self._state.jobs.get(id_)
        if job is None or not job.is_waiting:
            return None
        end_job(self._state, job, now, JobOutcome.CANCELLED, reason)
        self._run_due_work(now, STEPS_PER_CALL)
        return job

    def stop(self, now: float, keep_durable: bool = False) -> None:
        """Accept and release no more; all that wait end, unless they are durable and to be kept.

        Submitted jobs go on to their answers.
        """
        state = self._state
        state.is_stopping = True
        jobs = list(state.jobs.values())
        state.jobs_to_shut_down = iter([job for job in jobs if not (keep_durable and job.durable)])
        self._run_due_work(now, STEPS_PER_CALL)

    def job_started(self, now: float, job: Job, delay_ms: float) -> None:
        """A worker started a submitted job, this long after it was submitted."""
        if job.state is JobState.SUBMITTED:
            set_state(self._state, job, JobState.STARTED)
        self.rate.record_start(job.job_class, delay_ms, now)

    def job_rejected(self, now: float, job: Job, retry_after_ms: float, may_retry: bool) -> None:
        """The decisions rejected a submitted job, which surely never ran."""
        backoff_ms = self.rate.record_rejection(job.job_class, now, retry_after_ms)
        self.rate.window(job.job_class).submitted -= 1
        state = self._state
        if not may_retry or state.is_stopping or now + backoff_ms >= job.wait_deadline_ms:
            end_job(state, job, now, JobOutcome.REJECTED, "refused")
        else:
            # It stands among those that become ready now: each passes another once in an age limit.
            job.release_due_ms = max(job.release_due_ms, now)
            set_state(state, job, JobState.SCHEDULED)
            set_timer(state, job, min(now + backoff_ms, job.wait_deadline_ms))
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
        """A submitted job has its answer."""
        window = self.rate.window(job.job_class)
        if outcome is JobOutcome.SERVED and job.state is JobState.SUBMITTED:  # its start was not reported
            window.record_prompt_start()
        window.submitted -= 1
        end_job(self._state, job, now, outcome, reason, run_state, result_bytes)
        self._run_due_work(now, STEPS_PER_CALL)

    def job_indeterminate(self, now: float, job: Job, reason: str) -> None:
        """A submitted job may have run, and its end is not known."""
        self.rate.window(job.job_class).submitted -= 1
        mark_indeterminate(self._state, job, reason)
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
        """End an indeterminate job by proof; returns False if it is none any more."""
        if job.state is not JobState.INDETERMINATE:
            return False
        end_job(self._state, job, now, outcome, reason, run_state, result_bytes)
        self._run_due_work(now, STEPS_PER_CALL)
        return True

    def resolve_never_ran(self, now: float, job: Job) -> bool:
        """Proof that an indeterminate job never ran: it waits again, for what is left of its wait."""
        if job.state is not JobState.INDETERMINATE:
            return False
        job.run_state = RunState.NEVER_RAN
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
        """Do a bounded part of what is due."""
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

"""Submits released jobs to the core as ordinary requests, and passes their answers back to the policy.

A job whose repeat may do harm is granted to a worker with a lease, which is recorded before the last byte of
the job is sent. If the worker sends nothing for longer than the lease, the request is cancelled. A job that
may have run is submitted again only until its repeat limit.
"""

from __future__ import annotations

import asyncio
import logging
import math
import secrets
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from functools import partial

from ..core.repeats import MS_PER_S, repeat_deadline
from ..core.request import Answer, AnswerKind, AttemptUpdate, Request, RunState
from ..core.scheduler import Scheduler
from ..decision.settings import JobClass
from .dependencies import has_dependents_on_any_end
from .grants import Grants, RepeatLimit, RepeatRules
from .job import Job, JobOutcome
from .journal import GrantRecord, JobJournal
from .lease_watch import LeaseWatch
from .policy import WaitingPolicy
from .settings import WaitingSettings

log = logging.getLogger("oxbowyard.waiting")

LEASE_TOKEN_BYTES = 8  # random, so that a worker cannot guess the lease of another
OUTCOME_BY_ANSWER_KIND = {
    AnswerKind.SERVED: JobOutcome.SERVED,
    AnswerKind.REJECTED: JobOutcome.REJECTED,
    AnswerKind.FAILED: JobOutcome.FAILED,
    AnswerKind.CLIENT_DISCONNECTED: JobOutcome.CANCELLED,
}


@dataclass(slots=True)
class _Submission:
    """A job that was submitted to the core, or is about to be."""

    request_id: str
    task: asyncio.Task[Answer] | None = None  # None until the journal has recorded the release
    submitted_at_ms: float = 0.0
    run_state_at_cancel: RunState | None = None  # None: not cancelled
    is_answered: bool = False  # the answer is known, so the job can no longer be cancelled
    has_expired_lease: bool = False  # cancelled because its lease expired


@dataclass(slots=True, frozen=True)
class WorkerAnswer:
    """A worker's answer, cached until the job's result is built."""

    body: bytes = b""
    retry_after_s: float = 0.0


@dataclass(slots=True)
class SubmissionCounts:
    """Counters since the start of the program, for operators."""

    released: int = 0
    resubmitted: int = 0


class CoreSubmissions:
    """The released jobs of one queue."""

    def __init__(
        self,
        settings: WaitingSettings,
        policy: WaitingPolicy,
        scheduler: Scheduler,
        journal: JobJournal,
        classes: Mapping[str, JobClass],
        rules: RepeatRules,
        clock: Callable[[], float],
        drive: Callable[[float], None],
    ) -> None:
        """`drive` carries out the policy's actions; `clock` is steady, in milliseconds."""
        self._settings = settings
        self._policy = policy
        self._scheduler = scheduler
        self._journal = journal
        self._classes = classes
        self._rules = rules
        self._clock = clock
        self._drive = drive
        self._loop = asyncio.get_running_loop()
        self._submissions: dict[str, _Submission] = {}  # by job id
        self.grants = Grants()
        self._lease_watch = LeaseWatch(journal.leases, clock, self._expire_lease)
        self.answers: dict[str, WorkerAnswer] = {}  # of jobs that are about to end, by job id
        self.is_stopping = False
        self.counts = SubmissionCounts()

    # ---- Called by the queue ----

    def submit(self, job: Job, job_class: str) -> None:
        """Submit a released job in this class, a durable one once the journal has recorded its release."""
        self._submission(job.id)
        if job.durable and not self._needs_grant(job) and has_dependents_on_any_end(job):
            self._journal.record_submission(job)
        send = partial(self._send, job, job_class)
        if job.durable:
            self._journal.when_durable(send)
        else:
            send()

    def cancel(self, job_id: str) -> None:
        """Cancel a released job, which may have run."""
        submission = self._submission(job_id)
        if submission.run_state_at_cancel is None:
            self._cancel(submission)

    def _submission(self, job_id: str) -> _Submission:
        """Return the submission of a job, which exists before its release if the job was cancelled."""
        submission = self._submissions.get(job_id)
        if submission is None:
            submission = self._submissions[job_id] = _Submission(job_id)
        return submission

    def is_running(self, job_id: str) -> bool:
        """Return whether the core is processing the request of a job."""
        submission = self._submissions.get(job_id)
        return submission is not None and submission.task is not None

    def has_running_tasks(self) -> bool:
        """Return whether the core is processing any job's request."""
        return any(submission.task is not None for submission in self._submissions.values())

    # ---- Life cycle of a request ----

    def _send(self, job: Job, job_class: str) -> None:
        submission = self._submissions[job.id]
        if self.is_stopping and job.durable and submission.run_state_at_cancel is None:
            del self._submissions[job.id]  # the next run of the program will submit it
            self._drive(self._clock())
            return
        submission.submitted_at_ms = self._clock()
        self.counts.released += 1
        self.counts.resubmitted += job.submission_count > 1
        repeat = self.grants.repeat_limit(job.id)
        if repeat is not None:
            submission.request_id = repeat.request_id
        elif job.submission_count > 1:  # a new request id, as from a client that retries; the job never ran
            submission.request_id = f"{job.id}~{self._journal.run_id}{job.submission_count}"
        request = self._request(job, job_class, submission.request_id, repeat)
        submission.task = self._loop.create_task(self._scheduler.serve(request))
        submission.task.add_done_callback(partial(self._on_answer, job))
        if submission.run_state_at_cancel is not None:  # cancelled while the journal recorded the release
            submission.task.cancel()

    def _request(self, job: Job, job_class: str, request_id: str, repeat: RepeatLimit | None) -> Request:
        request = job.request
        assert request is not None
        needs_lease = self._needs_grant(job)
        lease = secrets.token_hex(LEASE_TOKEN_BYTES) if needs_lease else ""
        class_deadline_s = self._classes[job.job_class].deadline_ms / 1000
        return replace(
            request,
            id=request_id,
            job_class=job_class,
            backend_class=job.job_class if job_class != job.job_class else "",
            timeout_s=min(request.timeout_s, class_deadline_s),
            is_retry=job.submission_count > 1,
            lease=lease,
            repeat_deadline=repeat.deadline_s if repeat is not None else None,
            record_lease=partial(self._record_lease, job, lease) if needs_lease else None,
            on_running=partial(self._on_running, job, request.on_running),
            on_update=partial(self._on_update, job, request.on_update),
            on_answer=partial(_mark_answered, self._submissions[job.id]),
        )

    def _needs_grant(self, job: Job) -> bool:
        """Return whether a repeat of the job may do harm, by its class or by what an earlier run recorded."""
        if not job.durable:
            return False
        return self._rules.needs_grant(job.job_class) or self.grants.repeat_limit(job.id) is not None

    def _record_lease(self, job: Job, lease: str, worker: str, then: Callable[[], None]) -> None:
        """Record the lease before a worker gets a job whose repeat may do harm, then call `then`."""
        submission = self._submissions.get(job.id)
        if submission is None:  # the request is over, and its transport finds so before it sends
            then()
            return
        request_id = submission.request_id
        window_s = self._rules.window_s(job.job_class)
        is_repeat = self._scheduler.run_state(request_id) is not RunState.NEVER_RAN
        grant = self.grants.record(job.id, worker, lease)
        if not is_repeat:
            grant.repeat = RepeatLimit(repeat_deadline(self._loop.time(), window_s), request_id)
        self._lease_watch.begin(job.id)
        self._journal.record_grant(job, GrantRecord(worker, lease, request_id, window_s, is_repeat))
        self._journal.when_durable(then)

    def _on_running(self, job: Job, notify: Callable[[bool], None] | None, is_running: bool) -> None:
        if notify is not None:
            notify(is_running)
        submission = self._submissions.get(job.id)
        if not is_running or submission is None:
            return
        now = self._clock()
        if job.durable:
            self._lease_watch.begin(job.id)
        self._policy.job_started(now, job, now - submission.submitted_at_ms)
        self._drive(now)

    def _on_update(
        self, job: Job, notify: Callable[[AttemptUpdate], None] | None, update: AttemptUpdate
    ) -> None:
        self._lease_watch.renew(job.id)
        if notify is not None:
            notify(update)

    def _on_answer(self, job: Job, task: asyncio.Task[Answer]) -> None:
        submission = self._submissions.pop(job.id)
        now = self._clock()
        self._lease_watch.end(job.id)
        run_state = _with_earlier_runs(job, submission.run_state_at_cancel or RunState.MAY_BE_RUNNING)
        if task.cancelled() and submission.has_expired_lease:
            self._on_lease_expired(job, run_state, now)
        elif task.cancelled():
            reason = "called off by its client"
            self._policy.job_ended(now, job, JobOutcome.CANCELLED, run_state, reason)
        elif error := task.exception():
            log.error("internal error while running a job: job=%s error=%r", job.id, error, exc_info=error)
            run_state = RunState.MAY_BE_RUNNING
            self._policy.job_ended(now, job, JobOutcome.FAILED, run_state, "internal fault")
        else:
            self._apply_answer(job, task.result(), now)
        self._drive(now)

    def _apply_answer(self, job: Job, answer: Answer, now: float) -> None:
        run_state = _with_earlier_runs(job, answer.run_state)
        if self._needs_grant(job) and run_state is RunState.MAY_BE_RUNNING:
            if answer.kind is AnswerKind.REJECTED and job.run_state is not RunState.NEVER_RAN:
                self._interrupt(job, answer.reason, now)  # "refused" would promise that a repeat is harmless
                return
            if answer.kind is AnswerKind.FAILED and not self._rules.window_s(job.job_class):
                self._policy.job_interrupted(now, job, now, self._unknown_outcome_reason(job, answer.reason))
                return
        if answer.kind is AnswerKind.REJECTED and answer.run_state is RunState.NEVER_RAN:
            self._apply_rejection(job, answer, now)
            return
        self.answers[job.id] = WorkerAnswer(answer.body, answer.retry_after_s)
        outcome = OUTCOME_BY_ANSWER_KIND[answer.kind]
        self._policy.job_ended(now, job, outcome, run_state, answer.reason, len(answer.body))

    def _apply_rejection(self, job: Job, answer: Answer, now: float) -> None:
        self.grants.clear_run(job.id)
        may_retry = self._settings.for_class(job.job_class).queueing
        self.answers[job.id] = WorkerAnswer(retry_after_s=answer.retry_after_s)  # used if the job ends
        self._policy.job_rejected(now, job, answer.retry_after_s * 1000, may_retry)
        if job.outcome is None:
            del self.answers[job.id]

    def _interrupt(self, job: Job, why: str, now: float) -> None:
        """Let a job that may have run be repeated while that is harmless; afterwards it is indeterminate."""
        deadline_ms = math.inf
        if self._needs_grant(job):
            repeat = self.grants.repeat_limit(job.id)
            left_s = repeat.deadline_s - self._loop.time() if repeat is not None else 0.0
            deadline_ms = now + left_s * MS_PER_S
        self._policy.job_interrupted(now, job, deadline_ms, self._unknown_outcome_reason(job, why))

    def _unknown_outcome_reason(self, job: Job, why: str) -> str:
        """Return the reason of an indeterminate job, which helps an operator to find its outcome out."""
        worker = self.grants.worker(job.id) or "a worker"
        return f"{why}; it was with {worker}, and its end is not known: look whether it was done"

    # ---- Leases ----

    def _expire_lease(self, job_id: str) -> None:
        submission = self._submissions.get(job_id)
        if submission is None or submission.run_state_at_cancel is not None or submission.task is None:
            return
        log.warning("lease expired without a sign of life from the worker: job=%s", job_id)
        submission.has_expired_lease = True
        self._cancel(submission)

    def _on_lease_expired(self, job: Job, run_state: RunState, now: float) -> None:
        if run_state is RunState.NEVER_RAN:
            self.grants.clear_run(job.id)
            self._policy.job_rejected(now, job, 0.0, may_retry=True)
        else:
            self._interrupt(job, "its worker was silent for longer than its lease", now)

    def _cancel(self, submission: _Submission) -> None:
        if submission.is_answered:
            return
        submission.run_state_at_cancel = self._scheduler.run_state(submission.request_id)
        if submission.task is not None:
            submission.task.cancel()


def _with_earlier_runs(job: Job, run_state: RunState) -> RunState:
    """Return what is known of a job's run, given what is known of the run of its latest request."""
    return job.run_state if run_state is RunState.NEVER_RAN else run_state


def _mark_answered(submission: _Submission, answer: Answer) -> None:
    submission.is_answered = True

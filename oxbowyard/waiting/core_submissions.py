"""Released jobs at the core: each is a request like any other, and its answer goes back to the policy.

A job that must not run twice is granted to a worker with a lease, which is recorded before its last byte is
sent; when the worker is silent for longer than its lease, the request is cancelled.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, replace
from functools import partial

from ..core.request import Answer, AnswerKind, AttemptUpdate, Request, RunState
from ..core.scheduler import Scheduler
from ..decision.settings import JobClass
from .job import Job, JobOutcome
from .journal import JobJournal
from .lease_watch import LeaseWatch
from .policy import WaitingPolicy
from .settings import WaitingSettings

log = logging.getLogger("oxbowyard.waiting")

LEASE_TOKEN_BYTES = 8  # of chance: nobody guesses another's lease
OUTCOMES = {
    AnswerKind.SERVED: JobOutcome.SERVED,
    AnswerKind.REJECTED: JobOutcome.REJECTED,
    AnswerKind.FAILED: JobOutcome.FAILED,
    AnswerKind.CLIENT_DISCONNECTED: JobOutcome.CANCELLED,
}


@dataclass(slots=True)
class _Submission:
    """A job that is with the core, or about to be."""

    request_id: str
    task: asyncio.Task[Answer] | None = None  # None: its release waits for the journal
    submitted_at_ms: float = 0.0
    run_state_at_cancel: RunState | None = None  # None: not cancelled
    is_answered: bool = False  # its answer is on the way: it can't be cancelled any more
    lease_expired: bool = False  # cancelled because its lease expired


@dataclass(slots=True, frozen=True)
class WorkerAnswer:
    """What a worker answered, until the job has ended."""

    body: bytes = b""
    retry_after_s: float = 0.0


@dataclass(slots=True)
class SubmissionCounts:
    """Since the start, for operators."""

    released: int = 0
    resubmitted: int = 0


class CoreSubmissions:
    """The released jobs of one queue. `drive` carries out what the policy has decided."""

    def __init__(
        self,
        settings: WaitingSettings,
        policy: WaitingPolicy,
        scheduler: Scheduler,
        journal: JobJournal,
        classes: Mapping[str, JobClass],
        non_repeatable: Collection[str],
        clock: Callable[[], float],
        drive: Callable[[float], None],
    ) -> None:
        self._settings = settings
        self._policy = policy
        self._scheduler = scheduler
        self._journal = journal
        self._classes = classes
        self._non_repeatable = non_repeatable
        self._clock = clock
        self._drive = drive
        self._loop = asyncio.get_running_loop()
        self._submissions: dict[str, _Submission] = {}  # by job
        self._leases: dict[str, str] = {}  # the last one of each job that was granted
        self._granted_to: dict[str, str] = {}
        self._lease_watch = LeaseWatch(journal.leases, clock, self._expire_lease)
        self.answers: dict[str, WorkerAnswer] = {}  # of jobs that are about to end
        self.is_stopping = False
        self.counts = SubmissionCounts()

    # ---- For the queue ----

    def submit(self, job: Job, job_class: str) -> None:
        """Submit a released job in this class, once its release is durable."""
        self._submissions.setdefault(job.id, _Submission(job.id))  # it may be cancelled already
        send = partial(self._send, job, job_class)
        if job.durable:
            self._journal.when_durable(send)
        else:
            send()

    def cancel(self, job_id: str) -> None:
        """Cancel a released job; it may have run."""
        submission = self._submissions.setdefault(job_id, _Submission(job_id))
        if submission.run_state_at_cancel is None:
            self._cancel(submission)

    def has_running_tasks(self) -> bool:
        """Whether a request of a job is with the core."""
        return any(submission.task is not None for submission in self._submissions.values())

    def is_current_lease(self, job_id: str, lease: str) -> bool:
        """Whether this is the last lease of the job."""
        known = self._leases.get(job_id, "")
        return bool(lease) and secrets.compare_digest(known.encode(), lease.encode())

    def restore_lease(self, job_id: str, lease: str) -> None:
        """The lease of a job of an earlier run."""
        self._leases[job_id] = lease

    def discard_lease(self, job_id: str) -> None:
        """The job has ended."""
        self._leases.pop(job_id, None)
        self._granted_to.pop(job_id, None)

    # ---- A request's life ----

    def _send(self, job: Job, job_class: str) -> None:
        submission = self._submissions[job.id]
        if self.is_stopping and job.durable and submission.run_state_at_cancel is None:
            del self._submissions[job.id]  # the next run of the program submits it
            self._drive(self._clock())
            return
        submission.submitted_at_ms = self._clock()
        self.counts.released += 1
        self.counts.resubmitted += job.submission_count > 1
        if job.submission_count > 1:  # a new request, as from a client that retries: it surely never ran
            submission.request_id = f"{job.id}~{self._journal.run_id}{job.submission_count}"
        request = self._request(job, job_class, submission.request_id)
        submission.task = self._loop.create_task(self._scheduler.serve(request))
        submission.task.add_done_callback(partial(self._on_answer, job))
        if submission.run_state_at_cancel is not None:  # cancelled while the journal was written
            submission.task.cancel()

    def _request(self, job: Job, job_class: str, request_id: str) -> Request:
        request = job.request
        assert request is not None
        needs_lease = self._must_not_repeat(job)
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
            record_lease=partial(self._record_lease, job, lease) if needs_lease else None,
            on_running=partial(self._on_running, job, request.on_running),
            on_update=partial(self._on_update, job, request.on_update),
            on_answer=partial(_mark_answered, self._submissions[job.id]),
        )

    def _must_not_repeat(self, job: Job) -> bool:
        return job.durable and job.job_class in self._non_repeatable

    def _record_lease(self, job: Job, lease: str, worker: str, then: Callable[[], None]) -> None:
        """A worker is about to have a job that must not run twice: that is recorded first."""
        self._leases[job.id] = lease
        self._granted_to[job.id] = worker
        self._lease_watch.begin(job.id)
        self._journal.record_grant(job, worker, lease)
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
        run_state = submission.run_state_at_cancel or RunState.MAY_BE_RUNNING
        if task.cancelled() and submission.lease_expired:
            self._on_lease_expired(job, run_state, now)
        elif task.cancelled():
            reason = "called off by its client"
            self._policy.job_ended(now, job, JobOutcome.CANCELLED, run_state, reason)
        elif error := task.exception():
            log.error("job failed in our own code: job=%s error=%r", job.id, error, exc_info=error)
            run_state = RunState.MAY_BE_RUNNING
            self._policy.job_ended(now, job, JobOutcome.FAILED, run_state, "internal fault")
        else:
            self._apply_answer(job, task.result(), now)
        self._drive(now)

    def _apply_answer(self, job: Job, answer: Answer, now: float) -> None:
        never_ran = answer.run_state is RunState.NEVER_RAN
        if answer.kind is AnswerKind.REJECTED and never_ran:
            self._apply_rejection(job, answer, now)
            return
        may_be_running = answer.run_state is RunState.MAY_BE_RUNNING
        if self._must_not_repeat(job) and may_be_running and answer.kind is AnswerKind.FAILED:
            self._mark_indeterminate(job, answer.reason, now)
            return
        self.answers[job.id] = WorkerAnswer(answer.body, answer.retry_after_s)
        outcome = OUTCOMES[answer.kind]
        result_bytes = len(answer.body)
        self._policy.job_ended(now, job, outcome, answer.run_state, answer.reason, result_bytes)

    def _apply_rejection(self, job: Job, answer: Answer, now: float) -> None:
        may_retry = self._settings.for_class(job.job_class).queueing
        self.answers[job.id] = WorkerAnswer(retry_after_s=answer.retry_after_s)  # in case it ends by this
        self._policy.job_rejected(now, job, answer.retry_after_s * 1000, may_retry)
        if job.outcome is None:
            del self.answers[job.id]

    def _mark_indeterminate(self, job: Job, why: str, now: float) -> None:
        """Nobody knows how the job ended; the words are for an operator who has to find out."""
        worker = self._granted_to.get(job.id, "a worker")
        reason = f"{why}; it was with {worker}, and its end is not known: look whether it was done"
        log.warning("job indeterminate: job=%s class=%s reason=%s", job.id, job.job_class, reason)
        self._policy.job_indeterminate(now, job, reason)

    # ---- Leases ----

    def _expire_lease(self, job_id: str) -> None:
        submission = self._submissions.get(job_id)
        if submission is None or submission.run_state_at_cancel is not None or submission.task is None:
            return
        log.warning("lease expired, its worker was silent: job=%s", job_id)
        submission.lease_expired = True
        self._cancel(submission)

    def _on_lease_expired(self, job: Job, run_state: RunState, now: float) -> None:
        """A silent worker was given up: a job that must not run twice is indeterminate, others retry."""
        if run_state is not RunState.NEVER_RAN and job.job_class in self._non_repeatable:
            self._mark_indeterminate(job, "its worker was silent for longer than its lease", now)
        else:
            self._policy.job_rejected(now, job, 0.0, may_retry=True)

    def _cancel(self, submission: _Submission) -> None:
        if submission.is_answered:
            return
        submission.run_state_at_cancel = self._scheduler.run_state(submission.request_id)
        if submission.task is not None:
            submission.task.cancel()


def _mark_answered(submission: _Submission, answer: Answer) -> None:
    submission.is_answered = True

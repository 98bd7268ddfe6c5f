"""The client side of the Gearman front: jobs from their submission to their end, and status queries."""

from __future__ import annotations

import asyncio
import itertools
import logging
from typing import TYPE_CHECKING

from ..core.memory_budget import MemoryBudget
from ..core.process_token import new_process_token
from ..core.request import Answer, AnswerKind, Request
from ..core.scheduler import Scheduler
from ..decision.settings import RetrySafety
from ..waiting.job import JobOutcome
from .codec import encode
from .config import GearmanConfig
from .deferred_jobs import DeferredJobs
from .errors import ErrorCode, PacketRejectedError
from .job import Job, JobClient
from .job_limits import JobLimits
from .job_requests import build_request
from .job_results import failure_packets, send_answer
from .job_table import JobCounts, JobTable
from .packet_types import PacketType
from .submission import Submission, parse_submission
from .unfinished_runs import REFUSED_COUNT, UnfinishedRuns

if TYPE_CHECKING:  # at run time it is imported only if the operator's file has [waiting]
    from ..waiting.job_queue import JobQueue

log = logging.getLogger("oxbowyard.gearman")


class Jobs:
    """All Gearman jobs that have not ended.

    Args:
        config: The front's configuration.
        scheduler: Serves the jobs that are not deferred.
        name: The scheduler's name, which is part of each job's handle.
        memory: The budget that the jobs draw from.
        queue: The queue of deferred jobs; None if no job is deferred.
        unfinished_runs: The runs at workers whose end is not known; None if there are no workers.
    """

    def __init__(
        self,
        config: GearmanConfig,
        scheduler: Scheduler,
        name: str,
        memory: MemoryBudget,
        queue: JobQueue | None = None,
        unfinished_runs: UnfinishedRuns | None = None,
    ) -> None:
        self._functions = config.functions
        self._scheduler = scheduler
        self._table = JobTable(memory)
        self.limits = JobLimits(config, self._table)
        if unfinished_runs is None:
            unfinished_runs = UnfinishedRuns(memory, asyncio.get_running_loop().time)
        self._unfinished_runs = unfinished_runs
        self._deferred: DeferredJobs | None = None
        self._numbers = itertools.count(1)
        self._handle_prefix = f"H:{name}:{new_process_token()}."
        if queue is not None:
            self._deferred = DeferredJobs(
                queue, self._table, config.functions, self._on_running, unfinished_runs
            )
            queue.ids.reserve(f"H:{name}:")

    def submit(self, packet_type: PacketType, arguments: list[bytes], client: JobClient) -> None:
        """Accept a job or join an existing one with the same unique id, and send its handle to the client.

        Raises:
            PacketRejectedError: The job is rejected.
        """
        can_defer = self._deferred is not None
        submission = parse_submission(packet_type, arguments, self._functions, can_defer)
        existing = self._table.find_by_unique(submission.function, submission.unique)
        if existing is not None and self._deferred is not None and self._deferred.is_being_stored(existing):
            self._deferred.join_once_stored(existing, submission, client)
        elif existing is not None and self._may_join(existing, submission):
            self._join(existing, client, submission)
        elif self._may_still_run(submission):
            self._reject_repeat(submission, client)
        elif self._deferred is not None and (submission.function.queueing or submission.is_background):
            self._submit_deferred(self._deferred, submission, client)
        else:
            self._submit_now(submission, client)

    def _may_join(self, job: Job, submission: Submission) -> bool:
        """Return whether a submission may join a job with the same unique id that has not ended.

        A submission that must be stored cannot join a job that is not stored.

        Raises:
            PacketRejectedError: The submission can neither join the job nor run in addition to it.
        """
        if job.is_durable or self._deferred is None or not self._deferred.must_store(submission):
            return True
        if submission.function.job_class.retry_safety is RetrySafety.IDEMPOTENT:
            return False
        text = "a job with this unique id is not stored: submit this again once that has ended"
        raise PacketRejectedError(ErrorCode.JOB_QUEUE_FULL, text)

    def _may_still_run(self, submission: Submission) -> bool:
        """Return whether the submission must not begin, because a worker may still be at an earlier one."""
        if submission.function.job_class.retry_safety is RetrySafety.IDEMPOTENT:
            return False
        return self._unfinished_runs.may_run(submission.function.name, submission.unique)

    def _reject_repeat(self, submission: Submission, client: JobClient) -> None:
        """Tell a client that the job does not begin.

        Raises:
            PacketRejectedError: The client does not wait for the end.
        """
        self._unfinished_runs.counts[REFUSED_COUNT] += 1
        text = "a job with this unique id may still run: submit this again once that has ended"
        if submission.is_background:
            raise PacketRejectedError(ErrorCode.JOB_QUEUE_FULL, text)
        handle = self._next_handle()
        client.send(encode(PacketType.JOB_CREATED, handle))
        for packet in failure_packets(handle, text):
            client.send(packet)

    def _next_handle(self) -> bytes:
        return f"{self._handle_prefix}{next(self._numbers)}".encode()

    def _submit_now(self, submission: Submission, client: JobClient) -> None:
        job = self._accept(submission, is_deferred=False)
        request = build_request(job, submission.workload, submission.priority, self._on_running)
        job.task = asyncio.get_running_loop().create_task(self._serve(job, request))
        self._join(job, client, submission)

    def _submit_deferred(self, deferred: DeferredJobs, submission: Submission, client: JobClient) -> None:
        job = self._accept(submission, is_deferred=True)
        request = build_request(job, submission.workload, submission.priority, self._on_running)
        if deferred.must_store(submission):
            deferred.submit_durable(job, request, submission, client)
            return
        deferred.submit(job, request, submission)
        self._join(job, client, submission)

    def _accept(self, submission: Submission, is_deferred: bool) -> Job:
        size = len(submission.workload)
        self.limits.check(submission.function, size, is_deferred)
        handle, function = self._next_handle(), submission.function
        return self._table.add(handle, function, submission.unique, size, submission.is_background)

    def _join(self, job: Job, client: JobClient, submission: Submission) -> None:
        job.is_background |= submission.is_background
        client.send(encode(PacketType.JOB_CREATED, job.handle))
        if submission.is_background:
            return
        self._table.add_client(job, client)
        if self._deferred is not None:
            self._deferred.release_if_abandoned(job)

    async def _serve(self, job: Job, request: Request) -> None:
        try:
            answer = await self._scheduler.serve(request)
        except Exception:  # the clients must get an answer in any case
            log.exception("internal error while serving a job: job=%s", request.id)
            answer = Answer(AnswerKind.FAILED, reason="internal fault")
        finally:
            self._table.remove(job)
        send_answer(job, answer)

    def remove_client(self, client: JobClient) -> None:
        """Remove a disconnected client, and cancel the jobs that nobody needs and no worker runs.

        A worker cannot be told to stop. What it runs keeps its unique id, and a client that submits that
        again joins the job; if nobody has by the end of the attempt, the job is cancelled then.
        """
        for job in self._table.remove_client(client):
            if not job.is_needed and (not job.is_running or self.limits.is_shutting_down):
                self._cancel(job)

    def start_draining(self) -> None:
        """Accept no more jobs, and cancel those that nobody needs: no client can come back for them."""
        self.limits.is_shutting_down = True
        for job in self._table.unneeded_jobs():
            self._cancel(job)

    def _on_running(self, job: Job, is_running: bool) -> None:
        self._table.set_running(job, is_running)
        if not is_running and not job.is_needed:
            self._cancel(job)

    def _cancel(self, job: Job) -> None:
        if job.task is not None:
            job.task.cancel()
        elif self._deferred is not None:
            self._deferred.cancel(job)
        self._table.remove(job)

    async def finish_submissions(self, timeout_s: float) -> None:
        """See `DeferredJobs.finish_storing`."""
        if self._deferred is not None:
            await self._deferred.finish_storing(timeout_s)

    def deliver_late_result(self, handle: bytes, outcome: JobOutcome, body: bytes) -> bool:
        """See `DeferredJobs.deliver_late_result`. Return False if no job is deferred."""
        self._unfinished_runs.discard_reported(handle)
        return self._deferred is not None and self._deferred.deliver_late_result(handle, outcome, body)

    # ---- Queries ----

    def status(self, handle: bytes) -> bytes:
        """Return the response to GET_STATUS."""
        job = self._table.find(handle)
        if job is None:
            return encode(PacketType.STATUS_RES, handle, b"0", b"0", b"0", b"0")
        return encode(PacketType.STATUS_RES, handle, *_status_arguments(job))

    def status_by_unique(self, unique: bytes) -> bytes:
        """Return the response to GET_STATUS_UNIQUE."""
        job = self._table.find_by_unique_in_any_function(unique)
        if job is None:
            return encode(PacketType.STATUS_RES_UNIQUE, unique, b"0", b"0", b"0", b"0", b"0")
        clients = b"%d" % len(job.clients)
        return encode(PacketType.STATUS_RES_UNIQUE, unique, *_status_arguments(job), clients)

    def counts(self, function: str) -> JobCounts:
        """Return the numbers of a function's jobs."""
        return self._table.counts(function)


def _status_arguments(job: Job) -> list[bytes]:
    """Return the arguments that say that the job is known, whether it is running, and its progress."""
    return [b"1", b"%d" % job.is_running, job.progress.numerator, job.progress.denominator]

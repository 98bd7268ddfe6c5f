"""Gearman jobs in the queue of deferred jobs: background jobs, and all jobs of queueing functions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..core.request import Request
from ..decision.settings import RetrySafety
from ..waiting.job import JobOutcome, JobRejectedError, JobResult, RejectionCode, WaitOptions
from .codec import encode, encode_error
from .config import Function
from .errors import ErrorCode, PacketRejectedError
from .handles import parse_leased_handle
from .job import DEFERRED_PRIORITIES, PRIORITY_EXTRA, UNIQUE_ENCODING, UNIQUE_EXTRA, Job, JobClient, Priority
from .job_requests import build_request, digest_key
from .job_results import send_result
from .job_table import JobTable
from .packet_types import PacketType
from .submission import Submission

if TYPE_CHECKING:  # it is imported only where the operator's file has the table [waiting]
    from ..waiting.job_queue import JobQueue

ERROR_CODES = {
    RejectionCode.STOPPING: ErrorCode.SHUTTING_DOWN,
    RejectionCode.INVALID_TIME: ErrorCode.INVALID_EPOCH,
    RejectionCode.TOO_LARGE: ErrorCode.TOO_LARGE,
}


def error_code(error: JobRejectedError) -> ErrorCode:
    """The code that a client gets for a submission that the queue rejects."""
    return ERROR_CODES.get(error.code, ErrorCode.JOB_QUEUE_FULL)


@dataclass(slots=True, frozen=True)
class _Submitter:
    """A client whose submission is acknowledged once the job is stored."""

    client: JobClient
    is_background: bool  # it does not wait for the job's end


class DeferredJobs:
    """Submits Gearman jobs to the queue of deferred jobs, and takes back those of an earlier process."""

    def __init__(self, queue: JobQueue, table: JobTable, functions: Mapping[str, Function]) -> None:
        self._queue = queue
        self._table = table
        self._functions = functions
        self._submitting: set[asyncio.Task[None]] = set()
        self._submitters: dict[Job, list[_Submitter]] = {}  # of jobs that are being stored
        queue.adopters.append(self.adopt)
        queue.intake.journal_lost_callbacks.append(self._notify_store_lost)

    def must_store(self, submission: Submission) -> bool:
        """Whether the job is stored before its client gets the handle."""
        return submission.is_background and bool(self._queue.ids.run_id)

    def submit(self, job: Job, request: Request, submission: Submission) -> None:
        """Submit a job that is not stored. Raises PacketRejectedError; the table has it no more then."""
        self._submit(job, request, _wait_options(submission))

    def submit_durable(self, job: Job, request: Request, submission: Submission, client: JobClient) -> None:
        """Submit a background job; its client gets the handle or an error once the store has it."""
        options = _wait_options(submission)
        if submission.unique and submission.function.job_class.retry_safety is not RetrySafety.IDEMPOTENT:
            # What must not run twice is the same job for a client that got no answer to its first submission.
            options = replace(options, idempotency_key=_idempotency_key(submission))
        job.durable = True
        self._submitters[job] = []
        self.join_once_stored(job, submission, client)
        task = asyncio.get_running_loop().create_task(self._store(job, request, options))
        self._submitting.add(task)
        task.add_done_callback(self._submitting.discard)

    def is_being_stored(self, job: Job) -> bool:
        """Whether the job is not acknowledged yet, since the store does not have it."""
        return job in self._submitters

    def join_once_stored(self, job: Job, submission: Submission, client: JobClient) -> None:
        """The client gets the handle of a job that is being stored, or the error, when that is done."""
        client.pause_input()
        self._submitters[job].append(_Submitter(client, submission.is_background))

    async def _store(self, job: Job, request: Request, options: WaitOptions) -> None:
        rejection = encode_error(ErrorCode.JOB_QUEUE_FULL, "the job was not stored")
        handle = ""
        try:
            handle = await self._submit_and_store(job, request, options)
        except JobRejectedError as error:
            self._table.remove(job)
            rejection = encode_error(error_code(error), error.text)
        except PacketRejectedError as error:
            rejection = encode_error(error.code, error.text)
        finally:
            for submitter in self._submitters.pop(job):
                if handle:
                    self._acknowledge(submitter, handle.encode())
                else:
                    submitter.client.send(rejection)
                submitter.client.resume_input()

    def _acknowledge(self, submitter: _Submitter, handle: bytes) -> None:
        """Send the handle of a stored job; a client that waits for the end gets one in any case."""
        client = submitter.client
        client.send(encode(PacketType.JOB_CREATED, handle))
        if submitter.is_background or not client.is_connected():
            return
        job = self._table.find(handle)
        if job is not None:
            self._table.add_client(job, client)
        else:  # it was the same job as an earlier one, which has ended
            client.send(encode(PacketType.WORK_FAIL, handle))

    async def _submit_and_store(self, job: Job, request: Request, options: WaitOptions) -> str:
        """Returns the handle, which is an earlier job's if this is the same one."""
        if options.idempotency_key:
            existing = await self._queue.intake.find_existing([(request, options)])
            if existing:
                self._table.remove(job)
                return existing[0].job.id
        handle = self._submit(job, request, options)
        await self._queue.intake.durable()
        return handle

    def _submit(self, job: Job, request: Request, options: WaitOptions) -> str:
        try:
            (accepted,) = self._queue.submit([(request, options)], self._on_end(job))
        except JobRejectedError as error:
            self._table.remove(job)
            raise PacketRejectedError(error_code(error), error.text) from None
        if accepted.id != request.id:  # the same job as one that was submitted before
            self._table.remove(job)
        return accepted.id

    def adopt(self, request: Request) -> tuple[Request, Callable[[JobResult], None]] | None:
        """Take back a recovered job under its old handle; None if it is not a Gearman job.

        The pair is what the queue expects of an adopter: the request to submit, and what its end calls.
        """
        function = self._functions.get(request.target)
        if function is None or function.job_class.name != request.job_class:
            return None
        unique = request.extras.get(UNIQUE_EXTRA, "").encode(UNIQUE_ENCODING)
        job = self._table.add(request.id.encode(), function, unique, len(request.payload), is_background=True)
        job.durable = True
        priority = Priority(int(request.extras.get(PRIORITY_EXTRA, Priority.NORMAL.value)))
        return build_request(job, request.payload, priority, self._table), self._on_end(job)

    def cancel(self, job: Job) -> None:
        """Cancel a job whose clients have all disconnected."""
        self._queue.cancel(job.id, "its client left")

    def deliver_late_result(self, handle: bytes, outcome: JobOutcome, body: bytes) -> bool:
        """A worker reports the end of an attempt that is over; it may settle an indeterminate job.

        Returns:
            False if the handle is not that of an indeterminate job's last attempt.
        """
        attempt = parse_leased_handle(handle)
        if attempt is None:
            return False
        reason = "" if outcome is JobOutcome.SERVED else "its worker said so, late"
        return self._queue.deliver_late_result(attempt.job_id, attempt.lease, outcome, body, reason)

    def _notify_store_lost(self) -> None:
        """The ends of stored jobs can't be recorded any more, so nobody will be told of them."""
        for job in self._table.stored_jobs():
            job.send(encode(PacketType.WORK_WARNING, job.handle, b"its end is not known: the store is lost"))
            job.send(encode(PacketType.WORK_FAIL, job.handle))
            self._table.forget_clients(job)

    def _on_end(self, job: Job) -> Callable[[JobResult], None]:
        def on_end(result: JobResult) -> None:
            self._table.remove(job)
            send_result(job, result)

        return on_end


def _wait_options(submission: Submission) -> WaitOptions:
    return WaitOptions(
        submission.function.max_wait_s,
        not_before_unix_s=submission.not_before_unix_s,
        priority=DEFERRED_PRIORITIES[submission.priority],
        durable=submission.is_background,
    )


def _idempotency_key(submission: Submission) -> str:
    unique = digest_key(submission.unique)
    workload = digest_key(submission.workload)
    return f"gearman:{submission.function.name}:{unique}:{workload}"

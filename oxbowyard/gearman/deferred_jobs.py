"""Gearman jobs in the queue of deferred jobs: background jobs and all jobs of queueing functions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..core.request import Request
from ..decision.settings import RetrySafety
from ..waiting.job import Job as DeferredJob
from ..waiting.job import JobOutcome, JobRejectedError, JobResult, RejectionCode, WaitAbandoned, WaitOptions
from ..waiting.journal import JobRecord
from .codec import encode, encode_error
from .config import Function
from .errors import ErrorCode, PacketRejectedError
from .handles import parse_leased_handle
from .job import DEFERRED_PRIORITIES, PRIORITY_EXTRA, UNIQUE_ENCODING, UNIQUE_EXTRA, Job, JobClient, Priority
from .job_requests import build_request, digest_key
from .job_results import abandoned_packets, failure_packets, result_packets, send_result
from .job_table import JobTable
from .packet_types import PacketType
from .submission import Submission
from .unfinished_runs import UnfinishedRuns

if TYPE_CHECKING:  # at run time it is imported only if the operator's file has [waiting]
    from ..waiting.job_queue import JobQueue

ERROR_CODES = {
    RejectionCode.STOPPING: ErrorCode.SHUTTING_DOWN,
    RejectionCode.INVALID_TIME: ErrorCode.INVALID_EPOCH,
    RejectionCode.TOO_LARGE: ErrorCode.TOO_LARGE,
}


def error_code(error: JobRejectedError) -> ErrorCode:
    """Return the error code for a submission that the queue has rejected."""
    return ERROR_CODES.get(error.code, ErrorCode.JOB_QUEUE_FULL)


@dataclass(slots=True, frozen=True)
class _Submitter:
    """A client whose submission will be acknowledged once the job is stored."""

    client: JobClient
    is_background: bool  # the client does not wait for the job's end


class DeferredJobs:
    """Submits Gearman jobs to the queue of deferred jobs, and adopts jobs of an earlier process."""

    def __init__(
        self,
        queue: JobQueue,
        table: JobTable,
        functions: Mapping[str, Function],
        on_running: Callable[[Job, bool], None],
        unfinished_runs: UnfinishedRuns,
    ) -> None:
        """`on_running` is called when an attempt of an adopted job starts or ends."""
        self._queue = queue
        self._on_running = on_running
        self._unfinished_runs = unfinished_runs
        self._table = table
        self._functions = functions
        self._submitting: set[asyncio.Task[None]] = set()
        self._submitters: dict[Job, list[_Submitter]] = {}  # of the jobs that are being stored
        queue.recovery_handlers.append(self.adopt)
        queue.abandoned_waits.notify(self._on_abandoned)

    def must_store(self, submission: Submission) -> bool:
        """Return whether the job must be stored before its client gets the handle."""
        return submission.is_background and bool(self._queue.ids.run_id)

    def submit(self, job: Job, request: Request, submission: Submission) -> None:
        """Submit a job that is not stored.

        Raises:
            PacketRejectedError: The job is rejected. It has been removed from the table.
        """
        self._submit(job, request, _wait_options(submission))

    def submit_durable(self, job: Job, request: Request, submission: Submission, client: JobClient) -> None:
        """Submit a background job. Its client gets the handle once the job is stored, or else an error."""
        options = _wait_options(submission)
        if submission.unique and submission.function.job_class.retry_safety is not RetrySafety.IDEMPOTENT:
            # A client that got no answer may submit again, but a job that is not idempotent must not run
            # twice.
            options = replace(options, idempotency_key=_idempotency_key(submission))
        job.is_durable = True
        self._submitters[job] = []
        self.join_once_stored(job, submission, client)
        task = asyncio.get_running_loop().create_task(self._store(job, request, options))
        self._submitting.add(task)
        task.add_done_callback(self._submitting.discard)

    async def finish_storing(self, timeout_s: float) -> None:
        """Wait until all submissions are acknowledged. Those that are not by then get an error."""
        if not self._submitting:
            return
        _, pending = await asyncio.wait(self._submitting, timeout=timeout_s)
        for task in pending:
            task.cancel()
        if pending:
            await asyncio.wait(pending)

    def is_being_stored(self, job: Job) -> bool:
        """Return whether the job is not acknowledged yet, because storing it is still in progress."""
        return job in self._submitters

    def join_once_stored(self, job: Job, submission: Submission, client: JobClient) -> None:
        """Send the client the handle of a job that is being stored, or the error, once that is done."""
        client.pause_input()
        self._submitters[job].append(_Submitter(client, submission.is_background))

    async def _store(self, job: Job, request: Request, options: WaitOptions) -> None:
        rejection = encode_error(ErrorCode.JOB_QUEUE_FULL, "it is not known whether the job was stored")
        stored: JobRecord | None = None
        try:
            stored = await self._submit_and_store(job, request, options)
        except JobRejectedError as error:
            self._table.remove(job)
            rejection = encode_error(error_code(error), error.text)
        except PacketRejectedError as error:
            rejection = encode_error(error.code, error.text)
        finally:
            for submitter in self._submitters.pop(job):
                if stored is not None:
                    self._acknowledge(submitter, stored)
                else:
                    submitter.client.send(rejection)
                submitter.client.resume_input()

    def _acknowledge(self, submitter: _Submitter, stored: JobRecord) -> None:
        """Send the handle of a stored job, and to a client that waits for it what is known of its end."""
        client, handle = submitter.client, stored.job.id.encode()
        client.send(encode(PacketType.JOB_CREATED, handle))
        if submitter.is_background or not client.is_connected():
            return
        job = self._table.find(handle)
        if job is not None:
            self._table.add_client(job, client)
            self.release_if_abandoned(job)
            return
        result = stored.result or self._queue.result(stored.job.id)
        if result is not None:  # the submission repeated an earlier job, which has ended
            packets = result_packets(handle, result)
        else:
            packets = failure_packets(handle, "its end is not known: the job is in the store only")
        for packet in packets:
            client.send(packet)

    async def _submit_and_store(self, job: Job, request: Request, options: WaitOptions) -> JobRecord:
        """Submit the job and wait until it is stored. Return it, or the job that it repeats."""
        if options.idempotency_key:
            existing = await self._queue.intake.find_existing([(request, options)])
            if existing:
                self._table.remove(job)
                return existing[0]
        accepted = self._submit(job, request, options)
        await self._queue.intake.wait_until_durable()
        return JobRecord(accepted, None)

    def _submit(self, job: Job, request: Request, options: WaitOptions) -> DeferredJob:
        try:
            (accepted,) = self._queue.submit([(request, options)], self._on_end(job))
        except JobRejectedError as error:
            self._table.remove(job)
            raise PacketRejectedError(error_code(error), error.text) from None
        if accepted.id != request.id:  # the submission repeats an earlier job
            self._table.remove(job)
        return accepted

    def adopt(self, request: Request) -> tuple[Request, Callable[[JobResult], None]] | None:
        """Adopt a recovered job under its old handle.

        Returns:
            The request to submit and the callback for its end, as the queue expects from an adopter; None if
            the job is not a Gearman job.
        """
        function = self._functions.get(request.target)
        if function is None or function.job_class.name != request.job_class:
            return None
        unique = request.extras.get(UNIQUE_EXTRA, "").encode(UNIQUE_ENCODING)
        job = self._table.add(request.id.encode(), function, unique, len(request.payload), is_background=True)
        job.is_durable = True
        priority = Priority(int(request.extras.get(PRIORITY_EXTRA, Priority.NORMAL.value)))
        return build_request(job, request.payload, priority, self._on_running), self._on_end(job)

    def cancel(self, job: Job) -> None:
        """Cancel a job after all of its clients have disconnected."""
        self._queue.cancel(job.id, "its client left")

    def deliver_late_result(self, handle: bytes, outcome: JobOutcome, body: bytes) -> bool:
        """Deliver a worker's report on an attempt that is over, which may resolve an indeterminate job.

        Returns:
            False if the handle does not name the last attempt of an indeterminate job.
        """
        attempt = parse_leased_handle(handle)
        if attempt is None:
            return False
        reason = "" if outcome is JobOutcome.SERVED else "its worker said so, late"
        return self._queue.deliver_late_result(attempt.job_id, attempt.lease, outcome, body, reason)

    def release_if_abandoned(self, job: Job) -> None:
        """Send WORK_FAIL to the clients of a job whose end they will not learn."""
        abandoned = self._queue.abandoned_waits.find_by_id(job.id)
        if abandoned is not None:
            self._on_abandoned(job.id, abandoned)

    def _on_abandoned(self, job_id: str, abandoned: WaitAbandoned) -> None:
        job = self._table.find(job_id.encode())
        if job is None:
            return
        for packet in abandoned_packets(job.handle, abandoned):
            job.send(packet)
        self._table.forget_clients(job)

    def _on_end(self, job: Job) -> Callable[[JobResult], None]:
        def on_end(result: JobResult) -> None:
            self._table.remove(job)
            if result.resolved_by:
                self._unfinished_runs.discard_resolved(job.function.name, job.unique)
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

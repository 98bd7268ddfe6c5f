"""The deferred-job API under /jobs: submit, query, list, cancel, resolve.

Described in api/openapi-waiting.json. Imported only if the operator's file has the table `[waiting]`.
"""

from __future__ import annotations

from collections.abc import Collection
from urllib.parse import parse_qs

from aiohttp import web
from aiohttp.web_request import BaseRequest

from ..core.memory_budget import MemoryBudget
from ..core.request import AnswerKind, RunState
from ..waiting.job import Job, JobOutcome, JobRejectedError, JobResult, JobState, RejectionCode
from ..waiting.job_queue import JobQueue
from ..waiting.journal import JobRecord
from .client_connections import JOBS_PATH
from .errors import MethodNotAllowedError, PathNotFoundError
from .job_documents import (
    JobView,
    LateResultDocument,
    PageView,
    ResolutionDocument,
    decode_document,
    job_view,
    json_response,
    rejection_response,
)
from .job_parsing import (
    Query,
    Submission,
    SubmissionParser,
    parse_filter,
    parse_operator,
    parse_page,
    parse_wait_ms,
)
from .request_handler import check_body_size, read_body, reserve_memory
from .request_parsing import split_target
from .responses import STATUS_BY_ANSWER, KeepAliveResponse, answer_headers

# None: the job never ran, so it is released again.
LATE_OUTCOMES = {"done": JobOutcome.SERVED, "failed": JobOutcome.FAILED, "returned": None}
RESOLVED_OUTCOMES = {"served": JobOutcome.SERVED, "failed": JobOutcome.FAILED, "never_ran": None}
LATE_REASON = "its worker said so, late"
MS_PER_S = 1000


class JobRoutes:
    """Answers requests under /jobs."""

    def __init__(self, queue: JobQueue, classes: Collection[str], may_resolve: bool = False) -> None:
        """Create the routes for one queue.

        Args:
            queue: The queue of deferred jobs.
            classes: The job classes that clients may name.
            may_resolve: Whether operators may resolve jobs of indeterminate outcome over HTTP.
        """
        self._queue = queue
        self._may_resolve = may_resolve
        self._parser = SubmissionParser(classes, queue.ids)

    async def __call__(self, request: BaseRequest, memory: MemoryBudget | None = None) -> web.StreamResponse:
        """Answer one request. It draws from the budget `memory`. Raises RequestError."""
        path, query = split_target(request.raw_path)
        segments = path[len(JOBS_PATH) :].strip("/").split("/") if path != JOBS_PATH else []
        max_bytes = self._queue.settings.max_body_bytes
        size_bytes = check_body_size(request, max_bytes)
        with reserve_memory(request, memory, size_bytes):
            body = await read_body(request, max_bytes)  # for every method: this completes the request
            try:
                return await self._route(request, segments, parse_qs(query), body)
            except JobRejectedError as error:
                return rejection_response(error)

    async def _route(
        self, request: BaseRequest, segments: list[str], query: Query, body: bytes
    ) -> web.Response:
        match request.method, segments:
            case "POST", []:
                return await self._submit_json(request, body)
            case "POST", [job_class]:
                return await self._submit_raw(request, job_class, body)
            case "GET", []:
                return self._list(query)
            case "POST", [job_id, "end"]:
                return await self._deliver_late_result(job_id, body)
            case "POST", [job_id, "resolve"] if self._may_resolve:
                return await self._resolve(job_id, body)
            case "GET", [job_id]:
                return await self._query(job_id, query)
            case "GET", [job_id, "result"]:
                return await self._result(job_id, query)
            case "DELETE", [job_id]:
                return await self._cancel(job_id)
            case _, [] | [_] | [_, "result" | "end"]:
                raise MethodNotAllowedError("not by this method")
        raise PathNotFoundError("no such path")

    # ---- Submission ----

    async def _submit_json(self, request: BaseRequest, body: bytes) -> web.Response:
        submissions, is_batch = self._parser.parse_json(request, body)
        views = await self._submit(submissions)
        if is_batch:
            return json_response(202, PageView(views, None))
        return _accepted_response(views[0])

    async def _submit_raw(self, request: BaseRequest, job_class: str, body: bytes) -> web.Response:
        views = await self._submit([self._parser.parse_raw(request, job_class, body)])
        return _accepted_response(views[0])

    async def _submit(self, submissions: list[Submission]) -> list[JobView]:
        existing = await self._queue.intake.find_existing(submissions)
        if existing is not None:
            return [job_view(record) for record in existing]
        jobs = self._queue.submit(submissions)
        await self._queue.intake.wait_until_durable()
        return [self._view(job) for job in jobs]

    # ---- Queries ----

    async def _query(self, job_id: str, query: Query) -> web.Response:
        record = await self._wait_for_end(job_id, query)
        if self._queue.find(job_id) is record.job:
            return json_response(200, self._view(record.job))
        return json_response(200, job_view(record))

    async def _result(self, job_id: str, query: Query) -> web.Response:
        record = await self._wait_for_end(job_id, query)
        if record.result is None:
            return json_response(202, self._view(record.job))
        return _result_response(record.result)

    def _list(self, query: Query) -> web.Response:
        after, limit = parse_page(query)
        jobs, next_page = self._queue.page(after, limit, parse_filter(query))
        return json_response(200, PageView([self._view(job) for job in jobs], next_page))

    # ---- Changes ----

    async def _deliver_late_result(self, job_id: str, body: bytes) -> web.Response:
        document = decode_document(body, LateResultDocument)
        outcome = LATE_OUTCOMES[document.state]
        reason = "" if outcome is JobOutcome.SERVED else LATE_REASON
        result = document.result.encode()
        is_accepted = self._queue.deliver_late_result(job_id, document.lease, outcome, result, reason)
        return await self._respond_durably(job_id, is_accepted)

    async def _resolve(self, job_id: str, body: bytes) -> web.Response:
        document = decode_document(body, ResolutionDocument)
        outcome = RESOLVED_OUTCOMES[document.end]
        operator = parse_operator(document.by)
        result = document.result.encode()
        is_accepted = self._queue.resolve(job_id, operator, outcome, result, document.reason)
        return await self._respond_durably(job_id, is_accepted)

    async def _respond_durably(self, job_id: str, is_accepted: bool) -> web.Response:
        await self._queue.intake.wait_until_durable()
        record = await self._find_record(job_id)
        return json_response(200 if is_accepted else 409, job_view(record))

    async def _cancel(self, job_id: str) -> web.Response:
        job = self._queue.cancel(job_id)
        if job is None:
            return json_response(409, job_view(await self._find_record(job_id)))
        if job.durable and job.outcome is not None:
            await self._queue.intake.wait_until_durable()
        return json_response(200 if job.outcome is not None else 202, self._view(job))

    # ---- Lookup ----

    async def _wait_for_end(self, job_id: str, query: Query) -> JobRecord:
        wait_ms = parse_wait_ms(query)
        record = await self._find_record(job_id)
        if record.result is None and self._queue.find(job_id) is not None:
            return JobRecord(record.job, await self._queue.wait(job_id, wait_ms / MS_PER_S))
        return record

    async def _find_record(self, job_id: str) -> JobRecord:
        record = await self._queue.find_record(job_id)
        if record is None:
            raise JobRejectedError(RejectionCode.UNKNOWN_JOB, "no such job, or its end is no longer kept")
        return record

    def _view(self, job: Job) -> JobView:
        has_position = job.state in (JobState.READY, JobState.AWAITING_IDLE)
        position = self._queue.position(job) if has_position else None
        return job_view(JobRecord(job, self._queue.result(job.id)), position)


def _accepted_response(view: JobView) -> web.Response:
    response = json_response(202, view)
    response.headers["Location"] = f"{JOBS_PATH}/{view.id}"
    return response


def _result_response(result: JobResult) -> web.Response:
    answer = result.answer()
    if answer.kind is AnswerKind.CLIENT_DISCONNECTED:
        return KeepAliveResponse(status=410, text="cancelled\n")
    headers = answer_headers(answer) | {"Job-End": result.outcome.value, "Job-Ran": result.run_state.value}
    body = answer.body
    if result.outcome is not JobOutcome.SERVED:
        never_ran = "; it never ran" if result.run_state is RunState.NEVER_RAN else ""
        body = f"{result.reason}{never_ran}\n".encode()
    return web.Response(status=STATUS_BY_ANSWER[answer.kind], headers=headers, body=body)

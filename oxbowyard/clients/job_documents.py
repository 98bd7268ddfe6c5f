"""The JSON documents of the API of deferred jobs, described in api/openapi-waiting.json.

The attributes have the names of the keys on the wire. `job_parsing` and the functions here map them to the
names that the rest of the program uses.
"""

from __future__ import annotations

from typing import Literal, TypeVar

import msgspec
from aiohttp import web

from ..waiting.job import JobRejectedError, JobState, RejectionCode
from ..waiting.journal import JobRecord
from .errors import BadRequestError
from .responses import KeepAliveResponse

JSON_CONTENT_TYPE = "application/json"

REJECTION_STATUS = {
    RejectionCode.STOPPING: 503,
    RejectionCode.STORE_UNAVAILABLE: 503,
    RejectionCode.RECOVERING: 503,
    RejectionCode.QUEUE_FULL: 429,
    RejectionCode.CLASS_FULL: 429,
    RejectionCode.TENANT_FULL: 429,
    RejectionCode.BYTES_FULL: 429,
    RejectionCode.UNKNOWN_CLASS: 404,
    RejectionCode.TOO_LARGE: 413,
    RejectionCode.BATCH_TOO_LARGE: 413,
    RejectionCode.DUPLICATE_ID: 409,
    RejectionCode.CONFLICT: 409,
    RejectionCode.UNKNOWN_JOB: 404,
}
INVALID_JOB_STATUS = 422  # for all other codes, where a retry cannot succeed

Document = TypeVar("Document", bound=msgspec.Struct)


class DependencyDocument(msgspec.Struct, forbid_unknown_fields=True):
    """A job that has to end before the submitted one is released."""

    id: str
    when: Literal["served", "ended"] = "served"


class JobDocument(msgspec.Struct, forbid_unknown_fields=True):
    """A job to submit."""

    class_: str = msgspec.field(name="class")
    id: str | None = None
    path: str | None = None  # sent to the worker, with query; default: /CLASS, or /CLASS?obj=OBJ
    obj: str | None = None
    payload: str = ""
    payload_base64: bytes = b""
    extra: str = ""
    tenant: str = ""
    priority: Literal["high", "normal", "low"] = "normal"
    after: list[str | DependencyDocument] = []  # msgspec copies the default for each document
    delay_s: float = 0.0
    not_before: float | None = None
    quiet: bool = False
    patience_s: float | None = None
    deadline_s: float | None = None


class BatchDocument(msgspec.Struct, forbid_unknown_fields=True):
    """A batch of jobs. Either all of them are accepted or none."""

    jobs: list[JobDocument]


class LateResultDocument(msgspec.Struct, forbid_unknown_fields=True):
    """A worker's late report of the outcome of a job that it ran under this lease."""

    lease: str
    state: Literal["done", "failed", "returned"]
    result: str = ""


class ResolutionDocument(msgspec.Struct, forbid_unknown_fields=True):
    """An operator's resolution of a job whose outcome is indeterminate."""

    by: str
    end: Literal["served", "failed", "never_ran"]
    reason: str = ""
    result: str = ""


class JobView(msgspec.Struct, omit_defaults=True):
    """The representation of a job in responses."""

    id: str
    class_: str = msgspec.field(name="class")
    state: str
    ahead: int | None = None  # jobs of its class that will be released before it
    asks: int = 0  # number of submissions to the scheduler core
    end: str | None = None
    ran: str | None = None
    reason: str | None = None
    retry_after_s: float | None = None
    by: str | None = None  # name of the operator who resolved it


class PageView(msgspec.Struct):
    """One page of the list of jobs."""

    jobs: list[JobView]
    next: int | None


def job_view(record: JobRecord, position: int | None = None) -> JobView:
    """Return the view of a job and its result; `position` is the number of jobs ahead of it in the queue."""
    job, result = record.job, record.result
    view = JobView(job.id, job.job_class, job.state.value, position, job.submission_count)
    if result is not None:
        view.end = result.outcome.value
        view.ran = result.run_state.value
        view.reason = result.reason or None
        view.retry_after_s = result.retry_after_s or None
        view.by = result.resolved_by or None
    elif job.state is JobState.INDETERMINATE:
        view.ran = job.run_state.value
        view.reason = job.reason
    return view


def decode_document(body: bytes, document: type[Document]) -> Document:
    """Decode a request body. Raises BadRequestError if it does not match the document type."""
    try:
        return msgspec.json.decode(body, type=document)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise BadRequestError(f"not as described: {error}") from None


def json_response(status: int, view: JobView | PageView) -> web.Response:
    """Create the response with one job or one page of jobs."""
    return KeepAliveResponse(status=status, body=msgspec.json.encode(view), content_type=JSON_CONTENT_TYPE)


def rejection_response(error: JobRejectedError) -> web.Response:
    """Create the response to a submission or query that the queue has rejected."""
    body = msgspec.json.encode({"error": error.code.value, "text": error.text})
    status = REJECTION_STATUS.get(error.code, INVALID_JOB_STATUS)
    response = KeepAliveResponse(status=status, body=body, content_type=JSON_CONTENT_TYPE)
    if error.retry_after_s:
        response.headers["Retry-After"] = f"{error.retry_after_s:.3f}"
    return response

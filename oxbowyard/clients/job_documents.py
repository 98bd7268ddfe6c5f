"""The JSON documents of the API of deferred jobs, described in api/openapi-waiting.json.

The attributes are the keys on the wire, which keep the platform's words; `job_parsing` and the functions here
map them to the code's.
"""

from __future__ import annotations

from typing import Literal, TypeVar

import msgspec
from aiohttp import web

from ..waiting.job import JobRejectedError, JobState, RejectionCode
from ..waiting.journal import RecalledJob
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
INVALID_JOB_STATUS = 422  # for every other code: no retry helps

Document = TypeVar("Document", bound=msgspec.Struct)


class DependencyDocument(msgspec.Struct, forbid_unknown_fields=True):
    """A job to wait for."""

    id: str
    when: Literal["served", "ended"] = "served"


class JobDocument(msgspec.Struct, forbid_unknown_fields=True):
    """A job to submit."""

    class_: str = msgspec.field(name="class")
    id: str | None = None
    path: str | None = None  # with query, as a worker gets it; else /CLASS, with obj if that is given
    obj: str | None = None
    payload: str = ""
    payload_base64: bytes = b""
    extra: str = ""
    tenant: str = ""
    priority: Literal["high", "normal", "low"] = "normal"
    after: list[str | DependencyDocument] = []  # noqa: RUF012  # msgspec copies it
    delay_s: float = 0.0
    not_before: float | None = None
    quiet: bool = False
    patience_s: float | None = None
    deadline_s: float | None = None


class BatchDocument(msgspec.Struct, forbid_unknown_fields=True):
    """Several jobs, of which all are accepted or none."""

    jobs: list[JobDocument]


class LateResultDocument(msgspec.Struct, forbid_unknown_fields=True):
    """A worker's late report of how a job ended that it ran under this lease."""

    lease: str
    state: Literal["done", "failed", "returned"]
    result: str = ""


class ResolutionDocument(msgspec.Struct, forbid_unknown_fields=True):
    """An operator's statement of how a job of indeterminate outcome ended."""

    by: str
    end: Literal["served", "failed", "never_ran"]
    reason: str = ""
    result: str = ""


class JobView(msgspec.Struct, omit_defaults=True):
    """What a client is shown of a job."""

    id: str
    class_: str = msgspec.field(name="class")
    state: str
    ahead: int | None = None  # jobs of its class that are released before it
    asks: int = 0  # submissions to the core
    end: str | None = None
    ran: str | None = None
    reason: str | None = None
    retry_after_s: float | None = None
    by: str | None = None  # the operator who resolved it


class PageView(msgspec.Struct):
    """A page of a list of jobs."""

    jobs: list[JobView]
    next: int | None


def job_view(recalled: RecalledJob, position: int | None = None) -> JobView:
    """What a client is shown of a job with its result; `position` is its place in its class's queue."""
    job, result = recalled.job, recalled.result
    view = JobView(job.id, job.job_class, job.state.value, position, job.submissions)
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
    """Decode a request's body; raises BadRequestError."""
    try:
        return msgspec.json.decode(body, type=document)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise BadRequestError(f"not as described: {error}") from None


def json_response(status: int, view: JobView | PageView) -> web.Response:
    """The response with one job or a page of them."""
    return KeepAliveResponse(status=status, body=msgspec.json.encode(view), content_type=JSON_CONTENT_TYPE)


def rejection_response(error: JobRejectedError) -> web.Response:
    """The response to a submission or a query that the queue rejects."""
    body = msgspec.json.encode({"error": error.code.value, "text": error.text})
    status = REJECTION_STATUS.get(error.code, INVALID_JOB_STATUS)
    response = KeepAliveResponse(status=status, body=body, content_type=JSON_CONTENT_TYPE)
    if error.retry_after_s:
        response.headers["Retry-After"] = f"{error.retry_after_s:.3f}"
    return response

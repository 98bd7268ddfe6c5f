"""Parses submissions of deferred jobs, either JSON documents or a raw body with headers, for the job queue.

The functions raise BadRequestError for malformed input and JobRejectedError for jobs that the queue would
reject.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Collection, Mapping
from urllib.parse import parse_qs, urlencode

import msgspec
from aiohttp.web_request import BaseRequest

from ..core.request import Request
from ..waiting.job import (
    HIGH_PRIORITY,
    LOW_PRIORITY,
    Dependency,
    DependencyCondition,
    Job,
    JobRejectedError,
    JobState,
    RejectionCode,
    WaitOptions,
)
from ..waiting.job_ids import JobIds
from .client_connections import JOBS_PATH
from .errors import BadRequestError
from .job_documents import BatchDocument, DependencyDocument, JobDocument
from .limits import MAX_DEADLINE_S
from .request_parsing import (
    TARGET_PATTERN,
    parse_deadline,
    parse_duration,
    parse_extras,
    parse_id,
    parse_idempotency_key,
    parse_slots,
    single_header,
    split_target,
)

PRIORITIES = {"high": HIGH_PRIORITY, "normal": None, "low": LOW_PRIORITY}
MAX_NAME_LENGTH = 128  # characters, of a tenant's or an operator's name
MAX_UNIX_S = 1e12
MAX_WAIT_DIGITS = 9
MAX_PAGE_DIGITS = 24  # of `after` and `limit` together
FINGERPRINT_BYTES = 16
LENGTH_PREFIX_BYTES = 8
FINGERPRINTED_HEADERS = ("wait-", "req-")
# Headers that may differ when a submission is repeated.
NOT_FINGERPRINTED_HEADERS = ("req-id:", "req-retry:")

Query = Mapping[str, list[str]]
Submission = tuple[Request, WaitOptions]


class SubmissionParser:
    """Parses submissions for one job queue."""

    def __init__(self, classes: Collection[str], ids: JobIds) -> None:
        """Create a parser for the job classes `classes`. Jobs submitted without an id get one from `ids`."""
        self._classes = frozenset(classes)
        self._ids = ids

    def parse_json(self, http_request: BaseRequest, body: bytes) -> tuple[list[Submission], bool]:
        """Parse the jobs of a JSON body. Return them and whether the body is a batch."""
        try:
            decoded = msgspec.json.decode(body)
            is_batch = isinstance(decoded, dict) and "jobs" in decoded
            if is_batch:
                documents = msgspec.convert(decoded, BatchDocument).jobs
            else:
                documents = [msgspec.convert(decoded, JobDocument)]
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise BadRequestError(f"not a job: {error}") from None
        if not documents:
            raise BadRequestError("not a job: an empty hand-in")
        key = _idempotency_key(http_request)
        digest = fingerprint(body)
        submissions = []
        for number, document in enumerate(documents):
            job_key = f"{key}/{number}" if key and is_batch else key
            submissions.append(self._parse_document(document, job_key, digest))
        return submissions, is_batch

    def _parse_document(self, document: JobDocument, idempotency_key: str, digest: bytes) -> Submission:
        if document.payload and document.payload_base64:
            raise BadRequestError("payload and payload_base64 exclude each other")
        wait = WaitOptions(
            max_wait_s=document.patience_s,
            dependencies=_document_dependencies(document),
            delay_s=document.delay_s,
            not_before_unix_s=document.not_before,
            wait_for_idle=document.quiet,
            priority=PRIORITIES[document.priority],
            tenant=_parse_tenant(document.tenant),
            idempotency_key=idempotency_key,
            fingerprint=digest,
            durable=True,
        )
        deadline_s = MAX_DEADLINE_S if document.deadline_s is None else document.deadline_s
        if not 0 < deadline_s <= MAX_DEADLINE_S:
            raise BadRequestError("deadline_s is out of range")
        request = self._make_request(
            job_class=document.class_,
            job_id=document.id,
            target=_document_target(document),
            payload=document.payload.encode() or document.payload_base64,
            extra=document.extra,
            deadline_s=deadline_s,
            wait=wait,
        )
        return request, wait

    def parse_raw(self, http_request: BaseRequest, job_class: str, body: bytes) -> Submission:
        """Parse the job of a request whose body is the payload and whose headers are the options."""
        wait = _header_options(http_request, body)
        headers = http_request.headers
        deadline = single_header(headers, "Req-Deadline")
        request = self._make_request(
            job_class=job_class,
            job_id=single_header(headers, "Req-Id"),
            target=http_request.raw_path[len(JOBS_PATH) :],
            payload=body,
            extra=single_header(headers, "Req-Extra") or "",
            deadline_s=parse_deadline(deadline) if deadline else MAX_DEADLINE_S,
            wait=wait,
        )
        return request, wait

    def _make_request(
        self,
        *,
        job_class: str,
        job_id: str | None,
        target: str,
        payload: bytes,
        extra: str,
        deadline_s: float,
        wait: WaitOptions,
    ) -> Request:
        if job_class not in self._classes:
            raise JobRejectedError(RejectionCode.UNKNOWN_CLASS, f"no class {job_class}")
        path, query = split_target(target)
        if path[1:].split("/", 1)[0] != job_class or not TARGET_PATTERN.fullmatch(target):
            raise BadRequestError("the path is not one of the class")
        if job_id is not None and self._ids.is_reserved(job_id):  # a purged job may have had this id
            raise JobRejectedError(RejectionCode.DUPLICATE_ID, "ids of this form are given by the scheduler")
        extras = parse_extras(extra)
        return Request(
            id=parse_id(job_id) if job_id is not None else self._ids.new(),
            job_class=job_class,
            timeout_s=deadline_s,
            target=target,
            payload=payload,
            key=parse_qs(query).get("obj", [None])[0],
            tenant=wait.tenant or None,
            slots=parse_slots(extras),
            extras=extras,
            idempotency_key=wait.idempotency_key,
        )


def _document_target(document: JobDocument) -> str:
    if document.path:
        return document.path
    query = f"?{urlencode({'obj': document.obj})}" if document.obj else ""
    return f"/{document.class_}{query}"


def _document_dependencies(document: JobDocument) -> tuple[Dependency, ...]:
    dependencies = []
    for entry in document.after:
        named = DependencyDocument(entry) if isinstance(entry, str) else entry
        dependencies.append(Dependency(parse_id(named.id), DependencyCondition(named.when)))
    return tuple(dependencies)


def _header_options(http_request: BaseRequest, body: bytes) -> WaitOptions:
    headers = http_request.headers
    priority = single_header(headers, "Req-Priority") or "normal"
    if priority not in PRIORITIES:
        raise BadRequestError("Req-Priority is high, normal or low")
    max_wait = single_header(headers, "Wait-Patience")
    not_before = single_header(headers, "Wait-Until")
    delay = single_header(headers, "Wait-Delay")
    return WaitOptions(
        max_wait_s=_parse_time(max_wait, "Wait-Patience") if max_wait else None,
        dependencies=_parse_dependencies(single_header(headers, "Wait-After")),
        delay_s=_parse_time(delay, "Wait-Delay") if delay else 0.0,
        not_before_unix_s=_parse_unix_time(not_before) if not_before else None,
        wait_for_idle=single_header(headers, "Wait-Quiet") == "1",
        priority=PRIORITIES[priority],
        tenant=_parse_tenant(single_header(headers, "Req-Tenant") or ""),
        idempotency_key=_idempotency_key(http_request),
        fingerprint=_raw_fingerprint(http_request, body),
        durable=True,
    )


def _raw_fingerprint(http_request: BaseRequest, body: bytes) -> bytes:
    headers = sorted(http_request.headers.items())
    lines = [f"{name}: {value}" for name, value in headers if name.lower().startswith(FINGERPRINTED_HEADERS)]
    lines = [line for line in lines if not line.lower().startswith(NOT_FINGERPRINTED_HEADERS)]
    return fingerprint(http_request.raw_path.encode(), *(line.encode() for line in lines), body)


def fingerprint(*fields: bytes) -> bytes:
    """Return a digest of a submission's content. Digests are stored, so the algorithm must not change."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(LENGTH_PREFIX_BYTES, "big") + field)
    return digest.digest()


def parse_wait_ms(query: Query) -> int:
    """Return how long the client waits for the end of the job, in milliseconds."""
    text = query.get("wait_ms", ["0"])[0]
    if not text.isdecimal() or len(text) > MAX_WAIT_DIGITS:
        raise BadRequestError("wait_ms is not a number of milliseconds")
    return int(text)


def parse_page(query: Query) -> tuple[int, int]:
    """Return the start of the page and the maximum number of jobs on it."""
    unknown = set(query) - {"state", "class", "tenant", "after", "limit"}
    if unknown:
        raise BadRequestError(f"no such filter: {sorted(unknown)[0]}")
    after, limit = query.get("after", ["0"])[0], query.get("limit", ["100"])[0]
    are_numbers = after.isdecimal() and limit.isdecimal() and len(after + limit) < MAX_PAGE_DIGITS
    if not (are_numbers and int(limit) > 0):
        raise BadRequestError("after and limit are whole numbers")
    return int(after), int(limit)


def parse_filter(query: Query) -> Callable[[Job], bool]:
    """Return the predicate that selects the listed jobs."""
    states = query.get("state", [])
    if set(states) - {state.value for state in JobState}:
        raise BadRequestError("no such state")
    classes, tenants = query.get("class", []), query.get("tenant", [])
    return lambda job: (
        (not states or job.state.value in states)
        and (not classes or job.job_class in classes)
        and (not tenants or job.tenant in tenants)
    )


def parse_operator(text: str) -> str:
    """Return the name of the operator who resolves a job."""
    if not text or not _is_name(text):
        raise BadRequestError("by is the name of whoever says so")
    return text


def _parse_tenant(text: str) -> str:
    if not _is_name(text):
        raise BadRequestError("the tenant is malformed")
    return text


def _is_name(text: str) -> bool:
    return len(text) <= MAX_NAME_LENGTH and text.isprintable()


def _idempotency_key(http_request: BaseRequest) -> str:
    return parse_idempotency_key(single_header(http_request.headers, "Idempotency-Key"))


def _parse_time(text: str, header: str) -> float:
    duration_s = parse_duration(text)
    if duration_s is None:
        raise BadRequestError(f"{header} is malformed")
    return duration_s


def _parse_unix_time(text: str) -> float:
    try:
        unix_s = float(text)
    except ValueError:
        unix_s = -1.0
    if not 0 <= unix_s < MAX_UNIX_S:
        raise BadRequestError("Wait-Until is not a Unix time in seconds")
    return unix_s


def _parse_dependencies(text: str | None) -> tuple[Dependency, ...]:
    """Parse dependencies in the form `ID, ID;ended, ...`."""
    dependencies = []
    for entry in (text or "").split(","):
        job_id, _, condition = entry.strip().partition(";")
        if not job_id and not condition:
            continue
        if condition not in ("", "served", "ended"):
            raise BadRequestError("Wait-After is malformed")
        dependency = Dependency(parse_id(job_id.strip()), DependencyCondition(condition or "served"))
        dependencies.append(dependency)
    return tuple(dependencies)

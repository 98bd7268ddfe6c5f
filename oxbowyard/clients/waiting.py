"""Waiting jobs over HTTP, below /jobs: hand in, ask, list, cancel. Described in api/openapi-waiting.json.

Only imported where the operator's file has the table `[waiting]`.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Collection
from contextlib import nullcontext
from typing import Literal, TypeVar
from urllib.parse import parse_qs, urlencode

import msgspec
from aiohttp import web
from aiohttp.web_request import BaseRequest

from ..core.request import AnswerKind, Request, RunState
from ..waiting.job import (
    HIGH_PRIORITY,
    LOW_PRIORITY,
    Dependency,
    DependencyCondition,
    Job,
    JobOutcome,
    JobRejectedError,
    JobState,
    RejectionCode,
    WaitOptions,
)
from ..waiting.job_queue import JobQueue
from ..waiting.journal import RecalledJob
from .connection import Understood
from .limits import MAX_DEADLINE_S
from .session import WAITING_PATH, Bodies, read_body
from .wording import (
    DEADLINE_FORM,
    STATUS,
    TARGET_FORM,
    UNITS,
    Fault,
    answer_headers,
    read_deadline,
    read_extras,
    read_id,
    read_idempotency_key,
    read_slots,
    read_target,
    single,
)

STATUSES = {
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
UNFIT = 422  # what no later try will mend
PRIORITIES = {"high": HIGH_PRIORITY, "normal": None, "low": LOW_PRIORITY}
MOST_TENANT = 128
JSON = "application/json"
F = TypeVar("F", bound=msgspec.Struct)
NEW_EACH_TIME = ("req-id:", "req-retry:")  # headers that a repeated hand-in may well have otherwise


class ParentForm(msgspec.Struct, forbid_unknown_fields=True):
    """A job to wait for."""

    id: str
    when: Literal["served", "ended"] = "served"


class JobForm(msgspec.Struct, forbid_unknown_fields=True):
    """One job in JSON."""

    class_: str = msgspec.field(name="class")
    id: str | None = None
    path: str | None = None  # with query, as a worker gets it; else /CLASS, with obj if that is given
    obj: str | None = None
    payload: str = ""
    payload_base64: bytes = b""
    extra: str = ""
    tenant: str = ""
    priority: Literal["high", "normal", "low"] = "normal"
    after: list[str | ParentForm] = []  # noqa: RUF012  # msgspec copies it
    delay_s: float = 0.0
    not_before: float | None = None
    quiet: bool = False
    patience_s: float | None = None
    deadline_s: float | None = None


class BatchForm(msgspec.Struct, forbid_unknown_fields=True):
    """Several jobs, taken together or not at all."""

    jobs: list[JobForm]


class EndForm(msgspec.Struct, forbid_unknown_fields=True):
    """A worker's late word on a job that it had by this lease."""

    lease: str
    state: Literal["done", "failed", "returned"]
    result: str = ""


class ResolveForm(msgspec.Struct, forbid_unknown_fields=True):
    """An operator's word on a job in doubt."""

    by: str
    end: Literal["served", "failed", "never_ran"]
    reason: str = ""
    result: str = ""


class JobView(msgspec.Struct, omit_defaults=True):
    """What is told of a job."""

    id: str
    class_: str = msgspec.field(name="class")
    state: str
    ahead: int | None = None  # of its class, while it waits for its turn
    asks: int = 0
    end: str | None = None
    ran: str | None = None
    reason: str | None = None
    retry_after_s: float | None = None
    by: str | None = None  # the operator who said how it ended


class PageView(msgspec.Struct):
    """A page of the list."""

    jobs: list[JobView]
    next: int | None


class WaitingFront:
    """The paths below /jobs."""

    def __init__(self, room: JobQueue, classes: Collection[str], may_resolve: bool = False) -> None:
        self._room = room
        self._may_resolve = may_resolve
        self._classes = frozenset(classes)

    async def __call__(self, request: BaseRequest, bodies: Bodies | None = None) -> web.StreamResponse:
        """Answer one request; raises Fault for what is no proper one."""
        path, query = read_target(request.raw_path)
        words = path[len(WAITING_PATH) :].strip("/").split("/") if path != WAITING_PATH else []
        most = self._room.settings.max_body_bytes
        size = request.content_length
        if size is None:
            size = most if request.can_read_body else 0
        if size > most:
            raise Fault(413, f"a body holds {most >> 10} KiB at most")
        with bodies.hold(size) if bodies else nullcontext():
            body = await read_body(request, most)  # of any method: from here on its answer is owed
            try:
                return await self._route(request, words, parse_qs(query), body)
            except JobRejectedError as fault:
                return _rejected(fault)

    async def _route(
        self, request: BaseRequest, words: list[str], query: dict[str, list[str]], body: bytes
    ) -> web.Response:
        match request.method, words:
            case "POST", []:
                return await self._hand_in_json(request, body)
            case "POST", [job_class]:
                return await self._hand_in_raw(request, job_class, body)
            case "GET", []:
                return self._list(query)
            case "POST", [id_, "end"]:
                return await self._late_end(id_, body)
            case "POST", [id_, "resolve"] if self._may_resolve:
                return await self._resolve(id_, body)
            case "GET", [id_]:
                return await self._ask(id_, query)
            case "GET", [id_, "result"]:
                return await self._result(id_, query)
            case "DELETE", [id_]:
                return await self._cancel(id_)
            case _, [] | [_] | [_, "result" | "end"]:
                raise Fault(405, "not by this method")
        raise Fault(404, "no such path")

    # ---- Handing in ----

    async def _hand_in_json(self, request: BaseRequest, body: bytes) -> web.Response:
        try:
            raw = msgspec.json.decode(body)
            many = isinstance(raw, dict) and "jobs" in raw
            forms = msgspec.convert(raw, BatchForm).jobs if many else [msgspec.convert(raw, JobForm)]
        except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
            raise Fault(400, f"not a job: {fault}") from None
        if not forms:
            raise Fault(400, "not a job: an empty hand-in")
        token = _token(request)
        print_ = _print(body)
        jobs = []
        for number, form in enumerate(forms):
            own = f"{token}/{number}" if token and many else token
            jobs.append(self._from_form(form, own, print_))
        return await self._take(jobs, many)

    def _from_form(self, form: JobForm, token: str, print_: bytes) -> tuple[Request, WaitOptions]:
        if form.payload and form.payload_base64:
            raise Fault(400, "payload and payload_base64 exclude each other")
        payload = form.payload.encode() or form.payload_base64
        target = form.path or f"/{form.class_}" + (f"?{urlencode({'obj': form.obj})}" if form.obj else "")
        named = (ParentForm(p) if isinstance(p, str) else p for p in form.after)
        after = tuple(Dependency(read_id(p.id), DependencyCondition(p.when)) for p in named)
        wait = WaitOptions(
            form.patience_s, after, form.delay_s, form.not_before, form.quiet, PRIORITIES[form.priority],
            _tenant(form.tenant), token, print_, durable=True,
        )  # fmt: skip
        deadline = MAX_DEADLINE_S if form.deadline_s is None else form.deadline_s
        if not 0 < deadline <= MAX_DEADLINE_S:
            raise Fault(400, "deadline_s is out of range")
        return self._req(form.class_, form.id, target, payload, form.extra, deadline, wait), wait

    async def _hand_in_raw(self, request: BaseRequest, job_class: str, body: bytes) -> web.Response:
        headers = request.headers
        priority = single(headers, "Req-Priority") or "normal"
        if priority not in PRIORITIES:
            raise Fault(400, "Req-Priority is high, normal or low")
        patience, until = single(headers, "Wait-Patience"), single(headers, "Wait-Until")
        delay = single(headers, "Wait-Delay")
        told = [f"{n}: {v}" for n, v in sorted(headers.items()) if n.lower().startswith(("wait-", "req-"))]
        told = [line for line in told if not line.lower().startswith(NEW_EACH_TIME)]
        wait = WaitOptions(
            _time(patience, "Wait-Patience") if patience else None,
            _parents(single(headers, "Wait-After")),
            _time(delay, "Wait-Delay") if delay else 0.0,
            _unix(until) if until else None,
            single(headers, "Wait-Quiet") == "1",
            PRIORITIES[priority],
            _tenant(single(headers, "Req-Tenant") or ""),
            _token(request),
            _print(request.raw_path.encode(), *(line.encode() for line in told), body),
            durable=True,
        )
        deadline = single(headers, "Req-Deadline")
        target = request.raw_path[len(WAITING_PATH) :]  # the rest is what a worker gets
        req = self._req(
            job_class,
            single(headers, "Req-Id"),
            target,
            body,
            single(headers, "Req-Extra") or "",
            read_deadline(deadline) if deadline else MAX_DEADLINE_S,
            wait,
        )
        return await self._take([(req, wait)], many=False)

    def _req(
        self,
        job_class: str,
        id_: str | None,
        target: str,
        payload: bytes,
        extra: str,
        deadline: float,
        wait: WaitOptions,
    ) -> Request:
        if job_class not in self._classes:
            raise JobRejectedError(RejectionCode.UNKNOWN_CLASS, f"no class {job_class}")
        path, query = read_target(target)
        if path[1:].split("/", 1)[0] != job_class or not TARGET_FORM.fullmatch(target):
            raise Fault(400, "the path is not one of the class")
        if id_ is not None and self._room.ids.is_reserved(
            id_
        ):  # it may be another job's, long forgotten here
            raise JobRejectedError(RejectionCode.DUPLICATE_ID, "ids of this form are given by the scheduler")
        extras = read_extras(extra)
        return Request(
            id=read_id(id_) if id_ is not None else self._room.ids.new(),
            job_class=job_class,
            timeout_s=deadline,
            target=target,
            payload=payload,
            key=parse_qs(query).get("obj", [None])[0],
            tenant=wait.tenant or None,
            slots=read_slots(extras),
            extras=extras,
            idempotency_key=wait.idempotency_key,  # a worker drops a repeat of the job by this
        )

    async def _take(self, jobs: list[tuple[Request, WaitOptions]], many: bool) -> web.Response:
        if (recalled := await self._room.intake.find_existing(jobs)) is not None:
            views = [_view(known) for known in recalled]
        else:
            taken = self._room.submit(jobs)
            await self._room.intake.durable()
            views = [self._view(job) for job in taken]
        if many:
            return _json(202, PageView(views, None))
        response = _json(202, views[0])
        response.headers["Location"] = f"{WAITING_PATH}/{views[0].id}"
        return response

    # ---- Asking ----

    def _view(self, job: Job) -> JobView:
        ahead = self._room.position(job) if job.state in (JobState.READY, JobState.AWAITING_IDLE) else None
        return _view(RecalledJob(job, self._room.result(job.id)), ahead)

    async def _ended(self, id_: str, query: dict[str, list[str]]) -> RecalledJob:
        text = query.get("wait_ms", ["0"])[0]
        if not text.isdecimal() or len(text) > 9:
            raise Fault(400, "wait_ms is not a number of milliseconds")
        known = await self._known(id_)
        if known.result is None and self._room.find(id_) is not None:
            return RecalledJob(known.job, await self._room.wait(id_, int(text) / 1000))
        return known

    async def _ask(self, id_: str, query: dict[str, list[str]]) -> web.Response:
        known = await self._ended(id_, query)
        return _json(200, self._view(known.job) if self._room.find(id_) is known.job else _view(known))

    async def _result(self, id_: str, query: dict[str, list[str]]) -> web.Response:
        known = await self._ended(id_, query)
        final = known.result
        if final is None:
            return _json(202, self._view(known.job))
        answer = final.answer()
        if answer.kind is AnswerKind.CLIENT_DISCONNECTED:
            return Understood(status=410, text="cancelled\n")
        headers = answer_headers(answer) | {"Job-End": final.outcome.value, "Job-Ran": final.run_state.value}
        body = answer.body
        if final.outcome is not JobOutcome.SERVED:
            never_ran = "; it never ran" if final.run_state is RunState.NEVER_RAN else ""
            body = f"{final.reason}{never_ran}\n".encode()
        return web.Response(status=STATUS[answer.kind], headers=headers, body=body)

    # ---- Proof ----

    async def _late_end(self, id_: str, body: bytes) -> web.Response:
        form = _decoded(body, EndForm)
        end = {"done": JobOutcome.SERVED, "failed": JobOutcome.FAILED, "returned": None}[form.state]
        reason = "" if end is JobOutcome.SERVED else "its worker said so, late"
        done = self._room.deliver_late_result(id_, form.lease, end, form.result.encode(), reason)
        return await self._proven(id_, done)

    async def _resolve(self, id_: str, body: bytes) -> web.Response:
        form = _decoded(body, ResolveForm)
        end = {"served": JobOutcome.SERVED, "failed": JobOutcome.FAILED, "never_ran": None}[form.end]
        if not form.by or len(form.by) > MOST_TENANT or not form.by.isprintable():
            raise Fault(400, "by is the name of whoever says so")
        done = self._room.resolve(id_, form.by, end, form.result.encode(), form.reason)
        return await self._proven(id_, done)

    async def _proven(self, id_: str, done: bool) -> web.Response:
        await self._room.intake.durable()
        known = await self._known(id_)
        return _json(200 if done else 409, _view(known))

    def _list(self, query: dict[str, list[str]]) -> web.Response:
        unknown = set(query) - {"state", "class", "tenant", "after", "limit"}
        if unknown:
            raise Fault(400, f"no such filter: {sorted(unknown)[0]}")
        after, limit = query.get("after", ["0"])[0], query.get("limit", ["100"])[0]
        if not (after.isdecimal() and limit.isdecimal() and len(after + limit) < 24 and int(limit) > 0):
            raise Fault(400, "after and limit are whole numbers")
        jobs, more = self._room.page(int(after), int(limit), _filter(query))
        return _json(200, PageView([self._view(job) for job in jobs], more))

    async def _cancel(self, id_: str) -> web.Response:
        job = self._room.cancel(id_)
        if job is not None:
            if job.durable and job.outcome is not None:
                await self._room.intake.durable()
            return _json(200 if job.outcome is not None else 202, self._view(job))
        return _json(409, _view(await self._known(id_)))

    async def _known(self, id_: str) -> RecalledJob:
        known = await self._room.recall(id_)
        if known is None:
            raise JobRejectedError(RejectionCode.UNKNOWN_JOB, "no such job, or its end is no longer kept")
        return known


def _view(known: RecalledJob, ahead: int | None = None) -> JobView:
    job, final = known.job, known.result
    view = JobView(job.id, job.job_class, job.state.value, ahead, job.submissions)
    if final is not None:
        view.end, view.ran, view.reason = final.outcome.value, final.run_state.value, final.reason or None
        view.retry_after_s, view.by = final.retry_after_s or None, final.resolved_by or None
    elif job.state is JobState.INDETERMINATE:
        view.ran, view.reason = job.run_state.value, job.reason
    return view


def _decoded(body: bytes, form: type[F]) -> F:
    try:
        return msgspec.json.decode(body, type=form)
    except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
        raise Fault(400, f"not as described: {fault}") from None


def _filter(query: dict[str, list[str]]) -> Callable[[Job], bool]:
    states = query.get("state", [])
    if set(states) - {state.value for state in JobState}:
        raise Fault(400, "no such state")
    classes, tenants = query.get("class", []), query.get("tenant", [])
    return lambda job: (
        (not states or job.state.value in states)
        and (not classes or job.job_class in classes)
        and (not tenants or job.tenant in tenants)
    )


def _rejected(fault: JobRejectedError) -> web.Response:
    body = msgspec.json.encode({"error": fault.code.value, "text": fault.text})
    response = Understood(status=STATUSES.get(fault.code, UNFIT), body=body, content_type=JSON)
    if fault.retry_after_s:
        response.headers["Retry-After"] = f"{fault.retry_after_s:.3f}"
    return response


def _json(status: int, view: JobView | PageView) -> web.Response:
    return Understood(status=status, body=msgspec.json.encode(view), content_type=JSON)


def _print(*parts: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()


def _token(request: BaseRequest) -> str:
    return read_idempotency_key(single(request.headers, "Idempotency-Key"))


def _tenant(text: str) -> str:
    if len(text) > MOST_TENANT or not text.isprintable():
        raise Fault(400, "the tenant is malformed")
    return text


def _time(text: str, name: str) -> float:
    form = DEADLINE_FORM.fullmatch(text)
    if not form:
        raise Fault(400, f"{name} is malformed")
    return float(form[1]) * UNITS[form[2]]


def _unix(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < 1e12:
        raise Fault(400, "Wait-Until is not a Unix time in seconds")
    return value


def _parents(text: str | None) -> tuple[Dependency, ...]:
    """As `ID, ID;ended, ...`."""
    parents = []
    for part in (text or "").split(","):
        id_, _, when = part.strip().partition(";")
        if not id_ and not when:
            continue
        if when not in ("", "served", "ended"):
            raise Fault(400, "Wait-After is malformed")
        parents.append(Dependency(read_id(id_.strip()), DependencyCondition(when or "served")))
    return tuple(parents)

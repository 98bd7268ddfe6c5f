"""What a client's request must look like, and how an answer is worded."""

from __future__ import annotations

import re
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from urllib.parse import parse_qs

from multidict import MultiMapping

from ..core.request import Answer, AnswerKind, Request
from .limits import MAX_DEADLINE_S

ID_FORM = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:~-]{0,127}", re.ASCII)
DEADLINE_FORM = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([mu])", re.ASCII)
MOST_IDEMPOTENCY_KEY = 255  # bytes
IDEMPOTENCY_KEY_FORM = re.compile(rf"[!-~]{{1,{MOST_IDEMPOTENCY_KEY}}}", re.ASCII)
TARGET_FORM = re.compile(r"/(?:[!-~]*)", re.ASCII)
UNITS = {"m": 1e-3, "u": 1e-6}
STATUS = {AnswerKind.SERVED: 200, AnswerKind.REJECTED: 503, AnswerKind.FAILED: 502}


@dataclass(slots=True)
class Fault(Exception):
    """The request is not one: answered with a 4xx and never passed on."""

    status: int
    text: str


def single(headers: MultiMapping[str], name: str) -> str | None:
    """A header that must not come twice: who reads the first and who the last would differ about it."""
    values = headers.getall(name, [])
    if len(values) > 1:
        raise Fault(400, f"{name} is repeated")
    return values[0] if values else None


def read_class(path: str, kind: str | None, method: str, classes: Collection[str]) -> str:
    """The class, which the path and Req-Kind both name."""
    name = path[1:].split("/", 1)[0]
    if name not in classes:
        raise Fault(404, "no such path")
    if method != "POST":
        raise Fault(405, "jobs come by POST")
    if kind is None:
        raise Fault(400, "Req-Kind is missing")
    if kind != name:
        raise Fault(400, "Req-Kind is not the class of the path")
    return name


def read_id(text: str | None) -> str:
    """The id, safe to pass on in a header."""
    if text is None or not ID_FORM.fullmatch(text):
        raise Fault(400, "Req-Id is missing or malformed")
    return text


def read_idempotency_key(text: str | None) -> str:
    """The client's own name for the work, safe to pass on in a header; empty if it gave none."""
    if text is None:
        return ""
    if not IDEMPOTENCY_KEY_FORM.fullmatch(text):
        raise Fault(
            400, f"an Idempotency-Key is 1 to {MOST_IDEMPOTENCY_KEY} printable characters without a space"
        )
    return text


def read_deadline(text: str | None) -> float:
    """How many seconds the client will wait."""
    form = DEADLINE_FORM.fullmatch(text or "")
    patience = float(form[1]) * UNITS[form[2]] if form else 0.0
    if not 0 < patience <= MAX_DEADLINE_S:
        raise Fault(400, "Req-Deadline is missing or malformed")
    return patience


def read_extras(text: str | None) -> dict[str, str]:
    """The further figures, as name=value,name=value."""
    pairs = (part.partition("=") for part in (text or "").split(",") if part.strip())
    extras = {}
    for name, sep, value in pairs:
        if not sep:
            raise Fault(400, "Req-Extra is malformed")
        extras[name.strip()] = value.strip()
    return extras


def read_slots(extras: Mapping[str, str]) -> int:
    """How many slots the job takes."""
    text = extras.get("slots", "1")
    try:
        slots = int(float(text))
    except (ValueError, OverflowError):
        slots = 0
    if not 1 <= slots <= 1024:
        raise Fault(400, "Req-Extra is malformed")
    return slots


def read_target(target: str) -> tuple[str, str]:
    """Path and query. What is not a path of ours would name another host when it is passed on."""
    if not TARGET_FORM.fullmatch(target):
        raise Fault(400, "the target is not a path")
    path, _, query = target.partition("?")
    return path, query


def read_req(
    method: str, target: str, headers: MultiMapping[str], body: bytes, classes: Collection[str]
) -> Request:
    """The whole request as the core takes it."""
    path, query = read_target(target)
    name = read_class(path, single(headers, "Req-Kind"), method, classes)
    extras = read_extras(single(headers, "Req-Extra"))
    return Request(
        id=read_id(single(headers, "Req-Id")),
        job_class=name,
        timeout_s=read_deadline(single(headers, "Req-Deadline")),
        target=target,
        payload=body,
        key=parse_qs(query).get("obj", [None])[0],
        slots=read_slots(extras),
        is_retry=single(headers, "Req-Retry") == "1",
        extras=extras,
        idempotency_key=read_idempotency_key(single(headers, "Idempotency-Key")),
    )


def answer_headers(answer: Answer) -> dict[str, str]:
    """The headers beside the body; a refusal tells when to come back."""
    if answer.kind is AnswerKind.REJECTED and answer.retry_after_s > 0:
        return {"Retry-After": f"{answer.retry_after_s:.3f}"}
    return {}

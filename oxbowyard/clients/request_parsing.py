"""Parses the target and the headers of a client's request into a `Request` for the scheduler core.

The functions raise BadRequestError for malformed input.
"""

from __future__ import annotations

import re
from collections.abc import Collection, Mapping
from urllib.parse import parse_qs

from multidict import MultiMapping

from ..core.request import Request
from .errors import BadRequestError, MethodNotAllowedError, PathNotFoundError
from .limits import MAX_DEADLINE_S

ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:~-]{0,127}", re.ASCII)
DURATION_PATTERN = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([mu])", re.ASCII)
MAX_IDEMPOTENCY_KEY_BYTES = 255
IDEMPOTENCY_KEY_PATTERN = re.compile(rf"[!-~]{{1,{MAX_IDEMPOTENCY_KEY_BYTES}}}", re.ASCII)
TARGET_PATTERN = re.compile(r"/(?:[!-~]*)", re.ASCII)
UNIT_S = {"m": 1e-3, "u": 1e-6}
MAX_SLOTS = 1024


def single_header(headers: MultiMapping[str], name: str) -> str | None:
    """Return the value of a header that must not be repeated; None if it is absent."""
    values = headers.getall(name, [])
    if len(values) > 1:
        raise BadRequestError(f"{name} is repeated")
    return values[0] if values else None


def parse_class(path: str, kind: str | None, method: str, classes: Collection[str]) -> str:
    """Return the job class, which the path and the header Req-Kind both name.

    Raises:
        PathNotFoundError: The path does not name one of `classes`.
        MethodNotAllowedError: The method is not POST.
    """
    name = path[1:].split("/", 1)[0]
    if name not in classes:
        raise PathNotFoundError("no such path")
    if method != "POST":
        raise MethodNotAllowedError("jobs come by POST")
    if kind is None:
        raise BadRequestError("Req-Kind is missing")
    if kind != name:
        raise BadRequestError("Req-Kind is not the class of the path")
    return name


def parse_id(text: str | None) -> str:
    """Return the request id, checked to be safe for use in a header."""
    if text is None or not ID_PATTERN.fullmatch(text):
        raise BadRequestError("Req-Id is missing or malformed")
    return text


def parse_idempotency_key(text: str | None) -> str:
    """Return the idempotency key, checked to be safe for use in a header; empty if the client sent none."""
    if text is None:
        return ""
    if not IDEMPOTENCY_KEY_PATTERN.fullmatch(text):
        raise BadRequestError(
            f"an Idempotency-Key is 1 to {MAX_IDEMPOTENCY_KEY_BYTES} printable characters without a space"
        )
    return text


def parse_duration(text: str) -> float | None:
    """Parse a duration such as `480m` (milliseconds) or `5u` (microseconds) to seconds; None if malformed."""
    match = DURATION_PATTERN.fullmatch(text)
    return float(match[1]) * UNIT_S[match[2]] if match else None


def parse_deadline(text: str | None) -> float:
    """Return how long the client waits for the answer, in seconds."""
    deadline_s = parse_duration(text or "")
    if deadline_s is None or not 0 < deadline_s <= MAX_DEADLINE_S:
        raise BadRequestError("Req-Deadline is missing or malformed")
    return deadline_s


def parse_extras(text: str | None) -> dict[str, str]:
    """Parse the extra values of a request, in the form `name=value,name=value`."""
    pairs = (item.partition("=") for item in (text or "").split(",") if item.strip())
    extras = {}
    for name, separator, value in pairs:
        if not separator:
            raise BadRequestError("Req-Extra is malformed")
        extras[name.strip()] = value.strip()
    return extras


def parse_slots(extras: Mapping[str, str]) -> int:
    """Return the number of worker slots that the job occupies."""
    text = extras.get("slots", "1")
    try:
        slots = int(float(text))
    except (ValueError, OverflowError):
        slots = 0
    if not 1 <= slots <= MAX_SLOTS:
        raise BadRequestError("Req-Extra is malformed")
    return slots


def split_target(target: str) -> tuple[str, str]:
    """Split a target into path and query. Other forms are rejected, because they could name another host when
    the request is forwarded."""
    if not TARGET_PATTERN.fullmatch(target):
        raise BadRequestError("the target is not a path")
    path, _, query = target.partition("?")
    return path, query


def parse_request(
    method: str, target: str, headers: MultiMapping[str], body: bytes, classes: Collection[str]
) -> Request:
    """Parse a complete request for the scheduler core. Raises RequestError if it is not valid."""
    path, query = split_target(target)
    name = parse_class(path, single_header(headers, "Req-Kind"), method, classes)
    extras = parse_extras(single_header(headers, "Req-Extra"))
    return Request(
        id=parse_id(single_header(headers, "Req-Id")),
        job_class=name,
        timeout_s=parse_deadline(single_header(headers, "Req-Deadline")),
        target=target,
        payload=body,
        key=parse_qs(query).get("obj", [None])[0],
        slots=parse_slots(extras),
        is_retry=single_header(headers, "Req-Retry") == "1",
        extras=extras,
        idempotency_key=parse_idempotency_key(single_header(headers, "Idempotency-Key")),
        is_id_from_client=True,
    )

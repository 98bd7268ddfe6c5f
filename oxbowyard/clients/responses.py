"""HTTP responses for the answers of the scheduler core and for rejected requests."""

from __future__ import annotations

from http import HTTPStatus

from aiohttp import web
from aiohttp.web_request import BaseRequest

from ..core.request import Answer, AnswerKind
from .errors import RequestError

STATUS_BY_ANSWER = {AnswerKind.SERVED: 200, AnswerKind.REJECTED: 503, AnswerKind.FAILED: 502}
MEMORY_RETRY_AFTER = "1.000"  # seconds


class KeepAliveResponse(web.Response):
    """A response to a well-formed request. The connection stays open even if the status is 4xx."""


def answer_headers(answer: Answer) -> dict[str, str]:
    """Return the headers for an answer: a rejection has a Retry-After in seconds."""
    if answer.kind is AnswerKind.REJECTED and answer.retry_after_s > 0:
        return {"Retry-After": f"{answer.retry_after_s:.3f}"}
    return {}


def answer_response(answer: Answer) -> web.Response:
    """Create the response to a request that the scheduler core has answered."""
    body = answer.body if answer.kind is AnswerKind.SERVED else answer.reason.encode()
    return web.Response(status=STATUS_BY_ANSWER[answer.kind], headers=answer_headers(answer), body=body)


def error_response(request: BaseRequest, error: RequestError) -> web.Response:
    """Create the response to a rejected request."""
    response = web.Response(status=error.status, text=error.text + "\n")
    if error.status == HTTPStatus.SERVICE_UNAVAILABLE:
        response.headers["Retry-After"] = MEMORY_RETRY_AFTER
    if error.status == HTTPStatus.METHOD_NOT_ALLOWED:
        response.headers["Allow"] = "POST"
    if not request.content.is_eof():  # the rest of the body will not be read
        response.force_close()
    return response


def empty_response(status: HTTPStatus) -> bytes:
    """Return the bytes of a response without a body that closes the connection."""
    line = f"HTTP/1.1 {status.value} {status.phrase}"
    retry = f"Retry-After: {MEMORY_RETRY_AFTER}\r\n" if status is HTTPStatus.SERVICE_UNAVAILABLE else ""
    return f"{line}\r\n{retry}Content-Length: 0\r\nConnection: close\r\n\r\n".encode()

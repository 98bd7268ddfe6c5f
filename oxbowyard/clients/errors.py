"""Errors that answer a client's request before it reaches the scheduler.

Clients receive the texts in the response body, so a change of a text is a change of the protocol.
"""

from __future__ import annotations

from http import HTTPStatus


class RequestError(Exception):
    """The request is rejected with `status` and `text`, and has not run on any worker."""

    status = HTTPStatus.INTERNAL_SERVER_ERROR

    def __init__(self, text: str) -> None:
        super().__init__(text)
        self.text = text


class BadRequestError(RequestError):
    """The request is malformed."""

    status = HTTPStatus.BAD_REQUEST


class PathNotFoundError(RequestError):
    """The path does not exist."""

    status = HTTPStatus.NOT_FOUND


class MethodNotAllowedError(RequestError):
    """The path does not support the method."""

    status = HTTPStatus.METHOD_NOT_ALLOWED


class BodyTimeoutError(RequestError):
    """The body did not arrive in time."""

    status = HTTPStatus.REQUEST_TIMEOUT


class BodyTooLargeError(RequestError):
    """The body is larger than the limit."""

    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class RequestTooLateError(RequestError):
    """The request waited until its time was over. It is safe to retry."""

    status = HTTPStatus.SERVICE_UNAVAILABLE


class RequestMemoryFullError(RequestError):
    """The memory for requests is exhausted. The request is safe to retry."""

    status = HTTPStatus.SERVICE_UNAVAILABLE

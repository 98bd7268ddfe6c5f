"""Errors that a client's request is answered with instead of being passed on to the scheduler.

The texts are on the wire: they stay as they are.
"""

from __future__ import annotations

from http import HTTPStatus


class RequestError(Exception):
    """The request is not accepted. It is answered with `status` and `text`, and has not run anywhere."""

    status = HTTPStatus.INTERNAL_SERVER_ERROR

    def __init__(self, text: str) -> None:
        super().__init__(text)
        self.text = text


class BadRequestError(RequestError):
    """The request is malformed."""

    status = HTTPStatus.BAD_REQUEST


class PathNotFoundError(RequestError):
    """Nothing is served below the path."""

    status = HTTPStatus.NOT_FOUND


class MethodNotAllowedError(RequestError):
    """The path is not served by this method."""

    status = HTTPStatus.METHOD_NOT_ALLOWED


class BodyTimeoutError(RequestError):
    """The body did not arrive in time."""

    status = HTTPStatus.REQUEST_TIMEOUT


class BodyTooLargeError(RequestError):
    """The body is larger than the limit."""

    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class BodyMemoryFullError(RequestError):
    """The bodies in memory leave no place for this one. A retry does no harm."""

    status = HTTPStatus.SERVICE_UNAVAILABLE

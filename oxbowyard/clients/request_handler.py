"""Reads one request from its connection, passes it to the scheduler core and returns the response."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterator
from contextlib import contextmanager
from dataclasses import replace

from aiohttp import web
from aiohttp.web_request import BaseRequest

from ..core.memory_budget import Holder, MemoryBudget
from ..core.scheduler import Scheduler
from ..listeners.disconnects import peer_disconnected
from .connection import Connection
from .errors import (
    BadRequestError,
    BodyTimeoutError,
    BodyTooLargeError,
    RequestMemoryFullError,
    RequestTooLateError,
)
from .limits import MAX_BODY_BYTES, REQUEST_TIMEOUT_S
from .memory_costs import BODY_COPIES, OPEN_REQUEST_BYTES
from .request_input import abort_body
from .request_parsing import parse_class, parse_request, single_header, split_target
from .responses import answer_response

BYTES_PER_KIB = 1024
MIN_TIME_LEFT_S = 0.02  # of a request that waited to be parsed


async def serve_request(
    http_request: BaseRequest,
    scheduler: Scheduler,
    classes: Collection[str],
    memory: MemoryBudget | None = None,
) -> web.Response:
    """Read, schedule and answer one request.

    Args:
        http_request: The request; its body must not have been read yet.
        scheduler: The scheduler core.
        classes: The job classes that clients may name.
        memory: The budget that the request draws from; None for no limit.

    Raises:
        RequestError: The request is rejected.
    """
    # Checked before the body is read, so that a request for an unknown path is answered at once.
    path, _ = split_target(http_request.raw_path)
    parse_class(path, single_header(http_request.headers, "Req-Kind"), http_request.method, classes)
    size_bytes = MAX_BODY_BYTES if http_request.content_length is None else http_request.content_length
    if size_bytes > MAX_BODY_BYTES:
        raise _body_too_large(MAX_BODY_BYTES)
    with reserve_memory(http_request, memory, size_bytes):
        payload = await read_body(http_request)
        request = parse_request(
            http_request.method, http_request.raw_path, http_request.headers, payload, classes
        )
        request = replace(
            request,
            timeout_s=_time_left_s(http_request, request.timeout_s),
            client_connected=lambda: _is_client_connected(http_request),
        )
        answer = await scheduler.serve(request)
    return answer_response(answer)


@contextmanager
def reserve_memory(request: BaseRequest, memory: MemoryBudget | None, body_bytes: int) -> Iterator[None]:
    """Reserve memory for a request with a body of up to `body_bytes` for the duration of the context.

    Raises:
        RequestMemoryFullError: There is too little.
    """
    if memory is None:
        yield
        return
    reservation = memory.open(Holder.REQUESTS)
    if not reservation.try_resize(OPEN_REQUEST_BYTES + BODY_COPIES * body_bytes):
        raise _memory_full()
    connection = request.protocol if isinstance(request.protocol, Connection) else None
    if connection is not None:
        connection.reservation = reservation
    try:
        yield
    finally:
        reservation.release()
        if connection is not None:
            connection.reservation = None


async def read_body(request: BaseRequest, max_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Read the complete body of a request before the connection's deadline for the request.

    Raises:
        BodyTooLargeError: The body has more than `max_bytes` bytes.
        BodyTimeoutError: The body did not arrive in time.
        RequestMemoryFullError: The memory was needed for other clients meanwhile.
        BadRequestError: The client disconnected before the end of the body.
    """
    body = bytearray()
    # With `oxbowyard.middleware` the connection is aiohttp's own, which has no request deadline.
    connection = request.protocol if isinstance(request.protocol, Connection) else None
    deadline = asyncio.get_running_loop().time() + REQUEST_TIMEOUT_S
    if connection is not None:
        deadline = connection.request_deadline
        connection.body = request.content
        if connection.is_half_closed:
            abort_body(request.content)
    try:
        async with asyncio.timeout_at(deadline):
            while chunk := await request.content.readany():
                body += chunk
                if len(body) > max_bytes:
                    raise _body_too_large(max_bytes)
    except TimeoutError:
        raise BodyTimeoutError("the body did not come") from None
    except web.RequestPayloadError as error:
        # Its traceback refers to the future that holds it: a cycle, which would keep the request in memory.
        error.with_traceback(None)
        if connection is not None and connection.gave_way:
            raise _memory_full() from None
        raise BadRequestError("the body broke off") from None
    finally:
        if connection is not None:
            connection.body = None
    if connection is not None:
        connection.on_request_complete()
    return bytes(body)


def check_body_size(request: BaseRequest, max_bytes: int) -> int:
    """Return the number of bytes to reserve for the body of a request.

    Raises:
        BodyTooLargeError: The request announces more than `max_bytes`.
    """
    size_bytes = request.content_length
    if size_bytes is None:
        size_bytes = max_bytes if request.can_read_body else 0
    if size_bytes > max_bytes:
        raise _body_too_large(max_bytes)
    return size_bytes


def _time_left_s(request: BaseRequest, timeout_s: float) -> float:
    """Return how long the client still waits: its time began when its last byte was received, which may have
    waited to be parsed.

    Raises:
        RequestTooLateError: Too little is left for an answer.
    """
    if not isinstance(request.protocol, Connection):
        return timeout_s
    left_s = timeout_s - request.protocol.waited_s
    if left_s <= min(MIN_TIME_LEFT_S, timeout_s / 2):
        raise RequestTooLateError("too little time is left")
    return left_s


def _memory_full() -> RequestMemoryFullError:
    return RequestMemoryFullError("too much is held already")


def _body_too_large(max_bytes: int) -> BodyTooLargeError:
    return BodyTooLargeError(f"a body holds {max_bytes // BYTES_PER_KIB} KiB at most")


def _is_client_connected(request: BaseRequest) -> bool:
    connection = request.protocol
    if isinstance(connection, Connection):
        return connection.is_client_connected()
    return not peer_disconnected(connection.transport)

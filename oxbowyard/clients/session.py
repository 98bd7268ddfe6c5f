"""Client sessions on aiohttp's low-level server. What they ask goes to the core; nothing is decided here."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Collection, Iterable, Iterator
from contextlib import contextmanager, nullcontext
from dataclasses import replace

from aiohttp import web
from aiohttp.web_request import BaseRequest

from ..core.request import AnswerKind
from ..core.scheduler import Scheduler
from ..listeners.disconnects import is_readable, peer_disconnected
from .connection import Connection, Phase
from .connection_set import ConnectionSet
from .limits import MAX_BODY_BYTES, MAX_STRANGERS_SHARE, REQUEST_TIMEOUT_S, SHORT, SLOW, UNUSED, YOUNG
from .wording import STATUS, Fault, answer_headers, read_class, read_req, read_target, single

log = logging.getLogger("oxbowyard.clients")

FULL_RETRY_AFTER = "1.000"  # seconds, when the bodies held allow no more

# Who goes first when room is needed, each after so long in its phase; of several, the one longest in it.
# Never one whose answer is owed. A stranger is silent or has asked for /up alone; clients bring reqs at once.
DISPENSABLE: tuple[tuple[Callable[[Connection], bool], float], ...] = (
    (lambda c: c.phase is Phase.DRAINING, 0.0),
    (lambda c: c.is_stranger, YOUNG),
    (lambda c: c.phase is Phase.KEPT, UNUSED),
    (lambda c: c.phase is Phase.UNFINISHED, SLOW),
)
# When none of these has gone on for so long: unless so many strangers are here that their turn comes soon.
WANTED = ((lambda c: c.phase is Phase.KEPT, SHORT), (lambda c: c.phase is Phase.UNFINISHED, SHORT))


WAITING_PATH = "/jobs"  # where waiting jobs are, if they are switched on


def is_waiting_path(target: str) -> bool:
    """The paths of waiting jobs."""
    path = target.partition("?")[0]
    return path == WAITING_PATH or path.startswith(WAITING_PATH + "/")


class Bodies:
    """The bytes of all bodies that are held, from when one is announced until its answer is known."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._held = 0

    @contextmanager
    def hold(self, size: int) -> Iterator[None]:
        """Hold so much; there is no room for it if that is past the bound."""
        if self._held + size > self._most:
            raise Fault(503, "too much is held already")
        self._held += size
        try:
            yield
        finally:
            self._held -= size


Waiting = Callable[[BaseRequest, Bodies | None], Awaitable[web.StreamResponse]]  # raises Fault


class ClientSessions(ConnectionSet):
    """Takes requests off the clients' connections and answers them."""

    def __init__(
        self,
        scheduler: Scheduler,
        classes: Collection[str],
        is_up: Callable[[], bool],
        most: int,
        most_bytes: int,
        waiting: Waiting | None = None,
    ) -> None:
        super().__init__(self._handle, most)
        self._scheduler = scheduler
        self.classes = classes  # that clients may name; other settings may bring others
        self._is_up = is_up
        self._bodies = Bodies(most_bytes)
        self._waiting = waiting
        self._closing = False
        self._emptied: asyncio.Future[None] | None = None  # awaited when all are to end

    def left(self, connection: Connection) -> None:
        """A connection has ended."""
        super().left(connection)
        if not self._open and self._emptied is not None and not self._emptied.done():
            self._emptied.set_result(None)

    def evict_idle_connection(self) -> bool:
        """Close the connection that is needed least; its descriptor is free a moment later."""
        now = asyncio.get_running_loop().time()
        if self._close_one(DISPENSABLE, now):
            return True
        if sum(c.is_stranger for c in self._open) >= MAX_STRANGERS_SHARE * self._most:
            return False
        return self._close_one(WANTED, now)

    def _close_one(self, order: Iterable[tuple[Callable[[Connection], bool], float]], now: float) -> bool:
        for may_go, after in order:
            least = min((c for c in self._open if may_go(c)), key=lambda c: c.since, default=None)
            # What has come on it is read and taken first: closed now, a whole request would be lost unheard.
            heard = least is None or least.phase is Phase.DRAINING or not least.unheard
            if least is not None and now - least.since >= after and heard:
                self._evict(least)
                return True
        return False

    def wind_down(self) -> None:
        """From now on each answer closes its connection."""
        self._closing = True

    def wind_up(self) -> None:
        """Connections are kept again after their answers."""
        self._closing = False

    def close_idle(self) -> None:
        """Close the connections kept between requests, but those on which the next one has come by now. One
        that crosses the close is sent again by its client: a close between requests is allowed."""
        for connection in [c for c in self._open if c.phase is Phase.KEPT and not is_readable(c.transport)]:
            connection.force_close()

    async def close(self, within: float) -> None:
        """Close every connection once nothing is owed on it: the answers are written, and what has come
        unread is read and answered. No new one may come by now."""
        for connection in list(self._open):
            connection.wind_down()
        try:
            async with asyncio.timeout(within):
                while self._open:
                    self._emptied = asyncio.get_running_loop().create_future()
                    await self._emptied
        except TimeoutError:
            log.error("%d connections cut off with an answer owed", len(self._open))
            for connection in list(self._open):
                connection.force_close()

    async def _handle(self, request: BaseRequest) -> web.StreamResponse:
        try:
            response = await self._respond(request)
        except Fault as fault:
            response = fault_response(request, fault)
        except asyncio.CancelledError:
            raise
        except Exception:
            log.exception("fault while answering %s", request.path)
            response = web.Response(status=500, text="internal fault\n")
        if self._closing:
            response.force_close()
        return response

    async def _respond(self, request: BaseRequest) -> web.StreamResponse:
        target = request.raw_path
        if target.partition("?")[0] == "/up":
            return self._up(request)
        if self._waiting is not None and is_waiting_path(target):
            return await self._waiting(request, self._bodies)
        return await schedule(request, self._scheduler, self.classes, self._bodies)

    def _up(self, request: BaseRequest) -> web.StreamResponse:
        if request.method not in ("GET", "HEAD"):
            raise Fault(405, "ask with GET")
        up = self._is_up() and not self._closing
        return web.Response(status=200 if up else 503, text="up\n" if up else "not up\n")


async def schedule(
    request: BaseRequest, scheduler: Scheduler, classes: Collection[str], bodies: Bodies | None = None
) -> web.Response:
    """One request, from its head to its answer; raises Fault for what is no proper request."""
    # Before the body is read: a request for nowhere is answered at once, however long its body is.
    path, _ = read_target(request.raw_path)
    read_class(path, single(request.headers, "Req-Kind"), request.method, classes)
    size = MAX_BODY_BYTES if request.content_length is None else request.content_length
    if size > MAX_BODY_BYTES:
        raise Fault(413, "a body holds 64 KiB at most")
    with bodies.hold(size) if bodies else nullcontext():
        payload = await read_body(request)
        req = read_req(request.method, request.raw_path, request.headers, payload, classes)
        answer = await scheduler.serve(replace(req, client_connected=lambda: _stays(request)))
    body = answer.body if answer.kind is AnswerKind.SERVED else answer.reason.encode()
    return web.Response(status=STATUS[answer.kind], headers=answer_headers(answer), body=body)


def _stays(request: BaseRequest) -> bool:
    connection = request.protocol
    if isinstance(connection, Connection):
        return connection.stays()
    return not peer_disconnected(connection.transport)


def fault_response(request: BaseRequest, fault: Fault) -> web.Response:
    """The 4xx for what is no proper request."""
    response = web.Response(status=fault.status, text=fault.text + "\n")
    if fault.status == 503:
        response.headers["Retry-After"] = FULL_RETRY_AFTER
    if fault.status == 405:
        response.headers["Allow"] = "POST"
    if not request.content.is_eof():  # what is left of its body is not read
        response.force_close()
    return response


async def read_body(request: BaseRequest, most: int = MAX_BODY_BYTES) -> bytes:
    """The whole body, of so many bytes at most, in the time that its connection has; raises Fault."""
    body = bytearray()
    # Elsewhere, as in an application with our middleware, the library's own connection ends with the body.
    connection = request.protocol if isinstance(request.protocol, Connection) else None
    finish_by = asyncio.get_running_loop().time() + REQUEST_TIMEOUT_S
    if connection is not None:
        finish_by = connection.finish_by
        connection.reading = request.content
        connection.break_off()
    try:
        async with asyncio.timeout_at(finish_by):
            while piece := await request.content.readany():
                body += piece
                if len(body) > most:
                    raise Fault(413, f"a body holds {most >> 10} KiB at most")
    except TimeoutError:
        raise Fault(408, "the body did not come") from None
    except web.RequestPayloadError:
        raise Fault(400, "the body broke off") from None
    finally:
        if connection is not None:
            connection.reading = None
    if connection is not None:
        connection.whole()
    return bytes(body)

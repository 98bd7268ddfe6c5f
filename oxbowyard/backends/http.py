"""Attempts over HTTP: one POST each, on a connection of its own, never sent again by the library."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import AsyncIterator, Collection, Mapping
from typing import Any

import aiohttp
from aiohttp.connector import Connection
from aiohttp.http_exceptions import HttpProcessingError
from yarl import URL

from ..core.request import (
    AttemptContext,
    AttemptOutcome,
    AttemptUpdate,
    Request,
    UpdateKind,
    lease_recorded,
    reason_not_to_send,
)
from ..decision.facade import Result
from ..discovery.registry import Registry
from .lines import MOST_LINES, LineReader, load_header, status_ending

log = logging.getLogger("oxbowyard.backends")

LAST_BYTE_AFTER = 0.010  # seconds that a job which must not run twice lacks its last byte and can't run yet
LINE_LIMIT = 1 << 18  # half of a line's bound: a result of 64 KiB may grow sixfold in JSON
MOST_ANSWER = 1 << 20  # bytes of the lines of one answer: a result, and progress every second for an hour
TAIL_WITHIN = 0.25  # seconds for the end of the chunks after the last line; else the connection is closed
MOST_TAIL = 1 << 16  # bytes of it
# What the library raises for an answer that breaks off or can't be read; a line past its bound is the third.
BROKEN = (aiohttp.ClientError, OSError, HttpProcessingError, ValueError)


TIME_LEFT = "Req-Deadline"  # header: milliseconds that the scheduler will wait, with the unit `m`


class _TimedRequest(aiohttp.ClientRequest):
    """Tells the time that is left as its headers are written: the connection may have come up late."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._made_at = self.loop.time()

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Write the headers, and begin with the body."""
        told = float(self.headers[TIME_LEFT].removesuffix("m"))
        self.headers[TIME_LEFT] = _milliseconds(told / 1000 - (self.loop.time() - self._made_at))
        return await super().send(conn)


class _NotSent(Exception):
    """The request may not be sent to the backend any more; the text says why."""


class HttpBackends:
    """The scan workers of the registry."""

    def __init__(
        self,
        registry: Registry,
        load_names: Mapping[str, str],
        connect_timeout: float,
        once: Collection[str] = (),
        most_tails: int = 64,
    ) -> None:
        self._registry = registry
        self._load_names = load_names
        self.once = once  # classes that must not run twice
        self._tails: set[asyncio.Task[None]] = set()
        self._most_tails = most_tails  # connections held for the end of an answer that is known
        self.relayed: Counter[str] = Counter()  # attempts written whole, by class
        self._session = aiohttp.ClientSession(
            request_class=_TimedRequest,
            # A connection an attempt: backends close kept ones early and unseen, or were restarted meanwhile,
            # and what is written to one may have run. A new one costs them 1 to 4 ms, little for a job.
            # The core bounds the requests and so the connections: a limit here would be a hidden queue.
            connector=aiohttp.TCPConnector(limit=0, limit_per_host=0, force_close=True),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout / 1000),
            auto_decompress=False,
            trust_env=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            read_bufsize=LINE_LIMIT,
        )

    async def close(self) -> None:
        """Close every connection."""
        for task in self._tails:
            task.cancel()
        await self._session.close()

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        """One attempt, from connect to the last line."""
        address = self._registry.address(backend)
        if address is None:
            return AttemptOutcome(Result.NOT_SENT, reason="backend is leaving or unknown")
        url = URL(f"http://{address}{request.target}", encoded=True)
        try:
            body = self._body(backend, address, request, context)
            response = await self._session.post(
                url, data=body, headers=_headers(request, context), allow_redirects=False
            )
        except _NotSent as why:
            return AttemptOutcome(Result.NOT_SENT, reason=str(why))
        except (aiohttp.ClientError, OSError) as fault:
            if isinstance(fault.__cause__, _NotSent):
                return AttemptOutcome(Result.NOT_SENT, reason=str(fault.__cause__))
            return _broken(fault, context)
        return await self._read(response, request, context)

    async def _body(
        self, backend: str, address: str, request: Request, context: AttemptContext
    ) -> AsyncIterator[bytes]:
        """Runs when the connection is up and nothing is sent: the headers go out with the body.

        `written` is set before the last byte goes: a break while it is written may leave it sent.
        """
        if self._registry.address(backend) != address:
            # Connecting took long: its drain second has passed, or it is at another address by now.
            raise _NotSent("backend left while connecting")
        held = 0
        if request.job_class in self.once and len(request.payload) > 1:
            # A backend that resets the connection at once does so before the last byte: then the job never
            # ran, and may go elsewhere. Written in one piece it would count as run.
            held = 1
            _still_allowed(request, context)  # an attempt begins with its first byte
            yield request.payload[:-held]
            await asyncio.sleep(LAST_BYTE_AFTER)
        # Before the last byte: a record that comes later may never come.
        await lease_recorded(request, backend)
        _still_allowed(request, context)
        context.written = True
        yield request.payload[-held:]
        self.relayed[request.job_class] += 1  # the library asks for more once the last piece is written

    async def _read(
        self, response: aiohttp.ClientResponse, request: Request, context: AttemptContext
    ) -> AttemptOutcome:
        kept = False
        try:
            load = load_header(response.headers.get("Srv-Load"), self._load_names)
            ending = status_ending(response.status, response.headers.get("Srv-Declined"), load)
            if ending is None:
                ending = await self._lines(response, request, context)
            self._drain_tail(response)
            kept = True
            return ending
        except BROKEN as fault:
            return _broken(fault, context)
        finally:
            if not kept:  # cut off by us or broken: bytes may be outstanding on it
                response.close()

    async def _lines(
        self, response: aiohttp.ClientResponse, request: Request, context: AttemptContext
    ) -> AttemptOutcome:
        reader = LineReader(request.id, self._load_names)
        told, size = False, 0
        while line := await response.content.readline():
            size += len(line)
            if size > MOST_ANSWER or reader.lines >= MOST_LINES:
                raise ValueError("answer without an end")
            ending = reader.take(line)
            if ending is not None:
                return ending
            if reader.began and not told:
                told = True
                context.on_started()
            elif reader.share is not None:
                context.on_update(AttemptUpdate(UpdateKind.STATUS, done=reader.share))
                reader.share = None
        return AttemptOutcome(Result.RESET, reason="answer ended before its last line")

    def _drain_tail(self, response: aiohttp.ClientResponse) -> None:
        """The answer is known: its connection is closed once the end of the chunks is read."""
        if response.content.at_eof():
            response.release()
            return
        if len(self._tails) >= self._most_tails:  # their descriptors are needed elsewhere
            response.close()
            return
        task = asyncio.create_task(_read_tail(response))
        self._tails.add(task)
        task.add_done_callback(self._tails.discard)


def _still_allowed(request: Request, context: AttemptContext) -> None:
    """Asked just before bytes of a request are written; raises if they may not be any more."""
    if why := reason_not_to_send(request, context):
        raise _NotSent(why)


async def _read_tail(response: aiohttp.ClientResponse) -> None:
    try:
        size = 0
        async with asyncio.timeout(TAIL_WITHIN):
            while size <= MOST_TAIL and (piece := await response.content.readany()):
                size += len(piece)
        if size > MOST_TAIL:
            raise ValueError("answer without an end")
        response.release()
    except (TimeoutError, *BROKEN):
        response.close()
    except asyncio.CancelledError:
        response.close()
        raise


def _headers(request: Request, context: AttemptContext) -> dict[str, str]:
    return {
        "Req-Id": request.id,
        "Req-Kind": request.backend_class or request.job_class,
        TIME_LEFT: _milliseconds(context.time_left_s),
        "Content-Length": str(len(request.payload)),
        # As the client sent it: a backend knows a repeat by it, and takes one that lacks it for another.
        **({"Idempotency-Key": request.idempotency_key} if request.idempotency_key else {}),
        **({"Job-Lease": request.lease} if request.lease else {}),
    }


def _milliseconds(seconds: float) -> str:
    return f"{max(round(seconds * 1000), 1)}m"


def _broken(fault: Exception, context: AttemptContext) -> AttemptOutcome:
    """Before the last byte was handed over it never ran; after that it may have."""
    return AttemptOutcome(Result.RESET if context.written else Result.UNREACHABLE, reason=repr(fault))

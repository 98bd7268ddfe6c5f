"""Attempts over HTTP: one POST each, on a connection of its own, never sent again by the library."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Collection, Mapping
from typing import Any

import aiohttp
from aiohttp.connector import Connection
from yarl import URL

from ..core.request import (
    AttemptContext,
    AttemptOutcome,
    AttemptUpdate,
    Request,
    UpdateKind,
    reason_not_to_send,
    wait_for_lease_record,
)
from ..decision.facade import Result
from ..discovery.registry import Registry
from .answer_lines import MAX_LINES, AnswerReader, outcome_of_status
from .answer_tail import ANSWER_READ_ERRORS, AnswerTooLongError, TailReader
from .load_report import parse_load_header

LAST_BYTE_DELAY_S = 0.010  # between the rest of a body and its last byte, for a job that must not run twice
READ_BUFFER_BYTES = 1 << 18  # the library reads lines of up to twice this; 64 KiB may grow sixfold in JSON
MAX_ANSWER_BYTES = 1 << 20  # a result, and progress every second for an hour
MAX_TAILS = 64

DEADLINE_HEADER = "Req-Deadline"  # milliseconds that the scheduler will wait, with the unit `m`
DECLINED_HEADER = "Srv-Declined"
LOAD_HEADER = "Srv-Load"


class _NotSentError(Exception):
    """The request must not be sent to the backend any more; the text says why."""


class _TimedRequest(aiohttp.ClientRequest):
    """Brings the deadline header up to date as it is written: the connection may have come up late."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._created_at = self.loop.time()

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Write the headers and begin with the body."""
        time_left_s = float(self.headers[DEADLINE_HEADER].removesuffix("m")) / 1000
        elapsed_s = self.loop.time() - self._created_at
        self.headers[DEADLINE_HEADER] = _format_ms(time_left_s - elapsed_s)
        return await super().send(conn)


class HttpBackends:
    """The transport to the scan workers of the registry.

    Args:
        registry: Where each backend listens, while it may be sent to.
        load_names: The decisions' names of the figures in a load report.
        connect_timeout_ms: How long a connection may take to come up.
        non_repeatable: The classes whose jobs must not run twice.
        max_tails: Connections held at once for the end of an answer whose outcome is known.
    """

    def __init__(
        self,
        registry: Registry,
        load_names: Mapping[str, str],
        connect_timeout_ms: float,
        non_repeatable: Collection[str] = (),
        max_tails: int = MAX_TAILS,
    ) -> None:
        self._registry = registry
        self._load_names = load_names
        self._tails = TailReader(max_tails)
        self._session = _session(connect_timeout_ms)
        self.non_repeatable = non_repeatable
        self.sent_attempts: Counter[str] = Counter()  # attempts sent completely, by class

    async def close(self) -> None:
        """Close every connection."""
        self._tails.cancel()
        await self._session.close()

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        """Send the request and read the answer, from the connect to the last line."""
        address = self._registry.address(backend)
        if address is None:
            return AttemptOutcome(Result.NOT_SENT, reason="backend is leaving or unknown")
        try:
            response = await self._session.post(
                URL(f"http://{address}{request.target}", encoded=True),
                data=self._body(backend, address, request, context),
                headers=_headers(request, context),
                allow_redirects=False,
            )
        except _NotSentError as reason:
            return AttemptOutcome(Result.NOT_SENT, reason=str(reason))
        except (aiohttp.ClientError, OSError) as fault:
            if isinstance(fault.__cause__, _NotSentError):
                return AttemptOutcome(Result.NOT_SENT, reason=str(fault.__cause__))
            return _outcome_of_broken_connection(fault, context)
        return await self._read_answer(response, request, context)

    async def _body(
        self, backend: str, address: str, request: Request, context: AttemptContext
    ) -> AsyncIterator[bytes]:
        """The body in pieces; the library asks for the first one when the connection is up, and sends the
        headers with it.

        `context.is_last_byte_written` is set before the last byte goes: a break while it is written may leave it sent.
        """
        if self._registry.address(backend) != address:
            # While it connected, its grace period for requests ended, or it moved to another address.
            raise _NotSentError("backend left while connecting")
        unsent = request.payload
        if request.job_class in self.non_repeatable and len(request.payload) > 1:
            # A backend that resets the connection at once does so before the last byte: then the job never
            # ran, and may go elsewhere. Written in one piece it would count as run.
            payload, last_byte = request.payload[:-1], request.payload[-1:]
            _check_still_wanted(request, context)  # an attempt begins with its first byte
            yield payload
            await asyncio.sleep(LAST_BYTE_DELAY_S)
            unsent = last_byte
        await wait_for_lease_record(
            request, backend
        )  # a record that comes after the last byte may never come
        _check_still_wanted(request, context)
        context.is_last_byte_written = True
        yield unsent
        self.sent_attempts[request.job_class] += 1  # the library asks for more once this piece is written

    async def _read_answer(
        self, response: aiohttp.ClientResponse, request: Request, context: AttemptContext
    ) -> AttemptOutcome:
        is_complete = False
        try:
            load = parse_load_header(response.headers.get(LOAD_HEADER), self._load_names)
            outcome = outcome_of_status(response.status, response.headers.get(DECLINED_HEADER), load)
            if outcome is None:
                outcome = await self._read_lines(response, request, context)
            self._tails.read(response)
            is_complete = True
            return outcome
        except ANSWER_READ_ERRORS as fault:
            return _outcome_of_broken_connection(fault, context)
        finally:
            if not is_complete:  # cancelled or broken: bytes may be outstanding on it
                response.close()

    async def _read_lines(
        self, response: aiohttp.ClientResponse, request: Request, context: AttemptContext
    ) -> AttemptOutcome:
        reader = AnswerReader(request.id, self._load_names)
        start_reported = False
        size = 0
        while line := await response.content.readline():
            size += len(line)
            if size > MAX_ANSWER_BYTES or reader.line_count >= MAX_LINES:
                raise AnswerTooLongError
            outcome = reader.read(line)
            if outcome is not None:
                return outcome
            if reader.is_started and not start_reported:
                start_reported = True
                context.on_started()
            elif reader.progress is not None:
                context.on_update(AttemptUpdate(UpdateKind.STATUS, done=reader.progress))
                reader.progress = None
        return AttemptOutcome(Result.RESET, reason="answer ended before its last line")


def _session(connect_timeout_ms: float) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        request_class=_TimedRequest,
        # A connection for each attempt: backends close kept ones early and unseen, or were restarted
        # meanwhile, and what is written to one may have run.
        # The core bounds the requests and so the connections: a limit here would be a hidden queue.
        connector=aiohttp.TCPConnector(limit=0, limit_per_host=0, force_close=True),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_ms / 1000),
        auto_decompress=False,
        trust_env=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        read_bufsize=READ_BUFFER_BYTES,
    )


def _headers(request: Request, context: AttemptContext) -> dict[str, str]:
    """The headers of an attempt, by the platform's names."""
    headers = {
        "Req-Id": request.id,
        "Req-Kind": request.backend_class or request.job_class,
        DEADLINE_HEADER: _format_ms(context.time_left_s),
        "Content-Length": str(len(request.payload)),
    }
    if request.idempotency_key:
        headers["Idempotency-Key"] = request.idempotency_key
    if request.lease:
        headers["Job-Lease"] = request.lease
    return headers


def _format_ms(seconds: float) -> str:
    return f"{max(round(seconds * 1000), 1)}m"


def _check_still_wanted(request: Request, context: AttemptContext) -> None:
    """Raise `_NotSentError` if no byte of the request may be written any more."""
    if reason := reason_not_to_send(request, context):
        raise _NotSentError(reason)


def _outcome_of_broken_connection(fault: Exception, context: AttemptContext) -> AttemptOutcome:
    """Before the last byte was handed over the request never ran; after that it may have."""
    result = Result.RESET if context.is_last_byte_written else Result.UNREACHABLE
    return AttemptOutcome(result, reason=repr(fault))

"""Attempts over HTTP: each is one POST on a connection of its own, which aiohttp never retries."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Collection, Mapping
from typing import Any

import aiohttp
from aiohttp.connector import Connection
from yarl import URL

from ..core.memory_budget import Holder, MemoryBudget
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
from .line_reader import LineReader
from .load_report import parse_load_header

LAST_BYTE_DELAY_S = 0.010  # before the last byte of a body, for a job that must not run twice
READ_CHUNK_BYTES = 16 * 1024  # read from one worker at once
READ_BUFFER_BYTES = 16 * 1024  # aiohttp pauses the connection past twice this of an answer that is not read
MAX_HEADER_BYTES = 4096
MAX_ANSWER_BYTES = 1 << 20  # enough for a result and progress every second for an hour
MAX_TAILS = 64
DEFAULT_BUDGET_BYTES = 64 << 20

DEADLINE_HEADER = "Req-Deadline"  # how long the scheduler waits, in milliseconds, with the unit suffix `m`
DECLINED_HEADER = "Srv-Declined"
LOAD_HEADER = "Srv-Load"


class _NotSentError(Exception):
    """The request must no longer be sent to the backend; the message is the reason."""


class _TimedRequest(aiohttp.ClientRequest):
    """Updates the deadline header when it is written, because connecting may have taken a while."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._created_at = self.loop.time()

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Write the headers and start writing the body."""
        time_left_s = float(self.headers[DEADLINE_HEADER].removesuffix("m")) / 1000
        if conn.transport is not None:
            conn.transport.max_size = READ_CHUNK_BYTES  # type: ignore[attr-defined]
        elapsed_s = self.loop.time() - self._created_at
        self.headers[DEADLINE_HEADER] = _format_ms(time_left_s - elapsed_s)
        return await super().send(conn)


class HttpBackends:
    """The transport to the scan workers of the registry.

    Args:
        registry: Provides the address of each backend that may be sent to.
        load_names: Maps the names of load values in a report to the dispatcher's names.
        connect_timeout_ms: Timeout for establishing a connection.
        non_repeatable: The classes whose jobs must not run twice.
        max_tails: Maximum number of connections that are read to the end of an answer whose outcome is known.
        memory: The budget that the answers draw from; None for one of this transport's own.
    """

    def __init__(
        self,
        registry: Registry,
        load_names: Mapping[str, str],
        connect_timeout_ms: float,
        non_repeatable: Collection[str] = (),
        max_tails: int = MAX_TAILS,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._registry = registry
        self._memory = memory or MemoryBudget(DEFAULT_BUDGET_BYTES)
        self._load_names = load_names
        self._tails = TailReader(max_tails)
        self._session = _session(connect_timeout_ms)
        self.non_repeatable = non_repeatable
        self.sent_attempts: Counter[str] = Counter()  # number of attempts sent completely, by class

    async def close(self) -> None:
        """Close every connection."""
        self._tails.cancel()
        await self._session.close()

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        """Connect to the backend, send the request and read the answer up to its last line."""
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
        except _NotSentError as error:
            return AttemptOutcome(Result.NOT_SENT, reason=str(error))
        except (aiohttp.ClientError, OSError) as fault:
            if isinstance(fault.__cause__, _NotSentError):
                return AttemptOutcome(Result.NOT_SENT, reason=str(fault.__cause__))
            return _outcome_of_broken_connection(fault, context)
        return await self._read_answer(response, request, context)

    async def _body(
        self, backend: str, address: str, request: Request, context: AttemptContext
    ) -> AsyncIterator[bytes]:
        """Yield the body in chunks. aiohttp requests the first when connected, and sends the headers with it.

        `context.is_last_byte_written` is set before the last byte is written: if the connection breaks during
        the write, the byte may have been sent.
        """
        if self._registry.address(backend) != address:
            # While connecting, the backend's drain grace period ended, or its address changed.
            raise _NotSentError("backend left while connecting")
        unsent = request.payload
        if request.job_class in self.non_repeatable and len(request.payload) > 1:
            # A backend that resets the connection immediately does so before the last byte: the job never ran
            # and may be sent to another backend. Written in one chunk, it would count as possibly run.
            payload, last_byte = request.payload[:-1], request.payload[-1:]
            _check_still_wanted(request, context)  # the attempt starts with its first byte
            yield payload
            await asyncio.sleep(LAST_BYTE_DELAY_S)
            unsent = last_byte
        # A lease recorded after the last byte could be lost in a crash.
        await wait_for_lease_record(request, backend)
        _check_still_wanted(request, context)
        if not context.claim_run():
            raise _NotSentError("its id was sent before")
        context.is_last_byte_written = True
        yield unsent
        self.sent_attempts[request.job_class] += 1  # aiohttp resumes the generator once the chunk is written

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
            if not is_complete:  # cancelled or broken: the connection may still receive bytes
                response.close()

    async def _read_lines(
        self, response: aiohttp.ClientResponse, request: Request, context: AttemptContext
    ) -> AttemptOutcome:
        allocation = self._memory.open(Holder.ANSWERS)
        try:
            return await self._read_lines_within(LineReader(response, allocation), request, context)
        finally:
            allocation.release()

    async def _read_lines_within(
        self, lines: LineReader, request: Request, context: AttemptContext
    ) -> AttemptOutcome:
        reader = AnswerReader(request.id, self._load_names)
        start_reported = False
        size = 0
        while line := await lines.read_line():
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
        # Each attempt has its own connection: backends may close an idle one early and unnoticed, or restart
        # meanwhile, and a request written to it would count as possibly run.
        # The core limits the open requests and thereby the connections; a limit here would be a hidden queue.
        connector=aiohttp.TCPConnector(limit=0, limit_per_host=0, force_close=True),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_ms / 1000),
        auto_decompress=False,
        trust_env=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        read_bufsize=READ_BUFFER_BYTES,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )


def _headers(request: Request, context: AttemptContext) -> dict[str, str]:
    """Return the headers of an attempt."""
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
    """Raise `_NotSentError` if no further byte of the request may be written."""
    if reason := reason_not_to_send(request, context):
        raise _NotSentError(reason)


def _outcome_of_broken_connection(fault: Exception, context: AttemptContext) -> AttemptOutcome:
    """Return the outcome: before the last byte was written the request never ran, afterwards it may have."""
    result = Result.RESET if context.is_last_byte_written else Result.UNREACHABLE
    return AttemptOutcome(result, reason=repr(fault))

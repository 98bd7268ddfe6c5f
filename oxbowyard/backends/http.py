"""Fetches over HTTP: one POST a fetch on kept connections, never sent again by the library."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Collection, Mapping

import aiohttp
from yarl import URL

from ..core.req import Ending, FetchNotes, Note, NoteKind, Req
from ..decision.facade import Result
from ..director.roster import Roster
from .lines import LineReader, load_header, status_ending

log = logging.getLogger("oxbowyard.backends")

IDLE_SHARE = 0.8  # connections are closed before the other side does: a req written then ends as a reset
LINE_LIMIT = 1 << 20  # a result of 64 KiB may grow sixfold in JSON
TAIL_WITHIN = 0.25  # seconds for the end of the chunks after the last line; else the connection is closed


class _Barred(Exception):
    """The backend may not be sent to any more."""


class HttpBackends:
    """The scan workers of the roster."""

    def __init__(
        self,
        roster: Roster,
        load_names: Mapping[str, str],
        connect_timeout: float,
        connect_idle: float,
        most_kept: int = 100,
        once: Collection[str] = (),
    ) -> None:
        self._roster = roster
        self._load_names = load_names
        self._tails: set[asyncio.Task[None]] = set()
        self._most_kept = most_kept
        self._once = once  # classes that must not run twice
        self._out = 0  # fetches on connections that are kept afterwards
        # The core bounds the reqs and so the connections: a limit here would be a hidden queue.
        self._pool = aiohttp.TCPConnector(
            limit=0, limit_per_host=0, keepalive_timeout=connect_idle / 1000 * IDLE_SHARE
        )
        self._kept = self._session(self._pool, connect_timeout)
        self._fresh = self._session(aiohttp.TCPConnector(limit=0, force_close=True), connect_timeout)

    @staticmethod
    def _session(connector: aiohttp.BaseConnector, connect_timeout: float) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=connector,
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
        await self._kept.close()
        await self._fresh.close()

    def _room_in_pool(self) -> bool:
        """Whether one more connection may be kept: each holds a descriptor, and the library has no bound."""
        idle = sum(map(len, self._pool._conns.values()))
        return idle + self._out < self._most_kept

    async def fetch(self, backend: str, req: Req, notes: FetchNotes) -> Ending:
        """One fetch, from connect to the last line."""
        address = self._roster.address(backend)
        if address is None:
            return Ending(Result.NOT_SENT, reason="backend is leaving or unknown")
        url = URL(f"http://{address}{req.target}", encoded=True)
        # A kept connection may be stale, if its backend was restarted or cut off meanwhile, and what is
        # written to it may have run: only what may be repeated goes there.
        if req.job_class in self._once or not self._room_in_pool():
            return await self._fetch(self._fresh, url, backend, req, notes)
        self._out += 1
        try:
            return await self._fetch(self._kept, url, backend, req, notes)
        finally:
            self._out -= 1

    async def _fetch(
        self, session: aiohttp.ClientSession, url: URL, backend: str, req: Req, notes: FetchNotes
    ) -> Ending:
        try:
            response = await session.post(
                url,
                data=self._body(backend, req, notes),
                headers=_headers(req, notes),
                allow_redirects=False,
            )
        except _Barred:
            return Ending(Result.NOT_SENT, reason="backend left while connecting")
        except (aiohttp.ClientError, OSError) as fault:
            if isinstance(fault.__cause__, _Barred):
                return Ending(Result.NOT_SENT, reason="backend left while connecting")
            return _broken(fault, notes)
        return await self._read(response, req, notes)

    async def _body(self, backend: str, req: Req, notes: FetchNotes) -> AsyncIterator[bytes]:
        """Runs when the connection is up and nothing is sent: the headers go out with the body.

        `written` is set before the bytes go: a break while they are written may leave the last one sent.
        """
        if self._roster.address(backend) is None:  # connecting took long and the drain second has passed
            raise _Barred
        notes.written = True
        yield req.payload

    async def _read(self, response: aiohttp.ClientResponse, req: Req, notes: FetchNotes) -> Ending:
        kept = False
        try:
            load = load_header(response.headers.get("Srv-Load"), self._load_names)
            ending = status_ending(response.status, response.headers.get("Srv-Declined"), load)
            if ending is None:
                ending = await self._lines(response, req, notes)
            self._drain_tail(response)
            kept = True
            return ending
        except (aiohttp.ClientError, OSError, ValueError) as fault:
            return _broken(fault, notes)
        finally:
            if not kept:  # cut off by us or broken: bytes may be outstanding on it
                response.close()

    async def _lines(self, response: aiohttp.ClientResponse, req: Req, notes: FetchNotes) -> Ending:
        reader = LineReader(req.id, self._load_names)
        told = False
        while line := await response.content.readline():
            ending = reader.take(line)
            if ending is not None:
                return ending
            if reader.began and not told:
                told = True
                notes.on_began()
            elif reader.share is not None:
                notes.on_note(Note(NoteKind.STATUS, done=reader.share))
                reader.share = None
        return Ending(Result.RESET, reason="answer ended before its last line")

    def _drain_tail(self, response: aiohttp.ClientResponse) -> None:
        """The answer is known: its connection goes back to the pool once the end of the chunks is read."""
        if response.content.at_eof():
            response.release()
            return
        task = asyncio.create_task(_read_tail(response))
        self._tails.add(task)
        task.add_done_callback(self._tails.discard)


async def _read_tail(response: aiohttp.ClientResponse) -> None:
    try:
        async with asyncio.timeout(TAIL_WITHIN):
            while await response.content.readany():
                pass
        response.release()
    except (TimeoutError, aiohttp.ClientError, OSError):
        response.close()
    except asyncio.CancelledError:
        response.close()
        raise


def _headers(req: Req, notes: FetchNotes) -> dict[str, str]:
    return {
        "Req-Id": req.id,
        "Req-Kind": req.job_class,
        "Req-Deadline": f"{max(round(notes.time_left * 1000), 1)}m",
        "Content-Length": str(len(req.payload)),
    }


def _broken(fault: Exception, notes: FetchNotes) -> Ending:
    """Before the last byte was handed over it never ran; after that it may have."""
    return Ending(Result.RESET if notes.written else Result.UNREACHABLE, reason=repr(fault))

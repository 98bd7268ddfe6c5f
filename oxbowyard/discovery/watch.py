"""The watch of one address of the discovery service: consecutive long polls until it is cancelled."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import aiohttp
import orjson
from yarl import URL

from .endpoint_list import MalformedListError, WatchEvent, parse_endpoint_list
from .poll_schedule import CONNECT_TIMEOUT_S, PollFailure, PollSchedule

log = logging.getLogger("oxbowyard.discovery")

DISCOVERY_PATH = "/discovery/hosts"
CATCH_UP_WAIT_MS = 1  # missed changes are requested without a wait; only then a watch begins
MAX_CONNECTIONS = 2
MAX_LIST_BYTES = 8 << 20  # eight times a list of 3,200 workers
STATUS_OK = 200


class PollError(Exception):
    """A poll did not return an endpoint list; `failure` affects the schedule of the next one."""

    def __init__(self, failure: PollFailure, cause: Exception | str) -> None:
        super().__init__(f"{failure.value}: {cause if isinstance(cause, str) else repr(cause)}")
        self.failure = failure


class Watch:
    """Polls one address, starting with the full list or with the changes since a known revision."""

    def __init__(
        self,
        address: str,
        schedule: PollSchedule,
        on_event: Callable[[Watch, WatchEvent, bool], None],
        on_failure: Callable[[], None],
        after_revision: int | None = None,
    ) -> None:
        """Create a watch of an address.

        `on_event` is called with each answer, and whether its changes may have counted as notified before
        they were received. `on_failure` is called after each failed poll. `after_revision`: the revision of
        the list in use; None requests the full list.
        """
        self.address = address
        self._schedule = schedule
        self._on_event = on_event
        self._on_failure = on_failure
        self._revision = after_revision
        self._url = URL(f"http://{address}{DISCOVERY_PATH}")
        self._loop = asyncio.get_running_loop()
        self._is_failing = False
        self._is_continuing = False  # the last poll was answered and the next one continues it

    async def run(self, delay_s: float) -> None:
        """Poll until cancelled, after an initial delay."""
        await asyncio.sleep(delay_s)
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        ) as session:
            while True:
                retry_delay_s = await self._poll_once(session)
                if retry_delay_s is not None:
                    await asyncio.sleep(retry_delay_s)

    async def _poll_once(self, session: aiohttp.ClientSession) -> float | None:
        """Poll once. Return None if the poll was answered, else the seconds until the next one."""
        started_at, is_continuation = self._loop.time(), self._is_continuing
        try:
            self._handle_answer(await self._poll(session))
            return None
        except PollError as error:
            failure = error.failure
            self._log_failure(error)
        except Exception:  # without a watch, drains would no longer be received
            log.exception(
                "internal error while applying an endpoint list, polling for the full one: address=%s",
                self.address,
            )
            self._revision, failure = None, PollFailure.UNREACHABLE
        self._is_continuing = False
        now = self._loop.time()
        retry_delay_s = self._schedule.record_failure(now, failure, now - started_at, is_continuation)
        self._on_failure()
        return retry_delay_s

    def _handle_answer(self, event: WatchEvent) -> None:
        self._log_recovery()
        self._on_event(self, event, not self._is_continuing)
        self._revision, self._is_continuing = event.revision, True
        self._schedule.record_answer(self._loop.time())

    async def _poll(self, session: aiohttp.ClientSession) -> WatchEvent:
        url, wait_s = self._url, 0.0
        if self._revision is not None:
            wait_ms = self._schedule.wait_ms if self._is_continuing else CATCH_UP_WAIT_MS
            url = url.with_query(after=self._revision, wait_ms=wait_ms)
            wait_s = wait_ms / 1000
        timeout_s = wait_s + self._schedule.timeout_s(self._loop.time(), self._is_continuing)
        status, body = await self._get(session, url, timeout_s)
        if status != STATUS_OK:
            raise PollError(PollFailure.ERROR_STATUS, f"status {status}")
        return self._parse(body)

    async def _get(self, session: aiohttp.ClientSession, url: URL, timeout_s: float) -> tuple[int, bytearray]:
        try:
            async with asyncio.timeout(timeout_s), session.get(url, allow_redirects=False) as response:
                return response.status, await _read_list(response)
        except aiohttp.ConnectionTimeoutError as error:  # a subclass of TimeoutError, so it comes first
            raise PollError(PollFailure.UNREACHABLE, error) from error
        except TimeoutError as error:
            raise PollError(PollFailure.TIMEOUT, error) from error
        except (aiohttp.ClientError, OSError) as error:
            raise PollError(PollFailure.UNREACHABLE, error) from error

    def _parse(self, body: bytearray) -> WatchEvent:
        try:
            event = parse_endpoint_list(orjson.loads(body))
        except ValueError as error:  # MalformedListError or invalid JSON
            raise PollError(PollFailure.UNREACHABLE, error) from error
        if self._revision is not None and event.revision < self._revision:
            # A delayed answer, or the service renumbers its lists. A full list is accepted with any revision.
            self._revision = None
            older = MalformedListError("older than the current revision")
            raise PollError(PollFailure.UNREACHABLE, older)
        if self._revision is None and not event.is_full:
            raise PollError(
                PollFailure.UNREACHABLE,
                MalformedListError(f"expected a full list, got changes: rev={event.revision}"),
            )
        return event

    def _log_failure(self, error: PollError) -> None:
        if not self._is_failing:  # once per outage, not per poll
            log.warning(
                "discovery unavailable, serving from the current endpoint list: address=%s reason=%s",
                self.address,
                error,
            )
        self._is_failing = True

    def _log_recovery(self) -> None:
        if self._is_failing:
            log.info("discovery available again: address=%s", self.address)
        self._is_failing = False


async def _read_list(response: aiohttp.ClientResponse) -> bytearray:
    """Read the body of an answer. Raises PollError if it is larger than any list."""
    body = bytearray()
    while data := await response.content.readany():
        body += data
        if len(body) > MAX_LIST_BYTES:
            raise PollError(PollFailure.UNREACHABLE, f"a list of over {MAX_LIST_BYTES} bytes")
    return body

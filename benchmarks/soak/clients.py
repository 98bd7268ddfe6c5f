"""Stand-in HTTP clients, which reuse connections, disconnect early, write slowly, and record observations."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from random import Random

from .plan import JobClass, Plan, Semantics
from .records import Exchange, Observation

Address = tuple[str, int]

LAST_WAIT_S = 1.5  # after a request's deadline, until its client gives up
MAX_PAUSE_S = 0.25  # between two requests of a client
MAX_LEAVE_AFTER_S = 0.4
MAX_REPEAT_AFTER_S = 0.6
REFUSALS = (429, 503)
SLOW_PIECES = 4
SLOW_PAUSE_S = 0.1
BODY = b"sheet"
NEW_CONNECTIONS_AFTER_TERM_S = 0.3  # PROTOCOL: clients do so for 0.2 to 0.4 s


class Connection:
    """A connection and the number of requests sent on it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.requests = 0


class Client:
    """A client that sends one request after another until it is stopped."""

    def __init__(
        self,
        number: int,
        plan: Plan,
        observation: Observation,
        address: Callable[[], Address],
        stop: asyncio.Event,
    ) -> None:
        """`address` is called for each new connection; no request begins once `stop` is set."""
        self._plan = plan
        self._observation = observation
        self._address = address
        self._stop = stop
        self._random = Random(plan.seed * 1000 + number)
        self._name = f"c{number}"
        self._ids = itertools.count()
        self._connection: Connection | None = None
        self._last: Exchange | None = None  # the latest request, if it must not run twice and was not refused
        self.may_connect = True

    async def run(self) -> None:
        """Send requests until stopped, or until no connection can be opened."""
        while not self._stop.is_set():
            await asyncio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))
            if self._stop.is_set() or not await self._exchange(self._draw_class()):
                break
            if self._last is not None and self._random.random() < self._plan.repeat_share:
                await self._repeat(self._last)
        if self._connection is not None:
            self._connection.writer.close()

    def _draw_class(self) -> JobClass:
        return self._random.choice(self._plan.classes)

    async def _exchange(self, job_class: JobClass) -> bool:
        """Send a request, once more if a reused connection was closed; return False without a connection."""
        for _ in range(2):
            connection = await self._connected()
            if connection is None:
                return False
            exchange = Exchange(
                f"{self._name}-{next(self._ids)}",
                job_class.name,
                job_class.deadline_s,
                connection.requests == 0,
                self._now(),
            )
            self._observation.exchanges.append(exchange)
            self._last = exchange if job_class.semantics is Semantics.SINGLE_SHOT else None
            connection.requests += 1
            try:
                await self._send_and_read(connection, exchange)
            except TimeoutError:  # a subclass of OSError; the connection is open, so the request is lost
                self._drop()
                return True
            except (OSError, asyncio.IncompleteReadError, ValueError):
                exchange.closed_at = self._now()
                self._drop()
                if exchange.is_first:
                    return True
                continue
            return True
        return True

    async def _repeat(self, earlier: Exchange) -> None:
        """Send a request once more, on a new connection."""
        self._last = None
        self._drop()
        await asyncio.sleep(self._random.choice((0.0, self._random.uniform(0.0, MAX_REPEAT_AFTER_S))))
        connection = await self._connected()
        if connection is None or self._stop.is_set():
            return
        exchange = Exchange(earlier.id, earlier.job_class, earlier.deadline_s, True, self._now())
        self._observation.exchanges.append(exchange)
        connection.requests += 1
        try:
            await self._send_and_read(connection, exchange)
        except TimeoutError:  # the connection is open, so the request is lost
            self._drop()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            exchange.closed_at = self._now()
            self._drop()

    async def _connected(self) -> Connection | None:
        connection = self._connection
        if connection is not None and not connection.reader.at_eof():
            return connection
        self._drop()
        if not self.may_connect:
            return None
        try:
            self._connection = Connection(*await asyncio.open_connection(*self._address()))
        except OSError:
            return None
        return self._connection

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.writer.close()
            self._connection = None

    async def _send_and_read(self, connection: Connection, exchange: Exchange) -> None:
        await self._send(connection.writer, exchange)
        exchange.sent_at = self._now()
        if self._random.random() < self._plan.leaving_share:
            await self._leave(connection, exchange)
            return
        async with asyncio.timeout(exchange.deadline_s + LAST_WAIT_S):
            status, body, closes = await _read_answer(connection.reader)
        exchange.answered_at, exchange.status, exchange.body = self._now(), status, body
        exchange.answers += 1
        if status in REFUSALS:
            self._last = None
        if closes:
            exchange.answers += bool(await _read_rest(connection.reader))
            self._drop()

    async def _send(self, writer: asyncio.StreamWriter, exchange: Exchange) -> None:
        head = (
            f"POST /{exchange.job_class}?obj={self._random.randrange(40)} HTTP/1.1\r\nHost: api\r\n"
            f"Req-Id: {exchange.id}\r\nReq-Kind: {exchange.job_class}\r\n"
            f"Req-Deadline: {exchange.deadline_s * 1000:.0f}m\r\nContent-Length: {len(BODY)}\r\n\r\n"
        )
        data = head.encode() + BODY
        pieces = SLOW_PIECES if self._random.random() < self._plan.slow_share else 1
        size = -(-len(data) // pieces)
        for start in range(0, len(data), size):
            if start:
                await asyncio.sleep(SLOW_PAUSE_S)
            writer.write(data[start : start + size])
            await writer.drain()

    async def _leave(self, connection: Connection, exchange: Exchange) -> None:
        """Disconnect after a random time, usually before the answer."""
        reading = asyncio.ensure_future(_read_answer(connection.reader))
        await asyncio.wait({reading}, timeout=self._random.uniform(0.0, MAX_LEAVE_AFTER_S))
        reading.cancel()
        exchange.left_at = self._now()
        if self._random.random() < 0.5:
            connection.writer.transport.abort()
        self._drop()
        await asyncio.wait({reading})
        if not reading.cancelled():
            reading.exception()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes, bool]:
    """Return the status, the body, and whether the connection closes after this answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.lower().split("\r\n")
    status = int(lines[0].split()[1])
    headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return status, body, headers.get("connection") == "close"


async def _read_rest(reader: asyncio.StreamReader) -> bytes:
    """Return what follows the last answer; it should be empty."""
    try:
        async with asyncio.timeout(LAST_WAIT_S):
            return await reader.read(1)
    except (OSError, TimeoutError):
        return b""


async def bad_client(address: Address, observation: Observation, random: Random) -> None:
    """Send part of a request, and record how long the error or close takes to come."""
    data = b"POST /peek HTTP/1.1\r\nReq-Id: bad\r\n"
    loop = asyncio.get_running_loop()
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return
    begun_at = loop.time()
    try:
        writer.write(data[: random.randint(1, len(data))])
        async with asyncio.timeout(10.0):
            while await reader.read(1 << 16):
                pass
    except (OSError, TimeoutError):
        pass
    observation.bad_client_waits_s.append(loop.time() - begun_at)
    writer.close()


async def submit_deferred_job(address: Address, id_: str, job_class: str) -> bool:
    """Submit a deferred job; return whether it was acknowledged."""
    answer = await call(address, "POST", f"/jobs/{job_class}", f"Req-Id: {id_}\r\n", BODY)
    return answer == 202


async def call(address: Address, method: str, path: str, headers: str = "", body: bytes = b"") -> int:
    """Make one call on a new connection; return its status, 0 without an answer."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return 0
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: api\r\nConnection: close\r\n{headers}"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        async with asyncio.timeout(3.0):
            return (await _read_answer(reader))[0]
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0
    finally:
        writer.close()

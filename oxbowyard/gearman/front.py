"""Connections of the Gearman front: what comes in is sorted to the client, worker or admin side."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter, deque
from collections.abc import Callable

from ..listeners.acceptor import Acceptor
from ..listeners.disconnects import is_readable, peer_disconnected, unsent_bytes
from ..waiting.job import JobOutcome
from .admin import Admin
from .config import GearmanConfig
from .jobs import SUBMITS, Jobs
from .packet import ARGUMENTS, Decoder, Line, Packet, PacketError, Rejected, Type, encode
from .workers import Worker, Workers

log = logging.getLogger("oxbowyard.gearman")

LATE = {
    Type.WORK_COMPLETE: JobOutcome.SERVED,
    Type.WORK_FAIL: JobOutcome.FAILED,
    Type.WORK_EXCEPTION: JobOutcome.FAILED,
}
GRABS = (Type.GRAB_JOB, Type.GRAB_JOB_UNIQ, Type.GRAB_JOB_ALL)
WORK = (
    Type.WORK_STATUS, Type.WORK_COMPLETE, Type.WORK_FAIL, Type.WORK_EXCEPTION, Type.WORK_DATA,
    Type.WORK_WARNING,
)  # fmt: skip
READ_CHUNK_BYTES = (
    16 * 1024
)  # bytes taken from one peer before the others have their turn: some 1,300 packets
DRAIN_TIMEOUT_S = 2.0  # seconds after an error that ends a connection, for what the peer still sends
FLUSH_WITHIN = 2.0  # seconds at the program's end for peers to read their last answers
MOST_NAME = 512  # bytes of a function's name or a client's id: they are remembered
UNREAD_PACKETS = 4  # a peer that leaves so many of the largest packets unread is cut off


class Connection(asyncio.Protocol):
    """One client, worker or operator; a connection may be all of them."""

    def __init__(self, front: GearmanFront) -> None:
        self._front = front
        self._decoder = Decoder(front.config.max_packet)
        self._transport: asyncio.Transport | None = None
        self._alarm: asyncio.TimerHandle | None = None  # until its first packet, then for each that began
        self._ended = False  # by an error: what still comes is dropped
        self._inbox: deque[Packet | Line] = deque()
        self._deferred = False
        self.silent = True  # nothing whole has come from it
        self.worker: Worker | None = None
        self.exceptions = False
        self.address = "-"
        simple: dict[Type, Callable[[list[bytes]], None]] = {
            Type.ECHO_REQ: lambda a: self.send(encode(Type.ECHO_RES, a[0])),
            Type.OPTION_REQ: self._option,
            Type.SET_CLIENT_ID: self._set_client_id,
            Type.ALL_YOURS: lambda a: None,  # it promises to serve nobody else: nothing here depends on it
            Type.GET_STATUS: lambda a: self.send(front.jobs.status(a[0])),
            Type.GET_STATUS_UNIQUE: lambda a: self.send(front.jobs.status_unique(a[0])),
            Type.CAN_DO: lambda a: front.workers.can_do(self._as_worker(), _name(a[0])),
            Type.CAN_DO_TIMEOUT: self._can_do_timeout,
            Type.CANT_DO: lambda a: front.workers.cant_do(self._as_worker(), a[0]),
            Type.RESET_ABILITIES: lambda a: front.workers.cant_do(self._as_worker()),
            Type.PRE_SLEEP: lambda a: front.workers.pre_sleep(self._as_worker()),
        }
        self._simple = simple

    # ---- The connection ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A new connection has come up; whether a client or a worker, its packets will tell."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # The transport's own size would let one peer hold the loop for twenty thousand packets.
        transport.max_size = READ_CHUNK_BYTES  # type: ignore[attr-defined]
        peer = transport.get_extra_info("peername")
        self.address = str(peer[0]) if peer else "-"
        self._expect()
        if not self._front.admit(self):
            self.end("TOO_MANY_CONNECTIONS", "this scheduler holds all the connections it may")

    def _expect(self) -> None:
        """A packet is due: the first one, or the rest of one that began."""
        if self._alarm is None:
            loop = asyncio.get_running_loop()
            self._alarm = loop.call_later(self._front.config.packet_within, self._late)

    def _expected(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
            self._alarm = None

    def _late(self) -> None:
        self._alarm = None
        if self._ended:
            self.close()
        else:
            self.end("TOO_SLOW", "no whole packet came in time")

    def end(self, code: str, text: str) -> None:
        """Say why and end: our side first, since closing both would reset a peer that still sends."""
        self._front.counts[code.lower().replace("_", " ")] += 1
        self._error(code, text)
        self._ended = True
        self._decoder.drop()
        if self._transport is not None and self._transport.can_write_eof():
            self._transport.write_eof()
        self._expected()
        self._alarm = asyncio.get_running_loop().call_later(DRAIN_TIMEOUT_S, self._late)
        self._let_go()

    def _let_go(self) -> None:
        """Nothing is owed to it or wanted of it any more."""
        self._front.release(self)
        self._front.jobs.gone(self)
        if self.worker is not None:
            self._front.workers.leave(self.worker)
            self.worker = None

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended: its foreground jobs and its worker go with it."""
        self._transport = None
        self._expected()
        self._let_go()

    def data_received(self, data: bytes) -> None:
        """Decode packets and text commands, and answer them in order."""
        if self._ended:
            return
        before = self._decoder.held
        try:
            items = self._decoder.feed(data)
        except PacketError as fault:
            self.end(fault.code, fault.text)
            return
        if items:
            self.silent = False
            self._expected()
        self._inbox.extend(items)
        self._take_all()
        if self._decoder.held and not self._ended:
            self._expect()
            if not self._front.may_buffer(self._decoder.held - before):
                self.end("TOO_MUCH_UNFINISHED", "unfinished packets hold all the memory they may")

    def _take_all(self) -> None:
        while self._inbox and not self._deferred and self._transport is not None and not self._ended:
            self._take(self._inbox.popleft())

    def defer(self) -> None:
        """An answer to this peer has to wait, and so has what it sent after: answers keep their order."""
        self._deferred = True
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        """The answer is sent."""
        self._deferred = False
        self._take_all()
        if not self._deferred and self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    @property
    def buffered(self) -> int:
        """Bytes of a packet that is not whole."""
        return self._decoder.held

    def send(self, data: bytes) -> None:
        """Write to the peer; one that does not read is cut off before it fills our memory."""
        if self._transport is None or self._transport.is_closing() or self._ended:
            return
        self._transport.write(data)
        if self._transport.get_write_buffer_size() > UNREAD_PACKETS * self._front.config.max_packet:
            log.warning("connection from %s cut off: it does not read", self.address)
            self._transport.abort()

    def stays(self) -> bool:
        """Whether the peer is still there, also where its end was not read yet."""
        return not peer_disconnected(self._transport)

    @property
    def unheard(self) -> bool:
        """Something has come from it that was not read yet."""
        return is_readable(self._transport)

    def finish(self) -> None:
        """Nothing more is said to it. Closed over what it still sends, it would be reset, and what its system
        has not got yet of its last answers would go with that: then its own close is awaited first."""
        if self._transport is None or self._transport.is_closing():
            return
        if not unsent_bytes(self._transport):
            self._transport.close()
            return
        self._ended = True
        self._transport.write_eof()
        self._transport.resume_reading()

    def close(self) -> None:
        """Close once all is written."""
        if self._transport is not None:
            self._transport.close()

    # ---- What comes in ----

    def _take(self, item: Packet | Line) -> None:
        try:
            if isinstance(item, Line):
                self.send(self._front.admin_answer(item.text).encode())
            else:
                self._packet(item)
        except Rejected as fault:
            self._error(fault.code, fault.text)
        except Exception:
            log.exception("fault while taking %s", item)
            self._error("INTERNAL", "internal fault")

    def _packet(self, packet: Packet) -> None:
        if packet.type not in ARGUMENTS:
            self._error("UNKNOWN_COMMAND", f"packet type {packet.type} is not served here")
            return
        type_, arguments = Type(packet.type), packet.arguments()
        if arguments is None:
            self._error("INVALID_PACKET", f"{type_.name} with a wrong number of arguments")
        elif type_ in SUBMITS:
            self._front.jobs.submit(type_, arguments, self)
        elif type_ in GRABS:
            self._front.workers.grab(self._as_worker(), type_)
        elif type_ in WORK:
            self._work(type_, arguments)
        else:
            self._simple[type_](arguments)

    def _work(self, type_: Type, arguments: list[bytes]) -> None:
        if self.worker is None or not self._front.workers.work(self.worker, type_, arguments):
            # It may have lost the job to its limit meanwhile, or send WORK_FAIL after WORK_EXCEPTION. Or it
            # had the job on an earlier connection or from an earlier run, and that is in doubt.
            result = arguments[1] if type_ is Type.WORK_COMPLETE else b""
            if type_ in LATE and self._front.jobs.late_end(arguments[0], LATE[type_], result):
                return
            log.info("%s for a job that %s does not have", type_.name, self.address)

    def _as_worker(self) -> Worker:
        if self.worker is None:
            self.worker = self._front.workers.join(self)
        return self.worker

    def _option(self, arguments: list[bytes]) -> None:
        if arguments[0] != b"exceptions":
            raise Rejected("UNKNOWN_OPTION", "the only option is exceptions")
        self.exceptions = True
        self.send(encode(Type.OPTION_RES, arguments[0]))

    def _set_client_id(self, arguments: list[bytes]) -> None:
        text = _name(arguments[0]).decode("utf-8", "replace")
        if not text or not text.isprintable() or " " in text:
            raise Rejected("INVALID_CLIENT_ID", "a client id is one printable word")
        self._as_worker().client_id = text

    def _can_do_timeout(self, arguments: list[bytes]) -> None:
        if not arguments[1].isdigit() or len(arguments[1]) > 9:
            raise Rejected("INVALID_TIMEOUT", "the time-out is not a number of seconds")
        self._front.workers.can_do(self._as_worker(), _name(arguments[0]), float(arguments[1]))

    def _error(self, code: str, text: str) -> None:
        self.send(encode(Type.ERROR, code.encode(), text.encode()))


def _name(text: bytes) -> bytes:
    if len(text) > MOST_NAME:
        raise Rejected("NAME_TOO_LONG", f"a name holds {MOST_NAME} bytes at most")
    return text


class GearmanFront:
    """The listener and what its connections share."""

    def __init__(self, config: GearmanConfig, jobs: Jobs, workers: Workers) -> None:
        self.config = config
        self.jobs = jobs
        self.workers = workers
        self._admin = Admin(config, jobs, workers)
        self._connections: dict[Connection, None] = {}  # oldest first
        self._acceptor: Acceptor | None = None
        self._emptied: asyncio.Future[None] | None = None  # awaited when all are to end
        self.counts: Counter[str] = Counter()  # of what no line is logged for

    def listen(self) -> None:
        """Start to accept."""
        self._acceptor = Acceptor("gearman", self.config.host, self.config.port, self)
        self._acceptor.open()

    @property
    def free(self) -> int:
        """How many more may come; one always, to whom `admit` says that it is one too many."""
        return max(self.config.max_connections - len(self._connections), 1)

    def make_connection(self) -> asyncio.Protocol:
        """For a new connection."""
        return Connection(self)

    def evict_idle_connection(self) -> bool:
        """Close the oldest connection that has said nothing whole: no worker or client is among those."""
        silent = next((c for c in self._connections if c.silent and not c.unheard), None)
        if silent is not None:
            silent.end("CLOSED_FOR_ROOM", "others need the connection")
            silent.close()
        return silent is not None

    def admit(self, connection: Connection) -> bool:
        """Bound the connections."""
        if len(self._connections) >= self.config.max_connections and not self.evict_idle_connection():
            return False
        self._connections[connection] = None
        return True

    def may_buffer(self, more: int) -> bool:
        """Bound what is held of packets that are not whole, on all connections."""
        return more <= 0 or sum(c.buffered for c in self._connections) <= self.config.max_buffered

    def release(self, connection: Connection) -> None:
        """A connection ended."""
        self._connections.pop(connection, None)
        if not self._connections and self._emptied is not None and not self._emptied.done():
            self._emptied.set_result(None)

    def admin_answer(self, line: str) -> str:
        """What an operator's line gets."""
        peers = {c.worker.name: c.address for c in self._connections if c.worker}
        return self._admin.answer(line, peers)

    def wind_down(self) -> None:
        """Take no new job and no new connection; what runs goes on."""
        self.jobs.closing = True
        if self._acceptor is not None:
            self._acceptor.close()

    async def close(self) -> None:
        """End all connections; the peers have some time to read what was written last, and to close."""
        for connection in list(self._connections):
            connection.finish()
        if self._connections:
            self._emptied = asyncio.get_running_loop().create_future()
            await asyncio.wait({self._emptied}, timeout=FLUSH_WITHIN)
        for connection in list(self._connections):
            connection.close()

"""A member's sockets and timer, which connect its protocol to the network and the event loop."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from random import Random
from typing import TypeGuard

from .drops import DropCounter, DropReason, Transport
from .events import Event, LeaveRequested, MessageReceived, Started, TimerFired
from .instructions import DeliverEntry, Instruction, MemberEventKind, NotifyMemberEvent, SendMessage
from .messages import (
    GossipEntry,
    MalformedMessageError,
    Message,
    PullReply,
    PullRequest,
    PushPull,
    decode,
    encode,
)
from .protocol import MembershipProtocol
from .table import MembershipSettings
from .tcp_transport import TcpTransport
from .udp_transport import UdpTransport

log = logging.getLogger("oxbowyard.membership")

MAX_DATAGRAM_ITEMS = 64  # bounds the records and the entries: more do not fit into a datagram
RUN_ID_BITS = 48
REPLY_ON_STREAM = "by the same stream"  # in place of a source address: reply on the same connection


class Node:
    """One member on its event loop. It carries out the protocol's instructions and decides nothing itself.

    `on_event` is called with each member event, `on_entry` with each entry that is new to this member.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        settings: MembershipSettings,
        random: Random,
        on_event: Callable[[NotifyMemberEvent], None] = lambda event: None,
        on_entry: Callable[[GossipEntry], None] = lambda entry: None,
    ) -> None:
        self._name = name
        self._zone = zone
        self._settings = settings
        self._random = random
        self._on_event = on_event
        self._on_entry = on_entry
        self._loop = asyncio.get_running_loop()
        self.drops = DropCounter()
        self.protocol = self._new_protocol()
        self._offers: dict[str, Callable[[], bytes | None]] = {}  # by topic
        self._udp: UdpTransport | None = None
        self._tcp: TcpTransport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def _new_protocol(self) -> MembershipProtocol:
        settings = self._settings
        return MembershipProtocol(
            self._name,
            self._random.getrandbits(RUN_ID_BITS),
            settings.advertised_address,
            self._zone,
            settings.protocol_settings(),
            self._random,
        )

    @property
    def is_open(self) -> bool:
        """Whether the sockets are bound."""
        return self._udp is not None

    async def open(self) -> None:
        """Bind the sockets and start the protocol. After `close` it starts again with a new run id.

        Raises OSError.
        """
        settings = self._settings
        host, _, port = settings.listen.rpartition(":")
        tcp = TcpTransport(
            host,
            settings.max_streams,
            settings.max_stream_bytes,
            settings.stream_within_s,
            self._on_request,
            self.drops,
        )
        udp = UdpTransport((host, int(port)), settings.max_datagrams_s, self._on_datagram, self.drops)
        try:
            await tcp.listen(udp.address[1])
        except OSError:
            udp.close()
            raise
        self.protocol = self._new_protocol()
        self._udp = udp
        self._tcp = tcp
        self.handle(Started(settings.seeds))

    async def close(self) -> None:
        """Notify some members that this one leaves, and close the sockets."""
        if self._timer is not None:
            self._timer.cancel()
        udp, tcp = self._udp, self._tcp
        if udp is not None:
            self._send_leave(udp)
        self._udp = None
        self._tcp = None
        if udp is not None:
            udp.close()
        if tcp is not None:
            await tcp.close()

    def _send_leave(self, udp: UdpTransport) -> None:
        for instruction in self.protocol.handle(self._loop.time(), LeaveRequested()):
            if isinstance(instruction, SendMessage):
                udp.send(encode(instruction.message), instruction.address)

    # ---- Calls from the rest of the program ----

    def handle(self, event: Event) -> None:
        """Pass an event (e.g. `FactsChanged`) to the protocol and carry out its instructions."""
        self._carry_out(self.protocol.handle(self._loop.time(), event))

    def offer(self, topic: str, make_body: Callable[[], bytes | None]) -> None:
        """Answer pull requests for a topic with `make_body()` from now on; with None there is no answer."""
        self._offers[topic] = make_body

    def pull(self, address: str, topic: str, on_body: Callable[[bytes], None]) -> None:
        """Request a topic from the member at an address; `on_body` is called if it answers."""
        if self._tcp is None:
            return

        def on_reply(data: bytes) -> None:
            reply = self._read_stream(data)
            if isinstance(reply, PullReply) and reply.topic == topic:
                on_body(reply.body)

        self._tcp.request(address, encode(PullRequest(self.protocol.header(), topic)), on_reply)

    # ---- Input ----

    def _on_timer(self) -> None:
        self._timer = None
        self.handle(TimerFired())

    def _on_datagram(self, data: bytes, source: str) -> None:
        try:
            message = decode(data, self._settings.group, MAX_DATAGRAM_ITEMS)
        except MalformedMessageError as error:
            self.drops.add_malformed(Transport.DATAGRAM, error.reason)
            return
        if isinstance(message, PushPull | PullRequest | PullReply):
            # The answer would be far larger than the request, whose source address may be forged.
            self.drops.add(DropReason.UNEXPECTED_MESSAGE)
            return
        self.handle(MessageReceived(message, source))

    def _on_request(self, data: bytes) -> bytes | None:
        """Handle a request that came by stream; return the reply, if there is one."""
        request = self._read_stream(data)
        if isinstance(request, PullRequest):
            return self._pull_reply(request.topic)
        instructions = self._handle_stream(request)
        replies = [instruction for instruction in instructions if _is_stream_reply(instruction)]
        self._carry_out([instruction for instruction in instructions if instruction not in replies])
        return encode(replies[0].message) if replies else None

    def _on_reply(self, data: bytes) -> None:
        """Handle the reply to a request of this member's own. A reply is never answered."""
        instructions = self._handle_stream(self._read_stream(data))
        self._carry_out([instruction for instruction in instructions if not _is_stream_reply(instruction)])

    def _handle_stream(self, message: Message | None) -> list[Instruction]:
        if message is None:
            return []
        event = MessageReceived(message, REPLY_ON_STREAM, by_stream=True)
        return self.protocol.handle(self._loop.time(), event)

    def _read_stream(self, data: bytes) -> Message | None:
        settings = self._settings
        max_items = settings.max_members + 1 + settings.max_notes
        try:
            return decode(data, settings.group, max_items)
        except MalformedMessageError as error:
            self.drops.add_malformed(Transport.STREAM, error.reason)
            return None

    def _pull_reply(self, topic: str) -> bytes | None:
        make_body = self._offers.get(topic)
        body = make_body() if make_body is not None else None
        return None if body is None else encode(PullReply(self.protocol.header(), topic, body))

    # ---- Output ----

    def _carry_out(self, instructions: list[Instruction]) -> None:
        """Carry out the instructions. The timer is set last because a listener may add further events."""
        for instruction in instructions:
            match instruction:
                case NotifyMemberEvent():
                    _log_event(instruction)
                    self._on_event(instruction)
                case DeliverEntry():
                    self._on_entry(instruction.entry)
                case SendMessage():
                    self._send(instruction)
        self._set_timer()

    def _send(self, instruction: SendMessage) -> None:
        if instruction.by_stream and self._tcp is not None:
            self._tcp.request(instruction.address, encode(instruction.message), self._on_reply)
        elif not instruction.by_stream and self._udp is not None:
            self._udp.send(encode(instruction.message), instruction.address)

    def _set_timer(self) -> None:
        due_at = self.protocol.due_at
        if self._timer is not None:
            if self._timer.when() == due_at:
                return
            self._timer.cancel()
            self._timer = None
        if self.is_open:
            self._timer = self._loop.call_at(due_at, self._on_timer)


def _is_stream_reply(instruction: Instruction) -> TypeGuard[SendMessage]:
    return isinstance(instruction, SendMessage) and instruction.address == REPLY_ON_STREAM


def _log_event(event: NotifyMemberEvent) -> None:
    """Log a member event in one line: its kind, the member, and the details that its kind has."""
    match event.kind:
        case MemberEventKind.STALLED:
            log.info("member %s: name=%s stalled_s=%.1f", event.kind, event.name, event.stalled_s)
        case MemberEventKind.CONFLICT:
            log.error("member %s: name=%s address=%s", event.kind, event.name, event.address)
        case MemberEventKind.REJECTED:
            log.info("member %s: name=%s address=%s", event.kind, event.name, event.address)
        case _ if event.accuser:
            log.info("member %s: name=%s accuser=%s", event.kind, event.name, event.accuser)
        case _:
            log.info("member %s: name=%s", event.kind, event.name)

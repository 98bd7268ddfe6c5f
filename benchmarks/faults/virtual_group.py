"""A membership group in virtual time, with loss, delay, duplication, partitions and pauses.

The seed determines the complete history.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import count
from random import Random

from oxbowyard.membership.events import (
    EntryWritten,
    Event,
    LeaveRequested,
    MessageReceived,
    Started,
    TimerFired,
)
from oxbowyard.membership.instructions import (
    DeliverEntry,
    Instruction,
    MemberEventKind,
    NotifyMemberEvent,
    SendMessage,
)
from oxbowyard.membership.messages import Message, encode
from oxbowyard.membership.protocol import MembershipProtocol
from oxbowyard.membership.settings import ProtocolSettings


@dataclass(slots=True)
class Link:
    """The faults of every link."""

    loss: float = 0.0
    duplication: float = 0.0
    min_delay_s: float = 0.0005
    max_delay_s: float = 0.003


@dataclass(slots=True)
class Node:
    """One member, its faults, and what it received and reported."""

    name: str
    protocol: MembershipProtocol
    is_running: bool = True
    paused_until: float = 0.0
    backlog: list[tuple[Message, str, bool]] = field(
        default_factory=list
    )  # messages received while it was paused
    events: list[tuple[float, NotifyMemberEvent]] = field(default_factory=list)
    delivered: list[tuple[float, DeliverEntry]] = field(default_factory=list)
    timer: int = 0  # number of the latest timer; earlier ones are ignored
    sent: int = 0
    sent_bytes: int = 0


class VirtualGroup:
    """The members, the network between them, and the clock."""

    def __init__(
        self, size: int, seed: int, settings: ProtocolSettings | None = None, zones: int = 3
    ) -> None:
        self.settings = settings or ProtocolSettings()
        self.random = Random(seed)
        self.now = 0.0
        self.link = Link()
        self.cuts: set[tuple[str, str]] = set()  # datagrams and streams from the first to the second are lost
        self.nodes: dict[str, Node] = {}
        self.counts_bytes = False
        self.reads_sockets_first = True
        self._by_address: dict[str, Node] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._timers = count(1)
        self.on_event: Callable[[Node, NotifyMemberEvent], None] = lambda node, event: None
        for i in range(size):
            self.add(f"m{i}", f"10.0.{i >> 8}.{i & 255}:1", f"z{i % zones}", ("10.0.0.0:1", "10.0.0.1:1"))

    def add(self, name: str, address: str, zone: str, seeds: tuple[str, ...]) -> Node:
        """Start a member."""
        run = self.random.getrandbits(48)
        random = Random(self.random.getrandbits(48))
        protocol = MembershipProtocol(name, run, address, zone, self.settings, random)
        node = self.nodes[name] = self._by_address[address] = Node(name, protocol)
        self.dispatch(node, Started(seeds))
        return node

    def introduce_all(self) -> None:
        """Make every member known to every other: for groups too large to converge within a simulation."""
        records = [node.protocol.me for node in self.nodes.values()]
        for node in self.nodes.values():
            for record in records:
                if record.name != node.name:
                    node.protocol.members.merge(record, self.now, "")
            node.protocol.assume_converged()

    def kill(self, name: str) -> Node:
        """Stop a member without a leave message."""
        node = self.nodes.pop(name)
        node.is_running = False
        return node

    def leave(self, name: str) -> None:
        """Stop a member after it has announced that it leaves."""
        node = self.nodes[name]
        self.dispatch(node, LeaveRequested())
        self.kill(name)

    def write(self, name: str, entry: EntryWritten) -> None:
        """Have a member write an entry, which it then gossips."""
        self.dispatch(self.nodes[name], entry)

    def dispatch(self, node: Node, event: Event) -> None:
        """Pass an event to a member and execute the instructions that it returns."""
        self._execute(node, node.protocol.handle(self.now, event))

    def pause(self, name: str, seconds: float) -> None:
        """Pause a member as SIGSTOP does: messages received meanwhile wait in its backlog."""
        node = self.nodes[name]
        node.paused_until = self.now + seconds
        self.schedule(node.paused_until, lambda: self._resume(node))

    def cut(self, source: str, target: str, both: bool = True) -> None:
        """Lose all messages from the source to the target, and by default also in the other direction."""
        self.cuts |= {(source, target), (target, source)} if both else {(source, target)}

    def schedule(self, when: float, callback: Callable[[], None]) -> None:
        """Call the callback at a time."""
        heapq.heappush(self._events, (when, next(self._order), callback))

    def run(self, until: float) -> None:
        """Advance the clock to a time and run the callbacks that are due by then."""
        while self._events and self._events[0][0] <= until:
            when, _, callback = heapq.heappop(self._events)
            self.now = max(self.now, when)
            callback()
        self.now = until

    def events(self, kind: MemberEventKind) -> Iterator[tuple[float, str, NotifyMemberEvent]]:
        """Yield all events of a kind, each with its time and the member that reported it."""
        for node in self.nodes.values():
            yield from ((when, node.name, event) for when, event in node.events if event.kind is kind)

    def _resume(self, node: Node) -> None:
        backlog, node.backlog = node.backlog, []
        if not self.reads_sockets_first:  # asyncio's loop reads its sockets before it runs its timers
            self._fire_timer(node, node.timer)
        for message, source, stream in backlog:
            self._deliver(node, message, source, stream)
        self._fire_timer(node, node.timer)

    def _execute(self, node: Node, instructions: list[Instruction]) -> None:
        for instruction in instructions:
            if isinstance(instruction, NotifyMemberEvent):
                node.events.append((self.now, instruction))
                self.on_event(node, instruction)
            elif isinstance(instruction, DeliverEntry):
                node.delivered.append((self.now, instruction))
            else:
                self._send(node, instruction)
        timer = node.timer = next(self._timers)
        self.schedule(max(node.protocol.due_at, self.now), lambda: self._fire_timer(node, timer))

    def _send(self, node: Node, send: SendMessage) -> None:
        node.sent += 1
        if self.counts_bytes:
            node.sent_bytes += len(encode(send.message))
        target = self._by_address.get(send.address)
        if target is None or (node.name, target.name) in self.cuts:
            return
        link, source = self.link, node.protocol.me.address
        if send.by_stream:
            self._send_by_stream(node, target, send.message)
            return
        for _ in range(1 + (self.random.random() < link.duplication)):
            if self.random.random() >= link.loss:
                when = self.now + self.random.uniform(link.min_delay_s, link.max_delay_s)
                self.schedule(when, lambda: self._deliver(target, send.message, source))

    def _send_by_stream(self, node: Node, target: Node, message: Message) -> None:
        """Deliver by stream: a loss adds 0.2 s, doubled each time; a message over 3 s late is dropped."""
        delay, retransmit_after = 3 * self.random.uniform(self.link.min_delay_s, self.link.max_delay_s), 0.2
        while self.random.random() < 1 - (1 - self.link.loss) ** 2:
            delay, retransmit_after = delay + retransmit_after, retransmit_after * 2
        if delay < 3.0:
            self.schedule(
                self.now + delay, lambda: self._deliver(target, message, node.protocol.me.address, True)
            )

    def _deliver(self, node: Node, message: Message, source: str, stream: bool = False) -> None:
        if not node.is_running:
            return
        if self.now < node.paused_until:
            node.backlog.append((message, source, stream))
            return
        self.dispatch(node, MessageReceived(message, source, stream))

    def _fire_timer(self, node: Node, timer: int) -> None:
        if node.is_running and timer == node.timer and self.now >= node.paused_until:
            self.dispatch(node, TimerFired())

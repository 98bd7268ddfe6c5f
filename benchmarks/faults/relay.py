"""Stands between processes: what one sends to another passes here, and may be lost, late, doubled or out of
order, each direction by itself. One seed, one sequence of chances.

Every process has a loopback address of its own and is known by it; the others reach it at its door here. A
datagram leaves by the door of its sender, so that it seems to come from where the sender can be reached.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from .loops import LoopThread

Pair = tuple[str, str]
RETRANSMIT = 0.2  # seconds: what a stream loses comes so much later, then twice as late
CHUNK = 1 << 16
DOORS = "127.78.0.1"  # no process has this address


@dataclass(slots=True, frozen=True)
class Fault:
    """What happens on the way from one to another."""

    loss: float = 0.0
    doubled: float = 0.0
    least: float = 0.0  # seconds on the way; where most is larger, datagrams overtake each other
    most: float = 0.0
    cut: bool = False  # all is lost, and streams stand still


class _Door(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, name: str) -> None:
        self.relay, self.name = relay, name
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, source: Any) -> None:
        self.relay.pass_on(self.name, data, source)


@dataclass(slots=True)
class _End:
    host: str
    port: int
    door: _Door | None = None
    server: asyncio.Server | None = None


@dataclass(slots=True)
class Relay:
    """All ways between the processes. To be used on its own loop: see `Thread`."""

    seed: int
    usual: Fault = field(default_factory=Fault)
    counts: Counter[str] = field(default_factory=Counter)
    _faults: dict[Pair, Fault] = field(default_factory=dict)
    _ends: dict[str, _End] = field(default_factory=dict)
    _random: Random = field(init=False)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Its chances."""
        self._random = Random(self.seed)

    async def add(self, name: str, host: str, port: int) -> str:
        """A process that listens there; returns where the others reach it."""
        end = self._ends[name] = _End(host, port)
        loop = asyncio.get_running_loop()
        while end.server is None:  # one port for both: what is free for one may be taken for the other
            _, door = await loop.create_datagram_endpoint(lambda: _Door(self, name), (DOORS, 0))
            bound: int = door.transport.get_extra_info("sockname")[1]
            try:
                end.server = await asyncio.start_server(
                    lambda r, w: self._stream(name, r, w), DOORS, bound, limit=CHUNK
                )
                end.door = door
            except OSError:
                door.transport.close()
        return f"{DOORS}:{bound}"

    def set(self, sender: str, receiver: str, **changed: Any) -> None:
        """Change one direction; `*` stands for all."""
        for one in self._ends if sender == "*" else [sender]:
            for other in self._ends if receiver == "*" else [receiver]:
                if one != other:
                    self._faults[one, other] = replace(self._faults.get((one, other), self.usual), **changed)

    def heal(self) -> None:
        """Every way is as usual again."""
        self._faults.clear()

    async def close(self) -> None:
        """Let go of all sockets."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for end in self._ends.values():
            if end.door is not None:
                end.door.transport.close()
            if end.server is not None:
                end.server.close()

    def _fault(self, sender: str, receiver: str) -> Fault:
        return self._faults.get((sender, receiver), self.usual)

    def _named(self, host: str) -> str | None:
        return next((name for name, end in self._ends.items() if end.host == host), None)

    # ---- Datagrams ----

    def pass_on(self, receiver: str, data: bytes, source: tuple[str, int]) -> None:
        """A datagram came to the receiver's door."""
        sender = self._named(source[0])
        if sender is None:
            self.counts["from nobody"] += 1
            return
        fault = self._fault(sender, receiver)
        for _ in range(1 + (self._random.random() < fault.doubled)):
            if fault.cut or self._random.random() < fault.loss:
                self.counts["lost"] += 1
                continue
            self.counts["passed"] += 1
            self.counts["bytes"] += len(data)
            asyncio.get_running_loop().call_later(
                self._random.uniform(fault.least, fault.most), self._deliver, sender, receiver, data
            )

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        door, end = self._ends[sender].door, self._ends[receiver]
        if door is not None and not door.transport.is_closing():
            door.transport.sendto(data, (end.host, end.port))

    # ---- Streams ----

    async def _stream(
        self, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        sender = self._named(writer.get_extra_info("peername")[0])
        onward: asyncio.StreamWriter | None = None
        try:
            if sender is None:
                self.counts["from nobody"] += 1
                return
            end = self._ends[receiver]
            back, onward = await asyncio.open_connection(end.host, end.port, limit=CHUNK)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(sender, receiver, reader, onward))
                group.create_task(self._copy(receiver, sender, back, writer))
        except (OSError, ExceptionGroup, asyncio.CancelledError):  # the last one: the relay closes
            self.counts["streams broken"] += 1
        finally:
            writer.transport.abort()
            if onward is not None:
                onward.transport.abort()

    async def _copy(
        self, sender: str, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK):
            fault, again = self._fault(sender, receiver), RETRANSMIT
            await asyncio.sleep(self._random.uniform(fault.least, fault.most))
            while (fault := self._fault(sender, receiver)).cut or self._random.random() < fault.loss:
                await asyncio.sleep(again)
                again *= 1 if fault.cut else 2
            self.counts["bytes"] += len(data)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


class Thread:
    """A relay on a thread of its own."""

    def __init__(self, seed: int = 1) -> None:
        self._loop = LoopThread()
        self.relay = Relay(seed)

    def add(self, name: str, host: str, port: int) -> str:
        """See Relay.add."""
        return self._loop.run(self.relay.add(name, host, port))

    def set(self, sender: str = "*", receiver: str = "*", **changed: Any) -> None:
        """See Relay.set."""
        self._loop.call(lambda: self.relay.set(sender, receiver, **changed))

    def heal(self) -> None:
        """See Relay.heal."""
        self._loop.call(self.relay.heal)

    def close(self) -> None:
        """End it."""
        self._loop.run(self.relay.close())
        self._loop.close()

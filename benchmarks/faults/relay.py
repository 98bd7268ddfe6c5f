"""A UDP and TCP relay between processes, which loses, delays, duplicates and reorders what they send.

Faults are set for each direction separately. The seed determines the sequence of random draws.

Each process has its own loopback address, by which the relay recognises it, and a port of the relay at which
the others reach it. A datagram is forwarded from the sender's port at the relay, so that the receiver can
reply to its source address.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from .loops import LoopThread

Pair = tuple[str, str]
FIRST_RETRANSMIT_S = 0.2  # delay of a lost chunk of a stream; doubles with each further loss
CHUNK_BYTES = 1 << 16
RELAY_HOST = "127.78.0.1"  # differs from the address of every process


@dataclass(slots=True, frozen=True)
class Fault:
    """The faults in one direction between two processes."""

    loss: float = 0.0
    duplication: float = 0.0
    min_delay_s: float = 0.0  # where max_delay_s is larger, datagrams overtake each other
    max_delay_s: float = 0.0
    is_cut: bool = False  # every datagram is lost, and streams stall


class _DatagramPort(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, name: str) -> None:
        self.relay, self.name = relay, name
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, source: Any) -> None:
        self.relay.forward(self.name, data, source)


@dataclass(slots=True)
class _Process:
    host: str
    port: int
    datagram_port: _DatagramPort | None = None
    server: asyncio.Server | None = None


@dataclass(slots=True)
class Relay:
    """The relay and its faults. Use it only on its own event loop: see `RelayThread`."""

    seed: int
    default: Fault = field(default_factory=Fault)
    counts: Counter[str] = field(default_factory=Counter)
    _faults: dict[Pair, Fault] = field(default_factory=dict)
    _processes: dict[str, _Process] = field(default_factory=dict)
    _random: Random = field(init=False)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        """Seed the generator."""
        self._random = Random(self.seed)

    async def add(self, name: str, host: str, port: int) -> str:
        """Add a process that listens there; return the address at which the others reach it."""
        process = self._processes[name] = _Process(host, port)
        loop = asyncio.get_running_loop()
        while process.server is None:  # a port that is free for UDP may be taken for TCP
            _, datagram_port = await loop.create_datagram_endpoint(
                lambda: _DatagramPort(self, name), (RELAY_HOST, 0)
            )
            bound: int = datagram_port.transport.get_extra_info("sockname")[1]
            try:
                process.server = await asyncio.start_server(
                    lambda r, w: self._stream(name, r, w), RELAY_HOST, bound, limit=CHUNK_BYTES
                )
                process.datagram_port = datagram_port
            except OSError:
                datagram_port.transport.close()
        return f"{RELAY_HOST}:{bound}"

    def set_fault(self, sender: str, receiver: str, **changed: Any) -> None:
        """Change the faults from sender to receiver; `*` stands for every process."""
        for one in self._processes if sender == "*" else [sender]:
            for other in self._processes if receiver == "*" else [receiver]:
                if one != other:
                    self._faults[one, other] = replace(
                        self._faults.get((one, other), self.default), **changed
                    )

    def heal(self) -> None:
        """Restore the default fault in every direction."""
        self._faults.clear()

    async def close(self) -> None:
        """Cancel the streams and close all sockets."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for process in self._processes.values():
            if process.datagram_port is not None:
                process.datagram_port.transport.close()
            if process.server is not None:
                process.server.close()

    def _fault(self, sender: str, receiver: str) -> Fault:
        return self._faults.get((sender, receiver), self.default)

    def _name_of(self, host: str) -> str | None:
        return next((name for name, process in self._processes.items() if process.host == host), None)

    # ---- Datagrams ----

    def forward(self, receiver: str, data: bytes, source: tuple[str, int]) -> None:
        """Forward a datagram that arrived at the receiver's port."""
        sender = self._name_of(source[0])
        if sender is None:
            self.counts["from nobody"] += 1
            return
        fault = self._fault(sender, receiver)
        for _ in range(1 + (self._random.random() < fault.duplication)):
            if fault.is_cut or self._random.random() < fault.loss:
                self.counts["lost"] += 1
                continue
            self.counts["passed"] += 1
            self.counts["bytes"] += len(data)
            asyncio.get_running_loop().call_later(
                self._random.uniform(fault.min_delay_s, fault.max_delay_s),
                self._deliver,
                sender,
                receiver,
                data,
            )

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        datagram_port, process = self._processes[sender].datagram_port, self._processes[receiver]
        if datagram_port is not None and not datagram_port.transport.is_closing():
            datagram_port.transport.sendto(data, (process.host, process.port))

    # ---- Streams ----

    async def _stream(
        self, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        sender = self._name_of(writer.get_extra_info("peername")[0])
        upstream_writer: asyncio.StreamWriter | None = None
        try:
            if sender is None:
                self.counts["from nobody"] += 1
                return
            process = self._processes[receiver]
            upstream_reader, upstream_writer = await asyncio.open_connection(
                process.host, process.port, limit=CHUNK_BYTES
            )
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(sender, receiver, reader, upstream_writer))
                group.create_task(self._copy(receiver, sender, upstream_reader, writer))
        except (OSError, ExceptionGroup, asyncio.CancelledError):  # CancelledError: the relay closes
            self.counts["streams broken"] += 1
        finally:
            writer.transport.abort()
            if upstream_writer is not None:
                upstream_writer.transport.abort()

    async def _copy(
        self, sender: str, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            fault, retransmit_after_s = self._fault(sender, receiver), FIRST_RETRANSMIT_S
            await asyncio.sleep(self._random.uniform(fault.min_delay_s, fault.max_delay_s))
            while (fault := self._fault(sender, receiver)).is_cut or self._random.random() < fault.loss:
                await asyncio.sleep(retransmit_after_s)
                retransmit_after_s *= 1 if fault.is_cut else 2
            self.counts["bytes"] += len(data)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


class RelayThread:
    """A relay on a background thread."""

    def __init__(self, seed: int = 1) -> None:
        self._loop = LoopThread()
        self.relay = Relay(seed)

    def add(self, name: str, host: str, port: int) -> str:
        """See Relay.add."""
        return self._loop.run(self.relay.add(name, host, port))

    def set_fault(self, sender: str = "*", receiver: str = "*", **changed: Any) -> None:
        """See Relay.set_fault."""
        self._loop.call(lambda: self.relay.set_fault(sender, receiver, **changed))

    def heal(self) -> None:
        """See Relay.heal."""
        self._loop.call(self.relay.heal)

    def close(self) -> None:
        """Close the relay and its thread."""
        self._loop.run(self.relay.close())
        self._loop.close()

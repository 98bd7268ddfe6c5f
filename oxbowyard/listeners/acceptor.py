"""Accepts connections as far as their owner has places for them; the others wait in the system's backlog."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections import Counter
from typing import Protocol

log = logging.getLogger("oxbowyard.listeners")

FULL_RETRY_DELAY_S = 0.02  # until a full owner is asked again for a place
NO_DESCRIPTOR_RETRY_DELAY_S = (
    0.05  # until a connection is accepted again after the system was out of descriptors
)
MAX_ACCEPTS_AT_ONCE = 16  # then the open connections have their turn of the loop
BACKLOG = 1024  # connections that the system holds until they are accepted: hundreds may come at once
RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class ConnectionOwner(Protocol):
    """Who holds the accepted connections."""

    counts: Counter[str]  # of events that have no log line of their own

    @property
    def available_connections(self) -> int:
        """How many more connections may be accepted."""

    def evict_idle_connection(self) -> bool:
        """Close the connection that is needed least; False if none may be closed."""

    def make_connection(self) -> asyncio.Protocol:
        """The protocol of a new connection."""


class Acceptor:
    """A listening TCP socket.

    It is bound when it is made, and accepts from `open` to `close`.

    Args:
        front: The name of what listens, for the log.
        host: An IPv4 or IPv6 address, the latter with or without brackets.
        port: The port; 0 takes a free one.
        owner: Who holds the connections.
        shared: Whether another process of this program may bind the same address, to replace this one.

    Raises:
        OSError: The address can't be bound.
    """

    def __init__(
        self, front: str, host: str, port: int, owner: ConnectionOwner, reuse_port: bool = False
    ) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._listener = socket.create_server(
            (host.strip("[]"), port), family=family, backlog=BACKLOG, reuse_port=reuse_port
        )
        self._listener.setblocking(False)
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._resume_timer: asyncio.TimerHandle | None = None
        self._connecting: set[asyncio.Task[object]] = set()  # accepted, and not with their protocol yet
        log.info("%s listens on %s:%d", front, *self._listener.getsockname()[:2])

    def open(self) -> None:
        """Begin to accept."""
        self._resume_timer = None
        self._loop.add_reader(self._listener, self._on_readable)

    def close(self) -> None:
        """Accept what the system holds by now, and then no more: it would reset what it still holds.

        Beyond the owner's free places each connection takes the place of an idle one, so that descriptors
        stay few.
        """
        if self._listener.fileno() < 0:
            return
        self._pause()
        places = self._owner.available_connections
        while self._accept(1) and (places > 1 or self._owner.evict_idle_connection()):
            places -= 1
        self._pause()  # `_accept` may have set the timer
        self._listener.close()

    async def close_and_wait(self) -> None:
        """Close, and wait until every accepted connection is with its protocol."""
        self.close()
        while self._connecting:
            await asyncio.wait(self._connecting)

    def _on_readable(self) -> None:
        """Accept in one step, so that no connection is lost whatever ends this."""
        if self._owner.available_connections:
            self._accept(min(MAX_ACCEPTS_AT_ONCE, self._owner.available_connections))
        elif not self._owner.evict_idle_connection():  # else there is a place in the loop's next turn
            self._pause(FULL_RETRY_DELAY_S)

    def _pause(self, duration_s: float | None = None) -> None:
        """Accept nothing for so long, or for good."""
        self._loop.remove_reader(self._listener)
        if self._resume_timer is not None:
            self._resume_timer.cancel()
            self._resume_timer = None
        if duration_s is not None:
            self._resume_timer = self._loop.call_later(duration_s, self.open)

    def _accept(self, max_connections: int) -> bool:
        """Accept some connections; return whether more may wait."""
        for _ in range(max_connections):
            try:
                connection = self._listener.accept()[0]
            except BlockingIOError:
                return False
            except OSError as fault:
                if fault.errno in RESOURCE_ERRNOS:
                    # The listener stays readable: without a pause this would take the whole processor.
                    self._owner.counts["no descriptor"] += 1
                    self._pause(NO_DESCRIPTOR_RETRY_DELAY_S)
                    return False
                continue  # that client went before it was accepted
            self._connect(connection)
        return True

    def _connect(self, connection: socket.socket) -> None:
        connecting = self._loop.connect_accepted_socket(self._owner.make_connection, connection)
        task: asyncio.Task[object] = self._loop.create_task(connecting)
        self._connecting.add(task)
        task.add_done_callback(self._on_connected)

    def _on_connected(self, task: asyncio.Task[object]) -> None:
        self._connecting.discard(task)
        fault = None if task.cancelled() else task.exception()
        if fault is not None and not isinstance(fault, OSError):  # OSError: the client ended it meanwhile
            log.error("accepted connection not set up: %r", fault, exc_info=fault)

"""Accepts TCP connections up to their owner's limit; further ones wait in the kernel's backlog."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections import Counter
from typing import Protocol

log = logging.getLogger("oxbowyard.listeners")

FULL_RETRY_DELAY_S = 0.02  # after the owner had no connection available and none to evict
NO_DESCRIPTOR_RETRY_DELAY_S = 0.05  # after accept() failed for lack of descriptors or memory
MAX_ACCEPTS_AT_ONCE = 16  # before the event loop serves the open connections again
BACKLOG = 1024  # connections that the kernel queues: several hundred may arrive at once
RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class ConnectionOwner(Protocol):
    """The owner of the accepted connections."""

    counts: Counter[str]  # events that are counted instead of logged one by one

    @property
    def available_connections(self) -> int:
        """The number of further connections that may be accepted."""

    def evict_idle_connection(self) -> bool:
        """Close an idle connection to make room for a new one. Return False if none may be closed."""

    def make_connection(self) -> asyncio.Protocol:
        """Create the protocol of a new connection."""


class Acceptor:
    """A listening TCP socket.

    The constructor binds the address. Connections are accepted from `open` until `close`.

    Args:
        front: The name of the listener in the log.
        host: An IPv4 or IPv6 address, the latter with or without brackets.
        port: The port; 0 for any free one.
        owner: The owner of the accepted connections.
        reuse_port: Whether the process that replaces this one may bind the same address meanwhile.

    Raises:
        OSError: The address cannot be bound.
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
        self._connecting: set[asyncio.Task[object]] = set()  # accepted, protocol not set up yet
        log.info("%s listens on %s:%d", front, *self._listener.getsockname()[:2])

    def open(self) -> None:
        """Start accepting connections."""
        self._resume_timer = None
        self._loop.add_reader(self._listener, self._on_readable)

    def close(self) -> None:
        """Accept the connections in the backlog, then close the listening socket.

        The kernel resets connections that are still in the backlog when the socket closes. Once the owner is
        at its limit, an idle connection is evicted for each further one, so that descriptors do not run out.
        """
        if self._listener.fileno() < 0:
            return
        self._pause()
        available = self._owner.available_connections
        while self._accept(1) and (available > 1 or self._owner.evict_idle_connection()):
            available -= 1
        self._pause()  # `_accept` may have set the timer
        self._listener.close()

    async def close_and_wait(self) -> None:
        """Close, and wait until the protocol of every accepted connection has been set up."""
        self.close()
        while self._connecting:
            await asyncio.wait(self._connecting)

    def _on_readable(self) -> None:
        """Accept connections without awaiting, so that a cancellation cannot lose one of them."""
        if self._owner.available_connections:
            self._accept(min(MAX_ACCEPTS_AT_ONCE, self._owner.available_connections))
        elif not self._owner.evict_idle_connection():  # if one was evicted, the next loop iteration accepts
            self._pause(FULL_RETRY_DELAY_S)

    def _pause(self, duration_s: float | None = None) -> None:
        """Stop accepting, for `duration_s` or permanently."""
        self._loop.remove_reader(self._listener)
        if self._resume_timer is not None:
            self._resume_timer.cancel()
            self._resume_timer = None
        if duration_s is not None:
            self._resume_timer = self._loop.call_later(duration_s, self.open)

    def _accept(self, max_connections: int) -> bool:
        """Accept up to `max_connections`. Return whether the backlog may contain more."""
        for _ in range(max_connections):
            try:
                connection = self._listener.accept()[0]
            except BlockingIOError:
                return False
            except OSError as error:
                if error.errno in RESOURCE_ERRNOS:
                    # The listener stays readable, so without a pause the event loop would spin.
                    self._owner.counts["no descriptor"] += 1
                    self._pause(NO_DESCRIPTOR_RETRY_DELAY_S)
                    return False
                continue  # the client disconnected before it was accepted
            self._connect(connection)
        return True

    def _connect(self, connection: socket.socket) -> None:
        connecting = self._loop.connect_accepted_socket(self._owner.make_connection, connection)
        task: asyncio.Task[object] = self._loop.create_task(connecting)
        self._connecting.add(task)
        task.add_done_callback(self._on_connected)

    def _on_connected(self, task: asyncio.Task[object]) -> None:
        self._connecting.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None and not isinstance(error, OSError):  # OSError: the client disconnected meanwhile
            log.error("accepted connection not set up: %r", error, exc_info=error)

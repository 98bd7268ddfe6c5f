"""Accepts connections as there is room for them."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections import Counter
from typing import Protocol

log = logging.getLogger("oxbowyard.listeners")

ROOM_AGAIN = 0.02  # seconds before room is looked for again: new connections wait in the backlog meanwhile
ACCEPT_AGAIN = 0.05  # the same when the system has no descriptor or no memory left
AT_ONCE = 16  # connections accepted before those that are open have their turn again
BACKLOG = 1024  # connections that the system holds for us until then: hundreds may come at once
SHORT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Sessions(Protocol):
    """Those who hold the connections."""

    counts: Counter[str]  # of what no line is logged for

    @property
    def free(self) -> int:
        """How many more connections may come."""

    def evict_idle_connection(self) -> bool:
        """Close the connection that is needed least, if any may go."""

    def make_connection(self) -> asyncio.Protocol:
        """For a new connection."""


class Acceptor:
    """The listener. What it does not accept yet waits in the system's backlog."""

    def __init__(self, front: str, host: str, port: int, sessions: Sessions, shared: bool = False) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # Shared: a second process of ours binds it beside this one while this one serves, to replace it.
        self._listener = socket.create_server(
            (host.strip("[]"), port), family=family, backlog=BACKLOG, reuse_port=shared
        )
        self._listener.setblocking(False)
        self._sessions = sessions
        self._loop = asyncio.get_running_loop()
        self._pause: asyncio.TimerHandle | None = None
        self._coming: set[asyncio.Task[object]] = set()  # accepted, and handed to their session in a moment
        log.info("%s listens on %s:%d", front, *self._listener.getsockname()[:2])

    def open(self) -> None:
        """Begin to accept."""
        self._pause = None
        self._loop.add_reader(self._listener, self._ready)

    def close(self) -> None:
        """Accept nothing more, but take first what the system holds for us: closed, it would be reset."""
        if self._listener.fileno() < 0:
            return
        self._stand_still()
        places = self._sessions.free  # past them one goes for each that comes: descriptors stay few
        while self._accept(1) and (places > 1 or self._sessions.evict_idle_connection()):
            places -= 1
        self._stand_still()  # it may have wanted to go on later
        self._listener.close()

    async def shut(self) -> None:
        """The same, and wait until those connections have come up."""
        self.close()
        while self._coming:
            await asyncio.wait(self._coming)

    def _ready(self) -> None:
        """Somebody waits. Accepted in one step: whatever ends this, no connection is lost in between."""
        if self._sessions.free:
            self._accept(min(AT_ONCE, self._sessions.free))
        elif not self._sessions.evict_idle_connection():  # else there is room in the loop's next turn
            self._stand_still(ROOM_AGAIN)

    def _stand_still(self, seconds: float | None = None) -> None:
        """Nobody is accepted for so long; for good if it is not said."""
        self._loop.remove_reader(self._listener)
        if self._pause is not None:
            self._pause.cancel()
        self._pause = None if seconds is None else self._loop.call_later(seconds, self.open)

    def _accept(self, most: int) -> bool:
        """Accept so many at most; whether more may wait."""
        for _ in range(most):
            try:
                accepted = self._listener.accept()[0]
            except BlockingIOError:
                return False
            except OSError as fault:
                if fault.errno in SHORT:  # it stays readable: trying on at once would take the whole core
                    self._sessions.counts["no descriptor"] += 1
                    self._stand_still(ACCEPT_AGAIN)
                    return False
                continue  # that client went before it was accepted
            coming = self._loop.connect_accepted_socket(self._sessions.make_connection, accepted)
            task: asyncio.Task[object] = self._loop.create_task(coming)
            self._coming.add(task)
            task.add_done_callback(self._came)
        return True

    def _came(self, task: asyncio.Task[object]) -> None:
        self._coming.discard(task)
        fault = None if task.cancelled() else task.exception()
        if fault is not None and not isinstance(fault, OSError):  # one that ended meanwhile is no fault
            log.error("a connection did not come up: %r", fault, exc_info=fault)

"""One UDP socket that reads no more than it may: a flood costs its share of the loop, and no more."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Callable

log = logging.getLogger("oxbowyard.membership")

WINDOW = 0.05  # seconds: the allowance is counted in such steps
AT_ONCE = 16  # read in one go, then the loop's other work has its turn
MOST_READ = 2048  # bytes: a longer one is no message of ours


def is_literal(address: str) -> bool:
    """An IPv4 address and a port: nothing has to be looked up, which would hold the loop up."""
    host, _, port = address.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return False
    return port.isascii() and port.isdigit() and int(port) < 65536


class Datagrams:
    """Reads and sends; past `most` a second it rests until the window is over."""

    def __init__(
        self, address: tuple[str, int], most: int, take: Callable[[bytes, str], None], counts: Counter[str]
    ) -> None:
        """Bind the socket; raises OSError."""
        self._take = take
        self._counts = counts
        self._window_most = max(int(most * WINDOW), 1)
        self._left = self._window_most
        self._resting: asyncio.TimerHandle | None = None
        self._window_ends = 0.0
        self._loop = asyncio.get_running_loop()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._socket.setblocking(False)
            self._socket.bind(address)
        except OSError:
            self._socket.close()
            raise
        self.address: tuple[str, int] = self._socket.getsockname()
        self._loop.add_reader(self._socket, self._ready)

    def send(self, data: bytes, to: str) -> None:
        """Send and forget: what can't be sent now is as good as lost on the way."""
        host, _, port = to.rpartition(":")
        try:
            if is_literal(to):  # it is what another member says
                self._socket.sendto(data, (host, int(port)))
                return
        except OSError:  # its buffer is full, or nobody can be reached there
            pass
        self._counts["not sent"] += 1

    def close(self) -> None:
        """Let go of the socket."""
        if self._resting is not None:
            self._resting.cancel()
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _ready(self) -> None:
        now = self._loop.time()
        if now >= self._window_ends:
            self._window_ends, self._left = now + WINDOW, self._window_most
        for _ in range(min(AT_ONCE, self._left)):
            try:
                data, (host, port) = self._socket.recvfrom(MOST_READ)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:  # an earlier one of ours reached nobody
                self._counts["refused"] += 1
                continue
            self._left -= 1
            self._take(data, f"{host}:{port}")
        if self._left <= 0:
            self._counts["rests for a flood"] += 1
            self._loop.remove_reader(self._socket)
            self._resting = self._loop.call_at(self._window_ends, self._go_on)

    def _go_on(self) -> None:
        self._resting = None
        self._loop.add_reader(self._socket, self._ready)

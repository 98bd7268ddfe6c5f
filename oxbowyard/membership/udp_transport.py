"""The UDP socket of a member. Its read rate is limited, so a flood takes a bounded share of CPU time."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from .drops import DropCounter, DropReason

log = logging.getLogger("oxbowyard.membership")

RATE_WINDOW_S = 0.05
MAX_READS_PER_WAKEUP = 16  # then the event loop runs its other callbacks
MAX_DATAGRAM_READ_BYTES = 2048  # no member sends a longer datagram
MAX_PORT = 65535


def is_ipv4_endpoint(address: str) -> bool:
    """Return whether the address is an IPv4 address and a port, which needs no name resolution."""
    host, _, port = address.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return False
    return port.isascii() and port.isdigit() and int(port) <= MAX_PORT


class UdpTransport:
    """Sends and receives datagrams; pauses reading above `max_datagrams_s` datagrams per second.

    Raises OSError if the address can't be bound.
    """

    def __init__(
        self,
        address: tuple[str, int],
        max_datagrams_s: int,
        on_datagram: Callable[[bytes, str], None],
        drops: DropCounter,
    ) -> None:
        self._on_datagram = on_datagram
        self._drops = drops
        self._reads_per_window = max(int(max_datagrams_s * RATE_WINDOW_S), 1)
        self._reads_left = self._reads_per_window
        self._window_ends_at = 0.0
        self._resume_timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._socket = _bound_socket(address)
        self.address: tuple[str, int] = self._socket.getsockname()
        self._loop.add_reader(self._socket, self._on_readable)

    def send(self, data: bytes, address: str) -> None:
        """Send a datagram. One that can't be sent is only counted, since any datagram may be lost anyway."""
        host, _, port = address.rpartition(":")
        try:
            if is_ipv4_endpoint(address):  # the address came from another member, so it may be invalid
                self._socket.sendto(data, (host, int(port)))
                return
        except OSError:  # the socket's buffer is full, or there is no route to the address
            pass
        self._drops.add(DropReason.NOT_SENT)

    def close(self) -> None:
        """Close the socket."""
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _on_readable(self) -> None:
        now = self._loop.time()
        if now >= self._window_ends_at:
            self._window_ends_at = now + RATE_WINDOW_S
            self._reads_left = self._reads_per_window
        for _ in range(min(MAX_READS_PER_WAKEUP, self._reads_left)):
            try:
                data, (host, port) = self._socket.recvfrom(MAX_DATAGRAM_READ_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:  # an ICMP error for an earlier datagram of this member
                self._drops.add(DropReason.UNREACHABLE)
                continue
            self._reads_left -= 1
            self._on_datagram(data, f"{host}:{port}")
        if self._reads_left <= 0:
            self._pause()

    def _pause(self) -> None:
        self._drops.add(DropReason.RATE_LIMITED)
        self._loop.remove_reader(self._socket)
        self._resume_timer = self._loop.call_at(self._window_ends_at, self._resume)

    def _resume(self) -> None:
        self._resume_timer = None
        self._loop.add_reader(self._socket, self._on_readable)


def _bound_socket(address: tuple[str, int]) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        bound.setblocking(False)
        bound.bind(address)
    except OSError:
        bound.close()
        raise
    return bound

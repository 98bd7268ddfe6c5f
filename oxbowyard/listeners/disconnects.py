"""What the system knows of a connection before the event loop has read it.

A busy loop, or a connection whose reading is paused, notices bytes and a disconnect late. Before a step that
can't be undone, the system is asked. Each function is a system call; none of them blocks.
"""

from __future__ import annotations

import asyncio
import fcntl
import select
import struct
import termios

DISCONNECTED = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # closed, half-closed or reset


def peer_disconnected(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the peer has closed, half-closed or reset the connection, whatever it sent before."""
    return _is_ready(transport, DISCONNECTED)


def is_readable(transport: asyncio.BaseTransport | None) -> bool:
    """Whether bytes or a disconnect have come that the loop has not read yet."""
    return _is_ready(transport, select.POLLIN)


def unread_bytes(transport: asyncio.BaseTransport | None) -> int:
    """The bytes that have come and that the loop has not read yet; 0 where the system does not say."""
    return _queued_bytes(transport, termios.FIONREAD)


def unsent_bytes(transport: asyncio.WriteTransport) -> int:
    """The bytes written that the peer's system has not acknowledged yet: a reset would lose them."""
    return transport.get_write_buffer_size() + _queued_bytes(transport, termios.TIOCOUTQ)


def _queued_bytes(transport: asyncio.BaseTransport | None, request: int) -> int:
    socket = transport.get_extra_info("socket") if transport is not None else None
    if socket is None:
        return 0
    try:
        return int(struct.unpack("i", fcntl.ioctl(socket.fileno(), request, bytes(4)))[0])
    except (OSError, ValueError):
        return 0


def _is_ready(transport: asyncio.BaseTransport | None, events: int) -> bool:
    """Whether one of the events holds; of a closed connection each of them does."""
    socket = transport.get_extra_info("socket") if transport is not None else None
    if socket is None or (descriptor := socket.fileno()) < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))

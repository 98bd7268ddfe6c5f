"""Queries the kernel for the state of a connection, ahead of what the event loop has read.

If the event loop is busy or reading is paused, data and disconnects are noticed late. These functions are
therefore called before a step that cannot be undone. Each makes one system call that does not block.
"""

from __future__ import annotations

import asyncio
import fcntl
import select
import struct
import termios

DISCONNECTED = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # closed, half-closed or reset


def peer_disconnected(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether the peer has closed, half-closed or reset the connection, even if data is unread."""
    return _is_ready(transport, DISCONNECTED)


def is_readable(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether data or a disconnect has arrived that the event loop has not read yet."""
    return _is_ready(transport, select.POLLIN)


def unread_bytes(transport: asyncio.BaseTransport | None) -> int:
    """Return the number of received bytes that the event loop has not read yet; 0 if it is unknown."""
    return _queued_bytes(transport, termios.FIONREAD)


def unsent_bytes(transport: asyncio.WriteTransport) -> int:
    """Return the number of written bytes that the peer has not acknowledged; a reset would lose them."""
    return transport.get_write_buffer_size() + _queued_bytes(transport, termios.TIOCOUTQ)


def half_close(transport: asyncio.WriteTransport) -> None:
    """Close our sending side once everything is written; abort a connection that the peer has reset."""
    if not transport.can_write_eof():
        return
    try:
        transport.write_eof()
    except OSError:  # the event loop has not seen the reset yet
        transport.abort()


def _queued_bytes(transport: asyncio.BaseTransport | None, request: int) -> int:
    socket = transport.get_extra_info("socket") if transport is not None else None
    if socket is None:
        return 0
    try:
        return int(struct.unpack("i", fcntl.ioctl(socket.fileno(), request, bytes(4)))[0])
    except (OSError, ValueError):
        return 0


def _is_ready(transport: asyncio.BaseTransport | None, events: int) -> bool:
    """Return whether one of the poll events is set. On a closed connection, all of them count as set."""
    socket = transport.get_extra_info("socket") if transport is not None else None
    if socket is None or (descriptor := socket.fileno()) < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))

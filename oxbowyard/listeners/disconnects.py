"""What the system knows of a connection before the loop has read it: an end of its peer, bytes that wait.

A loop that was held up, or a connection that is not read for now, learns of an end late. Before something is
done that can't be undone, the system is asked.
"""

from __future__ import annotations

import asyncio
import fcntl
import select
import struct
import termios

ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # closed, half-closed or reset


def peer_disconnected(transport: asyncio.BaseTransport | None) -> bool:
    """The peer has closed, half-closed or reset, whatever it sent before that."""
    return _told(transport, ENDED)


def unread(transport: asyncio.BaseTransport | None) -> bool:
    """Bytes have come, or an end, that the loop has not read yet."""
    return _told(transport, select.POLLIN)


def unread_bytes(transport: asyncio.BaseTransport | None) -> int:
    """How many bytes have come that the loop has not read yet; 0 as well where the system does not say."""
    return _counted(transport, termios.FIONREAD)


def unsent_bytes(transport: asyncio.WriteTransport) -> int:
    """How many bytes written to the peer its system does not have yet: a reset would take them away."""
    return transport.get_write_buffer_size() + _counted(transport, termios.TIOCOUTQ)


def _counted(transport: asyncio.BaseTransport | None, what: int) -> int:
    socket = transport.get_extra_info("socket") if transport is not None else None
    if socket is None:
        return 0
    try:
        return int(struct.unpack("i", fcntl.ioctl(socket.fileno(), what, bytes(4)))[0])
    except (OSError, ValueError):
        return 0


def _told(transport: asyncio.BaseTransport | None, events: int) -> bool:
    socket = transport.get_extra_info("socket") if transport is not None else None
    if socket is None or (number := socket.fileno()) < 0:  # a transport that is closed has none any more
        return True
    asked = select.poll()
    asked.register(number, events)
    return bool(asked.poll(0))

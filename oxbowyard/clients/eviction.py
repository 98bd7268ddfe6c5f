"""Selects the connections to close when the limit of open connections or of memory is reached.

For a file descriptor, the connection that has been idle longest is closed. For memory, those that cost most.
No connection with a complete request that has no response yet is closed for either.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass

from .connection import Connection, Phase
from .limits import (
    MAX_NO_REQUEST_SHARE,
    MIN_AGE_UNDER_PRESSURE_S,
    MIN_KEEP_ALIVE_AGE_S,
    MIN_NO_REQUEST_AGE_S,
    MIN_READING_AGE_S,
    MIN_WRITE_BLOCKED_AGE_S,
)
from .memory_costs import CONNECTION_BYTES

MAX_RETIRED_AT_ONCE = 32  # at each attempt to accept; clients wait in the kernel's backlog meanwhile

# More than an idle connection, and than an ordinary request that is being received: closing those would
# release little, and hit clients that do nothing unusual.
MIN_COST_TO_GIVE_WAY_BYTES = CONNECTION_BYTES + 8 * 1024


@dataclass(slots=True, frozen=True)
class EvictionRule:
    """A kind of connection that may be closed after `min_age_s` in its current phase."""

    matches: Callable[[Connection], bool]
    min_age_s: float


def has_no_request(connection: Connection) -> bool:
    """Return whether the client has sent no job request so far and is not sending one now."""
    idle = connection.phase is Phase.KEEP_ALIVE and not connection.has_sent_request
    return connection.phase is Phase.SILENT or idle


def _is_draining(connection: Connection) -> bool:
    return connection.phase is Phase.DRAINING


def _is_keep_alive(connection: Connection) -> bool:
    return connection.phase is Phase.KEEP_ALIVE


def _is_reading(connection: Connection) -> bool:
    return connection.phase is Phase.READING


def _does_not_read(connection: Connection) -> bool:
    return connection.is_write_blocked


# In order of preference; among several matches, the connection that has been in its phase longest is closed.
# A connection with a pending response is never closed, unless its client has left so many earlier ones unread
# that the kernel takes no more.
RULES = (
    EvictionRule(_is_draining, 0.0),
    EvictionRule(has_no_request, MIN_NO_REQUEST_AGE_S),
    EvictionRule(_is_keep_alive, MIN_KEEP_ALIVE_AGE_S),
    EvictionRule(_is_reading, MIN_READING_AGE_S),
    EvictionRule(_does_not_read, MIN_WRITE_BLOCKED_AGE_S),
)
# Used if none of RULES applies, unless so many connections have sent no request that their rule will soon
# apply.
RULES_UNDER_PRESSURE = (
    EvictionRule(_is_keep_alive, MIN_AGE_UNDER_PRESSURE_S),
    EvictionRule(_is_reading, MIN_AGE_UNDER_PRESSURE_S),
)


def select_connection_to_evict(
    connections: Collection[Connection], max_connections: int, now: float
) -> Connection | None:
    """Select the connection to close in favour of a new one.

    Args:
        connections: The open connections.
        max_connections: The maximum number of open connections.
        now: The event loop time, in seconds.

    Returns:
        The connection to close; None if none may be closed.
    """
    evicted = _first_match(RULES, connections, now)
    if evicted is not None:
        return evicted
    no_request_count = sum(has_no_request(connection) for connection in connections)
    if no_request_count >= MAX_NO_REQUEST_SHARE * max_connections:
        return None
    return _first_match(RULES_UNDER_PRESSURE, connections, now)


def _first_match(
    rules: Collection[EvictionRule], connections: Collection[Connection], now: float
) -> Connection | None:
    for rule in rules:
        latest_start = now - rule.min_age_s
        matching = [c for c in connections if rule.matches(c) and c.phase_started_at <= latest_start]
        matching.sort(key=lambda connection: connection.phase_started_at)
        for connection in matching:
            if _is_fully_read(connection):
                return connection
    return None


def _is_fully_read(connection: Connection) -> bool:
    """Return whether no complete request is unread, since closing the connection would lose it."""
    if connection.phase is Phase.DRAINING or connection.is_write_blocked:
        return True
    return not connection.has_unread_request


def select_connections_to_retire(connections: Collection[Connection]) -> list[Connection]:
    """Return the connections to close after their pending response, if none can be closed for a new one.

    A client that sends requests ahead never leaves its connection idle, and would keep it from others.
    """
    ahead = [connection for connection in connections if connection.sends_ahead]
    ahead.sort(key=lambda c: (c.phase is not Phase.RESPONDING, c.phase_started_at))
    return ahead[:MAX_RETIRED_AT_ONCE]


def select_connections_to_give_way(
    connections: Collection[Connection], size_bytes: int
) -> Iterator[Connection]:
    """Yield the connections whose memory is released for others: those that cost most, up to `size_bytes`.

    Args:
        connections: The open connections.
        size_bytes: The memory to release, in bytes.
    """
    candidates = [c for c in connections if c.may_give_way and c.cost_bytes > MIN_COST_TO_GIVE_WAY_BYTES]
    candidates.sort(key=lambda connection: connection.cost_bytes, reverse=True)
    for connection in candidates:
        if size_bytes <= 0:
            return
        size_bytes -= connection.cost_bytes - CONNECTION_BYTES
        yield connection

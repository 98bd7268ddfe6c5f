"""Selects the connection to close for a new one when the limit of open connections is reached."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from .connection import Connection, Phase
from .limits import (
    MAX_NO_REQUEST_SHARE,
    MIN_AGE_UNDER_PRESSURE_S,
    MIN_KEEP_ALIVE_AGE_S,
    MIN_NO_REQUEST_AGE_S,
    MIN_READING_AGE_S,
)


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


# In order of preference; among several matches, the connection that has been in its phase longest is closed.
# A connection with a pending response is never closed.
RULES = (
    EvictionRule(_is_draining, 0.0),
    EvictionRule(has_no_request, MIN_NO_REQUEST_AGE_S),
    EvictionRule(_is_keep_alive, MIN_KEEP_ALIVE_AGE_S),
    EvictionRule(_is_reading, MIN_READING_AGE_S),
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
        matching = (connection for connection in connections if rule.matches(connection))
        oldest = min(matching, key=lambda connection: connection.phase_started_at, default=None)
        if oldest is not None and now - oldest.phase_started_at >= rule.min_age_s and _is_fully_read(oldest):
            return oldest
    return None


def _is_fully_read(connection: Connection) -> bool:
    """Return whether no complete request is unread, since closing the connection would lose it."""
    return connection.phase is Phase.DRAINING or not connection.has_unread_request

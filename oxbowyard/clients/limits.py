"""What a client may do: sizes in bytes, times in seconds."""

from __future__ import annotations

# Requests
MAX_BODY_BYTES = 64 * 1024  # the protocol's own limit
MAX_HEAD_BYTES = 16 * 1024  # a head of the protocol has some hundred bytes; a proxy may add some more
MAX_HEADER_BYTES = 4096
MAX_HEADERS = 64
MAX_DEADLINE_S = 3600.0  # clients wait half a minute at most
MAX_BODIES_MEMORY_SHARE = 0.15  # of the program's memory: the bodies of all clients together

# Pipelining. A client that sends more before it has its response gets that response and a close: to stop
# reading would hide its disconnect, which stands behind what it sent.
MAX_PIPELINED_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES
MAX_UNREAD_BYTES = 32 * 1024  # of these, in the system's buffer while reading is paused
READ_CHUNK_BYTES = 64 * 1024  # read from one connection before the others have their turn

# Timeouts. The platform expects an error or a close within 3 s of connecting from a client that sends no
# complete request, and within 6 s where it sends 60 MB: the reading and the drain together stay below both.
REQUEST_TIMEOUT_S = 2.4  # from connecting, or the first byte after a response, to a request's last byte
DRAIN_TIMEOUT_S = 2.0  # after an error, for what still comes: closed sooner, the error may not be read
RESPONSE_READ_TIMEOUT_S = 10.0  # for a client to read its response, which takes our memory
UNREAD_REQUEST_TIMEOUT_S = 0.25  # at shutdown: from connecting until a silent connection is closed
KEEP_ALIVE_TIMEOUT_S = 300.0  # between requests

# Eviction under connection pressure: how long a connection has been in its phase before it may be closed.
MIN_NO_REQUEST_AGE_S = 0.05  # its request may still be on the way
MIN_KEEP_ALIVE_AGE_S = 1.0  # its next request may be on the way
MIN_READING_AGE_S = 1.0  # some requests are written in pieces
MIN_AGE_UNDER_PRESSURE_S = 0.25  # in either of the last two, when no other connection may be closed
MAX_NO_REQUEST_SHARE = (
    0.25  # of all connections: with no request so far: above it only those are closed for new ones
)

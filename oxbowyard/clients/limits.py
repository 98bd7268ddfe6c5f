"""What a client may do, each value with its reason. Sizes are in bytes, times in seconds."""

from __future__ import annotations

# Sizes
MAX_BODY_BYTES = 64 * 1024  # the protocol's own limit
MAX_HEAD_BYTES = 16 * 1024  # one of the protocol has some hundred bytes; a proxy in front may add some more
MAX_DEADLINE_S = 3600.0  # clients wait half a minute at most, and a vast wait would be held for ever
MAX_BODIES_MEMORY_SHARE = 0.15  # of the memory that the program may use: the bodies of all clients together

MAX_FIELD_BYTES, MAX_FIELDS = 4096, 64  # of a header, and how many there may be
# What a client may send on before it has its answer. Whoever sends more gets that answer and a close: to stop
# reading would hide its leaving, which stands behind what it sent.
MAX_AHEAD_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES
MAX_UNREAD_BYTES = 32 * 1024  # and of that, unread, where so many requests wait that reading has stopped
READ_CHUNK_BYTES = 64 * 1024  # taken from one connection before the others have their turn

# Times. A client that sends what is no request is owed an error or a close within 3 s of connecting, and
# within 6 s if it has 60 MB to send.
REQUEST_TIMEOUT_S = 2.4  # from connecting, or the first byte on a kept connection, to a request's last byte
DRAIN_TIMEOUT_S = 2.0  # after an error, for what still comes: closed sooner, it may not be read
RESPONSE_READ_TIMEOUT_S = 10.0  # for a client to read its answer: it does so at once, or holds our memory
UNREAD_REQUEST_TIMEOUT_S = 0.25  # at the program's end: from connecting until a silent connection is closed
KEEP_ALIVE_TIMEOUT_S = (
    300.0  # between requests: clients keep connections; one forgotten must not stay for ever
)

# Eviction. When all connections that the descriptors allow are open, some are closed for new ones.
YOUNG = 0.05  # seconds before a connection is closed for room: its request may still be on the way
UNUSED = 1.0  # the same between requests, while others can go: the next one may be on the way
SLOW = 1.0  # the same within a request, while others can go: some are written in pieces
MAX_STRANGERS_SHARE = 0.25  # of all connections: with so many that ask for nothing, theirs are closed first
SHORT = 0.25  # both, when there is nobody else to go

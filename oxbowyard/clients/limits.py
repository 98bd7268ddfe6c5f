"""What a client may do, each value with its reason."""

from __future__ import annotations

# Sizes
MOST_BODY = 64 * 1024  # the protocol's own limit
MOST_HEAD = 16 * 1024  # a head of the protocol has some hundred bytes; a proxy in front may add some more
MOST_DEADLINE = 3600.0  # seconds; clients wait half a minute at most, and a vast wait would be held for ever
BODIES_SHARE = 0.15  # of the memory that the program may use: the bodies of all clients together

MOST_FIELD, MOST_FIELDS = 4096, 64  # of a header, and how many there may be
# What a client may send on before it has its answer. Whoever sends more gets that answer and a close: to stop
# reading would hide its leaving, which stands behind what it sent.
MOST_AHEAD = MOST_HEAD + MOST_BODY
MOST_UNREAD = 32 * 1024  # and of that, unread, where so many requests wait that reading has stopped
READ_AT_ONCE = 64 * 1024  # bytes taken from one connection before the others have their turn

# Times, in seconds. A client that sends what is no request is owed an error or a close within 3 s of
# connecting, and within 6 s if it has 60 MB to send.
REQUEST_WITHIN = 2.4  # from connecting, or from its first byte on a kept connection, to a request's last byte
DRAIN_WITHIN = 2.0  # after an error, for what still comes: closed sooner, the client may not read the error
TAKEN_WITHIN = 10.0  # for a client to read its answer: it does so at once, or holds our memory
HEARD_WITHIN = 0.25  # at the program's end: from connecting until a silent connection is closed
KEPT_FOR = 300.0  # between requests: clients keep connections, and one forgotten must not stay for ever

# Room. When all connections that the descriptors allow are open, some are closed for new ones.
YOUNG = 0.05  # seconds before a connection is closed for room: its request may still be on the way
UNUSED = 1.0  # the same between requests, while others can go: the next one may be on the way
SLOW = 1.0  # the same within a request, while others can go: some are written in pieces
STRANGERS_SHARE = 0.25  # of all connections: with so many that ask for nothing, theirs are closed first
SHORT = 0.25  # both, when there is nobody else to go

"""Limits of client connections and requests: sizes in bytes, times in seconds."""

from __future__ import annotations

# Requests
MAX_BODY_BYTES = 64 * 1024  # the limit that the platform's protocol sets
MAX_HEAD_BYTES = 16 * 1024  # the protocol's heads have a few hundred bytes, to which proxies may add headers
MAX_HEADER_BYTES = 4096
MAX_HEADERS = 64
MAX_DEADLINE_S = 3600.0  # generous: the platform's clients wait for at most 30 s

# Pipelining. If a client sends more than this while a response is pending, the connection closes after that
# response. Pausing the reading instead would hide a disconnect, which is seen only after the data before it.
MAX_PIPELINED_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES

# Shares of the event loop's time and of the memory
READ_CHUNK_BYTES = 16 * 1024  # read from one connection at once
SLICE_BYTES = 4 * 1024  # parsed at once: at worst 700 chunks of a body, or 64 header fields
MAX_CONNECTIONS_MEMORY_SHARE = 0.5  # of the memory budget, for connections without a request

# Timeouts. The platform expects an error or a close within 3 s of connecting from a client that sends no
# complete request, and within 6 s if the client sends 60 MB. REQUEST_TIMEOUT_S is below the first of these,
# and its sum with DRAIN_TIMEOUT_S is below the second.
REQUEST_TIMEOUT_S = 2.4  # from connecting, or the first byte after a response, to the request's last byte
DRAIN_TIMEOUT_S = 2.0  # for further input after an error: if closed sooner, the client may not read the error
RESPONSE_READ_TIMEOUT_S = 10.0  # for the client to read its response, which is held in memory meanwhile
MIN_SILENT_AGE_S = 0.25  # during shutdown, from connecting until a silent connection may be closed
KEEP_ALIVE_TIMEOUT_S = 300.0  # between requests

# Eviction under connection pressure: the minimum time in a phase before a connection may be closed.
MIN_NO_REQUEST_AGE_S = 0.05  # the first request may still be on the way
MIN_KEEP_ALIVE_AGE_S = 1.0  # the next request may be on the way
MIN_READING_AGE_S = 1.0  # some clients send a request in several pieces
MIN_WRITE_BLOCKED_AGE_S = 1.0  # the client reads none of the responses that fill the kernel's buffers
MIN_AGE_UNDER_PRESSURE_S = 0.25  # for keep-alive and reading connections, if no other one may be closed
# Of all connections. If this share has sent no request, only such connections are closed for new ones.
MAX_NO_REQUEST_SHARE = 0.25

"""What a client connection and its request take in memory, in bytes.

The figures are upper bounds for CPython on 64-bit machines; `docs/design/memory.md` shows how they add up.
"""

from __future__ import annotations

from aiohttp.http_parser import RawRequestMessage

from .limits import MAX_HEADERS

CONNECTION_BYTES = 16 * 1024  # transport, parser, task and timers of a connection without a request
OPEN_REQUEST_BYTES = 32 * 1024  # records, timers and tasks of a request, and its connection to a worker
BODY_COPIES = 2  # the body as it is read, and the copy that is written to the worker

HEADER_FIELD_BYTES = 400  # objects for the name and the value of one field, as text and as bytes
HEAD_COPIES = 3  # of the head's text: received, as bytes and as text

# Flow control pauses the parser past this size of a body that its handler has not read, and past 1/8 as many
# chunks of it.
MAX_BUFFERED_BODY_BYTES = 4 * 1024
CHUNK_BYTES = 100  # objects for one chunk
STREAM_BYTES = 2 * MAX_BUFFERED_BODY_BYTES + MAX_BUFFERED_BODY_BYTES // 16 * CHUNK_BYTES


def completed_head_cost(message: object) -> int:
    """Return what the parsed head of a request takes; 0 if the message is an error."""
    if not isinstance(message, RawRequestMessage):
        return 0
    fields = message.raw_headers
    text_bytes = len(message.path) + sum(len(name) + len(value) for name, value in fields)
    return HEAD_COPIES * text_bytes + HEADER_FIELD_BYTES * (len(fields) + 1)


def partial_head_cost(size_bytes: int, line_count: int) -> int:
    """Return what a head takes of which this many bytes and line ends have been parsed."""
    return HEAD_COPIES * size_bytes + HEADER_FIELD_BYTES * min(line_count, MAX_HEADERS + 1)

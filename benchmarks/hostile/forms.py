"""What each form of misbehaving peer sends on a new connection. No I/O."""

from __future__ import annotations

import itertools
import os
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

BODY_BYTES = 64 * 1024  # the largest body of the platform's protocol
CHUNKS = 60_000
TINY_REQUESTS = 6_000
FIELDS_OF_A_TINY_REQUEST = 58
PIPELINED_JOBS = 600
UNREAD_REQUESTS = 3_000
EMPTY_FIELDS = 4_000
UNSOUND_REQUESTS = 200
GEARMAN_PACKET_BYTES = 200_000
GEARMAN_TINY_PACKETS = 20_000
GEARMAN_ECHOES = 12
GEARMAN_FUNCTIONS = 256
GEARMAN_NAME_BYTES = 500

_numbers = itertools.count()


class Front(Enum):
    """The listener that a form is sent to, by its name in the daemon's log."""

    HTTP = "http"
    GEARMAN = "gearman"
    ADMIN = "control"


@dataclass(slots=True, frozen=True)
class Form:
    """One way to misbehave.

    Attributes:
        front: The listener.
        first: Returns the bytes to send at once on a new connection.
        slowly: Returns bytes to send one piece every `Form.PAUSE_S` afterwards; empty to send nothing more.
        reads: Whether the peer reads what it is sent.
        repeats: Whether the peer sends `first` again and again for as long as it is accepted.
    """

    front: Front
    first: Callable[[], bytes]
    slowly: Callable[[], bytes] = lambda: b""
    reads: bool = True
    repeats: bool = False


def _new_id() -> bytes:
    """Return an id that no process has sent."""
    return b"%d-%d" % (os.getpid(), next(_numbers))


def job(body: bytes = b"x", more: bytes = b"", length: int | None = None, kind: bytes = b"preview") -> bytes:
    """Return one complete job request with a new id; `length` is announced in place of the body's."""
    size = len(body) if length is None else length
    return (
        b"POST /%s?obj=%d HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Deadline: 9000m\r\n"
        b"%sContent-Length: %d\r\n\r\n%s" % (kind, next(_numbers), _new_id(), kind, more, size, body)
    )


def _chunked_head() -> bytes:
    return (
        b"POST /preview?obj=1 HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Kind: preview\r\n"
        b"Req-Deadline: 9000m\r\nTransfer-Encoding: chunked\r\n\r\n" % _new_id()
    )


def _tiny(fields: int) -> bytes:
    head = b"".join(b"f%d: v\r\n" % number for number in range(fields))
    return b"GET /up HTTP/1.1\r\nHost: a\r\n%s\r\n" % head


def _unsound() -> bytes:
    number = next(_numbers)
    return b"POST /no%d HTTP/1.1\r\nHost: a\r\nReq-Id: %d\r\n\r\n" % (number, number)


def _packet(kind: int, *arguments: bytes, size: int | None = None) -> bytes:
    data = b"\0".join(arguments)
    return struct.pack(">4sII", b"\0REQ", kind, len(data) if size is None else size) + data


def _abilities() -> bytes:
    names = (b"%0*d" % (GEARMAN_NAME_BYTES, next(_numbers)) for _ in range(GEARMAN_FUNCTIONS))
    return b"".join(_packet(1, name) for name in names)


def _gearman_jobs() -> bytes:
    return b"".join(_packet(7, b"render_preview", b"u%d" % next(_numbers), b"x" * 2000) for _ in range(100))


FORMS = {
    "one-byte chunks": Form(Front.HTTP, lambda: _chunked_head() + b"1\r\nx\r\n" * CHUNKS),
    "tiny requests behind a job": Form(Front.HTTP, lambda: job() + _tiny(0) * TINY_REQUESTS),
    "requests of many fields behind a job": Form(
        Front.HTTP, lambda: job() + _tiny(FIELDS_OF_A_TINY_REQUEST) * (TINY_REQUESTS // 10)
    ),
    "jobs behind a job": Form(Front.HTTP, lambda: b"".join(job() for _ in range(PIPELINED_JOBS))),
    "half of a body": Form(Front.HTTP, lambda: job(b"x" * (BODY_BYTES // 2), length=BODY_BYTES)),
    "whole bodies": Form(Front.HTTP, lambda: job(b"x" * BODY_BYTES)),
    "unread answers": Form(Front.HTTP, lambda: _tiny(0) * UNREAD_REQUESTS, reads=False),
    "many empty fields": Form(
        Front.HTTP, lambda: b"GET /up HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * EMPTY_FIELDS
    ),
    "a slow head": Form(Front.HTTP, lambda: b"POST /preview HTTP/1.1\r\n", lambda: b"a:b\r\n"),
    "unsound requests at full speed": Form(
        Front.HTTP, lambda: b"".join(_unsound() for _ in range(UNSOUND_REQUESTS)), repeats=True
    ),
    "readiness calls at full speed": Form(Front.HTTP, lambda: _tiny(0) * 1000, repeats=True),
    "admin heads of many fields": Form(
        Front.ADMIN, lambda: b"GET /control/status HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * EMPTY_FIELDS
    ),
    "half of a packet": Form(
        Front.GEARMAN, lambda: _packet(7, b"x" * GEARMAN_PACKET_BYTES, size=GEARMAN_PACKET_BYTES + 1)
    ),
    "tiny packets": Form(
        Front.GEARMAN, lambda: _packet(16, b"") * GEARMAN_TINY_PACKETS, reads=False, repeats=True
    ),
    "unread echoes": Form(
        Front.GEARMAN, lambda: _packet(16, b"x" * GEARMAN_PACKET_BYTES) * GEARMAN_ECHOES, reads=False
    ),
    "many functions": Form(Front.GEARMAN, _abilities),
    "ever new jobs": Form(Front.GEARMAN, _gearman_jobs, repeats=True),
    "unknown packets": Form(Front.GEARMAN, lambda: _packet(77) * GEARMAN_TINY_PACKETS, repeats=True),
}

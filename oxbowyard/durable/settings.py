"""The table `[durable]` of the operator's file. The attributes are its keys and must not be renamed."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Count = Annotated[int, Meta(ge=1, le=100_000_000)]
Seconds = Annotated[float, Meta(gt=0, le=10 * 365 * 86400)]


class DurableSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """`[durable]`."""

    path: Annotated[str, Meta(min_length=1)]  # the store's file; its folder must exist
    max_store_bytes: Annotated[int, Meta(ge=1 << 20, le=1 << 44)] = 1 << 30  # a larger store counts as full
    keep_answers_s: Seconds = 86400.0  # how long clients can retrieve a result again
    max_answers: Count = 1_000_000  # maximum number of stored results; takes about 400 MB
    forget_at_once: Count = 500  # results deleted in one transaction, which delays other changes
    read_at_once: Count = 500  # jobs restored in one turn of the event loop after a start
    # A worker that sends nothing for this long is given up. Set it only where workers report progress. None:
    # a worker is given up at the deadline of the job's class.
    lease_s: Seconds | None = None
    resolve_over_http: bool = False  # allows POST /jobs/ID/resolve to every client of the front

"""The table `[durable]` of the operator's file: every limit with its reason. Attributes are its keys."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Count = Annotated[int, Meta(ge=1, le=100_000_000)]
Seconds = Annotated[float, Meta(gt=0, le=10 * 365 * 86400)]


class DurableSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """`[durable]`."""

    path: Annotated[str, Meta(min_length=1)]  # of the store's file; its folder must be there
    max_store_bytes: Annotated[int, Meta(ge=1 << 20, le=1 << 44)] = 1 << 30  # past it the store is full
    keep_answers_s: Seconds = 86400.0  # how long clients that ask again find their answer
    max_answers: Count = 1_000_000  # and how many there may be: some 400 MB
    forget_at_once: Count = 500  # answers deleted in one transaction, in which all else waits
    read_at_once: Count = 500  # jobs read back at once after a start, while the loop waits
    # Of silence after which a worker is given up, where workers tell progress; None: at the class's deadline.
    lease_s: Seconds | None = None
    resolve_over_http: bool = False  # POST /jobs/ID/resolve: whoever reaches the front may then use it

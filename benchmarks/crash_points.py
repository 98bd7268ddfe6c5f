"""The daemon with named points at which it kills itself: for the crash audit alone.

CRASH_AT names the point and CRASH_NTH how often it is passed before. CRASH_BROKEN moves a grant's commit
after the send, so that the audit has something to find.
"""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable
from typing import Any

import oxbowyard.__main__ as program
from oxbowyard.durable.ledger import DurableLedger
from oxbowyard.durable.recover import Recovery
from oxbowyard.store.sqlite import Database
from oxbowyard.waiting.room import WaitingRoom

AT, NTH = os.environ.get("CRASH_AT", ""), int(os.environ.get("CRASH_NTH", "1"))
passed = 0


def point(name: str) -> None:
    """Die here, if it is the turn of this point."""
    global passed
    if AT and name == AT:
        passed += 1
        if passed >= NTH:
            os.kill(os.getpid(), signal.SIGKILL)


def before(owner: type, method: str, name: str) -> None:
    """A point before each call of a method."""
    inner: Callable[..., Any] = getattr(owner, method)

    def wrapped(*args: Any, **named: Any) -> Any:
        point(name)
        return inner(*args, **named)

    setattr(owner, method, wrapped)


def after_commit(database: Database, changes: Any) -> None:
    """The points after a commit, by what it held."""
    apply(database, changes)
    for change in changes:
        kind, kept = type(change).__name__, getattr(change, "kept", None)
        point("taken" if kind == "Taken" else "answered" if kind == "Ended" else "")
        if kept is not None:
            point(kept.value)  # granted, started


def written_at_once(room: WaitingRoom, job: Any, lease: str, backend: str, then: Callable[[], None]) -> None:
    """The defect that the audit must find: the send does not wait, and its record comes late."""
    then()
    loop = room._loop
    loop.call_later(0.03, lambda: room._ledger.grant(job, backend, lease))


def written(room: WaitingRoom, job: Any, lease: str, backend: str, then: Callable[[], None]) -> None:
    """A point just after the last byte was handed over."""

    def sent() -> None:
        then()
        room._loop.call_later(0.001, point, "written")

    grant(room, job, lease, backend, sent)


apply, grant = Database.apply, WaitingRoom._grant
Database.apply = after_commit  # type: ignore[method-assign,assignment]
setattr(WaitingRoom, "_grant", written_at_once if os.environ.get("CRASH_BROKEN") else written)  # noqa: B010
before(DurableLedger, "grant", "before grant")
before(Recovery, "_put_back", "recovering")

if __name__ == "__main__":
    sys.exit(program.main())

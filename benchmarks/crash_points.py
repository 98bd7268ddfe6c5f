"""The daemon with named points at which it kills itself: for the crash audit alone.

It is the parent of all that it starts: a line of JSON on standard input names the arguments, the environment,
the file for the log and the point (`at`, and `nth`: how often it is passed until then); the answer is the
number of the process. Forked with all imported, a start costs some milliseconds. With `broken` a grant's
commit comes after the send, so that the audit has something to find.
"""

from __future__ import annotations

import gc
import json
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import oxbowyard.__main__ as program
import oxbowyard.clients.job_routes  # imported before the fork, once for all
import oxbowyard.durable.durable_store
import oxbowyard.operator.file  # noqa: F401
from oxbowyard.durable.journal import DurableJournal
from oxbowyard.durable.recovery import Recovery
from oxbowyard.store.database import Database
from oxbowyard.waiting.core_submissions import CoreSubmissions

from . import crash_worker

AT, NTH, passed = "", 1, 0


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
        kind, kept = type(change).__name__, getattr(change, "state", None)
        point("taken" if kind == "JobAccepted" else "answered" if kind == "JobEnded" else "")
        if kept is not None:
            point(kept.value)  # granted, started


def written_at_once(
    submissions: CoreSubmissions, job: Any, lease: str, worker: str, then: Callable[[], None]
) -> None:
    """The defect that the audit must find: the send does not wait, and its record comes late."""
    then()
    loop = submissions._loop
    loop.call_later(0.03, lambda: submissions._journal.record_grant(job, worker, lease))


def written(
    submissions: CoreSubmissions, job: Any, lease: str, worker: str, then: Callable[[], None]
) -> None:
    """A point just after the last byte was handed over."""

    def sent() -> None:
        then()
        submissions._loop.call_later(0.001, point, "written")

    grant(submissions, job, lease, worker, sent)


apply, grant = Database.apply, CoreSubmissions._record_lease
Database.apply = after_commit  # type: ignore[method-assign,assignment]
before(DurableJournal, "record_grant", "before grant")
before(Recovery, "_restore", "recovering")
before(DurableJournal, "record_change", "before record")


def live(order: dict[str, Any]) -> None:
    """The child: becomes the scheduler, or the worker, that was ordered."""
    global AT, NTH
    if "port" in order:
        signal.signal(signal.SIGCHLD, signal.SIG_DFL)
        crash_worker.main(Path(order["folder"]), order["port"], order["seed"])
        os._exit(0)
    AT, NTH = order["at"], order["nth"]
    setattr(CoreSubmissions, "_record_lease", written_at_once if order["broken"] else written)  # noqa: B010
    log = os.open(order["log"], os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
    os.dup2(log, 1)
    os.dup2(log, 2)
    os.close(0)
    os.environ.update(order["env"])
    sys.argv = ["oxbowyard", *order["arguments"]]
    signal.signal(signal.SIGCHLD, signal.SIG_DFL)
    gc.enable()
    os._exit(program.main())


def main() -> None:
    """Fork as ordered, until standard input ends."""
    signal.signal(signal.SIGCHLD, signal.SIG_IGN)  # nobody waits for the dead: they are gone at once
    gc.freeze()
    for line in sys.stdin:
        order = json.loads(line)
        child = os.fork()
        if not child:
            live(order)
        print(child, flush=True)


if __name__ == "__main__":
    main()

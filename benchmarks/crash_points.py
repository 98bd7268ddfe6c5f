"""Forks daemons that kill themselves at a named point, for the crash audit.

Each line of JSON on standard input orders one process: its arguments, environment, log file, and the point at
which it kills itself (`at`, on the `nth` time that it passes it). The answer is the process id. All modules
are imported before the fork, so a start takes only a few milliseconds. With `broken` a grant is committed
only after the job was sent, a defect that the audit must find.
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
import oxbowyard.clients.job_routes  # imported before the fork, so that children start quickly
import oxbowyard.durable.durable_store
import oxbowyard.operator.file  # noqa: F401
from oxbowyard.durable.journal import DurableJournal
from oxbowyard.durable.recovery import Recovery
from oxbowyard.store.database import Database
from oxbowyard.waiting.core_submissions import CoreSubmissions
from oxbowyard.waiting.journal import GrantRecord

from . import crash_worker

AT, NTH, passed = "", 1, 0


def point(name: str) -> None:
    """Kill this process if the ordered point has been passed often enough."""
    global passed
    if AT and name == AT:
        passed += 1
        if passed >= NTH:
            os.kill(os.getpid(), signal.SIGKILL)


def add_point_before(owner: type, method: str, name: str) -> None:
    """Add a point before each call of a method."""
    inner: Callable[..., Any] = getattr(owner, method)

    def wrapped(*args: Any, **named: Any) -> Any:
        point(name)
        return inner(*args, **named)

    setattr(owner, method, wrapped)


def apply_with_points(database: Database, changes: Any) -> None:
    """Apply changes, then pass the points that belong to them."""
    apply(database, changes)
    for change in changes:
        kind, state = type(change).__name__, getattr(change, "state", None)
        point("taken" if kind == "JobAccepted" else "answered" if kind == "JobEnded" else "")
        if state is not None:
            point(state.value)  # granted, started


def send_before_commit(
    submissions: CoreSubmissions, job: Any, lease: str, worker: str, then: Callable[[], None]
) -> None:
    """Send at once and record the grant later: the defect that the audit must find."""
    then()
    loop = submissions._loop
    grant = GrantRecord(worker, lease, job.id, repeat_window_s=0.0, is_repeat=False)
    loop.call_later(0.03, lambda: submissions._journal.record_grant(job, grant))


def send_with_point(
    submissions: CoreSubmissions, job: Any, lease: str, worker: str, then: Callable[[], None]
) -> None:
    """Add a point just after the job was sent."""

    def on_sent() -> None:
        then()
        submissions._loop.call_later(0.001, point, "written")

    record_lease(submissions, job, lease, worker, on_sent)


apply, record_lease = Database.apply, CoreSubmissions._record_lease
Database.apply = apply_with_points  # type: ignore[method-assign,assignment]
add_point_before(DurableJournal, "record_grant", "before grant")
add_point_before(Recovery, "_restore", "recovering")
add_point_before(DurableJournal, "record_change", "before record")


def run_child(order: dict[str, Any]) -> None:
    """Run the ordered scheduler or worker in the child process."""
    global AT, NTH
    if "port" in order:
        signal.signal(signal.SIGCHLD, signal.SIG_DFL)
        crash_worker.main(Path(order["folder"]), order["port"], order["seed"])
        os._exit(0)
    AT, NTH = order["at"], order["nth"]
    setattr(CoreSubmissions, "_record_lease", send_before_commit if order["broken"] else send_with_point)  # noqa: B010
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
    """Fork one process for each order, until standard input ends."""
    signal.signal(signal.SIGCHLD, signal.SIG_IGN)  # children are reaped by the system, without a wait
    gc.freeze()
    for line in sys.stdin:
        order = json.loads(line)
        child = os.fork()
        if not child:
            run_child(order)
        print(child, flush=True)


if __name__ == "__main__":
    main()

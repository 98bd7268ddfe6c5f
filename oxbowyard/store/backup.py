"""Checks a store, copies it while it is in use, and restores it from a copy."""

from __future__ import annotations

import os
import sqlite3
from pathlib import Path

from .database import BUSY_TIMEOUT_MS, CHECKPOINT_PAGES, connect, fetch_scalar
from .errors import store_errors
from .lock import StoreLock, lock_path
from .record import StoreError, StoreFailure
from .schema import APPLICATION_ID, COUNT_JOBS


def snapshot(path: Path, target: Path) -> int:
    """Copy a store, which may be in use, check the copy and return its number of jobs. Raises StoreError.

    The copy is renamed to `target` only once it is complete and checked.
    """
    if not path.is_file():
        raise StoreError(StoreFailure.FOREIGN, f"no file {path.name}")
    partial = target.with_name(target.name + ".partial")
    partial.unlink(missing_ok=True)
    with store_errors():
        source, copy = connect(path), sqlite3.connect(partial)
        try:
            source.execute(f"PRAGMA busy_timeout = {BUSY_TIMEOUT_MS}")
            source.backup(copy, pages=CHECKPOINT_PAGES)
            copy.execute("PRAGMA journal_mode = DELETE")
        finally:
            copy.close()
            source.close()
    jobs = check(partial)
    os.replace(partial, target)
    return jobs


def check(path: Path) -> int:
    """Check every page of a store and return its number of jobs. Raises StoreError."""
    if not path.is_file():
        raise StoreError(StoreFailure.FOREIGN, f"no file {path.name}")
    with store_errors():
        db = sqlite3.connect(f"file:{path}?mode=ro", uri=True)
        try:
            if fetch_scalar(db, "PRAGMA application_id") != APPLICATION_ID:
                raise StoreError(StoreFailure.FOREIGN, f"{path.name} is not a store of this program")
            found = db.execute("PRAGMA integrity_check(1)").fetchone()[0]
            if found != "ok":
                raise StoreError(StoreFailure.DAMAGED, f"{path.name}: {found}")
            return fetch_scalar(db, COUNT_JOBS)
        finally:
            db.close()


def restore(snapshot: Path, target: Path) -> int:
    """Replace a store that no program has open by a checked snapshot, and return its number of jobs.

    The old store stays beside it with the suffix `.before-restore`. Raises StoreError.
    """
    lock = StoreLock(lock_path(target), take_over=False)
    try:
        jobs = check(snapshot)
        partial = target.with_name(target.name + ".partial")
        partial.write_bytes(snapshot.read_bytes())
        check(partial)
        for suffix in ("", "-wal", "-shm"):
            old = target.with_name(target.name + suffix)
            if old.exists():
                os.replace(old, target.with_name(target.name + ".before-restore" + suffix))
        os.replace(partial, target)
        return jobs
    finally:
        lock.release()

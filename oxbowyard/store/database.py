"""The store in SQLite, with a write-ahead log and commits that are on disk when they return.

A `Database` is used by one thread. Two programs never write to one store: each holds a lock file, and
increments the store's epoch when it opens the store. A program that was stopped and presumed dead finds
another epoch in its next transaction and is fenced: it can write nothing more.
"""

from __future__ import annotations

import math
import sqlite3
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from . import schema
from .errors import store_errors
from .lock import StoreLock, lock_path
from .record import (
    Change,
    DependenciesChanged,
    JobAccepted,
    JobEnded,
    JobStateChanged,
    RequestChanged,
    StoredJob,
    StoredState,
    StoreError,
    StoreFailure,
)

BUSY_TIMEOUT_MS = 2_000  # longer than a snapshot or a reader locks the database
CHECKPOINT_PAGES = 1_000  # size of the log that causes a checkpoint, about 4 MiB
MAX_BYTES_CHECKED_AT_OPEN = 32 << 20  # a larger store takes seconds; it is checked when it is copied
MIN_PAGES = 64  # lower bound of max_page_count

Connect = Callable[[Path], Any]  # returns a sqlite3.Connection, or in tests one with injected faults


def connect(path: Path) -> sqlite3.Connection:
    """Connect to the file. The connection may be used by another thread than this one, but only by one."""
    return sqlite3.connect(path, isolation_level=None, check_same_thread=False, cached_statements=64)


class Database:
    """One open store."""

    def __init__(
        self, path: Path, max_bytes: int = 0, take_over: bool = False, connect: Connect = connect
    ) -> None:
        """Open or create the store; `max_bytes` 0 means no limit. Raises StoreError."""
        self.path = path
        self._max_bytes = max_bytes
        self._connect = connect
        self.grants_are_complete = (
            False  # no release that records fewer grants was the last to open the store
        )
        self._lock = StoreLock(lock_path(path), take_over)
        try:
            self._db = self._open()
            self.epoch = self._increment_epoch()
        except BaseException:
            self._lock.release()
            raise

    # ---- Opening ----

    def _open(self) -> Any:
        with store_errors():
            db = self._connect(self.path)
            try:
                db.execute(f"PRAGMA busy_timeout = {BUSY_TIMEOUT_MS}")
                self._prepare(db)
            except BaseException:
                db.close()
                raise
        return db

    def _prepare(self, db: Any) -> None:
        application_id = fetch_scalar(db, "PRAGMA application_id")
        version = fetch_scalar(db, "PRAGMA user_version")
        is_new = not fetch_scalar(db, "SELECT count(*) FROM sqlite_master")
        if not is_new and application_id != schema.APPLICATION_ID:
            raise StoreError(StoreFailure.FOREIGN, f"{self.path.name} is not a store of this program")
        if version > schema.SCHEMA_VERSION:
            text = f"{self.path.name} has version {version}, known is {schema.SCHEMA_VERSION}"
            raise StoreError(StoreFailure.NEWER, text)
        db.execute("PRAGMA journal_mode = WAL")
        db.execute("PRAGMA synchronous = FULL")  # a commit is on disk when it returns
        db.execute(f"PRAGMA wal_autocheckpoint = {CHECKPOINT_PAGES}")
        if self._max_bytes:
            page_bytes = fetch_scalar(db, "PRAGMA page_size")
            db.execute(f"PRAGMA max_page_count = {max(self._max_bytes // page_bytes, MIN_PAGES)}")
        if is_new:
            self._create(db)
        else:
            self._check(db)
            self._migrate(db, version)

    def _create(self, db: Any) -> None:
        db.execute("PRAGMA auto_vacuum = INCREMENTAL")
        with _transaction(db):
            for statement in schema.SCHEMA.split(";"):
                if statement.strip():
                    db.execute(statement)
            db.execute(f"PRAGMA application_id = {schema.APPLICATION_ID}")
            db.execute(f"PRAGMA user_version = {schema.SCHEMA_VERSION}")

    def _check(self, db: Any) -> None:
        if self.path.stat().st_size > MAX_BYTES_CHECKED_AT_OPEN:
            return
        found = db.execute("PRAGMA quick_check(1)").fetchone()[0]
        if found != "ok":
            raise StoreError(StoreFailure.DAMAGED, f"{self.path.name}: {found}")

    def _migrate(self, db: Any, version: int) -> None:
        while version < schema.SCHEMA_VERSION:
            with _transaction(db):  # a migration and its version are committed together
                for statement in schema.MIGRATIONS[version].split(";"):
                    db.execute(statement)
                db.execute(f"PRAGMA user_version = {version + 1}")
            version += 1

    def _increment_epoch(self) -> int:
        with store_errors(), _transaction(self._db):
            previous = fetch_scalar(self._db, schema.SELECT_EPOCH)
            grants_epoch = self._db.execute(schema.SELECT_GRANTS_EPOCH).fetchone()
            self.grants_are_complete = not previous or grants_epoch == (previous,)
            self._db.execute(schema.INCREMENT_EPOCH)
            epoch = fetch_scalar(self._db, schema.SELECT_EPOCH)
            self._db.execute(schema.SET_GRANTS_EPOCH, (epoch,))
            return epoch

    def reopen(self) -> None:
        """Reopen the file after a disk error, because cached pages may differ from those on disk."""
        with store_errors():
            self._db.close()
        self._db = self._open()

    def close(self) -> None:
        """Checkpoint the log, close the file and release the lock."""
        try:
            self._db.close()
        finally:
            self._lock.release()

    # ---- Writing ----

    def apply(self, changes: Sequence[Change]) -> None:
        """Commit all changes or none of them; they are on disk when this returns. Raises StoreError."""
        with self._fenced_transaction():
            for change in changes:
                self._write(change)

    @contextmanager
    def _fenced_transaction(self) -> Iterator[None]:
        """Run a transaction; raise StoreError if a successor has opened the store."""
        with store_errors(), _transaction(self._db):
            if fetch_scalar(self._db, schema.SELECT_EPOCH) != self.epoch:
                raise StoreError(StoreFailure.FENCED, "a successor has opened the store")
            yield

    def _write(self, change: Change) -> None:
        match change:
            case JobAccepted():
                self._db.execute(schema.INSERT_JOB, schema.accepted_row(change))
            case JobStateChanged(lease=None, state=StoredState.STARTED | StoredState.INDETERMINATE):
                kept = (change.state.value, change.submission_count, change.number)
                self._db.execute(schema.UPDATE_STATE_KEEP_LEASE, kept)
            case JobStateChanged(lease=lease):
                state = (change.state.value, change.submission_count)
                values = (*state, *schema.lease_values(lease), change.number)
                self._db.execute(schema.UPDATE_STATE, values)
            case DependenciesChanged():
                self._db.execute(schema.UPDATE_DEPENDENCIES, (change.dependencies, change.number))
            case RequestChanged():
                self._db.execute(schema.UPDATE_REQUEST, (change.request, change.number))
            case JobEnded():
                self._db.execute(schema.END_JOB, schema.ended_row(change))

    def prune(self, ended_before: float, max_results: int, max_deletions: int) -> int:
        """Delete results that are too old or too many, at most `max_deletions`; return how many were deleted.

        Raises StoreError.
        """
        with self._fenced_transaction():
            excess = fetch_scalar(self._db, schema.COUNT_ENDED) - max_results
            deleted = self._db.execute(schema.DELETE_OLD_RESULTS, (ended_before, max_deletions)).rowcount
            remaining = min(excess - deleted, max_deletions - deleted)
            if remaining > 0:
                deleted += self._db.execute(schema.DELETE_OLD_RESULTS, (math.inf, remaining)).rowcount
        if deleted:
            with store_errors():  # frees the pages, so that the file shrinks
                self._db.execute(f"PRAGMA incremental_vacuum({max_deletions})")
        return int(deleted)

    def delete_oldest_results(self, ended_before: float, max_deletions: int, with_keyed: bool) -> int:
        """Delete the oldest results; return how many were deleted. Raises StoreError.

        `with_keyed`: also those of jobs with an idempotency key, which would run again if submitted again.
        """
        query = schema.DELETE_OLD_RESULTS if with_keyed else schema.DELETE_OLD_UNKEYED_RESULTS
        with self._fenced_transaction():
            return int(self._db.execute(query, (ended_before, max_deletions)).rowcount)

    # ---- Reading ----

    def used_bytes(self) -> int:
        """Return the size of the store without its free pages. Raises StoreError, as all queries do."""
        with store_errors():
            return fetch_scalar(self._db, schema.USED_BYTES)

    def find(self, id_: str) -> StoredJob | None:
        """Return a job by its id; None if it is unknown."""
        return select_job(self._db, schema.SELECT_BY_ID, (id_,))

    def find_by_idempotency_key(self, tenant: str, key: str) -> StoredJob | None:
        """Return a job by its idempotency key; None if it is unknown."""
        return select_job(self._db, schema.SELECT_BY_IDEMPOTENCY_KEY, (tenant, key))

    def unfinished_jobs(self, after: int, limit: int) -> list[StoredJob]:
        """Return up to `limit` jobs that have not ended, by their numbers, which are above `after`."""
        with store_errors():
            rows = self._db.execute(schema.SELECT_OPEN, (after, limit))
            return [schema.stored_job(row) for row in rows]

    def last_number(self) -> int:
        """Return the highest number of a job; 0 if there is no job."""
        with store_errors():
            return fetch_scalar(self._db, schema.LAST_NUMBER)

    def count_by_state(self) -> dict[StoredState, int]:
        """Return the number of jobs in each state."""
        with store_errors():
            return {StoredState(state): count for state, count in self._db.execute(schema.COUNT_BY_STATE)}


def fetch_scalar(db: Any, query: str) -> int:
    """Run a query that returns a single number, and return that number."""
    return int(db.execute(query).fetchone()[0])


def select_job(db: Any, query: str, values: tuple[object, ...]) -> StoredJob | None:
    """Run a query for one job; return None if there is none. Raises StoreError."""
    with store_errors():
        row = db.execute(query, values).fetchone()
    return schema.stored_job(row) if row else None


@contextmanager
def _transaction(db: Any) -> Iterator[None]:
    db.execute("BEGIN IMMEDIATE")
    try:
        yield
        db.execute("COMMIT")
    except BaseException:
        if db.in_transaction:  # after some errors it has been rolled back already
            db.execute("ROLLBACK")
        raise

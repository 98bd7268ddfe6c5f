"""The store on SQLite: write-ahead log, every commit on disk before it counts.

One thread uses a `Database`. Two programs never have one store open: a lock file is held, and each opening
raises the store's epoch. A program that was stopped and thought dead finds the epoch raised at its next
transaction, and is fenced: whatever it wanted to write is not written.
"""

from __future__ import annotations

import errno
import fcntl
import math
import os
import sqlite3
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from .record import Change, Ended, Kept, Lease, Moved, Stored, StoreFault, Taken, Trouble

APPLICATION = 0x6F786279  # "oxby": tells our files from others
VERSION = 2
WAIT_MS = 2_000  # for a lock within the database: a snapshot or a reader holds none for so long
CHECKPOINT_PAGES = 1_000  # of the log before it is folded in: some 4 MiB

SCHEMA = """
CREATE TABLE meta (key TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
INSERT INTO meta VALUES ('epoch', 0);
CREATE TABLE jobs (
    number INTEGER PRIMARY KEY, id TEXT NOT NULL UNIQUE, job_class TEXT NOT NULL, tenant TEXT NOT NULL,
    token TEXT NOT NULL, print BLOB NOT NULL, taken_at REAL NOT NULL, patience REAL NOT NULL,
    delay REAL NOT NULL, quiet INTEGER NOT NULL, lift REAL, parents BLOB NOT NULL, req BLOB NOT NULL,
    payload BLOB NOT NULL, kept TEXT NOT NULL, asks INTEGER NOT NULL,
    lease TEXT, backend TEXT, granted_at REAL,
    end TEXT, ran TEXT, reason TEXT, result BLOB, retry_after REAL, ended_at REAL, resolved_by TEXT
);
CREATE UNIQUE INDEX jobs_by_token ON jobs (tenant, token) WHERE token != '';
CREATE INDEX jobs_open ON jobs (number) WHERE kept != 'ended';
CREATE INDEX jobs_ended ON jobs (ended_at) WHERE kept = 'ended';
"""
# From a version to the next. Version 1 did not say who resolved a job in doubt.
MIGRATIONS = {1: "ALTER TABLE jobs ADD COLUMN resolved_by TEXT"}

COLUMNS = (
    "number, id, job_class, tenant, token, print, taken_at, patience, delay, quiet, lift, parents, req, "
    "payload, kept, asks, lease, backend, granted_at, end, ran, reason, result, retry_after, ended_at, "
    "resolved_by"
)
TAKE = f"INSERT INTO jobs ({COLUMNS}) VALUES ({', '.join('?' * 16)}{', NULL' * 10})"
MOVE = """UPDATE jobs SET kept = ?, asks = ?, lease = ?, backend = ?, granted_at = ?
    WHERE number = ? AND kept != 'ended'"""
HEARD = "UPDATE jobs SET kept = ?, asks = ? WHERE number = ? AND kept != 'ended'"  # the lease stays
END = """UPDATE jobs SET kept = 'ended', end = ?, ran = ?, reason = ?, result = ?, retry_after = ?,
    ended_at = ?, resolved_by = ?, payload = x'' WHERE number = ? AND kept != 'ended'"""

FORGET_OLD = """DELETE FROM jobs WHERE number IN
    (SELECT number FROM jobs WHERE kept = 'ended' AND ended_at < ? ORDER BY ended_at LIMIT ?)"""
CHECKED_AT_OPEN = 32 << 20  # bytes: a larger file would take seconds, and is checked when it is copied

Connect = Callable[[Path], Any]  # gives a sqlite3.Connection, or one that fails as a test wants


def connect(path: Path) -> sqlite3.Connection:
    """The ordinary connection; used by one thread, which need not be the one that opened it."""
    return sqlite3.connect(path, isolation_level=None, check_same_thread=False, cached_statements=64)


class Lock:
    """Held as long as the program has the store open; the system lets go of it when the program dies."""

    def __init__(self, path: Path, take_over: bool) -> None:
        if take_over:  # from a program that is stopped or hangs: its own lock file goes, the epoch fences it
            path.unlink(missing_ok=True)
        try:
            self._file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as fault:
            raise StoreFault(Trouble.READ_ONLY, f"{path.name}: {fault.strerror}") from None
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._file)
            raise StoreFault(Trouble.LOCKED, f"another program has {path.name} open") from None

    def release(self) -> None:
        """Let go."""
        os.close(self._file)


class Database:
    """One open store."""

    def __init__(
        self, path: Path, max_bytes: int = 0, take_over: bool = False, connect: Connect = connect
    ) -> None:
        """Open or make it; raises StoreFault with what is wrong with it."""
        self.path = path
        self._max_bytes = max_bytes
        self._connect = connect
        self._lock = Lock(path.with_name(path.name + ".lock"), take_over)
        try:
            self._db = self._open()
            self.epoch = self._raise_epoch()
        except BaseException:
            self._lock.release()
            raise

    # ---- Opening ----

    def _open(self) -> Any:
        with _told():
            db = self._connect(self.path)
            try:
                db.execute(f"PRAGMA busy_timeout = {WAIT_MS}")
                self._prepare(db)
            except BaseException:
                db.close()
                raise
        return db

    def _prepare(self, db: Any) -> None:
        application, version = _figure(db, "PRAGMA application_id"), _figure(db, "PRAGMA user_version")
        fresh = not _figure(db, "SELECT count(*) FROM sqlite_master")
        if not fresh and application != APPLICATION:
            raise StoreFault(Trouble.FOREIGN, f"{self.path.name} is not a store of this program")
        if version > VERSION:
            raise StoreFault(Trouble.NEWER, f"{self.path.name} has version {version}, known is {VERSION}")
        db.execute("PRAGMA journal_mode = WAL")
        db.execute("PRAGMA synchronous = FULL")  # a commit is on disk when it returns
        db.execute(f"PRAGMA wal_autocheckpoint = {CHECKPOINT_PAGES}")
        if self._max_bytes:
            size = _figure(db, "PRAGMA page_size")
            db.execute(f"PRAGMA max_page_count = {max(self._max_bytes // size, 64)}")
        if fresh:
            self._make(db)
        else:
            small = self.path.stat().st_size <= CHECKED_AT_OPEN
            if small and (found := db.execute("PRAGMA quick_check(1)").fetchone()[0]) != "ok":
                raise StoreFault(Trouble.DAMAGED, f"{self.path.name}: {found}")
            self._migrate(db, version)

    def _make(self, db: Any) -> None:
        db.execute("PRAGMA auto_vacuum = INCREMENTAL")
        with _transaction(db):
            for statement in SCHEMA.split(";"):
                if statement.strip():
                    db.execute(statement)
            db.execute(f"PRAGMA application_id = {APPLICATION}")
            db.execute(f"PRAGMA user_version = {VERSION}")

    def _migrate(self, db: Any, version: int) -> None:
        while version < VERSION:
            with _transaction(db):  # a step and its version go together: a crash between repeats nothing
                for statement in MIGRATIONS[version].split(";"):
                    db.execute(statement)
                db.execute(f"PRAGMA user_version = {version + 1}")
            version += 1

    def _raise_epoch(self) -> int:
        with _told(), _transaction(self._db):
            self._db.execute("UPDATE meta SET value = value + 1 WHERE key = 'epoch'")
            return _figure(self._db, "SELECT value FROM meta WHERE key = 'epoch'")

    def reopen(self) -> None:
        """After a disk's failure: what is on disk is read anew, since what is in memory may not be there."""
        with _told():
            self._db.close()
        self._db = self._open()

    def close(self) -> None:
        """Fold the log in and let go."""
        try:
            self._db.close()
        finally:
            self._lock.release()

    # ---- Writing ----

    def apply(self, changes: Sequence[Change]) -> None:
        """All of them, or none: on disk when this returns; raises StoreFault."""
        with _told(), _transaction(self._db):
            if _figure(self._db, "SELECT value FROM meta WHERE key = 'epoch'") != self.epoch:
                raise StoreFault(Trouble.FENCED, "a successor has opened the store")
            for change in changes:
                self._write(change)

    def _write(self, change: Change) -> None:
        match change:
            case Taken():
                self._db.execute(TAKE, (*_fields(change), Kept.WAITING.value, 0))
            case Moved(lease=None, kept=Kept.STARTED | Kept.DOUBT):
                self._db.execute(HEARD, (change.kept.value, change.asks, change.number))
            case Moved(lease=lease):
                held = (lease.token, lease.backend, lease.at) if lease else (None, None, None)
                self._db.execute(MOVE, (change.kept.value, change.asks, *held, change.number))
            case Ended():
                self._db.execute(
                    END, (change.end, change.ran, change.reason, change.result, change.retry_after, change.at,
                          change.by or None, change.number),
                )  # fmt: skip

    def prune(self, ended_before: float, most: int, at_once: int) -> int:
        """Forget answers that are too old, or over so many; a slice. Returns how many went."""
        over = _figure(self._db, "SELECT count(*) FROM jobs WHERE kept = 'ended'") - most
        with _told(), _transaction(self._db):
            gone = self._db.execute(FORGET_OLD, (ended_before, at_once)).rowcount
            if (left := min(over - gone, at_once - gone)) > 0:
                gone += self._db.execute(FORGET_OLD, (math.inf, left)).rowcount
        if gone:
            with _told():  # the file gets shorter by as much, a slice too
                self._db.execute(f"PRAGMA incremental_vacuum({at_once})")
        return int(gone)

    # ---- Reading ----

    def find(self, id_: str) -> Stored | None:
        """A job by its id."""
        return self._one("id = ?", (id_,))

    def by_token(self, tenant: str, token: str) -> Stored | None:
        """A job by its idempotency key."""
        return self._one("token != '' AND tenant = ? AND token = ?", (tenant, token))

    def _one(self, where: str, values: tuple[object, ...]) -> Stored | None:
        with _told():
            row = self._db.execute(f"SELECT {COLUMNS} FROM jobs WHERE {where}", values).fetchone()
        return _stored(row) if row else None

    def open_jobs(self, after: int, most: int) -> list[Stored]:
        """Jobs that have no end, in the order taken, from after a number on."""
        query = f"SELECT {COLUMNS} FROM jobs WHERE kept != 'ended' AND number > ? ORDER BY number LIMIT ?"
        with _told():
            return [_stored(row) for row in self._db.execute(query, (after, most))]

    def last_number(self) -> int:
        """The highest number there is; 0: none."""
        with _told():
            return _figure(self._db, "SELECT coalesce(max(number), 0) FROM jobs")

    def counts(self) -> dict[Kept, int]:
        """Jobs by where they are."""
        with _told():
            return {Kept(k): n for k, n in self._db.execute("SELECT kept, count(*) FROM jobs GROUP BY kept")}


def snapshot(path: Path, target: Path) -> int:
    """An online copy of a store, also of one in service, checked; returns its jobs. Raises StoreFault.

    It appears under its name only once it is whole.
    """
    if not path.is_file():
        raise StoreFault(Trouble.FOREIGN, f"no file {path.name}")
    partial = target.with_name(target.name + ".partial")
    partial.unlink(missing_ok=True)
    with _told():
        source, copy = connect(path), sqlite3.connect(partial)
        try:
            source.execute(f"PRAGMA busy_timeout = {WAIT_MS}")
            source.backup(copy, pages=CHECKPOINT_PAGES)
            copy.execute("PRAGMA journal_mode = DELETE")
        finally:
            copy.close()
            source.close()
    jobs = check(partial)
    os.replace(partial, target)
    return jobs


def check(path: Path) -> int:
    """Whether a store is whole, by every page; returns its jobs. Raises StoreFault."""
    if not path.is_file():
        raise StoreFault(Trouble.FOREIGN, f"no file {path.name}")
    with _told():
        db = sqlite3.connect(f"file:{path}?mode=ro", uri=True)
        try:
            if _figure(db, "PRAGMA application_id") != APPLICATION:
                raise StoreFault(Trouble.FOREIGN, f"{path.name} is not a store of this program")
            if (found := db.execute("PRAGMA integrity_check(1)").fetchone()[0]) != "ok":
                raise StoreFault(Trouble.DAMAGED, f"{path.name}: {found}")
            return _figure(db, "SELECT count(*) FROM jobs")
        finally:
            db.close()


def restore(snapshot: Path, target: Path) -> int:
    """Put a checked snapshot in the place of a store that no program has open; the old one is kept aside."""
    lock = Lock(target.with_name(target.name + ".lock"), take_over=False)
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


def _fields(taken: Taken) -> tuple[object, ...]:
    return (
        taken.number, taken.id, taken.job_class, taken.tenant, taken.token, taken.print, taken.taken_at,
        taken.patience, taken.delay, int(taken.quiet), taken.lift, taken.parents, taken.req, taken.payload,
    )  # fmt: skip


def _stored(row: Sequence[Any]) -> Stored:
    fields: tuple[Any, ...] = (*row[:9], bool(row[9]), *row[10:14])
    taken = Taken(*fields)
    kept, asks, lease, backend, granted_at = row[14:19]
    ended = None
    if kept == Kept.ENDED.value:
        told: tuple[Any, ...] = (taken.number, *row[19:25], row[25] or "")
        ended = Ended(*told)
    held = Lease(lease, backend, granted_at) if lease is not None else None
    return Stored(taken, Kept(kept), asks, held, ended)


def _figure(db: Any, query: str) -> int:
    return int(db.execute(query).fetchone()[0])


@contextmanager
def _transaction(db: Any) -> Iterator[None]:
    db.execute("BEGIN IMMEDIATE")
    try:
        yield
        db.execute("COMMIT")
    except BaseException:
        if db.in_transaction:  # some failures have rolled it back already
            db.execute("ROLLBACK")
        raise


CODES = {
    sqlite3.SQLITE_FULL: Trouble.FULL,
    sqlite3.SQLITE_READONLY: Trouble.READ_ONLY,
    sqlite3.SQLITE_CANTOPEN: Trouble.READ_ONLY,
    sqlite3.SQLITE_PERM: Trouble.READ_ONLY,
    sqlite3.SQLITE_CORRUPT: Trouble.DAMAGED,
    sqlite3.SQLITE_NOTADB: Trouble.FOREIGN,
    sqlite3.SQLITE_BUSY: Trouble.LOCKED,
}


@contextmanager
def _told() -> Iterator[None]:
    """SQLite's failures in our words."""
    try:
        yield
    except sqlite3.Error as fault:
        code = getattr(fault, "sqlite_errorcode", sqlite3.SQLITE_IOERR) & 0xFF
        raise StoreFault(CODES.get(code, Trouble.FAILED), str(fault)) from fault
    except OSError as fault:
        trouble = Trouble.FULL if fault.errno == errno.ENOSPC else Trouble.FAILED
        raise StoreFault(trouble, str(fault)) from fault

"""Converts errors of SQLite and of the operating system to `StoreError`."""

from __future__ import annotations

import errno
import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager

from .record import StoreError, StoreFailure

FAILURES_BY_SQLITE_CODE = {
    sqlite3.SQLITE_FULL: StoreFailure.FULL,
    sqlite3.SQLITE_READONLY: StoreFailure.READ_ONLY,
    sqlite3.SQLITE_CANTOPEN: StoreFailure.READ_ONLY,
    sqlite3.SQLITE_PERM: StoreFailure.READ_ONLY,
    sqlite3.SQLITE_CORRUPT: StoreFailure.DAMAGED,
    sqlite3.SQLITE_NOTADB: StoreFailure.FOREIGN,
    sqlite3.SQLITE_BUSY: StoreFailure.LOCKED,
}


@contextmanager
def store_errors() -> Iterator[None]:
    """Convert an error of SQLite or of the operating system to a StoreError."""
    try:
        yield
    except sqlite3.Error as error:
        code = getattr(error, "sqlite_errorcode", sqlite3.SQLITE_IOERR) & 0xFF
        failure = FAILURES_BY_SQLITE_CODE.get(code, StoreFailure.FAILED)
        raise StoreError(failure, str(error)) from error
    except OSError as error:
        failure = StoreFailure.FULL if error.errno == errno.ENOSPC else StoreFailure.FAILED
        raise StoreError(failure, str(error)) from error

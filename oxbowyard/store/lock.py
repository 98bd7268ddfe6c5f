"""The lock file that prevents two programs from opening the same store."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from .record import StoreError, StoreFailure


class StoreLock:
    """A lock that is held while the store is open; the operating system releases it if the program dies.

    With `take_over` the lock file is replaced, although a stopped or hanging program may hold it: the store's
    epoch fences that program. Raises StoreError if another program holds the lock.
    """

    def __init__(self, path: Path, take_over: bool) -> None:
        if take_over:
            path.unlink(missing_ok=True)
        try:
            self._file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise StoreError(StoreFailure.READ_ONLY, f"{path.name}: {error.strerror}") from None
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._file)
            raise StoreError(StoreFailure.LOCKED, f"another program has {path.name} open") from None

    def release(self) -> None:
        """Release the lock."""
        os.close(self._file)


def lock_path(store: Path) -> Path:
    """Return the path of a store's lock file."""
    return store.with_name(store.name + ".lock")

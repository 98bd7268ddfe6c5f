"""How much of a store's size limit is in use, and whether a further job may be stored.

New jobs may fill the store up to a share of its limit. The rest is kept for what the jobs that were accepted
still need: their grants and results. Results that are kept for clients are deleted, oldest first, before they
take the space of new jobs.
"""

from __future__ import annotations

import logging
import threading

from .record import JobAccepted

log = logging.getLogger("oxbowyard.store")

ACCEPT_SHARE = 0.8  # of the size limit, up to which new jobs are stored
RESUME_SHARE = 0.75  # below which new jobs are stored again once one was rejected
KEPT_SHARE = 0.7  # above which old results are deleted before their time
PAGE_BYTES = 4096
JOB_ROW_BYTES = 1024  # of a job without its payload and request, with its entries in the indexes


def stored_bytes(payload_bytes: int, request_bytes: int = JOB_ROW_BYTES) -> int:
    """Return an upper bound of what a job takes in the store, which has whole pages for large values."""
    pages = (payload_bytes + request_bytes) // PAGE_BYTES + 1
    return pages * PAGE_BYTES + JOB_ROW_BYTES


def accepted_bytes(job: JobAccepted) -> int:
    """Return an upper bound of what an accepted job takes in the store."""
    return stored_bytes(len(job.payload), len(job.request) + len(job.dependencies))


class StoreSpace:
    """The space of one store. The event loop asks for space, and the store's thread reports what is used."""

    def __init__(self, max_bytes: int) -> None:
        """`max_bytes` is the size limit of the store; 0: there is none."""
        self.max_bytes = max_bytes
        self.used_bytes = 0  # in the file, without free pages; as of the latest commit
        self._queued_bytes = 0  # of jobs that are not committed yet
        self._lock = threading.Lock()
        self._is_full = False

    @property
    def kept_bytes(self) -> int:
        """The size above which old results are deleted before their time."""
        return int(KEPT_SHARE * self.max_bytes)

    @property
    def is_crowded(self) -> bool:
        """Whether old results have to be deleted before their time."""
        return bool(self.max_bytes) and self.used_bytes > self.kept_bytes

    # ---- Called on the event loop ----

    def has_space(self, size_bytes: int) -> bool:
        """Return whether jobs of this size may be stored.

        After a rejection close to the limit the store is full, and takes none until less is in use.
        """
        if not self.max_bytes:
            return True
        taken_bytes = self.used_bytes + self._queued_bytes
        is_above_resume = taken_bytes > RESUME_SHARE * self.max_bytes
        if self._is_full and not is_above_resume:
            self._is_full = False
            log.info("store accepts jobs again: used_bytes=%d limit_bytes=%d", taken_bytes, self.max_bytes)
        if self._is_full:
            return False
        if taken_bytes + size_bytes <= ACCEPT_SHARE * self.max_bytes:
            return True
        if is_above_resume:
            self._is_full = True
            log.warning(
                "store full, no jobs are accepted: used_bytes=%d limit_bytes=%d", taken_bytes, self.max_bytes
            )
        return False

    def add_queued(self, size_bytes: int) -> None:
        """Count a job that is about to be committed."""
        with self._lock:
            self._queued_bytes += size_bytes

    # ---- Called on the store's thread ----

    def record_commit(self, used_bytes: int, committed_bytes: int = 0) -> None:
        """Record what the store uses, and how much of it was queued before."""
        with self._lock:
            self.used_bytes = used_bytes
            self._queued_bytes -= committed_bytes

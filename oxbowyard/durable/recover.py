"""Reads the jobs of an earlier run back into the waiting room, page by page, while it serves already."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping

from ..store.database import Database
from ..store.record import JobEnded, StoredJob, StoreError
from ..store.writer import Writer
from ..waiting.order import Order
from ..waiting.room import WaitingRoom
from .ledger import parents_of, unpack
from .recovery import Place, place

log = logging.getLogger("oxbowyard.durable")

ROOM_AGAIN = 0.1  # seconds before it is looked again whether there is room for more jobs in memory

Page = list[tuple[StoredJob, Place]]


class Recovery:
    """One start's way back. It begins to be read at once, and is over when `done` is."""

    def __init__(
        self,
        room: WaitingRoom,
        writer: Writer,
        deadlines: Mapping[str, float],
        at_once: int,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._room = room
        self._writer = writer
        self._deadlines = deadlines  # of each class, in seconds
        self._at_once = at_once
        self._wall = wall
        self.back = self.doubts = self.orphans = self.strangers = 0
        room.recovering = True

    async def run(self) -> None:
        """Read all of them back."""
        after, begun = 0, time.monotonic()
        last = await self._writer.read(lambda database: database.last_number())
        while page := await self._page(after, last):
            after = page[-1][0].accepted.number
            for stored, where in page:
                self._put_back(stored, where)
            await asyncio.sleep(0)
            while self._room.held.jobs >= self._room.settings.max_jobs:
                await asyncio.sleep(ROOM_AGAIN)  # the rest stays on disk until some of these have ended
        self._room.recovering = False
        if self.back or self.doubts:
            log.info(
                "jobs of an earlier run: %d go on, %d are in doubt, %d lost their parents, %d are of no "
                "class here, in %.1f s", self.back, self.doubts, self.orphans, self.strangers,
                time.monotonic() - begun,
            )  # fmt: skip

    async def _page(self, after: int, last: int) -> Page:
        now = self._wall()

        def read(database: Database) -> Page:
            found = []
            for stored in database.open_jobs(after, self._at_once):
                if stored.accepted.number <= last:  # later ones are of this run
                    found.append((stored, place(stored, parents_of(stored), _ends(database), now)))
            return found

        try:
            return await self._writer.read(read)
        except StoreError as fault:
            log.error("jobs of an earlier run are not read back any further: %s", fault)
            return []

    def _put_back(self, stored: StoredJob, where: Place) -> None:
        taken = stored.accepted
        deadline = self._deadlines.get(taken.job_class)
        if deadline is None:  # the settings have changed: it stays in the store, for the next ones
            self.strangers += 1
            log.warning("job %s waits in the store: there is no class %s here", taken.id, taken.job_class)
            return
        order = Order(
            taken.id, taken.job_class, where.patience * 1000, len(taken.payload), where.after,
            where.delay * 1000, taken.wait_for_idle, taken.priority, taken.tenant, taken.idempotency_key,
            taken.fingerprint, True, unpack(stored, deadline),
        )  # fmt: skip
        lease = stored.lease.token if stored.lease else ""
        lost = where.orphaned_by
        orphaned = f"{lost} has ended, or is no longer known" if lost else ""
        self._room.restore(order, taken.number, stored.submissions, lease, where.doubt, orphaned)
        if lost:
            self.orphans += 1
        elif where.doubt:
            self.doubts += 1
            log.warning("job %s (%s) is in doubt: %s", taken.id, taken.job_class, where.doubt)
        else:
            self.back += 1


def _ends(database: Database) -> Callable[[str], JobEnded | bool]:
    def ended(id_: str) -> JobEnded | bool:
        found = database.find(id_)
        return False if found is None else found.ended or True

    return ended

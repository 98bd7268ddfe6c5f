"""One open store with all that belongs to it, from the program's start to its end."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from pathlib import Path

from ..store.database import Database
from ..store.record import StoreError
from ..store.writer import LOST, Health, PruneLimits, Writer
from ..waiting.room import WaitingRoom
from .ledger import DurableLedger
from .recover import Recovery
from .settings import DurableSettings


class NotOpened(Exception):
    """The store can't be used; its text is one line."""


class Keeping:
    """The store, its thread and the ledger on it. To be made on the loop that will use it."""

    def __init__(
        self, settings: DurableSettings, take_over: bool = False, wall: Callable[[], float] = time.time
    ) -> None:
        """Open the store; raises NotOpened with what is wrong with it."""
        self._settings = settings
        self._wall = wall
        try:
            database = Database(Path(settings.path), settings.max_store_bytes, take_over)
            self.last_number = database.last_number()
        except StoreError as fault:
            raise NotOpened(f"store: {fault}") from None
        self._room: WaitingRoom | None = None
        self._writer = Writer(database, self._turned, self._prune_limits)
        self.ledger = DurableLedger(self._writer, f"{database.epoch}.", settings.lease_s, wall)

    def _prune_limits(self) -> PruneLimits:
        settings = self._settings
        return PruneLimits(
            ended_before=self._wall() - settings.keep_answers_s,
            max_results=settings.max_answers,
            max_deletions=settings.forget_at_once,
        )

    def _turned(self, health: Health) -> None:
        if health in LOST and self._room is not None:
            self._room.ledger_lost(self.ledger.lost())

    def recovery(self, room: WaitingRoom, deadlines: Mapping[str, float]) -> Recovery:
        """The way back for the jobs of earlier runs; `deadlines` in seconds by class."""
        self._room = room
        return Recovery(room, self._writer, deadlines, self._settings.read_at_once, self._wall)

    def summary(self) -> str:
        """The store's state and its commits so far, in a line."""
        writer = self._writer
        return f"store {writer.health.value}, {writer.committed_changes} changes in {writer.commits} commits"

    async def close(self) -> None:
        """Commit what is left, and let go of the store."""
        await self._writer.close()

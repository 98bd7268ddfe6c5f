"""Backends out of rotation by hand, kept in a file that a process which replaces this one reads too."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from pathlib import Path

import orjson

from ..decision.facade import Scope, WorkerInfo
from ..discovery.registry import Registry

log = logging.getLogger("oxbowyard.control")

FOLLOW_EVERY = 0.2  # seconds between looks at the file: a call to the other process binds here within 1 s
MAX_IN_MAINTENANCE = 10_000  # uids the file may name; more are not read, as from a file that is not ours
MOST_FILE = 1 << 20  # bytes of the file read at most, for the same reason

Learn = Callable[[Scope, tuple[WorkerInfo, ...]], None]


class MaintenanceFile:
    """The uids out by hand, in one JSON list. Each change reads the file anew and replaces it whole, so
    that two processes of one scheduler that take calls at once each keep the other's."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._seen: tuple[int, int] | None = None  # the file's change time and size when it was read last

    def read(self) -> frozenset[str] | None:
        """What the file names; None if that was read before, or can't be known: what is in hand stays."""
        try:
            status = self.path.stat()
            seen = (status.st_mtime_ns, status.st_size)
        except FileNotFoundError:
            if not self.path.parent.is_dir():
                return None
            seen = (0, 0)  # none yet, or taken away by whoever wants all back
        except OSError as fault:
            if self._seen is not None:  # once, not at every look
                log.warning("list of backends out by hand not readable: %s", fault)
            self._seen = None
            return None
        if seen == self._seen:
            return None
        self._seen = seen
        return self._parse() if seen != (0, 0) else frozenset()

    def _parse(self) -> frozenset[str] | None:
        try:
            with self.path.open("rb") as file:
                found = orjson.loads(file.read(MOST_FILE))
            if not isinstance(found, list):
                raise ValueError("no list")
        except (OSError, ValueError) as fault:  # cut short, or not ours
            log.warning("list of backends out by hand not readable: %s", fault)
            return None
        return frozenset(uid for uid in found[:MAX_IN_MAINTENANCE] if isinstance(uid, str))

    def change(self, uid: str, out: bool, in_hand: frozenset[str] = frozenset()) -> None:
        """Add or take away one uid, leaving the rest as the file has it now, or as it is in hand where the
        file can't tell."""
        self._seen = None
        now = self.read()
        known = in_hand if now is None else now
        wanted = known | {uid} if out else known - {uid}
        if wanted == now and self.path.exists():
            return
        part = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        try:
            part.write_bytes(orjson.dumps(sorted(wanted)))
            os.replace(part, self.path)  # whole or not at all, for a reader at the same moment
        except OSError as fault:  # the call binds in this process all the same
            log.error("list of backends out by hand not written: %s", fault)


class Maintenance:
    """Puts backends out of rotation and back, here and, through the file, in a process beside this one."""

    def __init__(self, registry: Registry, learn: Learn, file: MaintenanceFile | None = None) -> None:
        self._registry = registry
        self._learn = learn
        self._file = file
        self.on_change: Callable[[str, bool], None] = lambda uid, out: None  # not of what `take` was told

    @property
    def by_hand(self) -> frozenset[str]:
        """The uids out by hand now."""
        return frozenset(self._registry.cordoned)

    def take(self, uid: str, out: bool) -> None:
        """What another scheduler was told. One that is not listed yet drains from its first listing."""
        if out == (uid in self._registry.cordoned):
            return
        if out and len(self._registry.cordoned) >= MAX_IN_MAINTENANCE:
            log.error(
                "backend %s: told to drain by another scheduler, but %d are out already",
                uid,
                MAX_IN_MAINTENANCE,
            )
            return
        self._put(uid, out, known_or_not=True)
        if self._file is not None:
            self._file.change(uid, out, self.by_hand)

    def out(self, uid: str) -> bool:
        """Out by hand from now on; False for a uid that is not known."""
        return self._set(uid, out=True)

    def back(self, uid: str) -> bool:
        """Back in rotation; False for a uid that is not known."""
        return self._set(uid, out=False)

    def _set(self, uid: str, out: bool) -> bool:
        if not self._put(uid, out):
            return False
        if self._file is not None:
            self._file.change(uid, out, self.by_hand)
        self.on_change(uid, out)
        return True

    def follow(self) -> None:
        """Take what the other process changed in the file."""
        if self._file is None or (named := self._file.read()) is None:
            return
        for uid in named - self._registry.cordoned:
            self._put(uid, True, known_or_not=True)
            self.on_change(uid, True)
        for uid in self._registry.cordoned - named:
            self._put(uid, False)
            self.on_change(uid, False)

    def _put(self, uid: str, out: bool, known_or_not: bool = False) -> bool:
        info = self._registry.cordon(uid) if out else self._registry.uncordon(uid)
        if info is None and known_or_not:  # not listed here yet: it drains from its first listing
            self._registry.cordoned.add(uid)
            return True
        if info is None:
            return False
        self._learn(Scope.CHANGES, (info,))
        return True

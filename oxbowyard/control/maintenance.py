"""Maintenance mode: cordoned endpoints receive no new jobs until the operators uncordon them."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..decision.facade import Scope, WorkerInfo
from ..discovery.registry import Registry
from .cordon_file import MAX_CORDONED, CordonFile

log = logging.getLogger("oxbowyard.control")

SYNC_INTERVAL_S = 0.2  # a change by another process must take effect here within 1 s

UpdateEndpoints = Callable[[Scope, tuple[WorkerInfo, ...]], None]


class Maintenance:
    """Cordons and uncordons endpoints, in this process and, through the file, in one that runs beside it."""

    def __init__(
        self, registry: Registry, update_endpoints: UpdateEndpoints, file: CordonFile | None = None
    ) -> None:
        """Manage the endpoints of `registry`; `update_endpoints` passes each change on to the dispatcher."""
        self._registry = registry
        self._update_endpoints = update_endpoints
        self._file = file
        # Called with the uid and whether it is cordoned, for all changes except those by `apply_from_peer`.
        self.on_change: Callable[[str, bool], None] = lambda uid, cordoned: None

    @property
    def cordoned(self) -> frozenset[str]:
        """The uids of the cordoned endpoints."""
        return frozenset(self._registry.cordoned)

    def cordon(self, uid: str) -> bool:
        """Stop sending new jobs to an endpoint. Return False if the endpoint is not known."""
        return self._change(uid, cordoned=True)

    def uncordon(self, uid: str) -> bool:
        """Use an endpoint again according to discovery. Return False if the endpoint is not known."""
        return self._change(uid, cordoned=False)

    def apply_from_peer(self, uid: str, cordoned: bool) -> None:
        """Apply a change made at another scheduler. An endpoint not listed yet is cordoned once it is."""
        if cordoned == (uid in self._registry.cordoned):
            return
        if cordoned and len(self._registry.cordoned) >= MAX_CORDONED:
            log.error(
                "cordon from another scheduler not applied, too many cordoned endpoints: uid=%s cordoned=%d",
                uid,
                MAX_CORDONED,
            )
            return
        self._apply(uid, cordoned, allow_unlisted=True)
        self._save(uid, cordoned)

    def sync_from_file(self) -> None:
        """Apply the changes that another process has made to the file."""
        in_file = self._file.read() if self._file is not None else None
        if in_file is None:
            return
        for uid in in_file - self._registry.cordoned:
            self._apply(uid, cordoned=True, allow_unlisted=True)
            self.on_change(uid, True)
        for uid in self._registry.cordoned - in_file:
            self._apply(uid, cordoned=False)
            self.on_change(uid, False)

    def _change(self, uid: str, cordoned: bool) -> bool:
        if not self._apply(uid, cordoned):
            return False
        self._save(uid, cordoned)
        self.on_change(uid, cordoned)
        return True

    def _apply(self, uid: str, cordoned: bool, allow_unlisted: bool = False) -> bool:
        info = self._registry.cordon(uid) if cordoned else self._registry.uncordon(uid)
        if info is not None:
            self._update_endpoints(Scope.CHANGES, (info,))
            return True
        if allow_unlisted:
            self._registry.cordon_unlisted(uid)
        return allow_unlisted

    def _save(self, uid: str, cordoned: bool) -> None:
        if self._file is not None:
            self._file.update(uid, cordoned, self.cordoned)

"""The registry of endpoints: the state, the address and the start of the drain of each one.

It is the only owner of that state. The record of an endpoint is immutable and is replaced on each change.
Times are milliseconds of the registry's clock.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from typing import Any, NamedTuple

from ..decision.facade import Readiness, Scope, WorkerInfo
from .endpoint_list import ListedEndpoint, WatchEvent, to_target

log = logging.getLogger("oxbowyard.discovery")

DRAIN_MARGIN_MS = 150.0  # subtracted from the drain grace, for the transfer of the first byte


class Endpoint(NamedTuple):
    """An endpoint in the registry. A named tuple for speed: a large fleet updates a thousand every second."""

    uid: str
    address: str  # HOST:PORT; empty if not known
    readiness: Readiness  # the last state sent by the discovery service
    info: WorkerInfo
    draining_since: float | None = None  # when it was reported as draining or gone, or was cordoned

    @property
    def is_listed(self) -> bool:
        """Return whether the discovery service lists the endpoint in a state other than gone."""
        return self.readiness is not Readiness.GONE


class Registry:
    """Applies watch events, and determines whether each endpoint may be sent to.

    A cordoned endpoint is in maintenance: it counts as draining, whatever the discovery service says, until
    it is uncordoned.
    """

    def __init__(self, clock: Callable[[], float], drain_grace_ms: float) -> None:
        """`drain_grace_ms`: how long a draining endpoint may still be sent to."""
        self._clock = clock
        self._grace_ms = max(drain_grace_ms - DRAIN_MARGIN_MS, 0.0)
        self.endpoints: dict[str, Endpoint] = {}
        self.cordoned: set[str] = set()  # may name endpoints that are not listed
        self._suspended = False

    # ---- The endpoint list ----

    def apply(
        self, event: WatchEvent, is_restored: bool = False, may_be_overdue: bool = False
    ) -> tuple[Scope, tuple[WorkerInfo, ...]]:
        """Apply a watch event and return the update for the dispatcher.

        `is_restored`: the list is an earlier one, from the configuration, a peer or disk. `may_be_overdue`:
        its changes may have counted as notified before they were received.
        """
        if event.is_full:
            self._mark_unnamed_as_gone(event, may_be_overdue)
        for listed in event.endpoints:
            self._apply_entry(listed, may_be_overdue)
        self._remove_expired()
        return _scope_of(event, is_restored), tuple(
            self._effective(listed.info) for listed in event.endpoints
        )

    def effective_endpoints(self) -> tuple[WorkerInfo, ...]:
        """Return all endpoints in the form for the dispatcher."""
        return tuple(self._effective(endpoint.info) for endpoint in self.endpoints.values())

    def targets(self) -> list[dict[str, Any]]:
        """Return the endpoints that are not gone, in the form in which the discovery service sends a list."""
        return [to_target(e.uid, e.address, e.readiness, e.info) for e in self._listed()]

    @property
    def listed_count(self) -> int:
        """Return how many endpoints the discovery service lists, including draining ones."""
        return len(self._listed())

    def address(self, uid: str) -> str | None:
        """Return the address of an endpoint; None if no request may be sent to it now."""
        endpoint = self.endpoints.get(uid)
        # A cordon or a suspension applies without a grace period: the dispatcher is informed immediately.
        if endpoint is None or self._suspended or uid in self.cordoned:
            return None
        if endpoint.draining_since is not None and self._clock() - endpoint.draining_since >= self._grace_ms:
            return None
        return endpoint.address or None

    def _listed(self) -> list[Endpoint]:
        return [endpoint for endpoint in self.endpoints.values() if endpoint.is_listed]

    def _apply_entry(self, listed: ListedEndpoint, may_be_overdue: bool) -> None:
        uid, readiness = listed.info.name, listed.info.readiness
        known = self.endpoints.get(uid)
        address = listed.address or (known.address if known else "")
        if known is None:
            log.info("endpoint added: uid=%s address=%s state=%s", uid, address, readiness.value)
        else:
            _log_state_change(known, address, readiness)
        draining_since = self._drain_started_at(
            uid, known.draining_since if known else None, readiness, may_be_overdue
        )
        self.endpoints[uid] = Endpoint(uid, address, readiness, listed.info, draining_since)

    def _mark_unnamed_as_gone(self, event: WatchEvent, may_be_overdue: bool) -> None:
        named = {listed.info.name for listed in event.endpoints}
        for known in [e for e in self.endpoints.values() if e.uid not in named]:
            _log_state_change(known, known.address, Readiness.GONE)
            draining_since = self._drain_started_at(
                known.uid, known.draining_since, Readiness.GONE, may_be_overdue
            )
            self.endpoints[known.uid] = known._replace(
                readiness=Readiness.GONE, draining_since=draining_since
            )

    def _drain_started_at(
        self, uid: str, draining_since: float | None, readiness: Readiness, may_be_overdue: bool
    ) -> float | None:
        if readiness is Readiness.READY and uid not in self.cordoned:
            return None
        if draining_since is not None:
            return draining_since
        # If a dead watch delayed the change, the remaining grace is not known and assumed to be zero.
        return self._clock() - (self._grace_ms if may_be_overdue else 0.0)

    def _remove_expired(self) -> None:
        now = self._clock()
        long_gone = [
            endpoint.uid
            for endpoint in self.endpoints.values()
            if not endpoint.is_listed and now - (endpoint.draining_since or now) > self._grace_ms
        ]
        for uid in long_gone:
            del self.endpoints[uid]

    # ---- Suspension while the list is too old ----

    @property
    def is_suspended(self) -> bool:
        """Return whether every endpoint counts as draining because the list is too old."""
        return self._suspended

    def suspend(self) -> None:
        """Prevent sending to any endpoint until `resume` is called."""
        self._suspended = True

    def resume(self) -> None:
        """Allow sending again: the list is recent enough."""
        self._suspended = False

    # ---- Maintenance ----

    @property
    def cordoned_count(self) -> int:
        """Return how many listed endpoints are cordoned."""
        return sum(endpoint.uid in self.cordoned for endpoint in self._listed())

    def _is_known(self, uid: str) -> bool:
        """Return whether the endpoint is listed, was listed recently, or is cordoned."""
        return uid in self.endpoints or uid in self.cordoned

    def cordon(self, uid: str) -> WorkerInfo | None:
        """Cordon an endpoint; a repeated call has no effect.

        Return the update for the dispatcher; None if the endpoint is unknown.
        """
        if not self._is_known(uid):
            return None
        if uid not in self.cordoned:
            self.cordoned.add(uid)
            log.info("endpoint cordoned: uid=%s", uid)
        endpoint = self.endpoints.get(uid)
        if endpoint is None:
            return WorkerInfo(uid, Readiness.GONE)
        if endpoint.draining_since is None:
            self.endpoints[uid] = endpoint._replace(draining_since=self._clock())
        return self._effective(endpoint.info)

    def cordon_unlisted(self, uid: str) -> None:
        """Cordon an endpoint that may not be known yet: it drains as soon as it is listed."""
        self.cordoned.add(uid)

    def uncordon(self, uid: str) -> WorkerInfo | None:
        """Apply the state sent by the discovery service again; one call reverts all calls of `cordon`.

        Return the update for the dispatcher; None if the endpoint is unknown.
        """
        if not self._is_known(uid):
            return None
        if uid in self.cordoned:
            self.cordoned.discard(uid)
            log.info("endpoint uncordoned: uid=%s", uid)
        endpoint = self.endpoints.get(uid)
        if endpoint is None:
            return WorkerInfo(uid, Readiness.GONE)
        if endpoint.readiness is Readiness.READY:
            self.endpoints[uid] = endpoint._replace(draining_since=None)
        return self._effective(endpoint.info)

    def _effective(self, info: WorkerInfo) -> WorkerInfo:
        """Return the form for the dispatcher, in which a cordoned or suspended endpoint is draining."""
        is_unavailable = self._suspended or info.name in self.cordoned
        if is_unavailable and info.readiness is Readiness.READY:
            return replace(info, readiness=Readiness.DRAINING)
        return info


def _log_state_change(known: Endpoint, address: str, readiness: Readiness) -> None:
    if known.readiness is not readiness:
        log.info("endpoint state changed: uid=%s address=%s state=%s", known.uid, address, readiness.value)


def _scope_of(event: WatchEvent, is_restored: bool) -> Scope:
    if is_restored:
        return Scope.RESTORED
    return Scope.FULL if event.is_full else Scope.CHANGES

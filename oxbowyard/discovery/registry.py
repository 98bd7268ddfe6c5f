"""The registry of endpoints: each one's state, its address, and since when it drains.

It is the one owner of that state. An endpoint's record is immutable and is replaced as a whole. Times are
milliseconds of the clock that the registry is given.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from typing import Any, NamedTuple

from ..decision.facade import Readiness, Scope, WorkerInfo
from .endpoint_list import ListedEndpoint, WatchEvent, to_target

log = logging.getLogger("oxbowyard.discovery")

DRAIN_MARGIN_MS = 150.0  # kept off the drain grace: a first byte still travels to its endpoint


class Endpoint(NamedTuple):
    """One endpoint as the registry knows it. A named tuple: a large fleet renews a thousand each second."""

    uid: str
    address: str  # HOST:PORT; empty where no entry has named it
    readiness: Readiness  # as the discovery service sent it last
    info: WorkerInfo
    draining_since: float | None = None  # when it was notified as draining or gone, or cordoned

    @property
    def is_listed(self) -> bool:
        """Whether the discovery service names it, and not as gone."""
        return self.readiness is not Readiness.GONE


class Registry:
    """Applies watch events, and says of each endpoint whether it may still be sent to.

    A cordoned endpoint is in maintenance: it counts as draining, whatever the discovery service says, until
    it is uncordoned.
    """

    def __init__(self, clock: Callable[[], float], drain_grace_ms: float) -> None:
        """`drain_grace_ms`: for how long a draining endpoint may still be sent to."""
        self._clock = clock
        self._grace_ms = max(drain_grace_ms - DRAIN_MARGIN_MS, 0.0)
        self.endpoints: dict[str, Endpoint] = {}
        self.cordoned: set[str] = set()  # may name endpoints that are not listed
        self._suspended = False

    # ---- The endpoint list ----

    def apply(
        self, event: WatchEvent, is_restored: bool = False, may_be_overdue: bool = False
    ) -> tuple[Scope, tuple[WorkerInfo, ...]]:
        """Apply a watch event; returns what to pass on to the decisions.

        `is_restored`: the list is one kept from before. `may_be_overdue`: its changes may have counted as notified before.
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
        """All endpoints in the form for the decisions."""
        return tuple(self._effective(endpoint.info) for endpoint in self.endpoints.values())

    def targets(self) -> list[dict[str, Any]]:
        """The endpoints that are not gone, in the form in which the discovery service sends a list."""
        return [to_target(e.uid, e.address, e.readiness, e.info) for e in self._listed()]

    @property
    def listed_count(self) -> int:
        """How many endpoints the discovery service names, draining ones included."""
        return len(self._listed())

    def address(self, uid: str) -> str | None:
        """The address of an endpoint whose first byte may be sent now; None where it may not."""
        endpoint = self.endpoints.get(uid)
        # The decisions learn of a cordon or a suspension at once: there is no grace.
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
        # How much of the grace is left of a change that a dead watch held back is not known: none is taken.
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

    # ---- Suspension: the list is too old to send by ----

    @property
    def is_suspended(self) -> bool:
        """Whether every endpoint counts as draining, because the list is too old to send by."""
        return self._suspended

    def suspend(self) -> None:
        """Let no endpoint be sent to until `resume`."""
        self._suspended = True

    def resume(self) -> None:
        """The list is young enough again to send by."""
        self._suspended = False

    # ---- Maintenance ----

    @property
    def cordoned_count(self) -> int:
        """How many listed endpoints are cordoned."""
        return sum(endpoint.uid in self.cordoned for endpoint in self._listed())

    def _is_known(self, uid: str) -> bool:
        """Whether the endpoint is listed, or was of late, or is cordoned."""
        return uid in self.endpoints or uid in self.cordoned

    def cordon(self, uid: str) -> WorkerInfo | None:
        """Cordon an endpoint; a second call changes nothing.

        Returns what to pass on to the decisions; None where the endpoint is unknown.
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
        """Cordon an endpoint that is unknown as yet: it drains from its first listing."""
        self.cordoned.add(uid)

    def uncordon(self, uid: str) -> WorkerInfo | None:
        """Use an endpoint again as the discovery service says; one call undoes all calls of `cordon`.

        Returns what to pass on to the decisions; None where the endpoint is unknown.
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
        """The form for the decisions: a cordoned or suspended endpoint drains."""
        held_back = self._suspended or info.name in self.cordoned
        if held_back and info.readiness is Readiness.READY:
            return replace(info, readiness=Readiness.DRAINING)
        return info


def _log_state_change(known: Endpoint, address: str, readiness: Readiness) -> None:
    if known.readiness is not readiness:
        log.info("endpoint state changed: uid=%s address=%s state=%s", known.uid, address, readiness.value)


def _scope_of(event: WatchEvent, is_restored: bool) -> Scope:
    if is_restored:
        return Scope.RESTORED
    return Scope.FULL if event.is_full else Scope.CHANGES

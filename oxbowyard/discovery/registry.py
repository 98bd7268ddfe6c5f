"""The list of backends as last told: who they are, where they listen, and since when one is leaving."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from ..decision.facade import Readiness, Scope, WorkerInfo

log = logging.getLogger("oxbowyard.director")  # as operators know it

READINESS = {"ready": Readiness.READY, "draining": Readiness.DRAINING, "gone": Readiness.GONE}
BROKEN_ENTRY = (LookupError, TypeError, ValueError, OverflowError)  # the last for 1e999, which is JSON
DRAIN_MARGIN_MS = 150.0  # kept off the drain second: a first byte still travels to its backend


class BrokenList(ValueError):
    """Discovery sent something that is not a list of backends."""


@dataclass(slots=True)
class Backend:
    """One backend as the registry knows it."""

    uid: str
    endpoint: str
    readiness: Readiness  # as discovery said last
    info: WorkerInfo
    leaving_since: float | None = None  # clock time when it was told draining or gone, or put out by hand


@dataclass(slots=True, frozen=True)
class Change:
    """What one answer of discovery says."""

    rev: int
    full: bool
    entries: tuple[tuple[str, WorkerInfo], ...]  # each with its endpoint


def parse_list(document: object) -> Change:
    """Read discovery's JSON. A broken entry is left out and logged; a broken list raises."""
    if not isinstance(document, dict) or not isinstance(document.get("targets"), list):
        raise BrokenList("no list of targets")
    rev = document.get("rev")
    if not isinstance(rev, int) or isinstance(rev, bool):
        raise BrokenList("no version")
    entries = []
    for row in document["targets"]:
        try:
            entries.append(_entry(row))
        except BROKEN_ENTRY as fault:
            log.warning("broken entry in the list of backends left out: %r", fault)
    return Change(rev, bool(document.get("all")), tuple(entries))


def _entry(row: dict[str, Any]) -> tuple[str, WorkerInfo]:
    uid, state = row["uid"], READINESS[row["state"]]
    if not (isinstance(uid, str) and uid):
        raise ValueError("uid is not a text")
    try:
        return _whole_entry(row, uid, state)
    except BROKEN_ENTRY as fault:
        if state is Readiness.READY:
            raise
        # That it must not be sent to binds whatever else of its entry can't be read.
        log.warning("backend %s: %s, the rest of its entry is broken: %r", uid, state.value, fault)
        return "", WorkerInfo(uid, state)


def _whole_entry(row: dict[str, Any], uid: str, state: Readiness) -> tuple[str, WorkerInfo]:
    endpoint = row["endpoint"]
    if not isinstance(endpoint, str):
        raise ValueError("endpoint is not a text")
    host, _, port = endpoint.rpartition(":")
    if (endpoint or state is not Readiness.GONE) and not (host and 0 < int(port) < 65536):
        raise ValueError(f"endpoint {endpoint!r}")
    info = WorkerInfo(
        uid,
        state,
        str(row.get("az") or ""),
        str(row.get("model") or ""),
        int(row.get("pod_group") or 0),
        float(row.get("capacity_hint") or 1.0),
        float(row.get("boot_ms") or 0.0),
    )
    return endpoint, info


class Registry:
    """Applies changes and answers for each backend whether it may still be sent to."""

    def __init__(self, clock: Callable[[], float], drain_grace: float) -> None:
        self._clock = clock
        self._grace = max(drain_grace - DRAIN_MARGIN_MS, 0.0)
        self.backends: dict[str, Backend] = {}
        # Put out of rotation by the operators: drained whatever discovery says, until they are put back.
        self.by_hand: set[str] = set()
        self.suspended = False  # the list is too old to send by: every worker counts as draining

    def apply(
        self, change: Change, restored: bool = False, late: bool = False
    ) -> tuple[Scope, tuple[WorkerInfo, ...]]:
        """Take a change and say it again for the decisions. `late`: it may have counted as told before."""
        named = {info.name for _, info in change.entries}
        if change.full:
            for backend in self.backends.values():
                if backend.uid not in named:
                    self._mark(backend, Readiness.GONE, late)
        for endpoint, info in change.entries:
            known = self.backends.get(info.name)
            if known is None:
                known = self.backends[info.name] = Backend(info.name, endpoint, info.readiness, info)
                log.info("backend %s at %s: new, %s", info.name, endpoint, info.readiness.value)
            known.endpoint = endpoint or known.endpoint
            known.info = info
            self._mark(known, info.readiness, late)
        self._forget_long_gone()
        scope = Scope.RESTORED if restored else Scope.FULL if change.full else Scope.CHANGES
        return scope, tuple(self._as_held(info) for _, info in change.entries)

    def told_to_decisions(self) -> tuple[WorkerInfo, ...]:
        """The whole list as the decisions are told it now."""
        return tuple(self._as_held(backend.info) for backend in self.backends.values())

    def _as_held(self, info: WorkerInfo) -> WorkerInfo:
        """What the decisions are told: one out by hand drains, whatever discovery's news."""
        held_back = self.suspended or info.name in self.by_hand
        if held_back and info.readiness is Readiness.READY:
            return replace(info, readiness=Readiness.DRAINING)
        return info

    def document(self) -> list[dict[str, Any]]:
        """The list as the service tells it: those that are not gone, with what it said of each."""
        return [
            {
                "uid": b.uid, "endpoint": b.endpoint, "state": b.readiness.value, "az": b.info.zone,
                "model": b.info.kind, "pod_group": b.info.cell, "capacity_hint": b.info.weight,
                "boot_ms": b.info.online_since,
            }
            for b in self.backends.values() if b.readiness is not Readiness.GONE
        ]  # fmt: skip

    def put_out(self, uid: str) -> WorkerInfo | None:
        """Out of rotation by hand, from now on; None if it is unknown. A second call changes nothing."""
        backend = self.backends.get(uid)
        if backend is None and uid not in self.by_hand:
            return None
        if uid not in self.by_hand:
            self.by_hand.add(uid)
            log.info("backend %s: out of rotation by hand", uid)
        if backend is None:
            return WorkerInfo(uid, Readiness.GONE)
        if backend.leaving_since is None:
            backend.leaving_since = self._clock()
        return self._as_held(backend.info)

    def put_back(self, uid: str) -> WorkerInfo | None:
        """Back in rotation, as discovery said last; None if it is unknown. One call undoes all calls out."""
        backend = self.backends.get(uid)
        if backend is None and uid not in self.by_hand:
            return None
        if uid in self.by_hand:
            self.by_hand.discard(uid)
            log.info("backend %s: back in rotation", uid)
        if backend is None:
            return WorkerInfo(uid, Readiness.GONE)
        if backend.readiness is Readiness.READY:
            backend.leaving_since = None
        return self._as_held(backend.info)

    @property
    def listed(self) -> int:
        """Backends in the list: all that discovery names and has not told gone."""
        return sum(b.readiness is not Readiness.GONE for b in self.backends.values())

    @property
    def out_by_hand(self) -> int:
        """Listed backends that are out of rotation by hand."""
        return sum(
            b.readiness is not Readiness.GONE and b.uid in self.by_hand for b in self.backends.values()
        )

    def _mark(self, backend: Backend, readiness: Readiness, late: bool) -> None:
        if readiness is Readiness.READY and backend.uid not in self.by_hand:
            backend.leaving_since = None
        elif backend.leaving_since is None:
            # News that a silent watch held back: how much of the grace is left is not known, so none is.
            backend.leaving_since = self._clock() - (self._grace if late else 0.0)
        if backend.readiness is not readiness:
            log.info("backend %s at %s: %s", backend.uid, backend.endpoint, readiness.value)
        backend.readiness = readiness

    def _forget_long_gone(self) -> None:
        now = self._clock()
        for uid in [
            b.uid
            for b in self.backends.values()
            if b.readiness is Readiness.GONE and now - (b.leaving_since or now) > self._grace
        ]:
            del self.backends[uid]

    def address(self, uid: str) -> str | None:
        """Where the backend listens, if its first byte may be sent to it now."""
        backend = self.backends.get(uid)
        # Out by hand, or the list suspended: the decisions were told at once.
        if backend is None or self.suspended or uid in self.by_hand:
            return None
        if backend.leaving_since is not None and self._clock() - backend.leaving_since >= self._grace:
            return None
        return backend.endpoint or None

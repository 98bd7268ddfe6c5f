"""The lists of backends, one per source, and the start times that they announce."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from itertools import chain

from ..decision.facade import Readiness, Scope, WorkerFault, WorkerInfo


class EndpointLists:
    """Holds the last known list of each source: discovery, and the backends that connect to the scheduler."""

    def __init__(self) -> None:
        self._by_source: dict[str, dict[str, WorkerInfo]] = {}

    def update(self, scope: Scope, backends: tuple[WorkerInfo, ...], source: str) -> tuple[WorkerInfo, ...]:
        """Store a list, or changes to one, and return the update to pass on to the dispatcher.

        A full list covers its own source only, so the backends of the other sources are added to it.
        """
        listed = self._by_source.setdefault(source, {})
        if scope is not Scope.CHANGES:
            listed.clear()
        for info in backends:
            listed[info.name] = info
            if info.readiness is Readiness.GONE:
                del listed[info.name]
        if scope is Scope.CHANGES:
            return backends
        others = (rows.values() for name, rows in self._by_source.items() if name != source)
        return (*backends, *chain.from_iterable(others))

    def exclude_announced_starts(self, faults: Iterable[WorkerFault]) -> list[WorkerFault]:
        """Return the faults without cold starts announced by a list, since every scheduler gets that list."""
        announced: dict[str, float] = {}
        for rows in self._by_source.values():
            announced |= {name: info.started_at_ms for name, info in rows.items() if info.started_at_ms}
        remaining = (
            replace(fault, cold_since_ms=0.0)
            if fault.cold_since_ms <= announced.get(fault.worker, 0.0)
            else fault
            for fault in faults
        )
        return [fault for fault in remaining if fault.avoid_for_ms or fault.cold_since_ms]

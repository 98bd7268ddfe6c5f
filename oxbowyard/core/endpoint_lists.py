"""The lists of backends, one for each source, and what they say of a backend's start."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from itertools import chain

from ..decision.facade import Readiness, Scope, WorkerFault, WorkerInfo


class EndpointLists:
    """The last known list of each source: discovery, and the backends that connect by themselves."""

    def __init__(self) -> None:
        self._by_source: dict[str, dict[str, WorkerInfo]] = {}

    def update(self, scope: Scope, backends: tuple[WorkerInfo, ...], source: str) -> tuple[WorkerInfo, ...]:
        """Take a list, or changes of one, and return what the decisions are to be told.

        A complete list is complete for its own source only: the backends of the other sources are added.
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
        """The faults less the cold starts that a list announces: every scheduler reads those there."""
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

"""Worker faults as gossip entries: selects the own faults to report, and evaluates the reports of peers.

A report may prevent the use of a worker for a while, but never causes it to be used sooner. It only says how
long to avoid the worker, and since when it has been warming up. This module does no I/O and reads no clock.
Times are in seconds, but those of the dispatcher are in milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from ..decision.facade import WorkerFault
from ..membership.messages import GossipEntry

EJECTED_PREFIX = "bar:"  # prefix of an entry's key, followed by the worker's id
WARMING_UP_PREFIX = "cold:"
KEY_PREFIXES = (EJECTED_PREFIX, WARMING_UP_PREFIX)

MAX_REPORTED_FAULTS = 64
MAX_REPORTED_SHARE = 0.25  # of the workers; with more faults the cause is probably this scheduler
MIN_LIFETIME_S = 0.1  # a fault that ends sooner is not reported
MIN_EXTENSION_S = 0.3  # a fault is reported again if its end moves by more than this
MIN_START_DIFFERENCE_MS = 1000.0  # start times of a worker that differ by less count as equal
MAX_LIFETIME_S = 30.0  # upper limit for the lifetime in a peer's report
MS_PER_S = 1000


@dataclass(slots=True, frozen=True)
class FaultReport:
    """A fault report to write as an entry."""

    key: str
    value: float  # for a worker that is warming up: for how long it has been, in seconds
    lifetime_s: float


@dataclass(slots=True, frozen=True)
class _ReceivedReport:
    entry: GossipEntry
    created_at: float

    def remaining_s(self, now: float) -> float:
        return min(self.entry.lifetime_s, MAX_LIFETIME_S) - (now - self.created_at)


class FaultReports:
    """Holds the reports that this scheduler has sent and received. `ramp_s`: how long a worker warms up."""

    def __init__(self, ramp_s: float) -> None:
        self._ramp_s = ramp_s
        self._reported_until: dict[str, float] = {}  # end of the reported fault, by key
        self._received: dict[tuple[str, str], _ReceivedReport] = {}  # by author and key

    # ---- Own faults ----

    def new_reports(
        self, now: float, own_faults: list[WorkerFault], worker_count: int, clock_ms: float
    ) -> list[FaultReport]:
        """Return the new reports for this scheduler's own faults. `clock_ms`: the dispatcher's time.

        A start that a peer reported is left out: otherwise two schedulers would repeat each other's report
        indefinitely.
        """
        self._reported_until = {key: until for key, until in self._reported_until.items() if until > now}
        if len(own_faults) > max(min(MAX_REPORTED_FAULTS, worker_count * MAX_REPORTED_SHARE), 1):
            return []
        peer_starts = {fault.worker: fault.cold_since_ms for fault in self.peer_faults(now, clock_ms)}
        reports: list[FaultReport] = []
        for fault in own_faults:
            reports += self._ejection_report(fault, now)
            peer_start = peer_starts.get(fault.worker, -math.inf)
            if fault.cold_since_ms and abs(fault.cold_since_ms - peer_start) > MIN_START_DIFFERENCE_MS:
                reports += self._warm_up_report(fault, now, clock_ms)
        return reports

    def _ejection_report(self, fault: WorkerFault, now: float) -> list[FaultReport]:
        return self._report_if_new(EJECTED_PREFIX + fault.worker, 0.0, fault.avoid_for_ms / MS_PER_S, now)

    def _warm_up_report(self, fault: WorkerFault, now: float, clock_ms: float) -> list[FaultReport]:
        age_s = max(clock_ms - fault.cold_since_ms, 0.0) / MS_PER_S
        return self._report_if_new(WARMING_UP_PREFIX + fault.worker, age_s, self._ramp_s - age_s, now)

    def _report_if_new(self, key: str, value: float, lifetime_s: float, now: float) -> list[FaultReport]:
        """Return the report, unless the fault ends soon or was already reported with about the same end."""
        is_reported = self._reported_until.get(key, 0.0) + MIN_EXTENSION_S > now + lifetime_s
        if lifetime_s < MIN_LIFETIME_S or is_reported:
            return []
        self._reported_until[key] = now + lifetime_s
        return [FaultReport(key, value, lifetime_s)]

    # ---- Peers' faults ----

    def receive(self, entry: GossipEntry, now: float) -> bool:
        """Store a peer's entry if it is a fault report, and return whether it is one."""
        if not entry.key.startswith(KEY_PREFIXES) or entry.is_shared:
            return False
        self._received[entry.author, entry.key] = _ReceivedReport(entry, now - entry.age_s)
        return True

    def peer_faults(
        self, now: float, clock_ms: float, own_faults: Iterable[WorkerFault] = ()
    ) -> tuple[WorkerFault, ...]:
        """Return the faults that the peers report at this time, one per worker, sorted by the worker's id.

        A start that hardly differs from the one in `own_faults` is left out: otherwise it would become later
        each time it is reported back and forth.
        """
        self._drop_expired(now)
        own_starts = {fault.worker: fault.cold_since_ms for fault in own_faults if fault.cold_since_ms}
        avoid_ms: dict[str, float] = {}
        starts: dict[str, float] = {}
        for report in self._received.values():
            key = report.entry.key
            if key.startswith(EJECTED_PREFIX):
                worker = key.removeprefix(EJECTED_PREFIX)
                avoid_ms[worker] = max(avoid_ms.get(worker, 0.0), report.remaining_s(now) * MS_PER_S)
                continue
            worker = key.removeprefix(WARMING_UP_PREFIX)
            start = clock_ms - (now - report.created_at + report.entry.value) * MS_PER_S
            if start - own_starts.get(worker, -math.inf) > MIN_START_DIFFERENCE_MS:
                starts[worker] = max(starts.get(worker, 0.0), start)
        return tuple(
            WorkerFault(worker, avoid_ms.get(worker, 0.0), starts.get(worker, 0.0))
            for worker in sorted(avoid_ms.keys() | starts.keys())
        )

    def _drop_expired(self, now: float) -> None:
        expired = [key for key, report in self._received.items() if report.remaining_s(now) <= 0]
        for key in expired:
            del self._received[key]

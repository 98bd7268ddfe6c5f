"""Worker faults as entries among schedulers: which of one's own to report, and what the peers' reports mean.

A report may keep a worker from being used for a while; it never causes it to be used sooner. It says at most
for how long to avoid the worker, and since when it has been warming up. Without I/O or clock: times here are
in seconds, those of the decisions in milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from ..decision.facade import WorkerFault
from ..membership.messages import GossipEntry

EJECTED_PREFIX = "bar:"  # of an entry's key; the worker's id follows
WARMING_UP_PREFIX = "cold:"
KEY_PREFIXES = (EJECTED_PREFIX, WARMING_UP_PREFIX)

MAX_REPORTED_FAULTS = 64
MAX_REPORTED_SHARE = 0.25  # of the workers: with more, this scheduler is rather at fault itself
MIN_LIFETIME_S = 0.1  # a fault that is over sooner is not reported
MIN_EXTENSION_S = 0.3  # by which a fault has to end later to be reported again
MIN_START_DIFFERENCE_MS = 1000.0  # by which two schedulers' starts of one worker differ at least
MAX_LIFETIME_S = 30.0  # of a peer's report, whatever it says
MS_PER_S = 1000


@dataclass(slots=True, frozen=True)
class FaultReport:
    """An entry to write."""

    key: str
    value: float  # of a worker that is warming up: for how long already, in seconds
    lifetime_s: float


@dataclass(slots=True, frozen=True)
class _ReceivedReport:
    entry: GossipEntry
    began_at: float

    def remaining_s(self, now: float) -> float:
        return min(self.entry.lifetime_s, MAX_LIFETIME_S) - (now - self.began_at)


class FaultReports:
    """The reports that one scheduler has made and received. `ramp_s`: how long a worker warms up."""

    def __init__(self, ramp_s: float) -> None:
        self._ramp_s = ramp_s
        self._reported_until: dict[str, float] = {}  # by key
        self._received: dict[tuple[str, str], _ReceivedReport] = {}  # by author and key

    # ---- Own faults ----

    def new_reports(
        self, now: float, own_faults: list[WorkerFault], worker_count: int, clock_ms: float
    ) -> list[FaultReport]:
        """What is to be reported of this scheduler's own faults; `clock_ms` is the decisions' time.

        A start that a peer reported is left out: each would report the other's report for ever.
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
        """The report, unless it is over soon or was made already with about the same end."""
        is_reported = self._reported_until.get(key, 0.0) + MIN_EXTENSION_S > now + lifetime_s
        if lifetime_s < MIN_LIFETIME_S or is_reported:
            return []
        self._reported_until[key] = now + lifetime_s
        return [FaultReport(key, value, lifetime_s)]

    # ---- Peers' faults ----

    def receive(self, entry: GossipEntry, now: float) -> bool:
        """Take a peer's entry; returns whether it is a fault report."""
        if not entry.key.startswith(KEY_PREFIXES) or entry.is_shared:
            return False
        self._received[entry.author, entry.key] = _ReceivedReport(entry, now - entry.age_s)
        return True

    def peer_faults(
        self, now: float, clock_ms: float, own_faults: Iterable[WorkerFault] = ()
    ) -> tuple[WorkerFault, ...]:
        """What the peers' reports come to at this time, one fault for each worker, sorted by its id.

        A start that hardly differs from what `own_faults` say is left out: reported back and forth, it
        would come later each time.
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
            start = clock_ms - (now - report.began_at + report.entry.value) * MS_PER_S
            if start - own_starts.get(worker, -math.inf) > MIN_START_DIFFERENCE_MS:
                starts[worker] = max(starts.get(worker, 0.0), start)
        return tuple(
            WorkerFault(worker, avoid_ms.get(worker, 0.0), starts.get(worker, 0.0))
            for worker in sorted(avoid_ms.keys() | starts.keys())
        )

    def _drop_expired(self, now: float) -> None:
        expired = [place for place, report in self._received.items() if report.remaining_s(now) <= 0]
        for place in expired:
            del self._received[place]

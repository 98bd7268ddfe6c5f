"""Caches the fleet's capacity for each class, because counting it iterates over all workers."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..core.scheduler import Scheduler
from ..decision.settings import JobClass
from .job import AGED_CLASS_SUFFIX
from .release_rate import FleetCapacity

CACHE_DURATION_MS = 50.0


@dataclass(slots=True, frozen=True)
class _CachedCapacity:
    """The capacity for a class when it was last counted."""

    valid_until_ms: float
    workers: int
    slots: float
    sharing_classes: tuple[str, ...]  # the classes whose requests use the same slots


class FleetView:
    """The fleet's capacity by class, as the scheduler reports it."""

    def __init__(
        self, scheduler: Scheduler, classes: Mapping[str, JobClass], clock: Callable[[], float]
    ) -> None:
        self._scheduler = scheduler
        self._classes = classes
        self._clock = clock
        self._cache: dict[str, _CachedCapacity] = {}

    def capacity(self, job_class: str) -> FleetCapacity:
        """Return the fleet's current capacity for a class."""
        now = self._clock()
        cached = self._cache.get(job_class)
        if cached is None or now >= cached.valid_until_ms:
            cached = self._cache[job_class] = self._count(job_class, now)
        since_rejection_ms = self._scheduler.seconds_since_rejection() * 1000
        open_requests = self._scheduler.open_request_count_of(cached.sharing_classes)
        return FleetCapacity(cached.workers, cached.slots, open_requests, since_rejection_ms)

    def _count(self, job_class: str, now: float) -> _CachedCapacity:
        capacity = self._scheduler.capacity(job_class)
        if capacity.is_exclusive:  # the endpoint list names the workers of each class
            names = [job_class]
        else:
            kind = self._classes[job_class].kind
            names = [name for name, other in self._classes.items() if other.kind == kind]
        sharing = tuple(shared for name in names for shared in (name, name + AGED_CLASS_SUFFIX))
        return _CachedCapacity(now + CACHE_DURATION_MS, capacity.workers, capacity.slots, sharing)

"""The interface of the program to the membership component."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ..decision.facade import WorkerFault


@dataclass(slots=True, frozen=True)
class ProgramServices:
    """Values and callbacks of the program. The component uses no other part of it."""

    name: str
    zone: str
    configured_size: int  # number of schedulers in the settings
    ramp_s: float  # how long a worker warms up
    version: str
    random: Random
    clock_ms: Callable[[], float]  # the dispatcher's clock
    state: Callable[[], str]  # one of `facts.STATES`
    open_request_count: Callable[[], int]
    slots: Callable[[], float]  # number of jobs that the listed workers can run concurrently
    worker_count: Callable[[], int]
    own_faults: Callable[[], list[WorkerFault]]
    apply_peer_faults: Callable[[tuple[WorkerFault, ...]], None]
    set_scheduler_count: Callable[[int], None]
    drained_workers: Callable[[], frozenset[str]]
    set_drained: Callable[[str, bool], None]  # by worker id

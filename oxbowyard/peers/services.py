"""What the program provides to the membership component."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from ..decision.facade import WorkerFault


@dataclass(slots=True, frozen=True)
class ProgramServices:
    """Figures and calls of the program. The component knows no other part of it."""

    name: str
    zone: str
    configured_size: int  # schedulers, as the settings say
    ramp_s: float  # for how long a worker warms up
    version: str
    random: Random
    clock_ms: Callable[[], float]  # the decisions' clock
    state: Callable[[], str]  # one of `facts.STATES`
    open_request_count: Callable[[], int]
    slots: Callable[[], float]  # jobs that the listed workers can run at once
    worker_count: Callable[[], int]
    own_faults: Callable[[], list[WorkerFault]]
    apply_peer_faults: Callable[[tuple[WorkerFault, ...]], None]
    set_scheduler_count: Callable[[int], None]
    drained_workers: Callable[[], frozenset[str]]
    set_drained: Callable[[str, bool], None]  # by worker id

"""The facade of the decisions, with a clock and timers, for the daemon's core and for embedding programs.

Every call returns `Decisions` at once: the actions to carry out in order, and when to call `tick` next. A
call about one request may return actions for others. An exception in the dispatcher is returned, not raised.
"""

from __future__ import annotations

import heapq
import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

from . import snapshot
from .actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    LogMessage,
    QueueRequest,
    RejectRequest,
    RequestAction,
    SetTimer,
    StartAttempt,
)
from .dispatcher import Dispatcher
from .events import (
    NEVER_RAN,
    AttemptEnded,
    AttemptStarted,
    ClientDisconnected,
    EndpointsChanged,
    Event,
    PeerFaultsChanged,
    Readiness,
    RequestReceived,
    Result,
    Scope,
    TimerFired,
    WorkerFault,
    WorkerInfo,
)
from .outlier_detection import is_stalled
from .settings import Settings
from .slow_start import warmth
from .snapshot import Snapshot

__all__ = [
    "NEVER_RAN",
    "AttemptEnded",
    "AttemptStarted",
    "CancelAttempt",
    "Capacity",
    "ClientDisconnected",
    "Decisions",
    "Facade",
    "FailRequest",
    "QueueRequest",
    "Readiness",
    "RejectRequest",
    "RequestAction",
    "RequestReceived",
    "Result",
    "Scope",
    "Snapshot",
    "StartAttempt",
    "WorkerFault",
    "WorkerInfo",
]

log = logging.getLogger("oxbowyard.decision")

STALL_REPORT_MS = 1000.0  # how long peers should avoid a stalled worker


@dataclass(slots=True, frozen=True)
class Decisions:
    """The actions to carry out now, and the clock time of the next tick (None: no tick is needed)."""

    actions: tuple[RequestAction, ...]
    next_tick_ms: float | None
    error: Exception | None = None  # raised by the dispatcher; `actions` holds what it decided before


@dataclass(slots=True, frozen=True)
class Capacity:
    """The capacity of the workers that may run a class, as far as this dispatcher may use it."""

    workers: int  # number of ready workers
    slots: float  # jobs that run concurrently before others wait; a cold worker counts in part
    is_exclusive: bool  # they serve this dispatcher only


class Facade:
    """One dispatcher with a clock and timers. `clock` returns milliseconds and may step back."""

    def __init__(self, settings: Settings, seed: int, clock: Callable[[], float]) -> None:
        self._dispatcher = Dispatcher(settings, seed)
        self._state = self._dispatcher.state
        self._schedulers = settings.scheduler_count
        self._clock = clock
        self._now_ms = clock()
        self._timers: list[tuple[float, int, int]] = []  # heap of (due time, sequence number, tag)
        self._timer_order = itertools.count()

    def replace_classes(self, settings: Settings) -> None:
        """Use the classes and the maximum of attempts of these settings for requests received from now on."""
        self._state.replace_classes(settings.classes, settings.max_attempts)

    def set_scheduler_count(self, count: int) -> None:
        """Set the number of dispatchers that send to the same workers, including this one.

        Quotas and `sparse_traffic` still follow the number in the settings that the facade was created with.
        """
        self._schedulers = max(count, 1)
        self._state.settings = replace(self._state.settings, scheduler_count=self._schedulers)

    def update_endpoints(self, scope: Scope, workers: tuple[WorkerInfo, ...]) -> Decisions:
        """Apply an endpoint list, or changes of it, from service discovery."""
        return self._handle(EndpointsChanged(scope, workers))

    def apply_peer_faults(self, faults: tuple[WorkerFault, ...]) -> Decisions:
        """Apply all worker faults that peers report now.

        They may only make the dispatcher avoid a worker, never prefer one.
        """
        return self._handle(PeerFaultsChanged(faults))

    def decide(self, request: RequestReceived) -> Decisions:
        """Decide about a new request. If nothing is decided yet, its action is QueueRequest."""
        decisions = self._handle(request)
        if decisions.error or any(a.request_id == request.request_id for a in decisions.actions):
            return decisions
        actions = (*decisions.actions, QueueRequest(request.request_id))
        return Decisions(actions, decisions.next_tick_ms)

    def report(self, event: AttemptStarted | AttemptEnded | ClientDisconnected) -> Decisions:
        """Report the start or end of an attempt, or the disconnect of a client."""
        return self._handle(event)

    def tick(self, now: float) -> Decisions:
        """Fire the timers that are due. Call it at `Decisions.next_tick_ms` or later."""
        actions: list[RequestAction] = []
        error: Exception | None = None
        while self._timers and self._timers[0][0] <= now:
            _, _, tag = heapq.heappop(self._timers)
            decisions = self._handle(TimerFired(tag), now)
            actions += decisions.actions
            error = error or decisions.error
        return Decisions(tuple(actions), self._next_tick_ms(), error)

    def snapshot(self) -> Snapshot:
        """Return the estimates, for the process that replaces this one."""
        return snapshot.take(self._state, self._current_ms())

    def restore_snapshot(self, estimates: Snapshot) -> None:
        """Restore the estimates of the process that this one replaces."""
        snapshot.restore(self._state, estimates, self._current_ms())

    def worker_faults(self) -> list[WorkerFault]:
        """Return the worker faults that own traffic shows. Iterates over all ready workers."""
        state, now = self._state, self._current_ms()
        ramp = state.settings.ramp_ms
        faults = []
        for worker in state.ready_workers:
            ejected_ms = worker.ejected_until_ms - now if worker.failure_count >= 1 else 0.0
            stalled_ms = STALL_REPORT_MS if is_stalled(worker, now) else 0.0
            started = worker.started_at_ms
            cold_since = started if 0 < started <= now < started + ramp else 0.0
            if ejected_ms > 0 or stalled_ms or cold_since:
                faults.append(WorkerFault(worker.name, max(ejected_ms, stalled_ms, 0.0), cold_since))
        return faults

    def capacity(self, job_class: str) -> Capacity:
        """Return the capacity for a class.

        Iterates over all ready workers, which is too slow to do for each request.
        """
        state, now = self._state, self._current_ms()
        kind = state.get_class(job_class).kind
        workers = [
            worker
            for worker in state.ready_workers
            if kind in (None, worker.kind) and (worker.classes is None or job_class in worker.classes)
        ]
        slots = sum(worker.pool.slots * warmth(state, worker, now) for worker in workers)
        is_exclusive = all(worker.pool.is_exclusive for worker in workers)
        return Capacity(len(workers), slots if is_exclusive else slots / self._schedulers, is_exclusive)

    def _current_ms(self) -> float:
        return max(self._now_ms, self._clock())

    def _next_tick_ms(self) -> float | None:
        return self._timers[0][0] if self._timers else None

    def _handle(self, event: Event, now: float | None = None) -> Decisions:
        # The dispatcher's time must never decrease, even if the system clock steps back.
        self._now_ms = max(self._now_ms, self._clock() if now is None else now)
        error: Exception | None = None
        try:
            actions = self._dispatcher.handle(self._now_ms, event)
        except Exception as exception:  # the actions decided before it are valid and must be carried out
            actions = self._state.actions
            error = exception
        request_actions = tuple(a for action in actions if (a := self._carry_out(action)) is not None)
        return Decisions(request_actions, self._next_tick_ms(), error)

    def _carry_out(self, action: Action) -> RequestAction | None:
        """Carry out an action that concerns no request, or return one that does."""
        match action:
            case StartAttempt() | RejectRequest() | FailRequest() | CancelAttempt() | QueueRequest():
                return action
            case SetTimer(tag=tag, delay_ms=delay_ms):
                heapq.heappush(self._timers, (self._now_ms + delay_ms, next(self._timer_order), tag))
            case CloseIdleConnections():  # no idle connections exist: every attempt opens its own
                pass
            case LogMessage(text=text):
                log.info("dispatcher message=%r", text)
            case _:  # SubscribeEndpoints and ProbeWorker: endpoint lists are pushed, probes are unsupported
                log.warning("dispatcher action not supported action=%s", type(action).__name__)
        return None

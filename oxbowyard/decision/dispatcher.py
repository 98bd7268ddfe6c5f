"""The dispatcher: a state machine that takes events and returns actions, without I/O, clock or threads.

Pass each event to `Dispatcher.handle(now, event)` and carry out the returned actions in order. The rules are
in the other modules of this package. Routing uses P-DACA (see `routing` and docs/design.md).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from . import affinity, endpoints, ordering, relocation
from .actions import Action, RejectRequest, SetTimer, SubscribeEndpoints
from .completion import finish, reject_or_fail, remove_if_done
from .events import (
    MAY_STILL_RUN,
    NEVER_RAN,
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientDisconnected,
    EndpointsChanged,
    Event,
    PeerFaultsChanged,
    ProbeEnded,
    RequestReceived,
    Result,
    StreamStarted,
    TimerFired,
)
from .load_estimate import MEAN_TIME_CONSTANT_MS, refresh_fleet_estimates
from .observation import observe_end, observe_start
from .outlier_detection import apply_peer_faults
from .placement import place, place_next_in_queue
from .retry import may_attempt
from .settings import Settings
from .state import Attempt, DispatcherState, RequestState

TICK_TIMER = 0
NO_RETRY_RESULTS = (Result.TIMEOUT, Result.INVALID_REQUEST)  # a retry would be too late, or invalid again


class Dispatcher:
    """One dispatcher. It is deterministic: the same settings, seed and events lead to the same actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.state = DispatcherState(settings, seed)
        self._has_handled_event = False
        self._handlers: dict[type[Any], Callable[[float, Any], None]] = {
            RequestReceived: self._on_request_received,
            AttemptStarted: self._on_attempt_started,
            AttemptProgressed: self._ignore,
            StreamStarted: self._on_stream_started,
            AttemptEnded: self._on_attempt_ended,
            ClientDisconnected: self._on_client_disconnected,
            EndpointsChanged: self._on_endpoints_changed,
            PeerFaultsChanged: self._on_peer_faults_changed,
            ProbeEnded: self._ignore,
            TimerFired: self._on_timer_fired,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event and return the actions to carry out, in order.

        `now` is in milliseconds and must never decrease.
        """
        state = self.state
        state.actions = []
        self._handlers[type(event)](now, event)
        while state.unblocked_queues:
            place_next_in_queue(state, state.unblocked_queues.pop(), now)
        if not state.tick_timer_set and (state.queued_requests or state.unstarted_attempts):
            state.tick_timer_set = True
            state.actions.append(SetTimer(TICK_TIMER, state.tick_interval_ms))
        if not self._has_handled_event and state.settings.must_subscribe:
            endpoints.schedule_subscription(state)
        self._has_handled_event = True
        return state.actions

    def _on_request_received(self, now: float, event: RequestReceived) -> None:
        state = self.state
        job_class = state.get_class(event.job_class)
        key = affinity.touch_key(state, event, job_class)
        refresh_fleet_estimates(state, now)
        affinity.record_request(key, now)
        quota = state.quotas.get(event.tenant or "")
        is_over_quota = quota is not None and not quota.try_acquire(now, state.traffic_ratio)
        if event.time_left_ms <= 0:
            state.actions.append(RejectRequest(event.request_id))
            return
        deadline = now + event.time_left_ms
        request = RequestState(event.request_id, job_class, key, now, deadline, is_over_quota)
        state.requests[request.id] = request
        relocation.add_move_budget(state)
        if job_class.is_ordered and event.key:
            ordering.enqueue(state, request, event.key)
        place(state, request, now)

    def _on_attempt_started(self, now: float, event: AttemptStarted) -> None:
        attempt = self._find_attempt(event.request_id, event.attempt)
        if attempt is None or attempt.has_ended or attempt.started_at_ms >= 0:
            return
        attempt.started_at_ms = now
        attempt.worker.unstarted.pop(attempt, None)
        self.state.unstarted_attempts.pop(attempt, None)
        attempt.worker.running[attempt] = None
        observe_start(self.state, attempt, now)

    def _on_stream_started(self, now: float, event: StreamStarted) -> None:
        if request := self.state.requests.get(event.request_id):
            request.is_streaming = True

    def _on_attempt_ended(self, now: float, event: AttemptEnded) -> None:
        state = self.state
        attempt = self._find_attempt(event.request_id, event.attempt)
        if attempt is None or attempt.has_ended:
            return
        request = attempt.request
        self._release(attempt, now)
        observe_end(state, attempt, event, now)
        if event.result in MAY_STILL_RUN:
            ordering.block_after(state, request, now)
        if event.is_final:
            finish(state, request)
            return
        if request.is_answered:
            remove_if_done(state, request)
            return
        if event.result not in NEVER_RAN and request.first_run_worker is None:
            request.first_run_worker = attempt.worker
            request.first_run_at_ms = attempt.sent_at_ms
        if request.in_flight:
            return
        request.tried_workers.append(attempt.worker)
        if event.result in NO_RETRY_RESULTS or not may_attempt(state, request, now):
            reject_or_fail(state, request)
        else:
            place(state, request, now)

    def _release(self, attempt: Attempt, now: float) -> None:
        """Remove an attempt that has ended from everything that counts attempts in flight."""
        state, worker, request = self.state, attempt.worker, attempt.request
        attempt.has_ended = True
        worker.mean_in_flight.update(worker.in_flight, now, MEAN_TIME_CONSTANT_MS)
        worker.in_flight -= 1
        state.in_flight -= 1
        request.key.in_flight -= 1
        request.in_flight -= 1
        worker.running.pop(attempt, None)
        worker.unstarted.pop(attempt, None)
        state.unstarted_attempts.pop(attempt, None)

    def _on_client_disconnected(self, now: float, event: ClientDisconnected) -> None:
        if request := self.state.requests.get(event.request_id):
            finish(self.state, request)

    def _on_endpoints_changed(self, now: float, event: EndpointsChanged) -> None:
        endpoints.apply_endpoints(self.state, now, event)

    def _on_peer_faults_changed(self, now: float, event: PeerFaultsChanged) -> None:
        apply_peer_faults(self.state, now, event)

    def _on_timer_fired(self, now: float, event: TimerFired) -> None:
        if event.tag == endpoints.SUBSCRIBE_TIMER:
            self.state.subscribe_timer_set = False
            self.state.actions.append(SubscribeEndpoints())
        elif event.tag == TICK_TIMER:
            self._tick(now)

    def _tick(self, now: float) -> None:
        """Place or answer the queued requests, and move the ones that wait unstarted at a worker."""
        state = self.state
        state.tick_timer_set = False
        ordering.remove_empty_queues(state, now)
        for request in list(state.queued_requests.values()):
            if self._may_still_wait(request, now):
                place(state, request, now)
            else:
                reject_or_fail(state, request)
        if state.settings.may_cancel:
            relocation.move_unstarted_requests(state, now)

    def _may_still_wait(self, request: RequestState, now: float) -> bool:
        if not may_attempt(self.state, request, now):
            return False
        return (
            request.queue is not None or now - request.received_at_ms < request.job_class.latency_objective_ms
        )

    def _find_attempt(self, request_id: str, number: int) -> Attempt | None:
        """Return the attempt, or None if the request or the attempt is unknown."""
        request = self.state.requests.get(request_id)
        if request is None or number >= len(request.attempts):
            return None
        return request.attempts[number]

    def _ignore(self, now: float, event: Event) -> None:
        """Ignore an event that no decision depends on."""

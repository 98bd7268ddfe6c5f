"""The dispatcher: takes events, returns actions. It has no I/O, no clock and no threads.

Feed it events with `Dispatcher.handle(now, event)` and carry out the actions it returns, in order. The rules
are in the modules beside it; the mechanism is P-DACA (`routing`, docs/design.md).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from . import affinity, endpoints, ordering, relocation
from .actions import Action, RejectRequest, SetTimer, SubscribeEndpoints
from .completion import finish, forget_if_over, give_up
from .events import (
    MAY_RUN_ON,
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
from .load_estimate import MEAN_SPAN_MS, refresh_fleet_estimates
from .observation import observe_end, observe_start
from .outlier_detection import apply_peer_faults
from .placement import place, place_next_in_queue
from .retry import may_attempt
from .settings import Settings
from .state import Attempt, DispatcherState, Job

TICK_TIMER = 0
FINAL_RESULTS = (Result.TIMEOUT, Result.REJECTED)  # a further attempt would be too late, or rejected too


class Dispatcher:
    """One dispatcher's decisions. The same settings, seed and events lead to the same actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.state = DispatcherState(settings, seed)
        self._has_handled = False
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
        """Take one event and return the actions to carry out, in order.

        `now` is in milliseconds and never goes back.
        """
        state = self.state
        state.actions = []
        self._handlers[type(event)](now, event)
        while state.unblocked_queues:
            place_next_in_queue(state, state.unblocked_queues.pop(), now)
        if not state.tick_timer_set and (state.queued_jobs or state.unstarted_attempts):
            state.tick_timer_set = True
            state.actions.append(SetTimer(TICK_TIMER, state.tick_interval_ms))
        if not self._has_handled and state.settings.must_subscribe:
            endpoints.schedule_subscription(state)
        self._has_handled = True
        return state.actions

    def _on_request_received(self, now: float, event: RequestReceived) -> None:
        state = self.state
        job_class = state.class_named(event.job_class)
        key = affinity.key_of(state, event, job_class)
        refresh_fleet_estimates(state, now)
        affinity.record_request(key, now)
        quota = state.quotas.get(event.tenant or "")
        over_quota = quota is not None and quota.is_exceeded_by_next(now, state.traffic_share)
        if event.time_left_ms <= 0:
            state.actions.append(RejectRequest(event.request_id))
            return
        deadline = now + event.time_left_ms
        job = Job(event.request_id, job_class, key, now, deadline, over_quota)
        state.jobs[job.id] = job
        relocation.earn_budget(state)
        if job_class.is_ordered and event.key:
            ordering.enqueue(state, job, event.key)
        place(state, job, now)

    def _on_attempt_started(self, now: float, event: AttemptStarted) -> None:
        attempt = self._attempt(event.request_id, event.attempt)
        if attempt is None or attempt.ended or attempt.started_at_ms >= 0:
            return
        attempt.started_at_ms = now
        attempt.worker.unstarted.pop(attempt, None)
        self.state.unstarted_attempts.pop(attempt, None)
        attempt.worker.running[attempt] = None
        observe_start(self.state, attempt, now)

    def _on_stream_started(self, now: float, event: StreamStarted) -> None:
        if job := self.state.jobs.get(event.request_id):
            job.streaming = True

    def _on_attempt_ended(self, now: float, event: AttemptEnded) -> None:
        state = self.state
        attempt = self._attempt(event.request_id, event.attempt)
        if attempt is None or attempt.ended:
            return
        job = attempt.job
        self._release(attempt, now)
        observe_end(state, attempt, event, now)
        if event.result in MAY_RUN_ON:
            ordering.block_after(state, job, now)
        if event.final:
            finish(state, job)
            return
        if job.answered:
            forget_if_over(state, job)
            return
        if event.result not in NEVER_RAN and job.first_run_worker is None:
            job.first_run_worker = attempt.worker
            job.first_run_at_ms = attempt.sent_at_ms
        if job.in_flight:
            return
        job.tried_workers.append(attempt.worker)
        if event.result in FINAL_RESULTS or not may_attempt(state, job, now):
            give_up(state, job)
        else:
            place(state, job, now)

    def _release(self, attempt: Attempt, now: float) -> None:
        """The attempt is no longer in flight."""
        state, worker, job = self.state, attempt.worker, attempt.job
        attempt.ended = True
        worker.mean_in_flight.update(worker.in_flight, now, MEAN_SPAN_MS)
        worker.in_flight -= 1
        state.in_flight -= 1
        job.key.in_flight -= 1
        job.in_flight -= 1
        worker.running.pop(attempt, None)
        worker.unstarted.pop(attempt, None)
        state.unstarted_attempts.pop(attempt, None)

    def _on_client_disconnected(self, now: float, event: ClientDisconnected) -> None:
        if job := self.state.jobs.get(event.request_id):
            finish(self.state, job)

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
        """Housekeeping: queued jobs are tried again or answered, and unstarted ones moved."""
        state = self.state
        state.tick_timer_set = False
        ordering.forget_empty_queues(state, now)
        for job in list(state.queued_jobs.values()):
            if self._may_still_wait(job, now):
                place(state, job, now)
            else:
                give_up(state, job)
        if state.settings.may_cancel:
            relocation.move_unstarted_jobs(state, now)

    def _may_still_wait(self, job: Job, now: float) -> bool:
        if not may_attempt(self.state, job, now):
            return False
        return job.queue is not None or now - job.received_at_ms < job.job_class.latency_objective_ms

    def _attempt(self, request_id: str, number: int) -> Attempt | None:
        """The attempt, or None if the request or the attempt is not known."""
        job = self.state.jobs.get(request_id)
        if job is None or number >= len(job.attempts):
            return None
        return job.attempts[number]

    def _ignore(self, now: float, event: Event) -> None:
        """Nothing is decided by this event."""

"""The scheduler as its fronts and the program use it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from ..decision.facade import Capacity, Facade, Scope, Snapshot, WorkerFault, WorkerInfo
from ..decision.settings import Settings
from .admission import Admission, Limits
from .endpoint_lists import EndpointLists
from .lifecycle import RequestLifecycle
from .request import Answer, AnswerKind, BackendTransport, Request, RunState
from .service_measure import ServiceMeasure

__all__ = ["Limits", "Scheduler"]


class Scheduler:
    """The core: fronts await `serve`, the facade decides, a backend transport makes the attempts.

    It must be made, and its methods called, on the running event loop.

    Args:
        settings: The classes and the limits of the platform.
        facade: The decisions.
        transport: The way to the backends.
        clock: Unix time in milliseconds, never stepping back; the facade has the same one.
        measure: Counts the requests and their answers.
        limits: What this process may hold.
    """

    def __init__(
        self,
        settings: Settings,
        facade: Facade,
        transport: BackendTransport,
        clock: Callable[[], float],
        measure: ServiceMeasure,
        limits: Limits,
    ) -> None:
        self.measure = measure
        self._facade = facade
        self._admission = Admission(settings, limits)
        self._endpoints = EndpointLists()
        self._lifecycle = RequestLifecycle(facade, transport, clock, measure, self._admission)

    # ---- Requests ----

    async def serve(self, request: Request) -> Answer:
        """Wait for the one final answer to a request. Cancel this when its client has gone."""
        if self._admission.is_open(request.id):
            return Answer(AnswerKind.FAILED, reason="a req with this id is open")
        self.measure.record_request(request.job_class, request.is_retry)
        rejection = self._admission.reject_if_full()
        if rejection is not None:
            self.measure.record_answer(request.job_class, AnswerKind.REJECTED, elapsed_s=0.0, run_time_s=None)
            return rejection
        entry = self._lifecycle.begin(request)
        try:
            return await entry.answer
        except asyncio.CancelledError:
            self._lifecycle.client_disconnected(entry)
            raise

    def run_state(self, request_id: str) -> RunState:
        """What is known of the run of an open request; a request that is not open counts as never run."""
        entry = self._admission.find(request_id)
        return entry.run_state if entry is not None else RunState.NEVER_RAN

    @property
    def open_request_count(self) -> int:
        """Requests that are not answered, or of which an attempt is still running."""
        return self._admission.open_count

    def open_request_count_of(self, classes: Iterable[str]) -> int:
        """The same for some classes."""
        return self._admission.open_count_of(classes)

    def max_time_left_s(self) -> float:
        """Seconds until the latest deadline of the open requests; a client may ask for more than its
        class."""
        return self._admission.max_time_left_s()

    def seconds_since_rejection(self) -> float:
        """Seconds since an admitted request was last rejected; infinite if none was."""
        return self._lifecycle.seconds_since_rejection()

    async def wait_until_idle(self) -> None:
        """Wait until no request is open."""
        await self._admission.wait_until_idle()

    # ---- Settings and endpoints ----

    def apply_settings(self, settings: Settings) -> None:
        """Use other classes and another number of attempts from now on; open requests keep theirs."""
        self._admission.apply_settings(settings)
        self._facade.replace_classes(settings)
        self.measure.set_classes(settings.classes)

    def update_endpoints(
        self, scope: Scope, backends: tuple[WorkerInfo, ...], source: str = "discovery"
    ) -> None:
        """Take a list of backends, or changes of it. A complete list leaves those of other sources alone."""
        self._lifecycle.apply_decisions(
            self._facade.update_endpoints(scope, self._endpoints.update(scope, backends, source))
        )

    def set_scheduler_count(self, count: int) -> None:
        """Set how many schedulers send to the same backends, this one included."""
        self._facade.set_scheduler_count(count)

    def capacity(self, job_class: str) -> Capacity:
        """What the listed backends can do for a class."""
        return self._facade.capacity(job_class)

    # ---- What was learned ----

    def snapshot(self) -> Snapshot:
        """What the decisions have learned, for a process that replaces this one."""
        return self._facade.snapshot()

    def restore(self, learned: Snapshot) -> None:
        """Go on from what the replaced process has learned."""
        self._facade.adopt(learned)

    def worker_faults(self) -> list[WorkerFault]:
        """The faults of backends that this scheduler's own attempts show. It walks all backends."""
        return self._endpoints.exclude_announced_starts(self._facade.worker_faults())

    def apply_peer_faults(self, faults: tuple[WorkerFault, ...]) -> None:
        """Take all faults of backends that other schedulers report and that hold now."""
        self._lifecycle.apply_decisions(self._facade.apply_peer_faults(faults))

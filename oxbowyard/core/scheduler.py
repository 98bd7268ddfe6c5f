"""The interface of the scheduler to the fronts and the rest of the program."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from ..decision.facade import Capacity, Facade, Scope, Snapshot, WorkerFault, WorkerInfo
from ..decision.settings import Settings
from .admission import Admission, Limits
from .endpoint_lists import EndpointLists
from .lifecycle import RequestLifecycle
from .memory_budget import MemoryBudget
from .repeats import RememberedIds, UnsharedIds
from .request import Answer, AnswerKind, BackendTransport, Request, RunState
from .service_measure import ServiceMeasure

__all__ = ["Limits", "Scheduler"]

DEFAULT_IDS_BUDGET_BYTES = 16 << 20  # of a scheduler without a budget of its own


class Scheduler:
    """The core: fronts await `serve`, the facade decides, and a backend transport sends the attempts.

    It must be created, and its methods called, in the running event loop.

    Args:
        settings: The job classes and the limits of the platform.
        facade: Decides how each request is handled.
        transport: Sends requests to the backends.
        clock: Unix time in milliseconds that never goes backwards; the facade uses the same one.
        measure: Counts the requests and their answers.
        limits: The limits of this process.
        ids: The request ids whose work may have run; None for a memory of this scheduler's own.
    """

    def __init__(
        self,
        settings: Settings,
        facade: Facade,
        transport: BackendTransport,
        clock: Callable[[], float],
        measure: ServiceMeasure,
        limits: Limits,
        ids: RememberedIds | None = None,
    ) -> None:
        self.measure = measure
        self._facade = facade
        if ids is None:
            memory = MemoryBudget(DEFAULT_IDS_BUDGET_BYTES)
            ids = RememberedIds(memory, asyncio.get_running_loop().time, UnsharedIds())
        self._admission = Admission(settings, limits, ids)
        self._endpoints = EndpointLists()
        self._lifecycle = RequestLifecycle(facade, transport, clock, measure, self._admission)

    # ---- Requests ----

    async def serve(self, request: Request) -> Answer:
        """Return the one final answer to a request. Cancel this call when its client disconnects."""
        repeated = self._admission.reject_repeat(request)
        if repeated is not None:
            return repeated
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
        """Return what is known about the run of an open request; one that is not open counts as never run."""
        entry = self._admission.find(request_id)
        return entry.run_state if entry is not None else RunState.NEVER_RAN

    @property
    def open_request_count(self) -> int:
        """Return the number of requests that are not answered or have a running attempt."""
        return self._admission.open_count

    def open_request_count_of(self, classes: Iterable[str]) -> int:
        """Return the number of open requests of the given classes."""
        return self._admission.open_count_of(classes)

    def max_time_left_s(self) -> float:
        """Return the seconds until the latest deadline of the open requests.

        A client may request a longer timeout than that of its class.
        """
        return self._admission.max_time_left_s()

    def seconds_since_rejection(self) -> float:
        """Return the seconds since an admitted request was last rejected; infinite if none was."""
        return self._lifecycle.seconds_since_rejection()

    async def wait_until_idle(self) -> None:
        """Wait until no request is open."""
        await self._admission.wait_until_idle()

    # ---- Settings and endpoints ----

    def apply_settings(self, settings: Settings) -> None:
        """Use the classes and the attempt limit of these settings from now on; open requests keep theirs."""
        self._admission.apply_settings(settings)
        self._facade.replace_classes(settings)
        self.measure.set_classes(settings.classes)

    def update_endpoints(
        self, scope: Scope, backends: tuple[WorkerInfo, ...], source: str = "discovery"
    ) -> None:
        """Apply a list of backends, or changes to it. A full list does not affect those of other sources."""
        self._lifecycle.apply_decisions(
            self._facade.update_endpoints(scope, self._endpoints.update(scope, backends, source))
        )

    def set_scheduler_count(self, count: int) -> None:
        """Set the number of schedulers that send to the same backends, including this one."""
        self._facade.set_scheduler_count(count)

    def capacity(self, job_class: str) -> Capacity:
        """Return the capacity of the listed backends for a class."""
        return self._facade.capacity(job_class)

    # ---- Learned state ----

    def snapshot(self) -> Snapshot:
        """Return the state that the dispatcher has learned, for a process that replaces this one."""
        return self._facade.snapshot()

    def restore(self, learned: Snapshot) -> None:
        """Continue from the state that the replaced process has learned."""
        self._facade.restore_snapshot(learned)

    def worker_faults(self) -> list[WorkerFault]:
        """Return the backend faults seen in this scheduler's own attempts. It iterates over all backends."""
        return self._endpoints.exclude_announced_starts(self._facade.worker_faults())

    def apply_peer_faults(self, faults: tuple[WorkerFault, ...]) -> None:
        """Replace the backend faults reported by other schedulers with the ones in force now."""
        self._lifecycle.apply_decisions(self._facade.apply_peer_faults(faults))

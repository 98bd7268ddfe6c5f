"""The registry of connected Gearman workers, which are announced as backends."""

from __future__ import annotations

import asyncio
import itertools
import sys
from collections.abc import Callable

from ..core.memory_budget import Holder, MemoryBudget
from ..decision.facade import Readiness, Scope, WorkerInfo
from ..waiting.job import AGED_CLASS_SUFFIX
from .config import KIND, GearmanConfig
from .errors import ErrorCode, PacketRejectedError
from .unfinished_runs import UnfinishedRuns
from .worker import Worker, WorkerConnection

UpdateEndpoints = Callable[[Scope, tuple[WorkerInfo, ...], str], None]

ABILITY_BYTES = 150  # of one function in addition to its name
MAX_ABILITIES_SHARE = 1 / 8  # of the memory budget, for the functions of all workers
MAX_ABILITIES = 256  # per worker, since the name of each ability is kept in memory


class Workers:
    """The registry of all connected workers.

    Attributes:
        connected: The connected workers by name.
        on_change: Called with changes to the list of backends; set by the owner.
        unfinished_runs: The runs at workers whose end is not known.
    """

    def __init__(self, config: GearmanConfig, memory: MemoryBudget) -> None:
        self._functions = config.functions
        self._memory = memory
        self._allocation = memory.open(Holder.GEARMAN)  # the names of all workers' functions
        self._numbers = itertools.count(1)
        self.connected: dict[str, Worker] = {}  # by name
        self.unfinished_runs = UnfinishedRuns(memory, asyncio.get_running_loop().time)
        self.on_change: UpdateEndpoints = lambda scope, infos, source: None

    def register(self, connection: WorkerConnection) -> Worker:
        """Add the worker of a connection. It is announced with its first function."""
        worker = Worker(f"{KIND}:{next(self._numbers)}", connection)
        self.connected[worker.name] = worker
        return worker

    def unregister(self, worker: Worker) -> None:
        """Remove a worker whose connection has ended."""
        del self.connected[worker.name]
        self._clear_abilities(worker)
        self.announce(worker)  # first, so that no retry of the ended attempts selects this worker
        for handle in worker.grabbed:
            self.unfinished_runs.mark_lost(handle)
        worker.end_all()

    def add_ability(self, worker: Worker, function: bytes, limit_s: float = 0.0) -> None:
        """Add a function to the worker, with a time limit of the worker's own unless that is 0.

        A worker is never selected for a function that is not configured.

        Raises:
            PacketRejectedError: The worker has too many functions.
        """
        name = _function_name(function)
        if name not in worker.abilities:
            if len(worker.abilities) >= MAX_ABILITIES:
                text = "a worker announces this many functions at most"
                raise PacketRejectedError(ErrorCode.TOO_MANY_FUNCTIONS, text)
            if not self._has_space(_ability_bytes(name)):
                text = "the functions of all workers hold all the memory they may"
                raise PacketRejectedError(ErrorCode.TOO_MANY_FUNCTIONS, text)
            self._allocation.resize(self._allocation.size_bytes + _ability_bytes(name))
        worker.abilities[name] = limit_s
        self.announce(worker)

    def remove_ability(self, worker: Worker, function: bytes) -> None:
        """Remove a function from the worker."""
        name = _function_name(function)
        if worker.abilities.pop(name, None) is not None:
            self._allocation.resize(self._allocation.size_bytes - _ability_bytes(name))
        self._announce_removal(worker)

    def reset_abilities(self, worker: Worker) -> None:
        """Remove all functions from the worker."""
        self._clear_abilities(worker)
        self._announce_removal(worker)

    def announce(self, worker: Worker) -> None:
        """Announce the worker as a backend with its current functions, or as gone if it has none."""
        configured = [self._functions[name] for name in worker.abilities if name in self._functions]
        names = [function.job_class.name for function in configured]
        classes = frozenset(names + [name + AGED_CLASS_SUFFIX for name in names])
        if not classes and not worker.is_announced:
            return
        worker.is_announced = bool(classes)
        readiness = _readiness(worker, bool(classes))
        info = WorkerInfo(worker.name, readiness, kind=KIND, classes=classes, slots=1, is_exclusive=True)
        self.on_change(Scope.CHANGES, (info,), KIND)

    def count_capable(self, function: str) -> int:
        """Return the number of workers that can do a function."""
        return sum(function in worker.abilities for worker in self.connected.values())

    def _has_space(self, size_bytes: int) -> bool:
        max_bytes = self._memory.limit_bytes * MAX_ABILITIES_SHARE
        return self._allocation.size_bytes + size_bytes <= max_bytes and self._memory.make_space(size_bytes)

    def _clear_abilities(self, worker: Worker) -> None:
        released = sum(_ability_bytes(name) for name in worker.abilities)
        self._allocation.resize(self._allocation.size_bytes - released)
        worker.abilities.clear()

    def _announce_removal(self, worker: Worker) -> None:
        self.announce(worker)
        worker.reject_ungrabbable("worker took the function back")


def _readiness(worker: Worker, is_able: bool) -> Readiness:
    if not is_able:
        return Readiness.GONE
    return Readiness.DRAINING if worker.holds_ended_job else Readiness.READY


def _ability_bytes(name: str) -> int:
    """Return what one function of a worker takes in memory."""
    return ABILITY_BYTES + sys.getsizeof(name)


def _function_name(function: bytes) -> str:
    return function.decode("utf-8", "replace")

"""An index of the jobs that have not ended, by handle, unique id and client, with counts per function."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from ..core.memory_budget import Holder, MemoryBudget
from .config import Function
from .job import Job, JobClient

JOB_BYTES = 12 * 1024  # records, task and timers of one job, in the front and in the core
MAX_JOBS_SHARE = 0.5  # of the memory budget; the HTTP front needs the others
PAYLOAD_COPIES = 2  # the workload, and the packet for the worker


@dataclass(slots=True, frozen=True)
class JobCounts:
    """The numbers of a function's jobs."""

    total: int  # jobs that have not ended
    running: int  # those of them that a worker runs

    @property
    def waiting(self) -> int:
        """The number of jobs that no worker runs yet."""
        return self.total - self.running


class JobTable:
    """All jobs that have not ended."""

    def __init__(self, memory: MemoryBudget) -> None:
        """Create an empty table whose jobs draw from `memory`."""
        self._memory = memory
        self._allocation = memory.open(Holder.JOBS)
        self.payload_bytes = 0  # total size of the workloads of all jobs
        self._by_handle: dict[bytes, Job] = {}
        self._by_unique: dict[tuple[str, bytes], Job] = {}
        self._by_client: dict[JobClient, dict[Job, None]] = {}
        self._total: Counter[str] = Counter()  # by function
        self._running: Counter[str] = Counter()  # by function

    def has_space(self, payload_bytes: int) -> bool:
        """Return whether there is memory for one more job with a workload of this size."""
        size_bytes = JOB_BYTES + PAYLOAD_COPIES * payload_bytes
        max_bytes = self._memory.limit_bytes * MAX_JOBS_SHARE
        return self._allocation.size_bytes + size_bytes <= max_bytes and self._memory.make_space(size_bytes)

    def add(self, handle: bytes, function: Function, unique: bytes, size: int, is_background: bool) -> Job:
        """Add a job. `size` is the size of its workload in bytes."""
        job = Job(handle, function, unique, is_background, size)
        self._by_handle[handle] = job
        self.payload_bytes += size
        self._update_cost()
        self._total[function.name] += 1
        if unique:
            self._by_unique[function.name, unique] = job
        return job

    def remove(self, job: Job) -> None:
        """Remove a job that has ended. Does nothing if it was removed before."""
        if self._by_handle.pop(job.handle, None) is None:
            return
        name = job.function.name
        self.payload_bytes -= job.payload_bytes
        self._update_cost()
        self._total[name] -= 1
        self._running[name] -= job.is_running
        for client in job.clients:
            self._by_client.get(client, {}).pop(job, None)
        if self._by_unique.get((name, job.unique)) is job:
            del self._by_unique[name, job.unique]

    def _update_cost(self) -> None:
        cost = JOB_BYTES * len(self._by_handle) + PAYLOAD_COPIES * self.payload_bytes
        self._allocation.resize(cost)

    def find(self, handle: bytes) -> Job | None:
        """Return the job with this handle, or None."""
        return self._by_handle.get(handle)

    def find_by_unique(self, function: Function, unique: bytes) -> Job | None:
        """Return the function's job with this unique id, or None. An empty id matches no job."""
        return self._by_unique.get((function.name, unique)) if unique else None

    def find_by_unique_in_any_function(self, unique: bytes) -> Job | None:
        """Return the first job of any function with this unique id, or None."""
        return next((job for (_, known), job in self._by_unique.items() if known == unique), None)

    def add_client(self, job: Job, client: JobClient) -> None:
        """Add a client that waits for a job."""
        job.clients[client] = None
        self._by_client.setdefault(client, {})[job] = None

    def remove_client(self, client: JobClient) -> list[Job]:
        """Remove a disconnected client. Return the jobs that it waited for."""
        jobs = list(self._by_client.pop(client, ()))
        for job in jobs:
            del job.clients[client]
        return jobs

    def unneeded_jobs(self) -> list[Job]:
        """Return the jobs that run although their clients have left."""
        return [job for job in self._by_handle.values() if job.is_running and not job.is_needed]

    def forget_clients(self, job: Job) -> None:
        """Remove all clients that wait for a job."""
        for client in job.clients:
            self._by_client[client].pop(job, None)
        job.clients.clear()

    def set_running(self, job: Job, running: bool) -> None:
        """Record that a worker has started a job, or that an attempt of it has ended."""
        if running != job.is_running and job.handle in self._by_handle:
            self._running[job.function.name] += 1 if running else -1
        job.is_running = running

    def counts(self, function: str) -> JobCounts:
        """Return the numbers of a function's jobs."""
        return JobCounts(self._total[function], self._running[function])

"""The order of release: the job with the earliest due time is released first. Has no I/O and no clock.

The due time is set when a job becomes ready: due = ready + (1 - priority) * age limit. It is at most the end
of the job's wait minus the age limit, but never before the job was ready. So ready <= due <= ready + age
limit, and a job that becomes ready after that cannot overtake.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from sortedcontainers import SortedList

from .job import Job

QueueEntry = tuple[float, int, Job]  # due time in ms, number, job


class ClassPriorities:
    """The priority of each class, 0 to 1: its weight per unit of work, relative to the largest one."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        self._weights = dict(weights)
        self._mean_work: dict[str, float] = {}
        self._priorities: dict[str, float] = {}
        self._update()

    def set_mean_work(self, job_class: str, work: float) -> None:
        """Set the mean running time of a class's jobs, in a unit that is the same for all classes."""
        if work > 0 and job_class in self._weights and self._mean_work.get(job_class) != work:
            self._mean_work[job_class] = work
            self._update()

    def _update(self) -> None:
        # A class without a measured running time is assumed to have the mean of the others.
        works = self._mean_work.values()
        mean_work = sum(works) / len(works) if works else 1.0
        per_work = {
            name: weight / self._mean_work.get(name, mean_work) for name, weight in self._weights.items()
        }
        largest_per_work = max(per_work.values(), default=0.0) or 1.0
        self._priorities = {name: value / largest_per_work for name, value in per_work.items()}

    def of_job(self, job: Job) -> float:
        """Return a job's priority: the one that its client set, else that of its class."""
        return self._priorities.get(job.job_class, 0.0) if job.priority is None else job.priority


def release_due_ms(job: Job, priority: float, age_limit_ms: float) -> float:
    """Return when a job that became ready at `job.ready_at_ms`, and needs no idle fleet, is due."""
    unlimited_ms = job.ready_at_ms + (1.0 - priority) * age_limit_ms
    return max(min(unlimited_ms, job.release_deadline_ms - age_limit_ms), job.ready_at_ms)


class ReleaseQueues:
    """The jobs to be released, in one queue for each class, ordered by due time."""

    def __init__(self) -> None:
        self._queues: dict[str, SortedList[QueueEntry]] = {}

    def add(self, job: Job) -> None:
        """Add a job, whose due time must be set."""
        queue = self._queues.get(job.job_class)
        if queue is None:
            queue = self._queues[job.job_class] = SortedList()
        queue.add((job.release_due_ms, job.number, job))

    def remove(self, job: Job) -> None:
        """Remove a job from the queue of its class."""
        queue = self._queues[job.job_class]
        queue.remove((job.release_due_ms, job.number, job))
        if not queue:  # classes may appear and disappear at run time, as Gearman functions do
            del self._queues[job.job_class]

    def heads(self) -> Iterator[QueueEntry]:
        """Return the first entry of each queue."""
        return (queue[0] for queue in self._queues.values())

    def position(self, job: Job) -> int:
        """Return how many jobs of its class are ahead of it."""
        return int(self._queues[job.job_class].bisect_left((job.release_due_ms, job.number, job)))

    def __bool__(self) -> bool:
        return bool(self._queues)

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

"""The order of release. A job's due time is set when it becomes ready; the earliest due goes first.

due = ready + (1 - priority) * age limit, never later than the age limit before its wait ends and never
before it was ready. So ready <= due <= ready + limit: what becomes ready after that cannot pass it. No I/O,
no clock.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from sortedcontainers import SortedList

from .job import Job

QueueEntry = tuple[float, int, Job]  # due time in ms, number, job


class ClassPriorities:
    """The priority of each class, 0 to 1: its weight for the work that it takes, relative to the largest."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        self._weights = dict(weights)
        self._mean_work: dict[str, float] = {}
        self._priorities: dict[str, float] = {}
        self._update()

    def set_mean_work(self, job_class: str, work: float) -> None:
        """Set the mean running time of a class's jobs, in any unit that is the same for all classes."""
        if work > 0 and job_class in self._weights and self._mean_work.get(job_class) != work:
            self._mean_work[job_class] = work
            self._update()

    def _update(self) -> None:
        # A class whose work is not known is taken to have the mean of the others.
        works = self._mean_work.values()
        usual = sum(works) / len(works) if works else 1.0
        per_work = {name: weight / self._mean_work.get(name, usual) for name, weight in self._weights.items()}
        largest = max(per_work.values(), default=0.0) or 1.0
        self._priorities = {name: value / largest for name, value in per_work.items()}

    def of_job(self, job: Job) -> float:
        """A job's priority: what its client named, or its class's."""
        return self._priorities.get(job.job_class, 0.0) if job.priority is None else job.priority


def release_due_ms(job: Job, priority: float, age_limit_ms: float) -> float:
    """When an ordinary job that became ready at `job.ready_at_ms` is due."""
    wanted = job.ready_at_ms + (1.0 - priority) * age_limit_ms
    return max(min(wanted, job.wait_deadline_ms - age_limit_ms), job.ready_at_ms)


class ReleaseQueues:
    """Jobs to be released: one queue for each class, each by due time."""

    def __init__(self) -> None:
        self._queues: dict[str, SortedList[QueueEntry]] = {}

    def add(self, job: Job) -> None:
        """Add a job whose due time is set."""
        queue = self._queues.get(job.job_class)
        if queue is None:
            queue = self._queues[job.job_class] = SortedList()
        queue.add((job.release_due_ms, job.number, job))

    def remove(self, job: Job) -> None:
        """Remove a job, wherever it stands."""
        queue = self._queues[job.job_class]
        queue.remove((job.release_due_ms, job.number, job))
        if not queue:  # classes may come and go, as Gearman functions do
            del self._queues[job.job_class]

    def heads(self) -> Iterator[QueueEntry]:
        """The first entry of each queue."""
        return (queue[0] for queue in self._queues.values())

    def position(self, job: Job) -> int:
        """How many jobs of its class are before it."""
        return int(self._queues[job.job_class].bisect_left((job.release_due_ms, job.number, job)))

    def __bool__(self) -> bool:
        return bool(self._queues)

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

"""The order of release. A job's due time is fixed when it becomes ready, and the earliest due goes first.

due = ready + (1 - lift) * age limit, never later than the age limit before its patience ends and never before
it was ready. So ready <= due <= ready + limit: what becomes ready after that can't pass it. No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from sortedcontainers import SortedList

from .order import Job

Entry = tuple[float, int, Job]


class Lift:
    """What a class gains over the dearest one: its worth for the work it takes, from 0 to 1."""

    def __init__(self, worth: Mapping[str, float]) -> None:
        self._worth = dict(worth)
        self._work: dict[str, float] = {}
        self._lifts: dict[str, float] = {}
        self._reckon()

    def learn(self, job_class: str, work: float) -> None:
        """The mean running time of a class's jobs, in any unit that is the same for all."""
        if work > 0 and job_class in self._worth and self._work.get(job_class) != work:
            self._work[job_class] = work
            self._reckon()

    def _reckon(self) -> None:
        # A class whose work nobody has seen is taken to do a mean one's.
        usual = sum(self._work.values()) / len(self._work) if self._work else 1.0
        dense = {name: worth / self._work.get(name, usual) for name, worth in self._worth.items()}
        most = max(dense.values(), default=0.0) or 1.0
        self._lifts = {name: value / most for name, value in dense.items()}

    def of(self, job: Job) -> float:
        """A job's lift: what its client named, or its class's."""
        return self._lifts.get(job.job_class, 0.0) if job.lift is None else job.lift


def due(job: Job, lift: float, limit: float) -> float:
    """When an ordinary job is due, for one that is ready at `job.ready_at`."""
    wanted = job.ready_at + (1.0 - lift) * limit
    return max(min(wanted, job.expiry - limit), job.ready_at)


class Lines:
    """Ready jobs, a line a class, each by due time."""

    def __init__(self) -> None:
        self._lines: dict[str, SortedList[Entry]] = {}

    def put(self, job: Job) -> None:
        """Take a job whose due time is set."""
        if (line := self._lines.get(job.job_class)) is None:
            line = self._lines[job.job_class] = SortedList()
        line.add((job.due, job.number, job))

    def drop(self, job: Job) -> None:
        """Take a job out, wherever it stands."""
        line = self._lines[job.job_class]
        line.remove((job.due, job.number, job))
        if not line:  # classes may come and go, as functions do
            del self._lines[job.job_class]

    def heads(self) -> Iterator[Entry]:
        """The first of each line."""
        return (line[0] for line in self._lines.values())

    def ahead(self, job: Job) -> int:
        """How many of its class go before it."""
        return int(self._lines[job.job_class].bisect_left((job.due, job.number, job)))

    def __bool__(self) -> bool:
        return bool(self._lines)

    def __len__(self) -> int:
        return sum(map(len, self._lines.values()))

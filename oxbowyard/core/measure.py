"""The service measure: worth answered in time over worth asked."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..decision.settings import JobClass
from .req import Kind

RUN_SAMPLES = 200  # the mean running time of a class follows about so many reqs


@dataclass(slots=True)
class _ClassTally:
    asked: int = 0
    in_time_work: float = 0.0
    in_time: int = 0
    mean_run: float = 0.0
    runs: int = 0
    answers: Counter[Kind] = field(default_factory=Counter)

    def ran(self, seconds: float) -> None:
        self.runs += 1
        self.mean_run += (seconds - self.mean_run) / min(self.runs, RUN_SAMPLES)


class ServiceMeasure:
    """Counts each req once. Where worth goes by work, a req whose work nobody saw counts as a mean one."""

    def __init__(self, classes: Iterable[JobClass], by_work: bool = True) -> None:
        self._classes = {c.name: c for c in classes}
        self._by_work = by_work
        self._tallies = {name: _ClassTally() for name in self._classes}

    def retune(self, classes: Iterable[JobClass]) -> None:
        """Count these classes from now on, new ones from nothing; one that went keeps its counts."""
        for c in classes:
            self._classes[c.name] = c
            self._tallies.setdefault(c.name, _ClassTally())

    def asked(self, job_class: str, is_retry: bool) -> None:
        """A req was taken; a marked retry belongs to its first try, whose worth was counted."""
        if tally := self._tallies.get(job_class):
            tally.asked += not is_retry

    def answered(self, job_class: str, kind: Kind, elapsed: float, run: float | None) -> None:
        """A req has its one answer after `elapsed` seconds; `run` is how long it ran, where that is known."""
        tally = self._tallies.get(job_class)
        if tally is None:
            return
        tally.answers[kind] += 1
        if kind is not Kind.SERVED:
            return
        cls = self._classes[job_class]
        if run is not None:
            tally.ran(run)
        if elapsed * 1000 <= cls.aim + cls.stretch * (run or 0.0) * 1000:
            tally.in_time += 1
            tally.in_time_work += tally.mean_run if run is None else run

    def mean_run(self, job_class: str) -> float:
        """The mean running time in seconds of a class's reqs, of late; 0 if none was seen."""
        tally = self._tallies.get(job_class)
        return tally.mean_run if tally else 0.0

    def answers_of(self) -> dict[str, Counter[Kind]]:
        """The answers so far, by class and kind."""
        return {name: Counter(tally.answers) for name, tally in self._tallies.items()}

    @property
    def answers(self) -> Counter[Kind]:
        """All answers so far, by kind."""
        return sum((t.answers for t in self._tallies.values()), Counter())

    @property
    def share(self) -> float:
        """Worth answered in time over worth asked; 1 before anything was asked."""
        asked = served = 0.0
        for name, tally in self._tallies.items():
            worth = self._classes[name].worth
            if self._by_work and tally.mean_run:
                asked += worth * max(tally.asked * tally.mean_run, tally.in_time_work)
                served += worth * tally.in_time_work
            else:
                asked += worth * tally.asked
                served += worth * tally.in_time
        return min(served / asked, 1.0) if asked else 1.0

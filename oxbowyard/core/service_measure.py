"""The service measure: the worth of the requests answered in time, as a share of all requests' worth."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..decision.settings import JobClass
from .request import AnswerKind

RUN_TIME_SAMPLES = 200  # the mean running time of a class follows about so many of its latest requests


@dataclass(slots=True)
class _ClassTally:
    """The counts of one class."""

    requests: int = 0
    in_time: int = 0
    in_time_run_s: float = 0.0  # running time of the requests answered in time
    mean_run_s: float = 0.0
    runs: int = 0
    answers: Counter[AnswerKind] = field(default_factory=Counter)

    def add_run(self, run_time_s: float) -> None:
        self.runs += 1
        self.mean_run_s += (run_time_s - self.mean_run_s) / min(self.runs, RUN_TIME_SAMPLES)


class ServiceMeasure:
    """Counts each request once.

    Args:
        classes: The classes that are counted; requests of others are not.
        by_work: A request is worth its class's weight times its running time, or the class's mean where
            nobody saw it run; else the weight alone.
    """

    def __init__(self, classes: Iterable[JobClass], by_work: bool = True) -> None:
        self._classes = {c.name: c for c in classes}
        self._by_work = by_work
        self._tallies = {name: _ClassTally() for name in self._classes}

    def set_classes(self, classes: Iterable[JobClass]) -> None:
        """Count these classes too from now on; those counted before keep their counts."""
        for c in classes:
            self._classes[c.name] = c
            self._tallies.setdefault(c.name, _ClassTally())

    def record_request(self, job_class: str, is_retry: bool) -> None:
        """Count a request. A client's marked retry belongs to its first request, whose worth was counted."""
        if tally := self._tallies.get(job_class):
            tally.requests += not is_retry

    def record_answer(
        self, job_class: str, kind: AnswerKind, elapsed_s: float, run_time_s: float | None
    ) -> None:
        """Count an answer, `elapsed_s` after the request came; `run_time_s` is None where it is not known."""
        tally = self._tallies.get(job_class)
        if tally is None:
            return
        tally.answers[kind] += 1
        if kind is not AnswerKind.SERVED:
            return
        cls = self._classes[job_class]
        if run_time_s is not None:
            tally.add_run(run_time_s)
        if elapsed_s * 1000 <= cls.latency_objective_ms + cls.objective_stretch * (run_time_s or 0.0) * 1000:
            tally.in_time += 1
            tally.in_time_run_s += tally.mean_run_s if run_time_s is None else run_time_s

    def mean_run_s(self, job_class: str) -> float:
        """The recent mean running time of a class's requests in seconds; 0 if none was seen."""
        tally = self._tallies.get(job_class)
        return tally.mean_run_s if tally else 0.0

    def answers_by_class(self) -> dict[str, Counter[AnswerKind]]:
        """The answers so far, by class and kind."""
        return {name: Counter(tally.answers) for name, tally in self._tallies.items()}

    @property
    def answers(self) -> Counter[AnswerKind]:
        """All answers so far, by kind."""
        return sum((tally.answers for tally in self._tallies.values()), Counter())

    @property
    def share(self) -> float:
        """The measure, from 0 to 1; 1 before the first request."""
        requested = served = 0.0
        for name, tally in self._tallies.items():
            weight = self._classes[name].priority_weight
            if self._by_work and tally.mean_run_s:
                requested += weight * max(tally.requests * tally.mean_run_s, tally.in_time_run_s)
                served += weight * tally.in_time_run_s
            else:
                requested += weight * tally.requests
                served += weight * tally.in_time
        return min(served / requested, 1.0) if requested else 1.0

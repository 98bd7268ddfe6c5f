"""The service measure: weighted goodput, the weight of the requests answered in time over that of all."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..decision.settings import JobClass
from .request import AnswerKind

RUN_TIME_SAMPLES = 200  # window of the moving average of a class's running time, in requests


@dataclass(slots=True)
class _ClassTally:
    """The counters of one class."""

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
        classes: The classes to count; requests of other classes are ignored.
        weight_is_per_work: Weigh each request by its class's weight times its running time, or times the mean
            running time of the class if its own is not known. False: by the weight alone.
    """

    def __init__(self, classes: Iterable[JobClass], weight_is_per_work: bool = True) -> None:
        self._classes = {c.name: c for c in classes}
        self._weight_is_per_work = weight_is_per_work
        self._tallies = {name: _ClassTally() for name in self._classes}

    def set_classes(self, classes: Iterable[JobClass]) -> None:
        """Count these classes from now on, in addition to the previous ones, which keep their counts."""
        for job_class in classes:
            self._classes[job_class.name] = job_class
            self._tallies.setdefault(job_class.name, _ClassTally())

    def record_request(self, job_class: str, is_retry: bool) -> None:
        """Count a request. A retry marked as such is not counted again: it belongs to the first request."""
        if tally := self._tallies.get(job_class):
            tally.requests += not is_retry

    def record_answer(
        self, job_class: str, kind: AnswerKind, elapsed_s: float, run_time_s: float | None
    ) -> None:
        """Count an answer, `elapsed_s` after the request was received. `run_time_s`: None if not known."""
        tally = self._tallies.get(job_class)
        if tally is None:
            return
        tally.answers[kind] += 1
        if kind is not AnswerKind.SERVED:
            return
        settings = self._classes[job_class]
        if run_time_s is not None:
            tally.add_run(run_time_s)
        if (
            elapsed_s * 1000
            <= settings.latency_objective_ms + settings.objective_stretch * (run_time_s or 0.0) * 1000
        ):
            tally.in_time += 1
            tally.in_time_run_s += tally.mean_run_s if run_time_s is None else run_time_s

    def mean_run_s(self, job_class: str) -> float:
        """Return the recent mean running time of a class's requests in seconds; 0 if none is known."""
        tally = self._tallies.get(job_class)
        return tally.mean_run_s if tally else 0.0

    def answers_by_class(self) -> dict[str, Counter[AnswerKind]]:
        """Return the number of answers so far, by class and kind."""
        return {name: Counter(tally.answers) for name, tally in self._tallies.items()}

    @property
    def answers(self) -> Counter[AnswerKind]:
        """Return the number of answers so far, by kind."""
        return sum((tally.answers for tally in self._tallies.values()), Counter())

    @property
    def share(self) -> float:
        """Return the weighted goodput, from 0 to 1; 1 before the first request."""
        requested = served = 0.0
        for name, tally in self._tallies.items():
            weight = self._classes[name].priority_weight
            if self._weight_is_per_work and tally.mean_run_s:
                requested += weight * max(tally.requests * tally.mean_run_s, tally.in_time_run_s)
                served += weight * tally.in_time_run_s
            else:
                requested += weight * tally.requests
                served += weight * tally.in_time
        return min(served / requested, 1.0) if requested else 1.0

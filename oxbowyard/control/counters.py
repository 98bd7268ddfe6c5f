"""The counters that the admin API reports, counted since the start of the process."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from ..core.request import AnswerKind
from ..core.service_measure import ServiceMeasure
from ..discovery.registry import Registry

# The keys are the platform's. A request whose client has disconnected is counted under none of them.
KEY_BY_ANSWER = {
    AnswerKind.SERVED: "fulfilled",
    AnswerKind.REJECTED: "throttled",
    AnswerKind.FAILED: "faulted",
}


@dataclass(slots=True)
class ConfigurationReloads:
    """The number of configurations that SIGHUP has loaded, and of those that were rejected completely."""

    accepted: int = 0
    invalid: int = 0


@dataclass(slots=True, frozen=True)
class CounterSources:
    """The objects that provide the counters."""

    measure: ServiceMeasure
    relayed: Counter[str]  # attempts sent completely, by class
    registry: Registry
    reloads: ConfigurationReloads


def read_counters(sources: CounterSources, open_requests: int) -> Mapping[str, object]:
    """Return all counters by the platform's keys. `open_requests` is the number of unanswered requests."""
    answers = sources.measure.answers_by_class()
    by_class: dict[str, object] = {
        key: {job_class: counts[kind] for job_class, counts in answers.items()}
        for kind, key in KEY_BY_ANSWER.items()
    }
    return by_class | {
        "relayed": sources.relayed.total(),  # attempts, not jobs
        "open_requests": open_requests,
        "registry_entries": sources.registry.listed_count,
        "out_of_rotation": sources.registry.cordoned_count,
        "cfg_accepted": sources.reloads.accepted,
        "cfg_invalid": sources.reloads.invalid,
    }

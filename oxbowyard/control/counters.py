"""The counters that the admin API shows, counted from the start of the process."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from ..core.request import AnswerKind
from ..core.service_measure import ServiceMeasure
from ..discovery.registry import Registry

# The platform's keys; a request whose client has disconnected is counted under none of them.
KEY_BY_ANSWER = {
    AnswerKind.SERVED: "fulfilled",
    AnswerKind.REJECTED: "throttled",
    AnswerKind.FAILED: "faulted",
}


@dataclass(slots=True)
class ConfigurationReloads:
    """How many configurations SIGHUP has brought into force, and how many were rejected as a whole."""

    accepted: int = 0
    invalid: int = 0


@dataclass(slots=True, frozen=True)
class CounterSources:
    """What the counters are read from."""

    measure: ServiceMeasure
    relayed: Counter[str]  # attempts sent whole, by class
    registry: Registry
    reloads: ConfigurationReloads


def read_counters(sources: CounterSources, open_requests: int) -> Mapping[str, object]:
    """All counters by the platform's keys; `open_requests` are accepted and not answered yet."""
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

"""The figures that the door tells, counted from the start of the process."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from ..core.request import AnswerKind
from ..core.service_measure import ServiceMeasure
from ..discovery.registry import Registry

NAMES = {AnswerKind.SERVED: "fulfilled", AnswerKind.REJECTED: "throttled", AnswerKind.FAILED: "faulted"}


@dataclass(slots=True)
class Files:
    """Configuration files read again at SIGHUP: taken, and turned down whole."""

    accepted: int = 0
    invalid: int = 0


@dataclass(slots=True, frozen=True)
class Counted:
    """What the figures are read from."""

    measure: ServiceMeasure
    relayed: Counter[str]
    registry: Registry
    files: Files


def figures(counted: Counted, open_requests: int) -> Mapping[str, object]:
    """One JSON object. A req whose client went is counted under none of the three."""
    answers = counted.measure.answers_by_class()
    told: dict[str, object] = {
        name: {cls: counts[kind] for cls, counts in answers.items()} for kind, name in NAMES.items()
    }
    told["relayed"] = counted.relayed.total()  # of all classes: attempts, not jobs
    told["open_requests"] = open_requests
    told["registry_entries"] = counted.registry.listed
    told["out_of_rotation"] = counted.registry.out_by_hand
    told["cfg_accepted"] = counted.files.accepted
    told["cfg_invalid"] = counted.files.invalid
    return told

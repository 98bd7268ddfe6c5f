"""The facts that a scheduler publishes about itself in its member record, and their form in the admin API."""

from __future__ import annotations

import math
from collections.abc import Mapping

from .services import ProgramServices

# Keys of the facts in a member record, and in the admin API.
STATE = "state"
OPEN_REQUESTS = "held"
SLOTS = "slots"
MAJOR_VERSION = "major"
MINOR_VERSION = "minor"
SHOWN_STATE = "does"
SHOWN_VERSION = "version"

STATES = ("joining", "serving", "draining", "left")  # a member record holds the index of the state
UNKNOWN_STATE = "unknown"

MIN_PUBLISH_INTERVAL_S = 5.0  # between facts of which only the numbers have changed
SIGNIFICANT_SHARE = 0.25  # relative change of a number that is published
SIGNIFICANT_DIFFERENCE = 1.0  # absolute change, which has to be exceeded as well


class FactsPublisher:
    """Decides when to publish the facts. They are published rarely because they are sent to every member."""

    def __init__(self, services: ProgramServices) -> None:
        self._services = services
        self._published: dict[str, float] = {}
        self._checked_at = -MIN_PUBLISH_INTERVAL_S

    def forget_published(self) -> None:
        """Forget the published facts, because the member record of a new process has none."""
        self._published = {}

    def changed_facts(self, now: float) -> dict[str, float] | None:
        """Return the facts to publish at `now` (seconds), or None.

        A change of the state is published immediately, and changes of numbers at a limited rate.
        """
        state = float(STATES.index(self._services.state()))
        is_same_state = state == self._published.get(STATE)
        if is_same_state and now - self._checked_at < MIN_PUBLISH_INTERVAL_S:
            return None
        self._checked_at = now
        facts = self._facts(state)
        if is_same_state and not self._differ_significantly(facts):
            return None
        self._published = facts
        return facts

    def _facts(self, state: float) -> dict[str, float]:
        services = self._services
        major, minor, *_ = (*services.version.split("."), "", "")
        return {
            STATE: state,
            OPEN_REQUESTS: float(services.open_request_count()),
            SLOTS: round(services.slots(), 1),
            MAJOR_VERSION: _parse_number(major),
            MINOR_VERSION: _parse_number(minor),
        }

    def _differ_significantly(self, facts: Mapping[str, float]) -> bool:
        return any(
            _is_significant(facts[key], self._published.get(key, 0.0)) for key in (OPEN_REQUESTS, SLOTS)
        )


def shown_facts(facts: Mapping[str, float]) -> dict[str, object]:
    """Return a member's facts for the admin API, without unknown ones and those that are not finite."""
    facts = {key: value for key, value in facts.items() if math.isfinite(value)}
    if not facts:
        return {}
    state = int(facts.get(STATE, 0))
    shown: dict[str, object] = {SHOWN_STATE: STATES[state] if 0 <= state < len(STATES) else UNKNOWN_STATE}
    shown |= {key: facts[key] for key in (OPEN_REQUESTS, SLOTS) if key in facts}
    shown[SHOWN_VERSION] = f"{facts.get(MAJOR_VERSION, 0):g}.{facts.get(MINOR_VERSION, 0):g}"
    return shown


def _is_significant(one: float, other: float) -> bool:
    return abs(one - other) > max(SIGNIFICANT_SHARE * max(one, other), SIGNIFICANT_DIFFERENCE)


def _parse_number(text: str) -> float:
    return float(text) if text.isdigit() else 0.0

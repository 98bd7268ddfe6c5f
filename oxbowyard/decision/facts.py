"""The start-up settings as operators word them, translated for the module.

The simulator's first message and a scheduler's configuration file hold the same object.
"""

from __future__ import annotations

import math
from typing import Any

from . import interface as api

# The report names of the wire in the interface's terms; x0 only where the settings say it means free slots.
LOADS = {"waiting": "waiting", "err_rps": "errors"}


def _need(table: dict[str, Any], name: str) -> Any:
    value = table.get(name)
    if value is None:
        raise ValueError(f"setting {name} is missing")
    return value


def _positive(table: dict[str, Any], name: str, whole: bool = False) -> Any:
    """A number above 0; a text, a truth value or a whole number that is not whole is none."""
    value = _need(table, name)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < float("inf"):
        raise ValueError(f"setting {name} is no number above 0: {value!r}")
    if whole and value != int(value):
        raise ValueError(f"setting {name} is no whole number: {value!r}")
    return int(value) if whole else value


def _at_least_0(table: dict[str, Any], name: str, default: float) -> float:
    """A number of 0 or more; none given, or null: the default, a limit of our own."""
    value = default if table.get(name) is None else table[name]
    if value is default:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < float("inf"):
        raise ValueError(f"setting {name} is no number of 0 or more: {value!r}")
    return float(value)


def _given(table: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in table.items() if value is not None}


def settings_of(facts: dict[str, Any]) -> api.Settings:
    """Translate the start-up settings."""
    limits, rules, family = _need(facts, "policyLimits"), _need(facts, "rules"), facts.get("familyInfo") or {}
    costs, report = facts.get("costs") or {}, facts.get("loadReport") or {}
    kinds, only = facts.get("kinds") or [], family.get("classKind") or []
    stretches = family.get("classStretch") or []
    classes = []
    for i, lane in enumerate(_need(facts, "lanes")):
        kind = only[i] if i < len(only) else -1
        stretch = lane.get("aimStretch")
        if stretch is None:
            stretch = stretches[i] if i < len(stretches) else 0.0
        if isinstance(stretch, bool) or not isinstance(stretch, int | float) or not 0 <= stretch < math.inf:
            raise ValueError(f"setting aimStretch is no number of 0 or more: {stretch!r}")
        classes.append(
            api.JobClass(
                name=_need(lane, "name"),
                aim=_positive(lane, "aim"),
                deadline=_positive(lane, "deadline"),
                repeat=api.Repeat(lane.get("semantics") or "single_shot"),
                group=lane.get("group") or "all",
                memory=_at_least_0(lane, "memorySpan", 0.0),
                stretch=stretch,
                worth=_at_least_0(lane, "worth", 1.0),
                late_worth=_at_least_0(lane, "lateWorth", 0.0),
                kind=kinds[kind] if 0 <= kind < len(kinds) else None,
                streaming=bool(lane.get("streaming")),
                in_order=bool(lane.get("inOrder")),
            )
        )
    names = [c.name for c in classes]
    if len(set(names)) < len(names):
        twice = sorted(n for n in set(names) if names.count(n) > 1)
        raise ValueError(f"setting lanes names a class twice: {twice}")
    return api.Settings(
        classes=tuple(classes),
        siblings=_positive(facts, "siblings", whole=True),
        zone=facts.get("myZone") or "",
        by_work=facts.get("worthBy") == "work",
        tenants=tuple(api.Tenant(a["name"], a.get("quotaPerS") or 0.0) for a in facts.get("accounts") or []),
        over_share_worth=_at_least_0(facts, "overShareWorth", 1.0),
        must_subscribe=facts.get("discovery") == "ask",
        ask_every=_at_least_0(rules, "askEvery", 0.0) or math.inf,
        live_weights=facts.get("weights") == "live",
        tells_start=bool(family.get("tellsStart")),
        in_turn=family.get("queueOrder") == "fifo",
        progress_every=_at_least_0(family, "progress", 0.0),
        may_probe=bool(limits.get("probes")) and report.get("via") == "pull",
        may_cancel=bool(limits.get("mayCancel")),
        may_copy=bool(limits.get("secondCopies")),
        max_attempts=_positive(limits, "maxAttempts", whole=True),
        max_backoff=_at_least_0(limits, "maxRetryAfter", 0.0) if limits.get("retryAfter") else 0.0,
        connect_timeout=_positive({"connectTimeout": 250.0, **_given(limits)}, "connectTimeout"),
        connect_idle=_at_least_0(limits, "connIdle", 60000.0),
        drain_grace=_at_least_0(rules, "stopSendingWithin", 0.0),
        cold_from=_at_least_0(rules, "coldFrom", 1.0),
        ramp=_at_least_0(rules, "rampTime", 0.0),
        tip_multiple=_at_least_0(rules, "tipMultiple", 3.0),
        tip_after=_at_least_0(rules, "tipAfter", 1000.0),
        turn_gap=_at_least_0(rules, "turnGap", 0.0),
        waste_cost=_at_least_0(costs, "waste", 0.0),
        probe_cost=_at_least_0(costs, "probe", 0.0),
    )


def load_names(facts: dict[str, Any]) -> dict[str, str]:
    """The names of the load reports' figures here, each with the module's name for it."""
    means = (facts.get("familyInfo") or {}).get("reportX0")
    return LOADS | ({"x0": "free_slots"} if means == "free slots" else {})

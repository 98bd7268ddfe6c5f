"""The edge between the platform's settings object and `settings.Settings`; no other module knows its keys.

The simulator's first message and a scheduler's configuration file hold the same object.
"""

from __future__ import annotations

import math
from typing import Any

from .settings import JobClass, RetrySafety, Settings, Tenant

# Names of load report values on the wire, and here; x0 is added where the settings say that it is free slots.
LOAD_REPORT_NAMES = {"waiting": "waiting", "err_rps": "errors"}


def _required(table: dict[str, Any], name: str) -> Any:
    """The value of a key; raises ValueError if it is missing or null."""
    value = table.get(name)
    if value is None:
        raise ValueError(f"setting {name} is missing")
    return value


def _positive(table: dict[str, Any], name: str, whole: bool = False) -> Any:
    """A number above 0, an integer if `whole`; raises ValueError for anything else, booleans included."""
    value = _required(table, name)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < float("inf"):
        raise ValueError(f"setting {name} is no number above 0: {value!r}")
    if whole and value != int(value):
        raise ValueError(f"setting {name} is no whole number: {value!r}")
    return int(value) if whole else value


def _at_least_0(table: dict[str, Any], name: str, default: float) -> float:
    """A number of 0 or more, or the default if the key is missing or null; raises ValueError."""
    value = default if table.get(name) is None else table[name]
    if value is default:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < float("inf"):
        raise ValueError(f"setting {name} is no number of 0 or more: {value!r}")
    return float(value)


def _without_nulls(table: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in table.items() if value is not None}


def parse_settings(facts: dict[str, Any]) -> Settings:
    """Translate the platform's settings object; raises ValueError that names the key at fault."""
    limits = _required(facts, "policyLimits")
    rules = _required(facts, "rules")
    family = facts.get("familyInfo") or {}
    costs = facts.get("costs") or {}
    report = facts.get("loadReport") or {}
    return Settings(
        classes=_job_classes(facts, family),
        scheduler_count=_positive(facts, "siblings", whole=True),
        zone=facts.get("myZone") or "",
        weight_is_per_work=facts.get("worthBy") == "work",
        tenants=tuple(Tenant(a["name"], a.get("quotaPerS") or 0.0) for a in facts.get("accounts") or []),
        over_quota_weight_share=_at_least_0(facts, "overShareWorth", 1.0),
        must_subscribe=facts.get("discovery") == "ask",
        max_poll_interval_ms=_at_least_0(rules, "askEvery", 0.0) or math.inf,
        live_weights=facts.get("weights") == "live",
        reports_starts=bool(family.get("tellsStart")),
        fifo_workers=family.get("queueOrder") == "fifo",
        progress_interval_ms=_at_least_0(family, "progress", 0.0),
        may_probe=bool(limits.get("probes")) and report.get("via") == "pull",
        may_cancel=bool(limits.get("mayCancel")),
        may_hedge=bool(limits.get("secondCopies")),
        max_attempts=_positive(limits, "maxAttempts", whole=True),
        max_retry_after_ms=_at_least_0(limits, "maxRetryAfter", 0.0) if limits.get("retryAfter") else 0.0,
        connect_timeout_ms=_positive({"connectTimeout": 250.0, **_without_nulls(limits)}, "connectTimeout"),
        connection_idle_timeout_ms=_at_least_0(limits, "connIdle", 60000.0),
        drain_grace_ms=_at_least_0(rules, "stopSendingWithin", 0.0),
        initial_capacity_share=_at_least_0(rules, "coldFrom", 1.0),
        ramp_ms=_at_least_0(rules, "rampTime", 0.0),
        overload_multiple=_at_least_0(rules, "tipMultiple", 3.0),
        overload_window_ms=_at_least_0(rules, "tipAfter", 1000.0),
        ordered_gap_ms=_at_least_0(rules, "turnGap", 0.0),
        waste_cost=_at_least_0(costs, "waste", 0.0),
        probe_cost=_at_least_0(costs, "probe", 0.0),
    )


def _job_classes(facts: dict[str, Any], family: dict[str, Any]) -> tuple[JobClass, ...]:
    lanes = _required(facts, "lanes")
    classes = tuple(_job_class(lane, index, facts, family) for index, lane in enumerate(lanes))
    names = [job_class.name for job_class in classes]
    repeated = sorted(name for name in set(names) if names.count(name) > 1)
    if repeated:
        raise ValueError(f"setting lanes names a class twice: {repeated}")
    return classes


def _job_class(lane: dict[str, Any], index: int, facts: dict[str, Any], family: dict[str, Any]) -> JobClass:
    kinds = facts.get("kinds") or []
    kind_by_class = family.get("classKind") or []
    kind = kind_by_class[index] if index < len(kind_by_class) else -1
    stretch = _stretch(lane, index, family)
    return JobClass(
        name=_required(lane, "name"),
        latency_objective_ms=_positive(lane, "aim"),
        deadline_ms=_positive(lane, "deadline"),
        retry_safety=RetrySafety(lane.get("semantics") or "single_shot"),
        dedup_scope=lane.get("group") or "all",
        dedup_window_ms=_at_least_0(lane, "memorySpan", 0.0),
        objective_stretch=stretch,
        priority_weight=_at_least_0(lane, "worth", 1.0),
        late_weight_share=_at_least_0(lane, "lateWorth", 0.0),
        kind=kinds[kind] if 0 <= kind < len(kinds) else None,
        streaming=bool(lane.get("streaming")),
        is_ordered=bool(lane.get("inOrder")),
    )


def _stretch(lane: dict[str, Any], index: int, family: dict[str, Any]) -> float:
    """The class's own stretch, or else the family's; raises ValueError."""
    stretch = lane.get("aimStretch")
    if stretch is None:
        by_class = family.get("classStretch") or []
        stretch = by_class[index] if index < len(by_class) else 0.0
    if isinstance(stretch, bool) or not isinstance(stretch, int | float) or not 0 <= stretch < math.inf:
        raise ValueError(f"setting aimStretch is no number of 0 or more: {stretch!r}")
    return stretch


def get_load_report_names(facts: dict[str, Any]) -> dict[str, str]:
    """The load report values of this deployment: their names on the wire, and in `AttemptEnded.load`."""
    x0_meaning = (facts.get("familyInfo") or {}).get("reportX0")
    return LOAD_REPORT_NAMES | ({"x0": "free_slots"} if x0_meaning == "free slots" else {})

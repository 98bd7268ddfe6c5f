"""Parser of the platform's settings document into `settings.Settings`. No other module knows its keys.

The simulator's first message and a scheduler's configuration file hold the same document.
"""

from __future__ import annotations

import math
from typing import Any

from .settings import JobClass, RetrySafety, Settings, Tenant

# Names of load report values: on the wire -> in `AttemptEnded.load`. x0 is added where it means free slots.
LOAD_REPORT_NAMES = {"waiting": "waiting", "err_rps": "errors"}


def _get_required(table: dict[str, Any], name: str) -> Any:
    """Return the value of a key. Raise ValueError if it is missing or null."""
    value = table.get(name)
    if value is None:
        raise ValueError(f"setting {name} is missing")
    return value


def _get_positive(table: dict[str, Any], name: str, is_integer: bool = False) -> Any:
    """Return a number above 0, an integer if `is_integer`. Raise ValueError for all else, also booleans."""
    value = _get_required(table, name)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < float("inf"):
        raise ValueError(f"setting {name} is no number above 0: {value!r}")
    if is_integer and value != int(value):
        raise ValueError(f"setting {name} must be an integer, got {value!r}")
    return int(value) if is_integer else value


def _get_non_negative(table: dict[str, Any], name: str, default: float) -> float:
    """Return a number of at least 0, or the default if missing or null. Raise ValueError for all else."""
    value = default if table.get(name) is None else table[name]
    if value is default:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < float("inf"):
        raise ValueError(f"setting {name} must be a number of at least 0, got {value!r}")
    return float(value)


def _drop_nulls(table: dict[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in table.items() if value is not None}


def parse_settings(document: dict[str, Any]) -> Settings:
    """Parse the platform's settings document. Raise ValueError with the key of an invalid value."""
    limits = _get_required(document, "policyLimits")
    rules = _get_required(document, "rules")
    family = document.get("familyInfo") or {}
    costs = document.get("costs") or {}
    report = document.get("loadReport") or {}
    return Settings(
        classes=_parse_job_classes(document, family),
        scheduler_count=_get_positive(document, "siblings", is_integer=True),
        zone=document.get("myZone") or "",
        weight_is_per_work=document.get("worthBy") == "work",
        tenants=tuple(Tenant(a["name"], a.get("quotaPerS") or 0.0) for a in document.get("accounts") or []),
        over_quota_weight_share=_get_non_negative(document, "overShareWorth", 1.0),
        must_subscribe=document.get("discovery") == "ask",
        max_poll_interval_ms=_get_non_negative(rules, "askEvery", 0.0) or math.inf,
        live_weights=document.get("weights") == "live",
        reports_starts=bool(family.get("tellsStart")),
        fifo_workers=family.get("queueOrder") == "fifo",
        progress_interval_ms=_get_non_negative(family, "progress", 0.0),
        may_probe=bool(limits.get("probes")) and report.get("via") == "pull",
        may_cancel=bool(limits.get("mayCancel")),
        may_hedge=bool(limits.get("secondCopies")),
        max_attempts=_get_positive(limits, "maxAttempts", is_integer=True),
        max_retry_after_ms=_get_non_negative(limits, "maxRetryAfter", 0.0)
        if limits.get("retryAfter")
        else 0.0,
        connect_timeout_ms=_get_positive({"connectTimeout": 250.0, **_drop_nulls(limits)}, "connectTimeout"),
        connection_idle_timeout_ms=_get_non_negative(limits, "connIdle", 60000.0),
        drain_grace_ms=_get_non_negative(rules, "stopSendingWithin", 0.0),
        initial_capacity_share=_get_non_negative(rules, "coldFrom", 1.0),
        ramp_ms=_get_non_negative(rules, "rampTime", 0.0),
        overload_multiple=_get_non_negative(rules, "tipMultiple", 3.0),
        overload_window_ms=_get_non_negative(rules, "tipAfter", 1000.0),
        ordered_gap_ms=_get_non_negative(rules, "turnGap", 0.0),
        waste_cost=_get_non_negative(costs, "waste", 0.0),
        probe_cost=_get_non_negative(costs, "probe", 0.0),
    )


def _parse_job_classes(document: dict[str, Any], family: dict[str, Any]) -> tuple[JobClass, ...]:
    lanes = _get_required(document, "lanes")
    classes = tuple(_parse_job_class(lane, index, document, family) for index, lane in enumerate(lanes))
    names = [job_class.name for job_class in classes]
    repeated = sorted(name for name in set(names) if names.count(name) > 1)
    if repeated:
        raise ValueError(f"setting lanes has duplicate class names: {repeated}")
    return classes


def _parse_job_class(
    lane: dict[str, Any], index: int, document: dict[str, Any], family: dict[str, Any]
) -> JobClass:
    kinds = document.get("kinds") or []
    kind_by_class = family.get("classKind") or []
    kind = kind_by_class[index] if index < len(kind_by_class) else -1
    stretch = _parse_stretch(lane, index, family)
    return JobClass(
        name=_get_required(lane, "name"),
        latency_objective_ms=_get_positive(lane, "aim"),
        deadline_ms=_get_positive(lane, "deadline"),
        retry_safety=RetrySafety(lane.get("semantics") or "single_shot"),
        dedup_scope=lane.get("group") or "all",
        dedup_window_ms=_get_non_negative(lane, "memorySpan", 0.0),
        objective_stretch=stretch,
        priority_weight=_get_non_negative(lane, "worth", 1.0),
        late_weight_share=_get_non_negative(lane, "lateWorth", 0.0),
        kind=kinds[kind] if 0 <= kind < len(kinds) else None,
        streaming=bool(lane.get("streaming")),
        is_ordered=bool(lane.get("inOrder")),
    )


def _parse_stretch(lane: dict[str, Any], index: int, family: dict[str, Any]) -> float:
    """Return the stretch of the class or else of its family. Raise ValueError for an invalid one."""
    stretch = lane.get("aimStretch")
    if stretch is None:
        by_class = family.get("classStretch") or []
        stretch = by_class[index] if index < len(by_class) else 0.0
    if isinstance(stretch, bool) or not isinstance(stretch, int | float) or not 0 <= stretch < math.inf:
        raise ValueError(f"setting aimStretch must be a number of at least 0, got {stretch!r}")
    return stretch


def get_load_report_names(document: dict[str, Any]) -> dict[str, str]:
    """Return the load report values of this deployment: names on the wire -> in `AttemptEnded.load`."""
    x0_meaning = (document.get("familyInfo") or {}).get("reportX0")
    return LOAD_REPORT_NAMES | ({"x0": "free_slots"} if x0_meaning == "free slots" else {})

"""A reload that changes retry rules applies the stricter of both while clients may use either."""

from __future__ import annotations

import itertools
from dataclasses import replace

import pytest
from test_core import SETTINGS

from oxbowyard.core.settings_update import plan_settings_update
from oxbowyard.decision.retry import is_safe_to_retry_anywhere
from oxbowyard.decision.settings import JobClass, RetrySafety

SCOPES = ("all", "zone", "cell")
WINDOWS_MS = (500.0, 4000.0)
RULES = [
    *((RetrySafety.DEDUPLICATED, scope, window_ms) for scope in SCOPES for window_ms in WINDOWS_MS),
    (RetrySafety.IDEMPOTENT, "all", 0.0),
    (RetrySafety.IDEMPOTENT, "all", 9000.0),
    (RetrySafety.NOT_IDEMPOTENT, "all", 0.0),
]


def make_class(retry_safety: RetrySafety, scope: str, window_ms: float) -> JobClass:
    return JobClass("guarded", 1000.0, 5000.0, retry_safety, scope, window_ms)


def retry_window_ms(job_class: JobClass, scope: str) -> float:
    """Return how long a retry is allowed on a worker that shares exactly this scope with the first worker."""
    if job_class.retry_safety is RetrySafety.IDEMPOTENT:
        return float("inf")
    if job_class.retry_safety is RetrySafety.NOT_IDEMPOTENT:
        return 0.0
    return job_class.dedup_window_ms if job_class.dedup_scope in ("all", scope) else 0.0


@pytest.mark.parametrize(("old", "new"), list(itertools.product(RULES, RULES)))
def test_transition_allows_no_retry_that_the_old_or_new_rule_forbids(
    old: tuple[RetrySafety, str, float], new: tuple[RetrySafety, str, float]
) -> None:
    # Guards against a longer window or a wider scope that applies while clients still use the old rule.
    before, after = make_class(*old), make_class(*new)
    update = plan_settings_update(replace(SETTINGS, classes=(before,)), replace(SETTINGS, classes=(after,)))
    (transition,) = update.transition.classes
    for scope in SCOPES:
        stricter_ms = min(retry_window_ms(before, scope), retry_window_ms(after, scope))
        assert retry_window_ms(transition, scope) <= stricter_ms, scope
    if is_safe_to_retry_anywhere(transition):
        assert is_safe_to_retry_anywhere(before) and is_safe_to_retry_anywhere(after)
    assert update.final.classes == (after,)

"""A reload that changes the rules of repeats: the stricter of old and new, while clients may use either."""

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


def with_rule(retry_safety: RetrySafety, scope: str, window_ms: float) -> JobClass:
    return JobClass("guarded", 1000.0, 5000.0, retry_safety, scope, window_ms)


def allowed_for_ms(job_class: JobClass, scope: str) -> float:
    """For how long a repeat is allowed at a worker that shares this with the first one, and nothing less."""
    if job_class.retry_safety is RetrySafety.IDEMPOTENT:
        return float("inf")
    if job_class.retry_safety is RetrySafety.NOT_IDEMPOTENT:
        return 0.0
    return job_class.dedup_window_ms if job_class.dedup_scope in ("all", scope) else 0.0


@pytest.mark.parametrize(("old", "new"), list(itertools.product(RULES, RULES)))
def test_meanwhile_no_repeat_is_allowed_that_either_rule_forbids(
    old: tuple[RetrySafety, str, float], new: tuple[RetrySafety, str, float]
) -> None:
    # Guards against a longer window, or a wider scope, that holds while clients still use the old one.
    before, after = with_rule(*old), with_rule(*new)
    step = plan_settings_update(replace(SETTINGS, classes=(before,)), replace(SETTINGS, classes=(after,)))
    (meanwhile,) = step.transition.classes
    for scope in SCOPES:
        least = min(allowed_for_ms(before, scope), allowed_for_ms(after, scope))
        assert allowed_for_ms(meanwhile, scope) <= least, scope
    if is_safe_to_retry_anywhere(meanwhile):
        assert is_safe_to_retry_anywhere(before) and is_safe_to_retry_anywhere(after)
    assert step.final.classes == (after,)

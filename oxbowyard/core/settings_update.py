"""A change of settings at run time: which ones may change, and the rules that apply during the transition.

Each client switches to the new settings at its own time, shortly after the reload signal. Until then a
request may follow the old rules or the new ones, so the stricter ones apply: a class whose jobs must not run
twice by either version is not repeated, and the smaller attempt limit is used. A removed class is still
accepted during the transition, under its old rules.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..decision.settings import JobClass, RetrySafety, Settings

RETRY_SAFETY_BY_STRICTNESS = (
    RetrySafety.IDEMPOTENT,
    RetrySafety.DEDUPLICATED,
    RetrySafety.NOT_IDEMPOTENT,
)  # from the most lenient to the strictest
DEDUP_SCOPE_ALL = "all"
LIVE_SETTINGS = ("classes", "max_attempts")


@dataclass(slots=True, frozen=True)
class SettingsUpdate:
    """A change of settings, in two steps."""

    transition: Settings  # in force while clients may still use the old classes
    final: Settings  # in force once all clients use the new classes


def restart_only_changes(old: Settings, new: Settings) -> tuple[str, ...]:
    """Return the names of the settings that differ and take effect only after a restart."""
    return tuple(
        name
        for name in Settings.__slots__
        if name not in LIVE_SETTINGS and getattr(old, name) != getattr(new, name)
    )


def plan_settings_update(old: Settings, new: Settings) -> SettingsUpdate:
    """Return the two steps from the old settings to the new ones. Only `LIVE_SETTINGS` change."""
    final = replace(old, classes=new.classes, max_attempts=new.max_attempts)
    old_classes = {c.name: c for c in old.classes}
    new_names = {c.name for c in new.classes}
    changed = tuple(
        _with_stricter_retry_rule(old_classes[c.name], c) if c.name in old_classes else c for c in new.classes
    )
    removed = tuple(c for c in old.classes if c.name not in new_names)
    max_attempts = min(old.max_attempts, new.max_attempts)
    transition = replace(final, classes=changed + removed, max_attempts=max_attempts)
    return SettingsUpdate(transition, final)


def _with_stricter_retry_rule(old: JobClass, new: JobClass) -> JobClass:
    """Return the new class, with the retry rule of the old one if that is stricter."""
    if old.retry_safety is new.retry_safety is RetrySafety.DEDUPLICATED:
        return _with_stricter_deduplication(old, new)
    if RETRY_SAFETY_BY_STRICTNESS.index(old.retry_safety) <= RETRY_SAFETY_BY_STRICTNESS.index(
        new.retry_safety
    ):
        return new
    return replace(
        new, retry_safety=old.retry_safety, dedup_scope=old.dedup_scope, dedup_window_ms=old.dedup_window_ms
    )


def _with_stricter_deduplication(old: JobClass, new: JobClass) -> JobClass:
    """Return the new class with repeats allowed only where, and for as long as, both versions allow them."""
    window_ms = min(old.dedup_window_ms, new.dedup_window_ms)
    if old.dedup_scope == new.dedup_scope or old.dedup_scope == DEDUP_SCOPE_ALL:
        return replace(new, dedup_window_ms=window_ms)
    if new.dedup_scope == DEDUP_SCOPE_ALL:
        return replace(new, dedup_scope=old.dedup_scope, dedup_window_ms=window_ms)
    # A zone and a cell are different sets of workers, so no scope satisfies both versions.
    return replace(new, retry_safety=RetrySafety.NOT_IDEMPOTENT)

"""Settings brought by SIGHUP: what may change live, and the rules that hold while clients learn of it.

A change binds from the moment clients use it, a little after the signal. Until then a request may come
under the old rules or the new, so the stricter of the two holds: where either says a class must not run
twice, it must not; of two numbers of fetches, the smaller. A class that goes out is still taken for that
time, under its old rules.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..decision.settings import JobClass, Repeat, Settings

STRICTNESS = (Repeat.FREE, Repeat.GUARDED, Repeat.SINGLE_SHOT)  # from the most lenient


class NotLive(ValueError):
    """The new settings differ in what only a restart changes; the text names it."""


@dataclass(slots=True, frozen=True)
class Retune:
    """A change of settings in its two steps."""

    meanwhile: Settings  # while clients may still use the old classes
    after: Settings  # once they use the new ones alone


def live_part_only(old: Settings, new: Settings) -> tuple[str, ...]:
    """The names of the settings that differ and can't change live: all but the classes and fetches."""
    fixed = ("classes", "max_attempts")
    return tuple(
        name for name in Settings.__slots__ if name not in fixed and getattr(old, name) != getattr(new, name)
    )


def retune(old: Settings, new: Settings) -> Retune:
    """The two steps from the settings in force to new ones; only classes and fetches change."""
    after = replace(old, classes=new.classes, max_attempts=new.max_attempts)
    before = {c.name: c for c in old.classes}
    classes = tuple(_stricter(before[c.name], c) if c.name in before else c for c in new.classes)
    named = {c.name for c in new.classes}
    going = tuple(c for c in old.classes if c.name not in named)
    meanwhile = replace(after, classes=classes + going, max_attempts=min(old.max_attempts, new.max_attempts))
    return Retune(meanwhile, after)


def _stricter(old: JobClass, new: JobClass) -> JobClass:
    """The new class, but with the stricter repeat of the two."""
    if STRICTNESS.index(old.repeat) <= STRICTNESS.index(new.repeat):
        return new
    return replace(new, repeat=old.repeat, group=old.group, memory=max(old.memory, new.memory))

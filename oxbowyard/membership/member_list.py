"""The list of the other members, with the current record of each. Without I/O or clock."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto

from .messages import MemberRecord, MemberState


class MergeResult(Enum):
    """The result of merging a record into the list."""

    STALE = auto()  # nothing changed
    APPLIED = auto()  # it is the member's current record now
    CONFIRMED = auto()  # it adds an accuser of a member that is already suspected
    CONFLICT = auto()  # two live processes use the same name
    FULL = auto()  # the list has no room for another member


@dataclass(slots=True)
class Member:
    """One member as this member knows it, which is only a hint: see the package's docstring."""

    record: MemberRecord
    changed_at: float  # when `record` was applied, in seconds on this process's clock
    reason: str = ""
    accusers: frozenset[str] = frozenset()

    @property
    def state(self) -> MemberState:
        """The state in the member's record."""
        return self.record.state

    @property
    def is_live(self) -> bool:
        """Whether the member is alive or suspect."""
        return self.record.state in (MemberState.ALIVE, MemberState.SUSPECT)


class MemberList:
    """All known members except the one that owns the list."""

    def __init__(self, max_members: int) -> None:
        self._max_members = max_members
        self.by_name: dict[str, Member] = {}
        self._live_count = 0

    def __iter__(self) -> Iterator[Member]:
        return iter(self.by_name.values())

    @property
    def live_count(self) -> int:
        """The number of alive and suspect members."""
        return self._live_count

    def get(self, name: str) -> Member | None:
        """Return the member with this name, or None if it is unknown."""
        return self.by_name.get(name)

    def live(self) -> list[Member]:
        """Return the alive and suspect members."""
        return [member for member in self if member.is_live]

    def merge(self, record: MemberRecord, now: float, reason: str) -> MergeResult:
        """Merge a record received at `now` (seconds); `reason` is shown to the operators.

        The record with the higher incarnation wins, and at equal incarnations the one with the larger state.
        An alive record of another process with the name of a live member is applied only if it has the same
        address: then the earlier process has ended.
        """
        member = self.by_name.get(record.name)
        if member is None:
            return self._add(record, now, reason)
        rejection = _rejection(record, member)
        if rejection is not None:
            return rejection
        self._live_count -= member.is_live
        member.record, member.changed_at, member.reason = record, now, reason
        self._live_count += member.is_live
        member.accusers = _accusers(record)
        return MergeResult.APPLIED

    def _add(self, record: MemberRecord, now: float, reason: str) -> MergeResult:
        if record.state in (MemberState.DEAD, MemberState.LEFT):  # an unknown member has ended
            return MergeResult.STALE
        if len(self.by_name) >= self._max_members:
            return MergeResult.FULL
        self.by_name[record.name] = Member(record, now, reason, _accusers(record))
        self._live_count += 1
        return MergeResult.APPLIED

    def forget_dead(self, before: float) -> None:
        """Remove the members that have been dead or left since before the given time (seconds)."""
        expired = [m.record.name for m in self if not m.is_live and m.changed_at < before]
        for name in expired:
            del self.by_name[name]


def _rejection(record: MemberRecord, member: Member) -> MergeResult | None:
    """Return the reason not to apply the record to the member, or None to apply it."""
    if record.run_id != member.record.run_id:
        return _rejection_of_other_run(record, member)
    current = member.record
    if (record.incarnation, record.state) <= (current.incarnation, current.state):
        return _add_accuser(record, member)
    return None


def _rejection_of_other_run(record: MemberRecord, member: Member) -> MergeResult | None:
    current = member.record
    is_alive = record.state is MemberState.ALIVE
    has_moved = record.address != current.address
    is_newer = record.incarnation > current.incarnation
    if is_alive and member.is_live and has_moved:
        return MergeResult.CONFLICT
    if not is_alive or not is_newer:
        return MergeResult.STALE
    return None


def _add_accuser(record: MemberRecord, member: Member) -> MergeResult:
    current = member.record
    are_both_suspect = record.state is MemberState.SUSPECT and current.state is MemberState.SUSPECT
    is_known_accuser = record.accuser in member.accusers | {""}
    if are_both_suspect and record.incarnation == current.incarnation and not is_known_accuser:
        member.accusers |= {record.accuser}
        return MergeResult.CONFIRMED
    return MergeResult.STALE


def _accusers(record: MemberRecord) -> frozenset[str]:
    return frozenset((record.accuser,)) if record.accuser else frozenset()

"""The other members that are known, and which record of each holds. Without I/O or clock."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto

from .messages import MemberRecord, MemberState


class MergeResult(Enum):
    """What became of a record that was merged."""

    STALE = auto()  # nothing changed
    APPLIED = auto()  # it holds now
    CONFIRMED = auto()  # one more accuser of a member that is suspected already
    CONFLICT = auto()  # two processes with one name
    FULL = auto()  # the list has no room for another member


@dataclass(slots=True)
class Member:
    """One member, as far as is known here. A hint: see the package's docstring."""

    record: MemberRecord
    changed_at: float  # when this record came to hold, on this process's clock, in seconds
    reason: str = ""
    accusers: frozenset[str] = frozenset()

    @property
    def state(self) -> MemberState:
        """The state in its record."""
        return self.record.state

    @property
    def is_live(self) -> bool:
        """Whether it is alive or suspect."""
        return self.record.state in (MemberState.ALIVE, MemberState.SUSPECT)


class MemberList:
    """All members but the one whose list it is."""

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
        """The member of this name, if it is known."""
        return self.by_name.get(name)

    def live(self) -> list[Member]:
        """The alive and suspect members."""
        return [member for member in self if member.is_live]

    def merge(self, record: MemberRecord, now: float, reason: str) -> MergeResult:
        """Merge a record that came to hold at `now` (seconds); `reason` is shown to the operators.

        The higher incarnation holds; of one incarnation, the larger state. A record of another process with
        the name of a live member holds only from the same address: then the process before it has ended.
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
        if record.state in (MemberState.DEAD, MemberState.LEFT):  # the end of a member never known is no news
            return MergeResult.STALE
        if len(self.by_name) >= self._max_members:
            return MergeResult.FULL
        self.by_name[record.name] = Member(record, now, reason, _accusers(record))
        self._live_count += 1
        return MergeResult.APPLIED

    def forget_dead(self, before: float) -> None:
        """Remove the members that have been dead or left since before that time."""
        expired = [m.record.name for m in self if not m.is_live and m.changed_at < before]
        for name in expired:
            del self.by_name[name]


def _rejection(record: MemberRecord, member: Member) -> MergeResult | None:
    """Why the record does not replace the member's own, or None if it does."""
    if record.run_id != member.record.run_id:
        return _rejection_of_other_run(record, member)
    held = member.record
    if (record.incarnation, record.state) <= (held.incarnation, held.state):
        return _add_accuser(record, member)
    return None


def _rejection_of_other_run(record: MemberRecord, member: Member) -> MergeResult | None:
    held = member.record
    is_alive = record.state is MemberState.ALIVE
    moved = record.address != held.address
    is_newer = record.incarnation > held.incarnation
    if is_alive and member.is_live and moved:
        return MergeResult.CONFLICT
    if not is_alive or not is_newer:
        return MergeResult.STALE
    return None


def _add_accuser(record: MemberRecord, member: Member) -> MergeResult:
    held = member.record
    both_suspect = record.state is MemberState.SUSPECT and held.state is MemberState.SUSPECT
    is_known_accuser = record.accuser in member.accusers | {""}
    if both_suspect and record.incarnation == held.incarnation and not is_known_accuser:
        member.accusers |= {record.accuser}
        return MergeResult.CONFIRMED
    return MergeResult.STALE


def _accusers(record: MemberRecord) -> frozenset[str]:
    return frozenset((record.accuser,)) if record.accuser else frozenset()

"""Alive, suspect, dead and left records: merging those of other members, refuting those of this one."""

from __future__ import annotations

from msgspec.structs import replace

from .dissemination import Dissemination
from .instructions import MemberEventKind
from .member_list import Member, MergeResult
from .messages import MemberRecord, MemberState
from .probing import Probing
from .push_pull import PushPullSync
from .state import ProtocolState
from .suspicion import Suspicions

MAX_REPORTED_PROCESSES = 1000  # remembered conflicts and rejections, so that each is reported once

# Why a record was applied, as the admin API shows it.
PROBE_FAILED = "did not answer"
SUSPICION_EXPIRED = "silent too long"
RECEIVED_FROM = "told by"


class RecordHandler:
    """Applies records to the member list, and updates the suspicions and the queue of records to send on."""

    def __init__(
        self,
        state: ProtocolState,
        dissemination: Dissemination,
        suspicions: Suspicions,
        probing: Probing,
        push_pull: PushPullSync,
    ) -> None:
        self._state = state
        self._dissemination = dissemination
        self._suspicions = suspicions
        self._probing = probing
        self._push_pull = push_pull
        self._reported: set[tuple[str, int]] = set()  # names and run ids

    # ---- This member's own findings ----

    def suspect(self, member: Member) -> None:
        """Suspect a member that failed a probe."""
        self._accuse(member, MemberState.SUSPECT, PROBE_FAILED)

    def declare_dead(self, name: str) -> None:
        """Declare a suspect dead: the time to refute the suspicion is over."""
        member = self._state.members.get(name)
        if member is not None and member.state is MemberState.SUSPECT:
            self._accuse(member, MemberState.DEAD, SUSPICION_EXPIRED)

    def _accuse(self, member: Member, state: MemberState, reason: str) -> None:
        self.apply(replace(member.record, state=state, accuser=self._state.me.name), reason)

    # ---- Records of other members ----

    def apply(self, record: MemberRecord, reason: str) -> None:
        """Apply a record; `reason` is shown to the operators."""
        state = self._state
        if record.name == state.me.name:
            self._apply_to_self(record)
            return
        member = state.members.get(record.name)
        previous = member.state if member else None
        match state.members.merge(record, state.now, reason):
            case MergeResult.APPLIED:
                self._on_applied(record, previous)
            case MergeResult.CONFIRMED:
                self._dissemination.enqueue(record)
                self._probing.ping_suspect(record)
            case MergeResult.STALE if member is not None:
                self._correct_stale_suspicion(record, member)
            case MergeResult.CONFLICT if member is not None:
                self._report_once(MemberEventKind.CONFLICT, record)
                self._probing.ping_with_record(record, member.record.address)  # it reports the conflict too
            case MergeResult.FULL:
                self._report_once(MemberEventKind.REJECTED, record)

    def _on_applied(self, record: MemberRecord, previous: MemberState | None) -> None:
        self._dissemination.enqueue(record)
        if record.state is MemberState.SUSPECT:
            self._suspicions.begin(record.name)
            self._probing.ping_suspect(record)
        else:
            self._suspicions.end(record.name)
        kind = _event_kind(record.state, previous)
        if kind in (MemberEventKind.JOINED, MemberEventKind.RETURNED):
            self._push_pull.sync_soon()
        if kind is not None:
            self._state.notify(kind, record.name, accuser=record.accuser)

    def _correct_stale_suspicion(self, record: MemberRecord, member: Member) -> None:
        """Send a refutation on again: a member that still suspects another has not received it."""
        current = member.record
        is_refuted = current.state is MemberState.ALIVE and current.incarnation > record.incarnation
        if record.state is MemberState.SUSPECT and is_refuted:
            self._dissemination.enqueue(current)

    def _report_once(self, kind: MemberEventKind, record: MemberRecord) -> None:
        """Report a conflict or a rejection once for each process, since its record arrives repeatedly."""
        process = record.name, record.run_id
        if process in self._reported:
            return
        if len(self._reported) >= MAX_REPORTED_PROCESSES:
            self._reported.clear()
        self._reported.add(process)
        self._state.notify(kind, record.name, address=record.address)

    # ---- Records of this member ----

    def raise_incarnation(self, incarnation: int, facts: dict[str, float]) -> None:
        """Replace this member's own record. No other member may increase its incarnation."""
        state = self._state
        state.me = replace(state.me, incarnation=incarnation, facts=facts)
        self._dissemination.enqueue(state.me)

    def leave(self) -> None:
        """Replace this member's own record with a left record."""
        state = self._state
        state.has_left = True
        state.me = replace(state.me, state=MemberState.LEFT)
        self._dissemination.enqueue(state.me)

    def _apply_to_self(self, record: MemberRecord) -> None:
        """Refute a suspicion or a death, and supersede the record of an earlier process with this name."""
        state, me = self._state, self._state.me
        is_other_run = record.run_id != me.run_id
        if is_other_run and record.state is MemberState.ALIVE and record.address != me.address:
            self._report_once(MemberEventKind.CONFLICT, record)
            return
        is_accused = not is_other_run and record.state is not MemberState.ALIVE
        if record.incarnation < me.incarnation or state.has_left:
            if is_accused:
                self._dissemination.enqueue(me)  # the accuser has not received this member's record
            return
        if is_accused:
            state.notify(MemberEventKind.REFUTED, me.name, accuser=record.accuser)
            state.health.degrade()
        if is_accused or is_other_run:
            self.raise_incarnation(record.incarnation + 1, me.facts)


def _event_kind(state: MemberState, previous: MemberState | None) -> MemberEventKind | None:
    """Return the event that an applied record means; None for new facts of a member that was alive."""
    match state:
        case MemberState.SUSPECT:
            return MemberEventKind.SUSPECTED
        case MemberState.DEAD:
            return MemberEventKind.DIED
        case MemberState.LEFT:
            return MemberEventKind.LEFT
        case MemberState.ALIVE:
            return _alive_event_kind(previous)


def _alive_event_kind(previous: MemberState | None) -> MemberEventKind | None:
    match previous:
        case None:
            return MemberEventKind.JOINED
        case MemberState.ALIVE:
            return None
        case MemberState.SUSPECT:
            return MemberEventKind.CLEARED
        case _:
            return MemberEventKind.RETURNED

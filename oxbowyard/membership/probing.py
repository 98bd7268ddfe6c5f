"""Probing: each member probes one other member in each interval, directly and then through helpers."""

from __future__ import annotations

from dataclasses import dataclass

from .dissemination import Dissemination
from .member_list import Member
from .messages import Ack, MemberRecord, MemberState, Nack, Ping, PingRequest
from .state import ProtocolState
from .suspicion import Suspicions

MAX_OTHER_SUSPICIONS = 2  # suspicions of other members that are sent with a ping


@dataclass(slots=True)
class _Probe:
    sequence_number: int
    target: str
    deadline: float  # of the direct probe, later of the indirect ones
    is_indirect: bool = False
    expected_nacks: int = 0
    received_nacks: int = 0


class Probing:
    """The probes that this member sends for itself, not for another member."""

    def __init__(self, state: ProtocolState, dissemination: Dissemination, suspicions: Suspicions) -> None:
        self._state = state
        self._dissemination = dissemination
        self._suspicions = suspicions
        self._next_probe_at = 0.0
        self._probe: _Probe | None = None
        self._round: list[str] = []  # names of the members still to be probed in this round

    def start(self) -> None:
        """Schedule the first probe at a random moment of the first interval."""
        state = self._state
        self._next_probe_at = state.now + state.random.uniform(0, state.settings.probe_interval_s)

    def restart(self) -> None:
        """Drop the current probe, as its answer may have been lost in a stall, and begin another at once."""
        self._probe = None
        self._next_probe_at = self._state.now

    def due_times(self) -> list[float]:
        """Return the times at which the next probe begins and at which the current one times out."""
        return [self._next_probe_at] if self._probe is None else [self._next_probe_at, self._probe.deadline]

    # ---- Probes ----

    def begin_due_probe(self) -> None:
        """Probe the next member if the interval is over."""
        state = self._state
        if state.now < self._next_probe_at or state.has_left:
            return
        self._next_probe_at = state.now + state.settings.probe_interval_s * state.health.multiplier
        member = self._next_target()
        if member is None:
            return
        sequence_number = state.next_sequence_number()
        deadline = state.now + state.settings.probe_timeout_s * state.health.multiplier
        self._probe = _Probe(sequence_number, member.record.name, deadline)
        self._send_ping(member, sequence_number)

    def _next_target(self) -> Member | None:
        """Return the next live member of the round, or None if there is none.

        A round probes every live member once, in random order, so a dead one is probed within two rounds.
        """
        members = self._state.members
        for _ in range(2):
            while self._round:
                member = members.get(self._round.pop())
                if member is not None and member.is_live:
                    return member
            self._round = [member.record.name for member in members.live()]
            self._state.random.shuffle(self._round)
        return None

    def check_deadline(self) -> Member | None:
        """Start the indirect probes on a timeout, or end the probe and return the member that failed it."""
        probe = self._probe
        if probe is None or self._state.now < probe.deadline:
            return None
        member = self._state.members.get(probe.target)
        if member is None or not member.is_live:
            self._probe = None
            return None
        if not probe.is_indirect:
            self._probe_indirectly(probe, member)
            return None
        self._probe = None
        if probe.received_nacks < probe.expected_nacks:  # no answer from helpers: this member may be at fault
            self._state.health.degrade(1 if probe.received_nacks else 2)
        return member

    def _probe_indirectly(self, probe: _Probe, member: Member) -> None:
        state, record = self._state, member.record
        probe.is_indirect = True
        probe.deadline = self._next_probe_at
        candidates = [m for m in state.members if m.state is MemberState.ALIVE and m is not member]
        helpers = state.random.sample(candidates, min(len(candidates), state.settings.indirect_probe_count))
        probe.expected_nacks = len(helpers)
        if state.settings.stream_probe_enabled:  # TCP retransmits what is lost
            records = self._dissemination.select_records([record])
            ping = Ping(state.header(), probe.sequence_number, record.name, records)
            state.send(record.address, ping, by_stream=True)
        for helper in helpers:
            records = self._dissemination.select_records()
            request = PingRequest(state.header(), probe.sequence_number, record.name, record.address, records)
            state.send(helper.record.address, request)

    # ---- Answers ----

    def on_ack(self, ack: Ack) -> None:
        """End the current probe if this is its target's answer."""
        probe = self._probe
        if probe is None:
            return
        if ack.sequence_number == probe.sequence_number and ack.target == probe.target:
            self._probe = None
            self._state.health.improve()

    def on_nack(self, nack: Nack) -> None:
        """Count a helper's report that the target did not answer it: the helper itself can be reached."""
        if self._probe is not None and nack.sequence_number == self._probe.sequence_number:
            self._probe.received_nacks += 1

    # ---- Further pings ----

    def ping(self, member: Member) -> None:
        """Send a ping with queued records and entries, without waiting for its answer."""
        self._send_ping(member, self._state.next_sequence_number())

    def ping_with_record(self, record: MemberRecord, address: str, by_stream: bool = False) -> None:
        """Send a ping with only this record of its target, so that the target may refute it."""
        state = self._state
        ping = Ping(state.header(), state.next_sequence_number(), record.name, [record])
        state.send(address, ping, by_stream)

    def ping_suspect(self, record: MemberRecord) -> None:
        """Notify a suspect of the suspicion by stream, if this member volunteers.

        Some of the members that learn of the suspicion do this, so the refutation arrives with an answer by
        stream however many datagrams are lost.
        """
        if self._state.settings.stream_probe_enabled and self._state.should_volunteer():
            self.ping_with_record(record, record.address, by_stream=True)

    def _send_ping(self, member: Member, sequence_number: int) -> None:
        """Send a ping with the suspicion of its target, which may refute it, and with some other suspicions.

        A receiver that knows the refutation of a suspicion sends it on, even if it was lost before.
        """
        state, record = self._state, member.record
        required = [record] if member.state is MemberState.SUSPECT else []
        others = [suspect.record for suspect in self._suspicions.members() if suspect is not member]
        required += others[:MAX_OTHER_SUSPICIONS]
        records, entries = self._dissemination.select(required)
        state.send(record.address, Ping(state.header(), sequence_number, record.name, records, entries))

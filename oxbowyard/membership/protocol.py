"""The membership protocol of one member as a state machine: events in, instructions out.

It has no I/O, no clock and no source of randomness of its own: the caller passes it events with the time at
which they happened, carries out the instructions that it returns, and passes it `TimerFired` at the time
`due_at`. The same events and the same seed always give the same history.

Each module has one concern: `probing` and `probe_relay` (which members answer), `suspicion` (how long a
suspect has to refute the suspicion), `records` (which record of each member is current), `dissemination`
(what is sent on) and `push_pull` (exchanges of the complete state). A process that was stopped or starved of
CPU time received nothing meanwhile, so it lengthens every timeout by the time that it lost.
"""

from __future__ import annotations

from random import Random

from .dissemination import Dissemination
from .entries import EntryStore
from .events import EntryWritten, Event, FactsChanged, LeaveRequested, MessageReceived, Started, TimerFired
from .instructions import Instruction, MemberEventKind, SendMessage
from .member_list import MemberList
from .messages import (
    Ack,
    Gossip,
    Header,
    MemberRecord,
    MemberState,
    Nack,
    Ping,
    PingRequest,
    PushPull,
    entries_of,
    records_of,
)
from .probe_relay import PendingAck, ProbeRelay
from .probing import Probing
from .push_pull import PushPullSync
from .records import RECEIVED_FROM, RecordHandler
from .settings import ProtocolSettings
from .state import ProtocolState
from .suspicion import Suspicions

STALL_THRESHOLD_INTERVALS = 0.5  # probe intervals; an event later than this shows that the process stalled


class MembershipProtocol:
    """One member's side of the protocol."""

    def __init__(
        self, name: str, run_id: int, address: str, zone: str, settings: ProtocolSettings, random: Random
    ) -> None:
        me = MemberRecord(name, run_id, address, zone, 0, MemberState.ALIVE)
        self._state = ProtocolState(me, settings, random)
        self._dissemination = Dissemination(self._state)
        self._suspicions = Suspicions(self._state)
        self._probing = Probing(self._state, self._dissemination, self._suspicions)
        self._relay = ProbeRelay(self._state, self._dissemination)
        self._push_pull = PushPullSync(self._state, self._dissemination)
        self._records = RecordHandler(
            self._state, self._dissemination, self._suspicions, self._probing, self._push_pull
        )
        self._due_at = 0.0

    # ---- State ----

    @property
    def me(self) -> MemberRecord:
        """This member's own record."""
        return self._state.me

    @property
    def members(self) -> MemberList:
        """The other members."""
        return self._state.members

    @property
    def entries(self) -> EntryStore:
        """The valid gossip entries."""
        return self._dissemination.entries

    @property
    def health_score(self) -> int:
        """Lifeguard's local health score: 0 is healthy, a higher score lengthens this member's timeouts."""
        return self._state.health.score

    @property
    def due_at(self) -> float:
        """When to pass the next `TimerFired` to `handle`, in seconds on the caller's clock."""
        return self._due_at

    def header(self) -> Header:
        """Return the header of this member's messages."""
        return self._state.header()

    def live_count(self) -> int:
        """Return the number of alive and suspect members, including this one.

        Suspects count because a suspicion may be refuted.
        """
        return self._state.live_count()

    def longest_suspicion_s(self) -> float:
        """Return how long a suspicion without confirmations lasts at this member's current health."""
        return self._suspicions.longest_timeout_s()

    def assume_converged(self) -> None:
        """Assume that all members know what this one knows: for simulations of large groups."""
        self._dissemination.clear_records()
        self._push_pull.schedule_randomly()

    # ---- Events ----

    def handle(self, now: float, event: Event) -> list[Instruction]:
        """Handle an event that happened at `now` (seconds); return the instructions in their order."""
        self._state.instructions = []
        match event:
            case Started():
                self._start(now, event)
            case TimerFired():
                self._advance(now)
                self._on_timer()
            case MessageReceived():
                self._advance(now)
                self._on_message(event)
            case EntryWritten():
                self._advance(now)
                self._dissemination.write_entry(event)
                self._schedule()
            case FactsChanged():
                self._records.raise_incarnation(self._state.me.incarnation + 1, event.facts)
            case LeaveRequested():
                self._leave()
        return self._state.instructions

    def _start(self, now: float, event: Started) -> None:
        self._state.now = now
        self._probing.start()
        self._push_pull.start(event.seeds)
        self._dissemination.enqueue(self._state.me)
        self._schedule()

    def _leave(self) -> None:
        """Send a left record to some members, which send it on."""
        state = self._state
        self._records.leave()
        live = state.members.live()
        count = min(len(live), 2 * state.settings.indirect_probe_count + 2)
        for member in state.random.sample(live, count):
            self._probing.ping(member)

    # ---- Time ----

    def _advance(self, now: float) -> None:
        """Set the time and detect a stall.

        Any event may be the first after a stall, because asyncio reads sockets before it runs timers.
        """
        late_s = now - self._due_at
        is_stalled = late_s > STALL_THRESHOLD_INTERVALS * self._state.settings.probe_interval_s
        self._state.now = max(self._state.now, now)
        if is_stalled:
            self._on_stall(late_s)

    def _on_stall(self, stalled_s: float) -> None:
        """Extend the suspicions and restart probing: silence during a stall is no evidence against others."""
        state = self._state
        state.notify(MemberEventKind.STALLED, state.me.name, stalled_s=stalled_s)
        self._suspicions.extend(stalled_s)
        self._probing.restart()
        self._relay.clear()
        state.health.degrade()

    def _on_timer(self) -> None:
        self._dissemination.entries.expire(self._state.now)
        self._dissemination.resend_due()
        self._relay.run_due()
        failed = self._probing.check_deadline()
        if failed is not None:
            self._records.suspect(failed)
        for name in self._suspicions.pop_expired():
            self._records.declare_dead(name)
        self._probing.begin_due_probe()
        self._push_pull.sync_if_due()
        self._push_pull.reconnect_if_due()
        self._schedule()

    def _schedule(self) -> None:
        due_times = [
            *self._probing.due_times(),
            *self._push_pull.due_times(),
            *self._dissemination.due_times(),
            *self._suspicions.due_times(),
            *self._relay.due_times(),
        ]
        self._due_at = max(min(due_times), self._state.now)  # a time in the past would count as a stall

    # ---- Messages ----

    def _on_message(self, event: MessageReceived) -> None:
        state, message = self._state, event.message
        header = message.header
        if header.name == state.me.name and header.run_id == state.me.run_id:
            return  # this member's own message came back
        ack = self._answer(event)
        ack_position = len(state.instructions)
        for record in records_of(message):
            self._records.apply(record, f"{RECEIVED_FROM} {header.name}")
        for entry in entries_of(message):
            self._dissemination.receive_entry(entry, header.name, isinstance(message, Gossip))
        if ack is not None:
            state.instructions.insert(ack_position, self._ack_instruction(ack))
        self._schedule()

    def _answer(self, event: MessageReceived) -> PendingAck | None:
        """Handle the message except for its records and entries; return the acknowledgement to send."""
        match event.message:
            case Ping(header=header, target=target, sequence_number=number):
                if target != self._state.me.name:
                    return None  # meant for a member that had this address before
                self._push_pull.on_contact(header)
                return PendingAck(event.source, number, target, event.by_stream)
            case Ack() as ack:
                self._push_pull.on_contact(ack.header)
                self._probing.on_ack(ack)
                return self._relay.on_ack(ack)
            case PingRequest() as request:
                self._relay.on_ping_request(request, event.source)
            case Nack() as nack:
                self._probing.on_nack(nack)
            case PushPull(wants_reply=True):
                self._push_pull.reply(event.source)
        return None

    def _ack_instruction(self, ack: PendingAck) -> SendMessage:
        """Build the acknowledgement, with the records and entries that are queued now."""
        records, entries = self._dissemination.select()
        message = Ack(self._state.header(), ack.sequence_number, ack.target, records, entries)
        return SendMessage(ack.address, message, ack.by_stream)

"""The group's protocol, after SWIM with Lifeguard's local health: events in, messages and notices out.

Taken of SWIM: one member asked a period in a shuffled round, others asked to ask, suspicion before death,
incarnations that only their owner raises, news on the back of probes. Of Lifeguard: a member's own trouble
stretches
its times, helpers answer even if the target does not, a suspicion is told to its target first and shortens
with each
member that confirms it. Of memberlist's practice: a question by stream beside the helpers'. Ours: a member
that was stopped or starved takes the time it lost off every wait, since it
heard nobody meanwhile; a run number tells two processes with one name apart. No I/O, no clock, no own
randomness.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from .entries import Notes
from .member_list import Member, View, Word
from .messages import (
    VERSION,
    Ack,
    Claim,
    Head,
    Message,
    Nack,
    Note,
    Ping,
    PingFor,
    State,
    Sync,
    Told,
    note_size,
    size,
)
from .settings import GroupSettings

LATE_SHARE = 0.5  # of a period: a tick that comes so late shows that this process stood still
MOST_SAID = 1000  # conflicts and members past the limit remembered, so that each is said once
ASKED_ABOUT = 2  # other suspicions that go with a question
HEAD_BYTES = 320  # of a message besides its claims and notes, at most
AGAIN = (0.1, 0.3)  # seconds after which its first speaker says again what does not wait
NOTES_SHARE = 0.5  # of a datagram's room is kept for notes where some are to be told


class Happened(Enum):
    """What is told of a member."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    CLEARED = "cleared"  # it refuted
    DIED = "died"
    LEFT = "left"
    RETURNED = "returned"
    CONFLICT = "conflict"  # another process has its name
    REFUTED = "refuted"  # we were suspected, or thought dead
    STOOD_STILL = "stood still"  # we did
    FULL = "full"


@dataclass(slots=True, frozen=True)
class Send:
    """A datagram, or with `stream` a message for a stream."""

    address: str
    message: Message
    stream: bool = False


@dataclass(slots=True, frozen=True)
class Notice:
    """An event for the log and for whoever listens."""

    what: Happened
    name: str
    detail: str = ""


@dataclass(slots=True, frozen=True)
class Heard:
    """A note that is new here; one of ours comes back as well if another member has replaced it."""

    note: Note


Action = Send | Notice | Heard


@dataclass(slots=True)
class _Probe:
    number: int
    target: str
    ends: float  # of the direct question, then of the period
    asked_others: bool = False
    nacks_due: int = 0
    nacks: int = 0


@dataclass(slots=True)
class _Relayed:
    """A question asked for another."""

    asker: str
    number: int
    nack_at: float
    forget_at: float
    told: bool = False


class Group:
    """One member's part."""

    def __init__(
        self, name: str, run: int, address: str, zone: str, settings: GroupSettings, random: Random
    ) -> None:
        self.settings = settings
        self.view = View(settings.most_members)
        self.health = 0  # 0 is well; each step stretches this member's own times
        self.me = Claim(name, run, address, zone, 0, State.ALIVE)
        self._random = random
        self._out: list[Action] = []
        self._news: dict[str, tuple[Claim, int]] = {}  # by name, with how often it was told
        self._round: list[str] = []
        self._number = random.getrandbits(31)
        self._probe: _Probe | None = None
        self._relayed: dict[int, _Relayed] = {}
        self._suspicions: dict[str, float] = {}  # when it began; shifted by the time that we stood still
        self._next_probe = self._next_exchange = self._next_reunion = 0.0
        self._seeds: tuple[str, ...] = ()
        self._now = 0.0
        self._due = 0.0
        self._left = False
        self._said: set[tuple[str, int]] = set()
        self._again: list[tuple[float, Note]] = []
        self.notes = Notes(settings.most_notes)

    # ---- What the owner calls ----

    def start(self, now: float, seeds: tuple[str, ...]) -> list[Action]:
        """Begin; the seeds are asked for all that they know, again and again until one has answered."""
        self._out = []
        self._seeds = tuple(s for s in seeds if s != self.me.address)
        self._now = now
        self._next_probe = now + self._random.uniform(0, self.settings.period)
        self._next_exchange = now
        self._next_reunion = now + self.settings.reunion
        self._tell(self.me)
        self._set_due()
        return self._out

    def publish(self, facts: dict[str, float]) -> list[Action]:
        """Other facts about this member: a new incarnation carries them."""
        self._out = []
        self._raise(self.me.incarnation + 1, facts)
        return self._out

    def say(
        self,
        now: float,
        about: str,
        value: float,
        lasts: float,
        common: bool = False,
        at_once: bool = False,
        count: int | None = None,
    ) -> list[Action]:
        """Tell the others something that is over after `lasts` seconds. A common note replaces everybody's
        about the same; with `count` 0 only where there is none. `at_once` does not wait for questions."""
        self._wake(now)
        note = self.notes.say(now, self.me.name, about, value, lasts, common, count)
        if note is not None and at_once:
            self._tell_at_once(note, self.me.name)
            self._again += [(now + later, note) for later in AGAIN]
        self._set_due()
        return self._out

    def leave(self, now: float) -> list[Action]:
        """Say goodbye to some; the rest hear of it from them."""
        self._out = []
        self._left = True
        self.me = _but(self.me, state=State.LEFT)
        self._tell(self.me)
        here = [m for m in self.view if m.here]
        for member in self._random.sample(here, min(len(here), 2 * self.settings.helpers + 2)):
            self._ask(member, self._next_number(), member.claim.address)
        return self._out

    @property
    def due(self) -> float:
        """When to call `tick` next."""
        return self._due

    def live(self) -> int:
        """Members not known to be dead or gone, the suspected and this one included: in doubt the larger."""
        return self.view.live() + 1

    def forget_news(self) -> None:
        """Take all that is known to be known everywhere: for models of large groups."""
        self._news.clear()
        self._next_exchange = self._now + self._random.uniform(0, self.settings.exchange_every(self.live()))

    # ---- Time ----

    def tick(self, now: float) -> list[Action]:
        """Let what is due happen. A tick far past its time shows that this process stood still."""
        self._wake(now)
        self.notes.forget(now)
        self._say_again(now)
        self._relays(now)
        self._judge_probe(now)
        self._judge_suspicions(now)
        if now >= self._next_probe and not self._left:
            self._begin_probe(now)
        if now >= self._next_exchange and not self._left:
            self._exchange(now)
        if now >= self._next_reunion and not self._left:
            self._reunite(now)
        self._set_due()
        return self._out

    def _wake(self, now: float) -> None:
        """Something comes, a tick or a message: after a stop a loop reads its sockets before its timers."""
        self._out = []
        late = now - self._due
        if late > LATE_SHARE * self.settings.period:
            self._stood_still(now, late)
        self._now = max(self._now, now)

    def _stood_still(self, now: float, late: float) -> None:
        """Nobody could be heard meanwhile: that says nothing of the others. Every wait begins anew."""
        self._out.append(Notice(Happened.STOOD_STILL, self.me.name, f"{late:.1f} s"))
        self._suspicions = {name: began + late for name, began in self._suspicions.items()}
        if self._probe is not None:
            self._probe = None  # its answer came and was read late, or was lost with the time
        self._relayed.clear()
        self._next_probe = now
        self._worse()

    def _set_due(self) -> None:
        due = [self._next_probe, self._next_exchange, self._next_reunion]
        if self._probe is not None:
            due.append(self._probe.ends)
        due += [when for when, _ in self._again]
        due += [self._ends(name) for name in self._suspicions]
        due += [r.forget_at if r.told else r.nack_at for r in self._relayed.values()]
        self._due = max(min(due), self._now)  # what became due by news is due now, not late

    def _better(self) -> None:
        self.health = max(self.health - 1, 0)

    def _worse(self, steps: int = 1) -> None:
        self.health = min(self.health + steps, self.settings.most_health)

    # ---- Probes ----

    def _begin_probe(self, now: float) -> None:
        s = self.settings
        self._next_probe = now + s.period * (1 + self.health)
        member = self._next_in_round()
        if member is None:
            return
        number = self._next_number()
        self._probe = _Probe(number, member.claim.name, now + s.answer_within * (1 + self.health))
        self._ask(member, number, member.claim.address)

    def _next_in_round(self) -> Member | None:
        """Everybody once a round, in an order by chance: a dead one is asked within two rounds."""
        for _ in range(2):
            while self._round:
                member = self.view.members.get(self._round.pop())
                if member is not None and member.here:
                    return member
            self._round = [m.claim.name for m in self.view if m.here]
            self._random.shuffle(self._round)
        return None

    def _ask(self, member: Member, number: int, address: str) -> None:
        """A suspected one hears of it with the question, and may refute at once; whoever has heard its
        refutation may say so: news that was lost on all its ways is not lost for good."""
        first = [member.claim] if member.state is State.SUSPECT else []
        others = (self.view.members.get(name) for name in self._suspicions)
        first += [m.claim for m in others if m is not None and m is not member][:ASKED_ABOUT]
        news, notes = self._all_news_for(first)
        self._out.append(Send(address, Ping(self._head(), number, member.claim.name, news, notes)))

    def _judge_probe(self, now: float) -> None:
        probe = self._probe
        if probe is None or now < probe.ends:
            return
        member = self.view.members.get(probe.target)
        if member is None or not member.here:
            self._probe = None
            return
        if not probe.asked_others:
            self._ask_others(probe, member)
            return
        self._probe = None
        missing = probe.nacks_due - probe.nacks
        if missing > 0:  # helpers are silent too: the trouble may be ours
            self._worse(1 if probe.nacks else 2)
        self._suspect(member, now)

    def _ask_others(self, probe: _Probe, member: Member) -> None:
        probe.asked_others = True
        probe.ends = self._next_probe
        others = [m for m in self.view if m.state is State.ALIVE and m is not member]
        helpers = self._random.sample(others, min(len(others), self.settings.helpers))
        probe.nacks_due = len(helpers)
        claim = member.claim
        if self.settings.by_stream:  # it sends again what is lost: lost datagrams are no lost member
            again = Ping(self._head(), probe.number, claim.name, self._news_for([claim]))
            self._out.append(Send(claim.address, again, stream=True))
        for helper in helpers:
            ask = PingFor(self._head(), probe.number, claim.name, claim.address, self._news_for([]))
            self._out.append(Send(helper.claim.address, ask))

    def _ask_suspect(self, claim: Claim) -> None:
        """Some of all that hear of a suspicion ask its target by stream, however many they are: it hears of
        the suspicion, and its refutation comes back with the answer, however many datagrams are lost."""
        if self.settings.by_stream and self._random.random() * self.live() < self.settings.askers:
            ask = Ping(self._head(), self._next_number(), claim.name, [claim])
            self._out.append(Send(claim.address, ask, stream=True))

    def _relays(self, now: float) -> None:
        for number, relayed in list(self._relayed.items()):
            if not relayed.told and now >= relayed.nack_at:
                relayed.told = True
                self._out.append(Send(relayed.asker, Nack(self._head(), relayed.number, "")))
            if now >= relayed.forget_at:
                del self._relayed[number]

    # ---- Suspicion ----

    def _suspect(self, member: Member, now: float) -> None:
        claim = _but(member.claim, state=State.SUSPECT, accuser=self.me.name)
        if member.state is State.ALIVE or member.state is State.SUSPECT:
            self._take(claim, now, "did not answer")

    def longest_suspicion(self) -> float:
        """Seconds for which this member suspects another one that nobody else suspects, as its own health is
        now."""
        return self._suspicion_lasts(0)

    def _suspicion_lasts(self, confirmed: int) -> float:
        return self.settings.suspicion_lasts(self.live(), confirmed) * (1 + self.health / 2)

    def _ends(self, name: str) -> float:
        member = self.view.members.get(name)
        confirmed = len(member.accusers) - 1 if member else 0
        return self._suspicions[name] + self._suspicion_lasts(max(confirmed, 0))

    def _judge_suspicions(self, now: float) -> None:
        for name in [n for n in self._suspicions if now >= self._ends(n)]:
            member = self.view.members.get(name)
            del self._suspicions[name]
            if member is not None and member.state is State.SUSPECT:
                self._take(_but(member.claim, state=State.DEAD, accuser=self.me.name), now, "silent too long")

    # ---- Exchange of all ----

    def _exchange(self, now: float) -> None:
        s = self.settings
        self.view.forget(now - s.forget)
        here = [m.claim.address for m in self.view if m.here]
        if here:
            self._next_exchange = now + self._random.uniform(0.75, 1.25) * s.exchange_every(self.live())
            where = [self._random.choice(here)]
        else:
            self._next_exchange = now + self._random.uniform(0.5, 1.5) * s.period
            where = list(self._seeds)
        for address in where:
            self._out.append(Send(address, self._all(wants=True), stream=True))

    def _exchange_soon(self, now: float) -> None:
        """Some of all that hear of a new member: where many begin at once, the news of each goes out while
        hardly anybody is there to hear it."""
        if self._random.random() * self.live() < self.settings.askers:
            soon = now + self._random.uniform(0.25, 0.5) * self.settings.reunion
            self._next_exchange = min(self._next_exchange, soon)

    def _reunite(self, now: float) -> None:
        """Some of all ask one of those gone: the other side of a cut may be back. The seeds stay, however
        long ago the dead were forgotten."""
        s = self.settings
        self._next_reunion = now + self._random.uniform(0.75, 1.25) * s.reunion
        if self._random.random() * self.live() >= s.askers:
            return
        here = {m.claim.address for m in self.view if m.here}
        gone = [m.claim.address for m in self.view if m.state is State.DEAD]
        gone += [seed for seed in self._seeds if seed not in here]
        if gone and here:
            self._out.append(Send(self._random.choice(gone), self._all(wants=True), stream=True))

    def _all(self, wants: bool) -> Sync:
        members = [self.me, *(m.claim for m in self.view)]
        return Sync(self._head(), wants, members, self.notes.all(self._now))

    # ---- Messages ----

    def handle(self, now: float, message: Message, source: str, stream: bool = False) -> list[Action]:
        """Take a message that was read; `source` is where it came from, and where an answer goes: on the same
        stream, if it came by one."""
        self._wake(now)
        if message.head.name == self.me.name and message.head.run == self.me.run:
            return self._out  # our own, come back
        match message:
            case Ping():
                if message.target == self.me.name:  # else another one lived here before
                    self._out.append(
                        Send(source, Ack(self._head(), message.number, self.me.name, []), stream)
                    )
                    self._heard(message.head, now)
            case Ack():
                self._heard(message.head, now)
                self._on_ack(message, now)
            case PingFor():
                self._on_ping_for(message, source, now)
            case Nack():
                if self._probe is not None and message.number == self._probe.number:
                    self._probe.nacks += 1
            case Sync():
                if message.wants:
                    self._out.append(Send(source, self._all(wants=False), stream=True))
        claims = message.members if isinstance(message, Sync) else getattr(message, "news", [])
        for claim in claims:
            self._take(claim, now, f"told by {message.head.name}")
        for note in getattr(message, "notes", []):
            self._hear(note, message.head.name, isinstance(message, Told), now)
        self._fill_ack()
        self._set_due()
        return self._out

    def _fill_ack(self) -> None:
        """News goes with the answer once what came with the question is known."""
        for i, action in enumerate(self._out):
            if isinstance(action, Send) and isinstance(action.message, Ack) and not action.message.news:
                ack = action.message
                filled = Ack(ack.head, ack.number, ack.target, *self._all_news_for([]))
                self._out[i] = Send(action.address, filled, action.stream)

    def _heard(self, head: Head, now: float) -> None:
        """Whoever speaks to us and is unknown is asked for all that it knows."""
        if head.name not in self.view.members:
            self._next_exchange = min(self._next_exchange, now)
            self._seeds = self._seeds if head.address in self._seeds else (*self._seeds[-15:], head.address)

    def _on_ack(self, ack: Ack, now: float) -> None:
        relayed = self._relayed.pop(ack.number, None)
        if relayed is not None:
            self._out.append(Send(relayed.asker, Ack(self._head(), relayed.number, ack.target, [])))
        probe = self._probe
        if probe is not None and ack.number == probe.number and ack.target == probe.target:
            self._probe = None
            self._better()

    def _on_ping_for(self, ask: PingFor, source: str, now: float) -> None:
        if len(self._relayed) >= 4 * self.settings.most_health * max(self.settings.helpers, 1):
            return  # a flood: each asker has other helpers
        number, s = self._next_number(), self.settings
        last = now + s.period * 2
        self._relayed[number] = _Relayed(source, ask.number, now + s.answer_within, last)
        self._out.append(Send(ask.address, Ping(self._head(), number, ask.target, self._news_for([]))))

    # ---- Claims ----

    def _take(self, claim: Claim, now: float, why: str) -> None:
        if claim.name == self.me.name:
            self._about_us(claim)
            return
        known = self.view.members.get(claim.name)
        before = known.state if known else None
        word = self.view.take(claim, now, why)
        if word is Word.NEW:
            self._changed(claim, before, now)
        elif word is Word.CONFIRMED:
            self._tell(claim)
            self._ask_suspect(claim)
        elif word is Word.OLD and known is not None and claim.state is State.SUSPECT:
            if known.state is State.ALIVE and known.claim.incarnation > claim.incarnation:
                self._tell(known.claim)  # whoever says so did not hear of it
        elif word is Word.CONFLICT and known is not None:
            self._say_once(Happened.CONFLICT, claim)
            ask = Ping(self._head(), self._next_number(), claim.name, [claim])  # it should hear of it as well
            self._out.append(Send(known.claim.address, ask))
        elif word is Word.FULL:
            self._say_once(Happened.FULL, claim)

    def _changed(self, claim: Claim, before: State | None, now: float) -> None:
        self._tell(claim)
        if claim.state is State.SUSPECT:
            self._suspicions.setdefault(claim.name, now)
            self._ask_suspect(claim)
        else:
            self._suspicions.pop(claim.name, None)
        what = {
            State.SUSPECT: Happened.SUSPECTED, State.DEAD: Happened.DIED, State.LEFT: Happened.LEFT,
            State.ALIVE: {
                None: Happened.JOINED, State.SUSPECT: Happened.CLEARED, State.ALIVE: None,
            }.get(before, Happened.RETURNED),
        }[claim.state]  # fmt: skip
        if what in (Happened.JOINED, Happened.RETURNED):
            self._exchange_soon(now)
        if what is not None:
            self._out.append(Notice(what, claim.name, claim.accuser))

    def _about_us(self, claim: Claim) -> None:
        """Only we raise our incarnation: past whatever is said of us, or of a run of ours that has ended."""
        if claim.run != self.me.run and claim.state is State.ALIVE and claim.address != self.me.address:
            self._say_once(Happened.CONFLICT, claim)
            return
        worse = claim.run == self.me.run and claim.state is not State.ALIVE
        if claim.incarnation < self.me.incarnation or self._left:
            if worse:
                self._tell(self.me)  # whoever says so did not hear us
            return
        if worse:
            self._out.append(Notice(Happened.REFUTED, self.me.name, claim.accuser))
            self._worse()
        if worse or claim.run != self.me.run:
            self._raise(claim.incarnation + 1, self.me.facts)

    def _say_once(self, what: Happened, claim: Claim) -> None:
        """Once for each process: it speaks on and on."""
        if (claim.name, claim.run) not in self._said:
            if len(self._said) >= MOST_SAID:
                self._said.clear()
            self._said.add((claim.name, claim.run))
            self._out.append(Notice(what, claim.name, claim.address))

    def _raise(self, incarnation: int, facts: dict[str, float]) -> None:
        self.me = _but(self.me, incarnation=incarnation, facts=facts)
        self._tell(self.me)

    # ---- News ----

    def _tell(self, claim: Claim) -> None:
        self._news[claim.name] = (claim, 0)

    def _news_for(self, first: list[Claim], taken: int = 0) -> list[Claim]:
        """What was told least goes first, as much as a datagram has room for."""
        room = self.settings.most_datagram - HEAD_BYTES - taken
        picked = list(first)
        room -= sum(size(claim) for claim in first)
        most = self.settings.times_told(self.live())
        for name, (claim, times) in sorted(self._news.items(), key=lambda item: item[1][1])[:24]:
            cost = size(claim)
            if cost > room or claim in first:
                continue
            room -= cost
            picked.append(claim)
            if times + 1 >= most:
                del self._news[name]
            else:
                self._news[name] = (claim, times + 1)
        return picked

    def _all_news_for(self, first: list[Claim]) -> tuple[list[Claim], list[Note]]:
        """Claims and notes for one datagram."""
        room = self.settings.most_datagram - HEAD_BYTES - sum(size(claim) for claim in first)
        notes = self.notes.to_tell(self._now, int(room * NOTES_SHARE), self.settings.times_told(self.live()))
        return self._news_for(first, sum(note_size(note) for note in notes)), notes

    # ---- Notes ----

    def _hear(self, note: Note, sender: str, at_once: bool, now: float) -> None:
        if not self.notes.take(now, note):
            return
        self._out.append(Heard(note))
        if at_once:
            self._tell_at_once(note, sender)

    def _tell_at_once(self, note: Note, sender: str) -> None:
        """To some, who do the same when it is news to them; what all of them miss goes with the questions."""
        others = [m for m in self.view if m.here and m.claim.name not in (sender, note.by)]
        told = Told(self._head(), [note])
        for member in self._random.sample(others, min(len(others), self.settings.at_once)):
            self._out.append(Send(member.claim.address, told))

    def _say_again(self, now: float) -> None:
        for _, note in [again for again in self._again if again[0] <= now]:
            self._tell_at_once(note, self.me.name)
        self._again = [again for again in self._again if again[0] > now]

    def _head(self) -> Head:
        return Head(VERSION, self.settings.group, self.me.name, self.me.run, self.me.address)

    def _next_number(self) -> int:
        self._number = (self._number + 1) & 0x7FFFFFFF
        return self._number


def _but(
    claim: Claim,
    *,
    incarnation: int | None = None,
    state: State | None = None,
    facts: dict[str, float] | None = None,
    accuser: str = "",
) -> Claim:
    return Claim(
        claim.name, claim.run, claim.address, claim.zone,
        claim.incarnation if incarnation is None else incarnation,
        claim.state if state is None else state,
        claim.facts if facts is None else facts,
        accuser,
    )  # fmt: skip

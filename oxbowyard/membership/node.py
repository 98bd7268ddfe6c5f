"""A member's sockets and timers: it carries out what the protocol asks for, and decides nothing."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from random import Random

from .messages import VERSION, Given, Head, Malformed, Message, Note, Sync, Want, decode, encode
from .protocol import Action, Group, Heard, Notice, Send
from .table import MembershipSettings
from .tcp_transport import Streams
from .udp_transport import Datagrams

log = logging.getLogger("oxbowyard.membership")

MOST_NEWS = 64  # claims or notes in a datagram: more don't fit into one
ANSWER = "by the same stream"  # a source that is no address: answers go back on the connection


class Node:
    """One member on its loop."""

    def __init__(
        self,
        name: str,
        zone: str,
        settings: MembershipSettings,
        random: Random,
        on_notice: Callable[[Notice], None] = lambda notice: None,
        on_heard: Callable[[Note], None] = lambda note: None,
    ) -> None:
        self._settings = settings
        self._random = random
        self._name, self._zone = name, zone
        self._on_notice, self._on_heard = on_notice, on_heard
        self._loop = asyncio.get_running_loop()
        self.counts: Counter[str] = Counter()  # of what was dropped, by why
        self.group = self._new_group()
        self._offered: dict[str, Callable[[], bytes | None]] = {}
        self._datagrams: Datagrams | None = None
        self._streams: Streams | None = None
        self._timer: asyncio.TimerHandle | None = None

    def _new_group(self) -> Group:
        run = self._random.getrandbits(48)
        s = self._settings
        return Group(self._name, run, s.reached_at, self._zone, s.group_settings(), self._random)

    @property
    def is_open(self) -> bool:
        """It has its sockets."""
        return self._datagrams is not None

    async def open(self) -> None:
        """Bind the sockets and begin; raises OSError. One that was closed begins anew, as another process."""
        s = self._settings
        host, _, port = s.listen.rpartition(":")
        streams = Streams(
            host, s.max_streams, s.max_stream_bytes, s.stream_within_s, self._answer, self.counts
        )
        datagrams = Datagrams((host, int(port)), s.max_datagrams_s, self._datagram, self.counts)
        try:
            await streams.listen(datagrams.address[1])
        except OSError:
            datagrams.close()
            raise
        self.group = self._new_group()
        self._datagrams, self._streams = datagrams, streams
        self._carry_out(self.group.start(self._loop.time(), s.seeds))

    async def close(self, leave: bool = True) -> None:
        """Say goodbye and let go of the sockets."""
        if self._timer is not None:
            self._timer.cancel()
        datagrams, streams = self._datagrams, self._streams
        if datagrams is not None and leave:
            for action in self.group.leave(self._loop.time()):
                if isinstance(action, Send):
                    datagrams.send(encode(action.message), action.address)
        self._datagrams = self._streams = None
        if datagrams is not None:
            datagrams.close()
        if streams is not None:
            await streams.close()

    def publish(self, facts: dict[str, float]) -> None:
        """Tell the others other facts about this member."""
        self._carry_out(self.group.publish(facts))

    def say(
        self, about: str, value: float, lasts: float, common: bool = False, at_once: bool = False,
        count: int | None = None,
    ) -> None:  # fmt: skip
        """Tell the others a note."""
        now = self._loop.time()
        self._carry_out(self.group.say(now, about, value, lasts, common, at_once, count))

    def offer(self, what: str, give: Callable[[], bytes | None]) -> None:
        """Answer the others' questions for something; None is no answer."""
        self._offered[what] = give

    def ask(self, address: str, what: str, take: Callable[[bytes], None]) -> None:
        """Ask one of the others for something; an answer may come, or not."""
        if self._streams is None:
            return

        def given(data: bytes) -> None:
            message = self._read(data)
            if isinstance(message, Given) and message.what == what:
                take(message.body)

        self._streams.ask(address, encode(Want(self._head(), what)), given)

    def _head(self) -> Head:
        me = self.group.me
        return Head(VERSION, self._settings.group, me.name, me.run, me.address)

    # ---- What comes ----

    def _tick(self) -> None:
        self._timer = None
        self._carry_out(self.group.tick(self._loop.time()))

    def _datagram(self, data: bytes, source: str) -> None:
        try:
            message = decode(data, self._settings.group, MOST_NEWS)
        except Malformed as fault:
            self.counts[f"datagram {fault}"] += 1
            return
        if isinstance(message, (Sync, Want, Given)):  # it would be answered with far more bytes than it took
            self.counts["datagram out of place"] += 1
            return
        self._carry_out(self.group.handle(self._loop.time(), message, source))

    def _read(self, data: bytes) -> Message | None:
        s = self._settings
        try:
            return decode(data, s.group, s.max_members + 1 + s.max_notes)
        except Malformed as fault:
            self.counts[f"stream {fault}"] += 1
            return None

    def _stream(self, message: Message | None) -> list[Action]:
        if message is None:
            return []
        return self.group.handle(self._loop.time(), message, ANSWER, stream=True)

    def _answer(self, question: bytes) -> bytes | None:
        message = self._read(question)
        if isinstance(message, Want):
            give = self._offered.get(message.what)
            body = give() if give is not None else None
            return None if body is None else encode(Given(self._head(), message.what, body))
        actions = self._stream(message)
        answers = [a for a in actions if isinstance(a, Send) and a.address == ANSWER]
        self._carry_out([a for a in actions if a not in answers])
        return encode(answers[0].message) if answers else None

    # ---- What goes ----

    def _carry_out(self, actions: list[Action]) -> None:
        """The timer is set last: what listens to a notice may have said something meanwhile."""
        for action in actions:
            match action:
                case Notice():
                    self._tell(action)
                case Heard():
                    self._on_heard(action.note)
                case Send(stream=True) if self._streams is not None:
                    self._streams.ask(action.address, encode(action.message), self._take_answer)
                case Send(stream=False) if self._datagrams is not None:
                    self._datagrams.send(encode(action.message), action.address)
        self._set_timer()

    def _take_answer(self, data: bytes) -> None:
        actions = self._stream(self._read(data))  # an answer is not answered
        self._carry_out([a for a in actions if not (isinstance(a, Send) and a.address == ANSWER)])

    def _set_timer(self) -> None:
        due = self.group.due
        if self._timer is not None:
            if self._timer.when() == due:
                return
            self._timer.cancel()
            self._timer = None
        if self.is_open:
            self._timer = self._loop.call_at(due, self._tick)

    def _tell(self, notice: Notice) -> None:
        detail = f", {notice.detail}" if notice.detail else ""
        log.info("member %s: %s%s", notice.name, notice.what.value, detail)
        self._on_notice(notice)

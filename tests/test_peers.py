"""What schedulers make of the group: their number, troubles and drains as notes; and the order of parts."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.faults.virtual_group import VirtualGroup
from oxbowyard.core.request import AttemptContext, AttemptOutcome, Request
from oxbowyard.core.scheduler import Limits, Scheduler
from oxbowyard.core.service_measure import ServiceMeasure
from oxbowyard.daemon.parts import Parts
from oxbowyard.decision import slow_start
from oxbowyard.decision.actions import StartAttempt
from oxbowyard.decision.dispatcher import Dispatcher
from oxbowyard.decision.events import (
    AttemptEnded,
    EndpointsChanged,
    PeerFaultsChanged,
    RequestReceived,
    Result,
    Scope,
    WorkerFault,
    WorkerInfo,
)
from oxbowyard.decision.facade import Facade
from oxbowyard.decision.settings import JobClass, Settings
from oxbowyard.membership.drops import DropCounter, DropReason
from oxbowyard.membership.entries import EntryStore
from oxbowyard.membership.events import EntryWritten
from oxbowyard.membership.messages import Gossip, GossipEntry, Header, MalformedMessageError, decode, encode
from oxbowyard.membership.tcp_transport import FRAME_LENGTH, TcpTransport
from oxbowyard.membership.udp_transport import UdpTransport
from oxbowyard.peers.count import SETTLE, LiveCount, Seen
from oxbowyard.peers.drains import OUT, Drains
from oxbowyard.peers.troubles import Sharing

DOUBT, SPLIT = 60.0, 600.0


def others(count: int, dead: int = 0, left: int = 0) -> list[Seen]:
    """The first are dead, the next have left, the rest are here."""
    return [Seen(f"m{i}", i >= dead + left, dead <= i < dead + left) for i in range(count)]


# ---- How many ----


@pytest.mark.parametrize("steps", [
    # Alone, then with three: the configured number is the least until the view has settled.
    [(0, 0, 0, 0, 8), (100, 0, 0, 0, 8), (101, 3, 0, 0, 8), (101 + SETTLE, 3, 0, 0, 4), (200, 11, 0, 0, 12)],
    # A dead one counts while in doubt; those that left do not.
    [(0, 9, 0, 0, 10), (20, 9, 1, 0, 10), (79, 9, 1, 0, 10), (80, 9, 1, 0, 9), (81, 9, 1, 2, 7)],
    # Half of them dead, one after the other, may be a cut: they count for longer.
    [(0, 9, 0, 0, 10), *((20 + i, 9, i + 1, 0, 10) for i in range(5)), (90, 9, 5, 0, 10), (625, 9, 5, 0, 5)],
])  # fmt: skip
def test_how_many_to_reckon_with(steps: list[tuple[float, int, int, int, int]]) -> None:
    """Each step: the time, others known, dead and left among them, and the count."""
    count = LiveCount(8, DOUBT, SPLIT)
    for now, known, dead, left, counted in steps:
        assert count.take(now, others(known, dead, left)) == counted, f"at {now}"


@pytest.mark.parametrize(("longest_suspicion", "counted"), [(0.0, 5), (7.5, 6)])
def test_the_deaths_of_one_cut_are_found_apart(longest_suspicion: float, counted: int) -> None:
    """Three of six are cut off; a loaded member finds the first 3.2 s before the others, and its time of
    doubt is 3 s. It used to drop the first one as a lone death: 5 for 6."""
    count = LiveCount(1, 3.0, SPLIT)
    count.take(0.0, others(5))
    for now, dead in ((20.0, 1), (23.2, 3), (27.0, 3)):
        reckoned = count.take(now, others(5, dead), longest_suspicion)
    assert reckoned == counted


@given(st.lists(st.tuples(st.floats(0.1, 30), st.sets(st.integers(0, 7))), max_size=40), st.integers(1, 12))
def test_it_is_never_under_those_known_to_live_in_the_time_of_doubt(
    steps: list[tuple[float, set[int]]], configured: int
) -> None:
    """Whatever the view says: whoever was seen alive within that time, and did not say goodbye, counts."""
    count, now, seen_at = LiveCount(configured, DOUBT, SPLIT), 0.0, dict[int, float]()
    for wait, here in steps:
        now += wait
        seen_at |= dict.fromkeys(here, now)
        counted = count.take(now, [Seen(f"m{i}", i in here) for i in seen_at])
        assert counted >= 1 + sum(now - at < DOUBT for at in seen_at.values())
        assert counted <= max(1 + len(seen_at), configured)


def test_the_decisions_go_by_the_new_number() -> None:
    """A cold worker's budget is shared among the living."""
    classes = (JobClass("c", 1000.0, 10000.0),)
    settings = Settings(classes, siblings=20, cold_from=0.2, ramp=10000.0)

    def allowed(siblings: int) -> int:
        facade = Facade(settings, 1, lambda: 1000.0)
        facade.set_scheduler_count(siblings)
        facade.update_endpoints(Scope.FULL, (WorkerInfo("w", online_since=500.0, slots=64),))
        worker = facade._dispatcher.state.workers["w"]
        slow_start.budget_allows_send(facade._dispatcher.state, worker, 1000.0)
        return worker.budget_sends

    assert allowed(2) >= 4 * max(allowed(20), 1)


# ---- Workers' troubles ----


class Nowhere:
    """A transport that is not used."""

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        raise NotImplementedError


def dispatcher(workers: int) -> Dispatcher:
    d = Dispatcher(Settings((JobClass("c", 1000.0, 10000.0),), ramp=10000.0, cold_from=0.1), 1)
    d.handle(0, EndpointsChanged(Scope.FULL, tuple(WorkerInfo(f"w{i}") for i in range(workers))))
    return d


def sent_to(d: Dispatcher, now: float, number: int) -> str:
    actions = d.handle(now, RequestReceived(f"r{number}-{now}", "c", 10000.0, key=f"k{number}"))
    worker = next(a.worker for a in actions if isinstance(a, StartAttempt))
    d.handle(now, AttemptEnded(f"r{number}-{now}", 0, worker, Result.OK, 1.0, True))
    return worker


def test_a_heard_trouble_spares_a_worker_for_a_while_and_never_the_other_way_round() -> None:
    d = dispatcher(8)
    home = sent_to(d, 0, 1)
    d.handle(1, PeerFaultsChanged((WorkerFault(home, 1000.0),)))
    assert home not in {sent_to(d, 2, i) for i in range(200)}
    assert sent_to(d, 1500, 1) == home
    w = d.state.workers["w0"]
    w.avoided_until_ms, w.started_at_ms, w.failure_count, w.ejected_until_ms = 3000.0, 1400.0, 1.0, 2500.0
    d.handle(1500, PeerFaultsChanged((WorkerFault("w0", 5.0, 100.0),)))
    d.handle(1500, PeerFaultsChanged())
    assert (w.avoided_until_ms, w.started_at_ms, w.failure_count, w.ejected_until_ms) == (
        3000.0,
        1400.0,
        1.0,
        2500.0,
    )
    d = dispatcher(8)
    d.handle(1, PeerFaultsChanged(tuple(WorkerFault(f"w{i}", 4000.0) for i in range(3))))
    assert not any(w.avoided_until_ms for w in d.state.workers.values()), (
        "of over a quarter nothing is believed"
    )


def entry(
    key: str,
    author: str = "m1",
    lamport_time: int = 1,
    value: float = 0.0,
    age_s: float = 0.0,
    lifetime_s: float = 1.0,
    is_shared: bool = False,
) -> GossipEntry:
    return GossipEntry(key, author, lamport_time, value, age_s, lifetime_s, is_shared)


def test_own_troubles_are_told_once_and_again_when_they_last_longer() -> None:
    sharing = Sharing(ramp=10.0)
    (say,) = sharing.to_say(0.0, [WorkerFault("w1", 800.0)], 12, 0.0)
    assert (say.about, say.lasts) == ("bar:w1", 0.8)
    assert not sharing.to_say(0.1, [WorkerFault("w1", 700.0)], 12, 100.0)
    assert sharing.to_say(0.2, [WorkerFault("w1", 4000.0)], 12, 200.0)
    many = [WorkerFault(f"w{i}", 800.0) for i in range(4)]
    assert not Sharing(10.0).to_say(0.0, many, 12, 0.0), "a third of all: the trouble is rather ours"


def test_what_is_heard_keeps_its_time_and_is_not_told_to_and_fro() -> None:
    sharing = Sharing(ramp=10.0)
    (say,) = sharing.to_say(50.0, [WorkerFault("w1", 0.0, 7000.0)], 12, 9000.0)
    assert (say.value, say.lasts) == (2.0, 8.0)
    other = Sharing(ramp=10.0)
    assert other.hear(entry(say.about, value=say.value, age_s=0.5, lifetime_s=say.lasts), 100.0)
    (heard,) = other.heard(101.0, 20000.0)
    assert heard.since == 20000.0 - 3500.0 and heard.lasts == 0.0
    known = [WorkerFault("w1", 0.0, 16500.0)]
    assert not other.heard(101.0, 20000.0, known), "it is known here already"
    assert not other.to_say(101.0, known, 12, 20000.0), "it was heard of, and is not told again"
    assert not other.heard(108.0, 27000.0)
    sharing.hear(entry("bar:w1", "m1", lifetime_s=1.0), 100.0)
    sharing.hear(entry("bar:w1", "m2", lifetime_s=1e9), 100.0)
    (heard,) = sharing.heard(100.5, 0.0)
    assert heard.lasts == 29500.0, "the longer word holds, and none for ever"
    assert not sharing.heard(131.0, 0.0)


def test_a_cold_start_that_the_list_tells_is_no_news() -> None:
    async def play() -> list[WorkerFault]:
        settings = Settings((JobClass("c", 1000.0, 10000.0),), ramp=10000.0, cold_from=0.1)
        classes, clock = settings.classes, lambda: 5000.0
        facade = Facade(settings, 1, clock)
        scheduler = Scheduler(settings, facade, Nowhere(), clock, ServiceMeasure(classes), Limits())
        scheduler.update_endpoints(
            Scope.FULL, (WorkerInfo("told", online_since=4000.0), WorkerInfo("guessed"))
        )
        facade._dispatcher.state.workers["guessed"].started_at_ms = 4500.0
        return scheduler.worker_faults()

    assert asyncio.run(play()) == [WorkerFault("guessed", 0.0, 4500.0)]


# ---- Drains ----


class Desk:
    """One scheduler's drains without a group."""

    def __init__(self) -> None:
        self.said: list[tuple[str, float, float, int | None]] = []
        self.out: set[str] = set()
        self.drains = Drains(lambda *say: self.said.append(say), self._take, 600.0)

    def _take(self, uid: str, out: bool) -> None:
        (self.out.add if out else self.out.discard)(uid)


def test_a_word_back_from_before_ones_own_word_out_does_not_hold() -> None:
    """A scheduler that has just begun counts from one: its word would lose against a far older one."""
    desk = Desk()
    desk.drains.changed("w1", True, 100.0)
    desk.said.clear()
    assert desk.drains.hear(
        entry(OUT + "w1", lamport_time=9, value=0.0, age_s=30.0, lifetime_s=600.0, is_shared=True), 101.0
    )
    assert desk.said == [(OUT + "w1", 1.0, 1e9, None)]
    assert desk.drains.hear(
        entry(OUT + "w1", lamport_time=12, value=0.0, age_s=0.1, lifetime_s=600.0, is_shared=True), 101.0
    )
    assert len(desk.said) == 1, "this one is later"
    desk.out.add("w2")  # out since before this process: its own call is none
    assert desk.drains.hear(
        entry(OUT + "w2", lamport_time=9, value=0.0, age_s=30.0, lifetime_s=600.0, is_shared=True), 101.0
    )
    assert len(desk.said) == 1 and not desk.out


def test_what_was_out_before_a_restart_is_said_as_no_last_word() -> None:
    desk = Desk()
    desk.drains.began_with({"w2", "w1"})
    assert [(about, count) for about, _, _, count in desk.said] == [(OUT + "w1", 0), (OUT + "w2", 0)]


def test_a_drain_reaches_all_within_a_second_and_its_end_too() -> None:
    for seed in range(8):
        group = VirtualGroup(24, seed)
        group.run(20.0)
        group.link.loss = 0.3
        for value in (1.0, 0.0):
            said = group.now
            group.write("m3", EntryWritten(OUT + "w1", value, 1000.0, is_shared=True, is_urgent=True))
            group.run(said + 1.0)
            for node in group.nodes.values():
                if node.name != "m3":
                    when = [at for at, d in node.delivered if d.entry.value == value and at >= said]
                    assert when and when[0] - said < 1.0, f"seed {seed}: {node.name}"


def test_of_two_words_said_on_both_sides_of_a_cut_one_holds_everywhere() -> None:
    for seed in range(8):
        group = VirtualGroup(8, seed)
        group.run(20.0)
        sides = [[n for n in group.nodes if int(n[1:]) % 2 == side] for side in (0, 1)]
        for one in sides[0]:
            for other in sides[1]:
                group.cut(one, other)
        group.write("m0", EntryWritten(OUT + "w1", 1.0, 1e6, is_shared=True, is_urgent=True))
        group.run(25.0)
        group.write("m1", EntryWritten(OUT + "w1", 0.0, 1e6, is_shared=True, is_urgent=True))
        group.run(60.0)
        group.cuts.clear()
        group.run(240.0)
        held = {tuple(e.value for e in node.protocol.entries.all(group.now)) for node in group.nodes.values()}
        assert len(held) == 1, f"seed {seed}: {held}"


def test_entries_are_bounded_expire_and_are_sent_so_often_within_their_room() -> None:
    store = EntryStore(40)
    for i in range(42):
        store.write(0.0, "m0", f"bar:{'x' * 40}{i}", 0.0, 5.0 + i, False, None)
    assert len(store) == 40 and store.dropped_count == 2
    assert not store.merge(0.0, entry("bar:x", age_s=5.0, lifetime_s=5.0)), "it had expired when it came"
    sent: Counter[str] = Counter()
    for _ in range(100):
        batch = store.select(1.0, 600, 3)
        assert len(encode(Gossip(Header(1, "g", "n", 1, "a:1"), batch))) < 700
        assert all(e.age_s == 1.0 for e in batch)
        sent.update(e.key for e in batch)
    assert set(sent.values()) == {3} and len(sent) == 40
    assert len(store.expire(6.5)) == 2 and len(store) == 38


@pytest.mark.parametrize("bad", [
    entry(""), entry("x" * 301), entry("bar:w", age_s=-1.0), entry("bar:w", lifetime_s=float("inf")),
    entry("bar:w", value=float("nan")), entry("bar:w", lamport_time=-1), entry("bar:w", lamport_time=1 << 60),
    entry("bar:w", author=""),
])  # fmt: skip
def test_invalid_entries_are_refused(bad: GossipEntry) -> None:
    header = Header(1, "g", "n", 1, "a:1")
    assert decode(encode(Gossip(header, [entry("bar:w")])), "g", 64)
    with pytest.raises(MalformedMessageError, match="absurd note"):
        decode(encode(Gossip(header, [bad])), "g", 64)
    with pytest.raises(MalformedMessageError, match="too many notes"):
        decode(encode(Gossip(header, [entry("bar:w")] * 65)), "g", 64)


# ---- Sockets ----


def test_a_flood_rests_the_socket_and_is_over_with_its_end() -> None:
    async def play() -> tuple[int, int, DropCounter]:
        got: list[bytes] = []
        drops = DropCounter()
        max_datagrams_s = 200
        transport = UdpTransport(
            ("127.0.0.1", 0), max_datagrams_s, lambda data, source: got.append(data), drops
        )
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as flood:
            for _ in range(5):
                for _ in range(300):
                    flood.sendto(b"x", transport.address)
                await asyncio.sleep(0.1)
            in_flood = len(got)
            await asyncio.sleep(0.3)  # the buffer is empty after a while, and what comes then is read
            while got[-1] != b"y":
                flood.sendto(b"y", transport.address)
                await asyncio.sleep(0.05)
        transport.close()
        return in_flood, len(got), drops

    in_flood, _, drops = asyncio.run(play())
    assert 10 <= in_flood <= 400, "about 0.5 s at 200 a second"
    assert drops[DropReason.RATE_LIMITED] >= 3


def test_a_stream_that_says_too_much_or_nothing_is_ended() -> None:
    async def play() -> tuple[list[bytes], DropCounter]:
        drops = DropCounter()
        transport = TcpTransport("127.0.0.1", 2, 1000, 0.3, lambda request: request * 2, drops)
        port = await transport.listen(0)
        answers: list[bytes] = []
        transport.request(f"127.0.0.1:{port}", b"abc", answers.append)
        while not answers:
            await asyncio.sleep(0.01)
        for first in (FRAME_LENGTH.pack(1 << 31), b"\0", FRAME_LENGTH.pack(10) + b"xy"):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(first)
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await reader.readexactly(1)
            writer.close()
        silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(4)]
        await asyncio.sleep(0.1)
        assert drops[DropReason.STREAM_LIMIT] == 2
        for _, writer in silent:
            writer.close()
        transport.request("127.0.0.1:1", b"abc", answers.append)
        while not drops[DropReason.REQUEST_FAILED]:
            await asyncio.sleep(0.01)
        await transport.close()
        return answers, drops

    answers, drops = asyncio.run(play())
    assert answers == [b"abcabc"] and drops[DropReason.FRAME_TOO_LONG] == 1


# ---- Parts ----


class Piece:
    """A part that says what happens to it."""

    def __init__(self, name: str, told: list[str], fails: str = "") -> None:
        self.name, self._told, self._fails = name, told, fails

    def _did(self, what: str) -> None:
        self._told.append(f"{self.name} {what}")
        if self._fails == what:
            raise OSError(what)

    async def open(self) -> None:
        self._did("open")

    def start(self) -> None:
        self._did("start")

    async def hand_over(self) -> None:
        self._did("hand over")

    async def close(self) -> None:
        self._did("close")


def test_parts_begin_in_order_and_end_in_the_opposite_one_whichever_fails() -> None:
    async def play() -> tuple[list[str], list[str]]:
        told: list[str] = []
        parts = Parts([Piece("a", told), Piece("b", told, "close"), Piece("c", told, "hand over")])
        await parts.open()
        parts.start()
        await parts.hand_over()
        await parts.close()
        other: list[str] = []
        with pytest.raises(OSError):
            await Parts([Piece("a", other), Piece("b", other, "open"), Piece("c", other)]).open()
        return told, other

    told, other = asyncio.run(play())
    order = (("open", "abc"), ("start", "abc"), ("hand over", "cba"), ("close", "cba"))
    assert told == [f"{name} {what}" for what, names in order for name in names]
    assert other == ["a open", "b open", "a close"]

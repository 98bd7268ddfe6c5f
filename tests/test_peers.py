"""What schedulers share in a group: the size, worker faults and drains; and the order of components."""

from __future__ import annotations

import asyncio
import json
import socket
from collections import Counter
from pathlib import Path
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.faults.virtual_group import VirtualGroup
from oxbowyard.core.request import AttemptContext, AttemptOutcome, Request
from oxbowyard.core.scheduler import Limits, Scheduler
from oxbowyard.core.service_measure import ServiceMeasure
from oxbowyard.daemon.lifecycle import Lifecycle
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
from oxbowyard.membership.events import EntryWritten, FactsChanged
from oxbowyard.membership.messages import Gossip, GossipEntry, Header, MalformedMessageError, decode, encode
from oxbowyard.membership.table import MembershipSettings
from oxbowyard.membership.tcp_transport import FRAME_LENGTH, TcpTransport
from oxbowyard.membership.udp_transport import UdpTransport
from oxbowyard.peers.cluster_size import SETTLE_S, ClusterSize, ObservedMember
from oxbowyard.peers.component import MembershipComponent
from oxbowyard.peers.drain_propagation import DRAIN_PREFIX, DrainPropagation
from oxbowyard.peers.fault_reports import FaultReport, FaultReports
from oxbowyard.peers.services import ProgramServices

MEMBERS_VIEW = json.loads((Path(__file__).parent / "fixtures/members_view.json").read_text())

DEAD_COUNT_S = 60.0
SPLIT_COUNT_S = 600.0


def others(count: int, dead: int = 0, left: int = 0) -> list[ObservedMember]:
    """The first are dead, the next have left, the rest are live."""
    return [ObservedMember(f"m{i}", i >= dead + left, dead <= i < dead + left) for i in range(count)]


# ---- The cluster's size ----


@pytest.mark.parametrize("steps", [
    # Alone, then with three: the configured number is the least until the view has settled.
    [(0, 0, 0, 0, 8), (100, 0, 0, 0, 8), (101, 3, 0, 0, 8), (101 + SETTLE_S, 3, 0, 0, 4),
     (200, 11, 0, 0, 12)],
    # A dead one counts while in doubt; those that left do not.
    [(0, 9, 0, 0, 10), (20, 9, 1, 0, 10), (79, 9, 1, 0, 10), (80, 9, 1, 0, 9), (81, 9, 1, 2, 7)],
    # Half of them dead, one after the other, may be a cut: they count for longer.
    [(0, 9, 0, 0, 10), *((20 + i, 9, i + 1, 0, 10) for i in range(5)), (90, 9, 5, 0, 10), (625, 9, 5, 0, 5)],
])  # fmt: skip
def test_the_cluster_size_follows_the_member_list(steps: list[tuple[float, int, int, int, int]]) -> None:
    """Each step: the time, others known, dead and left among them, and the count."""
    cluster = ClusterSize(8, DEAD_COUNT_S, SPLIT_COUNT_S)
    for now, known, dead, left, counted in steps:
        assert cluster.update(now, others(known, dead, left)) == counted, f"at {now}"


@pytest.mark.parametrize(("longest_suspicion", "counted"), [(0.0, 5), (7.5, 6)])
def test_the_deaths_of_one_cut_are_found_apart(longest_suspicion: float, counted: int) -> None:
    """Three of six are cut off; a loaded member finds the first 3.2 s before the others, and its time of
    doubt is 3 s. It used to drop the first one as a lone death: 5 for 6."""
    cluster = ClusterSize(1, 3.0, SPLIT_COUNT_S)
    cluster.update(0.0, others(5))
    for now, dead in ((20.0, 1), (23.2, 3), (27.0, 3)):
        size = cluster.update(now, others(5, dead), longest_suspicion)
    assert size == counted


@given(st.lists(st.tuples(st.floats(0.1, 30), st.sets(st.integers(0, 7))), max_size=40), st.integers(1, 12))
def test_it_is_never_under_those_known_to_live_in_the_time_of_doubt(
    steps: list[tuple[float, set[int]]], configured: int
) -> None:
    """Whatever the view says: whoever was seen alive within that time, and did not say goodbye, counts."""
    cluster = ClusterSize(configured, DEAD_COUNT_S, SPLIT_COUNT_S)
    now, seen_at = 0.0, dict[int, float]()
    for wait, here in steps:
        now += wait
        seen_at |= dict.fromkeys(here, now)
        counted = cluster.update(now, [ObservedMember(f"m{i}", i in here) for i in seen_at])
        assert counted >= 1 + sum(now - at < DEAD_COUNT_S for at in seen_at.values())
        assert counted <= max(1 + len(seen_at), configured)


def test_the_decisions_go_by_the_new_number() -> None:
    """A cold worker's budget is shared among the living."""
    classes = (JobClass("c", 1000.0, 10000.0),)
    settings = Settings(classes, scheduler_count=20, initial_capacity_share=0.2, ramp_ms=10000.0)

    def allowed(siblings: int) -> int:
        facade = Facade(settings, 1, lambda: 1000.0)
        facade.set_scheduler_count(siblings)
        facade.update_endpoints(Scope.FULL, (WorkerInfo("w", started_at_ms=500.0, slots=64),))
        worker = facade._dispatcher.state.workers["w"]
        slow_start.budget_allows_send(facade._dispatcher.state, worker, 1000.0)
        return worker.budget_sends

    assert allowed(2) >= 4 * max(allowed(20), 1)


# ---- Worker faults ----


class Nowhere:
    """A transport that is not used."""

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        raise NotImplementedError


def dispatcher(workers: int) -> Dispatcher:
    d = Dispatcher(
        Settings((JobClass("c", 1000.0, 10000.0),), ramp_ms=10000.0, initial_capacity_share=0.1), 1
    )
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


def test_own_faults_are_reported_once_and_again_when_they_last_longer() -> None:
    reports = FaultReports(ramp_s=10.0)
    assert reports.new_reports(0.0, [WorkerFault("w1", 800.0)], 12, 0.0) == [FaultReport("bar:w1", 0.0, 0.8)]
    assert not reports.new_reports(0.1, [WorkerFault("w1", 700.0)], 12, 100.0)
    assert reports.new_reports(0.2, [WorkerFault("w1", 4000.0)], 12, 200.0)
    many = [WorkerFault(f"w{i}", 800.0) for i in range(4)]
    assert not FaultReports(10.0).new_reports(0.0, many, 12, 0.0), "a third of all: the fault is rather ours"


def test_a_received_report_keeps_its_time_and_does_not_go_to_and_fro() -> None:
    reports = FaultReports(ramp_s=10.0)
    (report,) = reports.new_reports(50.0, [WorkerFault("w1", 0.0, 7000.0)], 12, 9000.0)
    assert (report.value, report.lifetime_s) == (2.0, 8.0)
    other = FaultReports(ramp_s=10.0)
    received = entry(report.key, value=report.value, age_s=0.5, lifetime_s=report.lifetime_s)
    assert other.receive(received, 100.0)
    (fault,) = other.peer_faults(101.0, 20000.0)
    assert fault.cold_since_ms == 20000.0 - 3500.0 and fault.avoid_for_ms == 0.0
    known = [WorkerFault("w1", 0.0, 16500.0)]
    assert not other.peer_faults(101.0, 20000.0, known), "it is known here already"
    assert not other.new_reports(101.0, known, 12, 20000.0), "it was received, and is not reported again"
    assert not other.peer_faults(108.0, 27000.0)
    reports.receive(entry("bar:w1", "m1", lifetime_s=1.0), 100.0)
    reports.receive(entry("bar:w1", "m2", lifetime_s=1e9), 100.0)
    (fault,) = reports.peer_faults(100.5, 0.0)
    assert fault.avoid_for_ms == 29500.0, "the longer report holds, and none for ever"
    assert not reports.peer_faults(131.0, 0.0)


def test_a_cold_start_that_the_list_tells_is_no_news() -> None:
    async def play() -> list[WorkerFault]:
        settings = Settings((JobClass("c", 1000.0, 10000.0),), ramp_ms=10000.0, initial_capacity_share=0.1)
        classes, clock = settings.classes, lambda: 5000.0
        facade = Facade(settings, 1, clock)
        scheduler = Scheduler(settings, facade, Nowhere(), clock, ServiceMeasure(classes), Limits())
        scheduler.update_endpoints(
            Scope.FULL, (WorkerInfo("told", started_at_ms=4000.0), WorkerInfo("guessed"))
        )
        facade._dispatcher.state.workers["guessed"].started_at_ms = 4500.0
        return scheduler.worker_faults()

    assert asyncio.run(play()) == [WorkerFault("guessed", 0.0, 4500.0)]


# ---- Drains ----


class LocalDrains:
    """One scheduler's drains without a group."""

    def __init__(self) -> None:
        self.written: list[EntryWritten] = []
        self.drained: set[str] = set()
        self.propagation = DrainPropagation(self.written.append, self._set_drained, 600.0)

    def _set_drained(self, worker: str, is_drained: bool) -> None:
        (self.drained.add if is_drained else self.drained.discard)(worker)


def written(worker: str, lamport_time: int | None) -> EntryWritten:
    """The entry that drains a worker."""
    key = DRAIN_PREFIX + worker
    return EntryWritten(key, 1.0, 1e9, is_shared=True, is_urgent=True, lamport_time=lamport_time)


def undrained(worker: str, lamport_time: int, age_s: float) -> GossipEntry:
    """Another scheduler's entry that puts a worker back."""
    key = DRAIN_PREFIX + worker
    return entry(key, lamport_time=lamport_time, age_s=age_s, lifetime_s=600.0, is_shared=True)


def test_an_undrain_from_before_ones_own_drain_does_not_hold() -> None:
    """A scheduler that has just begun counts from one: its entry would lose against a far older one."""
    local = LocalDrains()
    local.propagation.on_local_change("w1", True, 100.0)
    local.written.clear()
    assert local.propagation.receive(undrained("w1", 9, age_s=30.0), 101.0)
    assert local.written == [written("w1", None)]
    assert local.propagation.receive(undrained("w1", 12, age_s=0.1), 101.0)
    assert len(local.written) == 1, "this one is later"
    local.drained.add("w2")  # drained since before this process began: not asked for here
    assert local.propagation.receive(undrained("w2", 9, age_s=30.0), 101.0)
    assert len(local.written) == 1 and not local.drained


def test_a_drain_from_before_a_restart_yields_to_any_other_entry() -> None:
    local = LocalDrains()
    local.propagation.announce_restored({"w2", "w1"})
    assert local.written == [written("w1", 0), written("w2", 0)]


def test_a_drain_reaches_all_within_a_second_and_its_end_too() -> None:
    for seed in range(8):
        group = VirtualGroup(24, seed)
        group.run(20.0)
        group.link.loss = 0.3
        for value in (1.0, 0.0):
            said = group.now
            group.write(
                "m3", EntryWritten(DRAIN_PREFIX + "w1", value, 1000.0, is_shared=True, is_urgent=True)
            )
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
        group.write("m0", EntryWritten(DRAIN_PREFIX + "w1", 1.0, 1e6, is_shared=True, is_urgent=True))
        group.run(25.0)
        group.write("m1", EntryWritten(DRAIN_PREFIX + "w1", 0.0, 1e6, is_shared=True, is_urgent=True))
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


# ---- The admin API ----


def component() -> MembershipComponent:
    """A component without sockets and without a program."""
    services = ProgramServices(
        name="m0",
        zone="z0",
        configured_size=3,
        ramp_s=10.0,
        version="0.1.0",
        random=Random(1),
        clock_ms=lambda: 50_000.0,
        state=lambda: "serving",
        open_request_count=lambda: 4,
        slots=lambda: 64.0,
        worker_count=lambda: 12,
        own_faults=lambda: [],
        apply_peer_faults=lambda faults: None,
        set_scheduler_count=lambda count: None,
        drained_workers=frozenset,
        set_drained=lambda worker, is_drained: None,
    )
    return MembershipComponent(MembershipSettings(listen="127.0.0.1:7000"), services)


def test_the_members_view_is_the_same_as_before_the_renaming() -> None:
    async def play() -> dict[str, object]:
        made = component()
        facts = made._facts.changed_facts(asyncio.get_running_loop().time())
        assert facts is not None
        made._node.handle(FactsChanged(facts))
        for data in MEMBERS_VIEW["datagrams"]:
            made._node._on_datagram(bytes.fromhex(data), "127.0.0.1:7002")
        await asyncio.sleep(0)  # what came together is applied together
        return dict(made.view())

    view = asyncio.run(play())
    members = view["members"]
    assert isinstance(members, list)
    for member in members:
        assert 0.0 <= member["since_s"] < 30.0
        member["since_s"] = 0.0  # the time that this test takes
    assert json.dumps(view) == json.dumps(MEMBERS_VIEW["view"])


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


# ---- Components ----


class RecordedComponent:
    """A component that says what happens to it."""

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


def test_components_start_in_order_and_stop_in_the_opposite_one_whichever_fails() -> None:
    async def play() -> tuple[list[str], list[str]]:
        told: list[str] = []
        lifecycle = Lifecycle(
            [
                RecordedComponent("a", told),
                RecordedComponent("b", told, "close"),
                RecordedComponent("c", told, "hand over"),
            ]
        )
        await lifecycle.open()
        lifecycle.start()
        await lifecycle.hand_over()
        await lifecycle.close()
        other: list[str] = []
        with pytest.raises(OSError):
            await Lifecycle(
                [
                    RecordedComponent("a", other),
                    RecordedComponent("b", other, "open"),
                    RecordedComponent("c", other),
                ]
            ).open()
        return told, other

    told, other = asyncio.run(play())
    order = (("open", "abc"), ("start", "abc"), ("hand over", "cba"), ("close", "cba"))
    assert told == [f"{name} {what}" for what, names in order for name in names]
    assert other == ["a open", "b open", "a close"]

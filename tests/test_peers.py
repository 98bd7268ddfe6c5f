"""Tests of what schedulers share in a group (size, worker faults, drains) and of the component lifecycle."""

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

DEAD_TIMEOUT_S = 60.0
PARTITION_TIMEOUT_S = 600.0


def other_members(count: int, dead: int = 0, left: int = 0) -> list[ObservedMember]:
    """Return `count` members: the first are dead, the next have left, the rest are live."""
    return [ObservedMember(f"m{i}", i >= dead + left, dead <= i < dead + left) for i in range(count)]


# ---- The cluster's size ----


@pytest.mark.parametrize("steps", [
    # Alone, then with three others: the configured number is the minimum until the view has settled.
    [(0, 0, 0, 0, 8), (100, 0, 0, 0, 8), (101, 3, 0, 0, 8), (101 + SETTLE_S, 3, 0, 0, 4),
     (200, 11, 0, 0, 12)],
    # A dead member counts until its timeout; members that left do not count.
    [(0, 9, 0, 0, 10), (20, 9, 1, 0, 10), (79, 9, 1, 0, 10), (80, 9, 1, 0, 9), (81, 9, 1, 2, 7)],
    # Half of the members dying one after the other may be a network partition: they count for longer.
    [(0, 9, 0, 0, 10), *((20 + i, 9, i + 1, 0, 10) for i in range(5)), (90, 9, 5, 0, 10), (625, 9, 5, 0, 5)],
])  # fmt: skip
def test_cluster_size_follows_the_member_list(steps: list[tuple[float, int, int, int, int]]) -> None:
    """Each step: the time; the other known members, the dead and the left among them; the expected size."""
    cluster = ClusterSize(8, DEAD_TIMEOUT_S, PARTITION_TIMEOUT_S)
    for now, known, dead, left, counted in steps:
        assert cluster.update(now, other_members(known, dead, left)) == counted, f"at {now}"


@pytest.mark.parametrize(("longest_suspicion", "counted"), [(0.0, 5), (7.5, 6)])
def test_deaths_in_one_partition_detected_at_different_times_count_together(
    longest_suspicion: float, counted: int
) -> None:
    """Three of six members are cut off; a loaded member detects the first 3.2 s before the others, with a
    timeout of 3 s. It used to drop the first as a single death: size 5 instead of 6."""
    cluster = ClusterSize(1, 3.0, PARTITION_TIMEOUT_S)
    cluster.update(0.0, other_members(5))
    for now, dead in ((20.0, 1), (23.2, 3), (27.0, 3)):
        size = cluster.update(now, other_members(5, dead), longest_suspicion)
    assert size == counted


@given(st.lists(st.tuples(st.floats(0.1, 30), st.sets(st.integers(0, 7))), max_size=40), st.integers(1, 12))
def test_cluster_size_includes_every_member_seen_within_the_timeout(
    steps: list[tuple[float, set[int]]], configured: int
) -> None:
    """Whatever the view is, each member that was seen alive within the timeout and has not left counts."""
    cluster = ClusterSize(configured, DEAD_TIMEOUT_S, PARTITION_TIMEOUT_S)
    now, seen_at = 0.0, dict[int, float]()
    for wait, alive in steps:
        now += wait
        seen_at |= dict.fromkeys(alive, now)
        size = cluster.update(now, [ObservedMember(f"m{i}", i in alive) for i in seen_at])
        assert size >= 1 + sum(now - at < DEAD_TIMEOUT_S for at in seen_at.values())
        assert size <= max(1 + len(seen_at), configured)


def test_warm_up_budget_follows_the_scheduler_count() -> None:
    """The budget of a cold worker is divided by the current number of schedulers."""
    classes = (JobClass("c", 1000.0, 10000.0),)
    settings = Settings(classes, scheduler_count=20, initial_capacity_share=0.2, ramp_ms=10000.0)

    def budget(scheduler_count: int) -> int:
        facade = Facade(settings, 1, lambda: 1000.0)
        facade.set_scheduler_count(scheduler_count)
        facade.update_endpoints(Scope.FULL, (WorkerInfo("w", started_at_ms=500.0, slots=64),))
        worker = facade._dispatcher.state.workers["w"]
        slow_start.budget_allows_send(facade._dispatcher.state, worker, 1000.0)
        return worker.budget_sends

    assert budget(2) >= 4 * max(budget(20), 1)


# ---- Worker faults ----


class UnusedTransport:
    """A transport that the test never uses."""

    async def attempt(self, backend: str, request: Request, context: AttemptContext) -> AttemptOutcome:
        raise NotImplementedError


def make_dispatcher(workers: int) -> Dispatcher:
    dispatcher = Dispatcher(
        Settings((JobClass("c", 1000.0, 10000.0),), ramp_ms=10000.0, initial_capacity_share=0.1), 1
    )
    dispatcher.handle(0, EndpointsChanged(Scope.FULL, tuple(WorkerInfo(f"w{i}") for i in range(workers))))
    return dispatcher


def send_job(dispatcher: Dispatcher, now: float, key_number: int) -> str:
    actions = dispatcher.handle(
        now, RequestReceived(f"r{key_number}-{now}", "c", 10000.0, key=f"k{key_number}")
    )
    worker = next(a.worker for a in actions if isinstance(a, StartAttempt))
    dispatcher.handle(now, AttemptEnded(f"r{key_number}-{now}", 0, worker, Result.OK, 1.0, True))
    return worker


def test_peer_fault_avoids_a_worker_temporarily_and_never_shortens_local_state() -> None:
    dispatcher = make_dispatcher(8)
    home_worker = send_job(dispatcher, 0, 1)
    dispatcher.handle(1, PeerFaultsChanged((WorkerFault(home_worker, 1000.0),)))
    assert home_worker not in {send_job(dispatcher, 2, i) for i in range(200)}
    assert send_job(dispatcher, 1500, 1) == home_worker
    worker = dispatcher.state.workers["w0"]
    worker.avoided_until_ms, worker.started_at_ms, worker.failure_count, worker.ejected_until_ms = (
        3000.0,
        1400.0,
        1.0,
        2500.0,
    )
    dispatcher.handle(1500, PeerFaultsChanged((WorkerFault("w0", 5.0, 100.0),)))
    dispatcher.handle(1500, PeerFaultsChanged())
    assert (worker.avoided_until_ms, worker.started_at_ms, worker.failure_count, worker.ejected_until_ms) == (
        3000.0,
        1400.0,
        1.0,
        2500.0,
    )
    dispatcher = make_dispatcher(8)
    dispatcher.handle(1, PeerFaultsChanged(tuple(WorkerFault(f"w{i}", 4000.0) for i in range(3))))
    assert not any(worker.avoided_until_ms for worker in dispatcher.state.workers.values()), (
        "reports about more than a quarter of the workers are ignored"
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


def test_own_fault_is_reported_once_and_again_when_it_lasts_longer() -> None:
    reports = FaultReports(ramp_s=10.0)
    assert reports.new_reports(0.0, [WorkerFault("w1", 800.0)], 12, 0.0) == [FaultReport("bar:w1", 0.0, 0.8)]
    assert not reports.new_reports(0.1, [WorkerFault("w1", 700.0)], 12, 100.0)
    assert reports.new_reports(0.2, [WorkerFault("w1", 4000.0)], 12, 200.0)
    many = [WorkerFault(f"w{i}", 800.0) for i in range(4)]
    assert not FaultReports(10.0).new_reports(0.0, many, 12, 0.0), (
        "a third of all workers: the fault is more likely local"
    )


def test_received_report_keeps_its_start_time_and_is_not_reported_back() -> None:
    reports = FaultReports(ramp_s=10.0)
    (report,) = reports.new_reports(50.0, [WorkerFault("w1", 0.0, 7000.0)], 12, 9000.0)
    assert (report.value, report.lifetime_s) == (2.0, 8.0)
    other = FaultReports(ramp_s=10.0)
    received = entry(report.key, value=report.value, age_s=0.5, lifetime_s=report.lifetime_s)
    assert other.receive(received, 100.0)
    (fault,) = other.peer_faults(101.0, 20000.0)
    assert fault.cold_since_ms == 20000.0 - 3500.0 and fault.avoid_for_ms == 0.0
    known = [WorkerFault("w1", 0.0, 16500.0)]
    assert not other.peer_faults(101.0, 20000.0, known), "the fault is already known locally"
    assert not other.new_reports(101.0, known, 12, 20000.0), "a received fault is not reported again"
    assert not other.peer_faults(108.0, 27000.0)
    reports.receive(entry("bar:w1", "m1", lifetime_s=1.0), 100.0)
    reports.receive(entry("bar:w1", "m2", lifetime_s=1e9), 100.0)
    (fault,) = reports.peer_faults(100.5, 0.0)
    assert fault.avoid_for_ms == 29500.0, "the longer report applies, with a limited lifetime"
    assert not reports.peer_faults(131.0, 0.0)


def test_cold_start_announced_by_the_list_is_not_reported_to_peers() -> None:
    async def scenario() -> list[WorkerFault]:
        settings = Settings((JobClass("c", 1000.0, 10000.0),), ramp_ms=10000.0, initial_capacity_share=0.1)
        classes, clock = settings.classes, lambda: 5000.0
        facade = Facade(settings, 1, clock)
        scheduler = Scheduler(settings, facade, UnusedTransport(), clock, ServiceMeasure(classes), Limits())
        scheduler.update_endpoints(
            Scope.FULL, (WorkerInfo("told", started_at_ms=4000.0), WorkerInfo("guessed"))
        )
        facade._dispatcher.state.workers["guessed"].started_at_ms = 4500.0
        return scheduler.worker_faults()

    assert asyncio.run(scenario()) == [WorkerFault("guessed", 0.0, 4500.0)]


# ---- Drains ----


class LocalDrains:
    """Drain propagation of one scheduler without a group."""

    def __init__(self) -> None:
        self.written: list[EntryWritten] = []
        self.drained: set[str] = set()
        self.propagation = DrainPropagation(self.written.append, self._set_drained, 600.0)

    def _set_drained(self, worker: str, is_drained: bool) -> None:
        (self.drained.add if is_drained else self.drained.discard)(worker)


def drain_entry(worker: str, lamport_time: int | None) -> EntryWritten:
    """Return the entry that drains a worker."""
    key = DRAIN_PREFIX + worker
    return EntryWritten(key, 1.0, 1e9, is_shared=True, is_urgent=True, lamport_time=lamport_time)


def undrain_entry(worker: str, lamport_time: int, age_s: float) -> GossipEntry:
    """Return another scheduler's entry that ends the drain of a worker."""
    key = DRAIN_PREFIX + worker
    return entry(key, lamport_time=lamport_time, age_s=age_s, lifetime_s=600.0, is_shared=True)


def test_undrain_older_than_the_local_drain_is_overwritten() -> None:
    """A scheduler that has just started counts Lamport times from 1: its entry would lose against a far
    older one."""
    local = LocalDrains()
    local.propagation.on_local_change("w1", True, 100.0)
    local.written.clear()
    assert local.propagation.receive(undrain_entry("w1", 9, age_s=30.0), 101.0)
    assert local.written == [drain_entry("w1", None)]
    assert local.propagation.receive(undrain_entry("w1", 12, age_s=0.1), 101.0)
    assert len(local.written) == 1, "this undrain is later than the local drain"
    local.drained.add("w2")  # drained before this process started, not by a local request
    assert local.propagation.receive(undrain_entry("w2", 9, age_s=30.0), 101.0)
    assert len(local.written) == 1 and not local.drained


def test_restored_drain_is_announced_with_lamport_time_zero() -> None:
    local = LocalDrains()
    local.propagation.announce_restored({"w2", "w1"})
    assert local.written == [drain_entry("w1", 0), drain_entry("w2", 0)]


def test_drain_and_undrain_reach_all_members_within_a_second() -> None:
    for seed in range(8):
        group = VirtualGroup(24, seed)
        group.run(20.0)
        group.link.loss = 0.3
        for value in (1.0, 0.0):
            written_at = group.now
            group.write(
                "m3", EntryWritten(DRAIN_PREFIX + "w1", value, 1000.0, is_shared=True, is_urgent=True)
            )
            group.run(written_at + 1.0)
            for node in group.nodes.values():
                if node.name != "m3":
                    when = [
                        at
                        for at, delivery in node.delivered
                        if delivery.entry.value == value and at >= written_at
                    ]
                    assert when and when[0] - written_at < 1.0, f"seed {seed}: {node.name}"


def test_conflicting_entries_converge_to_one_value_after_a_partition() -> None:
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
        values = {
            tuple(e.value for e in node.protocol.entries.all(group.now)) for node in group.nodes.values()
        }
        assert len(values) == 1, f"seed {seed}: {values}"


def test_entry_store_limits_count_expires_entries_and_bounds_batches() -> None:
    store = EntryStore(40)
    for i in range(42):
        store.write(0.0, "m0", f"bar:{'x' * 40}{i}", 0.0, 5.0 + i, False, None)
    assert len(store) == 40 and store.dropped_count == 2
    assert not store.merge(0.0, entry("bar:x", age_s=5.0, lifetime_s=5.0)), "the entry had expired on arrival"
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
def test_gossip_with_invalid_entry_raises_malformed_message_error(bad: GossipEntry) -> None:
    header = Header(1, "g", "n", 1, "a:1")
    assert decode(encode(Gossip(header, [entry("bar:w")])), "g", 64)
    with pytest.raises(MalformedMessageError, match="absurd note"):
        decode(encode(Gossip(header, [bad])), "g", 64)
    with pytest.raises(MalformedMessageError, match="too many notes"):
        decode(encode(Gossip(header, [entry("bar:w")] * 65)), "g", 64)


# ---- The admin API ----


def make_component() -> MembershipComponent:
    """Return a component without sockets and without a program."""
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


def test_members_view_matches_the_recorded_fixture() -> None:
    async def scenario() -> dict[str, object]:
        component = make_component()
        facts = component._facts.changed_facts(asyncio.get_running_loop().time())
        assert facts is not None
        component._node.handle(FactsChanged(facts))
        for data in MEMBERS_VIEW["datagrams"]:
            component._node._on_datagram(bytes.fromhex(data), "127.0.0.1:7002")
        await asyncio.sleep(0)  # events of one loop iteration are applied together
        return dict(component.view())

    view = asyncio.run(scenario())
    members = view["members"]
    assert isinstance(members, list)
    for member in members:
        assert 0.0 <= member["since_s"] < 30.0
        member["since_s"] = 0.0  # depends on the duration of the test
    assert json.dumps(view) == json.dumps(MEMBERS_VIEW["view"])


# ---- Sockets ----


def test_udp_transport_limits_a_flood_and_recovers_after_it() -> None:
    async def scenario() -> tuple[int, int, DropCounter]:
        received: list[bytes] = []
        drops = DropCounter()
        max_datagrams_s = 200
        transport = UdpTransport(
            ("127.0.0.1", 0), max_datagrams_s, lambda data, source: received.append(data), drops
        )
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as flood:
            for _ in range(5):
                for _ in range(300):
                    flood.sendto(b"x", transport.address)
                await asyncio.sleep(0.1)
            in_flood = len(received)
            await asyncio.sleep(0.3)  # the buffer drains, and later datagrams are read
            while received[-1] != b"y":
                flood.sendto(b"y", transport.address)
                await asyncio.sleep(0.05)
        transport.close()
        return in_flood, len(received), drops

    in_flood, _, drops = asyncio.run(scenario())
    assert 10 <= in_flood <= 400, "about 0.5 s at 200 datagrams per second"
    assert drops[DropReason.RATE_LIMITED] >= 3


def test_stream_with_oversized_or_incomplete_frame_is_closed() -> None:
    async def scenario() -> tuple[list[bytes], DropCounter]:
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

    answers, drops = asyncio.run(scenario())
    assert answers == [b"abcabc"] and drops[DropReason.FRAME_TOO_LONG] == 1


# ---- Components ----


class RecordedComponent:
    """A component that records the calls of its lifecycle methods."""

    def __init__(self, name: str, calls: list[str], fails: str = "") -> None:
        self.name, self._calls, self._fails = name, calls, fails

    def _record(self, what: str) -> None:
        self._calls.append(f"{self.name} {what}")
        if self._fails == what:
            raise OSError(what)

    async def open(self) -> None:
        self._record("open")

    def start(self) -> None:
        self._record("start")

    async def hand_over(self) -> None:
        self._record("hand over")

    async def close(self) -> None:
        self._record("close")


def test_components_start_in_order_and_close_in_reverse_despite_failures() -> None:
    async def scenario() -> tuple[list[str], list[str]]:
        calls: list[str] = []
        lifecycle = Lifecycle(
            [
                RecordedComponent("a", calls),
                RecordedComponent("b", calls, "close"),
                RecordedComponent("c", calls, "hand over"),
            ]
        )
        await lifecycle.open()
        lifecycle.start()
        await lifecycle.hand_over()
        await lifecycle.close()
        failed_calls: list[str] = []
        with pytest.raises(OSError):
            await Lifecycle(
                [
                    RecordedComponent("a", failed_calls),
                    RecordedComponent("b", failed_calls, "open"),
                    RecordedComponent("c", failed_calls),
                ]
            ).open()
        return calls, failed_calls

    calls, failed_calls = asyncio.run(scenario())
    order = (("open", "abc"), ("start", "abc"), ("hand over", "cba"), ("close", "cba"))
    assert calls == [f"{name} {what}" for what, names in order for name in names]
    assert failed_calls == ["a open", "b open", "a close"]

"""A watch that fails at any point is replaced, and the changes that it missed arrive in time.

The tests use real sockets and virtual time. The simulated discovery service falls silent at a given byte of a
given answer, so the failures are deterministic and waiting costs nothing.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from random import Random
from typing import Any

import pytest
from virtual_loop import run_in_virtual_time

from oxbowyard.decision.facade import Readiness, Scope, WorkerInfo
from oxbowyard.discovery.client import DiscoveryClient
from oxbowyard.discovery.endpoint_list import WatchEvent, parse_endpoint_list
from oxbowyard.discovery.poll_schedule import PollSchedule
from oxbowyard.discovery.registry import Registry

DRAIN_GRACE_S = 0.8  # the shortest drain grace observed so far
COMPLETE_BYTES = 10_000  # more than any answer has


def entry(uid: str = "w1", state: object = "ready", **more: Any) -> dict[str, Any]:
    row = {"uid": uid, "endpoint": "10.0.0.1:80", "az": "a", "model": "m", "state": state, "boot_ms": 0}
    return row | more


class Discovery:
    """A scripted discovery service. `stops` maps an answer number to the bytes sent before the silence."""

    def __init__(self, stops: dict[int, int], reset: bool = False) -> None:
        self.rev, self.row = 1, entry()
        self.changed = asyncio.Event()
        self.stops, self.reset = stops, reset
        self.calls: list[tuple[float, str]] = []
        self.silent_at: list[tuple[float, float]] = []  # start of the silence, and wait of that call
        self.answers: list[dict[str, Any]] = []  # sent once each, in place of the correct answer
        self.overloaded = False  # every other call is rejected at once, the rest after a wait

    def apply_change(self, row: dict[str, Any]) -> None:
        self.rev, self.row = self.rev + 1, row
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                target = head.split(b" ")[1].decode()
                number = len(self.calls)
                self.calls.append((loop.time(), target))
                query = dict(p.split("=") for p in target.partition("?")[2].split("&") if p)
                wait = int(query.get("wait_ms", "0")) / 1000
                stop = self.stops.get(number, COMPLETE_BYTES)
                if self.overloaded:
                    await asyncio.sleep(number % 2 * 1.0)
                    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                    continue
                if stop == 0:
                    await self._fall_silent(writer, wait)
                    return
                if "after" in query and int(query["after"]) >= self.rev and not self.answers:
                    try:
                        async with asyncio.timeout(wait):
                            await self.changed.wait()
                    except TimeoutError:
                        pass
                text = self._answer(query)
                writer.write(text[:stop])
                if stop < len(text):
                    await self._fall_silent(writer, 0.0)
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _answer(self, query: dict[str, str]) -> bytes:
        if self.answers:
            body = self.answers.pop(0)
        else:
            full = "after" not in query
            rows = [self.row] if full or int(query["after"]) < self.rev else []
            body = {"rev": self.rev, "all": full, "targets": rows}
        text = json.dumps(body, indent=1).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)

    async def _fall_silent(self, writer: asyncio.StreamWriter, wait: float) -> None:
        self.silent_at.append((asyncio.get_running_loop().time(), wait))
        if self.reset:
            writer.transport.abort()
            return
        await asyncio.Event().wait()


class RecordedUpdates:
    """Records the updates of a registry and of the decisions, with their times."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.registry = Registry(lambda: self.loop.time() * 1000, DRAIN_GRACE_S * 1000)
        self.received: list[tuple[float, Readiness]] = []
        self.fault_hook: Callable[[], None] = lambda: None

    def on_endpoints(self, scope: Scope, infos: tuple[WorkerInfo, ...]) -> None:
        self.fault_hook()
        self.received += [(self.loop.time(), info.readiness) for info in infos]

    def drained_at(self) -> float:
        return next(at for at, readiness in self.received if readiness is Readiness.DRAINING)


async def _start(
    service: Discovery, updates: RecordedUpdates, schedule: PollSchedule
) -> tuple[asyncio.Server, asyncio.Task[None]]:
    server = await asyncio.start_server(service.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    discovery = DiscoveryClient(f"{host}:{port}", updates.registry, updates.on_endpoints, schedule=schedule)
    return server, asyncio.create_task(discovery.run())


async def _stop(server: asyncio.Server, task: asyncio.Task[None]) -> None:
    assert not task.done(), "the watch task must not end"
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    server.close()


@pytest.mark.parametrize("schedulers", [0, 6, 40, 200])  # that share one service; 0: a local agent
@pytest.mark.parametrize("reset", [False, True])
# No answer; within the status line, the headers, the body.
@pytest.mark.parametrize("stop", [0, 1, 20, 60, 130])
# The full list; the first watch; a continued watch; two and three calls in a row.
@pytest.mark.parametrize("silent_answers", [(0,), (1,), (2,), (2, 3), (2, 3, 4)])
def test_drain_missed_by_a_silent_watch_applies_in_time(
    schedulers: int, reset: bool, stop: int, silent_answers: tuple[int, ...]
) -> None:
    """The bound is 6 s after the watch fell silent. With 200 schedulers it does not cover a third failure."""
    silent_answers = silent_answers[:2] if schedulers == 200 else silent_answers

    async def scenario() -> None:
        discovery, updates = Discovery(dict.fromkeys(silent_answers, stop), reset), RecordedUpdates()
        schedule = PollSchedule(schedulers > 0, schedulers, Random(3), 10_000.0)
        server, task = await _start(discovery, updates, schedule)
        while not discovery.silent_at:
            await asyncio.sleep(0.01)
            if stop and len(discovery.calls) > silent_answers[0]:  # an answer must begin for the stop in it
                discovery.apply_change(entry())
        since, _ = discovery.silent_at[0]
        discovery.apply_change(entry(state="draining"))
        await asyncio.sleep(12.0)
        assert updates.drained_at() <= since + 6.0
        assert updates.registry.address("w1") is None
        await _stop(server, task)

    run_in_virtual_time(scenario, timeout_s=60.0)


@pytest.mark.parametrize("overloaded", [True, False])
def test_list_expires_when_an_overloaded_service_rejects_all_calls(overloaded: bool) -> None:
    """An overloaded service rejects calls at once and after a wait: the list expires after 6 s. A silent
    service may be unreachable: the list stays valid."""

    async def scenario() -> None:
        silent = {} if overloaded else dict.fromkeys(range(2, 40), 0)
        service, updates = Discovery(silent), RecordedUpdates()
        server, task = await _start(service, updates, PollSchedule(True, 40, Random(3), 10_000.0))
        while len(service.calls) < 3:
            await asyncio.sleep(0.01)
        service.overloaded, since = overloaded, updates.loop.time()
        while updates.loop.time() < since + 12.0:
            await asyncio.sleep(0.05)
            may_send = updates.registry.address("w1") is not None
            if updates.loop.time() >= since + 9.0:  # two calls show the overload, within 3 s
                assert may_send is not overloaded
        assert (updates.received[-1][1] is Readiness.DRAINING) is overloaded, (
            "the decisions are updated as well"
        )
        service.overloaded = False
        await asyncio.sleep(15.0)
        assert updates.registry.address("w1") is not None and updates.received[-1][1] is Readiness.READY
        await _stop(server, task)

    run_in_virtual_time(scenario, timeout_s=60.0)


@pytest.mark.parametrize("late", [False, True])
def test_drain_delayed_by_a_silent_watch_has_no_grace_left(late: bool) -> None:
    async def scenario() -> None:
        discovery, updates = Discovery({2: 0} if late else {}), RecordedUpdates()
        server, task = await _start(discovery, updates, PollSchedule(False, 3, Random(3)))
        while len(discovery.calls) < 3:
            await asyncio.sleep(0.01)
        discovery.apply_change(entry(state="draining"))
        while not any(readiness is Readiness.DRAINING for _, readiness in updates.received):
            await asyncio.sleep(0.001)
        assert (updates.registry.address("w1") is None) is late
        await _stop(server, task)

    run_in_virtual_time(scenario, timeout_s=60.0)


MALFORMED_ENTRIES: list[dict[str, Any]] = [
    entry("w2", boot_ms="soon"), entry("w2", pod_group=[1]), entry("w2", capacity_hint=[1]),
    entry("w2", state=[]),
    entry("w2", endpoint=None), {"uid": "w2"}, entry("w2", state="asleep"),
    entry("w2", endpoint="10.0.0.1:x"),
]  # fmt: skip


@pytest.mark.parametrize("row", [*MALFORMED_ENTRIES, 7, None, "w2"])
def test_malformed_entry_is_skipped_and_the_others_are_applied(row: object) -> None:
    event = parse_endpoint_list({"rev": 1, "all": True, "targets": [row, entry()]})
    assert [listed.info.name for listed in event.endpoints] == ["w1"]


@pytest.mark.parametrize("state", ["draining", "gone"])
@pytest.mark.parametrize("broken", [
    {"boot_ms": "soon"}, {"pod_group": [1]}, {"capacity_hint": -1.0}, {"endpoint": None}, {"endpoint": "x"},
])  # fmt: skip
def test_draining_or_gone_state_applies_despite_other_malformed_fields(
    state: str, broken: dict[str, Any]
) -> None:
    """Guards against skipping the entry: requests went to the worker for as long as the list was valid."""
    now = [0.0]
    registry = Registry(lambda: now[0], 1000.0)
    registry.apply(parse_endpoint_list({"rev": 1, "all": True, "targets": [entry()]}))
    row = entry(state=state, **broken)
    registry.apply(parse_endpoint_list({"rev": 2, "all": False, "targets": [row]}))
    assert registry.address("w1") == "10.0.0.1:80", "the known address stays valid within the drain grace"
    now[0] = 1000.0
    assert registry.address("w1") is None
    row = entry("w3", state, endpoint=None)
    registry.apply(parse_endpoint_list({"rev": 3, "all": False, "targets": [row]}))
    assert registry.address("w3") is None, "its endpoint is unknown"


def test_entry_with_an_infinite_number_is_skipped() -> None:
    row = json.loads(json.dumps(entry("w2", pod_group=0)).replace('"pod_group": 0', '"pod_group": 1e999'))
    event = parse_endpoint_list({"rev": 1, "all": True, "targets": [row, entry()]})
    assert [listed.info.name for listed in event.endpoints] == ["w1"]


def test_exception_while_a_list_is_applied_does_not_end_the_watch() -> None:
    """Guards against an exception that ends the task group: no list was ever applied again."""

    async def scenario() -> None:
        discovery, updates = Discovery({}), RecordedUpdates()

        def raise_once() -> None:
            updates.fault_hook = lambda: None
            raise KeyError("a fault of ours")

        server, task = await _start(discovery, updates, PollSchedule(False, 3, Random(3)))
        while len(discovery.calls) < 3:
            await asyncio.sleep(0.01)
        updates.fault_hook = raise_once
        discovery.apply_change(entry(state="draining"))
        await asyncio.sleep(1.0)
        assert updates.received[-1][1] is Readiness.DRAINING, "the lost change is sent again"
        await _stop(server, task)

    run_in_virtual_time(scenario, timeout_s=60.0)


def test_older_revision_is_applied_only_after_a_full_list_confirms_it() -> None:
    async def scenario() -> None:
        discovery, updates = Discovery({}), RecordedUpdates()
        server, task = await _start(discovery, updates, PollSchedule(False, 3, Random(3)))
        discovery.apply_change(entry(state="draining"))
        await asyncio.sleep(1.0)
        # One well-formed answer from before the drain, as from a lagging replica: the drain stays in force.
        discovery.answers.append({"rev": 1, "all": True, "targets": [entry()]})
        discovery.apply_change(entry(state="draining"))
        await asyncio.sleep(1.0)
        assert {r for _, r in updates.received[1:]} == {Readiness.DRAINING}
        discovery.rev = 0  # revisions restart: accepted once a full list confirms it
        discovery.apply_change(entry())
        await asyncio.sleep(3.0)
        assert updates.received[-1][1] is Readiness.READY and updates.registry.address("w1")
        await _stop(server, task)

    run_in_virtual_time(scenario, timeout_s=60.0)


def test_backend_that_returns_elsewhere_has_its_new_address() -> None:
    registry = Registry(lambda: 0.0, 1000.0)
    for state, endpoint in (("ready", "10.0.0.1:80"), ("gone", "10.0.0.1:80"), ("ready", "10.0.0.2:80")):
        registry.apply(
            parse_endpoint_list({"rev": 1, "all": False, "targets": [entry(state=state, endpoint=endpoint)]})
        )
    assert registry.address("w1") == "10.0.0.2:80"
    registry.apply(WatchEvent(2, True, ()))  # an empty full list: all workers are reported as gone
    assert registry.endpoints["w1"].readiness is Readiness.GONE

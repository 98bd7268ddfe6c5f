"""Many watches of one overloaded discovery service: calls are spread, all are answered, drains apply in time.

The tests use loopback sockets and virtual time: minutes pass in a second, and every run is the same.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from random import Random

import pytest
from aiohttp import web
from virtual_loop import run_in_virtual_time

from oxbowyard.decision.facade import Scope, WorkerInfo
from oxbowyard.discovery.client import DiscoveryClient
from oxbowyard.discovery.poll_schedule import NOTIFIED_WITHIN_S, OPENED_WATCHES_PER_S, PollSchedule
from oxbowyard.discovery.registry import Registry

SCHEDULERS, DRAIN_GRACE_MS = 40, 1000.0
DRAIN_AT_S = 30.0  # by then most schedulers have a running watch


def entry(state: str) -> dict[str, object]:
    return {"uid": "w1", "endpoint": "10.0.0.1:80", "az": "a", "model": "m", "state": state, "boot_ms": 0}


class Discovery:
    """A discovery service that rejects three of four calls while it processes more than two.

    A watch waits for a change. It continues at no cost if its next call comes within 200 ms, as with the real
    service.
    """

    def __init__(self) -> None:
        self.rev = 1
        self.state = "ready"
        self.changed = asyncio.Event()
        self.random = Random(7)
        self.processing = 0
        self.call_counts: Counter[float] = Counter()  # by second of arrival
        self.drain_answers = 0  # number of answers that contained the drain
        self.last_answers: dict[object, float] = {}  # by connection: time of the last answer

    async def handle_hosts(self, request: web.Request) -> web.Response:
        loop = asyncio.get_running_loop()
        is_new_watch = loop.time() - self.last_answers.get(request.transport, -1.0) > 0.2
        if is_new_watch and not await self.process():
            return web.Response(status=503)
        response = await self.answer(request)
        self.last_answers[request.transport] = loop.time()
        return response

    async def process(self) -> bool:
        self.call_counts[float(int(asyncio.get_running_loop().time()))] += 1
        if self.processing > 2 and self.random.random() < 0.75:
            return False
        self.processing += 1
        try:
            await asyncio.sleep(0.2)  # the processing time of a call; a waiting watch costs nothing
        finally:
            self.processing -= 1
        return True

    async def answer(self, request: web.Request) -> web.Response:
        after = request.query.get("after")
        if after is not None and int(after) >= self.rev:
            wait = int(request.query.get("wait_ms", "0")) / 1000
            try:
                async with asyncio.timeout(wait):
                    await self.changed.wait()  # the event of the next change, not of an earlier one
            except TimeoutError:
                return web.json_response({"rev": self.rev, "all": False, "targets": []})
        if self.state == "draining":
            self.drain_answers += 1
        body = {"rev": self.rev, "all": after is None, "targets": [entry(self.state)]}
        return web.Response(body=json.dumps(body), content_type="application/json")

    def start_drain(self) -> None:
        self.rev, self.state = 2, "draining"
        self.changed.set()
        self.changed = asyncio.Event()


async def _start_service(service: Discovery) -> tuple[web.AppRunner, int]:
    app = web.Application()
    app.router.add_get("/discovery/hosts", service.handle_hosts)
    runner = web.AppRunner(app, handle_signals=False)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return runner, site._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]


def test_forty_watches_spread_their_calls_and_apply_a_drain_in_time() -> None:
    notified_at: dict[int, float] = {}
    # For each scheduler, whether it sends nothing new to the drained worker 0.9 s after its notification.
    drain_applied: list[bool] = []
    registries: list[Registry] = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        service = Discovery()
        runner, port = await _start_service(service)
        tasks = []
        for i in range(SCHEDULERS):
            registry = Registry(lambda: loop.time() * 1000, DRAIN_GRACE_MS)
            registries.append(registry)

            def on_endpoints(
                scope: Scope, infos: tuple[WorkerInfo, ...], i: int = i, registry: Registry = registry
            ) -> None:
                if i not in notified_at and any(info.readiness.value == "draining" for info in infos):
                    notified_at[i] = loop.time()  # time of notification, just after the answer was written
                    loop.call_later(
                        DRAIN_GRACE_MS / 1000 - 0.1,
                        lambda: drain_applied.append(registry.address("w1") is None),
                    )

            schedule = PollSchedule(True, SCHEDULERS, Random(i))
            client = DiscoveryClient(f"127.0.0.1:{port}", registry, on_endpoints, schedule=schedule)
            client.restore({"rev": 1, "all": True, "targets": [entry("ready")]})
            tasks.append(asyncio.create_task(client.run()))
        await asyncio.sleep(DRAIN_AT_S)
        service.start_drain()
        await asyncio.sleep(90.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await runner.cleanup()
        assert max(service.call_counts.values()) <= OPENED_WATCHES_PER_S, "calls are spread"
        assert max(service.call_counts) < NOTIFIED_WITHIN_S, "each has its answer before its old list expires"
        assert len(notified_at) == SCHEDULERS, "all are notified of the drain"
        assert service.drain_answers >= SCHEDULERS, "each is notified by a call of its own"
        assert drain_applied == [True] * SCHEDULERS, "the drain applies everywhere in time"
        assert sorted(notified_at.values())[SCHEDULERS // 2] - DRAIN_AT_S < 1.0, (
            "most are notified at once by their running watch"
        )

    run_in_virtual_time(scenario, timeout_s=600.0)


RESTARTED_COUNT, READY_WITHIN_S = 20, 6.0  # a tenth of 200 schedulers; the bound for a short simulated day


@pytest.mark.parametrize("has_stored_list", [True, False])
def test_twenty_of_200_schedulers_restarted_together_are_ready_in_time(has_stored_list: bool) -> None:
    """The service is slow: it processes three calls at a time, 0.2 s each, and rejects most others. With a
    stored list each scheduler is ready at once; without one it needs an answer first."""
    ready_at: list[float] = []

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        service = Discovery()
        runner, port = await _start_service(service)
        tasks = []

        async def note_ready(client: DiscoveryClient) -> None:
            await client.ready.wait()
            ready_at.append(loop.time())

        for i in range(RESTARTED_COUNT):
            registry = Registry(lambda: loop.time() * 1000, DRAIN_GRACE_MS)
            schedule = PollSchedule(True, 200, Random(i), 10_000.0)
            client = DiscoveryClient(f"127.0.0.1:{port}", registry, lambda *_: None, schedule=schedule)
            if has_stored_list:
                client.restore({"rev": 1, "all": True, "targets": [entry("ready")]})
            tasks += [asyncio.create_task(client.run()), asyncio.create_task(note_ready(client))]
        await asyncio.sleep(READY_WITHIN_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await runner.cleanup()

    run_in_virtual_time(scenario, timeout_s=60.0)
    assert len(ready_at) >= 0.9 * RESTARTED_COUNT
    assert not has_stored_list or max(ready_at) == 0.0

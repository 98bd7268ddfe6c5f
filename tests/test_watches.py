"""Forty watches against one discovery that turns most calls down: calls spread, all are heard, none is late
for a drain. On loopback, in virtual time: minutes pass in a second, alike in every run."""

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

CALLERS, GRACE_MS = 40, 1000.0
DRAIN_AT = 30.0  # seconds: by then most have a watch that goes on


def entry(state: str) -> dict[str, object]:
    return {"uid": "w1", "endpoint": "10.0.0.1:80", "az": "a", "model": "m", "state": state, "boot_ms": 0}


class Discovery:
    """Turns three calls in four down while more than two are at work; a watch waits for news, and goes on at
    no cost where the next call comes within 200 ms, as the service was measured to do."""

    def __init__(self) -> None:
        self.rev = 1
        self.state = "ready"
        self.changed = asyncio.Event()
        self.random = Random(7)
        self.busy = 0
        self.calls: Counter[float] = Counter()  # by second
        self.told = 0  # answers that told of the drain
        self.answered: dict[object, float] = {}  # by connection: when the last answer was given

    async def hosts(self, request: web.Request) -> web.Response:
        loop = asyncio.get_running_loop()
        begins = loop.time() - self.answered.get(request.transport, -1.0) > 0.2
        if begins and not await self.begin():
            return web.Response(status=503)
        response = await self.answer(request)
        self.answered[request.transport] = loop.time()
        return response

    async def begin(self) -> bool:
        self.calls[float(int(asyncio.get_running_loop().time()))] += 1
        if self.busy > 2 and self.random.random() < 0.75:
            return False
        self.busy += 1
        try:
            await asyncio.sleep(0.2)  # the work of a call; a watch that waits costs nothing
        finally:
            self.busy -= 1
        return True

    async def answer(self, request: web.Request) -> web.Response:
        after = request.query.get("after")
        if after is not None and int(after) >= self.rev:
            wait = int(request.query.get("wait_ms", "0")) / 1000
            try:
                async with asyncio.timeout(wait):
                    await self.changed.wait()  # the event of the next change, not of one long past
            except TimeoutError:
                return web.json_response({"rev": self.rev, "all": False, "targets": []})
        if self.state == "draining":
            self.told += 1
        body = {"rev": self.rev, "all": after is None, "targets": [entry(self.state)]}
        return web.Response(body=json.dumps(body), content_type="application/json")

    def drain(self) -> None:
        self.rev, self.state = 2, "draining"
        self.changed.set()
        self.changed = asyncio.Event()


async def _served(service: Discovery) -> tuple[web.AppRunner, int]:
    app = web.Application()
    app.router.add_get("/discovery/hosts", service.hosts)
    runner = web.AppRunner(app, handle_signals=False)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return runner, site._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]


def test_forty_watches_spread_their_calls_and_none_is_late_for_a_drain() -> None:
    heard: dict[int, float] = {}
    bound: list[bool] = []  # for each, whether it sends nothing new to the drained worker 0.9 s after told
    registries: list[Registry] = []

    async def scene() -> None:
        loop = asyncio.get_running_loop()
        service = Discovery()
        runner, port = await _served(service)
        tasks = []
        for i in range(CALLERS):
            registry = Registry(lambda: loop.time() * 1000, GRACE_MS)
            registries.append(registry)

            def learn(
                scope: Scope, infos: tuple[WorkerInfo, ...], i: int = i, registry: Registry = registry
            ) -> None:
                if i not in heard and any(info.readiness.value == "draining" for info in infos):
                    heard[i] = loop.time()  # told at this moment: the answer was written a moment before
                    loop.call_later(
                        GRACE_MS / 1000 - 0.1, lambda: bound.append(registry.address("w1") is None)
                    )

            pace = PollSchedule(True, CALLERS, Random(i))
            client = DiscoveryClient(f"127.0.0.1:{port}", registry, learn, schedule=pace)
            client.restore({"rev": 1, "all": True, "targets": [entry("ready")]})
            tasks.append(asyncio.create_task(client.run()))
        await asyncio.sleep(DRAIN_AT)
        service.drain()
        await asyncio.sleep(90.0)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await runner.cleanup()
        assert max(service.calls.values()) <= OPENED_WATCHES_PER_S, "calls spread"
        assert max(service.calls) < NOTIFIED_WITHIN_S, "and each had its answer before its old list expired"
        assert len(heard) == CALLERS, "all hear the drain"
        assert service.told >= CALLERS, "each was told by a call of its own"
        assert bound == [True] * CALLERS, "none late for the drain"
        assert sorted(heard.values())[CALLERS // 2] - DRAIN_AT < 1.0, "most at once, by a watch that goes on"

    run_in_virtual_time(scene, timeout_s=600.0)


RESTARTED, READY_WITHIN_S = 20, 6.0  # a tenth of 200; the bound where a day ends soon


@pytest.mark.parametrize("known", [True, False])
def test_a_tenth_of_two_hundred_that_restart_together_are_ready_in_time(known: bool) -> None:
    """The service is slow: three calls at work, 0.2 s each, and most others are turned down. With a list in
    hand each is ready at once; without one it has to be heard first."""
    ready_at: list[float] = []

    async def scene() -> None:
        loop = asyncio.get_running_loop()
        service = Discovery()
        runner, port = await _served(service)
        tasks = []

        async def note_ready(client: DiscoveryClient) -> None:
            await client.ready.wait()
            ready_at.append(loop.time())

        for i in range(RESTARTED):
            registry = Registry(lambda: loop.time() * 1000, GRACE_MS)
            schedule = PollSchedule(True, 200, Random(i), 10_000.0)
            client = DiscoveryClient(f"127.0.0.1:{port}", registry, lambda *_: None, schedule=schedule)
            if known:
                client.restore({"rev": 1, "all": True, "targets": [entry("ready")]})
            tasks += [asyncio.create_task(client.run()), asyncio.create_task(note_ready(client))]
        await asyncio.sleep(READY_WITHIN_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await runner.cleanup()

    run_in_virtual_time(scene, timeout_s=60.0)
    assert len(ready_at) >= 0.9 * RESTARTED
    assert not known or max(ready_at) == 0.0

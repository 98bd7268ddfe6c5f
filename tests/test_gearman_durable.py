"""Gearman submissions that share a unique id while the store is slow or failing."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from test_durable import DurableHarness, play
from test_job_queue import FREE, ONCE, Attempt, answer_ok, hang

from oxbowyard.core.memory_budget import MemoryBudget
from oxbowyard.decision.events import WorkerInfo
from oxbowyard.gearman.codec import encode
from oxbowyard.gearman.config import KIND, GearmanConfig, parse
from oxbowyard.gearman.errors import PacketRejectedError
from oxbowyard.gearman.jobs import Jobs
from oxbowyard.gearman.packet_types import PacketType
from oxbowyard.store.database import Database
from oxbowyard.store.record import StoreError, StoreFailure

BACKGROUND, FOREGROUND = PacketType.SUBMIT_JOB_BG, PacketType.SUBMIT_JOB


class Client:
    """A client connection that records the packets sent to it."""

    def __init__(self) -> None:
        self.accepts_exceptions = False
        self.received: list[bytes] = []
        self.paused = 0

    def send(self, data: bytes) -> None:
        self.received.append(data)

    def is_connected(self) -> bool:
        return True

    def pause_input(self) -> None:
        self.paused += 1

    def resume_input(self) -> None:
        self.paused -= 1

    def has_received(self, packet_type: PacketType) -> bool:
        number = encode(packet_type)[4:8]
        return any(data[4:8] == number for data in self.received)


def config() -> GearmanConfig:
    functions = {"repeatable": {"class": "free"}, "file": {"class": "once"}}
    return parse({"listen": "127.0.0.1:0", "functions": functions}, (FREE, ONCE))


class Front:
    """The client side of the Gearman front over a durable store."""

    def __init__(self, path: Path, attempt: Attempt, monkeypatch: pytest.MonkeyPatch, **more: Any) -> None:
        monkeypatch.setattr("test_job_queue.CLASSES", (FREE, ONCE, *config_classes()))
        self.harness = DurableHarness(path, attempt, **more)
        self.harness.queue_harness.update_endpoints(*(WorkerInfo(f"g{i}", kind=KIND) for i in range(4)))
        self.jobs = Jobs(
            config(), self.harness.queue_harness.scheduler, "t", MemoryBudget(1 << 26), self.harness.job_queue
        )

    def submit(self, packet_type: PacketType, function: str = "file", unique: bytes = b"u1") -> Client:
        client = Client()
        self.jobs.submit(packet_type, [function.encode(), unique, b"sheet"], client)
        return client


def config_classes() -> tuple[Any, ...]:
    return tuple(function.job_class for function in config().functions.values())


@asynccontextmanager
async def slow_store(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Callable[[], None]]:
    """Block commits until the yielded function is called."""
    release = threading.Event()
    apply = Database.apply

    def held(self: Database, changes: Any) -> None:
        release.wait(5.0)
        apply(self, changes)

    monkeypatch.setattr(Database, "apply", held)
    try:
        yield release.set
    finally:
        release.set()
        await asyncio.sleep(0.05)


async def until(condition: Callable[[], Any]) -> None:
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.002)


@pytest.mark.parametrize("function", ["file", "repeatable"])
@pytest.mark.parametrize("second", [BACKGROUND, FOREGROUND])
def test_second_submission_is_acknowledged_only_after_job_is_stored(
    second: PacketType, function: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against acknowledging a handle that a crash would lose: the first submission is not on disk yet.
    async def scene() -> None:
        front = Front(tmp_path / "jobs.db", answer_ok, monkeypatch)
        async with slow_store(monkeypatch) as release:
            clients = [front.submit(BACKGROUND, function), front.submit(second, function)]
            await asyncio.sleep(0.05)
            assert [client.received for client in clients] == [[], []]
            release()
            await until(lambda: all(client.has_received(PacketType.JOB_CREATED) for client in clients))
        if second is FOREGROUND:
            await until(lambda: clients[1].has_received(PacketType.WORK_COMPLETE))
        assert [client.paused for client in clients] == [0, 0]
        await front.harness.durable_store.close()

    play(scene)


@pytest.mark.parametrize("second", [BACKGROUND, FOREGROUND])
def test_both_submitters_get_error_when_store_fails(
    second: PacketType, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a client that joins a job which is never stored and waits for ever for its end.
    def damaged(self: Database, changes: Any) -> None:
        raise StoreError(StoreFailure.DAMAGED, "injected")

    async def scene() -> None:
        front = Front(tmp_path / "jobs.db", answer_ok, monkeypatch)
        monkeypatch.setattr(Database, "apply", damaged)
        clients = [front.submit(BACKGROUND), front.submit(second)]
        await until(lambda: all(client.has_received(PacketType.ERROR) for client in clients))
        assert not any(client.has_received(PacketType.JOB_CREATED) for client in clients)
        await front.harness.durable_store.close()

    play(scene)


def test_non_idempotent_background_job_does_not_join_unstored_job(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a background job that is acknowledged and lost after a crash.
    async def scene() -> None:
        front = Front(tmp_path / "jobs.db", hang, monkeypatch)
        first = front.submit(FOREGROUND)
        assert first.has_received(PacketType.JOB_CREATED)
        with pytest.raises(PacketRejectedError, match="not stored"):
            front.submit(BACKGROUND)
        front.jobs.remove_client(first)
        await front.harness.durable_store.close()

    play(scene)


def test_idempotent_background_job_is_stored_separately_from_unstored_job(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scene() -> None:
        front = Front(tmp_path / "jobs.db", hang, monkeypatch)
        first = front.submit(FOREGROUND, "repeatable")
        second = front.submit(BACKGROUND, "repeatable")
        await until(lambda: second.has_received(PacketType.JOB_CREATED))
        handle = second.received[0][12:].decode()
        assert await front.harness.job_queue.find_record(handle) is not None
        assert (await front.harness.durable_store._writer.read(lambda db: db.find(handle))) is not None
        front.jobs.remove_client(first)
        front.harness.job_queue.cancel(handle)
        await front.harness.durable_store.close()

    play(scene)


def test_client_that_joined_stored_job_gets_failure_when_store_is_lost(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a client that waits for ever because the job's end cannot be recorded.
    def damaged(self: Database, changes: Any) -> None:
        raise StoreError(StoreFailure.DAMAGED, "injected")

    async def scene() -> None:
        front = Front(tmp_path / "jobs.db", hang, monkeypatch)
        first = front.submit(BACKGROUND)
        await until(lambda: first.has_received(PacketType.JOB_CREATED))
        second = front.submit(FOREGROUND)
        await until(lambda: second.has_received(PacketType.JOB_CREATED))
        monkeypatch.setattr(Database, "apply", damaged)
        front.submit(BACKGROUND, unique=b"another")
        await until(lambda: second.has_received(PacketType.WORK_FAIL))
        front.jobs.remove_client(second)
        await front.harness.durable_store.close()

    play(scene)

"""Limits of one process: descriptors, memory for request bodies, and length of keys."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections import Counter
from pathlib import Path

import pytest

from oxbowyard.clients.errors import RequestMemoryFullError
from oxbowyard.core.memory_budget import NEW_WORK_SHARE, Holder, MemoryBudget, MemoryFullError
from oxbowyard.daemon.composition import compose
from oxbowyard.daemon.config import Config
from oxbowyard.daemon.descriptors import DescriptorBudget
from oxbowyard.decision.settings import JobClass, Settings
from oxbowyard.gearman.config import load as load_gearman
from oxbowyard.gearman.job_requests import digest_key
from oxbowyard.listeners.acceptor import NO_DESCRIPTOR_RETRY_DELAY_S, Acceptor

OTHER_CLASSES = tuple(
    JobClass(name, latency_objective_ms=1000, deadline_ms=5000) for name in ("label-check", "accession")
)


@pytest.mark.parametrize("sockets", [64, 128, 256, 384, 512, 1024])
@pytest.mark.parametrize("admin", [False, True])
def test_the_descriptor_budget_fits_the_configured_sockets(sockets: int, admin: bool) -> None:
    """Guards against a budget that omits the admin API's 32 connections, which exceed the reserve."""
    shared = DescriptorBudget.allocate(sockets, 20_000, admin=admin)
    assert shared.total <= sockets
    if sockets >= 256:  # at least a third is for open requests
        assert shared.requests >= sockets // 3 and shared.clients > shared.requests
    with_gearman = DescriptorBudget.allocate(sockets, 20_000, gearman=sockets // 4, admin=admin)
    assert with_gearman.total <= sockets


def test_the_acceptor_retries_at_intervals_while_no_descriptor_is_free() -> None:
    class Sessions:
        available_connections = 1

        def __init__(self) -> None:
            self.counts: Counter[str] = Counter()

    class Listener:
        """A listener whose accept fails because no descriptor is free."""

        def __init__(self, real: socket.socket) -> None:
            self.fileno, self.close = real.fileno, real.close

        def accept(self) -> None:
            raise OSError(errno.EMFILE, "no descriptor")

    async def play() -> None:
        sessions = Sessions()
        acceptor = Acceptor("http", "127.0.0.1", 0, sessions)  # type: ignore[arg-type]
        with socket.create_connection(acceptor._listener.getsockname()):  # keeps the listener readable
            acceptor._listener = Listener(acceptor._listener)  # type: ignore[assignment]
            acceptor.open()
            await asyncio.sleep(4.5 * NO_DESCRIPTOR_RETRY_DELAY_S)
            acceptor.close()
            assert 2 <= sessions.counts["no descriptor"] <= 6
            await asyncio.sleep(2 * NO_DESCRIPTOR_RETRY_DELAY_S)
            assert sessions.counts["no descriptor"] <= 6, "once closed it stays closed"

    asyncio.run(play())


def test_all_requests_share_one_memory_limit() -> None:
    memory = MemoryBudget(100)
    share = int(100 * NEW_WORK_SHARE)
    with memory.reserve(Holder.REQUESTS, 60):
        with pytest.raises(MemoryFullError), memory.reserve(Holder.REQUESTS, share - 59):
            pass
        assert memory.refused[Holder.REQUESTS] == 1
    with memory.reserve(Holder.REQUESTS, share):
        assert memory.used_bytes == share
    assert RequestMemoryFullError("").status == 503  # the request never ran, so a retry is safe


def test_a_unique_id_of_any_length_becomes_a_short_key() -> None:
    assert digest_key(b"") is None
    keys = {digest_key(b"x" * size) for size in (1, 2, 200_000)}
    assert len(keys) == 3 and all(key and len(key) <= 64 for key in keys)


def test_gearman_leaves_enough_descriptors_to_the_http_front() -> None:
    async def play() -> None:
        settings = Settings(classes=(JobClass("preview", latency_objective_ms=1000, deadline_ms=5000),))
        config = Config("n", "127.0.0.1", 0, "127.0.0.1:1", 1, 256, 32.0, 20_000, settings, True)
        gearman = load_gearman(Path("deploy/gearman.toml"), (*settings.classes, *OTHER_CLASSES))
        subsystems = compose(config, gearman)
        assert subsystems.gearman and subsystems.gearman.config.max_connections == 64
        assert subsystems.descriptors.requests > 50
        assert subsystems.descriptors.clients > subsystems.descriptors.requests
        await subsystems.close()

    asyncio.run(play())

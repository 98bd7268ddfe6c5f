"""Gearman workers lose their connection at random (seeded); jobs are counted at clients and workers."""

from __future__ import annotations

import asyncio
import random
import re
import struct
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from exchange_player import ExchangePlayer, SchedulerProcess

JOBS = 150
WORKERS = 4
COMPLETE, FAIL, CREATED, ASSIGN, NO_JOB, NOOP, WARNING = 13, 14, 8, 11, 10, 6, 29


def packet(type_: int, *arguments: bytes) -> bytes:
    data = b"\0".join(arguments)
    return struct.pack(">4sII", b"\0REQ", type_, len(data)) + data


async def read(reader: asyncio.StreamReader) -> tuple[int, list[bytes]]:
    _, type_, size = struct.unpack(">4sII", await reader.readexactly(12))
    return type_, (await reader.readexactly(size)).split(b"\0")


@dataclass
class Observations:
    """Jobs as seen by the workers and by the clients."""

    assigned: Counter[bytes] = field(default_factory=Counter)
    completed: set[bytes] = field(default_factory=set)
    lost_with_worker: set[bytes] = field(default_factory=set)
    ends: dict[bytes, int] = field(default_factory=dict)


async def worker(address: tuple[str, int], rng: random.Random, observations: Observations) -> None:
    """Run jobs; with probability 0.2, abort the connection during a job and reconnect as a new worker."""
    while True:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(packet(1, b"file_specimen") + packet(1, b"render_preview"))
        while True:
            writer.write(packet(9))
            type_, arguments = await read(reader)
            if type_ == NO_JOB:
                writer.write(packet(4))
                assert (await read(reader))[0] == NOOP
                continue
            assert type_ == ASSIGN
            handle, _, workload = arguments
            observations.assigned[workload] += 1
            if rng.random() < 0.2:
                observations.lost_with_worker.add(workload)
                writer.transport.abort()
                break
            await asyncio.sleep(rng.uniform(0, 0.004))
            observations.completed.add(workload)
            writer.write(packet(COMPLETE, handle, b"filed " + workload))


async def client(address: tuple[str, int], workloads: list[bytes], observations: Observations) -> None:
    reader, writer = await asyncio.open_connection(*address)
    for workload in workloads:
        function = b"file_specimen" if workload.startswith(b"a") else b"render_preview"
        writer.write(packet(7, function, b"", workload))
        type_, (handle, *_) = await read(reader)
        assert type_ == CREATED
        while type_ not in (COMPLETE, FAIL):
            type_, arguments = await read(reader)
            assert arguments[0] == handle
        assert workload not in observations.ends, "job ended twice"
        observations.ends[workload] = type_
        if type_ == COMPLETE:
            assert arguments[1] == b"filed " + workload
    writer.close()


async def play(address: tuple[str, int], seed: int) -> Observations:
    observations, rng = Observations(), random.Random(seed)
    worker_rngs = [random.Random(rng.random()) for _ in range(WORKERS)]
    workers = [asyncio.create_task(worker(address, worker_rng, observations)) for worker_rng in worker_rngs]
    names = [b"%s%d" % (b"ap"[i % 2 : i % 2 + 1], i) for i in range(JOBS)]
    async with asyncio.timeout(60):
        await asyncio.gather(*(client(address, names[i::6], observations) for i in range(6)))
    for task in workers:
        assert not task.done(), task.exception()
        task.cancel()
    await asyncio.gather(*workers, return_exceptions=True)
    return observations


@pytest.mark.parametrize("seed", [1, 2])
def test_each_job_ends_once_while_workers_are_killed(seed: int, tmp_path: Path) -> None:
    script = tmp_path / "start.txt"
    script.write_text('start gearman:max_queue=1000\nlist {"rev":1,"all":true,"targets":[]}\n')
    player = ExchangePlayer(script, tmp_path)
    try:
        for _, line in player.lines:
            player._run_line(line)
        assert player.program
        observations = asyncio.run(play(player.program.address("gearman"), seed))
        check(observations, player.program)
    finally:
        player.end()


def check(observations: Observations, program: SchedulerProcess) -> None:
    assert len(observations.ends) == JOBS and observations.lost_with_worker
    for workload, times in observations.assigned.items():
        if workload.startswith(b"a"):
            assert times == 1, "non-idempotent job was assigned again"
            wanted = FAIL if workload in observations.lost_with_worker else COMPLETE
            assert observations.ends[workload] == wanted
        else:
            assert times <= 3
    for workload, end in observations.ends.items():
        assert (end == COMPLETE) == (workload in observations.completed)
        assert (
            end == COMPLETE
            or workload in observations.lost_with_worker
            or not observations.assigned[workload]
        )
    program.process.terminate()
    found = program.wait_for(r"last: service .*answers: (.*)")[1]
    counts = {kind: int(n) for kind, n in re.findall(r"(\w+) (\d+)", found)}
    assert sum(counts.values()) == JOBS
    assert counts["served"] == sum(end == COMPLETE for end in observations.ends.values())
